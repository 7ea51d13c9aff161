"""A connection of the HTTP client, which carries one exchange at a time."""

import asyncio
import contextlib
import socket
import struct
from collections.abc import Sequence
from typing import Any

import h11

from pollenthread.core import http_headers

__all__ = ['ClientConnection', 'connect']

_MAX_HEAD_BYTES = 32 * 1024
_MAX_UNREAD_BYTES = 64 * 1024
_READ_BUFFER_BYTES = 64 * 1024
_MAX_INTERIM_RESPONSES = 8
_MAX_SKIPPED_BYTES = 1024 * 1024
_CHUNK_END_BYTES = len(b'\r\n')
_BODILESS_STATUSES = (204, 304)
_UNACKNOWLEDGED_TIMEOUT_MS = 2_000
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2
# The value of SO_LINGER, `struct linger`: enabled, with a timeout of 0 s, so
# that closing the socket resets the connection.
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)


class ClientConnection(asyncio.BufferedProtocol):
    """A connection to a server.

    Data that is received between exchanges belongs to no request, so the
    connection is then closed.

    Attributes:
        address: `ip:port` of the server.
        idle_until: the loop time until which the connection may be reused.
        is_reused: whether it has carried an earlier exchange.
    """

    # Holds received data until the same callback has copied it.
    _read_buffer = bytearray(_READ_BUFFER_BYTES)

    def __init__(self, *, address: str) -> None:
        self.address = address
        self.idle_until = 0.0
        self.is_reused = False
        self._transport: asyncio.Transport
        self._unparsed = bytearray()
        self._received = asyncio.Event()
        self._connection_error: Exception | None = None
        self._is_at_eof = False
        self._is_in_exchange = False
        self._is_reading_paused = False
        self._method = ''
        self._is_body_complete = False
        self._parser = self._new_parser()

    @staticmethod
    def _new_parser() -> h11.Connection:
        return h11.Connection(h11.CLIENT,
                              max_incomplete_event_size=_MAX_HEAD_BYTES)

    # Callbacks of the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def get_buffer(self, sizehint: int) -> bytearray:
        return self._read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        if not self._is_in_exchange:
            self._transport.abort()
            return
        with memoryview(self._read_buffer) as received:
            self._unparsed += received[:nbytes]
        if len(self._unparsed
              ) > _MAX_UNREAD_BYTES and not self._is_reading_paused:
            self._is_reading_paused = True
            self._transport.pause_reading()
        self._received.set()

    def eof_received(self) -> bool:
        self._is_at_eof = True
        self._received.set()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        if exc is not None:
            self._connection_error = exc
        self._is_at_eof = True
        self._received.set()

    # Interface for the client.

    @property
    def is_open(self) -> bool:
        """Whether an idle connection can carry another exchange."""
        return not (self._is_at_eof or self._transport.is_closing())

    async def send(self, method: str, target: str,
                   headers: Sequence[http_headers.Header],
                   body: bytes) -> h11.Response:
        """Sends a request and reads the status and headers of the response.

        Raises:
            ConnectionError: the connection broke.
        """
        self._is_in_exchange = True
        self._method = method
        self._is_body_complete = False
        names = {name for name, _ in headers}
        all_headers = list(headers)
        if 'host' not in names:
            all_headers.insert(0, ('host', self.address))
        if 'content-length' not in names:
            all_headers.append(('content-length', str(len(body))))
        request = h11.Request(method=method.encode('ascii'),
                              target=target.encode('ascii'),
                              headers=[(name.encode('ascii'),
                                        value.encode('latin-1'))
                                       for name, value in all_headers])
        parts = [self._parser.send(request)]
        if body:
            parts.append(self._parser.send(h11.Data(data=body)))
        parts.append(self._parser.send(h11.EndOfMessage()))
        self._transport.write(b''.join(part for part in parts if part))
        return await self._read_head()

    async def skip_response(self) -> h11.Response:
        """Discards a response that belongs to an earlier request.

        Returns:
            The status and headers of the next response.

        Raises:
            ConnectionError: the connection broke.
        """
        skipped = 0
        while (data := await self.read_data()) is not None:
            skipped += len(data)
            if skipped > _MAX_SKIPPED_BYTES:
                raise ConnectionError(
                    f'{self.address} sends no end of an old answer')
        rest, _ = self._parser.trailing_data
        self._parser = self._new_parser()
        self._parser.send(
            h11.Request(method=b'GET', target=b'/', headers=[(b'host', b'x')]))
        self._parser.send(h11.EndOfMessage())
        self._is_body_complete = False
        if rest:
            self._parser.receive_data(rest)
        return await self._read_head()

    async def _read_head(self) -> h11.Response:
        for _ in range(_MAX_INTERIM_RESPONSES + 1):
            event = await self._next_event()
            if isinstance(event, h11.Response):
                return event
            if not isinstance(event, h11.InformationalResponse):
                break
        raise ConnectionError(f'{self.address} sent no answer')

    def is_delimited(self, head: h11.Response) -> bool:
        """Whether the body has a declared length or an end marker."""
        if self._method == 'HEAD' or head.status_code in _BODILESS_STATUSES:
            return True
        return any(name in (b'content-length', b'transfer-encoding')
                   for name, _ in head.headers)

    async def read_data(self) -> bytes | None:
        """Reads the next received part of the body; None at its end.

        Raises:
            ConnectionError: the connection broke.
        """
        parts: list[bytes] = []
        while not self._is_body_complete:
            event = self._poll_event()
            if isinstance(event, h11.Data):
                parts.append(bytes(event.data))
                if len(self._parser.trailing_data[0]) <= _CHUNK_END_BYTES:
                    break
            elif isinstance(event, h11.EndOfMessage):
                self._is_body_complete = True
            elif parts:
                break
            elif event is h11.NEED_DATA:
                await self._feed_parser()
            else:
                raise ConnectionError(f'{self.address} broke off its answer')
        return b''.join(parts) if parts else None

    def finish_exchange(self) -> bool:
        """Ends the exchange.

        Returns:
            Whether the connection can be used for another exchange.
        """
        if (self._parser.our_state is not h11.DONE or
                self._parser.their_state is not h11.DONE or self._unparsed or
                self._parser.trailing_data[0]):
            return False
        self._parser.start_next_cycle()
        self._is_in_exchange = False
        self.is_reused = True
        return True

    def close(self) -> None:
        """Closes the connection immediately.

        During an exchange the connection is reset, so that data which the
        server has not received yet is not delivered to it later.
        """
        sock = self._transport.get_extra_info('socket')
        if self._is_in_exchange and sock is not None:
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                _RESET_ON_CLOSE)
        self._transport.abort()

    # Parsing of received data.

    def _poll_event(self) -> Any:
        try:
            return self._parser.next_event()
        except h11.RemoteProtocolError as error:
            return error

    async def _next_event(self) -> Any:
        while True:
            event = self._poll_event()
            if isinstance(event, h11.RemoteProtocolError):
                raise ConnectionError(
                    f'{self.address} broke off its answer: {event}')
            if event is not h11.NEED_DATA:
                return event
            await self._feed_parser()

    async def _feed_parser(self) -> None:
        """Waits for data and passes it to the parser."""
        while not self._unparsed:
            if self._connection_error is not None:
                raise ConnectionResetError(
                    f'{self.address} reset the connection')
            if self._is_at_eof:
                self._parser.receive_data(b'')
                return
            self._received.clear()
            await self._received.wait()
        self._parser.receive_data(bytes(self._unparsed))
        self._unparsed.clear()
        if self._is_reading_paused:
            self._is_reading_paused = False
            self._transport.resume_reading()


async def connect(address: str) -> ClientConnection:
    """Opens a connection that fails within seconds if the peer is unreachable.

    Raises:
        OSError: no connection could be established.
    """
    host, _, port = address.rpartition(':')
    loop = asyncio.get_running_loop()
    transport, connection = await loop.create_connection(
        lambda: ClientConnection(address=address), host, int(port))
    sock = transport.get_extra_info('socket')
    if sock is not None:
        _set_liveness_options(sock)
    return connection


def _set_liveness_options(sock: socket.socket) -> None:
    """Sets TCP timeouts so that an unreachable peer is detected soon."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in ((socket.TCP_USER_TIMEOUT, _UNACKNOWLEDGED_TIMEOUT_MS),
                          (socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S),
                          (socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S),
                          (socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
