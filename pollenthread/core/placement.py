"""Placement of the experts of one layer, and the split of their traffic.

Loads are in units of the mean load of a rank, so that the greatest load is the
skew of the layer.
"""

import dataclasses
import itertools
from collections.abc import Sequence

__all__ = [
    'GroupShape', 'LayerLayout', 'TrafficSplit', 'initial_layout',
    'pack_layout', 'replace_slot', 'skew_lower_bound', 'split_traffic'
]

_MAX_SWEEPS = 12
# Greatest change of a replica load in one sweep, in units of the mean load,
# below which the split counts as converged.
_CONVERGED_CHANGE = 1e-3

LayerLayout = tuple[tuple[int, ...], ...]
"""The experts that each rank holds in one layer, by rank."""


@dataclasses.dataclass(frozen=True)
class GroupShape:
    """The dimensions of a rank group.

    Attributes:
        experts: the number of experts in a layer.
        slots_by_rank: the number of experts of a layer that fit into the
            memory of each rank.
        host_by_rank: the host of each rank.
    """

    experts: int
    slots_by_rank: tuple[int, ...]
    host_by_rank: tuple[str, ...]

    @property
    def ranks(self) -> int:
        """The number of ranks in the group."""
        return len(self.slots_by_rank)


@dataclasses.dataclass(frozen=True)
class TrafficSplit:
    """The split of the traffic of a layer among replicas.

    Attributes:
        load_by_rank: the load of each rank, in units of the mean load.
        load_by_replica: for each expert, the load of each of its replicas, as
            pairs of rank and load.
    """

    load_by_rank: tuple[float, ...]
    load_by_replica: tuple[tuple[tuple[int, float], ...], ...]

    @property
    def skew(self) -> float:
        """The greatest rank load relative to the mean load."""
        return max(self.load_by_rank)


def initial_layout(group: GroupShape) -> LayerLayout:
    """Returns a layout for unknown popularity, as if shares were equal."""
    even = [1.0] * group.experts
    return pack_layout(group, even)


def skew_lower_bound(group: GroupShape, shares: Sequence[float]) -> float:
    """Returns a lower bound for the skew of any layout of the group."""
    counts = _replica_counts(group, shares)
    hottest = max(share / count for share, count in zip(shares, counts))
    return max(1.0, hottest * group.ranks / sum(shares))


def pack_layout(group: GroupShape, shares: Sequence[float]) -> LayerLayout:
    """Returns a layout that ignores the current one.

    Spare slots are assigned to the experts with the greatest load per replica,
    and replicas to the least loaded ranks.
    """
    return _assign_replicas(group, shares, _replica_counts(group, shares))


def split_traffic(layout: LayerLayout, shares: Sequence[float]) -> TrafficSplit:
    """Splits the traffic of each expert among its replicas with minimal skew.

    Coordinate descent: each replicated expert in turn distributes its traffic
    over its ranks by water filling. This minimizes the sum of the squared
    loads, and that minimum also has the least greatest load.

    Args:
        layout: the experts of each rank.
        shares: the traffic share of each expert.
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
    for _ in range(_MAX_SWEEPS):
        changed = 0.0
        for expert in replicated:
            changed = max(
                changed,
                _redistribute(load, ranks_by_expert[expert], parts[expert],
                              shares[expert] * scale))
        if changed < _CONVERGED_CHANGE:
            break
    return TrafficSplit(
        tuple(load),
        tuple(
            tuple(zip(ranks, part))
            for ranks, part in zip(ranks_by_expert, parts)))


def _redistribute(load: list[float], ranks: list[int], parts: list[float],
                  amount: float) -> float:
    """Redistributes the traffic of an expert; returns the greatest change."""
    for i, rank in enumerate(ranks):
        load[rank] -= parts[i]
    level = _water_level(sorted(load[rank] for rank in ranks), amount)
    changed = 0.0
    for i, rank in enumerate(ranks):
        part = max(0.0, level - load[rank])
        changed = max(changed, abs(part - parts[i]))
        parts[i] = part
        load[rank] += part
    return changed


def _water_level(loads: list[float], amount: float) -> float:
    """Returns the common load after water filling; loads are ascending."""
    total = amount
    for count, rank_load in enumerate(loads, start=1):
        total += rank_load
        if count == len(loads) or total <= loads[count] * count:
            return total / count
    raise ValueError('an expert without a rank')


def replace_slot(layout: LayerLayout, rank: int, old: int,
                 new: int) -> LayerLayout:
    """Returns the layout with one expert of one rank replaced."""
    experts = tuple(
        sorted(new if expert == old else expert for expert in layout[rank]))
    return (*layout[:rank], experts, *layout[rank + 1:])


def _replica_counts(group: GroupShape, shares: Sequence[float]) -> list[int]:
    """Returns the replica count of each expert, greedy by replica load."""
    counts = [1] * group.experts
    for _ in range(sum(group.slots_by_rank) - group.experts):
        expert = max(
            (e for e in range(group.experts) if counts[e] < group.ranks),
            key=lambda e: (shares[e] / counts[e], -e))
        counts[expert] += 1
    return counts


def _assign_replicas(group: GroupShape, shares: Sequence[float],
                     counts: list[int]) -> LayerLayout:
    """Assigns replicas, the most loaded first, to the least loaded ranks."""
    held: list[list[int]] = [[] for _ in group.slots_by_rank]
    load = [0.0] * group.ranks
    order = sorted(range(group.experts),
                   key=lambda e: (-shares[e] / counts[e], e))
    for expert in order:
        part = shares[expert] / counts[expert]
        hosts: list[str] = []
        for _ in range(counts[expert]):
            rank = _least_loaded_rank(group, held, load, expert, hosts)
            if rank is None:
                break
            held[rank].append(expert)
            hosts.append(group.host_by_rank[rank])
            load[rank] += part
    _fill_free_slots(group, shares, held)
    return tuple(tuple(sorted(experts)) for experts in held)


def _least_loaded_rank(group: GroupShape, held: list[list[int]],
                       load: list[float], expert: int,
                       hosts: list[str]) -> int | None:
    """Returns the least loaded rank with a free slot, or None.

    Ranks on hosts that hold fewer replicas of the expert are preferred.
    """
    free = [
        (hosts.count(group.host_by_rank[rank]), load[rank], len(experts), rank)
        for rank, experts in enumerate(held)
        if len(experts) < group.slots_by_rank[rank] and expert not in experts
    ]
    return min(free)[-1] if free else None


def _fill_free_slots(group: GroupShape, shares: Sequence[float],
                     held: list[list[int]]) -> None:
    """Fills the remaining free slots with the most popular experts."""
    by_share = sorted(range(group.experts), key=lambda e: (-shares[e], e))
    for rank, experts in enumerate(held):
        missing = (expert for expert in by_share if expert not in experts)
        free = group.slots_by_rank[rank] - len(experts)
        experts.extend(itertools.islice(missing, free))
