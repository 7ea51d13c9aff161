"""How many repeats one entry host may send, of what all may send together.

Each host takes its part of the fixed allowance and adds a share of what it
has itself taken from callers, so that the sum over hosts stays within the
bound without any message between them.
"""

import collections
import math

__all__ = ['SharedRetryBudget']

_BUCKETS = 10
_RATIO_SHARE = 0.8
# All hosts may restart within one window, and then take their part twice.
_EXTRA_SHARE = 0.45


class SharedRetryBudget:
    """Repeats to one service within a sliding window."""

    def __init__(self, *, ratio: float, extra: float, window_s: float) -> None:
        """Makes an unused budget.

        Args:
            ratio: repeats for each request, by all hosts together.
            extra: repeats beyond that in a window, by all hosts together.
            window_s: the length of the window, in seconds.
        """
        self._ratio = ratio * _RATIO_SHARE
        self._extra = extra * _EXTRA_SHARE
        self._bucket_s = window_s / _BUCKETS
        self._requests_by_bucket: collections.Counter[
            int] = collections.Counter()
        self._repeats_by_bucket: collections.Counter[int] = collections.Counter(
        )

    def record_request(self, now: float) -> None:
        """A caller's request for the service has come."""
        self._requests_by_bucket[self._bucket(now)] += 1

    def try_acquire(self, now: float, entry_host_count: int) -> bool:
        """Takes one repeat if there is one left.

        Args:
            now: monotonic seconds.
            hosts: the entry hosts that share the allowance.
        """
        self._forget(now)
        allowed = (self._ratio * self._requests_by_bucket.total() +
                   math.floor(self._extra / max(1, entry_host_count)))
        if self._repeats_by_bucket.total() + 1 > allowed:
            return False
        self._repeats_by_bucket[self._bucket(now)] += 1
        return True

    def _bucket(self, now: float) -> int:
        return math.floor(now / self._bucket_s)

    def _forget(self, now: float) -> None:
        oldest = self._bucket(now) - _BUCKETS
        for counts in (self._requests_by_bucket, self._repeats_by_bucket):
            for bucket in [b for b in counts if b < oldest]:
                del counts[bucket]
