"""Splits a server-sent event stream at event boundaries.

Recognises `DONE_EVENT`, which ends a stream of a model engine.
"""

__all__ = ['DONE_EVENT', 'CountingEventSplitter', 'EventTooLargeError']

DONE_EVENT = b'data: [DONE]'
_MAX_EVENT_BYTES = 1 << 20


class EventTooLargeError(Exception):
    """An event did not end within the size limit."""


class CountingEventSplitter:
    """Splits a byte stream into complete events and counts them."""

    def __init__(self, *, max_event_bytes: int = _MAX_EVENT_BYTES) -> None:
        self._partial = b''
        self._max_event_bytes = max_event_bytes
        self._done = False

    @property
    def done(self) -> bool:
        """Whether the final event of the stream was received."""
        return self._done

    def feed(self, data: bytes) -> tuple[int, bytes]:
        """Adds bytes to the buffer.

        Args:
            data: the next bytes of the stream.

        Returns:
            The number of events that are now complete, and their bytes.

        Raises:
            EventTooLargeError: an event exceeds the size limit.
        """
        data = self._partial + data if self._partial else data
        end = max(data.rfind(b'\n\n') + 2, data.rfind(b'\r\n\r\n') + 4)
        if end < 4 and not data.startswith(b'\n\n'):
            end = 0
        self._partial = data[end:]
        if len(self._partial) > self._max_event_bytes:
            raise EventTooLargeError(
                f'an event exceeds {self._max_event_bytes} B')
        complete = data[:end]
        if not complete:
            return 0, b''
        if complete.rstrip().endswith(DONE_EVENT):
            self._done = True
        return complete.count(b'\n\n') + complete.count(b'\r\n\r\n'), complete
