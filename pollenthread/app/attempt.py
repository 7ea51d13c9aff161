"""One attempt at an agent: the upstream request and its response."""

import asyncio
import dataclasses
from collections.abc import Callable

from pollenthread.app import slot_scheduler
from pollenthread.core import (attempt_rules, errors, event_splitter, messages,
                               spans, targets)
from pollenthread.ports import link as link_port, local_upstream

_US_PER_S = 1_000_000

__all__ = ['Attempt', 'AttemptLimits']

_REQUEST_ID_HEADER = 'x-request-id'
_URGENCY_BY_IMPORTANCE = {
    targets.Importance.LOW: 5,
    targets.Importance.NORMAL: 3,
    targets.Importance.HIGH: 1
}


@dataclasses.dataclass(frozen=True)
class AttemptLimits:
    """Limits for one attempt.

    Attributes:
        resume_grace_s: seconds for which an attempt runs without a link, and
            for which a finished response can still be resumed.
        max_unacknowledged_bytes: bytes buffered for an entry host that grants
            no credit; the upstream is not read beyond this.
        max_retained_bytes: the largest response that is retained.
    """

    resume_grace_s: float = 10.0
    max_unacknowledged_bytes: int = 256 * 1024
    max_retained_bytes: int = 1024 * 1024


class Attempt:
    """One attempt at the upstream with the buffered chunks of its response.

    The response of a non-repeatable attempt is retained in full and sent to
    every link that asks for it. Any other response goes to one link, and only
    the chunks that the entry host has not acknowledged by credit are buffered.

    Attributes:
        begin: the message that requested the attempt.
        links: the links that receive the response.
        task: runs the attempt; None before it is created.
        has_started: whether the task has run its first step.
        is_finished: whether the attempt has ended.
        is_response_complete: whether the response is complete.
        queued_ms: milliseconds spent in the queue.
    """

    def __init__(self, *, begin: messages.Begin, link: link_port.Link,
                 limits: AttemptLimits,
                 scheduler: slot_scheduler.SlotScheduler) -> None:
        self.begin = begin
        self.links: list[link_port.Link] = [link]
        self.task: asyncio.Task[None] | None = None
        self.has_started = False
        self.is_finished = False
        self.is_response_complete = False
        self.queued_ms = 0
        self._limits = limits
        self._scheduler = scheduler
        self._head: messages.Head | None = None
        self._unacknowledged_chunks: list[messages.Chunk] = []
        self._unacknowledged_bytes = 0
        self._offset = 0
        self._send_limit = begin.window
        self._credit_received = asyncio.Event()
        self._final_message: messages.End | messages.Fail | None = None
        self._cancel_timer: asyncio.TimerHandle | None = None
        self._arrived_at = asyncio.get_running_loop().time()
        self._started_at: float | None = None
        self._deadline = self._arrived_at + begin.deadline_ms / 1000

    @property
    def deadline(self) -> float:
        """The event loop time by which the attempt must end."""
        return self._deadline

    @property
    def is_retained(self) -> bool:
        """Whether the whole response is retained until it is confirmed."""
        return not self.begin.repeatable

    @property
    def phase(self) -> attempt_rules.AttemptPhase:
        """The progress of the attempt."""
        if not self.is_finished:
            return attempt_rules.AttemptPhase.RUNNING
        if self.is_response_complete:
            return attempt_rules.AttemptPhase.DONE
        if (isinstance(self._final_message, messages.Fail) and
                self._final_message.ran is errors.Executed.NO):
            return attempt_rules.AttemptPhase.ENDED_NOT_RUN
        return attempt_rules.AttemptPhase.ENDED_UNKNOWN

    @property
    def must_be_remembered(self) -> bool:
        """Whether removing this attempt would allow a second execution."""
        return attempt_rules.must_be_retained(self.phase,
                                              repeatable=self.begin.repeatable)

    async def run(self, upstream: local_upstream.LocalUpstream) -> None:
        """Sends the request to the upstream and relays the response."""
        self._started_at = asyncio.get_running_loop().time()
        try:
            async with asyncio.timeout_at(self._deadline):
                async with upstream.call(_request(self.begin)) as response:
                    await self._relay(response)
        except local_upstream.LocalUpstreamConnectError as error:
            self.fail(
                errors.make_failure(errors.ErrorKind.NO_UPSTREAM,
                                    str(error),
                                    executed=errors.Executed.NO))
        except TimeoutError:
            self.fail(errors.make_failure(errors.ErrorKind.DEADLINE_PASSED))
        except (OSError, event_splitter.EventTooLargeError) as error:
            self.fail(
                errors.make_failure(errors.ErrorKind.UPSTREAM_TRUNCATED,
                                    str(error)))

    async def _relay(self,
                     response: local_upstream.LocalUpstreamResponse) -> None:
        if _is_misrouted(response, self.begin.attempt):
            self.fail(errors.make_failure(errors.ErrorKind.UPSTREAM_MISROUTED))
            return
        self._head = messages.Head(self.begin.attempt, response.status,
                                   response.headers, self.queued_ms)
        self._send(self._head)
        if self.begin.stream and response.is_event_stream:
            await self._relay_events(response)
            return
        async for data in response.read():
            await self._send_chunk(len(data), data)
        if response.is_delimited:
            self._end()
        else:
            self.fail(
                errors.make_failure(
                    errors.ErrorKind.UPSTREAM_TRUNCATED,
                    'The upstream marked no end of its answer.'))

    async def _relay_events(
            self, response: local_upstream.LocalUpstreamResponse) -> None:
        splitter = event_splitter.CountingEventSplitter()
        async for data in response.read():
            count, whole_events = splitter.feed(data)
            if count:
                await self._send_chunk(count, whole_events)
            if splitter.done:
                break
        if splitter.done:
            self._end()
        else:
            self.fail(errors.make_failure(errors.ErrorKind.UPSTREAM_TRUNCATED))

    async def _send_chunk(self, count: int, data: bytes) -> None:
        self._scheduler.record_progress(self.begin.attempt, count)
        chunk = messages.Chunk(self.begin.attempt, self._offset, count, data)
        self._offset += count
        self._unacknowledged_chunks.append(chunk)
        self._unacknowledged_bytes += len(data)
        self._send(chunk)
        if self.is_retained:
            if self._unacknowledged_bytes > self._limits.max_retained_bytes:
                raise ConnectionError('the outcome is too large to keep')
            return
        while self._is_blocked:
            self._credit_received.clear()
            await self._credit_received.wait()
        for link in self.links:
            await link.drain()

    @property
    def _is_blocked(self) -> bool:
        return (self._offset >= self._send_limit or self._unacknowledged_bytes
                > self._limits.max_unacknowledged_bytes)

    def _end(self) -> None:
        self.is_response_complete = True
        self._finish(messages.End(self.begin.attempt, self._offset))

    def fail(self, failure: errors.Failure) -> None:
        """Ends the attempt with a failure, unless it has ended."""
        if not self.is_finished:
            self._finish(
                messages.Fail(self.begin.attempt, failure.kind, failure.detail,
                              failure.executed))

    def _finish(self, final: messages.End | messages.Fail) -> None:
        self.is_finished = True
        if spans.is_sampled(self.begin.headers):
            self._send(self._timing_message())
        self._final_message = final
        self._send(final)

    def _timing_message(self) -> messages.Served:
        now = asyncio.get_running_loop().time()
        started_at = now if self._started_at is None else self._started_at
        return messages.Served(attempt=self.begin.attempt,
                               queued_us=round(
                                   (started_at - self._arrived_at) * _US_PER_S),
                               upstream_us=round(
                                   (now - started_at) * _US_PER_S))

    def _send(self, message: messages.Message) -> None:
        for link in self.links:
            link_port.send_if_open(link, message)

    def add_credit(self, credit: messages.Credit) -> None:
        """Drops acknowledged chunks and allows the window beyond them."""
        if self.is_retained:
            return
        self._send_limit = max(self._send_limit, credit.offset + credit.window)
        acknowledged_count = 0
        for chunk in self._unacknowledged_chunks:
            if chunk.offset + chunk.count > credit.offset:
                break
            acknowledged_count += 1
            self._unacknowledged_bytes -= len(chunk.data)
        del self._unacknowledged_chunks[:acknowledged_count]
        self._credit_received.set()

    def detach(self, link: link_port.Link) -> None:
        """Removes a lost link.

        A response that is not retained is cancelled unless a link resumes it
        within the grace period.
        """
        if link not in self.links:
            return
        self.links.remove(link)
        if not self.is_retained and not self.is_finished:
            loop = asyncio.get_running_loop()
            self._cancel_timer = loop.call_later(self._limits.resume_grace_s,
                                                 self.cancel)

    def attach(self, link: link_port.Link, resume: messages.Resume) -> bool:
        """Resumes the response on a link.

        Args:
            link: the link to send the response to.
            resume: the position to resume from.

        Returns:
            False when the chunk at that position is no longer buffered.
        """
        resent = [
            chunk for chunk in self._unacknowledged_chunks
            if chunk.offset + chunk.count > resume.offset
        ]
        first_offset = resent[0].offset if resent else self._offset
        if first_offset != resume.offset:
            return False
        if self._cancel_timer is not None:
            self._cancel_timer.cancel()
        self._add_link(link)
        for message in (self._head, *resent, self._final_message):
            if message is not None:
                link_port.send_if_open(link, message)
        self._send_limit = max(self._send_limit, resume.offset + resume.window)
        self._credit_received.set()
        return True

    def _add_link(self, link: link_port.Link) -> None:
        if not self.is_retained:
            self.links = [link]
        elif link not in self.links:
            self.links.append(link)

    def cancel(self) -> None:
        """Cancels the upstream request."""
        if self.task is not None:
            self.task.cancel()

    def release_after_grace(self, release: Callable[[], object]) -> None:
        """Calls `release` after the grace period for resuming."""
        loop = asyncio.get_running_loop()
        loop.call_later(self._limits.resume_grace_s, release)


def _request(begin: messages.Begin) -> local_upstream.LocalUpstreamRequest:
    importance = targets.Importance(begin.importance)
    urgency = _URGENCY_BY_IMPORTANCE[importance]
    return local_upstream.LocalUpstreamRequest(
        method=begin.method,
        path=begin.path,
        headers=(*begin.headers, (_REQUEST_ID_HEADER, begin.attempt),
                 ('priority', f'u={urgency}')),
        body=begin.body)


def _is_misrouted(response: local_upstream.LocalUpstreamResponse,
                  attempt: str) -> bool:
    """Whether the response carries the id of another request."""
    return any(name == _REQUEST_ID_HEADER and value != attempt
               for name, value in response.headers)
