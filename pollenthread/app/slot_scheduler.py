"""Schedules attempts at an agent into the concurrency slots of an upstream."""

import asyncio

from pollenthread.core import admission, errors, messages, slots

__all__ = ['SlotScheduler', 'make_ticket']

_ADVANCE_INTERVAL_S = 0.05


class SlotScheduler:
    """Lets attempts wait for a slot and starts them by priority.

    `slots.Slots` decides the order and the concurrency limit.
    """

    def __init__(self) -> None:
        self._slots = slots.Slots(now=_now())
        self._waiters_by_attempt: dict[str,
                                       asyncio.Future[errors.Kind | None]] = {}
        self._timer: asyncio.TimerHandle | None = None

    @property
    def running(self) -> int:
        """The number of attempts that hold a slot."""
        return self._slots.running

    @property
    def queued(self) -> int:
        """The number of attempts that wait for a slot."""
        return self._slots.queued

    @property
    def load(self) -> slots.Reading:
        """The current load of the upstream, as reported to entry hosts."""
        return self._slots.reading(_now())

    async def acquire(self, ticket: admission.Ticket) -> errors.Kind | None:
        """Waits for a slot.

        Args:
            ticket: the attempt's place in the queue, from `make_ticket`.

        Returns:
            None once the attempt holds a slot, or why it was refused.
        """
        decision, kind = self._slots.offer(ticket, _now())
        if decision is slots.Decision.REFUSE:
            return kind
        if decision is slots.Decision.RUN:
            return None
        waiter = asyncio.get_running_loop().create_future()
        self._waiters_by_attempt[ticket.attempt] = waiter
        self._start_timer()
        try:
            return await waiter
        except asyncio.CancelledError:
            self.release(ticket.attempt)
            raise
        finally:
            self._waiters_by_attempt.pop(ticket.attempt, None)

    def record_progress(self, attempt: str, units: int) -> None:
        """Records that a chunk of an attempt's response has arrived.

        Args:
            attempt: the attempt's id.
            units: the events or bytes in the chunk.
        """
        self._slots.progress(attempt, _now(), units)

    def release(self, attempt: str) -> None:
        """Releases an attempt's slot, or removes it from the queue."""
        self._slots.finish(attempt, _now())
        self._advance()

    def _advance(self) -> None:
        started, refused = self._slots.advance(_now())
        for attempt in started:
            if not self._resolve(attempt, None):
                self._slots.finish(attempt, _now())
        for attempt in refused:
            self._resolve(attempt, errors.Kind.DEADLINE_TOO_SHORT)

    def _resolve(self, attempt: str, kind: errors.Kind | None) -> bool:
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


def make_ticket(begin: messages.Begin) -> admission.Ticket:
    """Returns the queue ticket of an attempt that has just arrived."""
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
