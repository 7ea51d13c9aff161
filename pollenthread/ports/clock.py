"""Time as the system sees it."""

import abc

__all__ = ['Clock']


class Clock(abc.ABC):
    """A source of time and of waiting."""

    @abc.abstractmethod
    def monotonic(self) -> float:
        """Seconds that never go back."""

    @abc.abstractmethod
    async def sleep(self, seconds: float) -> None:
        """Waits for `seconds`."""
