"""An adaptive concurrency limit, adjusted by the latency of an upstream."""

import enum

__all__ = ['ConcurrencyLimit', 'LatencyMetric']

_INITIAL_LIMIT = 8
_MAX_LIMIT = 1024
_WINDOW_S = 0.25
_SATURATION_RATIO = 0.95
# Latency relative to its target that a decrease of the limit aims for.
_DECREASE_TARGET = 0.9
_MIN_DECREASE_FACTOR = 0.5
_SLOW_START_FACTOR = 1.5
_STEADY_GROWTH_SHARE = 0.05


class LatencyMetric(enum.IntEnum):
    """The kind of latency that is compared with its target."""

    BETWEEN_TOKENS = 0
    WHOLE_RESPONSE = 1
    FIRST_UNIT = 2


class ConcurrencyLimit:
    """A limit that grows below the latency target and shrinks above it.

    The decrease is proportional to the excess. A new upstream starts with slow
    start: the limit grows exponentially until the target is reached for the
    first time, and gradually from then on.
    """

    def __init__(self, *, now: float) -> None:
        self._limit = float(_INITIAL_LIMIT)
        self._in_slow_start = True
        self._window_ends_at = now + _WINDOW_S
        self._decreased_at = now
        self._running = 0
        self._peak = 0
        self._sums = [0.0] * len(LatencyMetric)
        self._counts = [0] * len(LatencyMetric)

    @property
    def value(self) -> int:
        """The number of attempts that may run concurrently."""
        return max(1, int(self._limit))

    def set_running(self, running: int) -> None:
        """Sets the number of running attempts."""
        self._running = running
        self._peak = max(self._peak, running)

    def record_latency(self,
                       metric: LatencyMetric,
                       ratio: float,
                       now: float,
                       began_at: float | None = None) -> None:
        """Records one measured latency.

        Args:
            metric: the kind of latency.
            ratio: the latency divided by its target.
            now: monotonic seconds.
            began_at: monotonic seconds at which the attempt began, or None.
                Attempts from before the last decrease are ignored, because
                they ran under the previous limit.
        """
        if began_at is not None and began_at < self._decreased_at:
            return
        self._sums[metric] += ratio
        self._counts[metric] += 1
        if now >= self._window_ends_at:
            self._adjust(now)

    def _adjust(self, now: float) -> None:
        ratio = max(total / count
                    for total, count in zip(self._sums, self._counts)
                    if count)
        if ratio > _SATURATION_RATIO:
            self._in_slow_start = False
            self._decreased_at = now
            factor = max(_MIN_DECREASE_FACTOR, _DECREASE_TARGET / ratio)
            self._limit = max(1.0, min(self._limit, self._peak) * factor)
        elif self._peak >= self.value:
            growth = (self._limit *
                      (_SLOW_START_FACTOR - 1) if self._in_slow_start else max(
                          1.0, self._limit * _STEADY_GROWTH_SHARE))
            self._limit = min(_MAX_LIMIT, self._limit + growth)
        self._window_ends_at = now + _WINDOW_S
        self._peak = self._running
        self._sums = [0.0] * len(LatencyMetric)
        self._counts = [0] * len(LatencyMetric)
