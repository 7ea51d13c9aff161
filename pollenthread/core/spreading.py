"""Randomized server choice for many hosts with slightly outdated load data.

If every host sent its requests to the server with the lowest known load, all
hosts together would overload that server; a server chosen uniformly at random
may already be full. Instead, the requests that all hosts are expected to send
before the next load report are distributed by water filling, the least loaded
servers first. Each server is chosen with a probability proportional to its
part of the distribution.
"""

from collections.abc import Sequence
from typing import Protocol

__all__ = ['ArrivalRate', 'RandomSource', 'pick_weighted', 'water_fill']

_RATE_WINDOW_S = 3.0


class RandomSource(Protocol):
    """A source of random numbers, such as `random.Random`."""

    def random(self) -> float:
        """Returns a random number in the range [0, 1)."""

    def uniform(self, a: float, b: float) -> float:
        """Returns a random number between `a` and `b`."""


class ArrivalRate:
    """The recent request rate of a host, with a linearly decaying count."""

    def __init__(self) -> None:
        self._count = 0.0
        self._updated_at = 0.0

    def record_request(self, now: float) -> None:
        """Records a request at the monotonic time `now`, in seconds."""
        self._count = self._decayed(now) + 1.0
        self._updated_at = now

    def per_s(self, now: float) -> float:
        """Returns the request rate per second."""
        return self._decayed(now) / _RATE_WINDOW_S

    def _decayed(self, now: float) -> float:
        elapsed = max(0.0, now - self._updated_at)
        return self._count * max(0.0, 1.0 - elapsed / _RATE_WINDOW_S)


def water_fill(loads: Sequence[float], amount: float) -> list[float]:
    """Distributes an amount of load over servers by water filling.

    Args:
        loads: the load of each server.
        amount: the load to distribute, in the same unit; greater than 0.

    Returns:
        The part of each server. The parts add up to the amount, and all
        servers with a part greater than 0 end at the same load.
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
    """Returns a random index with a probability proportional to its part."""
    point = rng.random() * sum(parts)
    for index, part in enumerate(parts):
        point -= part
        if point < 0:
            return index
    return max(range(len(parts)), key=lambda i: parts[i])
