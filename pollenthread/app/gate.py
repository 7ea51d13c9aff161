"""The agent's gate: the last check before work begins at the upstream."""

import asyncio
import collections
import dataclasses
from collections.abc import Callable

from absl import logging

from pollenthread.app import turns as turns_module
from pollenthread.core import errors, events, gate_rules, messages
from pollenthread.ports import engine, link as link_port

__all__ = ['Gate', 'GateLimits']

_MISROUTED_HEADER = 'x-request-id'


@dataclasses.dataclass(frozen=True)
class GateLimits:
    """Bounds on what an agent holds.

    Attributes:
        max_kept: finished outcomes that wait for a confirmation.
        resume_grace_s: seconds that an attempt goes on without a link.
        max_outcome_bytes: size of a kept outcome.
    """

    max_kept: int = 4096
    resume_grace_s: float = 10.0
    max_outcome_bytes: int = 1024 * 1024


class Gate(link_port.LinkHandler):
    """Begins attempts at most once and streams their answers back."""

    def __init__(
        self,
        *,
        upstream: engine.Upstream,
        limits: GateLimits = GateLimits(),
        on_order: Callable[[link_port.Link, messages.OrderSend], None] |
        None = None
    ) -> None:
        self._on_order = on_order
        self._upstream = upstream
        self._limits = limits
        self._attempts_by_id: dict[str, _Attempt] = {}
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
            attempt.link.session
            for attempt in self._attempts_by_id.values()
            if attempt.link is not None and not attempt.finished)
        for link in list(self._links_by_session.values()):
            _send(link, self._load(link, own_by_session[link.session]))

    def _load(self, link: link_port.Link, own: int) -> messages.Load:
        reading = self._turns.reading
        return messages.Load(running=reading.running,
                             queued=reading.queued,
                             limit=reading.limit,
                             hold_us=int(reading.hold_s * 1e6),
                             first_unit_us=int(reading.first_s * 1e6),
                             token_us=int(reading.token_s * 1e6),
                             own=own,
                             seen=self._seen_by_session[link.session])

    @property
    def unfinished(self) -> int:
        """Attempts that wait or run."""
        return self._turns.running + self._turns.queued

    @property
    def unconfirmed(self) -> int:
        """Finished outcomes that the table may not hold yet."""
        return sum(1 for attempt in self._attempts_by_id.values()
                   if attempt.kept and attempt.finished)

    def leave(self, host: str) -> None:
        """Refuses new work from now on and tells every link."""
        self._leaving = True
        self.broadcast(messages.Leaving(host))

    def broadcast(self, message: messages.Message) -> None:
        """Sends a message on every open link."""
        for link in list(self._links_by_session.values()):
            _send(link, message)

    async def cancel_all(self) -> int:
        """Cuts everything in progress; returns how many attempts were cut."""
        cut = [a for a in self._attempts_by_id.values() if not a.finished]
        for attempt in cut:
            attempt.cancel()
        await asyncio.gather(*(a.task for a in cut if a.task),
                             return_exceptions=True)
        return len(cut)

    # Link events.

    def on_open(self, link: link_port.Link) -> None:
        self._links_by_session[link.session] = link
        logging.info('link open host=%s session=%s', link.peer.host,
                     link.session)
        _send(link, self._load(link, 0))
        if self._leaving:
            _send(link, messages.Leaving(''))

    def on_close(self, link: link_port.Link, reason: str) -> None:
        self._links_by_session.pop(link.session, None)
        self._sealed_by_session.pop(link.session, None)
        self._seen_by_session.pop(link.session, None)
        logging.info('link closed host=%s session=%s reason=%s', link.peer.host,
                     link.session, reason)
        for attempt in list(self._attempts_by_id.values()):
            if attempt.link is link:
                attempt.detach(self._limits.resume_grace_s)

    def on_message(self, link: link_port.Link,
                   message: messages.Message) -> None:
        match message:
            case messages.Begin():
                self._begin(link, message)
            case messages.Credit():
                self._with_attempt(message.attempt, lambda a: a.credit(message))
            case messages.Cancel():
                self._with_attempt(message.attempt, _Attempt.abandon)
            case messages.Seal():
                state = self._seal(message)
                _send(link, messages.Sealed(message.attempt, state))
            case messages.Resume():
                self._resume(link, message)
            case messages.Confirm():
                self._confirm(message)
            case messages.OrderSend() if self._on_order is not None:
                self._on_order(link, message)
            case _:
                pass

    def _with_attempt(self, attempt_id: str, act: Callable[['_Attempt'],
                                                           None]) -> None:
        attempt = self._attempts_by_id.get(attempt_id)
        if attempt is not None:
            act(attempt)

    def _refusal(self, link: link_port.Link,
                 begin: messages.Begin) -> errors.Kind | None:
        """Why an attempt must not begin, or None."""
        sealed = self._sealed_by_session.get(link.session, ())
        if not gate_rules.is_beginnable(bound_session=begin.session,
                                        link_session=link.session,
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
        self._seen_by_session[link.session] += 1
        kind = self._refusal(link, begin)
        if kind is not None:
            self.refused_by_kind[kind] += 1
            problem = errors.failure(kind)
            _send(
                link,
                messages.Fail(begin.attempt, kind, problem.detail,
                              errors.Ran.NO))
            return
        attempt = _Attempt(begin=begin,
                           link=link,
                           limits=self._limits,
                           turns=self._turns)
        self._attempts_by_id[begin.attempt] = attempt
        attempt.task = asyncio.create_task(self._serve(attempt))

    async def _serve(self, attempt: '_Attempt') -> None:
        attempt_id = attempt.begin.attempt
        try:
            if await self._wait_turn(attempt):
                try:
                    await attempt.run(self._upstream)
                finally:
                    self._turns.release(attempt_id)
        except asyncio.CancelledError:
            attempt.fail(errors.failure(errors.Kind.STOPPED))
        except Exception as error:  # pylint: disable=broad-exception-caught
            logging.exception('attempt %s failed', attempt_id)
            attempt.fail(errors.failure(errors.Kind.INTERNAL, str(error)))
        finally:
            if not attempt.must_be_kept:
                attempt.release_when_sent(
                    lambda: self._attempts_by_id.pop(attempt_id, None))

    async def _wait_turn(self, attempt: '_Attempt') -> bool:
        """Waits in the queue; False when the attempt must not begin."""
        ticket = turns_module.ticket_of(attempt.begin)
        try:
            kind = await self._turns.acquire(ticket)
        except asyncio.CancelledError:
            kind = errors.Kind.DEADLINE_PASSED
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
            _send(
                link,
                messages.Fail(resume.attempt, problem.kind, problem.detail,
                              problem.ran))

    def _confirm(self, confirm: messages.Confirm) -> None:
        attempt = self._attempts_by_id.get(confirm.attempt)
        if attempt is not None and attempt.finished:
            del self._attempts_by_id[confirm.attempt]


class _Attempt:
    """One attempt at the upstream and the part of its answer not yet taken."""

    def __init__(self, *, begin: messages.Begin, link: link_port.Link,
                 limits: GateLimits, turns: turns_module.Turns) -> None:
        self.begin = begin
        self.link: link_port.Link | None = link
        self.task: asyncio.Task[None] | None = None
        self.finished = False
        self.outcome_known = False
        self.waited_ms = 0
        self._limits = limits
        self._turns = turns
        self._head: messages.Head | None = None
        self._unsent: list[messages.Chunk] = []
        self._unsent_bytes = 0
        self._offset = 0
        self._allowed = begin.window
        self._credit = asyncio.Event()
        self._last: messages.End | messages.Fail | None = None
        self._grace: asyncio.TimerHandle | None = None

    @property
    def kept(self) -> bool:
        """Whether the whole answer is held until it is confirmed."""
        return not self.begin.repeatable

    @property
    def phase(self) -> gate_rules.Phase:
        """How far the attempt has come."""
        if not self.finished:
            return gate_rules.Phase.RUNNING
        if self.outcome_known:
            return gate_rules.Phase.DONE
        if (isinstance(self._last, messages.Fail) and
                self._last.ran is errors.Ran.NO):
            return gate_rules.Phase.ENDED_NOT_RUN
        return gate_rules.Phase.ENDED_UNKNOWN

    @property
    def must_be_kept(self) -> bool:
        """Whether forgetting this attempt could let it run twice."""
        return gate_rules.must_be_kept(self.phase,
                                       repeatable=self.begin.repeatable)

    async def run(self, upstream: engine.Upstream) -> None:
        """Calls the upstream and passes its answer on."""
        begin = self.begin
        request = engine.UpstreamRequest(method=begin.method,
                                         path=begin.path,
                                         headers=(*begin.headers,
                                                  (_MISROUTED_HEADER,
                                                   begin.attempt)),
                                         body=begin.body)
        try:
            async with asyncio.timeout(
                (begin.deadline_ms - self.waited_ms) / 1000):
                async with upstream.call(request) as exchange:
                    await self._relay(exchange)
        except engine.UpstreamUnavailable as error:
            self.fail(
                errors.failure(errors.Kind.NO_UPSTREAM,
                               str(error),
                               ran=errors.Ran.NO))
        except TimeoutError:
            self.fail(errors.failure(errors.Kind.DEADLINE_PASSED))
        except (ConnectionError, events.EventTooLarge) as error:
            self.fail(errors.failure(errors.Kind.UPSTREAM_TRUNCATED,
                                     str(error)))

    async def _relay(self, exchange: engine.Exchange) -> None:
        if _is_misrouted(exchange, self.begin.attempt):
            raise_kind = errors.Kind.UPSTREAM_MISROUTED
            self.fail(errors.failure(raise_kind))
            return
        self._head = messages.Head(self.begin.attempt, exchange.status,
                                   exchange.headers, self.waited_ms)
        self._emit(self._head)
        if not self._is_event_stream(exchange):
            async for data in exchange.read():
                await self._pass_on(len(data), data)
            self._end()
            return
        splitter = events.EventSplitter()
        async for data in exchange.read():
            count, whole = splitter.feed(data)
            if count:
                await self._pass_on(count, whole)
        if splitter.done:
            self._end()
        else:
            self.fail(errors.failure(errors.Kind.UPSTREAM_TRUNCATED))

    def _is_event_stream(self, exchange: engine.Exchange) -> bool:
        return self.begin.stream and any(
            name == 'content-type' and value.startswith('text/event-stream')
            for name, value in exchange.headers)

    async def _pass_on(self, count: int, data: bytes) -> None:
        self._turns.progress(self.begin.attempt, count)
        chunk = messages.Chunk(self.begin.attempt, self._offset, count, data)
        self._offset += count
        self._unsent.append(chunk)
        self._unsent_bytes += len(data)
        if self.kept and self._unsent_bytes > self._limits.max_outcome_bytes:
            raise ConnectionError('the outcome is too large to keep')
        self._emit(chunk)
        while not self.kept and self._offset >= self._allowed:
            self._credit.clear()
            await self._credit.wait()
        if self.link is not None:
            await self.link.drain()

    def _end(self) -> None:
        self.outcome_known = True
        self._finish(messages.End(self.begin.attempt, self._offset))

    def fail(self, problem: errors.Failure) -> None:
        """Ends the attempt with a failure, unless it has ended."""
        if not self.finished:
            self._finish(
                messages.Fail(self.begin.attempt, problem.kind, problem.detail,
                              problem.ran))

    def _finish(self, last: messages.End | messages.Fail) -> None:
        self.finished = True
        self._last = last
        self._emit(last)

    def _emit(self, message: messages.Message) -> None:
        if self.link is not None:
            _send(self.link, message)

    def credit(self, credit: messages.Credit) -> None:
        """Forgets what the entry host has passed on; allows more."""
        self._allowed = credit.offset + credit.window
        if not self.kept:
            self._unsent = [
                chunk for chunk in self._unsent
                if chunk.offset + chunk.count > credit.offset
            ]
        self._credit.set()

    def detach(self, grace_s: float) -> None:
        """Goes on without a link for a while."""
        self.link = None
        if self.kept:
            return
        loop = asyncio.get_running_loop()
        self._grace = loop.call_later(grace_s, self.cancel)

    def attach(self, link: link_port.Link, resume: messages.Resume) -> bool:
        """Continues the answer on a link; False when a part is gone."""
        held = [
            chunk for chunk in self._unsent
            if chunk.offset + chunk.count > resume.offset
        ]
        if held and held[0].offset > resume.offset:
            return False
        if not held and self._offset != resume.offset:
            return False
        if self._grace is not None:
            self._grace.cancel()
        self.link = link
        if self._head is not None:
            self._emit(self._head)
        for chunk in held:
            self._emit(chunk)
        self._allowed = resume.offset + resume.window
        self._credit.set()
        if self._last is not None:
            self._emit(self._last)
        return True

    def abandon(self) -> None:
        """Stops work that nobody waits for; kept work goes on."""
        if not self.kept:
            self.cancel()

    def cancel(self) -> None:
        """Stops the work at the upstream."""
        if self.task is not None:
            self.task.cancel()

    def release_when_sent(self, release: Callable[[], object]) -> None:
        """Calls `release` once nobody can ask to resume any more."""
        if self.link is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(self._limits.resume_grace_s, release)
        else:
            release()


def _is_misrouted(exchange: engine.Exchange, attempt: str) -> bool:
    """Whether the upstream answers with another request's id."""
    return any(name == _MISROUTED_HEADER and value != attempt
               for name, value in exchange.headers)


def _send(link: link_port.Link, message: messages.Message) -> None:
    """Sends on a link that may have closed meanwhile."""
    try:
        link.send(message)
    except link_port.LinkLost:
        pass
