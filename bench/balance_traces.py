"""Traces of expert popularity, made from a seed."""

import math
from collections.abc import Callable

import numpy as np
import numpy.typing as npt

__all__ = ['Shares', 'TRACES', 'Trace']

Shares = npt.NDArray[np.float64]
"""Popularity by layer and expert; each layer sums to 1."""

Trace = Callable[[float], Shares]
"""The popularity at a time in seconds."""

_ZIPF = 0.9
_HOUR_S = 3600.0
_DRIFT_PERIOD_S = 10 * _HOUR_S
_SEESAW_S = 2400.0
_FLIP_S = 1.25 * _HOUR_S
_BURST_START_S = _HOUR_S
_BURST_END_S = 2 * _HOUR_S
_BURST_FACTOR = 4.0
_TOPICS = 6


def _zipf(draw: np.random.Generator, layers: int, experts: int) -> Shares:
    weight = np.arange(1, experts + 1)**-_ZIPF
    return _even(np.array([draw.permutation(weight) for _ in range(layers)]))


def _even(weight: Shares) -> Shares:
    return weight / weight.sum(axis=1, keepdims=True)


def _steady(draw: np.random.Generator, layers: int, experts: int) -> Trace:
    shares = _zipf(draw, layers, experts)
    return lambda _: shares


def _drift(draw: np.random.Generator, layers: int, experts: int) -> Trace:
    base = _zipf(draw, layers, experts)
    phase = draw.uniform(0, 2 * math.pi, base.shape)
    period = draw.uniform(0.5, 2.0, base.shape) * _DRIFT_PERIOD_S
    return lambda t: _even(base * np.exp(
        np.sin(2 * math.pi * t / period + phase)))


def _flip(draw: np.random.Generator, layers: int, experts: int) -> Trace:
    before = _zipf(draw, layers, experts)
    after = before.copy()
    for layer in after:
        moved = draw.choice(experts, experts // 3, replace=False)
        layer[moved] = layer[draw.permutation(moved)]
    return lambda t: before if t < _FLIP_S else after


def _burst(draw: np.random.Generator, layers: int, experts: int) -> Trace:
    base = _zipf(draw, layers, experts)
    burst = base.copy()
    for layer in burst:
        layer[draw.choice(experts, experts // 8,
                          replace=False)] *= (_BURST_FACTOR)
    burst = _even(burst)
    return lambda t: burst if _BURST_START_S <= t < _BURST_END_S else base


def _correlated(draw: np.random.Generator, layers: int, experts: int) -> Trace:
    topics = np.array([_zipf(draw, layers, experts) for _ in range(_TOPICS)])
    phase = draw.uniform(0, 2 * math.pi, _TOPICS)

    def shares(time_s: float) -> Shares:
        wave = np.sin(2 * math.pi * time_s / _DRIFT_PERIOD_S + phase)
        weight = np.exp(2 * wave)
        mixed: Shares = np.tensordot(weight / weight.sum(), topics, axes=1)
        return mixed

    return shares


def _seesaw(draw: np.random.Generator, layers: int, experts: int) -> Trace:
    sides = (_zipf(draw, layers, experts), _zipf(draw, layers, experts))
    return lambda t: sides[int(t // _SEESAW_S) % 2]


TRACES: dict[str, Callable[[np.random.Generator, int, int], Trace]] = {
    'steady': _steady,
    'drift': _drift,
    'flip': _flip,
    'burst': _burst,
    'correlated': _correlated,
    'seesaw': _seesaw
}
