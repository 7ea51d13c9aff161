"""Which experts to move, and whether that pays.

A change of the split between replicas loads nothing and costs only the stall
of a switch. A load is made only if the capacity that it saves, for as long as
the present popularity is expected to last, exceeds what it costs. The gain is
discounted by what the load would have done to past popularity.
"""

import dataclasses
from collections.abc import Mapping, Sequence

from pollenthread.core import (expert_map, moves, placement, popularity,
                               popularity_history, targets)

__all__ = [
    'LoadCosts', 'GroupState', 'LayerLoads', 'RebalancePlan', 'PlannerConfig',
    'Spending', 'PlanVerdict', 'plan_rebalance'
]

BUDGET_WINDOW_S = 3600.0
LOAD_COOLDOWN_S = 3600.0
MAX_STANDARD_ERROR = 0.03
MIN_SPLIT_GAIN = 0.02
_CHAIN_LENGTH = 6
_DRIFT_OF_A_LIFE = 0.25
_MIN_LIFE_S = 900.0
_MAX_LIFE_S = 4 * 3600.0


@dataclasses.dataclass(frozen=True)
class LoadCosts:
    """What the platform makes a load and a switch cost.

    Attributes:
        expert_bytes: the weights of one expert of one layer.
        store_bytes_per_s: the group's part of the weight store's rate.
        slowdown: the share of the group's speed that is lost while a rank
            loads.
        stall_s: how long one switch stalls the group, in seconds.
        queue_s: how long the store is busy with other groups, in seconds.
    """

    expert_bytes: int
    store_bytes_per_s: float
    slowdown: float
    stall_s: float
    queue_s: float = 0.0

    def load_s(self, experts: int) -> float:
        """Seconds to load a number of experts."""
        return experts * self.expert_bytes / self.store_bytes_per_s


@dataclasses.dataclass(frozen=True)
class Spending:
    """Capacity-seconds that one plan has cost."""

    at_s: float
    capacity_s: float


@dataclasses.dataclass(frozen=True)
class GroupState:
    """What the planner remembers of a group.

    Attributes:
        current: the map in force.
        past: popularity until now, oldest first.
        spendings: recent plans' costs.
        loaded_at_s: when each replica was loaded, by layer, rank and expert.
    """

    current_map: expert_map.ExpertMap
    popularity_history: tuple[popularity_history.PopularitySnapshot, ...] = ()
    spendings: tuple[Spending, ...] = ()
    loaded_at_s: Mapping[tuple[int, int, int],
                         float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True)
class LayerLoads:
    """The loads of one layer in a plan.

    Attributes:
        layer: the layer.
        loads: what ranks load.
        layout: the layout after them.
        skew: the layer's skew after them.
        saving: capacity-seconds expected to be saved.
        price: capacity-seconds that the loads cost.
    """

    layer: int
    loads: tuple[moves.ExpertLoad, ...]
    layout: placement.LayerLayout
    skew: float
    saving: float
    cost: float


class PlanVerdict:
    """Why a plan is as it is."""

    DRAINING = 'the group is being drained'
    SHORT_OF_RANK = 'the group is short of a rank'
    UNSURE = 'too little is known of the popularity'
    KEEP = 'the present map is good enough'
    SPLIT = 'only the split changes'
    LOAD = 'experts are loaded'


@dataclasses.dataclass(frozen=True)
class RebalancePlan:
    """What to do now.

    Attributes:
        verdict: one of `Verdict`.
        target: the map to switch to; the present one to change nothing.
        loads: the layers that load experts.
        saving: capacity-seconds expected to be saved.
        price: capacity-seconds that it costs.
    """

    verdict: str
    target_map: expert_map.ExpertMap
    layer_loads: tuple[LayerLoads, ...] = ()
    saving: float = 0.0
    cost: float = 0.0

    @property
    def experts(self) -> int:
        """Experts to load."""
        return sum(len(layer.loads) for layer in self.layer_loads)


@dataclasses.dataclass(frozen=True)
class PlannerConfig:
    """What stays the same from plan to plan.

    Attributes:
        group: the shape of the group.
        balance: the operators' targets.
        costs: what loads and switches cost.
        interval_s: the time between plans, in seconds.
        use_history: whether a load must pay over what was observed.
        use_split: whether the split follows popularity without loads.
        use_fixing: whether an expert just loaded is left alone.
    """

    group: placement.GroupShape
    balance: targets.Balance
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
    """Decides what to do now.

    Args:
        planner: what stays the same.
        state: what is remembered of the group.
        estimate: the popularity of its experts.
        now_s: the present time, in seconds.
        draining: whether the group is about to stop.
        missing_ranks: ranks that do not answer.

    Returns:
        The state as if the plan has been carried out, and the plan.
    """
    shares = tuple(popularity.expert_shares(layer) for layer in estimate.layers)
    if _error(estimate) > MAX_STANDARD_ERROR:
        return state, RebalancePlan(PlanVerdict.UNSURE, state.current_map)
    state = dataclasses.replace(
        state,
        popularity_history=popularity_history.append_popularity(
            state.popularity_history, shares, now_s),
        spendings=_recent(state.spendings, now_s))
    if draining or missing_ranks:
        verdict = PlanVerdict.DRAINING if draining else PlanVerdict.SHORT_OF_RANK
        return state, RebalancePlan(verdict, state.current_map)
    splits = [
        placement.split_traffic(layer.layout, part)
        for layer, part in zip(state.current_map, shares)
    ]
    loads = _choose_loads(planner, state, estimate, shares, splits, now_s)
    result = _finish(planner, state, shares, splits, loads)
    return _carry_out(state, result, now_s), result


def _finish(planner: PlannerConfig, state: GroupState,
            shares: Sequence[Sequence[float]],
            splits: Sequence[placement.TrafficSplit],
            loads: Sequence[LayerLoads]) -> RebalancePlan:
    """Adds the new splits, and drops the plan if the stall is not worth it."""
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
    stall = ranks * planner.costs.stall_s
    if loads:
        return RebalancePlan(PlanVerdict.LOAD, tuple(layers), tuple(loads),
                             sum(item.saving for item in loads),
                             stall + sum(item.cost for item in loads))
    saving = ranks * planner.interval_s * (before - after) / before
    is_needed = (before > planner.balance.skew or
                 before - after > MIN_SPLIT_GAIN)
    if planner.use_split_changes and is_needed and saving > stall:
        return RebalancePlan(PlanVerdict.SPLIT, tuple(layers), (), saving,
                             stall)
    return RebalancePlan(PlanVerdict.KEEP, state.current_map)


def _choose_loads(planner: PlannerConfig, state: GroupState,
                  estimate: popularity.Popularity,
                  shares: Sequence[Sequence[float]],
                  splits: Sequence[placement.TrafficSplit],
                  now_s: float) -> list[LayerLoads]:
    """The loads that pay, best first, within target and budget."""
    total = sum(split.skew for split in splits)
    wanted = planner.balance.skew * len(splits)
    if total <= wanted:
        return []
    options = []
    for layer, split in enumerate(splits):
        if split.skew <= planner.balance.skew:
            continue
        life_s = _life_s(estimate.layers[layer])
        chain = _chain(planner, state, layer, shares[layer], split, now_s)
        option = _best_prefix(planner, state, layer, chain, split.skew, total,
                              life_s)
        if option is not None:
            options.append(option)
    options.sort(key=lambda item: (-item.saving / item.cost, item.layer))
    allowance = _allowance(planner, state)
    chosen = []
    for option in options:
        if total <= wanted:
            break
        if option.cost <= allowance:
            allowance -= option.cost
            total -= splits[option.layer].skew - option.skew
            chosen.append(option)
    stall = planner.group.ranks * planner.costs.stall_s
    net = sum(item.saving - item.cost for item in chosen)
    return chosen if net > stall else []


def _chain(planner: PlannerConfig, state: GroupState, layer: int,
           shares: Sequence[float], split: placement.TrafficSplit,
           now_s: float) -> list[moves.LayoutMove]:
    """Steps after each other, each the best for the present popularity."""
    fixed = moves.MoveConstraints()
    if planner.use_load_cooldown:
        fixed = _fixed(state, layer, now_s)
    layout = state.current_map[layer].layout
    chain: list[moves.LayoutMove] = []
    while len(chain) < _CHAIN_LENGTH and split.skew > planner.balance.skew:
        step = moves.best_move(planner.group, layout, shares, split, fixed)
        if step is None:
            break
        chain.append(step)
        layout, split = step.layout, step.split
    return chain


def _fixed(state: GroupState, layer: int,
           now_s: float) -> moves.MoveConstraints:
    """What was loaded in a layer not long ago."""
    replicas = frozenset(
        (rank, expert)
        for (of_layer, rank, expert), at_s in state.loaded_at_s.items()
        if of_layer == layer and now_s - at_s < LOAD_COOLDOWN_S)
    return moves.MoveConstraints(frozenset(expert for _, expert in replicas),
                                 replicas)


def _best_prefix(planner: PlannerConfig, state: GroupState, layer: int,
                 chain: Sequence[moves.LayoutMove], skew_now: float,
                 total_skew: float, life_s: float) -> LayerLoads | None:
    """The part of a chain that saves the most beyond its price."""
    past = state.popularity_history if planner.use_history else ()
    layout = state.current_map[layer].layout
    before = [
        placement.split_traffic(layout, item.shares[layer]).skew
        for item in past
    ]
    per_skew = planner.group.ranks / total_skew
    loads: tuple[moves.ExpertLoad, ...] = ()
    best: LayerLoads | None = None
    for step in chain:
        loads = (*loads, *step.loads)
        gains = [
            old - placement.split_traffic(step.layout, item.shares[layer]).skew
            for old, item in zip(before, past)
        ]
        gain = _lasting_gain(skew_now - step.split.skew, past, gains, life_s)
        load_s = planner.costs.load_s(len(loads))
        saving = per_skew * gain * max(0.0,
                                       life_s - planner.costs.queue_s - load_s)
        price = load_s * planner.costs.slowdown * planner.group.ranks
        net = saving - price
        if net > 0 and (best is None or net > best.saving - best.cost):
            best = LayerLoads(layer, loads, step.layout, step.split.skew,
                              saving, price)
    return best


def _lasting_gain(now: float,
                  past: Sequence[popularity_history.PopularitySnapshot],
                  gains: Sequence[float], life_s: float) -> float:
    """The lower of the gain now and its mean with the gain in the past.

    The past fades with the expected life of the popularity. A gain that only a
    burst offers is halved, and one that harms what came before counts less.
    """
    weights = [
        item.duration_s * 0.5**((past[-1].end_s - item.end_s) / life_s)
        for item in past
    ]
    total = sum(weights)
    if not total:
        return now
    mean = sum(weight * gain for weight, gain in zip(weights, gains)) / total
    return min(now, (now + mean) / 2)


def _error(estimate: popularity.Popularity) -> float:
    """The standard error of the layer that is known least."""
    return max(popularity.standard_error(layer) for layer in estimate.layers)


def _life_s(layer: popularity.LayerPopularity) -> float:
    """How long the present popularity is expected to be of use."""
    if not layer.drift_per_h:
        return _MAX_LIFE_S
    life_s = _DRIFT_OF_A_LIFE / layer.drift_per_h * 3600.0
    return min(_MAX_LIFE_S, max(_MIN_LIFE_S, life_s))


def _allowance(planner: PlannerConfig, state: GroupState) -> float:
    """Capacity-seconds that the budget still allows."""
    budget = (planner.balance.budget_share * planner.group.ranks *
              BUDGET_WINDOW_S)
    return budget - sum(item.capacity_s for item in state.spendings)


def _recent(spendings: tuple[Spending, ...],
            now_s: float) -> tuple[Spending, ...]:
    return tuple(
        item for item in spendings if now_s - item.at_s < BUDGET_WINDOW_S)


def _carry_out(state: GroupState, result: RebalancePlan,
               now_s: float) -> GroupState:
    """The state once the plan is in force."""
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
