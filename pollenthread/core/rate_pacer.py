"""Paces requests at a rate, by the generic cell rate algorithm.

The algorithm keeps the time at which the next request is due if all come
evenly spaced. A request may come earlier than that by a tolerance, so that
requests which bunch up by chance use the rate too.
"""

__all__ = ['RatePacer']

# Time by which a request may be ahead of its due time.
_TOLERANCE_S = 0.5
# Slower rates could not be used to learn that a limit has ended.
_MIN_RATE_PER_S = 0.2


class RatePacer:
    """Paces the requests to one receiver; the rate may change at any time."""

    def __init__(self, *, starts_at: float) -> None:
        """Creates a pacer.

        Args:
            starts_at: monotonic seconds before which no request may be sent.
        """
        self._due_at = starts_at + _TOLERANCE_S

    def wait_s(self, now: float) -> float:
        """Returns the seconds until the next request may be sent."""
        return max(0.0, self._due_at - _TOLERANCE_S - now)

    def reserve(self, per_s: float, max_wait_s: float,
                now: float) -> float | None:
        """Reserves the time of one request.

        Args:
            per_s: the rate in requests per second.
            max_wait_s: how long the request can wait, in seconds.
            now: monotonic seconds.

        Returns:
            Seconds until the request may be sent, or None if it would have to
            wait too long; then nothing is reserved.
        """
        wait_s = self.wait_s(now)
        if wait_s > max_wait_s:
            return None
        self._due_at = max(self._due_at,
                           now + wait_s) + 1 / max(per_s, _MIN_RATE_PER_S)
        return wait_s
