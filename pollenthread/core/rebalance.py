"""Which experts to move, and whether that pays.

A change of the split between replicas loads nothing and costs only the stall
of a switch. A load is made only if the capacity that it saves, for as long as
the present popularity is expected to last, exceeds what it costs. The gain is
discounted by what the load would have done to past popularity.
"""

import dataclasses
from collections.abc import Mapping, Sequence

from pollenthread.core import (expert_map, moves, placement, popularity,
                               snapshots, targets)

__all__ = [
    'Costs', 'GroupState', 'LayerLoads', 'Plan', 'Planner', 'Spending',
    'Verdict', 'plan'
]

BUDGET_WINDOW_S = 3600.0
FIXED_S = 3600.0
MAX_ERROR = 0.03
SPLIT_GAIN = 0.02
_CHAIN_LENGTH = 6
_DRIFT_OF_A_LIFE = 0.25
_MIN_LIFE_S = 900.0
_MAX_LIFE_S = 4 * 3600.0


@dataclasses.dataclass(frozen=True)
class Costs:
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

    current: expert_map.ExpertMap
    past: tuple[snapshots.Snapshot, ...] = ()
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
    loads: tuple[moves.Load, ...]
    layout: placement.Layout
    skew: float
    saving: float
    price: float


class Verdict:
    """Why a plan is as it is."""

    DRAINING = 'the group is being drained'
    SHORT_OF_RANK = 'the group is short of a rank'
    UNSURE = 'too little is known of the popularity'
    KEEP = 'the present map is good enough'
    SPLIT = 'only the split changes'
    LOAD = 'experts are loaded'


@dataclasses.dataclass(frozen=True)
class Plan:
    """What to do now.

    Attributes:
        verdict: one of `Verdict`.
        target: the map to switch to; the present one to change nothing.
        loads: the layers that load experts.
        saving: capacity-seconds expected to be saved.
        price: capacity-seconds that it costs.
    """

    verdict: str
    target: expert_map.ExpertMap
    loads: tuple[LayerLoads, ...] = ()
    saving: float = 0.0
    price: float = 0.0

    @property
    def experts(self) -> int:
        """Experts to load."""
        return sum(len(layer.loads) for layer in self.loads)


@dataclasses.dataclass(frozen=True)
class Planner:
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

    group: placement.Group
    balance: targets.RankBalance
    costs: Costs
    interval_s: float
    use_history: bool = True
    use_split: bool = True
    use_fixing: bool = True


def plan(planner: Planner,
         state: GroupState,
         estimate: popularity.Popularity,
         *,
         now_s: float,
         draining: bool = False,
         missing_ranks: int = 0) -> tuple[GroupState, Plan]:
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
    shares = tuple(popularity.shares(layer) for layer in estimate.layers)
    if _error(estimate) > MAX_ERROR:
        return state, Plan(Verdict.UNSURE, state.current)
    state = dataclasses.replace(state,
                                past=snapshots.remember(state.past, shares,
                                                        now_s),
                                spendings=_recent(state.spendings, now_s))
    if draining or missing_ranks:
        verdict = Verdict.DRAINING if draining else Verdict.SHORT_OF_RANK
        return state, Plan(verdict, state.current)
    splits = [
        placement.split(layer.layout, part)
        for layer, part in zip(state.current, shares)
    ]
    loads = _choose_loads(planner, state, estimate, shares, splits, now_s)
    result = _finish(planner, state, shares, splits, loads)
    return _carry_out(state, result, now_s), result


def _finish(planner: Planner, state: GroupState,
            shares: Sequence[Sequence[float]],
            splits: Sequence[placement.Split],
            loads: Sequence[LayerLoads]) -> Plan:
    """Adds the new splits, and drops the plan if the stall is not worth it."""
    before = expert_map.skew(state.current, shares)
    layers = [
        expert_map.with_split(layer.layout, split)
        for layer, split in zip(state.current, splits)
    ]
    for item in loads:
        layers[item.layer] = expert_map.layer_map(item.layout,
                                                  shares[item.layer])
    after = expert_map.skew(tuple(layers), shares)
    ranks = planner.group.ranks
    stall = ranks * planner.costs.stall_s
    if loads:
        return Plan(Verdict.LOAD, tuple(layers), tuple(loads),
                    sum(item.saving for item in loads),
                    stall + sum(item.price for item in loads))
    saving = ranks * planner.interval_s * (before - after) / before
    is_needed = (before > planner.balance.skew or before - after > SPLIT_GAIN)
    if planner.use_split and is_needed and saving > stall:
        return Plan(Verdict.SPLIT, tuple(layers), (), saving, stall)
    return Plan(Verdict.KEEP, state.current)


def _choose_loads(planner: Planner, state: GroupState,
                  estimate: popularity.Popularity,
                  shares: Sequence[Sequence[float]],
                  splits: Sequence[placement.Split],
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
    options.sort(key=lambda item: (-item.saving / item.price, item.layer))
    allowance = _allowance(planner, state)
    chosen = []
    for option in options:
        if total <= wanted:
            break
        if option.price <= allowance:
            allowance -= option.price
            total -= splits[option.layer].skew - option.skew
            chosen.append(option)
    stall = planner.group.ranks * planner.costs.stall_s
    net = sum(item.saving - item.price for item in chosen)
    return chosen if net > stall else []


def _chain(planner: Planner, state: GroupState, layer: int,
           shares: Sequence[float], split: placement.Split,
           now_s: float) -> list[moves.Step]:
    """Steps after each other, each the best for the present popularity."""
    fixed = moves.Fixed()
    if planner.use_fixing:
        fixed = _fixed(state, layer, now_s)
    layout = state.current[layer].layout
    chain: list[moves.Step] = []
    while len(chain) < _CHAIN_LENGTH and split.skew > planner.balance.skew:
        step = moves.best_step(planner.group, layout, shares, split, fixed)
        if step is None:
            break
        chain.append(step)
        layout, split = step.layout, step.split
    return chain


def _fixed(state: GroupState, layer: int, now_s: float) -> moves.Fixed:
    """What was loaded in a layer not long ago."""
    replicas = frozenset(
        (rank, expert)
        for (of_layer, rank, expert), at_s in state.loaded_at_s.items()
        if of_layer == layer and now_s - at_s < FIXED_S)
    return moves.Fixed(frozenset(expert for _, expert in replicas), replicas)


def _best_prefix(planner: Planner, state: GroupState, layer: int,
                 chain: Sequence[moves.Step], skew_now: float,
                 total_skew: float, life_s: float) -> LayerLoads | None:
    """The part of a chain that saves the most beyond its price."""
    past = state.past if planner.use_history else ()
    layout = state.current[layer].layout
    before = [placement.split(layout, item.shares[layer]).skew for item in past]
    per_skew = planner.group.ranks / total_skew
    loads: tuple[moves.Load, ...] = ()
    best: LayerLoads | None = None
    for step in chain:
        loads = (*loads, *step.loads)
        gains = [
            old - placement.split(step.layout, item.shares[layer]).skew
            for old, item in zip(before, past)
        ]
        gain = _lasting_gain(skew_now - step.split.skew, past, gains, life_s)
        load_s = planner.costs.load_s(len(loads))
        saving = per_skew * gain * max(0.0,
                                       life_s - planner.costs.queue_s - load_s)
        price = load_s * planner.costs.slowdown * planner.group.ranks
        net = saving - price
        if net > 0 and (best is None or net > best.saving - best.price):
            best = LayerLoads(layer, loads, step.layout, step.split.skew,
                              saving, price)
    return best


def _lasting_gain(now: float, past: Sequence[snapshots.Snapshot],
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


def _allowance(planner: Planner, state: GroupState) -> float:
    """Capacity-seconds that the budget still allows."""
    budget = (planner.balance.budget_share * planner.group.ranks *
              BUDGET_WINDOW_S)
    return budget - sum(item.capacity_s for item in state.spendings)


def _recent(spendings: tuple[Spending, ...],
            now_s: float) -> tuple[Spending, ...]:
    return tuple(
        item for item in spendings if now_s - item.at_s < BUDGET_WINDOW_S)


def _carry_out(state: GroupState, result: Plan, now_s: float) -> GroupState:
    """The state once the plan is in force."""
    if not result.price:
        return state
    loaded = {
        key: at_s
        for key, at_s in state.loaded_at_s.items()
        if now_s - at_s < FIXED_S
    }
    for item in result.loads:
        for load in item.loads:
            loaded[item.layer, load.rank, load.expert] = now_s
    return dataclasses.replace(state,
                               current=result.target,
                               spendings=(*state.spendings,
                                          Spending(now_s, result.price)),
                               loaded_at_s=loaded)
