"""When the parts of an answer came, and whether that was in time."""

import dataclasses

from pollenthread.core import targets

__all__ = ['ResponseTiming', 'meets_target']

_MS_PER_S = 1000


@dataclasses.dataclass(slots=True)
class ResponseTiming:
    """The times of one answer's parts, in seconds since its request came.

    Attributes:
        first_s: when the first part came, or None.
        last_s: when the latest part came.
        longest_gap_s: the longest wait between two parts.
        units: events or bytes so far.
    """

    first_s: float | None = None
    last_s: float = 0.0
    longest_gap_s: float = 0.0
    units: int = 0

    def record(self, at_s: float, count: int) -> None:
        """Takes note of a part with `count` units."""
        if self.first_s is None:
            self.first_s = at_s
        else:
            self.longest_gap_s = max(self.longest_gap_s, at_s - self.last_s)
        self.last_s = at_s
        self.units += count

    @property
    def mean_gap_s(self) -> float | None:
        """Mean seconds between units; None for fewer than two."""
        if self.first_s is None or self.units < 2:
            return None
        return (self.last_s - self.first_s) / (self.units - 1)


def meets_target(latency: targets.LatencyTarget, pace: ResponseTiming, total_s: float) -> bool:
    """Whether a whole answer met its target.

    The time between tokens is met when the mean gap is within the target and no
    single gap is longer than the limit for the first token: a caller who waits
    that long sees an answer that hangs.

    Args:
        latency: the target of the class.
        pace: when the parts came.
        total_s: seconds from the request to the end of the answer.
    """
    first_s = total_s if pace.first_s is None else pace.first_s
    mean_s = pace.mean_gap_s if latency.between_tokens_ms is not None else None
    gap_s = pace.longest_gap_s if latency.between_tokens_ms is not None else 0.0
    return (_within(total_s, latency.answer_ms) and
            _within(first_s, latency.first_token_ms) and
            _within(mean_s, latency.between_tokens_ms) and
            _within(gap_s, latency.first_token_ms))


def _within(measured_s: float | None, limit_ms: int | None) -> bool:
    if measured_s is None or limit_ms is None:
        return True
    return measured_s * _MS_PER_S <= limit_ms
