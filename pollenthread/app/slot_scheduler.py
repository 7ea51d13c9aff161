"""Schedules attempts at an agent into the concurrency slots of an upstream."""

import asyncio

from pollenthread.core import (admission_control, admission_queue, errors,
                               messages)

__all__ = ['SlotScheduler', 'make_admission_request']

_ADVANCE_INTERVAL_S = 0.05


class SlotScheduler:
    """Lets attempts wait for a slot and starts them by priority.

    An `AdmissionController` decides the order and the concurrency limit.
    """

    def __init__(self) -> None:
        self._controller = admission_control.AdmissionController(now=_now())
        self._waiters_by_attempt: dict[str, asyncio.Future[errors.ErrorKind |
                                                           None]] = {}
        self._timer: asyncio.TimerHandle | None = None

    @property
    def running(self) -> int:
        """The number of attempts that hold a slot."""
        return self._controller.running

    @property
    def queued(self) -> int:
        """The number of attempts that wait for a slot."""
        return self._controller.queued

    @property
    def load(self) -> admission_control.UpstreamLoad:
        """The current load of the upstream, as reported to entry hosts."""
        return self._controller.load(_now())

    async def acquire(
            self, request: admission_queue.AdmissionRequest
    ) -> errors.ErrorKind | None:
        """Waits for a slot.

        Args:
            request: the attempt's request, from `make_admission_request`.

        Returns:
            None once the attempt holds a slot, or why it was rejected.
        """
        decision, kind = self._controller.admit(request, _now())
        if decision is admission_control.AdmissionDecision.REJECT:
            return kind
        if decision is admission_control.AdmissionDecision.RUN:
            return None
        waiter = asyncio.get_running_loop().create_future()
        self._waiters_by_attempt[request.attempt] = waiter
        self._start_timer()
        try:
            return await waiter
        except asyncio.CancelledError:
            self.release(request.attempt)
            raise
        finally:
            self._waiters_by_attempt.pop(request.attempt, None)

    def record_progress(self, attempt: str, units: int) -> None:
        """Records that a chunk of an attempt's response has arrived.

        Args:
            attempt: the attempt's id.
            units: the events or bytes in the chunk.
        """
        self._controller.record_progress(attempt, _now(), units)

    def release(self, attempt: str) -> None:
        """Releases an attempt's slot, or removes it from the queue."""
        self._controller.release(attempt, _now())
        self._advance()

    def _advance(self) -> None:
        started, rejected = self._controller.assign_slots(_now())
        for attempt in started:
            if not self._resolve(attempt, None):
                self._controller.release(attempt, _now())
        for attempt in rejected:
            self._resolve(attempt, errors.ErrorKind.DEADLINE_TOO_SHORT)

    def _resolve(self, attempt: str, kind: errors.ErrorKind | None) -> bool:
        waiter = self._waiters_by_attempt.get(attempt)
        if waiter is None or waiter.done():
            return False
        waiter.set_result(kind)
        return True

    def _start_timer(self) -> None:
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(_ADVANCE_INTERVAL_S, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self._advance()
        if self.queued:
            self._start_timer()


def make_admission_request(
        begin: messages.Begin) -> admission_queue.AdmissionRequest:
    """Returns the admission request of an attempt that has just arrived."""
    now = _now()
    due_ms = min(begin.target_ms or begin.deadline_ms, begin.deadline_ms)
    return admission_queue.AdmissionRequest(
        attempt=begin.attempt,
        workspace=begin.workspace,
        work_class=f'{begin.workspace}/{begin.work_class}',
        importance=min(begin.importance, admission_queue.IMPORTANCE_LEVELS - 1),
        arrived_at=now,
        due_at=now + due_ms / 1000,
        due_whole=begin.whole,
        between_tokens_s=begin.between_tokens_ms / 1000)


def _now() -> float:
    return asyncio.get_running_loop().time()
