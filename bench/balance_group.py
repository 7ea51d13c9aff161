"""A rank group in lock-step, in process, that carries out plans."""

import dataclasses
from collections.abc import Sequence

import numpy as np

from bench import balance_traces
from pollenthread.core import expert_map, placement, popularity, rebalance

__all__ = ['Size', 'Totals', 'GroupModel']

_STEP_TOKENS = 32768
_STEPS_PER_INTERVAL = 4
_REPORT_TOKENS = 400_000
_LOST_REPORT = 0.05
_LATE_REPORT = 0.1
_HOUR_S = 3600.0


@dataclasses.dataclass(frozen=True)
class Size:
    """The shape of a benchmark."""

    name: str
    ranks: int
    experts: int
    layers: int
    slots: int
    hosts: int

    @property
    def group(self) -> placement.GroupShape:
        """The shape for the planner."""
        return placement.GroupShape(
            self.experts, (self.slots,) * self.ranks,
            tuple(f'host-{i * self.hosts // self.ranks}'
                  for i in range(self.ranks)))


@dataclasses.dataclass
class Totals:
    """What a run has cost."""

    skews: list[float] = dataclasses.field(default_factory=list)
    bounds: list[float] = dataclasses.field(default_factory=list)
    skew_lost_s: float = 0.0
    loading_lost_s: float = 0.0
    stalled_s: float = 0.0
    loads: int = 0
    undone: int = 0
    switches: int = 0
    planning_s: float = 0.0
    plans: int = 0
    loads_per_expert_hour: int = 0
    undone_per_expert_hour: int = 0

    @property
    def cost_s(self) -> float:
        """Capacity-seconds lost to skew, loads and switches."""
        return self.skew_lost_s + self.loading_lost_s + self.stalled_s


class GroupModel:
    """Runs a map against the true popularity and reports lagging counts."""

    def __init__(self, *, size: Size, trace: balance_traces.Trace,
                 costs: rebalance.LoadCosts, interval_s: float, seed: int,
                 start: expert_map.ExpertMap, is_instant: bool) -> None:
        self._size = size
        self._trace = trace
        self._costs = costs
        self._interval_s = interval_s
        self._draw = np.random.default_rng(seed)
        self._seq = 0
        self._is_instant = is_instant
        self._pending: tuple[float, expert_map.ExpertMap] | None = None
        self._loaded_at: dict[tuple[int, int, int], float] = {}
        self._dropped_at: dict[tuple[int, int, int], float] = {}
        self._loads_at: dict[tuple[int, int], list[float]] = {}
        self._undone_at: dict[tuple[int, int], list[float]] = {}
        self._late: popularity.TokenCounts | None = None
        self.current = start
        self.totals = Totals()

    @property
    def is_loading(self) -> bool:
        """Whether a change is under way."""
        return self._pending is not None

    def reports(self, time_s: float) -> list[popularity.TokenCounts]:
        """The counts that arrive now: some are lost, some come late."""
        self._seq += 1
        tokens = tuple(
            tuple(
                int(n)
                for n in self._draw.multinomial(_REPORT_TOKENS, layer))
            for layer in self._trace(time_s - 1.0))
        counts = popularity.TokenCounts(self._seq, time_s, tokens)
        chance = self._draw.random()
        arrived = [] if self._late is None else [self._late]
        self._late = None
        if chance < _LOST_REPORT:
            return arrived
        if chance < _LOST_REPORT + _LATE_REPORT:
            self._late = counts
            return arrived
        return [counts, *arrived]

    def switch(self, target: expert_map.ExpertMap, time_s: float) -> None:
        """Begins to load what a new map needs."""
        if target == self.current:
            return
        loads = self._count_loads(target, time_s)
        load_s = self._costs.load_s(loads)
        self.totals.loads += loads
        self.totals.loading_lost_s += (load_s * self._costs.slowdown *
                                       self._size.ranks)
        self.totals.switches += 1
        self.totals.stalled_s += self._costs.stall_s * self._size.ranks
        wait_s = 0.0 if self._is_instant else load_s
        self._pending = (time_s + wait_s, target)

    def _count_loads(self, target: expert_map.ExpertMap, time_s: float) -> int:
        count = 0
        for layer, (old, new) in enumerate(zip(self.current, target)):
            loaded: set[int] = set()
            undone: set[int] = set()
            for rank, (before, after) in enumerate(zip(old.layout, new.layout)):
                for expert in set(after) - set(before):
                    count += 1
                    loaded.add(expert)
                    self._note(self._loaded_at, self._dropped_at,
                               (layer, rank, expert), time_s, undone)
                for expert in set(before) - set(after):
                    self._note(self._dropped_at, self._loaded_at,
                               (layer, rank, expert), time_s, undone)
            totals = self.totals
            totals.loads_per_expert_hour = max(
                totals.loads_per_expert_hour,
                _most_in_hour(self._loads_at, layer, loaded, time_s))
            totals.undone_per_expert_hour = max(
                totals.undone_per_expert_hour,
                _most_in_hour(self._undone_at, layer, undone, time_s))
        return count

    def _note(self, times: dict[tuple[int, int, int], float],
              opposite: dict[tuple[int, int, int],
                             float], key: tuple[int, int, int], time_s: float,
              undone: set[int]) -> None:
        if time_s - opposite.get(key, -_HOUR_S) < _HOUR_S:
            self.totals.undone += 1
            undone.add(key[2])
        times[key] = time_s

    def run_interval(self, time_s: float) -> None:
        """Makes steps until the next plan."""
        end_s = time_s + self._interval_s
        shares = self._trace(time_s)
        rows = [tuple(float(x) for x in layer) for layer in shares]
        group = self._size.group
        self.totals.bounds.append(
            sum(placement.skew_lower_bound(group, row) for row in rows) /
            len(rows))
        if self._pending is not None:
            ready_s, target = self._pending
            if ready_s > time_s:
                self._steps(shares, min(ready_s, end_s) - time_s)
            if ready_s >= end_s:
                return
            self.current, self._pending = target, None
            time_s = max(time_s, ready_s)
        self._steps(shares, end_s - time_s)

    def _steps(self, shares: balance_traces.Shares, duration_s: float) -> None:
        """Samples steps for a time with one map and one popularity."""
        steps = max(1,
                    round(_STEPS_PER_INTERVAL * duration_s / self._interval_s))
        matrices = [_matrix(layer, self._size) for layer in self.current]
        for _ in range(steps):
            worst = 0.0
            for row, matrix in zip(shares, matrices):
                tokens = self._draw.multinomial(_STEP_TOKENS, row)
                worst += float((tokens @ matrix).max())
            skew = worst * self._size.ranks / (_STEP_TOKENS * len(matrices))
            self.totals.skews.append(skew)
            self.totals.skew_lost_s += (duration_s / steps * self._size.ranks *
                                        (1 - 1 / skew))


def _most_in_hour(times: dict[tuple[int, int], list[float]], layer: int,
                  experts: set[int], time_s: float) -> int:
    """Notes a plan's experts; the most plans of one expert in an hour."""
    most = 0
    for expert in experts:
        key = (layer, expert)
        recent = [at for at in times.get(key, []) if time_s - at < _HOUR_S]
        times[key] = [*recent, time_s]
        most = max(most, len(times[key]))
    return most


def _matrix(layer: expert_map.LayerMap, size: Size) -> balance_traces.Shares:
    matrix = np.zeros((size.experts, size.ranks))
    for expert, fractions in enumerate(layer.fractions):
        for rank, fraction in fractions:
            matrix[expert, rank] = fraction
    return matrix


def rows_of(shares: balance_traces.Shares) -> Sequence[tuple[float, ...]]:
    """The shares as plain tuples."""
    return [tuple(float(x) for x in layer) for layer in shares]
