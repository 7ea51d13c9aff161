"""Whether and when a request makes another attempt."""

from pollenthread.core import errors, targets

__all__ = ['RetryTokenBucket', 'backoff_s', 'is_retry_safe']

_SHARE = 0.1
_MAX_SAVED = 5.0
_RESERVED = 1.5
_FIRST_PAUSE_S = 0.01
_MAX_PAUSE_S = 0.5


class RetryTokenBucket:
    """Retries that successes have earned: a tenth of an attempt for each."""

    def __init__(self) -> None:
        self._saved = _MAX_SAVED

    def record_success(self) -> None:
        """Counts a success."""
        self._saved = min(_MAX_SAVED, self._saved + _SHARE)

    def try_acquire(self, importance: targets.Importance) -> bool:
        """Takes one retry out; False when there is none.

        Less important work leaves a part to what is above it.
        """
        above = targets.Importance.HIGH - importance
        if self._saved < 1.0 + above * _RESERVED:
            return False
        self._saved -= 1.0
        return True


def is_retry_safe(work_class: targets.WorkClass, ran: errors.Executed) -> bool:
    """Whether another attempt cannot run the work a second time in vain."""
    return work_class.repeatable or ran is errors.Executed.NO


def backoff_s(failures: int, draw: float) -> float:
    """Seconds to wait after a number of failures; full jitter.

    Args:
        failures: attempts that have failed, from 1.
        draw: a number from [0, 1).
    """
    return draw * min(_MAX_PAUSE_S, _FIRST_PAUSE_S * 2**failures)
