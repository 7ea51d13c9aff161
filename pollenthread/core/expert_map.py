"""Expert maps: which ranks hold an expert, and how its traffic divides."""

import dataclasses
from collections.abc import Sequence

from pollenthread.core import placement

__all__ = [
    'ExpertMap', 'LayerMap', 'build_layer_map', 'loads_by_rank', 'build_map',
    'skew', 'layer_map_from_split'
]


@dataclasses.dataclass(frozen=True)
class LayerMap:
    """One layer of an expert map.

    Attributes:
        layout: the experts of each rank.
        fractions: for each expert the ranks that hold it, with the fraction of
            its traffic.
    """

    layout: placement.LayerLayout
    fractions: tuple[tuple[tuple[int, float], ...], ...]


ExpertMap = tuple[LayerMap, ...]
"""The whole map of a group, by layer."""


def build_layer_map(layout: placement.LayerLayout,
                    shares: Sequence[float]) -> LayerMap:
    """A layer with the best split for the shares."""
    return layer_map_from_split(layout, placement.split_traffic(layout, shares))


def layer_map_from_split(layout: placement.LayerLayout,
                         split: placement.TrafficSplit) -> LayerMap:
    """A layer with a given split."""
    fractions = []
    for parts in split.load_by_replica:
        total = sum(part for _, part in parts)
        fractions.append(
            tuple((rank, part / total if total else 1 / len(parts))
                  for rank, part in parts))
    return LayerMap(layout, tuple(fractions))


def build_map(layouts: Sequence[placement.LayerLayout],
              shares: Sequence[Sequence[float]]) -> ExpertMap:
    """A map with the best split for the shares."""
    return tuple(
        build_layer_map(layout, part) for layout, part in zip(layouts, shares))


def loads_by_rank(layer: LayerMap, shares: Sequence[float]) -> list[float]:
    """Each rank's load under a map, in units of the mean load."""
    load = [0.0] * len(layer.layout)
    scale = len(load) / sum(shares)
    for share, fractions in zip(shares, layer.fractions):
        for rank, fraction in fractions:
            load[rank] += share * fraction * scale
    return load


def skew(expert_map: ExpertMap, shares: Sequence[Sequence[float]]) -> float:
    """The group's skew: each layer waits for its slowest rank."""
    worst = [
        max(loads_by_rank(layer, part))
        for layer, part in zip(expert_map, shares)
    ]
    return sum(worst) / len(worst)
