"""Admits attempts at an agent and sends their responses to entry hosts."""

import asyncio
import collections
import dataclasses
import functools
from collections.abc import Callable

from absl import logging

from pollenthread.app import attempt as attempt_module, slot_scheduler
from pollenthread.core import attempt_rules, errors, messages
from pollenthread.ports import link as link_port, local_upstream

__all__ = ['AttemptManager', 'AttemptManagerLimits']


@dataclasses.dataclass(frozen=True)
class AttemptManagerLimits:
    """Limits for the attempts of an agent.

    Attributes:
        max_retained_attempts: non-repeatable attempts, running or waiting for
            their confirmation.
        attempt_limits: limits for each attempt.
    """

    max_retained_attempts: int = 4096
    attempt_limits: attempt_module.AttemptLimits = attempt_module.AttemptLimits(
    )


class AttemptManager(link_port.LinkHandler):
    """Starts each attempt at most once and sends its response back.

    Attributes:
        started_count: attempts that were started at the upstream.
        rejected_by_kind: attempts that were not started, by reason.
    """

    def __init__(
        self,
        *,
        upstream: local_upstream.LocalUpstream,
        limits: AttemptManagerLimits = AttemptManagerLimits(),
        on_order: Callable[[link_port.Link, messages.OrderSend], None] |
        None = None
    ) -> None:
        self._on_order = on_order
        self._upstream = upstream
        self._limits = limits
        self._attempts_by_id: dict[str, attempt_module.Attempt] = {}
        self._links_by_session: dict[str, link_port.Link] = {}
        self._sealed_by_session = collections.defaultdict[str, set[str]](set)
        self._scheduler = slot_scheduler.SlotScheduler()
        self._received_by_session = collections.Counter[str]()
        self._is_shutting_down = False
        self.started_count = 0
        self.rejected_by_kind = collections.Counter[errors.ErrorKind]()

    @property
    def running(self) -> int:
        """The number of attempts that run at the upstream."""
        return self._scheduler.running

    @property
    def queued(self) -> int:
        """The number of attempts that wait for a slot."""
        return self._scheduler.queued

    @property
    def concurrency_limit(self) -> int:
        """The number of attempts that may run at once; 0 during a stall."""
        return self._scheduler.load.limit

    def broadcast_load(self) -> None:
        """Sends every link the load, and how much of it the link caused."""
        own_by_session = collections.Counter(
            link.session_id for attempt in self._attempts_by_id.values()
            if not attempt.is_finished for link in attempt.links)
        for link in list(self._links_by_session.values()):
            link_port.send_if_open(
                link, self._load_message(link, own_by_session[link.session_id]))

    def _load_message(self, link: link_port.Link, own: int) -> messages.Load:
        load = self._scheduler.load
        return messages.Load(running=load.running,
                             queued=load.queued,
                             limit=load.limit,
                             hold_us=int(load.duration_s * 1e6),
                             first_unit_us=int(load.first_unit_s * 1e6),
                             token_us=int(load.between_tokens_s * 1e6),
                             own=own,
                             seen=self._received_by_session[link.session_id])

    @property
    def unfinished(self) -> int:
        """The number of attempts that wait or run."""
        return self._scheduler.running + self._scheduler.queued

    @property
    def unconfirmed(self) -> int:
        """The number of finished attempts that are still held."""
        return sum(1 for attempt in self._attempts_by_id.values()
                   if attempt.is_finished)

    def start_shutdown(self, host: str) -> None:
        """Rejects new attempts from now on and announces it on every link.

        Args:
            host: the name of this host.
        """
        self._is_shutting_down = True
        self.broadcast(messages.Leaving(host))

    def broadcast(self, message: messages.Message) -> None:
        """Sends a message on every open link."""
        for link in list(self._links_by_session.values()):
            link_port.send_if_open(link, message)

    async def cancel_all(self) -> list[str]:
        """Cancels all unfinished attempts and returns their ids."""
        cancelled = [
            a for a in self._attempts_by_id.values() if not a.is_finished
        ]
        for attempt in cancelled:
            attempt.cancel()
        await asyncio.gather(*(a.task for a in cancelled if a.task),
                             return_exceptions=True)
        return [a.begin.attempt for a in cancelled]

    def report_unconfirmed(self) -> None:
        """Asks a linked entry host to record responses without a link."""
        links = list(self._links_by_session.values())
        if not links:
            return
        for attempt in self._attempts_by_id.values():
            if (attempt.is_retained and attempt.is_finished and
                    not attempt.links):
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
        link_port.send_if_open(link, self._load_message(link, 0))
        if self._is_shutting_down:
            link_port.send_if_open(link, messages.Leaving(''))

    def on_close(self, link: link_port.Link, reason: str) -> None:
        self._links_by_session.pop(link.session_id, None)
        self._sealed_by_session.pop(link.session_id, None)
        self._received_by_session.pop(link.session_id, None)
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
                    attempt.add_credit(message)
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
        """Cancels a repeatable attempt; other attempts run to their end."""
        attempt = self._attempts_by_id.get(cancel.attempt)
        if attempt is None or attempt.is_retained:
            return
        attempt.cancel()
        if attempt.is_finished:
            del self._attempts_by_id[cancel.attempt]

    def _rejection_kind(self, link: link_port.Link,
                        begin: messages.Begin) -> errors.ErrorKind | None:
        """Why an attempt may not start, or None."""
        sealed = self._sealed_by_session.get(link.session_id, ())
        if not attempt_rules.may_start(bound_session=begin.session,
                                       link_session=link.session_id,
                                       is_sealed=begin.attempt in sealed,
                                       phase=self._phase(begin.attempt)):
            return errors.ErrorKind.SEALED
        if self._is_shutting_down:
            return errors.ErrorKind.LEAVING
        if (not begin.repeatable and
                self._retained >= self._limits.max_retained_attempts):
            return errors.ErrorKind.OVERLOADED
        return None

    @property
    def _retained(self) -> int:
        return sum(1 for a in self._attempts_by_id.values() if a.is_retained)

    def _begin(self, link: link_port.Link, begin: messages.Begin) -> None:
        self._received_by_session[link.session_id] += 1
        if begin.attempt in self._attempts_by_id:
            return
        kind = self._rejection_kind(link, begin)
        if kind is not None:
            self.rejected_by_kind[kind] += 1
            failure = errors.make_failure(kind)
            link_port.send_if_open(
                link,
                messages.Fail(begin.attempt, kind, failure.detail,
                              errors.Executed.NO))
            return
        attempt = attempt_module.Attempt(begin=begin,
                                         link=link,
                                         limits=self._limits.attempt_limits,
                                         scheduler=self._scheduler)
        self._attempts_by_id[begin.attempt] = attempt
        attempt.task = asyncio.create_task(self._run(attempt))
        attempt.task.add_done_callback(functools.partial(
            self._on_done, attempt))

    def _on_done(self, attempt: attempt_module.Attempt,
                 _: asyncio.Task[None]) -> None:
        """Cleans up an attempt, even one cancelled before its first step."""
        if not attempt.has_started:
            attempt.fail(
                errors.make_failure(errors.ErrorKind.STOPPED,
                                    executed=errors.Executed.NO))
        if not attempt.must_be_remembered:
            # Captures only the id: the attempt would keep the request's body
            # in memory until the timer fires.
            attempt_id = attempt.begin.attempt
            attempt.release_after_grace(
                lambda: self._attempts_by_id.pop(attempt_id, None))

    async def _run(self, attempt: attempt_module.Attempt) -> None:
        attempt.has_started = True
        try:
            if await self._wait_for_slot(attempt):
                try:
                    await attempt.run(self._upstream)
                finally:
                    self._scheduler.release(attempt.begin.attempt)
        except asyncio.CancelledError:
            attempt.fail(errors.make_failure(errors.ErrorKind.STOPPED))
        except Exception as error:  # pylint: disable=broad-exception-caught
            logging.exception('attempt %s failed', attempt.begin.attempt)
            attempt.fail(
                errors.make_failure(errors.ErrorKind.INTERNAL, str(error)))

    async def _wait_for_slot(self, attempt: attempt_module.Attempt) -> bool:
        """Waits for a slot; False if the attempt was rejected or cancelled."""
        request = slot_scheduler.make_admission_request(attempt.begin)
        try:
            kind = await self._scheduler.acquire(request)
        except asyncio.CancelledError:
            kind = errors.ErrorKind.STOPPED
        if kind is not None:
            self.rejected_by_kind[kind] += 1
            attempt.fail(errors.make_failure(kind, executed=errors.Executed.NO))
            return False
        waited_s = asyncio.get_running_loop().time() - request.arrived_at
        attempt.queued_ms = int(waited_s * 1000)
        self.started_count += 1
        return True

    def _seal(self, seal: messages.Seal) -> messages.SealState:
        phase = self._phase(seal.attempt)
        if phase is None and seal.session in self._links_by_session:
            self._sealed_by_session[seal.session].add(seal.attempt)
        return attempt_rules.seal_state(phase)

    def _phase(self, attempt_id: str) -> attempt_rules.AttemptPhase | None:
        attempt = self._attempts_by_id.get(attempt_id)
        return None if attempt is None else attempt.phase

    def _resume(self, link: link_port.Link, resume: messages.Resume) -> None:
        attempt = self._attempts_by_id.get(resume.attempt)
        if attempt is None or not attempt.attach(link, resume):
            failure = errors.make_failure(errors.ErrorKind.LINK_LOST,
                                          'The answer is no longer held.')
            link_port.send_if_open(
                link,
                messages.Fail(resume.attempt, failure.kind, failure.detail,
                              failure.executed))

    def _confirm(self, confirm: messages.Confirm) -> None:
        attempt = self._attempts_by_id.get(confirm.attempt)
        if attempt is not None and attempt.is_finished:
            del self._attempts_by_id[confirm.attempt]
