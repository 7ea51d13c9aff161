"""Where the experts of one layer lie, and how traffic splits among replicas.

Loads are in units of the mean load of a rank, so that the greatest load is the
layer's skew.
"""

import dataclasses
import itertools
from collections.abc import Sequence

__all__ = [
    'GroupShape', 'LayerLayout', 'TrafficSplit', 'initial_layout',
    'skew_lower_bound', 'pack_layout', 'replace_slot', 'split_traffic'
]

_SWEEPS = 12
_SETTLED = 1e-3

LayerLayout = tuple[tuple[int, ...], ...]
"""The experts that each rank holds in one layer, by rank."""


@dataclasses.dataclass(frozen=True)
class GroupShape:
    """The shape of a rank group.

    Attributes:
        experts: experts in a layer.
        slots_by_rank: experts of a layer that each rank's memory can hold.
        host_by_rank: the host of each rank.
    """

    experts: int
    slots_by_rank: tuple[int, ...]
    host_by_rank: tuple[str, ...]

    @property
    def ranks(self) -> int:
        """Ranks in the group."""
        return len(self.slots_by_rank)


@dataclasses.dataclass(frozen=True)
class TrafficSplit:
    """How the traffic of a layer divides.

    Attributes:
        load_by_rank: in units of the mean load.
        load_by_replica: for each expert, the load that each of its ranks
            takes, as pairs of rank and load.
    """

    load_by_rank: tuple[float, ...]
    load_by_replica: tuple[tuple[tuple[int, float], ...], ...]

    @property
    def skew(self) -> float:
        """The slowest rank over the mean rank."""
        return max(self.load_by_rank)


def initial_layout(group: GroupShape) -> LayerLayout:
    """A map for unknown popularity: experts in order, then around again."""
    even = [1.0] * group.experts
    return pack_layout(group, even)


def skew_lower_bound(group: GroupShape, shares: Sequence[float]) -> float:
    """The least skew that any map with the group's slots allows."""
    counts = _replica_counts(group, shares)
    hottest = max(share / count for share, count in zip(shares, counts))
    return max(1.0, hottest * group.ranks / sum(shares))


def pack_layout(group: GroupShape, shares: Sequence[float]) -> LayerLayout:
    """A new layout without regard to what lies where.

    Spare slots go to the experts with the greatest load per replica, the
    replicas to the least loaded ranks.
    """
    return _pack(group, shares, _replica_counts(group, shares))


def split_traffic(layout: LayerLayout, shares: Sequence[float]) -> TrafficSplit:
    """Divides the traffic of each expert so that the skew is least.

    Each expert in turn fills its ranks to one level. This descends on the sum
    of the squared loads, whose minimum also has the least maximum.
    """
    ranks_by_expert: list[list[int]] = [[] for _ in shares]
    for rank, experts in enumerate(layout):
        for expert in experts:
            ranks_by_expert[expert].append(rank)
    scale = len(layout) / sum(shares)
    load = [0.0] * len(layout)
    parts: list[list[float]] = []
    for expert, ranks in enumerate(ranks_by_expert):
        part = shares[expert] * scale / len(ranks)
        parts.append([part] * len(ranks))
        for rank in ranks:
            load[rank] += part
    replicated = [
        e for e, ranks in enumerate(ranks_by_expert) if len(ranks) > 1
    ]
    replicated.sort(key=lambda expert: -shares[expert])
    for _ in range(_SWEEPS):
        changed = 0.0
        for expert in replicated:
            changed = max(
                changed,
                _refill(load, ranks_by_expert[expert], parts[expert],
                        shares[expert] * scale))
        if changed < _SETTLED:
            break
    return TrafficSplit(
        tuple(load),
        tuple(
            tuple(zip(ranks, part))
            for ranks, part in zip(ranks_by_expert, parts)))


def _refill(load: list[float], ranks: list[int], parts: list[float],
            amount: float) -> float:
    """Fills an expert's ranks to one level; returns the greatest change."""
    for i, rank in enumerate(ranks):
        load[rank] -= parts[i]
    level = _level(sorted(load[rank] for rank in ranks), amount)
    changed = 0.0
    for i, rank in enumerate(ranks):
        part = max(0.0, level - load[rank])
        changed = max(changed, abs(part - parts[i]))
        parts[i] = part
        load[rank] += part
    return changed


def _level(ground: list[float], amount: float) -> float:
    """The level to which an amount fills the ground, lowest first."""
    total = amount
    for count, height in enumerate(ground, start=1):
        total += height
        if count == len(ground) or total <= ground[count] * count:
            return total / count
    raise ValueError('an expert without a rank')


def replace_slot(layout: LayerLayout, rank: int, old: int,
                 new: int) -> LayerLayout:
    """The layout with one expert of one rank exchanged for another."""
    experts = tuple(
        sorted(new if expert == old else expert for expert in layout[rank]))
    return (*layout[:rank], experts, *layout[rank + 1:])


def _replica_counts(group: GroupShape, shares: Sequence[float]) -> list[int]:
    """How many replicas each expert gets: the hottest replica first."""
    counts = [1] * group.experts
    for _ in range(sum(group.slots_by_rank) - group.experts):
        expert = max(
            (e for e in range(group.experts) if counts[e] < group.ranks),
            key=lambda e: (shares[e] / counts[e], -e))
        counts[expert] += 1
    return counts


def _pack(group: GroupShape, shares: Sequence[float],
          counts: list[int]) -> LayerLayout:
    """Puts replicas, the hottest first, on the least loaded ranks."""
    held: list[list[int]] = [[] for _ in group.slots_by_rank]
    load = [0.0] * group.ranks
    order = sorted(range(group.experts),
                   key=lambda e: (-shares[e] / counts[e], e))
    for expert in order:
        part = shares[expert] / counts[expert]
        hosts: list[str] = []
        for _ in range(counts[expert]):
            rank = _coolest(group, held, load, expert, hosts)
            if rank is None:
                break
            held[rank].append(expert)
            hosts.append(group.host_by_rank[rank])
            load[rank] += part
    _fill(group, shares, held)
    return tuple(tuple(sorted(experts)) for experts in held)


def _coolest(group: GroupShape, held: list[list[int]], load: list[float],
             expert: int, hosts: list[str]) -> int | None:
    """The least loaded rank with a free slot, on a new host if there is one."""
    free = [
        (hosts.count(group.host_by_rank[rank]), load[rank], len(experts), rank)
        for rank, experts in enumerate(held)
        if len(experts) < group.slots_by_rank[rank] and expert not in experts
    ]
    return min(free)[-1] if free else None


def _fill(group: GroupShape, shares: Sequence[float],
          held: list[list[int]]) -> None:
    """Puts hot experts into the slots that packing has left free."""
    by_share = sorted(range(group.experts), key=lambda e: (-shares[e], e))
    for rank, experts in enumerate(held):
        missing = (expert for expert in by_share if expert not in experts)
        free = group.slots_by_rank[rank] - len(experts)
        experts.extend(itertools.islice(missing, free))
