"""When the parts of a stream came, and what made it late.

A stream is late by what came first: the wait for a place at a server, its first
event, or a pause between two events.
"""

import dataclasses
import enum

__all__ = ['LatenessCause', 'StreamTiming']


class LatenessCause(enum.Enum):
    """What a stream's lateness began with."""

    NOTHING = 'nothing'
    SERVER_WAIT = 'place'
    FIRST_EVENT = 'first_event'
    EVENT_GAP = 'pause'


@dataclasses.dataclass(slots=True)
class StreamTiming:
    """Times of one stream, in monotonic seconds.

    Attributes:
        received_at: when the request was read.
        placed_at: when it was last sent to a server, or None.
        first_at: when the first event was passed on, or None.
        last_at: when the last event was passed on, or None.
        longest_pause_s: the longest time between two events.
    """

    received_at: float
    sent_at: float | None = None
    first_at: float | None = None
    last_at: float | None = None
    longest_gap_s: float = 0.0

    def record_sent(self, now: float) -> None:
        """The request is sent to a server."""
        self.sent_at = now

    def record_events(self, now: float) -> None:
        """Events are passed on."""
        if self.first_at is None or self.last_at is None:
            self.first_at = now
        else:
            self.longest_gap_s = max(self.longest_gap_s, now - self.last_at)
        self.last_at = now

    def first_s(self) -> float | None:
        """Seconds from the request to its first event."""
        return None if self.first_at is None else (self.first_at -
                                                   self.received_at)

    def lateness_cause(self, target_s: float, max_gap_s: float) -> LatenessCause:
        """What made the stream late.

        Args:
            target_s: seconds within which the first event is in time.
            max_pause_s: the longest pause in time, in seconds; 0 for any.
        """
        first_s = self.first_s()
        if first_s is None or first_s > target_s:
            is_placed = (self.sent_at is not None and
                         self.sent_at - self.received_at <= target_s / 2)
            return LatenessCause.FIRST_EVENT if is_placed else LatenessCause.SERVER_WAIT
        if max_gap_s and self.longest_gap_s > max_gap_s:
            return LatenessCause.EVENT_GAP
        return LatenessCause.NOTHING
