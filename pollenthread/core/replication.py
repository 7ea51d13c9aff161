"""Which experts to copy next so that ranks are evenly loaded soonest.

All ranks of a group copy at the same time, each over its own link, so a step
takes as long as the rank that copies most. Within that time the planner adds
one replica after another, each time the one that evens the group's work most.
It does not finish one set of layers before it begins the next: the first
replicas of a hot expert bring most of what all of them bring.
"""

import dataclasses
import heapq
from collections.abc import Sequence

__all__ = [
    'SetLayout', 'ReplicationLimits', 'ReplicationStep', 'max_rank_load',
    'mean_max_rank_load', 'plan_replication_step', 'rank_loads'
]

SetLayout = tuple[frozenset[int], ...]
"""The experts of one set that each rank holds, by rank."""

_CANDIDATE_EXPERTS = 3
_CANDIDATE_RANKS = 3
# Makes the planner heed all heavily loaded ranks, not just the first.
_NORM = 8


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicationLimits:
    """What a group allows.

    Attributes:
        places: experts of a set that a rank holds at most.
        max_new: experts of a set that may be new to a rank in one step.
        max_copies: experts of all sets that a rank copies in one step.
        min_gain: what a copy must take off the greatest load of its set, in
            units of the mean load, to be worth its bytes.
    """

    max_experts_per_rank: int
    max_new_per_set: int
    max_copies: int
    min_gain: float = 0.01


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicationStep:
    """The next map, and what it is expected to bring.

    Attributes:
        layouts: the map, by set.
        copies: experts that ranks must copy, over all sets and ranks.
        copies_of_busiest: experts that one rank must copy at most.
        before: the mean over sets of the greatest load, as it is.
        after: the same with the new map.
    """

    layouts: tuple[SetLayout, ...]
    copies: int
    max_copies_per_rank: int
    before: float
    after: float


def rank_loads(
    layout: SetLayout, shares: Sequence[float],
    slowdowns: Sequence[float] = ()) -> list[float]:
    """The load of each rank in units of the mean load.

    Args:
        layout: the experts of each rank.
        shares: how often each expert is chosen.
        paces: how much longer than others each rank takes for the same work;
            empty if all are equal.
    """
    return _loads(layout, shares, _holders(layout, len(shares)), slowdowns or
                  (1.0,) * len(layout))


def max_rank_load(
    layout: SetLayout, shares: Sequence[float],
    slowdowns: Sequence[float] = ()) -> float:
    """The load of the most loaded rank in units of the mean load."""
    return max(rank_loads(layout, shares, slowdowns))


def mean_max_rank_load(
    layouts: Sequence[SetLayout],
    shares: Sequence[Sequence[float]],
    slowdowns: Sequence[float] = ()) -> float:
    """The mean over sets of the greatest load."""
    return _mean(
        [max_rank_load(l, s, slowdowns) for l, s in zip(layouts, shares)])


def _loads(layout: SetLayout, shares: Sequence[float], holders: Sequence[int],
           paces: Sequence[float]) -> list[float]:
    scale = len(layout) / (sum(shares) or 1.0)
    return [
        scale * pace * sum(shares[e] / holders[e]
                           for e in experts)
        for experts, pace in zip(layout, paces)
    ]


def _holders(layout: SetLayout, experts: int) -> list[int]:
    holders = [0] * experts
    for held in layout:
        for expert in held:
            holders[expert] += 1
    return holders


def plan_replication_step(
    layouts: Sequence[SetLayout],
    shares: Sequence[Sequence[float]],
    limits: ReplicationLimits,
    slowdowns: Sequence[float] = ()) -> ReplicationStep:
    """Plans the next step.

    Args:
        layouts: the map in use, by set.
        shares: how often each expert is chosen, by set and expert.
        shape: what the group allows.
        paces: how much longer than others each rank takes for the same work;
            empty if all are equal.

    Returns:
        The step; its `copies` is 0 when nothing is worth copying.
    """
    slowdowns = slowdowns or (1.0,) * len(layouts[0])
    copies_left = [limits.max_copies] * len(layouts[0])
    sets = [
        _Set(layout, share, limits, slowdowns, copies_left)
        for layout, share in zip(layouts, shares)
    ]
    heap = [(-best.gain, index, best)
            for index, found in enumerate(sets)
            if (best := found.best_replica()) is not None]
    heapq.heapify(heap)
    while heap:
        _, index, replica = heapq.heappop(heap)
        if copies_left[replica.rank] > 0:
            sets[index].add(replica)
        better = sets[index].best_replica()
        if better is not None:
            heapq.heappush(heap, (-better.gain, index, better))
    copies = [limits.max_copies - left for left in copies_left]
    return ReplicationStep(layouts=tuple(found.layout() for found in sets),
                           copies=sum(copies),
                           max_copies_per_rank=max(copies),
                           before=mean_max_rank_load(layouts, shares,
                                                     slowdowns),
                           after=_mean([max(found.loads) for found in sets]))


def _mean(values: Sequence[float]) -> float:
    return sum(values) / len(values)


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class _Replica:
    """A replica that might be added, in place of another one if need be."""

    gain: float
    rank: int
    expert: int
    victim: int | None


class _Set:
    """One set of layers while replicas are added."""

    def __init__(self, layout: SetLayout, shares: Sequence[float],
                 shape: ReplicationLimits, paces: Sequence[float],
                 copies_left: list[int]) -> None:
        total = sum(shares) or 1.0
        self._share = [share * len(layout) / total for share in shares]
        self._shape = shape
        self._paces = paces
        self._copies_left = copies_left
        self._held = [set(experts) for experts in layout]
        self._holders = _holders(layout, len(shares))
        self._new = [0] * len(layout)
        self._added: set[tuple[int, int]] = set()
        self.loads = _loads(layout, shares, self._holders, paces)

    def layout(self) -> SetLayout:
        """The layout with all replicas that were added."""
        return tuple(frozenset(experts) for experts in self._held)

    def best_replica(self) -> _Replica | None:
        """The replica that evens the load most, if one does."""
        now = _norm(self.loads)
        best: _Replica | None = None
        ranks = self._free_ranks()
        for expert in self._heavy_experts():
            for rank in [r for r in ranks if expert not in self._held[r]
                        ][:_CANDIDATE_RANKS]:
                found = self._weigh(rank, expert, now)
                if found is not None and (best is None or
                                          found.gain > best.gain):
                    best = found
        return best

    def _free_ranks(self) -> list[int]:
        """Ranks that may copy, the least loaded first."""
        ranks = [
            r for r in range(len(self._held)) if self._copies_left[r] > 0 and
            self._new[r] < self._shape.max_new_per_set
        ]
        return sorted(ranks, key=lambda r: self.loads[r])

    def _heavy_experts(self) -> list[int]:
        """The experts that weigh most on the most loaded rank."""
        rank = max(range(len(self.loads)), key=lambda r: self.loads[r])
        return heapq.nlargest(_CANDIDATE_EXPERTS,
                              self._held[rank],
                              key=self._part)

    def _part(self, expert: int) -> float:
        """The load of one replica."""
        return self._share[expert] / self._holders[expert]

    def _weigh(self, rank: int, expert: int, now: float) -> _Replica | None:
        victim: int | None = None
        loads = list(self.loads)
        if len(self._held[rank]) >= self._shape.max_experts_per_rank:
            victim = self._victim(rank)
            if victim is None:
                return None
            self._shift(loads, victim, rank, -1)
        self._shift(loads, expert, rank, 1)
        gain = now - _norm(loads)
        if gain < self._shape.min_gain:
            return None
        return _Replica(gain, rank, expert, victim)

    def _victim(self, rank: int) -> int | None:
        """The replica on a rank that is missed least."""
        spare = [
            e for e in self._held[rank]
            if self._holders[e] > 1 and (rank, e) not in self._added
        ]
        return min(spare, key=lambda e: (self._part(e), e), default=None)

    def _shift(self, loads: list[float], expert: int, rank: int,
               change: int) -> None:
        """Adds or removes one replica in a list of loads."""
        before = self._part(expert)
        after = self._share[expert] / (self._holders[expert] + change)
        for other, held in enumerate(self._held):
            if expert in held and other != rank:
                loads[other] += (after - before) * self._paces[other]
        loads[rank] += (after if change > 0 else -before) * self._paces[rank]

    def add(self, replica: _Replica) -> None:
        """Adds a replica."""
        if replica.victim is not None:
            self._shift(self.loads, replica.victim, replica.rank, -1)
            self._held[replica.rank].discard(replica.victim)
            self._holders[replica.victim] -= 1
        self._shift(self.loads, replica.expert, replica.rank, 1)
        self._held[replica.rank].add(replica.expert)
        self._holders[replica.expert] += 1
        self._added.add((replica.rank, replica.expert))
        self._new[replica.rank] += 1
        self._copies_left[replica.rank] -= 1


def _norm(loads: Sequence[float]) -> float:
    """Close to the greatest load, and lower when any great load falls."""
    total: float = sum(load**_NORM for load in loads)
    return float((total / len(loads))**(1 / _NORM))
