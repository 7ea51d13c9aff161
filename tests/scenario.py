"""What the steps of all features share: one event loop and one system."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

from tests.fakes import caller as caller_module, system as system_module

__all__ = ['close', 'eventually', 'open_loop', 'run', 'start_system']

_T = TypeVar('_T')
_STEP_TIMEOUT_S = 60.0
_EVENTUALLY_TIMEOUT_S = 15.0


def open_loop(context: Any) -> None:
    """Gives the context a loop and a stack of owners; call before a scenario.
    """
    context.runner = asyncio.Runner()
    context.stack = contextlib.AsyncExitStack()


def run(context: Any,
        awaitable: Awaitable[_T],
        timeout_s: float = _STEP_TIMEOUT_S) -> _T:
    """Runs a step's work to its end."""

    async def bounded() -> _T:
        async with asyncio.timeout(timeout_s):
            return await awaitable

    result: _T = context.runner.run(bounded())
    return result


def start_system(context: Any, **counts: Any) -> system_module.System:
    """Starts a system that lives until `close`."""
    system = run(
        context,
        context.stack.enter_async_context(system_module.System(**counts)))
    context.system = system
    context.caller = caller_module.Caller(client=system.client,
                                          workspace='buna')
    return system


def close(context: Any) -> None:
    """Stops everything the scenario started; call after it."""
    run(context, context.stack.aclose())
    context.runner.close()


async def eventually(check: Callable[[], Awaitable[bool]],
                     timeout_s: float = _EVENTUALLY_TIMEOUT_S) -> None:
    """Waits until a check holds.

    Raises:
        AssertionError: it did not hold in time.
    """
    try:
        async with asyncio.timeout(timeout_s):
            while not await check():
                await asyncio.sleep(0.02)
    except TimeoutError:
        raise AssertionError('the condition did not come to hold') from None
