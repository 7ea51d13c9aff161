"""Arrival times of a response's chunks, compared with the latency target."""

import dataclasses

from pollenthread.core import targets

__all__ = ['ResponseTiming', 'meets_target']

_MS_PER_S = 1000


@dataclasses.dataclass(slots=True)
class ResponseTiming:
    """Arrival times of one response, in seconds since the request arrived.

    Attributes:
        first_chunk_s: arrival of the first chunk, or None.
        last_chunk_s: arrival of the last chunk so far.
        longest_gap_s: longest time between two chunks, in seconds.
        units: number of events, or of bytes, received so far.
    """

    first_chunk_s: float | None = None
    last_chunk_s: float = 0.0
    longest_gap_s: float = 0.0
    units: int = 0

    def record(self, at_s: float, count: int) -> None:
        """Records the arrival of a chunk with `count` units."""
        if self.first_chunk_s is None:
            self.first_chunk_s = at_s
        else:
            self.longest_gap_s = max(self.longest_gap_s,
                                     at_s - self.last_chunk_s)
        self.last_chunk_s = at_s
        self.units += count

    @property
    def mean_gap_s(self) -> float | None:
        """Mean seconds between units; None if there are fewer than two."""
        if self.first_chunk_s is None or self.units < 2:
            return None
        return (self.last_chunk_s - self.first_chunk_s) / (self.units - 1)


def meets_target(latency: targets.LatencyTarget, timing: ResponseTiming,
                 total_s: float) -> bool:
    """Returns whether a complete response met its latency target.

    The target between tokens is met if the mean gap is within it and no single
    gap exceeds the target for the first token; to the caller, a longer gap
    looks like a response that hangs.

    Args:
        latency: the latency target of the class of work.
        timing: the arrival times of the response.
        total_s: seconds from the request to the end of the response.
    """
    first_s = total_s if timing.first_chunk_s is None else timing.first_chunk_s
    mean_s = (timing.mean_gap_s
              if latency.between_tokens_ms is not None else None)
    gap_s = (timing.longest_gap_s
             if latency.between_tokens_ms is not None else 0.0)
    return (_is_within(total_s, latency.answer_ms) and
            _is_within(first_s, latency.first_token_ms) and
            _is_within(mean_s, latency.between_tokens_ms) and
            _is_within(gap_s, latency.first_token_ms))


def _is_within(measured_s: float | None, limit_ms: int | None) -> bool:
    if measured_s is None or limit_ms is None:
        return True
    return measured_s * _MS_PER_S <= limit_ms
