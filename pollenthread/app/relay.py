"""Relays the response of an attempt; resumes it after the loss of a link."""

import abc
import asyncio
import dataclasses
from collections.abc import Callable

from pollenthread.app import upstream_pool
from pollenthread.core import claims, errors, messages
from pollenthread.ports import link as link_port

__all__ = [
    'ResponseReceiver', 'ResponseRelay', 'RetainedResponse',
    'flow_control_window'
]

_WINDOW_EVENTS = 1024
_WINDOW_BYTES = 256 * 1024
_CREDIT_INTERVAL_BYTES = 64 * 1024
_RECONNECT_TIMEOUT_S = 3.0


def flow_control_window(stream: bool) -> int:
    """The flow control window: events or bytes sent ahead of any credit.

    Args:
        stream: whether the response is a stream of events; its window counts
            events rather than bytes.
    """
    return _WINDOW_EVENTS if stream else _WINDOW_BYTES


class ResponseReceiver(abc.ABC):
    """Receives the response of an attempt."""

    @abc.abstractmethod
    async def receive_head(self, head: messages.Head) -> None:
        """Receives the head; may be called again after a resume."""

    @abc.abstractmethod
    async def receive_data(self, data: bytes, count: int) -> None:
        """Receives a chunk; waits while the caller reads slowly.

        Args:
            data: the bytes of the chunk.
            count: the events in the chunk for a stream, else its bytes.
        """

    def try_receive_data(self, data: bytes, count: int) -> bool:
        """Receives a chunk if that needs no wait; returns whether it did."""
        del data, count
        return False

    @abc.abstractmethod
    async def receive_end(self) -> None:
        """Receives the end of a complete response."""

    @abc.abstractmethod
    def receive_timing(self, served: messages.Served) -> None:
        """Receives the time that a traced attempt took at its agent."""


@dataclasses.dataclass(frozen=True)
class _Completion:
    """The end of an attempt.

    Attributes:
        failure: why it failed; None for a complete response.
    """

    failure: errors.Failure | None


class ResponseRelay:
    """Relays the response of one attempt from its agent to a receiver.

    Attributes:
        upstream: the upstream with the current link to the agent.
    """

    def __init__(self,
                 *,
                 attempt: str,
                 stream: bool,
                 pool: upstream_pool.UpstreamPool,
                 retries_elsewhere: Callable[[], bool] = lambda: False) -> None:
        """Creates a relay.

        Args:
            attempt: the attempt's id.
            stream: whether the response is a stream of events.
            pool: provides the new link after a link is lost.
            retries_elsewhere: whether to fail at once when a link is lost,
                because another attempt is possible, rather than wait for a new
                link.
        """
        self._attempt = attempt
        self._window = flow_control_window(stream)
        self._pool = pool
        self._retries_elsewhere = retries_elsewhere
        self._offset = 0
        self._credited_offset = 0
        self._uncredited_bytes = 0
        self._receiver: ResponseReceiver
        self.upstream: upstream_pool.LinkedUpstream

    async def run(self, upstream: upstream_pool.LinkedUpstream,
                  stream: upstream_pool.AttemptStream,
                  receiver: ResponseReceiver) -> errors.Failure | None:
        """Relays until the attempt ends.

        Args:
            upstream: the upstream that the attempt was sent to.
            stream: the messages received for the attempt.
            receiver: receives the response.

        Returns:
            The failure; None for a complete response.
        """
        self.upstream = upstream
        self._receiver = receiver
        while True:
            stream.deliver_immediately = self._try_deliver
            batch = await stream.get_available()
            completion = await self._handle_batch(batch, receiver)
            if completion is not None:
                self.upstream.close_stream(self._attempt)
                return completion.failure
            if batch[-1] is None:
                resumed = None if self._retries_elsewhere(
                ) else await self._resume()
                if resumed is None:
                    return errors.make_failure(errors.ErrorKind.LINK_LOST)
                stream = resumed

    async def _handle_batch(self, batch: list[messages.Message | None],
                            receiver: ResponseReceiver) -> _Completion | None:
        """Handles messages; returns the completion if the attempt ended."""
        chunks: list[bytes] = []
        first_offset = self._offset
        completion: _Completion | None = None
        for message in batch:
            match message:
                case messages.Chunk():
                    if message.offset != self._offset:
                        completion = self._report_misrouted(message)
                        break
                    self._offset += message.count
                    chunks.append(message.data)
                case messages.Head():
                    await receiver.receive_head(message)
                case messages.Served():
                    receiver.receive_timing(message)
                case messages.End():
                    completion = self._complete(message)
                    break
                case messages.Fail():
                    completion = _Completion(
                        errors.make_failure(message.kind,
                                            message.detail,
                                            executed=message.ran))
                    break
                case _:
                    pass
        if chunks:
            await self._deliver(b''.join(chunks), self._offset - first_offset,
                                receiver)
        if completion is not None and completion.failure is None:
            await receiver.receive_end()
        return completion

    def _report_misrouted(self, chunk: messages.Chunk) -> _Completion:
        return _Completion(
            self._pool.report_misrouted(
                self.upstream, f'part {chunk.offset} came at {self._offset}'))

    def _complete(self, end: messages.End) -> _Completion:
        if end.offset == self._offset:
            return _Completion(None)
        return _Completion(
            errors.make_failure(errors.ErrorKind.UPSTREAM_TRUNCATED))

    async def _deliver(self, data: bytes, count: int,
                       receiver: ResponseReceiver) -> None:
        """Delivers a chunk to the receiver and grants credit for it."""
        await receiver.receive_data(data, count)
        self._send_credit(data)

    def _try_deliver(self, chunk: messages.Chunk) -> bool:
        """Delivers a chunk without waking the task; returns whether it did."""
        if (chunk.offset != self._offset or
                not self._receiver.try_receive_data(chunk.data, chunk.count)):
            return False
        self._offset += chunk.count
        self._send_credit(chunk.data)
        return True

    def _send_credit(self, data: bytes) -> None:
        """Sends credit once half of the window, or enough bytes, are used."""
        self._uncredited_bytes += len(data)
        if (self._offset - self._credited_offset < self._window // 2 and
                self._uncredited_bytes < _CREDIT_INTERVAL_BYTES):
            return
        self._credited_offset = self._offset
        self._uncredited_bytes = 0
        link_port.send_if_open(
            self.upstream.link,
            messages.Credit(self._attempt, self._offset, self._window))

    async def _resume(self) -> upstream_pool.AttemptStream | None:
        """Requests the rest of the response from the same incarnation.

        Returns:
            The messages on the new link; None when no link opens in time.
        """
        hello = self.upstream.hello
        upstream = await self._pool.wait_for_link(hello.host, hello.incarnation,
                                                  _RECONNECT_TIMEOUT_S)
        if upstream is None:
            return None
        self.upstream = upstream
        stream = upstream.open_stream(self._attempt)
        resume = messages.Resume(self._attempt, self._offset, self._window)
        if not link_port.send_if_open(upstream.link, resume):
            stream.put(None)
        return stream

    def cancel(self) -> None:
        """Cancels the attempt at its agent."""
        self.upstream.close_stream(self._attempt)
        link_port.send_if_open(self.upstream.link,
                               messages.Cancel(self._attempt))

    def confirm(self) -> None:
        """Confirms the response, so that the agent can drop the attempt."""
        link_port.send_if_open(self.upstream.link,
                               messages.Confirm(self._attempt))


class RetainedResponse(ResponseReceiver):
    """The response of a non-repeatable attempt, held in memory.

    It is received in full even if the caller disconnects, and can be relayed to
    any number of callers from the beginning.
    """

    def __init__(self) -> None:
        self._head: messages.Head | None = None
        self._chunks: list[tuple[bytes, int]] = []
        self._is_complete = False
        self._served: messages.Served | None = None
        self._completion: _Completion | None = None
        self._changed = asyncio.Event()

    @property
    def stored_response(self) -> claims.StoredResponse | None:
        """The response to record in the table; None while it is incomplete."""
        if not self._is_complete or self._head is None:
            return None
        return claims.StoredResponse(status=self._head.status,
                                     headers=self._head.headers,
                                     body=b''.join(
                                         data for data, _ in self._chunks))

    async def receive_head(self, head: messages.Head) -> None:
        self._head = head
        self._notify()

    async def receive_data(self, data: bytes, count: int) -> None:
        self._chunks.append((data, count))
        self._notify()

    async def receive_end(self) -> None:
        self._is_complete = True

    def receive_timing(self, served: messages.Served) -> None:
        self._served = served

    def finish(self, failure: errors.Failure | None) -> None:
        """Ends the response.

        Args:
            failure: why the attempt failed; None for a complete response.
        """
        self._completion = _Completion(failure)
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def relay_to(self,
                       receiver: ResponseReceiver) -> errors.Failure | None:
        """Relays the response to a receiver from the beginning.

        Returns:
            The failure of the attempt; None for a complete response.
        """
        head_relayed = False
        relayed_count = 0
        while True:
            changed = self._changed
            if self._head is not None and not head_relayed:
                head_relayed = True
                await receiver.receive_head(self._head)
            while relayed_count < len(self._chunks):
                data, count = self._chunks[relayed_count]
                relayed_count += 1
                await receiver.receive_data(data, count)
            if self._completion is not None:
                if self._served is not None:
                    receiver.receive_timing(self._served)
                if self._completion.failure is None:
                    await receiver.receive_end()
                return self._completion.failure
            if not changed.is_set():
                await changed.wait()
