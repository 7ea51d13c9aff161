"""Decides whether and when a request is retried."""

from pollenthread.core import errors, targets

__all__ = ['RetryTokenBucket', 'backoff_s', 'is_retry_safe']

_TOKENS_PER_SUCCESS = 0.1
_MAX_TOKENS = 5.0
_RESERVED_PER_LEVEL = 1.5
_BASE_BACKOFF_S = 0.01
_MAX_BACKOFF_S = 0.5


class RetryTokenBucket:
    """A token bucket for retries; each success adds a tenth of a retry."""

    def __init__(self) -> None:
        self._tokens = _MAX_TOKENS

    def record_success(self) -> None:
        """Adds tokens for a successful attempt."""
        self._tokens = min(_MAX_TOKENS, self._tokens + _TOKENS_PER_SUCCESS)

    def try_acquire(self, importance: targets.Importance) -> bool:
        """Takes one token for a retry; returns False if too few are left.

        Work of lower importance must leave a reserve for each higher level.
        """
        levels_above = targets.Importance.HIGH - importance
        if self._tokens < 1.0 + levels_above * _RESERVED_PER_LEVEL:
            return False
        self._tokens -= 1.0
        return True


def is_retry_safe(work_class: targets.WorkClass,
                  executed: errors.Executed) -> bool:
    """Returns whether a retry is safe.

    It is safe if the work is repeatable or has not been executed.
    """
    return work_class.repeatable or executed is errors.Executed.NO


def backoff_s(failures: int, random_unit: float) -> float:
    """Returns the back-off before the next attempt, with full jitter.

    Args:
        failures: number of failed attempts, at least 1.
        random_unit: a random number in [0, 1).

    Returns:
        The back-off in seconds.
    """
    return random_unit * min(_MAX_BACKOFF_S, _BASE_BACKOFF_S * 2**failures)
