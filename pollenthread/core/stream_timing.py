"""Records the timing of a stream and determines why it was late.

The cause of lateness is the earliest of: the wait for a server, the time to the
first event, and a gap between two events.
"""

import dataclasses
import enum

__all__ = ['LatenessCause', 'StreamTiming']


class LatenessCause(enum.Enum):
    """The earliest cause of a stream's lateness."""

    NOTHING = 'nothing'
    SERVER_WAIT = 'place'
    FIRST_EVENT = 'first_event'
    EVENT_GAP = 'pause'


@dataclasses.dataclass(slots=True)
class StreamTiming:
    """The timing of one stream; points in time are monotonic seconds.

    Attributes:
        received_at: when the request was received.
        sent_at: when the request was last sent to a server, or None.
        first_at: when the first event was forwarded, or None.
        last_at: when the last event was forwarded, or None.
        longest_gap_s: longest time between two events, in seconds.
    """

    received_at: float
    sent_at: float | None = None
    first_at: float | None = None
    last_at: float | None = None
    longest_gap_s: float = 0.0

    def record_sent(self, now: float) -> None:
        """Records that the request is sent to a server."""
        self.sent_at = now

    def record_events(self, now: float) -> None:
        """Records that events are forwarded."""
        if self.first_at is None or self.last_at is None:
            self.first_at = now
        else:
            self.longest_gap_s = max(self.longest_gap_s, now - self.last_at)
        self.last_at = now

    def first_s(self) -> float | None:
        """Returns seconds from the request to the first event, or None."""
        return None if self.first_at is None else (self.first_at -
                                                   self.received_at)

    def lateness_cause(self, target_s: float,
                       max_gap_s: float) -> LatenessCause:
        """Returns why the stream was late.

        A late first event is attributed to the wait for a server if that wait
        took more than half of the target.

        Args:
            target_s: latency target for the first event, in seconds.
            max_gap_s: longest allowed time between events, in seconds; 0 if
                unlimited.
        """
        first_s = self.first_s()
        if first_s is None or first_s > target_s:
            was_sent_in_time = (self.sent_at is not None and
                                self.sent_at - self.received_at <= target_s / 2)
            return (LatenessCause.FIRST_EVENT
                    if was_sent_in_time else LatenessCause.SERVER_WAIT)
        if max_gap_s and self.longest_gap_s > max_gap_s:
            return LatenessCause.EVENT_GAP
        return LatenessCause.NOTHING
