"""Passes the answer of one attempt on, over more than one link if need be."""

import abc
import asyncio
import dataclasses
from collections.abc import Callable

from pollenthread.app import upstream_pool as pool_module
from pollenthread.core import claims, errors, messages
from pollenthread.ports import link as link_port

__all__ = ['RetainedResponse', 'ResponseReceiver', 'ResponseRelay', 'flow_control_window']

_EVENT_WINDOW = 1024
_BYTE_WINDOW = 256 * 1024
_CREDIT_BYTES = 64 * 1024
_RELINK_TIMEOUT_S = 3.0


def flow_control_window(stream: bool) -> int:
    """Units that an agent may send before it gets credit."""
    return _EVENT_WINDOW if stream else _BYTE_WINDOW


class ResponseReceiver(abc.ABC):
    """Takes the answer of an attempt."""

    @abc.abstractmethod
    async def receive_head(self, head: messages.Head) -> None:
        """Takes the head; it may come again after a resume."""

    @abc.abstractmethod
    async def receive_data(self, data: bytes, count: int) -> None:
        """Takes a part with `count` units; waits while the caller is slow."""

    def try_receive_data(self, data: bytes, count: int) -> bool:
        """Takes a part if that needs no waiting; whether it did."""
        del data, count
        return False

    @abc.abstractmethod
    async def receive_end(self) -> None:
        """Takes the end marker."""

    @abc.abstractmethod
    def receive_timing(self, served: messages.Served) -> None:
        """Takes how long a traced attempt took at its agent."""


@dataclasses.dataclass(frozen=True)
class _Ending:
    """How an attempt ended: a failure, or None for a whole answer."""

    failure: errors.Failure | None


class ResponseRelay:
    """Follows one attempt at an agent to its end."""

    def __init__(self,
                 *,
                 attempt: str,
                 stream: bool,
                 pool: pool_module.UpstreamPool,
                 retries_elsewhere: Callable[[], bool] = lambda: False) -> None:
        """Makes a relay.

        Args:
            attempt: the attempt's id.
            stream: whether the answer is a stream of events.
            pool: where a lost link comes back.
            moves_on: whether another attempt is better than waiting for a lost
                link.
        """
        self._attempt = attempt
        self._window = flow_control_window(stream)
        self._pool = pool
        self._moves_on = retries_elsewhere
        self._offset = 0
        self._credited = 0
        self._uncredited_bytes = 0
        self._receiver: ResponseReceiver
        self.upstream: pool_module.LinkedUpstream

    async def run(self, upstream: pool_module.LinkedUpstream,
                  stream: pool_module.AttemptStream,
                  receiver: ResponseReceiver) -> errors.Failure | None:
        """Relays until the end marker; None when the answer is whole."""
        self.upstream = upstream
        self._receiver = receiver
        while True:
            stream.deliver_immediately = self._take_at_once
            burst = await stream.get_available()
            ending = await self._take_burst(burst, receiver)
            if ending is not None:
                self.upstream.close_stream(self._attempt)
                return ending.failure
            if burst[-1] is None:
                resumed = None if self._moves_on() else await self._resume()
                if resumed is None:
                    return errors.failure(errors.Kind.LINK_LOST)
                stream = resumed

    async def _take_burst(self, burst: list[messages.Message | None],
                          receiver: ResponseReceiver) -> _Ending | None:
        """Handles messages that came together; how the attempt ended."""
        parts: list[bytes] = []
        start = self._offset
        ending: _Ending | None = None
        for message in burst:
            match message:
                case messages.Chunk():
                    if message.offset != self._offset:
                        ending = self._misplaced(message)
                        break
                    self._offset += message.count
                    parts.append(message.data)
                case messages.Head():
                    await receiver.receive_head(message)
                case messages.Served():
                    receiver.receive_timing(message)
                case messages.End():
                    ending = self._end(message)
                    break
                case messages.Fail():
                    ending = _Ending(
                        errors.failure(message.kind,
                                       message.detail,
                                       ran=message.ran))
                    break
                case _:
                    pass
        if parts:
            await self._pass_on(b''.join(parts), self._offset - start, receiver)
        if ending is not None and ending.failure is None:
            await receiver.receive_end()
        return ending

    def _misplaced(self, chunk: messages.Chunk) -> _Ending:
        return _Ending(
            self._pool.report_misrouted(self.upstream,
                                 f'part {chunk.offset} came at {self._offset}'))

    def _end(self, end: messages.End) -> _Ending:
        if end.offset == self._offset:
            return _Ending(None)
        return _Ending(errors.failure(errors.Kind.UPSTREAM_TRUNCATED))

    async def _pass_on(self, data: bytes, count: int,
                       receiver: ResponseReceiver) -> None:
        """Passes a part on."""
        await receiver.receive_data(data, count)
        self._give_credit(data)

    def _take_at_once(self, chunk: messages.Chunk) -> bool:
        """Passes a part on without waking the task; whether that was done."""
        if (chunk.offset != self._offset or
                not self._receiver.try_receive_data(chunk.data, chunk.count)):
            return False
        self._offset += chunk.count
        self._give_credit(chunk.data)
        return True

    def _give_credit(self, data: bytes) -> None:
        """Lets the agent send more once half of its window has left."""
        self._uncredited_bytes += len(data)
        if (self._offset - self._credited < self._window // 2 and
                self._uncredited_bytes < _CREDIT_BYTES):
            return
        self._credited = self._offset
        self._uncredited_bytes = 0
        link_port.send_if_open(
            self.upstream.link,
            messages.Credit(self._attempt, self._offset, self._window))

    async def _resume(self) -> pool_module.AttemptStream | None:
        """Asks the same incarnation for the rest over a new link."""
        hello = self.upstream.hello
        upstream = await self._pool.wait_for_link(hello.host, hello.incarnation,
                                             _RELINK_TIMEOUT_S)
        if upstream is None:
            return None
        self.upstream = upstream
        stream = upstream.open_stream(self._attempt)
        resume = messages.Resume(self._attempt, self._offset, self._window)
        if not link_port.send_if_open(upstream.link, resume):
            stream.put(None)
        return stream

    def cancel(self) -> None:
        """Tells the agent that nobody waits."""
        self.upstream.close_stream(self._attempt)
        link_port.send_if_open(self.upstream.link,
                               messages.Cancel(self._attempt))

    def confirm(self) -> None:
        """Tells the agent that it may forget the attempt."""
        link_port.send_if_open(self.upstream.link,
                               messages.Confirm(self._attempt))


class RetainedResponse(ResponseReceiver):
    """The answer of an attempt that may not be repeated.

    It is collected whole, whether or not a caller still waits, and any number
    of callers can follow it from its start.
    """

    def __init__(self) -> None:
        self._head: messages.Head | None = None
        self._parts: list[tuple[bytes, int]] = []
        self._whole = False
        self._served: messages.Served | None = None
        self._ending: _Ending | None = None
        self._changed = asyncio.Event()

    @property
    def stored_response(self) -> claims.Outcome | None:
        """The whole answer, for keeping; None when it is not whole."""
        if not self._whole or self._head is None:
            return None
        return claims.Outcome(status=self._head.status,
                              headers=self._head.headers,
                              body=b''.join(data for data, _ in self._parts))

    async def receive_head(self, head: messages.Head) -> None:
        self._head = head
        self._notify()

    async def receive_data(self, data: bytes, count: int) -> None:
        self._parts.append((data, count))
        self._notify()

    async def receive_end(self) -> None:
        self._whole = True

    def receive_timing(self, served: messages.Served) -> None:
        self._served = served

    def finish(self, failure: errors.Failure | None) -> None:
        """Says how the attempt ended."""
        self._ending = _Ending(failure)
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def relay_to(self, receiver: ResponseReceiver) -> errors.Failure | None:
        """Passes everything on to a receiver; None when it was whole."""
        head_passed = False
        passed = 0
        while True:
            changed = self._changed
            if self._head is not None and not head_passed:
                head_passed = True
                await receiver.receive_head(self._head)
            while passed < len(self._parts):
                data, count = self._parts[passed]
                passed += 1
                await receiver.receive_data(data, count)
            if self._ending is not None:
                if self._served is not None:
                    receiver.receive_timing(self._served)
                if self._ending.failure is None:
                    await receiver.receive_end()
                return self._ending.failure
            if not changed.is_set():
                await changed.wait()
