"""A simulated rank group, for `bench.balance`.

All ranks execute each step together, so the slowest rank determines its time.
"""

import dataclasses
from collections.abc import Sequence

import numpy as np

from bench import balance_traces
from pollenthread.core import expert_map, placement, popularity, rebalance

__all__ = ['GroupModel', 'GroupSize', 'RunTotals']

_TOKENS_PER_STEP = 32768
_STEPS_PER_INTERVAL = 4
_TOKENS_PER_REPORT = 400_000
_LOST_REPORT_SHARE = 0.05
_DELAYED_REPORT_SHARE = 0.1
_HOUR_S = 3600.0


@dataclasses.dataclass(frozen=True)
class GroupSize:
    """The size of a simulated group.

    Attributes:
        name: name in the results.
        ranks: number of ranks.
        experts: number of experts of each layer.
        layers: number of layers.
        slots: number of experts of a layer that a rank holds.
        hosts: number of hosts that the ranks are spread over.
    """

    name: str
    ranks: int
    experts: int
    layers: int
    slots: int
    hosts: int

    @property
    def group_shape(self) -> placement.GroupShape:
        """The shape of the group for the planner."""
        return placement.GroupShape(
            self.experts, (self.slots,) * self.ranks,
            tuple(f'host-{i * self.hosts // self.ranks}'
                  for i in range(self.ranks)))


@dataclasses.dataclass
class RunTotals:
    """The totals of a run.

    Attributes:
        skews: skew of each sampled step.
        bounds: lower bound of the skew in each interval.
        skew_capacity_s: capacity-seconds lost to skew.
        loading_capacity_s: capacity-seconds lost while experts were loaded.
        stalled_capacity_s: capacity-seconds lost to stalls at switches.
        loads: number of loaded experts.
        reverted_loads: number of loads and drops that reverse an opposite
            change of less than an hour before.
        switches: number of map switches.
        planning_s: processor seconds spent on planning.
        plans: number of planning runs.
        loads_per_expert_hour: largest number of plans that load the same
            expert of a layer within an hour.
        reverts_per_expert_hour: largest number of plans that reverse a change
            of the same expert of a layer within an hour.
    """

    skews: list[float] = dataclasses.field(default_factory=list)
    bounds: list[float] = dataclasses.field(default_factory=list)
    skew_capacity_s: float = 0.0
    loading_capacity_s: float = 0.0
    stalled_capacity_s: float = 0.0
    loads: int = 0
    reverted_loads: int = 0
    switches: int = 0
    planning_s: float = 0.0
    plans: int = 0
    loads_per_expert_hour: int = 0
    reverts_per_expert_hour: int = 0

    @property
    def cost_capacity_s(self) -> float:
        """Capacity-seconds lost to skew, loads and switches."""
        return (self.skew_capacity_s + self.loading_capacity_s +
                self.stalled_capacity_s)


class GroupModel:
    """Simulates the steps of a group with a map and its token counts.

    Attributes:
        current: the map in use.
        totals: totals of the run.
    """

    def __init__(self, *, size: GroupSize, trace: balance_traces.Trace,
                 costs: rebalance.LoadCosts, interval_s: float, seed: int,
                 initial_map: expert_map.ExpertMap, is_instant: bool) -> None:
        self._size = size
        self._trace = trace
        self._costs = costs
        self._interval_s = interval_s
        self._rng = np.random.default_rng(seed)
        self._sequence_number = 0
        self._is_instant = is_instant
        self._pending: tuple[float, expert_map.ExpertMap] | None = None
        self._loaded_at_s: dict[tuple[int, int, int], float] = {}
        self._dropped_at_s: dict[tuple[int, int, int], float] = {}
        self._load_times: dict[tuple[int, int], list[float]] = {}
        self._revert_times: dict[tuple[int, int], list[float]] = {}
        self._delayed_report: popularity.TokenCounts | None = None
        self.current = initial_map
        self.totals = RunTotals()

    @property
    def is_loading(self) -> bool:
        """Whether the group is loading experts for another map."""
        return self._pending is not None

    def receive_reports(self, time_s: float) -> list[popularity.TokenCounts]:
        """Returns the token counts that arrive at a time in seconds.

        Some reports are lost, and some arrive one interval late.
        """
        self._sequence_number += 1
        tokens = tuple(
            tuple(
                int(n)
                for n in self._rng.multinomial(_TOKENS_PER_REPORT, layer))
            for layer in self._trace(time_s - 1.0))
        counts = popularity.TokenCounts(self._sequence_number, time_s, tokens)
        random_unit = self._rng.random()
        received = [] if self._delayed_report is None else [
            self._delayed_report
        ]
        self._delayed_report = None
        if random_unit < _LOST_REPORT_SHARE:
            return received
        if random_unit < _LOST_REPORT_SHARE + _DELAYED_REPORT_SHARE:
            self._delayed_report = counts
            return received
        return [counts, *received]

    def start_switch(self, target: expert_map.ExpertMap, time_s: float) -> None:
        """Starts to load the experts for another map.

        Args:
            target: the map to switch to.
            time_s: current time in seconds.
        """
        if target == self.current:
            return
        loads = self._count_loads(target, time_s)
        load_s = self._costs.load_s(loads)
        self.totals.loads += loads
        self.totals.loading_capacity_s += (load_s * self._costs.slowdown *
                                           self._size.ranks)
        self.totals.switches += 1
        self.totals.stalled_capacity_s += self._costs.stall_s * self._size.ranks
        wait_s = 0.0 if self._is_instant else load_s
        self._pending = (time_s + wait_s, target)

    def _count_loads(self, target: expert_map.ExpertMap, time_s: float) -> int:
        count = 0
        for layer, (old_layer,
                    new_layer) in enumerate(zip(self.current, target)):
            loaded: set[int] = set()
            reverted: set[int] = set()
            for rank, (old_experts, new_experts) in enumerate(
                    zip(old_layer.layout, new_layer.layout)):
                for expert in set(new_experts) - set(old_experts):
                    count += 1
                    loaded.add(expert)
                    self._record_change(self._loaded_at_s, self._dropped_at_s,
                                        (layer, rank, expert), time_s, reverted)
                for expert in set(old_experts) - set(new_experts):
                    self._record_change(self._dropped_at_s, self._loaded_at_s,
                                        (layer, rank, expert), time_s, reverted)
            totals = self.totals
            totals.loads_per_expert_hour = max(
                totals.loads_per_expert_hour,
                _record_and_count_in_hour(self._load_times, layer, loaded,
                                          time_s))
            totals.reverts_per_expert_hour = max(
                totals.reverts_per_expert_hour,
                _record_and_count_in_hour(self._revert_times, layer, reverted,
                                          time_s))
        return count

    def _record_change(self, last_times: dict[tuple[int, int, int], float],
                       last_opposite_times: dict[tuple[int, int, int],
                                                 float], key: tuple[int, int,
                                                                    int],
                       time_s: float, reverted: set[int]) -> None:
        if time_s - last_opposite_times.get(key, -_HOUR_S) < _HOUR_S:
            self.totals.reverted_loads += 1
            reverted.add(key[2])
        last_times[key] = time_s

    def run_interval(self, time_s: float) -> None:
        """Simulates the steps of one planning interval.

        Args:
            time_s: start of the interval in seconds.
        """
        end_s = time_s + self._interval_s
        shares = self._trace(time_s)
        rows = [tuple(float(x) for x in layer) for layer in shares]
        group_shape = self._size.group_shape
        self.totals.bounds.append(
            sum(placement.skew_lower_bound(group_shape, row) for row in rows) /
            len(rows))
        if self._pending is not None:
            ready_s, target = self._pending
            if ready_s > time_s:
                self._sample_steps(shares, min(ready_s, end_s) - time_s)
            if ready_s >= end_s:
                return
            self.current, self._pending = target, None
            time_s = max(time_s, ready_s)
        self._sample_steps(shares, end_s - time_s)

    def _sample_steps(self, shares: balance_traces.Shares,
                      duration_s: float) -> None:
        """Samples steps with a constant map and popularity."""
        steps = max(1,
                    round(_STEPS_PER_INTERVAL * duration_s / self._interval_s))
        matrices = [
            _traffic_matrix(layer, self._size) for layer in self.current
        ]
        for _ in range(steps):
            max_rank_tokens = 0.0
            for row, matrix in zip(shares, matrices):
                tokens = self._rng.multinomial(_TOKENS_PER_STEP, row)
                max_rank_tokens += float((tokens @ matrix).max())
            skew = max_rank_tokens * self._size.ranks / (_TOKENS_PER_STEP *
                                                         len(matrices))
            self.totals.skews.append(skew)
            self.totals.skew_capacity_s += (duration_s / steps *
                                            self._size.ranks * (1 - 1 / skew))


def _record_and_count_in_hour(last_times: dict[tuple[int, int],
                                               list[float]], layer: int,
                              experts: set[int], time_s: float) -> int:
    """Records the experts of a plan.

    Args:
        last_times: times of the plans by layer and expert; it is updated.
        layer: index of the layer.
        experts: the experts that the plan changes.
        time_s: time of the plan in seconds.

    Returns:
        The largest number of plans for one of the experts in the last hour.
    """
    max_count = 0
    for expert in experts:
        key = (layer, expert)
        recent = [
            time for time in last_times.get(key, []) if time_s - time < _HOUR_S
        ]
        last_times[key] = [*recent, time_s]
        max_count = max(max_count, len(last_times[key]))
    return max_count


def _traffic_matrix(layer: expert_map.LayerMap,
                    size: GroupSize) -> balance_traces.Shares:
    matrix = np.zeros((size.experts, size.ranks))
    for expert, fractions in enumerate(layer.fractions):
        for rank, fraction in fractions:
            matrix[expert, rank] = fraction
    return matrix


def to_rows(shares: balance_traces.Shares) -> Sequence[tuple[float, ...]]:
    """Converts shares to tuples, one for each layer."""
    return [tuple(float(x) for x in layer) for layer in shares]
