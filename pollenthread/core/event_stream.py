"""Whole events out of the bytes of a `text/event-stream` body."""

__all__ = ['ResumableEventSplitter', 'EventTooLongError']

_EVENT_END = b'\n\n'
_ID_FIELD = b'id:'
_MAX_EVENT_BYTES = 1024 * 1024


class EventTooLongError(ValueError):
    """The bytes come to no end of an event."""


class ResumableEventSplitter:
    """Holds back the event that is not whole yet."""

    def __init__(self) -> None:
        self._rest = b''
        self.last_id: str | None = None
        self.events = 0

    @property
    def has_partial(self) -> bool:
        """Whether bytes of an unfinished event are held."""
        return bool(self._rest)

    def drop_partial(self) -> None:
        """Forgets the unfinished event of a stream that broke off."""
        self._rest = b''

    def feed(self, data: bytes) -> bytes:
        """Takes bytes; returns all events that are whole now.

        Raises:
            EventTooLong: the unfinished event exceeds what is held.
        """
        data = self._rest + data
        end = data.rfind(_EVENT_END)
        if end < 0:
            self._rest = data
            if len(data) > _MAX_EVENT_BYTES:
                raise EventTooLongError(f'an event exceeds {_MAX_EVENT_BYTES} bytes')
            return b''
        end += len(_EVENT_END)
        whole, self._rest = data[:end], data[end:]
        self._note_ids(whole)
        return whole

    def _note_ids(self, whole: bytes) -> None:
        self.events += whole.count(_EVENT_END)
        for line in whole.split(b'\n'):
            if line.startswith(_ID_FIELD):
                found = line[len(_ID_FIELD):].strip()
                self.last_id = found.decode('latin-1')
