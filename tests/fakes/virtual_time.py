"""An event loop whose time passes only while nothing can run."""

import asyncio
import selectors
from collections.abc import Coroutine, Mapping
from typing import Any, TypeVar

from pollenthread.ports import clock

__all__ = ['LoopClock', 'run']

_Result = TypeVar('_Result')


class _JumpingSelector(selectors.BaseSelector):
    """Never waits: it moves the time on instead."""

    def __init__(self) -> None:
        self.now = 1000.0
        self._inner = selectors.DefaultSelector()

    def register(self,
                 fileobj: Any,
                 events: int,
                 data: Any = None) -> selectors.SelectorKey:
        return self._inner.register(fileobj, events, data)

    def unregister(self, fileobj: Any) -> selectors.SelectorKey:
        return self._inner.unregister(fileobj)

    def select(
        self,
        timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        found = self._inner.select(0)
        if not found and timeout is None:
            raise RuntimeError('nothing can ever happen again')
        if not found and timeout:
            self.now += timeout
        return found

    def get_map(self) -> Mapping[Any, selectors.SelectorKey]:
        return self._inner.get_map() or {}

    def close(self) -> None:
        self._inner.close()


class _VirtualLoop(asyncio.SelectorEventLoop):
    """Runs on a jumping selector's time."""

    def __init__(self) -> None:
        self._selector_with_time = _JumpingSelector()
        super().__init__(self._selector_with_time)

    def time(self) -> float:
        return self._selector_with_time.now


class LoopClock(clock.Clock):
    """The time of the running loop."""

    def monotonic(self) -> float:
        return asyncio.get_running_loop().time()

    async def sleep(self, seconds: float) -> None:
        await asyncio.sleep(seconds)


def run(coroutine: Coroutine[Any, Any, _Result]) -> _Result:
    """Runs to the end, however long that takes in virtual time."""
    with asyncio.Runner(loop_factory=_VirtualLoop) as runner:
        return runner.run(coroutine)
