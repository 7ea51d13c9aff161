"""Keeps the background tasks of a process running.

A background task serves all requests and peers, so a failure on behalf of one
of them must not end the task, and even less the process.
"""

import asyncio
import types
from collections.abc import Callable, Coroutine
from typing import Any, Self

from pollenthread.core import log_events
from pollenthread.ports import event_log

__all__ = ['BackgroundWork', 'TaskSupervisor']

BackgroundWork = Callable[[], Coroutine[Any, Any, None]]
"""Starts a task from its beginning; called again after the task failed."""

_FIRST_RESTART_DELAY_S = 0.05
_MAX_RESTART_DELAY_S = 2.0
# A task that has run for this long has recovered from its last failure.
_RECOVERED_AFTER_S = 10.0


class TaskSupervisor:
    """Runs tasks until its context ends, which cancels them.

    A task that fails is restarted.

    Attributes:
        failures_by_task: how often each task has failed.
    """

    def __init__(self, *, log: event_log.EventLog) -> None:
        self._log = log
        self._tasks: set[asyncio.Task[None]] = set()
        self.failures_by_task: dict[str, int] = {}

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, kind: type[BaseException] | None,
                        error: BaseException | None,
                        trace: types.TracebackType | None) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks.clear()

    @property
    def failures(self) -> int:
        """The number of failures of all tasks."""
        return sum(self.failures_by_task.values())

    @property
    def running(self) -> set[str]:
        """The names of the tasks that have not ended."""
        return {task.get_name() for task in self._tasks if not task.done()}

    def start(self, name: str, work: BackgroundWork) -> None:
        """Starts a task.

        Args:
            name: identifies the task in the log.
            work: starts the task; it ends when this returns.
        """
        self._tasks.add(asyncio.create_task(self._run(name, work), name=name))

    async def wait(self) -> None:
        """Waits until all tasks have ended, including later ones."""
        while any(not task.done() for task in self._tasks):
            await asyncio.wait(self._tasks)

    async def _run(self, name: str, work: BackgroundWork) -> None:
        delay_s = _FIRST_RESTART_DELAY_S
        while True:
            started_at = asyncio.get_running_loop().time()
            try:
                await work()
                return
            except Exception as error:  # pylint: disable=broad-exception-caught
                self._record_failure(name, error)
            if (asyncio.get_running_loop().time() - started_at
                    > _RECOVERED_AFTER_S):
                delay_s = _FIRST_RESTART_DELAY_S
            await asyncio.sleep(delay_s)
            delay_s = min(_MAX_RESTART_DELAY_S, delay_s * 2)

    def _record_failure(self, name: str, error: Exception) -> None:
        self.failures_by_task[name] = self.failures_by_task.get(name, 0) + 1
        self._log.write(log_events.LogEvent.TASK_FAILED,
                        task=name,
                        failures=self.failures_by_task[name],
                        error=_describe(error))


def _describe(error: BaseException) -> str:
    """Returns the type and text of an error, and where it was raised."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    trace = error.__traceback__
    while trace is not None and trace.tb_next is not None:
        trace = trace.tb_next
    where = (f' at {trace.tb_frame.f_code.co_qualname}:{trace.tb_lineno}'
             if trace is not None else '')
    return f'{type(error).__name__}: {error}{where}'
