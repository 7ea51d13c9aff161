"""The machine's clock."""

import asyncio
import time

from pollenthread.ports import clock

__all__ = ['SystemClock']


class SystemClock(clock.Clock):
    """Real time."""

    def monotonic(self) -> float:
        return time.monotonic()

    async def sleep(self, seconds: float) -> None:
        await asyncio.sleep(seconds)
