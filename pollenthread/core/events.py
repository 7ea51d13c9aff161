"""Splits a server-sent event stream at event boundaries."""

__all__ = ['DONE_EVENT', 'CountingEventSplitter', 'EventTooLargeError']

DONE_EVENT = b'data: [DONE]'
_MAX_EVENT_BYTES = 1 << 20


class EventTooLargeError(Exception):
    """An event did not end within the size limit."""


class CountingEventSplitter:
    """Cuts a byte stream into runs of whole events."""

    def __init__(self, *, max_event_bytes: int = _MAX_EVENT_BYTES) -> None:
        self._rest = b''
        self._max_event_bytes = max_event_bytes
        self._done = False

    @property
    def done(self) -> bool:
        """Whether the stream's last event has been seen."""
        return self._done

    def feed(self, data: bytes) -> tuple[int, bytes]:
        """Takes bytes as they come.

        Args:
            data: the next bytes of the stream.

        Returns:
            The number of whole events that are now complete, and their bytes.

        Raises:
            EventTooLarge: an event exceeds the size limit.
        """
        data = self._rest + data if self._rest else data
        cut = max(data.rfind(b'\n\n') + 2, data.rfind(b'\r\n\r\n') + 4)
        if cut < 4 and not data.startswith(b'\n\n'):
            cut = 0
        self._rest = data[cut:]
        if len(self._rest) > self._max_event_bytes:
            raise EventTooLargeError(f'an event exceeds {self._max_event_bytes} B')
        whole = data[:cut]
        if not whole:
            return 0, b''
        if whole.rstrip().endswith(DONE_EVENT):
            self._done = True
        return whole.count(b'\n\n') + whole.count(b'\r\n\r\n'), whole
