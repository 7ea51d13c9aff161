"""The agent's gate: the last check before work begins at the upstream."""

import asyncio
import collections
import dataclasses
import functools
from collections.abc import Callable

from absl import logging

from pollenthread.app import attempt as attempt_module, turns as turns_module
from pollenthread.core import errors, gate_rules, messages
from pollenthread.ports import local_upstream, link as link_port

__all__ = ['Gate', 'GateLimits']


@dataclasses.dataclass(frozen=True)
class GateLimits:
    """Bounds on what an agent holds.

    Attributes:
        max_kept: finished outcomes that wait for a confirmation.
        attempt: bounds on each attempt.
    """

    max_kept: int = 4096
    attempt: attempt_module.AttemptLimits = attempt_module.AttemptLimits()


class Gate(link_port.LinkHandler):
    """Begins attempts at most once and streams their answers back."""

    def __init__(
        self,
        *,
        upstream: local_upstream.LocalUpstream,
        limits: GateLimits = GateLimits(),
        on_order: Callable[[link_port.Link, messages.OrderSend], None] |
        None = None
    ) -> None:
        self._on_order = on_order
        self._upstream = upstream
        self._limits = limits
        self._attempts_by_id: dict[str, attempt_module.Attempt] = {}
        self._links_by_session: dict[str, link_port.Link] = {}
        self._sealed_by_session = collections.defaultdict[str, set[str]](set)
        self._turns = turns_module.Turns()
        self._seen_by_session = collections.Counter[str]()
        self._leaving = False
        self.begun_count = 0
        self.refused_by_kind = collections.Counter[errors.Kind]()

    @property
    def running(self) -> int:
        """Attempts at the upstream."""
        return self._turns.running

    @property
    def queued(self) -> int:
        """Attempts that wait for their turn."""
        return self._turns.queued

    @property
    def limit(self) -> int:
        """Attempts that may run at once; zero while the upstream is stalled.
        """
        return self._turns.reading.limit

    def report_load(self) -> None:
        """Tells every link the load and its part of it."""
        own_by_session = collections.Counter(
            link.session_id for attempt in self._attempts_by_id.values()
            if not attempt.finished for link in attempt.links)
        for link in list(self._links_by_session.values()):
            link_port.send_if_open(
                link, self._load(link, own_by_session[link.session_id]))

    def _load(self, link: link_port.Link, own: int) -> messages.Load:
        reading = self._turns.reading
        return messages.Load(running=reading.running,
                             queued=reading.queued,
                             limit=reading.limit,
                             hold_us=int(reading.hold_s * 1e6),
                             first_unit_us=int(reading.first_s * 1e6),
                             token_us=int(reading.token_s * 1e6),
                             own=own,
                             seen=self._seen_by_session[link.session_id])

    @property
    def unfinished(self) -> int:
        """Attempts that wait or run."""
        return self._turns.running + self._turns.queued

    @property
    def unconfirmed(self) -> int:
        """Finished answers that no entry host has confirmed yet."""
        return sum(
            1 for attempt in self._attempts_by_id.values() if attempt.finished)

    def leave(self, host: str) -> None:
        """Refuses new work from now on and tells every link."""
        self._leaving = True
        self.broadcast(messages.Leaving(host))

    def broadcast(self, message: messages.Message) -> None:
        """Sends a message on every open link."""
        for link in list(self._links_by_session.values()):
            link_port.send_if_open(link, message)

    async def cancel_all(self) -> list[str]:
        """Cuts everything in progress; returns the ids of what was cut."""
        cut = [a for a in self._attempts_by_id.values() if not a.finished]
        for attempt in cut:
            attempt.cancel()
        await asyncio.gather(*(a.task for a in cut if a.task),
                             return_exceptions=True)
        return [a.begin.attempt for a in cut]

    def report_unconfirmed(self) -> None:
        """Asks a linked entry host to record outcomes that none follows."""
        links = list(self._links_by_session.values())
        if not links:
            return
        for attempt in self._attempts_by_id.values():
            if attempt.kept and attempt.finished and not attempt.links:
                begin = attempt.begin
                link_port.send_if_open(
                    links[0],
                    messages.Unconfirmed(begin.attempt, begin.workspace,
                                         begin.key, begin.stream))

    # Link events.

    def on_open(self, link: link_port.Link) -> None:
        self._links_by_session[link.session_id] = link
        logging.info('link open host=%s session=%s', link.peer.host,
                     link.session_id)
        link_port.send_if_open(link, self._load(link, 0))
        if self._leaving:
            link_port.send_if_open(link, messages.Leaving(''))

    def on_close(self, link: link_port.Link, reason: str) -> None:
        self._links_by_session.pop(link.session_id, None)
        self._sealed_by_session.pop(link.session_id, None)
        self._seen_by_session.pop(link.session_id, None)
        logging.info('link closed host=%s session=%s reason=%s', link.peer.host,
                     link.session_id, reason)
        for attempt in list(self._attempts_by_id.values()):
            attempt.detach(link)

    def on_message(self, link: link_port.Link,
                   message: messages.Message) -> None:
        match message:
            case messages.Begin():
                self._begin(link, message)
            case messages.Credit():
                attempt = self._attempts_by_id.get(message.attempt)
                if attempt is not None:
                    attempt.credit(message)
            case messages.Cancel():
                self._cancel(message)
            case messages.Seal():
                state = self._seal(message)
                link_port.send_if_open(link,
                                       messages.Sealed(message.attempt, state))
            case messages.Resume():
                self._resume(link, message)
            case messages.Confirm():
                self._confirm(message)
            case messages.OrderSend() if self._on_order is not None:
                self._on_order(link, message)
            case _:
                pass

    def _cancel(self, cancel: messages.Cancel) -> None:
        """Stops work that nobody waits for; what must be kept goes on."""
        attempt = self._attempts_by_id.get(cancel.attempt)
        if attempt is None or attempt.kept:
            return
        attempt.cancel()
        if attempt.finished:
            del self._attempts_by_id[cancel.attempt]

    def _refusal(self, link: link_port.Link,
                 begin: messages.Begin) -> errors.Kind | None:
        """Why an attempt must not begin, or None."""
        sealed = self._sealed_by_session.get(link.session_id, ())
        if not gate_rules.is_beginnable(bound_session=begin.session,
                                        link_session=link.session_id,
                                        is_sealed=begin.attempt in sealed,
                                        phase=self._phase(begin.attempt)):
            return errors.Kind.SEALED
        if self._leaving:
            return errors.Kind.LEAVING
        if not begin.repeatable and self._kept >= self._limits.max_kept:
            return errors.Kind.OVERLOADED
        return None

    @property
    def _kept(self) -> int:
        return sum(1 for a in self._attempts_by_id.values() if a.kept)

    def _begin(self, link: link_port.Link, begin: messages.Begin) -> None:
        self._seen_by_session[link.session_id] += 1
        if begin.attempt in self._attempts_by_id:
            return
        kind = self._refusal(link, begin)
        if kind is not None:
            self.refused_by_kind[kind] += 1
            problem = errors.failure(kind)
            link_port.send_if_open(
                link,
                messages.Fail(begin.attempt, kind, problem.detail,
                              errors.Ran.NO))
            return
        attempt = attempt_module.Attempt(begin=begin,
                                         link=link,
                                         limits=self._limits.attempt,
                                         turns=self._turns)
        self._attempts_by_id[begin.attempt] = attempt
        attempt.task = asyncio.create_task(self._serve(attempt))
        attempt.task.add_done_callback(functools.partial(
            self._on_done, attempt))

    def _on_done(self, attempt: attempt_module.Attempt,
                 _: asyncio.Task[None]) -> None:
        """Ends an attempt, also one that was cut before its first step."""
        if not attempt.started:
            attempt.fail(errors.failure(errors.Kind.STOPPED, ran=errors.Ran.NO))
        if not attempt.must_be_kept:
            # The timer must not hold the request's body.
            attempt_id = attempt.begin.attempt
            attempt.release_later(
                lambda: self._attempts_by_id.pop(attempt_id, None))

    async def _serve(self, attempt: attempt_module.Attempt) -> None:
        attempt.started = True
        try:
            if await self._wait_turn(attempt):
                try:
                    await attempt.run(self._upstream)
                finally:
                    self._turns.release(attempt.begin.attempt)
        except asyncio.CancelledError:
            attempt.fail(errors.failure(errors.Kind.STOPPED))
        except Exception as error:  # pylint: disable=broad-exception-caught
            logging.exception('attempt %s failed', attempt.begin.attempt)
            attempt.fail(errors.failure(errors.Kind.INTERNAL, str(error)))

    async def _wait_turn(self, attempt: attempt_module.Attempt) -> bool:
        """Waits in the queue; False when the attempt must not begin."""
        ticket = turns_module.ticket_of(attempt.begin)
        try:
            kind = await self._turns.acquire(ticket)
        except asyncio.CancelledError:
            kind = errors.Kind.STOPPED
        if kind is not None:
            self.refused_by_kind[kind] += 1
            attempt.fail(errors.failure(kind, ran=errors.Ran.NO))
            return False
        waited_s = asyncio.get_running_loop().time() - ticket.arrived_at
        attempt.waited_ms = int(waited_s * 1000)
        self.begun_count += 1
        return True

    def _seal(self, seal: messages.Seal) -> messages.SealState:
        phase = self._phase(seal.attempt)
        if phase is None and seal.session in self._links_by_session:
            self._sealed_by_session[seal.session].add(seal.attempt)
        return gate_rules.seal_answer(phase)

    def _phase(self, attempt_id: str) -> gate_rules.Phase | None:
        attempt = self._attempts_by_id.get(attempt_id)
        return None if attempt is None else attempt.phase

    def _resume(self, link: link_port.Link, resume: messages.Resume) -> None:
        attempt = self._attempts_by_id.get(resume.attempt)
        if attempt is None or not attempt.attach(link, resume):
            problem = errors.failure(errors.Kind.LINK_LOST,
                                     'The answer is no longer held.')
            link_port.send_if_open(
                link,
                messages.Fail(resume.attempt, problem.kind, problem.detail,
                              problem.ran))

    def _confirm(self, confirm: messages.Confirm) -> None:
        attempt = self._attempts_by_id.get(confirm.attempt)
        if attempt is not None and attempt.finished:
            del self._attempts_by_id[confirm.attempt]
