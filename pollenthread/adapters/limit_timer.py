"""A timer whose duration is a limit that can change while it runs."""

import asyncio
from collections.abc import Callable

from pollenthread.adapters import http_message

__all__ = ['LimitTimer']


class LimitTimer:
    """Calls a function once, unless it is cancelled before."""

    def __init__(self, *, limit: str, callback: Callable[[], None]) -> None:
        """Initializes a timer that `schedule` starts.

        Args:
            limit: the name of a limit in seconds, from now.
            callback: the function that is called.
        """
        self._limit = limit
        self._callback = callback
        self._loop = asyncio.get_running_loop()
        self._started_at = self._loop.time()
        self._handle: asyncio.TimerHandle | None = None

    @property
    def is_scheduled(self) -> bool:
        """Whether it will call the function."""
        return self._handle is not None

    def schedule(self, limits: http_message.ServerLimits) -> None:
        """Schedules the timer as its limit says now."""
        self.cancel()
        self._handle = self._loop.call_at(
            self._started_at + getattr(limits, self._limit), self._fire)

    def _fire(self) -> None:
        self._handle = None
        self._callback()

    def cancel(self) -> None:
        """Stops the timer."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None
