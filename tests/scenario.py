"""Event loop and system that the steps of a scenario share."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

from tests.fakes import caller as caller_module, system as system_module

__all__ = ['close', 'eventually', 'open_loop', 'run', 'start_system']

_Result = TypeVar('_Result')
_STEP_TIMEOUT_S = 60.0
_EVENTUALLY_TIMEOUT_S = 15.0


def open_loop(context: Any) -> None:
    """Adds an event loop and an exit stack to the context of a scenario."""
    context.runner = asyncio.Runner()
    context.stack = contextlib.AsyncExitStack()


def run(context: Any,
        awaitable: Awaitable[_Result],
        timeout_s: float = _STEP_TIMEOUT_S) -> _Result:
    """Runs an awaitable to completion in the loop of the scenario.

    Args:
        context: the context of behave.
        awaitable: the awaitable to run.
        timeout_s: the timeout in seconds.

    Returns:
        The result of the awaitable.

    Raises:
        TimeoutError: the awaitable did not complete in time.
    """

    async def bounded() -> _Result:
        async with asyncio.timeout(timeout_s):
            return await awaitable

    result: _Result = context.runner.run(bounded())
    return result


def start_system(context: Any, **counts: Any) -> system_module.System:
    """Starts a system that runs until `close`.

    Args:
        context: the context of behave; gets the system and a caller.
        **counts: the arguments of the system, such as numbers of hosts.
    """
    system = run(
        context,
        context.stack.enter_async_context(system_module.System(**counts)))
    context.system = system
    context.caller = caller_module.Caller(client=system.client,
                                          workspace='buna')
    return system


def close(context: Any) -> None:
    """Stops everything that the scenario started, and its event loop."""
    run(context, context.stack.aclose())
    context.runner.close()


async def eventually(check: Callable[[], Awaitable[bool]],
                     timeout_s: float = _EVENTUALLY_TIMEOUT_S) -> None:
    """Polls a check until it returns true.

    Args:
        check: the asynchronous check.
        timeout_s: the timeout in seconds.

    Raises:
        AssertionError: the check did not return true in time.
    """
    try:
        async with asyncio.timeout(timeout_s):
            while not await check():
                await asyncio.sleep(0.02)
    except TimeoutError:
        raise AssertionError('condition not met before the timeout') from None
