"""An event loop whose clock advances only while no callback is ready."""

import asyncio
import selectors
from collections.abc import Coroutine, Mapping
from typing import Any, TypeVar

from pollenthread.ports import clock

__all__ = ['LoopClock', 'run']

_Result = TypeVar('_Result')


class _VirtualTimeSelector(selectors.BaseSelector):
    """Advances the virtual time instead of waiting for a timeout.

    Attributes:
        now: the virtual time in seconds.
    """

    def __init__(self) -> None:
        self.now = 1000.0
        self._selector = selectors.DefaultSelector()

    def register(self,
                 fileobj: Any,
                 events: int,
                 data: Any = None) -> selectors.SelectorKey:
        return self._selector.register(fileobj, events, data)

    def unregister(self, fileobj: Any) -> selectors.SelectorKey:
        return self._selector.unregister(fileobj)

    def select(
        self,
        timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        ready = self._selector.select(0)
        if not ready and timeout is None:
            raise RuntimeError(
                'deadlock: no callback, timer or ready file descriptor')
        if not ready and timeout:
            self.now += timeout
        return ready

    def get_map(self) -> Mapping[Any, selectors.SelectorKey]:
        return self._selector.get_map() or {}

    def close(self) -> None:
        self._selector.close()


class _VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop that runs on virtual time."""

    def __init__(self) -> None:
        self._time_selector = _VirtualTimeSelector()
        super().__init__(self._time_selector)

    def time(self) -> float:
        return self._time_selector.now


class LoopClock(clock.Clock):
    """A clock that reads the time of the running loop."""

    def monotonic(self) -> float:
        return asyncio.get_running_loop().time()

    async def sleep(self, seconds: float) -> None:
        await asyncio.sleep(seconds)


def run(coroutine: Coroutine[Any, Any, _Result]) -> _Result:
    """Runs a coroutine to completion in virtual time; returns its result."""
    with asyncio.Runner(loop_factory=_VirtualTimeLoop) as runner:
        return runner.run(coroutine)
