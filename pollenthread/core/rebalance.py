"""Cost-benefit planning of expert loads and traffic splits for a group.

Changing the split between replicas loads no weights and costs only the stall
of a switch. Experts are loaded only if the capacity saved, over the time for
which the current popularity is expected to last, exceeds the cost. The gain is
reduced if the new layout would have done worse with past popularity.

Savings and costs are in capacity-seconds: the work of one rank in a second.
"""

import dataclasses
from collections.abc import Mapping, Sequence

from pollenthread.core import (expert_map, moves, placement, popularity,
                               popularity_history, targets)

__all__ = [
    'GroupState', 'LayerLoads', 'LoadCosts', 'PlanVerdict', 'PlannerConfig',
    'RebalancePlan', 'Spending', 'plan_rebalance'
]

BUDGET_WINDOW_S = 3600.0
LOAD_COOLDOWN_S = 3600.0
MAX_STANDARD_ERROR = 0.03
# The minimum reduction of the skew for a change of the split alone, while the
# skew is within the target.
MIN_SPLIT_GAIN = 0.02
_MAX_CHAIN_LENGTH = 6
# The popularity has lost its use once this share of the traffic has drifted.
_USEFUL_LIFE_DRIFT = 0.25
_MIN_USEFUL_LIFE_S = 900.0
_MAX_USEFUL_LIFE_S = 4 * 3600.0


@dataclasses.dataclass(frozen=True)
class LoadCosts:
    """The parameters that determine the cost of loads and switches.

    Attributes:
        expert_bytes: the size of the weights of one expert of one layer.
        store_bytes_per_s: the group's share of the weight store's throughput.
        slowdown: the fraction of the group's speed lost while a rank loads.
        stall_s: the time for which a switch stalls the group, in seconds.
        queue_s: the time until the store has served other groups, in
            seconds.
    """

    expert_bytes: int
    store_bytes_per_s: float
    slowdown: float
    stall_s: float
    queue_s: float = 0.0

    def load_s(self, experts: int) -> float:
        """Returns the time to load a number of experts, in seconds."""
        return experts * self.expert_bytes / self.store_bytes_per_s


@dataclasses.dataclass(frozen=True)
class Spending:
    """The cost of one plan.

    Attributes:
        at_s: the time of the plan, in seconds.
        capacity_s: the cost, in capacity-seconds.
    """

    at_s: float
    capacity_s: float


@dataclasses.dataclass(frozen=True)
class GroupState:
    """The planning state of a group.

    Attributes:
        current_map: the map in use.
        past_popularity: snapshots of the popularity, oldest first.
        spendings: the costs of recent plans.
        loaded_at_s: the load time of each recently loaded replica in seconds,
            by layer, rank and expert.
    """

    current_map: expert_map.ExpertMap
    past_popularity: tuple[popularity_history.PopularitySnapshot, ...] = ()
    spendings: tuple[Spending, ...] = ()
    loaded_at_s: Mapping[tuple[int, int, int],
                         float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True)
class LayerLoads:
    """The loads of one layer in a plan.

    Attributes:
        layer: the index of the layer.
        loads: the loads of the ranks.
        layout: the layout after the loads.
        skew: the skew of the layer after the loads.
        saving: the expected saving, in capacity-seconds.
        cost: the cost of the loads, in capacity-seconds.
    """

    layer: int
    loads: tuple[moves.ExpertLoad, ...]
    layout: placement.LayerLayout
    skew: float
    saving: float
    cost: float


class PlanVerdict:
    """The reasons for the content of a plan."""

    DRAINING = 'the group is being drained'
    SHORT_OF_RANK = 'the group is short of a rank'
    UNSURE = 'too little is known of the popularity'
    KEEP = 'the present map is good enough'
    SPLIT = 'only the split changes'
    LOAD = 'experts are loaded'


@dataclasses.dataclass(frozen=True)
class RebalancePlan:
    """The next change of the map of a group.

    Attributes:
        verdict: one of the texts in `PlanVerdict`.
        target_map: the map to switch to; the current map for no change.
        layer_loads: the layers that load experts.
        saving: the expected saving, in capacity-seconds.
        cost: the cost of the plan, in capacity-seconds.
    """

    verdict: str
    target_map: expert_map.ExpertMap
    layer_loads: tuple[LayerLoads, ...] = ()
    saving: float = 0.0
    cost: float = 0.0

    @property
    def experts(self) -> int:
        """The number of experts to load."""
        return sum(len(layer.loads) for layer in self.layer_loads)


@dataclasses.dataclass(frozen=True)
class PlannerConfig:
    """The parameters that are the same for all plans of a group.

    Attributes:
        group: the dimensions of the group.
        balance: the balance targets of the operators.
        costs: the cost parameters of loads and switches.
        interval_s: the time between plans, in seconds.
        use_history: whether the gain of a load is also evaluated with past
            popularity.
        use_split_changes: whether plans may change the split without loads.
        use_load_cooldown: whether experts loaded within `LOAD_COOLDOWN_S` are
            not moved again.
    """

    group: placement.GroupShape
    balance: targets.RankBalance
    costs: LoadCosts
    interval_s: float
    use_history: bool = True
    use_split_changes: bool = True
    use_load_cooldown: bool = True


def plan_rebalance(planner: PlannerConfig,
                   state: GroupState,
                   estimate: popularity.Popularity,
                   *,
                   now_s: float,
                   draining: bool = False,
                   missing_ranks: int = 0) -> tuple[GroupState, RebalancePlan]:
    """Plans the next change of the map of a group.

    Args:
        planner: the planning parameters.
        state: the planning state of the group.
        estimate: the estimated popularity of its experts.
        now_s: the current time, in seconds.
        draining: whether the group is being drained.
        missing_ranks: the number of ranks that do not respond.

    Returns:
        The state after the plan is applied, and the plan.
    """
    shares = tuple(popularity.expert_shares(layer) for layer in estimate.layers)
    if _max_standard_error(estimate) > MAX_STANDARD_ERROR:
        return state, RebalancePlan(PlanVerdict.UNSURE, state.current_map)
    state = dataclasses.replace(
        state,
        past_popularity=popularity_history.append_popularity(
            state.past_popularity, shares, now_s),
        spendings=_recent_spendings(state.spendings, now_s))
    if draining or missing_ranks:
        verdict = (PlanVerdict.DRAINING
                   if draining else PlanVerdict.SHORT_OF_RANK)
        return state, RebalancePlan(verdict, state.current_map)
    splits = [
        placement.split_traffic(layer.layout, part)
        for layer, part in zip(state.current_map, shares)
    ]
    loads = _choose_loads(planner, state, estimate, shares, splits, now_s)
    result = _complete_plan(planner, state, shares, splits, loads)
    return _apply_plan(state, result, now_s), result


def _complete_plan(planner: PlannerConfig, state: GroupState,
                   shares: Sequence[Sequence[float]],
                   splits: Sequence[placement.TrafficSplit],
                   loads: Sequence[LayerLoads]) -> RebalancePlan:
    """Adds the new splits; keeps the map if the stall costs more."""
    before = expert_map.skew(state.current_map, shares)
    layers = [
        expert_map.layer_map_from_split(layer.layout, split)
        for layer, split in zip(state.current_map, splits)
    ]
    for item in loads:
        layers[item.layer] = expert_map.build_layer_map(item.layout,
                                                        shares[item.layer])
    after = expert_map.skew(tuple(layers), shares)
    ranks = planner.group.ranks
    stall_cost = ranks * planner.costs.stall_s
    if loads:
        return RebalancePlan(PlanVerdict.LOAD, tuple(layers), tuple(loads),
                             sum(item.saving for item in loads),
                             stall_cost + sum(item.cost for item in loads))
    saving = ranks * planner.interval_s * (before - after) / before
    is_needed = (before > planner.balance.skew or
                 before - after > MIN_SPLIT_GAIN)
    if planner.use_split_changes and is_needed and saving > stall_cost:
        return RebalancePlan(PlanVerdict.SPLIT, tuple(layers), (), saving,
                             stall_cost)
    return RebalancePlan(PlanVerdict.KEEP, state.current_map)


def _choose_loads(planner: PlannerConfig, state: GroupState,
                  estimate: popularity.Popularity,
                  shares: Sequence[Sequence[float]],
                  splits: Sequence[placement.TrafficSplit],
                  now_s: float) -> list[LayerLoads]:
    """Returns the profitable loads, best first, within target and budget."""
    total = sum(split.skew for split in splits)
    target_total = planner.balance.skew * len(splits)
    if total <= target_total:
        return []
    options = []
    for layer, split in enumerate(splits):
        if split.skew <= planner.balance.skew:
            continue
        useful_life_s = _useful_life_s(estimate.layers[layer])
        chain = _best_moves(planner, state, layer, shares[layer], split, now_s)
        option = _best_prefix(planner, state, layer, chain, split.skew, total,
                              useful_life_s)
        if option is not None:
            options.append(option)
    options.sort(key=lambda item: (-item.saving / item.cost, item.layer))
    remaining_budget = _remaining_budget(planner, state)
    chosen = []
    for option in options:
        if total <= target_total:
            break
        if option.cost <= remaining_budget:
            remaining_budget -= option.cost
            total -= splits[option.layer].skew - option.skew
            chosen.append(option)
    stall_cost = planner.group.ranks * planner.costs.stall_s
    net = sum(item.saving - item.cost for item in chosen)
    return chosen if net > stall_cost else []


def _best_moves(planner: PlannerConfig, state: GroupState, layer: int,
                shares: Sequence[float], split: placement.TrafficSplit,
                now_s: float) -> list[moves.LayoutMove]:
    """Returns successive moves, each the best for the current popularity."""
    constraints = moves.MoveConstraints()
    if planner.use_load_cooldown:
        constraints = _recent_loads(state, layer, now_s)
    layout = state.current_map[layer].layout
    chain: list[moves.LayoutMove] = []
    while len(chain) < _MAX_CHAIN_LENGTH and split.skew > planner.balance.skew:
        move = moves.best_move(planner.group, layout, shares, split,
                               constraints)
        if move is None:
            break
        chain.append(move)
        layout, split = move.layout, move.split
    return chain


def _recent_loads(state: GroupState, layer: int,
                  now_s: float) -> moves.MoveConstraints:
    """Returns constraints that keep moves from undoing recent loads."""
    replicas = frozenset(
        (rank, expert)
        for (of_layer, rank, expert), at_s in state.loaded_at_s.items()
        if of_layer == layer and now_s - at_s < LOAD_COOLDOWN_S)
    return moves.MoveConstraints(frozenset(expert for _, expert in replicas),
                                 replicas)


def _best_prefix(planner: PlannerConfig, state: GroupState, layer: int,
                 chain: Sequence[moves.LayoutMove], skew_now: float,
                 total_skew: float, useful_life_s: float) -> LayerLoads | None:
    """Returns the prefix of a chain with the highest net saving, or None."""
    history = state.past_popularity if planner.use_history else ()
    layout = state.current_map[layer].layout
    before = [
        placement.split_traffic(layout, item.shares[layer]).skew
        for item in history
    ]
    per_skew = planner.group.ranks / total_skew
    loads: tuple[moves.ExpertLoad, ...] = ()
    best: LayerLoads | None = None
    for move in chain:
        loads = (*loads, *move.loads)
        gains = [
            old - placement.split_traffic(move.layout, item.shares[layer]).skew
            for old, item in zip(before, history)
        ]
        gain = _lasting_gain(skew_now - move.split.skew, history, gains,
                             useful_life_s)
        load_s = planner.costs.load_s(len(loads))
        saving = per_skew * gain * max(
            0.0, useful_life_s - planner.costs.queue_s - load_s)
        cost = load_s * planner.costs.slowdown * planner.group.ranks
        net = saving - cost
        if net > 0 and (best is None or net > best.saving - best.cost):
            best = LayerLoads(layer, loads, move.layout, move.split.skew,
                              saving, cost)
    return best


def _lasting_gain(now: float,
                  history: Sequence[popularity_history.PopularitySnapshot],
                  gains: Sequence[float], useful_life_s: float) -> float:
    """Returns the lower of the current gain and its mean with the past gain.

    The weight of a past snapshot decays with the expected useful life of the
    popularity as its half-life. A gain that exists only during a burst is
    halved; it is reduced further if the move would have increased the skew in
    the past.
    """
    weights = [
        item.duration_s *
        0.5**((history[-1].end_s - item.end_s) / useful_life_s)
        for item in history
    ]
    total = sum(weights)
    if not total:
        return now
    mean = sum(weight * gain for weight, gain in zip(weights, gains)) / total
    return min(now, (now + mean) / 2)


def _max_standard_error(estimate: popularity.Popularity) -> float:
    """Returns the greatest standard error of all layers."""
    return max(popularity.standard_error(layer) for layer in estimate.layers)


def _useful_life_s(layer: popularity.LayerPopularity) -> float:
    """Returns the expected useful life of the popularity, in seconds."""
    if not layer.drift_per_h:
        return _MAX_USEFUL_LIFE_S
    useful_life_s = _USEFUL_LIFE_DRIFT / layer.drift_per_h * 3600.0
    return min(_MAX_USEFUL_LIFE_S, max(_MIN_USEFUL_LIFE_S, useful_life_s))


def _remaining_budget(planner: PlannerConfig, state: GroupState) -> float:
    """Returns the remaining budget, in capacity-seconds."""
    budget = (planner.balance.budget_share * planner.group.ranks *
              BUDGET_WINDOW_S)
    return budget - sum(item.capacity_s for item in state.spendings)


def _recent_spendings(spendings: tuple[Spending, ...],
                      now_s: float) -> tuple[Spending, ...]:
    return tuple(
        item for item in spendings if now_s - item.at_s < BUDGET_WINDOW_S)


def _apply_plan(state: GroupState, result: RebalancePlan,
                now_s: float) -> GroupState:
    """Returns the state after the plan is applied."""
    if not result.cost:
        return state
    loaded = {
        key: at_s
        for key, at_s in state.loaded_at_s.items()
        if now_s - at_s < LOAD_COOLDOWN_S
    }
    for item in result.layer_loads:
        for load in item.loads:
            loaded[item.layer, load.rank, load.expert] = now_s
    return dataclasses.replace(state,
                               current_map=result.target_map,
                               spendings=(*state.spendings,
                                          Spending(now_s, result.cost)),
                               loaded_at_s=loaded)
