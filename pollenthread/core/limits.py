"""How many attempts an upstream runs at once, learned from its latency."""

import enum

__all__ = ['ConcurrencyLimit', 'LatencyMetric']

_INITIAL_LIMIT = 8
_MAX_LIMIT = 1024
_WINDOW_S = 0.25
_SATURATION = 0.95
_AIM = 0.9
_MIN_DECREASE = 0.5
_START_GROWTH = 1.5
_STEADY_GROWTH = 0.05


class LatencyMetric(enum.IntEnum):
    """Which latency is compared with its target."""

    BETWEEN_TOKENS = 0
    ANSWER = 1
    FIRST_UNIT = 2


class ConcurrencyLimit:
    """Grows while latency is below its target, shrinks in proportion above.

    Growth is quick until the target is first reached, which is the slow start
    of a new upstream, and gradual from then on.
    """

    def __init__(self, *, now: float) -> None:
        self._limit = float(_INITIAL_LIMIT)
        self._starting = True
        self._window_ends_at = now + _WINDOW_S
        self._decreased_at = now
        self._running = 0
        self._peak = 0
        self._sums = [0.0] * len(LatencyMetric)
        self._counts = [0] * len(LatencyMetric)

    @property
    def value(self) -> int:
        """Attempts that may run at once."""
        return max(1, int(self._limit))

    def set_running(self, running: int) -> None:
        """Takes the number of running attempts when it changes."""
        self._running = running
        self._peak = max(self._peak, running)

    def record_latency(self,
                measure: LatencyMetric,
                ratio: float,
                now: float,
                since: float | None = None) -> None:
        """Takes one latency as a share of its target.

        Args:
            measure: which latency.
            ratio: its share of the target.
            now: seconds.
            since: when it began; what began before the last decrease says
                nothing of the limit in force.
        """
        if since is not None and since < self._decreased_at:
            return
        self._sums[measure] += ratio
        self._counts[measure] += 1
        if now >= self._window_ends_at:
            self._adjust(now)

    def _adjust(self, now: float) -> None:
        ratio = max(total / count
                    for total, count in zip(self._sums, self._counts)
                    if count)
        if ratio > _SATURATION:
            self._starting = False
            self._decreased_at = now
            cut = max(_MIN_DECREASE, _AIM / ratio)
            self._limit = max(1.0, min(self._limit, self._peak) * cut)
        elif self._peak >= self.value:
            growth = (self._limit * (_START_GROWTH - 1) if self._starting else
                      max(1.0, self._limit * _STEADY_GROWTH))
            self._limit = min(_MAX_LIMIT, self._limit + growth)
        self._window_ends_at = now + _WINDOW_S
        self._peak = self._running
        self._sums = [0.0] * len(LatencyMetric)
        self._counts = [0] * len(LatencyMetric)
