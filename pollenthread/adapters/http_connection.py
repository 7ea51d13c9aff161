"""A connection of the HTTP server, with limits on its input."""

import abc
import asyncio
import contextlib
import fcntl
import struct
import sys
import termios
from collections.abc import Callable
from typing import Any

import h11
from absl import logging

from pollenthread.adapters import (client_budget, http_head, http_message,
                                   limit_timer)
from pollenthread.core import errors

__all__ = ['ConnectionOwner', 'ServerConnection']

_MAX_PIPELINED_BYTES = 16 * 1024
_INT = struct.Struct('i')
# The limits change while the parser is in use, so they are checked outside.
_PARSER_BYTES = sys.maxsize
# Parts of this size are written by themselves, which saves copies of them.
_LARGE_PART_BYTES = 64 * 1024
# A complete body is held by the request, and while it is sent to a server.
_KEPT_BODY_COPIES = 3
# An answer is held by the handler, and in the send buffer.
_ANSWER_COPIES = 2


class ConnectionOwner(abc.ABC):
    """The server that accepts a connection.

    Attributes:
        limits: the limits in force, which can change at any time.
        budget: what the clients of the process may hold together.
        read_buffer: receives data, which is used before the next read.
    """

    limits: http_message.ServerLimits
    budget: client_budget.ClientBudget
    read_buffer: bytearray

    @abc.abstractmethod
    def add(self, connection: 'ServerConnection') -> None:
        """Adds an open connection."""

    @abc.abstractmethod
    def discard(self, connection: 'ServerConnection') -> None:
        """Removes a connection that is closed."""


class ServerConnection(asyncio.BufferedProtocol, http_message.ResponseTransport,
                       client_budget.BudgetMember):
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
                 owner: ConnectionOwner) -> None:
        self._handler = handler
        self._owner = owner
        self._transport: asyncio.Transport
        self._client_ip = ''
        self._parser = h11.Connection(h11.SERVER,
                                      max_incomplete_event_size=_PARSER_BYTES)
        self._request_head: h11.Request | None = None
        self._body = bytearray()
        self._pipelined = bytearray()
        self._request_bytes = 0
        self._parser_bytes_ahead = 0
        self._answer_bytes = 0
        self._discard_limit_bytes: int | None = None
        self._timer: limit_timer.LimitTimer | None = None
        self._send_timer: limit_timer.LimitTimer | None = None
        self._unsent_bytes_at_check = 0
        self._writable: asyncio.Event | None = None
        self.task: asyncio.Task[None] | None = None
        self.is_busy = False
        self.should_close = False
        self.request_method = ''
        self.waits_since = None

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

    # Interface for the budget.

    @property
    def bytes_ahead(self) -> int:
        if self.task is None:
            return 0
        return len(self._pipelined) + self._parser_bytes_ahead

    def release_memory(self) -> None:
        if self.is_busy and self.task is None:
            self.reject(_overloaded_failure())
        else:
            self.release_connection()

    def release_connection(self) -> None:
        self._transport.abort()
        self._owner.budget.remove(self)

    def _update_held(self) -> bool:
        """Records the memory that the client holds.

        Returns:
            Whether it may hold that much.
        """
        unsent = self._transport.get_write_buffer_size()
        return self._owner.budget.hold(
            self,
            len(self._body) + len(self._pipelined) + self._request_bytes +
            _ANSWER_COPIES * max(self._answer_bytes, unsent))

    def _wait_for_client(self) -> None:
        self.waits_since = asyncio.get_running_loop().time()

    # Interface for HttpResponse.

    @property
    def is_writable(self) -> bool:
        return self._writable is None and not self._transport.is_closing()

    def send_events(self, *events: h11.Event) -> None:
        if self._transport.is_closing():
            raise ConnectionResetError('the caller left')
        if len(events) == 1:
            self._write(self._parser.send(events[0]) or b'')
            return
        small_parts = []
        for event in events:
            part = self._parser.send(event) or b''
            if len(part) < _LARGE_PART_BYTES:
                small_parts.append(part)
                continue
            self._write(b''.join(small_parts))
            small_parts.clear()
            self._write(part)
        self._write(b''.join(small_parts))

    def _write(self, data: bytes) -> None:
        if not data:
            return
        self._transport.write(data)
        if self._transport.get_write_buffer_size() and not self._update_held():
            self._cut_response()

    def hold_answer(self, size_bytes: int) -> None:
        self._answer_bytes = size_bytes
        if not self._update_held():
            self._cut_response()

    def _cut_response(self) -> None:
        """Closes the connection.

        Raises:
            ConnectionResetError: always.
        """
        self.release_connection()
        raise ConnectionResetError('too much memory is in use')

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
        self._discard_request()
        self._wait_for_client()
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
        if not self._owner.budget.add(self):
            transport.abort()
            return
        transport.set_write_buffer_limits(high=self._limits.max_unsent_bytes)
        peer = transport.get_extra_info('peername')
        self._client_ip = peer[0] if peer else ''
        self._wait_for_request()

    def get_buffer(self, sizehint: int) -> bytearray:
        return self._owner.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        with memoryview(self._owner.read_buffer) as buffer:
            self._receive(bytes(buffer[:nbytes]))

    def _receive(self, data: bytes) -> None:
        if self._discard_limit_bytes is not None:
            self._discard_limit_bytes -= len(data)
            if self._discard_limit_bytes < 0:
                self._transport.abort()
        elif self.task is None:
            self._parse(data)
        else:
            self._pipelined += data
            self._update_held()
            if len(self._pipelined) > _MAX_PIPELINED_BYTES:
                self._transport.pause_reading()

    def eof_received(self) -> bool:
        if self.task is not None and self._discard_limit_bytes is None:
            self.task.cancel()
        return False

    def pause_writing(self) -> None:
        self._writable = asyncio.Event()
        self._wait_for_client()
        self._watch_sending()

    def resume_writing(self) -> None:
        if self._send_timer is not None:
            self._send_timer.cancel()
        if self._writable is not None:
            self._writable.set()
        self._writable = None
        if self.task is not None:
            self.waits_since = None

    def _watch_sending(self) -> None:
        """Cuts the connection if the client stops reading."""
        if self._send_timer is not None:
            self._send_timer.cancel()
        self._unsent_bytes_at_check = self.unsent_bytes
        self._send_timer = limit_timer.LimitTimer(limit='send_stall_timeout_s',
                                                  callback=self._check_sending)
        self._send_timer.schedule(self._limits)

    def _check_sending(self) -> None:
        if self.unsent_bytes == self._unsent_bytes_at_check:
            self._transport.abort()
        else:
            self._watch_sending()

    def _close(self) -> None:
        """Closes the connection once all written data has been sent."""
        self._transport.close()
        if self._transport.get_write_buffer_size():
            self._wait_for_client()
            self._watch_sending()

    def connection_lost(self, exc: Exception | None) -> None:
        self._cancel_timer()
        self.resume_writing()
        self.is_busy = False
        if self.task is not None:
            self.task.cancel()
        self._owner.budget.remove(self)
        self._owner.discard(self)

    # Parsing of requests.

    def apply_limits(self) -> None:
        """Applies limits that have changed to what is in progress."""
        self._transport.set_write_buffer_limits(
            high=self._limits.max_unsent_bytes)
        for timer in (self._timer, self._send_timer):
            if timer is not None and timer.is_scheduled:
                timer.schedule(self._limits)

    def _start_timer(self, limit: str, callback: Callable[[], None]) -> None:
        """Starts a timer in place of the current one.

        Args:
            limit: the name of the limit in seconds after which it fires.
            callback: the function that it calls.
        """
        self._cancel_timer()
        self._timer = limit_timer.LimitTimer(limit=limit, callback=callback)
        self._timer.schedule(self._limits)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _wait_for_request(self) -> None:
        self.is_busy = False
        self._wait_for_client()
        self._start_timer('idle_timeout_s', self._transport.close)

    def _reject_slow_request(self) -> None:
        self.reject(errors.make_failure(errors.ErrorKind.SLOW_REQUEST))

    def _parse(self, data: bytes) -> None:
        """Passes data to the parser and handles the resulting events."""
        if data:
            self._parser.receive_data(data)
        if not self.is_busy:
            self.is_busy = True
            self._wait_for_client()
            self._start_timer('head_timeout_s', self._reject_slow_request)
        try:
            while self._handle_event(self._parser.next_event()):
                pass
        except h11.RemoteProtocolError as error:
            self.reject(http_head.framing_failure(error))
        except http_head.BadRequestError as error:
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
                raise http_head.BadRequestError(
                    errors.make_failure(errors.ErrorKind.HEAD_TOO_LARGE))
            if self._parser.they_are_waiting_for_100_continue:
                self.send_events(
                    h11.InformationalResponse(status_code=100, headers=[]))
            return False
        self._transport.close()
        return False

    def _handle_head(self, head: h11.Request) -> None:
        self.request_method = head.method.decode('ascii')
        http_head.check_head(head, self._limits)
        if http_head.announces_body(head):
            self._check_body_is_needed(head)
        self._request_head = head
        self._request_bytes = http_head.parsed_bytes(head)
        self._check_budget()
        self._start_timer('body_timeout_s', self._reject_slow_request)

    def _check_body_is_needed(self, head: h11.Request) -> None:
        """Rejects requests whose body would be received in vain.

        Raises:
            BadRequestError: the handler would not use the body.
        """
        failure = self._handler.check_head(
            http_head.decode_request(head, b'', self._client_ip))
        if failure is not None:
            raise http_head.BadRequestError(failure)

    def _check_budget(self) -> None:
        """Rejects the request if its client may not hold so much.

        Raises:
            BadRequestError: too much memory is in use.
        """
        if not self._update_held():
            raise http_head.BadRequestError(_overloaded_failure())

    def _handle_data(self, data: bytes) -> None:
        self._body += data
        if len(self._body) > self._limits.max_body_bytes:
            raise http_head.BadRequestError(
                http_head.too_large_failure(self._limits))
        self._check_budget()

    def _discard_request(self) -> None:
        self._request_head = None
        self._body.clear()
        self._pipelined.clear()
        self._request_bytes = 0
        self._update_held()
        self._transport.resume_reading()

    # Handling of requests.

    def _start_handler(self) -> None:
        assert self._request_head is not None
        self._request_bytes += _KEPT_BODY_COPIES * len(self._body)
        self._parser_bytes_ahead = len(self._parser.trailing_data[0])
        self._request_bytes += self._parser_bytes_ahead
        self._check_budget()
        self._cancel_timer()
        request = http_head.decode_request(self._request_head,
                                           bytes(self._body), self._client_ip)
        self._request_head = None
        self._body.clear()
        self.waits_since = None
        self.task = asyncio.create_task(self._serve(request))

    async def _serve(self, request: http_message.HttpRequest) -> None:
        response = http_message.HttpResponse(connection=self)
        try:
            await self._handler.handle(request, response)
        except (asyncio.CancelledError, OSError):
            self._close()
            return
        except Exception:  # pylint: disable=broad-exception-caught
            logging.exception('unhandled exception in a request handler')
            await self._send_internal_error(response)
        self._finish_request(response)

    async def _send_internal_error(self,
                                   response: http_message.HttpResponse) -> None:
        self.should_close = True
        if response.is_head_sent:
            self._close()
            return
        try:
            await response.send_problem(
                errors.make_failure(errors.ErrorKind.INTERNAL))
        except (OSError, h11.LocalProtocolError):
            self._transport.close()

    def _finish_request(self, response: http_message.HttpResponse) -> None:
        """Prepares for the next request, or closes the connection."""
        self.task = None
        self._request_bytes = 0
        self._answer_bytes = 0
        self._update_held()
        if (self._transport.is_closing() or not response.is_finished or
                self.should_close or self._parser.our_state is not h11.DONE or
                self._parser.their_state is not h11.DONE):
            self._close()
            return
        self._parser.start_next_cycle()
        self._wait_for_request()
        self._parse_pipelined()

    def _parse_pipelined(self) -> None:
        """Parses what was received during the last request.

        The parser gets more only when it needs it, so that its buffer does not
        grow with each request.
        """
        if self._parser.trailing_data[0]:
            self._parse(b'')
        if self._pipelined and self.task is None and not self.should_close:
            pipelined = bytes(self._pipelined)
            self._pipelined.clear()
            self._parse(pipelined)
        if not self._pipelined:
            self._transport.resume_reading()


def _overloaded_failure() -> errors.Failure:
    return errors.make_failure(errors.ErrorKind.OVERLOADED,
                               'Too much is received or sent at once.')


def _unacknowledged_bytes(transport: asyncio.Transport) -> int:
    """Returns the size of the socket's send queue; 0 if it is not known."""
    sock = transport.get_extra_info('socket')
    with contextlib.suppress(OSError):
        return int(
            _INT.unpack(fcntl.ioctl(sock, termios.TIOCOUTQ, _INT.pack(0)))[0])
    return 0
