"""The retry budget of one entry host, as a part of the budget of all hosts.

Each host uses an equal part of the fixed allowance plus a share of the requests
that it has received from callers, so that the total of all hosts stays within
the budget without coordination.
"""

import collections
import math

__all__ = ['SharedRetryBudget']

_BUCKET_COUNT = 10
_RATIO_SAFETY_FACTOR = 0.8
# Below half, because all hosts may restart within one window and then use their
# part of the fixed allowance twice.
_EXTRA_SAFETY_FACTOR = 0.45


class SharedRetryBudget:
    """Limits the retries to one service within a sliding window."""

    def __init__(self, *, ratio: float, extra: float, window_s: float) -> None:
        """Creates an unused budget.

        Args:
            ratio: allowed retries per request, over all hosts.
            extra: additional retries allowed in a window, over all hosts.
            window_s: the length of the window, in seconds.
        """
        self._ratio = ratio * _RATIO_SAFETY_FACTOR
        self._extra = extra * _EXTRA_SAFETY_FACTOR
        self._bucket_s = window_s / _BUCKET_COUNT
        self._requests_by_bucket: collections.Counter[
            int] = collections.Counter()
        self._retries_by_bucket: collections.Counter[int] = collections.Counter(
        )

    def record_request(self, now: float) -> None:
        """Records a caller's request to the service."""
        self._requests_by_bucket[self._bucket_of(now)] += 1

    def try_acquire(self, now: float, entry_host_count: int) -> bool:
        """Takes one retry from the budget; returns False if none is left.

        Args:
            now: monotonic seconds.
            entry_host_count: number of entry hosts that share the budget.
        """
        if not self.allows(now, entry_host_count):
            return False
        self._retries_by_bucket[self._bucket_of(now)] += 1
        return True

    def allows(self, now: float, entry_host_count: int) -> bool:
        """Returns whether the budget has a retry left, without taking it."""
        self._drop_old_buckets(now)
        allowed = (self._ratio * self._requests_by_bucket.total() +
                   math.floor(self._extra / max(1, entry_host_count)))
        return self._retries_by_bucket.total() + 1 <= allowed

    def _bucket_of(self, now: float) -> int:
        return math.floor(now / self._bucket_s)

    def _drop_old_buckets(self, now: float) -> None:
        oldest = self._bucket_of(now) - _BUCKET_COUNT
        for counts in (self._requests_by_bucket, self._retries_by_bucket):
            for bucket in [b for b in counts if b < oldest]:
                del counts[bucket]
