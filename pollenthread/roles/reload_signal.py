"""Remembers requests to reload that arrive while a process starts.

SIGHUP ends a process that does not handle it, and the imports of a role take
longer than an operator would wait. This module imports little, so that its
handler is in place before them.
"""

import signal
import types

__all__ = ['PENDING', 'PendingReload']


class PendingReload:
    """Whether a reload was requested before the process could do it."""

    def __init__(self) -> None:
        self._is_requested = False

    def listen(self) -> None:
        """Handles SIGHUP from now on; another handler may replace this one."""
        signal.signal(signal.SIGHUP, self._on_signal)

    def _on_signal(self, number: int, frame: types.FrameType | None) -> None:
        del number, frame
        self._is_requested = True

    def take(self) -> bool:
        """Returns whether a reload was requested; forgets the request."""
        is_requested, self._is_requested = self._is_requested, False
        return is_requested


PENDING = PendingReload()
"""The requests to this process."""
