"""Interface to the clock and to timed waits."""

import abc

__all__ = ['Clock']


class Clock(abc.ABC):
    """A monotonic clock with an asynchronous sleep."""

    @abc.abstractmethod
    def monotonic(self) -> float:
        """Returns the time in seconds; it never decreases."""

    @abc.abstractmethod
    async def sleep(self, seconds: float) -> None:
        """Suspends the current task for `seconds`."""
