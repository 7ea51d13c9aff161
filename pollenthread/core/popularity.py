"""How popular each expert is, from counts that lag and have gaps."""

import dataclasses
import math

__all__ = [
    'TokenCounts', 'LayerPopularity', 'Popularity', 'total_variation_distance',
    'empty_popularity', 'add_counts', 'expert_shares', 'standard_error'
]

HALF_LIFE_S = 600.0
SHIFT_DISTANCE = 0.08
_NOISE_MARGIN = 4.0
_KEEP_AFTER_JUMP = 0.25
DRIFT_HALF_LIFE_S = 3600.0
MAX_LAG_S = 3600.0
_PRIOR_TOKENS_PER_EXPERT = 8.0
_SEEN_LIMIT = 64
_S_PER_HOUR = 3600.0


@dataclasses.dataclass(frozen=True, slots=True)
class TokenCounts:
    """One report of an engine.

    Attributes:
        seq: numbers the engine's reports.
        at_s: the end of the counted time, in seconds.
        tokens: routed tokens by layer and expert.
    """

    seq: int
    at_s: float
    tokens: tuple[tuple[int, ...], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class LayerPopularity:
    """The estimate of one layer.

    Attributes:
        weight: decayed tokens by expert.
        drift_per_h: the share of the traffic that changes its expert in an
            hour, without what the sample's size explains.
    """

    weight: tuple[float, ...]
    drift_per_h: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Popularity:
    """The estimate of all layers.

    Attributes:
        at_s: the time of the newest report, in seconds.
        layers: by layer.
        seen: the numbers of recent reports, to drop repeats.
        missed: reports that have never come.
    """

    at_s: float
    layers: tuple[LayerPopularity, ...]
    seen: frozenset[int] = frozenset()
    missed: int = 0


def empty_popularity(*, layers: int, experts: int, at_s: float) -> Popularity:
    """An estimate that knows nothing yet."""
    empty = LayerPopularity((0.0,) * experts)
    return Popularity(at_s=at_s, layers=(empty,) * layers)


def expert_shares(layer: LayerPopularity) -> tuple[float, ...]:
    """The estimated share of each expert, drawn to even by a small prior."""
    prior = _PRIOR_TOKENS_PER_EXPERT
    total = sum(layer.weight) + prior * len(layer.weight)
    return tuple((weight + prior) / total for weight in layer.weight)


def standard_error(layer: LayerPopularity) -> float:
    """The expected distance of the estimate from the truth, 0 to 1."""
    tokens = max(1.0, sum(layer.weight))
    return min(1.0, math.sqrt(len(layer.weight) / (2 * math.pi * tokens)))


def total_variation_distance(first: tuple[float, ...],
                             second: tuple[float, ...]) -> float:
    """The total variation distance of two distributions."""
    return sum(abs(x - y) for x, y in zip(first, second)) / 2


def add_counts(popularity: Popularity, counts: TokenCounts) -> Popularity:
    """Takes one report: late ones count less, repeats and stale ones nothing.
    """
    lag_s = max(0.0, popularity.at_s - counts.at_s)
    if counts.seq in popularity.seen or lag_s > MAX_LAG_S:
        return popularity
    elapsed_s = max(0.0, counts.at_s - popularity.at_s)
    decay = 0.5**(elapsed_s / HALF_LIFE_S)
    late = 0.5**(lag_s / HALF_LIFE_S)
    layers = tuple(
        _observe_layer(layer, tokens, decay, late, elapsed_s)
        for layer, tokens in zip(popularity.layers, counts.tokens))
    newest = max(popularity.seen, default=counts.seq - 1)
    missed = popularity.missed
    missed += counts.seq - newest - 1 if counts.seq > newest else -1
    seen = popularity.seen | {counts.seq}
    if len(seen) > _SEEN_LIMIT:
        seen -= {min(seen)}
    return Popularity(at_s=max(popularity.at_s, counts.at_s),
                      layers=layers,
                      seen=seen,
                      missed=max(0, missed))


def _observe_layer(layer: LayerPopularity, tokens: tuple[int,
                                                         ...], decay: float,
                   late: float, elapsed_s: float) -> LayerPopularity:
    if elapsed_s > 0 and _has_jumped(layer, tokens):
        decay *= _KEEP_AFTER_JUMP
    weight = tuple(
        old * decay + late * count for old, count in zip(layer.weight, tokens))
    after = LayerPopularity(weight, layer.drift_per_h)
    if elapsed_s <= 0 or not any(layer.weight):
        return after
    moved = total_variation_distance(expert_shares(layer), expert_shares(after))
    noise = standard_error(after) * math.sqrt(1 - decay)
    drift = max(0.0, moved - noise) * _S_PER_HOUR / elapsed_s
    keep = 0.5**(elapsed_s / DRIFT_HALF_LIFE_S)
    return LayerPopularity(weight,
                           keep * layer.drift_per_h + (1 - keep) * drift)


def _has_jumped(layer: LayerPopularity, tokens: tuple[int, ...]) -> bool:
    """Whether fresh counts differ from the estimate by more than chance."""
    fresh = LayerPopularity(tuple(float(count) for count in tokens))
    if not any(tokens) or not any(layer.weight):
        return False
    noise = standard_error(fresh) + standard_error(layer)
    moved = total_variation_distance(expert_shares(fresh), expert_shares(layer))
    return moved > SHIFT_DISTANCE + _NOISE_MARGIN * noise
