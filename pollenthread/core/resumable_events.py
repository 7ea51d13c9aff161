"""Splits a `text/event-stream` body into complete events.

The id of the last event is tracked, so that the stream can be resumed.
"""

__all__ = [
    'EventError', 'EventOrderError', 'EventTooLongError',
    'ResumableEventSplitter'
]

_EVENT_END = b'\n\n'
_ID_FIELD = b'id:'
_MAX_EVENT_BYTES = 1024 * 1024


class EventError(ValueError):
    """The bytes do not continue the stream."""


class EventTooLongError(EventError):
    """An event did not end within the size limit."""


class EventOrderError(EventError):
    """The id of an event is not greater than that of the one before it."""


class ResumableEventSplitter:
    """Buffers an incomplete event until the rest of it arrives.

    Attributes:
        last_id: id of the last complete event, or None.
        events: number of complete events so far.
    """

    def __init__(self) -> None:
        self._partial = b''
        self.last_id: str | None = None
        self.events = 0

    @property
    def has_partial(self) -> bool:
        """Whether an incomplete event is buffered."""
        return bool(self._partial)

    def drop_partial(self) -> None:
        """Discards the incomplete event of an interrupted stream."""
        self._partial = b''

    def feed(self, data: bytes) -> bytes:
        """Adds bytes to the buffer.

        Args:
            data: the next bytes of the stream.

        Returns:
            The bytes of all events that are now complete.

        Raises:
            EventTooLongError: the incomplete event exceeds the size limit.
            EventOrderError: an event is a repetition of an earlier one.
        """
        data = self._partial + data
        end = data.rfind(_EVENT_END)
        if end < 0:
            self._partial = data
            if len(data) > _MAX_EVENT_BYTES:
                raise EventTooLongError(
                    f'an event exceeds {_MAX_EVENT_BYTES} bytes')
            return b''
        end += len(_EVENT_END)
        complete, self._partial = data[:end], data[end:]
        self._record_ids(complete)
        return complete

    def _record_ids(self, complete: bytes) -> None:
        last_id = self.last_id
        for line in complete.split(b'\n'):
            if line.startswith(_ID_FIELD):
                event_id = line[len(_ID_FIELD):].strip().decode('latin-1')
                if not _may_follow(event_id, last_id):
                    raise EventOrderError(
                        f'event {event_id} came after {last_id}')
                last_id = event_id
        self.last_id = last_id
        self.events += complete.count(_EVENT_END)


def _may_follow(event_id: str, last_id: str | None) -> bool:
    """Returns False if both ids are numbers and do not increase."""
    if last_id is None or not (event_id.isdecimal() and last_id.isdecimal()):
        return True
    return int(event_id) > int(last_id)
