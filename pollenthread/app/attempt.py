"""One attempt at an agent: the call of the upstream and its answer."""

import asyncio
import dataclasses
from collections.abc import Callable

from pollenthread.app import turns as turns_module
from pollenthread.core import (errors, events, gate_rules, messages, targets,
                               spans)
from pollenthread.ports import local_upstream, link as link_port

_US_PER_S = 1_000_000

__all__ = ['Attempt', 'AttemptLimits']

_ID_HEADER = 'x-request-id'
_URGENCY_BY_IMPORTANCE = {
    targets.Importance.LOW: 5,
    targets.Importance.NORMAL: 3,
    targets.Importance.HIGH: 1
}


@dataclasses.dataclass(frozen=True)
class AttemptLimits:
    """Bounds on one attempt.

    Attributes:
        resume_grace_s: seconds that an attempt goes on without a link, and
            that a finished answer can still be resumed.
        max_unsent_bytes: bytes held for an entry host that gives no credit.
        max_outcome_bytes: size of a kept outcome.
    """

    resume_grace_s: float = 10.0
    max_unsent_bytes: int = 256 * 1024
    max_outcome_bytes: int = 1024 * 1024


class Attempt:
    """One attempt at the upstream and the part of its answer not yet taken.

    An answer that must be kept goes to every link that asked for it, whole.
    Any other answer goes to one link, and only the part that the entry host
    has not passed on is held.
    """

    def __init__(self, *, begin: messages.Begin, link: link_port.Link,
                 limits: AttemptLimits, turns: turns_module.Turns) -> None:
        self.begin = begin
        self.links: list[link_port.Link] = [link]
        self.task: asyncio.Task[None] | None = None
        self.started = False
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
        self._came_at = asyncio.get_running_loop().time()
        self._began_at: float | None = None
        self._deadline = self._came_at + begin.deadline_ms / 1000

    @property
    def deadline(self) -> float:
        """When the attempt must have ended, by the loop's clock."""
        return self._deadline

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

    async def run(self, upstream: local_upstream.LocalUpstream) -> None:
        """Calls the upstream and passes its answer on."""
        self._began_at = asyncio.get_running_loop().time()
        try:
            async with asyncio.timeout_at(self._deadline):
                async with upstream.call(_request(self.begin)) as exchange:
                    await self._relay(exchange)
        except local_upstream.LocalUpstreamConnectError as error:
            self.fail(
                errors.failure(errors.Kind.NO_UPSTREAM,
                               str(error),
                               ran=errors.Ran.NO))
        except TimeoutError:
            self.fail(errors.failure(errors.Kind.DEADLINE_PASSED))
        except (OSError, events.EventTooLarge) as error:
            self.fail(errors.failure(errors.Kind.UPSTREAM_TRUNCATED,
                                     str(error)))

    async def _relay(self,
                     exchange: local_upstream.LocalUpstreamResponse) -> None:
        if _is_misrouted(exchange, self.begin.attempt):
            self.fail(errors.failure(errors.Kind.UPSTREAM_MISROUTED))
            return
        self._head = messages.Head(self.begin.attempt, exchange.status,
                                   exchange.headers, self.waited_ms)
        self._emit(self._head)
        if self.begin.stream and exchange.is_event_stream:
            await self._relay_events(exchange)
            return
        async for data in exchange.read():
            await self._pass_on(len(data), data)
        if exchange.is_delimited:
            self._end()
        else:
            self.fail(
                errors.failure(errors.Kind.UPSTREAM_TRUNCATED,
                               'The upstream marked no end of its answer.'))

    async def _relay_events(
            self, exchange: local_upstream.LocalUpstreamResponse) -> None:
        splitter = events.EventSplitter()
        async for data in exchange.read():
            count, whole = splitter.feed(data)
            if count:
                await self._pass_on(count, whole)
            if splitter.done:
                break
        if splitter.done:
            self._end()
        else:
            self.fail(errors.failure(errors.Kind.UPSTREAM_TRUNCATED))

    async def _pass_on(self, count: int, data: bytes) -> None:
        self._turns.progress(self.begin.attempt, count)
        chunk = messages.Chunk(self.begin.attempt, self._offset, count, data)
        self._offset += count
        self._unsent.append(chunk)
        self._unsent_bytes += len(data)
        self._emit(chunk)
        if self.kept:
            if self._unsent_bytes > self._limits.max_outcome_bytes:
                raise ConnectionError('the outcome is too large to keep')
            return
        while self._must_wait:
            self._credit.clear()
            await self._credit.wait()
        for link in self.links:
            await link.drain()

    @property
    def _must_wait(self) -> bool:
        return (self._offset >= self._allowed or
                self._unsent_bytes > self._limits.max_unsent_bytes)

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
        if spans.is_sampled(self.begin.headers):
            self._emit(self._served())
        self._last = last
        self._emit(last)

    def _served(self) -> messages.Served:
        now = asyncio.get_running_loop().time()
        began_at = now if self._began_at is None else self._began_at
        return messages.Served(attempt=self.begin.attempt,
                               queued_us=round(
                                   (began_at - self._came_at) * _US_PER_S),
                               upstream_us=round((now - began_at) * _US_PER_S))

    def _emit(self, message: messages.Message) -> None:
        for link in self.links:
            link_port.send_if_open(link, message)

    def credit(self, credit: messages.Credit) -> None:
        """Forgets what the entry host has passed on; allows more."""
        if self.kept:
            return
        self._allowed = max(self._allowed, credit.offset + credit.window)
        kept_from = 0
        for chunk in self._unsent:
            if chunk.offset + chunk.count > credit.offset:
                break
            kept_from += 1
            self._unsent_bytes -= len(chunk.data)
        del self._unsent[:kept_from]
        self._credit.set()

    def detach(self, link: link_port.Link) -> None:
        """Goes on without a link that was lost, for a while."""
        if link not in self.links:
            return
        self.links.remove(link)
        if not self.kept and not self.finished:
            loop = asyncio.get_running_loop()
            self._grace = loop.call_later(self._limits.resume_grace_s,
                                          self.cancel)

    def attach(self, link: link_port.Link, resume: messages.Resume) -> bool:
        """Continues the answer on a link; False when a part is gone."""
        held = [
            chunk for chunk in self._unsent
            if chunk.offset + chunk.count > resume.offset
        ]
        start = held[0].offset if held else self._offset
        if start != resume.offset:
            return False
        if self._grace is not None:
            self._grace.cancel()
        self._add_link(link)
        for message in (self._head, *held, self._last):
            if message is not None:
                link_port.send_if_open(link, message)
        self._allowed = max(self._allowed, resume.offset + resume.window)
        self._credit.set()
        return True

    def _add_link(self, link: link_port.Link) -> None:
        if not self.kept:
            self.links = [link]
        elif link not in self.links:
            self.links.append(link)

    def cancel(self) -> None:
        """Stops the work at the upstream."""
        if self.task is not None:
            self.task.cancel()

    def release_later(self, release: Callable[[], object]) -> None:
        """Calls `release` once nobody can ask to resume any more."""
        loop = asyncio.get_running_loop()
        loop.call_later(self._limits.resume_grace_s, release)


def _request(begin: messages.Begin) -> local_upstream.LocalUpstreamRequest:
    importance = targets.Importance(begin.importance)
    urgency = _URGENCY_BY_IMPORTANCE[importance]
    return local_upstream.LocalUpstreamRequest(
        method=begin.method,
        path=begin.path,
        headers=(*begin.headers, (_ID_HEADER, begin.attempt), ('priority',
                                                               f'u={urgency}')),
        body=begin.body)


def _is_misrouted(exchange: local_upstream.LocalUpstreamResponse,
                  attempt: str) -> bool:
    """Whether the upstream answers with another request's id."""
    return any(name == _ID_HEADER and value != attempt
               for name, value in exchange.headers)
