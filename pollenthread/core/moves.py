"""Single moves that improve the layout of one layer.

A move places an expert of the most loaded rank on a lightly loaded rank, where
it replaces a redundant replica or is swapped with another expert.
"""

import dataclasses
import itertools
from collections.abc import Iterator, Sequence

from pollenthread.core import placement

__all__ = [
    'ExpertLoad', 'LayoutMove', 'MoveConstraints', 'best_move',
    'optimize_layout', 'smooth_skew'
]

_MAX_MOVES = 64
_MIN_GAIN = 1e-3
_NORM_EXPONENT = 12
_MAX_CANDIDATE_EXPERTS = 3
_MAX_CANDIDATE_RANKS = 3
_MAX_SWAPS_PER_RANK = 1


@dataclasses.dataclass(frozen=True, slots=True)
class ExpertLoad:
    """The load of one expert by a rank.

    Attributes:
        rank: the index of the rank.
        expert: the expert to load.
        dropped: the expert that it replaces.
    """

    rank: int
    expert: int
    dropped: int


@dataclasses.dataclass(frozen=True)
class MoveConstraints:
    """Exclusions for moves.

    Attributes:
        experts: the experts that must not be loaded.
        replicas: the replicas that must not be dropped, as pairs of rank and
            expert.
    """

    experts: frozenset[int] = frozenset()
    replicas: frozenset[tuple[int, int]] = frozenset()

    def allows(self, load: ExpertLoad) -> bool:
        """Returns whether a load is permitted."""
        return (load.expert not in self.experts and
                (load.rank, load.dropped) not in self.replicas)


_UNCONSTRAINED = MoveConstraints()


@dataclasses.dataclass(frozen=True)
class LayoutMove:
    """A move and its result.

    Attributes:
        loads: the loads of the ranks.
        layout: the layout after the move.
        split: the traffic split after the move.
    """

    loads: tuple[ExpertLoad, ...]
    layout: placement.LayerLayout
    split: placement.TrafficSplit


def smooth_skew(split: placement.TrafficSplit) -> float:
    """Returns a smooth approximation of the skew, a p-norm of the loads.

    It is lower if fewer ranks have the greatest load.
    """
    total = sum(load**_NORM_EXPONENT for load in split.load_by_rank)
    smooth: float = total**(1 / _NORM_EXPONENT)
    return smooth


def optimize_layout(group: placement.GroupShape,
                    shares: Sequence[float]) -> placement.LayerLayout:
    """Returns the best layout found, ignoring the current one."""
    layout = placement.pack_layout(group, shares)
    split = placement.split_traffic(layout, shares)
    for _ in range(_MAX_MOVES):
        move = best_move(group, layout, shares, split)
        if move is None:
            break
        layout, split = move.layout, move.split
    return layout


def best_move(
        group: placement.GroupShape,
        layout: placement.LayerLayout,
        shares: Sequence[float],
        split: placement.TrafficSplit,
        constraints: MoveConstraints = _UNCONSTRAINED) -> LayoutMove | None:
    """Returns the move with the greatest skew reduction per loaded expert.

    Args:
        group: the dimensions of the group.
        layout: the current layout.
        shares: the share of the layer's traffic, by expert.
        split: the traffic split with the current layout.
        constraints: the exclusions for moves.

    Returns:
        The move, or None if none improves the skew enough.
    """
    before = smooth_skew(split)
    best: LayoutMove | None = None
    best_rate = 0.0
    for loads in _candidates(group, layout, split):
        if not all(constraints.allows(load) for load in loads):
            continue
        after = layout
        for load in loads:
            after = placement.replace_slot(after, load.rank, load.dropped,
                                           load.expert)
        result = placement.split_traffic(after, shares)
        gain = before - smooth_skew(result)
        if gain > _MIN_GAIN and gain / len(loads) > best_rate:
            best_rate = gain / len(loads)
            best = LayoutMove(loads, after, result)
    return best


def _candidates(
        group: placement.GroupShape, layout: placement.LayerLayout,
        split: placement.TrafficSplit) -> Iterator[tuple[ExpertLoad, ...]]:
    load = split.load_by_rank
    by_load = sorted(range(group.ranks), key=lambda rank: (load[rank], rank))
    max_load_rank = by_load[-1]
    for expert in _experts_by_load(layout[max_load_rank], max_load_rank,
                                   split)[:_MAX_CANDIDATE_EXPERTS]:
        candidate_ranks = [
            rank for rank in by_load[:-1] if expert not in layout[rank] and
            _may_hold(group, rank, expert, split)
        ]
        for rank in candidate_ranks[:_MAX_CANDIDATE_RANKS]:
            yield from _replacements(layout, rank, expert, split)
            swaps = _swaps(group, layout, max_load_rank, rank, expert, split)
            yield from itertools.islice(swaps, _MAX_SWAPS_PER_RANK)


def _experts_by_load(experts: Sequence[int], rank: int,
                     split: placement.TrafficSplit) -> list[int]:
    """Returns the experts of a rank by decreasing load on that rank."""
    return sorted(experts, key=lambda e: (-_replica_load(split, e, rank), e))


def _replica_load(split: placement.TrafficSplit, expert: int,
                  rank: int) -> float:
    for holder, part in split.load_by_replica[expert]:
        if holder == rank:
            return part
    return 0.0


def _may_hold(group: placement.GroupShape, rank: int, expert: int,
              split: placement.TrafficSplit) -> bool:
    """Returns whether a rank may hold a further replica of an expert.

    Replicas go to hosts without a replica of the expert as long as there are
    any.
    """
    hosts = {
        group.host_by_rank[holder]
        for holder, _ in split.load_by_replica[expert]
    }
    return (group.host_by_rank[rank] not in hosts or
            len(hosts) == len(set(group.host_by_rank)))


def _replacements(
        layout: placement.LayerLayout, rank: int, expert: int,
        split: placement.TrafficSplit) -> Iterator[tuple[ExpertLoad, ...]]:
    spare = [
        held for held in layout[rank] if len(split.load_by_replica[held]) > 1
    ]
    if spare:
        dropped = min(spare,
                      key=lambda held: (_replica_load(split, held, rank), held))
        yield (ExpertLoad(rank, expert, dropped),)


def _swaps(group: placement.GroupShape, layout: placement.LayerLayout,
           max_load_rank: int, rank: int, expert: int,
           split: placement.TrafficSplit) -> Iterator[tuple[ExpertLoad, ...]]:
    ideal_load = _replica_load(split, expert, max_load_rank) - (
        split.load_by_rank[max_load_rank] - split.load_by_rank[rank]) / 2
    others = [
        held for held in layout[rank] if held not in layout[max_load_rank] and
        (len(split.load_by_replica[held]) == 1 or
         _may_hold(group, max_load_rank, held, split))
    ]
    others.sort(key=lambda held:
                (abs(_replica_load(split, held, rank) - ideal_load), held))
    for other in others:
        yield (ExpertLoad(rank, expert,
                          other), ExpertLoad(max_load_rank, other, expert))
