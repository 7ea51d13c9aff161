"""Single steps that improve the layout of one layer.

A step puts an expert of the hottest rank on a cool rank, in place of a replica
that can be spared there or in exchange for another expert.
"""

import dataclasses
import itertools
from collections.abc import Iterator, Sequence

from pollenthread.core import placement

__all__ = [
    'MoveConstraints', 'ExpertLoad', 'LayoutMove', 'best_move',
    'optimize_layout', 'smooth_skew'
]

_MAX_STEPS = 64
_LEAST_GAIN = 1e-3
_EXPONENT = 12
_HOT_EXPERTS = 3
_COOL_RANKS = 3
_SWAPS = 1


@dataclasses.dataclass(frozen=True, slots=True)
class ExpertLoad:
    """One expert that a rank has to load, and the one that it drops."""

    rank: int
    expert: int
    dropped: int


@dataclasses.dataclass(frozen=True)
class MoveConstraints:
    """What a step must leave alone.

    Attributes:
        experts: experts that are not loaded again.
        replicas: replicas, as pairs of rank and expert, that are not dropped.
    """

    experts: frozenset[int] = frozenset()
    replicas: frozenset[tuple[int, int]] = frozenset()

    def allows(self, load: ExpertLoad) -> bool:
        """Whether a load leaves them alone."""
        return (load.expert not in self.experts and
                (load.rank, load.dropped) not in self.replicas)


_NOTHING = MoveConstraints()


@dataclasses.dataclass(frozen=True)
class LayoutMove:
    """One step and what it leads to.

    Attributes:
        loads: what ranks have to load.
        layout: the layout after the step.
        split: the traffic after the step.
    """

    loads: tuple[ExpertLoad, ...]
    layout: placement.LayerLayout
    split: placement.TrafficSplit


def smooth_skew(split: placement.TrafficSplit) -> float:
    """Close to the skew, but lower when fewer ranks share the greatest load."""
    total = sum(load**_EXPONENT for load in split.load_by_rank)
    smooth: float = total**(1 / _EXPONENT)
    return smooth


def optimize_layout(group: placement.GroupShape,
                    shares: Sequence[float]) -> placement.LayerLayout:
    """The best layout found without regard to what lies where."""
    layout = placement.pack_layout(group, shares)
    split = placement.split_traffic(layout, shares)
    for _ in range(_MAX_STEPS):
        step = best_move(group, layout, shares, split)
        if step is None:
            break
        layout, split = step.layout, step.split
    return layout


def best_move(group: placement.GroupShape,
              layout: placement.LayerLayout,
              shares: Sequence[float],
              split: placement.TrafficSplit,
              constraints: MoveConstraints = _NOTHING) -> LayoutMove | None:
    """The step that lowers the skew most for each expert loaded, or None.

    Args:
        group: the shape of the group.
        layout: what lies where.
        shares: the share of the layer's traffic by expert.
        split: the traffic with that layout.
        fixed: what must be left alone.
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
        if gain > _LEAST_GAIN and gain / len(loads) > best_rate:
            best_rate = gain / len(loads)
            best = LayoutMove(loads, after, result)
    return best


def _candidates(
        group: placement.GroupShape, layout: placement.LayerLayout,
        split: placement.TrafficSplit) -> Iterator[tuple[ExpertLoad, ...]]:
    load = split.load_by_rank
    by_load = sorted(range(group.ranks), key=lambda rank: (load[rank], rank))
    hot_rank = by_load[-1]
    for expert in _hottest(layout[hot_rank], hot_rank, split)[:_HOT_EXPERTS]:
        cool = [
            rank for rank in by_load[:-1] if expert not in layout[rank] and
            _may_hold(group, rank, expert, split)
        ]
        for rank in cool[:_COOL_RANKS]:
            yield from _replacements(layout, rank, expert, split)
            swaps = _swaps(group, layout, hot_rank, rank, expert, split)
            yield from itertools.islice(swaps, _SWAPS)


def _hottest(experts: Sequence[int], rank: int,
             split: placement.TrafficSplit) -> list[int]:
    """The experts that give a rank the most load."""
    return sorted(experts, key=lambda e: (-_part(split, e, rank), e))


def _part(split: placement.TrafficSplit, expert: int, rank: int) -> float:
    for holder, part in split.load_by_replica[expert]:
        if holder == rank:
            return part
    return 0.0


def _may_hold(group: placement.GroupShape, rank: int, expert: int,
              split: placement.TrafficSplit) -> bool:
    """Whether a replica here is on a host of its own, while there are any."""
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
        dropped = min(spare, key=lambda held: (_part(split, held, rank), held))
        yield (ExpertLoad(rank, expert, dropped),)


def _swaps(group: placement.GroupShape, layout: placement.LayerLayout,
           hot_rank: int, rank: int, expert: int,
           split: placement.TrafficSplit) -> Iterator[tuple[ExpertLoad, ...]]:
    wanted = _part(split, expert, hot_rank) - (split.load_by_rank[hot_rank] -
                                               split.load_by_rank[rank]) / 2
    others = [
        held for held in layout[rank] if held not in layout[hot_rank] and
        (len(split.load_by_replica[held]) == 1 or
         _may_hold(group, hot_rank, held, split))
    ]
    others.sort(key=lambda held: (abs(_part(split, held, rank) - wanted), held))
    for other in others:
        yield (ExpertLoad(rank, expert,
                          other), ExpertLoad(hot_rank, other, expert))
