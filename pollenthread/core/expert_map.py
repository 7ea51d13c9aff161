"""Expert maps: the ranks that hold each expert, and their traffic shares."""

import dataclasses
from collections.abc import Sequence

from pollenthread.core import placement

__all__ = [
    'ExpertMap', 'LayerMap', 'build_layer_map', 'build_map',
    'layer_map_from_split', 'loads_by_rank', 'skew'
]


@dataclasses.dataclass(frozen=True)
class LayerMap:
    """One layer of an expert map.

    Attributes:
        layout: the experts of each rank.
        fractions: for each expert, the ranks that hold it and the fraction of
            its traffic that each receives.
    """

    layout: placement.LayerLayout
    fractions: tuple[tuple[tuple[int, float], ...], ...]


ExpertMap = tuple[LayerMap, ...]
"""The map of a group, by layer."""


def build_layer_map(layout: placement.LayerLayout,
                    shares: Sequence[float]) -> LayerMap:
    """Returns a layer with the optimal split for the shares."""
    return layer_map_from_split(layout, placement.split_traffic(layout, shares))


def layer_map_from_split(layout: placement.LayerLayout,
                         split: placement.TrafficSplit) -> LayerMap:
    """Returns a layer with a given split."""
    fractions = []
    for parts in split.load_by_replica:
        total = sum(part for _, part in parts)
        fractions.append(
            tuple((rank, part / total if total else 1 / len(parts))
                  for rank, part in parts))
    return LayerMap(layout, tuple(fractions))


def build_map(layouts: Sequence[placement.LayerLayout],
              shares: Sequence[Sequence[float]]) -> ExpertMap:
    """Returns a map with the optimal split for the shares.

    Args:
        layouts: the layouts, by layer.
        shares: the traffic shares, by layer and expert.
    """
    return tuple(
        build_layer_map(layout, part) for layout, part in zip(layouts, shares))


def loads_by_rank(layer: LayerMap, shares: Sequence[float]) -> list[float]:
    """Returns the load of each rank, in units of the mean load."""
    load = [0.0] * len(layer.layout)
    scale = len(load) / sum(shares)
    for share, fractions in zip(shares, layer.fractions):
        for rank, fraction in fractions:
            load[rank] += share * fraction * scale
    return load


def skew(expert_map: ExpertMap, shares: Sequence[Sequence[float]]) -> float:
    """Returns the mean over layers of the greatest rank load.

    Each layer takes as long as its most loaded rank. Loads are in units of the
    mean load.
    """
    worst = [
        max(loads_by_rank(layer, part))
        for layer, part in zip(expert_map, shares)
    ]
    return sum(worst) / len(worst)
