"""Turns at the upstream, awaited by the attempts at an agent."""

import asyncio

from pollenthread.core import admission, errors, messages, slots

__all__ = ['SlotScheduler', 'make_ticket']

_ADVANCE_INTERVAL_S = 0.05


class SlotScheduler:
    """Wakes attempts in the order that the slots decide."""

    def __init__(self) -> None:
        self._slots = slots.Slots(now=_now())
        self._waiters_by_attempt: dict[str,
                                       asyncio.Future[errors.Kind | None]] = {}
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
    def load(self) -> slots.Reading:
        """What to report of the upstream."""
        return self._slots.reading(_now())

    async def acquire(self, ticket: admission.Ticket) -> errors.Kind | None:
        """Waits for a turn; the kind of the refusal, or None to begin."""
        decision, kind = self._slots.offer(ticket, _now())
        if decision is slots.Decision.REFUSE:
            return kind
        if decision is slots.Decision.RUN:
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

    def record_progress(self, attempt: str, units: int) -> None:
        """Notes that an attempt has had a part of its answer."""
        self._slots.progress(attempt, _now(), units)

    def release(self, attempt: str) -> None:
        """Ends an attempt's turn, or its wait."""
        self._slots.finish(attempt, _now())
        self._advance()

    def _advance(self) -> None:
        started, refused = self._slots.advance(_now())
        for attempt in started:
            if not self._wake(attempt, None):
                self._slots.finish(attempt, _now())
        for attempt in refused:
            self._wake(attempt, errors.Kind.DEADLINE_TOO_SHORT)

    def _wake(self, attempt: str, kind: errors.Kind | None) -> bool:
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


def make_ticket(begin: messages.Begin) -> admission.Ticket:
    """The ticket of an attempt that has just come."""
    now = _now()
    due_ms = min(begin.target_ms or begin.deadline_ms, begin.deadline_ms)
    return admission.Ticket(attempt=begin.attempt,
                            workspace=begin.workspace,
                            work_class=f'{begin.workspace}/{begin.work_class}',
                            importance=min(begin.importance,
                                           admission.LEVELS - 1),
                            arrived_at=now,
                            due_at=now + due_ms / 1000,
                            whole=begin.whole,
                            between_tokens_s=begin.between_tokens_ms / 1000)


def _now() -> float:
    return asyncio.get_running_loop().time()
