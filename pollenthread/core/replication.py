"""Greedy planning of expert replicas that balance the load of the ranks.

All ranks of a group copy experts at the same time, each over its own link, so
a step takes as long as the rank that copies most. Within that time the planner
adds replicas one by one, always the one that improves the balance of the group
most. It considers all sets of layers together instead of finishing one set
before the next, because the first replicas of a hot expert bring most of the
improvement.
"""

import dataclasses
import heapq
from collections.abc import Iterator, Sequence

__all__ = [
    'ReplicationLimits', 'ReplicationStep', 'SetLayout', 'max_rank_load',
    'mean_max_rank_load', 'mean_rank_loads', 'plan_replication_step',
    'rank_loads'
]

SetLayout = tuple[frozenset[int], ...]
"""The experts of one set that each rank holds, by rank."""

_MAX_CANDIDATE_EXPERTS = 3
_MAX_CANDIDATE_RANKS = 3
# The exponent of the load norm: accounts for all heavily loaded ranks, not
# only for the most loaded one.
_NORM_EXPONENT = 8
# All ranks wait for the one that copies most, so a rank counts as more loaded
# by this for each copy that it has been given, in units of the mean load.
_COPY_PENALTY = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicationLimits:
    """The limits of one step of a group.

    Attributes:
        max_experts_per_rank: the maximum experts of a set on one rank.
        max_new_per_set: the maximum experts of a set copied to one rank in one
            step.
        max_copies: the maximum experts of all sets copied to one rank in one
            step.
        min_gain: the minimum reduction of the load norm of a set that a copy
            must achieve, in units of the mean load.
    """

    max_experts_per_rank: int
    max_new_per_set: int
    max_copies: int
    min_gain: float = 0.01


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicationStep:
    """A planned step with its expected effect.

    Attributes:
        layouts: the new layouts, by set.
        copies: the number of experts to copy, over all sets and ranks.
        max_copies_per_rank: the greatest number of experts that one rank has
            to copy.
        before: the mean over sets of the greatest rank load before the step.
        after: the same after the step.
    """

    layouts: tuple[SetLayout, ...]
    copies: int
    max_copies_per_rank: int
    before: float
    after: float


def rank_loads(
    layout: SetLayout, shares: Sequence[float],
    slowdowns: Sequence[float] = ()) -> list[float]:
    """Returns the load of each rank in units of the mean load.

    Args:
        layout: the experts of each rank.
        shares: the relative frequency with which each expert is chosen.
        slowdowns: the relative time of each rank for the same work; empty if
            all ranks are equally fast.
    """
    return _loads(layout, shares, _count_replicas(layout, len(shares)),
                  slowdowns or (1.0,) * len(layout))


def max_rank_load(
    layout: SetLayout, shares: Sequence[float],
    slowdowns: Sequence[float] = ()) -> float:
    """Returns the load of the most loaded rank in units of the mean load."""
    return max(rank_loads(layout, shares, slowdowns))


def mean_max_rank_load(
    layouts: Sequence[SetLayout],
    shares: Sequence[Sequence[float]],
    slowdowns: Sequence[float] = ()) -> float:
    """Returns the mean over sets of the greatest rank load."""
    return _mean(
        [max_rank_load(l, s, slowdowns) for l, s in zip(layouts, shares)])


def mean_rank_loads(
    layouts: Sequence[SetLayout],
    shares: Sequence[Sequence[float]],
    slowdowns: Sequence[float] = ()
) -> list[float]:
    """Returns the load of each rank, averaged over sets."""
    by_set = [rank_loads(l, s, slowdowns) for l, s in zip(layouts, shares)]
    return [_mean(loads) for loads in zip(*by_set)]


def _loads(layout: SetLayout, shares: Sequence[float],
           replica_counts: Sequence[int],
           slowdowns: Sequence[float]) -> list[float]:
    scale = len(layout) / (sum(shares) or 1.0)
    return [
        scale * slowdown * sum(shares[e] / replica_counts[e]
                               for e in experts)
        for experts, slowdown in zip(layout, slowdowns)
    ]


def _count_replicas(layout: SetLayout, experts: int) -> list[int]:
    replica_counts = [0] * experts
    for held in layout:
        for expert in held:
            replica_counts[expert] += 1
    return replica_counts


def plan_replication_step(
    layouts: Sequence[SetLayout],
    shares: Sequence[Sequence[float]],
    limits: ReplicationLimits,
    slowdowns: Sequence[float] = ()) -> ReplicationStep:
    """Plans the next step.

    Args:
        layouts: the layouts in use, by set.
        shares: the relative frequency with which each expert is chosen, by set
            and expert.
        limits: the limits of the step.
        slowdowns: the relative time of each rank for the same work; empty if
            all ranks are equally fast.

    Returns:
        The step; its `copies` is 0 if no copy reaches the minimum gain.
    """
    slowdowns = slowdowns or (1.0,) * len(layouts[0])
    copies_left = [limits.max_copies] * len(layouts[0])
    sets = [
        _SetPlanner(layout, share, limits, slowdowns, copies_left)
        for layout, share in zip(layouts, shares)
    ]
    heap = [(-best.gain, index, best)
            for index, planner in enumerate(sets)
            if (best := planner.best_change()) is not None]
    heapq.heapify(heap)
    while heap:
        _, index, change = heapq.heappop(heap)
        if change.added is None or copies_left[change.rank] > 0:
            sets[index].apply(change)
        better = sets[index].best_change()
        if better is not None:
            heapq.heappush(heap, (-better.gain, index, better))
    copies = [limits.max_copies - left for left in copies_left]
    return ReplicationStep(layouts=tuple(planner.layout() for planner in sets),
                           copies=sum(copies),
                           max_copies_per_rank=max(copies),
                           before=mean_max_rank_load(layouts, shares,
                                                     slowdowns),
                           after=_mean([max(planner.loads) for planner in sets
                                       ]))


def _mean(values: Sequence[float]) -> float:
    return sum(values) / len(values)


@dataclasses.dataclass(frozen=True, slots=True)
class _Change:
    """A candidate change of one rank's experts.

    Attributes:
        gain: the reduction of the load norm of the set.
        rank: the rank.
        added: the expert to copy to the rank, or None.
        removed: the expert that the rank gives up, or None.
    """

    gain: float
    rank: int
    added: int | None
    removed: int | None


class _SetPlanner:
    """The mutable planning state of one set of layers."""

    def __init__(self, layout: SetLayout, shares: Sequence[float],
                 limits: ReplicationLimits, slowdowns: Sequence[float],
                 copies_left: list[int]) -> None:
        total = sum(shares) or 1.0
        self._normalized_shares = [
            share * len(layout) / total for share in shares
        ]
        self._limits = limits
        self._slowdowns = slowdowns
        self._copies_left = copies_left
        self._held = [set(experts) for experts in layout]
        self._replica_counts = _count_replicas(layout, len(shares))
        self._new_counts = [0] * len(layout)
        self._added: set[tuple[int, int]] = set()
        self.loads = _loads(layout, shares, self._replica_counts, slowdowns)

    def layout(self) -> SetLayout:
        """Returns the layout with all changes."""
        return tuple(frozenset(experts) for experts in self._held)

    def best_change(self) -> _Change | None:
        """Returns the change that improves the balance most, or None."""
        candidates = [*self._removals(), *self._additions()]
        best = max(candidates, key=lambda change: change.gain, default=None)
        if best is None or best.gain < self._limits.min_gain:
            return None
        return best

    def _removals(self) -> Iterator[_Change]:
        """Yields changes that only remove a replica from the busiest rank.

        The other replicas take over the load, and nothing is copied.
        """
        rank = self._busiest_rank()
        norm_before = _load_norm(self.loads)
        for expert in self._spare_experts(rank):
            loads = list(self.loads)
            self._apply_change(loads, expert, rank, -1)
            yield _Change(norm_before - _load_norm(loads), rank, None, expert)

    def _additions(self) -> Iterator[_Change]:
        """Yields changes that copy an expert of the busiest rank to another."""
        norm_before = _load_norm(self.loads)
        ranks = self._free_ranks()
        for expert in self._heaviest_experts():
            for rank in [r for r in ranks if expert not in self._held[r]
                        ][:_MAX_CANDIDATE_RANKS]:
                change = self._addition(rank, expert, norm_before)
                if change is not None:
                    yield change

    def _busiest_rank(self) -> int:
        return max(range(len(self.loads)), key=lambda r: self.loads[r])

    def _free_ranks(self) -> list[int]:
        """Returns the ranks that may copy more, the best ones first."""
        ranks = [
            r for r in range(len(self._held)) if self._copies_left[r] > 0 and
            self._new_counts[r] < self._limits.max_new_per_set
        ]

        def cost(rank: int) -> float:
            return self.loads[rank] - _COPY_PENALTY * self._copies_left[rank]

        return sorted(ranks, key=cost)

    def _heaviest_experts(self) -> list[int]:
        """Returns the experts with the highest load on the busiest rank."""
        return heapq.nlargest(_MAX_CANDIDATE_EXPERTS,
                              self._held[self._busiest_rank()],
                              key=self._load_per_replica)

    def _load_per_replica(self, expert: int) -> float:
        """Returns the load of each replica of an expert."""
        return self._normalized_shares[expert] / self._replica_counts[expert]

    def _addition(self, rank: int, expert: int,
                  norm_before: float) -> _Change | None:
        removed: int | None = None
        loads = list(self.loads)
        if len(self._held[rank]) >= self._limits.max_experts_per_rank:
            removed = min(self._spare_experts(rank),
                          key=lambda e: (self._load_per_replica(e), e),
                          default=None)
            if removed is None:
                return None
            self._apply_change(loads, removed, rank, -1)
        self._apply_change(loads, expert, rank, 1)
        return _Change(norm_before - _load_norm(loads), rank, expert, removed)

    def _spare_experts(self, rank: int) -> list[int]:
        """Returns the experts of a rank that it may give up."""
        return [
            e for e in self._held[rank]
            if self._replica_counts[e] > 1 and (rank, e) not in self._added
        ]

    def _apply_change(self, loads: list[float], expert: int, rank: int,
                      change: int) -> None:
        """Applies an added (1) or removed (-1) replica to a list of loads."""
        before = self._load_per_replica(expert)
        after = self._normalized_shares[expert] / (
            self._replica_counts[expert] + change)
        for other, held in enumerate(self._held):
            if expert in held and other != rank:
                loads[other] += (after - before) * self._slowdowns[other]
        loads[rank] += (after
                        if change > 0 else -before) * self._slowdowns[rank]

    def apply(self, change: _Change) -> None:
        """Applies a change to the layout."""
        rank = change.rank
        if change.removed is not None:
            self._apply_change(self.loads, change.removed, rank, -1)
            self._held[rank].discard(change.removed)
            self._replica_counts[change.removed] -= 1
        if change.added is not None:
            self._apply_change(self.loads, change.added, rank, 1)
            self._held[rank].add(change.added)
            self._replica_counts[change.added] += 1
            self._added.add((rank, change.added))
            self._new_counts[rank] += 1
            self._copies_left[rank] -= 1


def _load_norm(loads: Sequence[float]) -> float:
    """Returns a p-norm of the loads, a smooth approximation of the maximum."""
    total: float = sum(load**_NORM_EXPONENT for load in loads)
    return float((total / len(loads))**(1 / _NORM_EXPONENT))
