"""Random traces of expert popularity, for `bench.balance`.

A trace is a function of time; all randomness is drawn when it is created.
"""

import math
from collections.abc import Callable

import numpy as np
import numpy.typing as npt

__all__ = ['Shares', 'TRACES', 'Trace', 'make_shifting_trace']

Shares = npt.NDArray[np.float64]
"""Popularity, shaped (layers, experts); the shares of a layer sum to 1."""

Trace = Callable[[float], Shares]
"""Returns the popularity at a time in seconds."""

_ZIPF_EXPONENT = 0.9
_HOUR_S = 3600.0
_DRIFT_PERIOD_S = 10 * _HOUR_S
_SEESAW_INTERVAL_S = 2400.0
_FLIP_TIME_S = 1.25 * _HOUR_S
_BURST_START_S = _HOUR_S
_BURST_END_S = 2 * _HOUR_S
_BURST_FACTOR = 4.0
_TOPIC_COUNT = 6
_SHIFTING_TOPIC_COUNT = 9
_MAIN_TOPIC_SHARE = 0.55


def _zipf(rng: np.random.Generator, layers: int, experts: int) -> Shares:
    weights = np.arange(1, experts + 1)**-_ZIPF_EXPONENT
    return _normalize(
        np.array([rng.permutation(weights) for _ in range(layers)]))


def _normalize(weights: Shares) -> Shares:
    return weights / weights.sum(axis=1, keepdims=True)


def _steady(rng: np.random.Generator, layers: int, experts: int) -> Trace:
    shares = _zipf(rng, layers, experts)
    return lambda _: shares


def _drift(rng: np.random.Generator, layers: int, experts: int) -> Trace:
    base = _zipf(rng, layers, experts)
    phase = rng.uniform(0, 2 * math.pi, base.shape)
    period = rng.uniform(0.5, 2.0, base.shape) * _DRIFT_PERIOD_S
    return lambda time_s: _normalize(base * np.exp(
        np.sin(2 * math.pi * time_s / period + phase)))


def _flip(rng: np.random.Generator, layers: int, experts: int) -> Trace:
    before = _zipf(rng, layers, experts)
    after = before.copy()
    for layer in after:
        permuted = rng.choice(experts, experts // 3, replace=False)
        layer[permuted] = layer[rng.permutation(permuted)]
    return lambda time_s: before if time_s < _FLIP_TIME_S else after


def _burst(rng: np.random.Generator, layers: int, experts: int) -> Trace:
    base = _zipf(rng, layers, experts)
    burst = base.copy()
    for layer in burst:
        layer[rng.choice(experts, experts // 8,
                         replace=False)] *= (_BURST_FACTOR)
    burst = _normalize(burst)
    return lambda time_s: (burst
                           if _BURST_START_S <= time_s < _BURST_END_S else base)


def _correlated(rng: np.random.Generator, layers: int, experts: int) -> Trace:
    topics = np.array(
        [_zipf(rng, layers, experts) for _ in range(_TOPIC_COUNT)])
    phase = rng.uniform(0, 2 * math.pi, _TOPIC_COUNT)

    def shares(time_s: float) -> Shares:
        wave = np.sin(2 * math.pi * time_s / _DRIFT_PERIOD_S + phase)
        weights = np.exp(2 * wave)
        mixed: Shares = np.tensordot(weights / weights.sum(), topics, axes=1)
        return mixed

    return shares


def _seesaw(rng: np.random.Generator, layers: int, experts: int) -> Trace:
    popularities = (_zipf(rng, layers, experts), _zipf(rng, layers, experts))
    return lambda time_s: popularities[int(time_s // _SEESAW_INTERVAL_S) % 2]


def make_shifting_trace(rng: np.random.Generator, layers: int, experts: int,
                        interval_s: float) -> Trace:
    """Returns a trace whose main topic changes at a fixed interval.

    Args:
        rng: the source of randomness.
        layers: the number of layers.
        experts: the number of experts of a layer.
        interval_s: the time between two changes, in seconds.
    """
    topics = np.array(
        [_zipf(rng, layers, experts) for _ in range(_SHIFTING_TOPIC_COUNT)])
    order = rng.permutation(_SHIFTING_TOPIC_COUNT)

    def shares(time_s: float) -> Shares:
        weights = np.full(_SHIFTING_TOPIC_COUNT,
                          (1 - _MAIN_TOPIC_SHARE) / (_SHIFTING_TOPIC_COUNT - 1))
        weights[order[int(time_s // interval_s) %
                      _SHIFTING_TOPIC_COUNT]] = _MAIN_TOPIC_SHARE
        mixed: Shares = np.tensordot(weights, topics, axes=1)
        return mixed

    return shares


TRACES: dict[str, Callable[[np.random.Generator, int, int], Trace]] = {
    'steady': _steady,
    'drift': _drift,
    'flip': _flip,
    'burst': _burst,
    'correlated': _correlated,
    'seesaw': _seesaw
}
