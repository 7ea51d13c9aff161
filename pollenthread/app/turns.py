"""Turns at the upstream, awaited by the attempts at an agent."""

import asyncio

from pollenthread.core import admission_queue, errors, messages, admission_control

__all__ = ['Turns', 'ticket_of']

_ADVANCE_INTERVAL_S = 0.05


class Turns:
    """Wakes attempts in the order that the slots decide."""

    def __init__(self) -> None:
        self._slots = admission_control.AdmissionController(now=_now())
        self._waiters_by_attempt: dict[str,
                                       asyncio.Future[errors.ErrorKind | None]] = {}
        self._timer: asyncio.TimerHandle | None = None

    @property
    def running(self) -> int:
        """Attempts at the upstream."""
        return self._slots.running

    @property
    def queued(self) -> int:
        """Attempts that wait."""
        return self._slots.queued

    @property
    def reading(self) -> admission_control.UpstreamLoad:
        """What to report of the upstream."""
        return self._slots.load(_now())

    async def acquire(self, ticket: admission_queue.AdmissionRequest) -> errors.ErrorKind | None:
        """Waits for a turn; the kind of the refusal, or None to begin."""
        decision, kind = self._slots.admit(ticket, _now())
        if decision is admission_control.AdmissionDecision.REFUSE:
            return kind
        if decision is admission_control.AdmissionDecision.RUN:
            return None
        waiter = asyncio.get_running_loop().create_future()
        self._waiters_by_attempt[ticket.attempt] = waiter
        self._arm()
        try:
            return await waiter
        except asyncio.CancelledError:
            self.release(ticket.attempt)
            raise
        finally:
            self._waiters_by_attempt.pop(ticket.attempt, None)

    def progress(self, attempt: str, units: int) -> None:
        """Notes that an attempt has had a part of its answer."""
        self._slots.record_progress(attempt, _now(), units)

    def release(self, attempt: str) -> None:
        """Ends an attempt's turn, or its wait."""
        self._slots.release(attempt, _now())
        self._advance()

    def _advance(self) -> None:
        started, refused = self._slots.assign_slots(_now())
        for attempt in started:
            if not self._wake(attempt, None):
                self._slots.release(attempt, _now())
        for attempt in refused:
            self._wake(attempt, errors.ErrorKind.DEADLINE_TOO_SHORT)

    def _wake(self, attempt: str, kind: errors.ErrorKind | None) -> bool:
        waiter = self._waiters_by_attempt.get(attempt)
        if waiter is None or waiter.done():
            return False
        waiter.set_result(kind)
        return True

    def _arm(self) -> None:
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(_ADVANCE_INTERVAL_S, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self._advance()
        if self.queued:
            self._arm()


def ticket_of(begin: messages.Begin) -> admission_queue.AdmissionRequest:
    """The ticket of an attempt that has just come."""
    now = _now()
    due_ms = min(begin.target_ms or begin.deadline_ms, begin.deadline_ms)
    return admission_queue.AdmissionRequest(attempt=begin.attempt,
                            workspace=begin.workspace,
                            work_class=f'{begin.workspace}/{begin.work_class}',
                            importance=min(begin.importance,
                                           admission_queue.IMPORTANCE_LEVELS - 1),
                            arrived_at=now,
                            due_at=now + due_ms / 1000,
                            due_whole=begin.whole,
                            between_tokens_s=begin.between_tokens_ms / 1000)


def _now() -> float:
    return asyncio.get_running_loop().time()
