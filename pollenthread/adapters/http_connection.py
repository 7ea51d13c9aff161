"""One connection of the HTTP server, with bounded input."""

import asyncio
import dataclasses
from collections.abc import Callable
from typing import Any

import h11
from absl import logging

from pollenthread.adapters import http_message
from pollenthread.core import errors

__all__ = ['BodyBufferQuota', 'ServerConnection']

_MAX_EARLY_BYTES = 64 * 1024
_PLAIN_SCHEME = 'http://'


@dataclasses.dataclass
class BodyBufferQuota:
    """What all connections of a server hold together.

    Attributes:
        left_bytes: bytes of unfinished bodies that may still be taken.
    """

    remaining_bytes: int


class _BadRequest(Exception):
    """A request that is refused before a handler sees it."""

    def __init__(self, problem: errors.Failure) -> None:
        super().__init__(problem.detail)
        self.problem = problem


class ServerConnection(asyncio.Protocol, http_message.ResponseTransport):
    """Reads requests, runs the handler for each, and writes the answers.

    The caller has left when it closes its sending side: the handler is then
    cancelled.
    """

    def __init__(self, *, handler: http_message.RequestHandler,
                 limits: http_message.ServerLimits, budget: BodyBufferQuota,
                 on_lost: Callable[['ServerConnection'], None]) -> None:
        self._handler = handler
        self._limits = limits
        self._budget = budget
        self._on_lost = on_lost
        self._transport: asyncio.Transport
        self._peer = ''
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.max_head_bytes)
        self._head: h11.Request | None = None
        self._parts: list[bytes] = []
        self._body_bytes = 0
        self._early = bytearray()
        self._linger_bytes: int | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._writable: asyncio.Event | None = None
        self.task: asyncio.Task[None] | None = None
        self.is_busy = False
        self.should_close = False
        self.request_method = ''

    # What a response uses.

    @property
    def is_writable(self) -> bool:
        return self._writable is None and not self._transport.is_closing()

    def send_events(self, *events: h11.Event) -> None:
        if self._transport.is_closing():
            raise ConnectionResetError('the caller left')
        if len(events) == 1:
            data = self._http.send(events[0])
        else:
            parts = [self._http.send(event) for event in events]
            data = b''.join(part for part in parts if part)
        if data:
            self._transport.write(data)

    async def drain(self) -> None:
        if self._writable is not None:
            await self._writable.wait()
            if self._transport.is_closing():
                raise ConnectionResetError('the caller left')

    def abort(self) -> None:
        self._transport.close()
        if self._writable is not None:
            self._set_timer(self._limits.lingering_close_s,
                            self._transport.abort)

    def reject(self, failure: errors.Failure) -> None:
        """Answers with a failure and reads no further request."""
        self._set_timer(self._limits.lingering_close_s, self._transport.abort)
        self._linger_bytes = self._limits.max_body_bytes
        self.should_close = True
        if self._http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            self._transport.abort()
            return
        self.task = asyncio.create_task(self._send_refusal(failure))

    async def _send_refusal(self, problem: errors.Failure) -> None:
        try:
            await http_message.HttpResponse(connection=self
                                           ).send_problem(problem)
            self._transport.write_eof()
        except (OSError, h11.LocalProtocolError):
            self._transport.abort()

    # Called by the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=self._limits.max_unsent_bytes)
        peer = transport.get_extra_info('peername')
        self._peer = peer[0] if peer else ''
        self._wait_for_request()

    def data_received(self, data: bytes) -> None:
        if self._linger_bytes is not None:
            self._linger_bytes -= len(data)
            if self._linger_bytes < 0:
                self._transport.abort()
            return
        if self.task is not None:
            self._early += data
            if len(self._early) > _MAX_EARLY_BYTES:
                self._transport.pause_reading()
            return
        self._receive(data)

    def eof_received(self) -> bool:
        if self.task is not None and self._linger_bytes is None:
            self.task.cancel()
        return False

    def pause_writing(self) -> None:
        self._writable = asyncio.Event()

    def resume_writing(self) -> None:
        if self._writable is not None:
            self._writable.set()
        self._writable = None

    def connection_lost(self, exc: Exception | None) -> None:
        self._cancel_timer()
        self.resume_writing()
        self._forget_body()
        self.is_busy = False
        if self.task is not None:
            self.task.cancel()
        self._on_lost(self)

    # Reading.

    def _set_timer(self, seconds: float, act: Callable[[], None]) -> None:
        self._cancel_timer()
        self._timer = asyncio.get_running_loop().call_later(seconds, act)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _wait_for_request(self) -> None:
        self.is_busy = False
        self._set_timer(self._limits.idle_timeout_s, self._transport.close)

    def _refuse_slow(self) -> None:
        self.reject(errors.failure(errors.Kind.SLOW_REQUEST))

    def _receive(self, data: bytes) -> None:
        """Feeds bytes to the parser and acts on what they complete."""
        if data:
            self._http.receive_data(data)
        if not self.is_busy:
            self.is_busy = True
            self._set_timer(self._limits.head_timeout_s, self._refuse_slow)
        try:
            while self._take(self._http.next_event()):
                pass
        except h11.RemoteProtocolError as bad:
            self.reject(_framing_failure(bad))
        except _BadRequest as bad:
            self.reject(bad.problem)

    def _take(self, event: Any) -> bool:
        """Handles one event; whether another may follow."""
        if isinstance(event, h11.Request):
            self._take_head(event)
            return True
        if isinstance(event, h11.Data):
            self._take_data(bytes(event.data))
            return True
        if isinstance(event, h11.EndOfMessage):
            self._start_handler()
            return False
        if event is h11.NEED_DATA:
            if self._http.they_are_waiting_for_100_continue:
                self.send_events(
                    h11.InformationalResponse(status_code=100, headers=[]))
            return False
        self._transport.close()
        return False

    def _take_head(self, head: h11.Request) -> None:
        self._head = head
        self.request_method = head.method.decode('ascii')
        _check_head(head, self._limits)
        self._set_timer(self._limits.body_timeout_s, self._refuse_slow)

    def _take_data(self, data: bytes) -> None:
        self._body_bytes += len(data)
        self._budget.remaining_bytes -= len(data)
        if self._body_bytes > self._limits.max_body_bytes:
            raise _BadRequest(_too_large(self._limits))
        if self._budget.remaining_bytes < 0:
            raise _BadRequest(
                errors.failure(errors.Kind.OVERLOADED,
                               'Too many bodies arrive at once.'))
        self._parts.append(data)

    def _forget_body(self) -> None:
        self._parts = []
        self._budget.remaining_bytes += self._body_bytes
        self._body_bytes = 0

    # Serving.

    def _start_handler(self) -> None:
        self._cancel_timer()
        assert self._head is not None
        request = _request(self._head, b''.join(self._parts), self._peer)
        self._head = None
        self._forget_body()
        self.task = asyncio.create_task(self._serve(request))

    async def _serve(self, request: http_message.HttpRequest) -> None:
        response = http_message.HttpResponse(connection=self)
        try:
            await self._handler.handle(request, response)
        except (asyncio.CancelledError, OSError):
            self._transport.close()
            return
        except Exception:  # pylint: disable=broad-exception-caught
            logging.exception('a request could not be handled')
            await self._report_internal(response)
        self._next_request(response)

    async def _report_internal(self,
                               response: http_message.HttpResponse) -> None:
        self.should_close = True
        if response.is_head_sent:
            self._transport.close()
            return
        try:
            await response.send_problem(errors.failure(errors.Kind.INTERNAL))
        except (OSError, h11.LocalProtocolError):
            self._transport.close()

    def _next_request(self, response: http_message.HttpResponse) -> None:
        """Goes on to the connection's next request, or closes it."""
        self.task = None
        if (self._transport.is_closing() or not response.is_finished or
                self.should_close or self._http.our_state is not h11.DONE or
                self._http.their_state is not h11.DONE):
            self._transport.close()
            return
        self._http.start_next_cycle()
        self._wait_for_request()
        early = bytes(self._early)
        self._early.clear()
        self._transport.resume_reading()
        if early or self._http.trailing_data[0]:
            self._receive(early)


def _check_head(head: h11.Request, limits: http_message.ServerLimits) -> None:
    """Refuses what the parser lets pass but no request needs."""
    if head.http_version != b'1.1':
        raise _bad_framing('Use HTTP/1.1.')
    size = len(head.target)
    lengths = 0
    encodings = 0
    for name, value in head.headers:
        size += len(name) + len(value) + 4
        if name == b'content-length':
            lengths += 1
            if int(value) > limits.max_body_bytes:
                raise _BadRequest(_too_large(limits))
        elif name == b'transfer-encoding':
            encodings += 1
    if size > limits.max_head_bytes:
        raise _BadRequest(errors.failure(errors.Kind.HEAD_TOO_LARGE))
    if lengths and encodings:
        raise _bad_framing('Give content-length or transfer-encoding, '
                           'not both.')


def _request(head: h11.Request, body: bytes,
             peer: str) -> http_message.HttpRequest:
    target = head.target.decode('ascii', 'replace')
    if target[:len(_PLAIN_SCHEME)].lower() == _PLAIN_SCHEME:
        _, slash, path = target[len(_PLAIN_SCHEME):].partition('/')
        target = slash + path if slash else '/'
    return http_message.HttpRequest(method=head.method.decode('ascii'),
                                    target=target,
                                    headers=tuple(
                                        (name.decode('ascii'),
                                         value.decode('latin-1'))
                                        for name, value in head.headers),
                                    body=body,
                                    client_ip=peer)


def _bad_framing(detail: str) -> _BadRequest:
    return _BadRequest(errors.failure(errors.Kind.BAD_FRAMING, detail))


def _too_large(limits: http_message.ServerLimits) -> errors.Failure:
    return errors.failure(
        errors.Kind.BODY_TOO_LARGE,
        f'The body may have {limits.max_body_bytes} bytes at most.')


def _framing_failure(bad: h11.RemoteProtocolError) -> errors.Failure:
    if bad.error_status_hint == 431:
        return errors.failure(errors.Kind.HEAD_TOO_LARGE)
    return errors.failure(errors.Kind.BAD_FRAMING, str(bad))
