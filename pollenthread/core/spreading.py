"""Where one of many hosts sends a request, knowing loads that are a little old.

Answers the load pattern "many hosts, each with few requests, choose among many
servers": the server that all believe emptiest would be filled by all of them,
and one chosen at random may be full. What the hosts together will send before
the next news is poured over the servers like water, the emptiest first; each
server is chosen with the chance of its part of that.
"""

from collections.abc import Sequence
from typing import Protocol

__all__ = ['ArrivalRate', 'RandomSource', 'pick_weighted', 'water_fill']

_MEMORY_S = 3.0


class RandomSource(Protocol):
    """Where randomness comes from."""

    def random(self) -> float:
        """A number from 0 to 1."""

    def uniform(self, a: float, b: float) -> float:
        """A number from `a` to `b`."""


class ArrivalRate:
    """How many requests a second a host takes, lately."""

    def __init__(self) -> None:
        self._count = 0.0
        self._at = 0.0

    def record_request(self, now: float) -> None:
        """One more request came."""
        self._count = self._decayed(now) + 1.0
        self._at = now

    def per_s(self, now: float) -> float:
        """Requests a second."""
        return self._decayed(now) / _MEMORY_S

    def _decayed(self, now: float) -> float:
        elapsed = max(0.0, now - self._at)
        return self._count * max(0.0, 1.0 - elapsed / _MEMORY_S)


def water_fill(loads: Sequence[float], amount: float) -> list[float]:
    """What each server gets when an amount is poured over all of them.

    Args:
        loads: the load of each server.
        amount: what is poured, in the same unit; over 0.

    Returns:
        The parts, which add up to the amount: the servers that got any are
        then equally full.
    """
    ordered = sorted(loads)
    below = 0.0
    level = ordered[0]
    for count, load in enumerate(ordered, start=1):
        below += load
        level = (amount + below) / count
        if count == len(ordered) or level <= ordered[count]:
            break
    return [max(0.0, level - load) for load in loads]


def pick_weighted(parts: Sequence[float], rng: RandomSource) -> int:
    """An index, with the chance of its part."""
    point = rng.random() * sum(parts)
    for index, part in enumerate(parts):
        point -= part
        if point < 0:
            return index
    return max(range(len(parts)), key=lambda i: parts[i])
