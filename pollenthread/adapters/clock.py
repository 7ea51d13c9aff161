"""Clock of the operating system."""

import asyncio
import time

from pollenthread.ports import clock

__all__ = ['SystemClock']


class SystemClock(clock.Clock):
    """Clock that uses the monotonic clock of the system and asyncio."""

    def monotonic(self) -> float:
        return time.monotonic()

    async def sleep(self, seconds: float) -> None:
        await asyncio.sleep(seconds)
