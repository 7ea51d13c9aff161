"""A connection of the HTTP server, with limits on its input."""

import abc
import asyncio
import contextlib
import dataclasses
import fcntl
import struct
import sys
import termios
from collections.abc import Callable
from typing import Any

import h11
from absl import logging

from pollenthread.adapters import http_message
from pollenthread.core import errors

__all__ = ['BodyBufferQuota', 'ConnectionOwner', 'ServerConnection']

_MAX_PIPELINED_BYTES = 64 * 1024
_HTTP_SCHEME = 'http://'
_INT = struct.Struct('i')
# The limits change while the parser is in use, so they are checked outside.
_PARSER_BYTES = sys.maxsize


@dataclasses.dataclass
class BodyBufferQuota:
    """Memory for request bodies that all connections of a server share.

    Attributes:
        remaining_bytes: bytes of incomplete bodies that may still be buffered.
    """

    remaining_bytes: int


class ConnectionOwner(abc.ABC):
    """The server that accepts a connection.

    Attributes:
        limits: the limits in force, which can change at any time.
    """

    limits: http_message.ServerLimits

    @abc.abstractmethod
    def add(self, connection: 'ServerConnection') -> None:
        """Adds an open connection."""

    @abc.abstractmethod
    def discard(self, connection: 'ServerConnection') -> None:
        """Removes a connection that is closed."""


class _BadRequestError(Exception):
    """The request is invalid and is rejected without calling the handler."""

    def __init__(self, failure: errors.Failure) -> None:
        super().__init__(failure.detail)
        self.failure = failure


class _Timer:
    """A timer whose duration is a limit that can change."""

    def __init__(self, *, limit: str, callback: Callable[[], None]) -> None:
        self._limit = limit
        self._callback = callback
        self._loop = asyncio.get_running_loop()
        self._started_at = self._loop.time()
        self._handle: asyncio.TimerHandle | None = None

    def schedule(self, limits: http_message.ServerLimits) -> None:
        """Schedules the timer as its limit says now."""
        self.cancel()
        self._handle = self._loop.call_at(
            self._started_at + getattr(limits, self._limit), self._callback)

    def cancel(self) -> None:
        """Stops the timer."""
        if self._handle is not None:
            self._handle.cancel()


class ServerConnection(asyncio.Protocol, http_message.ResponseTransport):
    """Reads requests, runs the handler for each, and sends the responses.

    If the caller closes its sending side, it is regarded as disconnected and
    the handler is cancelled.

    Attributes:
        task: the task that handles the current request, or None.
        is_busy: whether a request is being received or handled.
        should_close: whether the connection closes after the current response.
        request_method: the HTTP method of the current request.
    """

    def __init__(self, *, handler: http_message.RequestHandler,
                 owner: ConnectionOwner, quota: BodyBufferQuota) -> None:
        self._handler = handler
        self._owner = owner
        self._quota = quota
        self._transport: asyncio.Transport
        self._client_ip = ''
        self._parser = h11.Connection(h11.SERVER,
                                      max_incomplete_event_size=_PARSER_BYTES)
        self._request_head: h11.Request | None = None
        self._body_parts: list[bytes] = []
        self._body_bytes = 0
        self._pipelined = bytearray()
        self._discard_limit_bytes: int | None = None
        self._timer: _Timer | None = None
        self._writable: asyncio.Event | None = None
        self.task: asyncio.Task[None] | None = None
        self.is_busy = False
        self.should_close = False
        self.request_method = ''

    @property
    def _limits(self) -> http_message.ServerLimits:
        return self._owner.limits

    @property
    def unsent_bytes(self) -> int:
        """Bytes that the caller has not acknowledged.

        0 if the operating system holds all of them: it also sends them after
        the process has exited.
        """
        written = self._transport.get_write_buffer_size()
        if not written:
            return 0
        return written + _unacknowledged_bytes(self._transport)

    # Interface for HttpResponse.

    @property
    def is_writable(self) -> bool:
        return self._writable is None and not self._transport.is_closing()

    def send_events(self, *events: h11.Event) -> None:
        if self._transport.is_closing():
            raise ConnectionResetError('the caller left')
        if len(events) == 1:
            data = self._parser.send(events[0])
        else:
            parts = [self._parser.send(event) for event in events]
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
            self._start_timer('lingering_close_s', self._transport.abort)

    def reject(self, failure: errors.Failure) -> None:
        """Sends an error response and closes the connection."""
        self._start_timer('lingering_close_s', self._transport.abort)
        self._discard_limit_bytes = self._limits.max_body_bytes
        self.should_close = True
        if self._parser.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            self._transport.abort()
            return
        self.task = asyncio.create_task(self._send_rejection(failure))

    async def _send_rejection(self, failure: errors.Failure) -> None:
        try:
            await http_message.HttpResponse(connection=self
                                           ).send_problem(failure)
            self._transport.write_eof()
        except (OSError, h11.LocalProtocolError):
            self._transport.abort()

    # Callbacks of the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._owner.add(self)
        transport.set_write_buffer_limits(high=self._limits.max_unsent_bytes)
        peer = transport.get_extra_info('peername')
        self._client_ip = peer[0] if peer else ''
        self._wait_for_request()

    def data_received(self, data: bytes) -> None:
        if self._discard_limit_bytes is not None:
            self._discard_limit_bytes -= len(data)
            if self._discard_limit_bytes < 0:
                self._transport.abort()
            return
        if self.task is not None:
            self._pipelined += data
            if len(self._pipelined) > _MAX_PIPELINED_BYTES:
                self._transport.pause_reading()
            return
        self._parse(data)

    def eof_received(self) -> bool:
        if self.task is not None and self._discard_limit_bytes is None:
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
        self._discard_body()
        self.is_busy = False
        if self.task is not None:
            self.task.cancel()
        self._owner.discard(self)

    # Parsing of requests.

    def apply_limits(self) -> None:
        """Applies limits that have changed to what is in progress."""
        self._transport.set_write_buffer_limits(
            high=self._limits.max_unsent_bytes)
        if self._timer is not None:
            self._timer.schedule(self._limits)

    def _start_timer(self, limit: str, callback: Callable[[], None]) -> None:
        """Starts a timer in place of the current one.

        Args:
            limit: the name of the limit in seconds after which it fires.
            callback: the function that it calls.
        """
        self._cancel_timer()
        self._timer = _Timer(limit=limit, callback=callback)
        self._timer.schedule(self._limits)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _wait_for_request(self) -> None:
        self.is_busy = False
        self._start_timer('idle_timeout_s', self._transport.close)

    def _reject_slow_request(self) -> None:
        self.reject(errors.make_failure(errors.ErrorKind.SLOW_REQUEST))

    def _parse(self, data: bytes) -> None:
        """Passes data to the parser and handles the resulting events."""
        if data:
            self._parser.receive_data(data)
        if not self.is_busy:
            self.is_busy = True
            self._start_timer('head_timeout_s', self._reject_slow_request)
        try:
            while self._handle_event(self._parser.next_event()):
                pass
        except h11.RemoteProtocolError as error:
            self.reject(_framing_failure(error))
        except _BadRequestError as error:
            self.reject(error.failure)

    def _handle_event(self, event: Any) -> bool:
        """Handles one event.

        Returns:
            Whether to poll the parser for another event.
        """
        if isinstance(event, h11.Request):
            self._handle_head(event)
            return True
        if isinstance(event, h11.Data):
            self._handle_data(bytes(event.data))
            return True
        if isinstance(event, h11.EndOfMessage):
            self._start_handler()
            return False
        if event is h11.NEED_DATA:
            if len(self._parser.trailing_data[0]) > self._limits.max_head_bytes:
                raise _BadRequestError(
                    errors.make_failure(errors.ErrorKind.HEAD_TOO_LARGE))
            if self._parser.they_are_waiting_for_100_continue:
                self.send_events(
                    h11.InformationalResponse(status_code=100, headers=[]))
            return False
        self._transport.close()
        return False

    def _handle_head(self, head: h11.Request) -> None:
        self._request_head = head
        self.request_method = head.method.decode('ascii')
        _check_head(head, self._limits)
        self._start_timer('body_timeout_s', self._reject_slow_request)

    def _handle_data(self, data: bytes) -> None:
        self._body_bytes += len(data)
        self._quota.remaining_bytes -= len(data)
        if self._body_bytes > self._limits.max_body_bytes:
            raise _BadRequestError(_too_large_failure(self._limits))
        if self._quota.remaining_bytes < 0:
            raise _BadRequestError(
                errors.make_failure(errors.ErrorKind.OVERLOADED,
                                    'Too many bodies arrive at once.'))
        self._body_parts.append(data)

    def _discard_body(self) -> None:
        self._body_parts = []
        self._quota.remaining_bytes += self._body_bytes
        self._body_bytes = 0

    # Handling of requests.

    def _start_handler(self) -> None:
        self._cancel_timer()
        assert self._request_head is not None
        request = _make_request(self._request_head, b''.join(self._body_parts),
                                self._client_ip)
        self._request_head = None
        self._discard_body()
        self.task = asyncio.create_task(self._serve(request))

    async def _serve(self, request: http_message.HttpRequest) -> None:
        response = http_message.HttpResponse(connection=self)
        try:
            await self._handler.handle(request, response)
        except (asyncio.CancelledError, OSError):
            self._transport.close()
            return
        except Exception:  # pylint: disable=broad-exception-caught
            logging.exception('unhandled exception in a request handler')
            await self._send_internal_error(response)
        self._finish_request(response)

    async def _send_internal_error(self,
                                   response: http_message.HttpResponse) -> None:
        self.should_close = True
        if response.is_head_sent:
            self._transport.close()
            return
        try:
            await response.send_problem(
                errors.make_failure(errors.ErrorKind.INTERNAL))
        except (OSError, h11.LocalProtocolError):
            self._transport.close()

    def _finish_request(self, response: http_message.HttpResponse) -> None:
        """Prepares for the next request, or closes the connection."""
        self.task = None
        if (self._transport.is_closing() or not response.is_finished or
                self.should_close or self._parser.our_state is not h11.DONE or
                self._parser.their_state is not h11.DONE):
            self._transport.close()
            return
        self._parser.start_next_cycle()
        self._wait_for_request()
        pipelined = bytes(self._pipelined)
        self._pipelined.clear()
        self._transport.resume_reading()
        if pipelined or self._parser.trailing_data[0]:
            self._parse(pipelined)


def _unacknowledged_bytes(transport: asyncio.Transport) -> int:
    """Returns the size of the socket's send queue; 0 if it is not known."""
    sock = transport.get_extra_info('socket')
    with contextlib.suppress(OSError):
        return int(
            _INT.unpack(fcntl.ioctl(sock, termios.TIOCOUTQ, _INT.pack(0)))[0])
    return 0


def _check_head(head: h11.Request, limits: http_message.ServerLimits) -> None:
    """Rejects requests that the parser accepts but this server does not.

    Raises:
        _BadRequestError: the head is too large, or its HTTP version or framing
            is not supported.
    """
    if head.http_version != b'1.1':
        raise _framing_error('Use HTTP/1.1.')
    size = len(head.target)
    lengths = 0
    encodings = 0
    for name, value in head.headers:
        size += len(name) + len(value) + 4
        if name == b'content-length':
            lengths += 1
            if int(value) > limits.max_body_bytes:
                raise _BadRequestError(_too_large_failure(limits))
        elif name == b'transfer-encoding':
            encodings += 1
    if size > limits.max_head_bytes:
        raise _BadRequestError(
            errors.make_failure(errors.ErrorKind.HEAD_TOO_LARGE))
    if lengths and encodings:
        raise _framing_error('Give content-length or transfer-encoding, '
                             'not both.')


def _make_request(head: h11.Request, body: bytes,
                  peer: str) -> http_message.HttpRequest:
    target = head.target.decode('ascii', 'replace')
    if target[:len(_HTTP_SCHEME)].lower() == _HTTP_SCHEME:
        _, slash, path = target[len(_HTTP_SCHEME):].partition('/')
        target = slash + path if slash else '/'
    return http_message.HttpRequest(method=head.method.decode('ascii'),
                                    target=target,
                                    headers=tuple(
                                        (name.decode('ascii'),
                                         value.decode('latin-1'))
                                        for name, value in head.headers),
                                    body=body,
                                    client_ip=peer)


def _framing_error(detail: str) -> _BadRequestError:
    return _BadRequestError(
        errors.make_failure(errors.ErrorKind.BAD_FRAMING, detail))


def _too_large_failure(limits: http_message.ServerLimits) -> errors.Failure:
    return errors.make_failure(
        errors.ErrorKind.BODY_TOO_LARGE,
        f'The body may have {limits.max_body_bytes} bytes at most.')


def _framing_failure(error: h11.RemoteProtocolError) -> errors.Failure:
    if error.error_status_hint == 431:
        return errors.make_failure(errors.ErrorKind.HEAD_TOO_LARGE)
    return errors.make_failure(errors.ErrorKind.BAD_FRAMING, str(error))
