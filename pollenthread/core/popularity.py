"""Estimation of expert popularity from delayed and incomplete counts."""

import dataclasses
import math

__all__ = [
    'LayerPopularity', 'Popularity', 'TokenCounts', 'add_counts',
    'empty_popularity', 'expert_shares', 'standard_error',
    'total_variation_distance'
]

HALF_LIFE_S = 600.0
# The total variation distance, beyond sampling noise, of an abrupt shift.
SHIFT_DISTANCE = 0.08
# In standard errors.
_NOISE_MARGIN = 4.0
_RETAINED_AFTER_SHIFT = 0.25
DRIFT_HALF_LIFE_S = 3600.0
MAX_LAG_S = 3600.0
_PRIOR_TOKENS_PER_EXPERT = 8.0
_MAX_SEEN = 64
_S_PER_HOUR = 3600.0


@dataclasses.dataclass(frozen=True, slots=True)
class TokenCounts:
    """A report of an engine.

    Attributes:
        seq: the sequence number of the report.
        at_s: the end of the counted interval, in seconds.
        tokens: the number of routed tokens, by layer and expert.
    """

    seq: int
    at_s: float
    tokens: tuple[tuple[int, ...], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class LayerPopularity:
    """The estimate of one layer.

    Attributes:
        weight: the exponentially decayed token count, by expert.
        drift_per_h: the share of the traffic that moves to other experts per
            hour, minus the change explained by sampling noise.
    """

    weight: tuple[float, ...]
    drift_per_h: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Popularity:
    """The estimate of all layers.

    Attributes:
        at_s: the time of the latest report, in seconds.
        layers: the estimates, by layer.
        seen: the sequence numbers of recent reports, to detect duplicates.
        missed: the number of reports not received.
    """

    at_s: float
    layers: tuple[LayerPopularity, ...]
    seen: frozenset[int] = frozenset()
    missed: int = 0


def empty_popularity(*, layers: int, experts: int, at_s: float) -> Popularity:
    """Returns an estimate without observations."""
    empty = LayerPopularity((0.0,) * experts)
    return Popularity(at_s=at_s, layers=(empty,) * layers)


def expert_shares(layer: LayerPopularity) -> tuple[float, ...]:
    """Returns the estimated share of each expert, with a uniform prior."""
    prior = _PRIOR_TOKENS_PER_EXPERT
    total = sum(layer.weight) + prior * len(layer.weight)
    return tuple((weight + prior) / total for weight in layer.weight)


def standard_error(layer: LayerPopularity) -> float:
    """Returns the expected error of the estimated shares, from 0 to 1.

    The error is in units of `total_variation_distance`.
    """
    tokens = max(1.0, sum(layer.weight))
    return min(1.0, math.sqrt(len(layer.weight) / (2 * math.pi * tokens)))


def total_variation_distance(first: tuple[float, ...],
                             second: tuple[float, ...]) -> float:
    """Returns the total variation distance of two distributions."""
    return sum(abs(x - y) for x, y in zip(first, second)) / 2


def add_counts(popularity: Popularity, counts: TokenCounts) -> Popularity:
    """Adds a report to the estimate.

    Late reports have a lower weight. Duplicates, and reports that are late by
    more than `MAX_LAG_S`, are ignored.
    """
    lag_s = max(0.0, popularity.at_s - counts.at_s)
    if counts.seq in popularity.seen or lag_s > MAX_LAG_S:
        return popularity
    elapsed_s = max(0.0, counts.at_s - popularity.at_s)
    decay = 0.5**(elapsed_s / HALF_LIFE_S)
    late_weight = 0.5**(lag_s / HALF_LIFE_S)
    layers = tuple(
        _observe_layer(layer, tokens, decay, late_weight, elapsed_s)
        for layer, tokens in zip(popularity.layers, counts.tokens))
    newest = max(popularity.seen, default=counts.seq - 1)
    missed = popularity.missed
    missed += counts.seq - newest - 1 if counts.seq > newest else -1
    seen = popularity.seen | {counts.seq}
    if len(seen) > _MAX_SEEN:
        seen -= {min(seen)}
    return Popularity(at_s=max(popularity.at_s, counts.at_s),
                      layers=layers,
                      seen=seen,
                      missed=max(0, missed))


def _observe_layer(layer: LayerPopularity, tokens: tuple[int,
                                                         ...], decay: float,
                   late_weight: float, elapsed_s: float) -> LayerPopularity:
    if elapsed_s > 0 and _has_shifted(layer, tokens):
        decay *= _RETAINED_AFTER_SHIFT
    weight = tuple(old * decay + late_weight * count
                   for old, count in zip(layer.weight, tokens))
    after = LayerPopularity(weight, layer.drift_per_h)
    if elapsed_s <= 0 or not any(layer.weight):
        return after
    moved = total_variation_distance(expert_shares(layer), expert_shares(after))
    noise = standard_error(after) * math.sqrt(1 - decay)
    drift = max(0.0, moved - noise) * _S_PER_HOUR / elapsed_s
    retained = 0.5**(elapsed_s / DRIFT_HALF_LIFE_S)
    return LayerPopularity(
        weight, retained * layer.drift_per_h + (1 - retained) * drift)


def _has_shifted(layer: LayerPopularity, tokens: tuple[int, ...]) -> bool:
    """Returns whether new counts differ significantly from the estimate."""
    observed = LayerPopularity(tuple(float(count) for count in tokens))
    if not any(tokens) or not any(layer.weight):
        return False
    noise = standard_error(observed) + standard_error(layer)
    moved = total_variation_distance(expert_shares(observed),
                                     expert_shares(layer))
    return moved > SHIFT_DISTANCE + _NOISE_MARGIN * noise
