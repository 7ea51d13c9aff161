"""One connection of the HTTP client, with one exchange in flight."""

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
_MAX_UNREAD_BYTES = 256 * 1024
_MAX_INTERIM_ANSWERS = 8
_MAX_SKIPPED_BYTES = 1024 * 1024
_CHUNK_END_BYTES = len(b'\r\n')
_BODILESS_STATUSES = (204, 304)
_UNACKED_TIMEOUT_MS = 2_000
_PROBE_IDLE_S = 1
_PROBE_INTERVAL_S = 1
_PROBES = 2
# The option's struct: on, and no seconds to linger.
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)


class ClientConnection(asyncio.Protocol):
    """A connection to a server.

    Bytes that arrive while no exchange is in flight belong to no request, so
    they close the connection.
    """

    def __init__(self, *, address: str) -> None:
        self.address = address
        self.idle_until = 0.0
        self._transport: asyncio.Transport
        self._incoming = bytearray()
        self._changed = asyncio.Event()
        self._lost: Exception | None = None
        self._at_eof = False
        self._in_exchange = False
        self._paused = False
        self._method = ''
        self._ended = False
        self._http = self._new_http()

    @staticmethod
    def _new_http() -> h11.Connection:
        return h11.Connection(h11.CLIENT,
                              max_incomplete_event_size=_MAX_HEAD_BYTES)

    # Called by the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        if not self._in_exchange:
            self._transport.abort()
            return
        self._incoming += data
        if len(self._incoming) > _MAX_UNREAD_BYTES and not self._paused:
            self._paused = True
            self._transport.pause_reading()
        self._changed.set()

    def eof_received(self) -> bool:
        self._at_eof = True
        self._changed.set()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        if exc is not None:
            self._lost = exc
        self._at_eof = True
        self._changed.set()

    # Used by the client.

    @property
    def is_open(self) -> bool:
        """Whether an idle connection can carry another exchange."""
        return not (self._at_eof or self._transport.is_closing())

    async def send(self, method: str, target: str,
                   headers: Sequence[http_headers.Header],
                   body: bytes) -> h11.Response:
        """Sends a request and reads the answer's head.

        Raises:
            ConnectionError: the connection broke.
        """
        self._in_exchange = True
        self._method = method
        self._ended = False
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
        parts = [self._http.send(request)]
        if body:
            parts.append(self._http.send(h11.Data(data=body)))
        parts.append(self._http.send(h11.EndOfMessage()))
        self._transport.write(b''.join(part for part in parts if part))
        return await self._read_head()

    async def skip_response(self) -> h11.Response:
        """Drops an answer that belongs to an earlier request.

        Returns:
            The head of the next answer.

        Raises:
            ConnectionError: the connection broke.
        """
        skipped = 0
        while (data := await self.read_data()) is not None:
            skipped += len(data)
            if skipped > _MAX_SKIPPED_BYTES:
                raise ConnectionError(
                    f'{self.address} sends no end of an old answer')
        rest, _ = self._http.trailing_data
        self._http = self._new_http()
        self._http.send(
            h11.Request(method=b'GET', target=b'/', headers=[(b'host', b'x')]))
        self._http.send(h11.EndOfMessage())
        self._ended = False
        if rest:
            self._http.receive_data(rest)
        return await self._read_head()

    async def _read_head(self) -> h11.Response:
        for _ in range(_MAX_INTERIM_ANSWERS + 1):
            event = await self._next_event()
            if isinstance(event, h11.Response):
                return event
            if not isinstance(event, h11.InformationalResponse):
                break
        raise ConnectionError(f'{self.address} sent no answer')

    def is_delimited(self, head: h11.Response) -> bool:
        """Whether the body has a length or an end marker."""
        if self._method == 'HEAD' or head.status_code in _BODILESS_STATUSES:
            return True
        return any(name in (b'content-length', b'transfer-encoding')
                   for name, _ in head.headers)

    async def read_data(self) -> bytes | None:
        """Reads what has come of the body; None at its end."""
        parts: list[bytes] = []
        while not self._ended:
            event = self._next_ready()
            if isinstance(event, h11.Data):
                parts.append(bytes(event.data))
                if len(self._http.trailing_data[0]) <= _CHUNK_END_BYTES:
                    break
            elif isinstance(event, h11.EndOfMessage):
                self._ended = True
            elif parts:
                break
            elif event is h11.NEED_DATA:
                await self._feed()
            else:
                raise ConnectionError(f'{self.address} broke off its answer')
        return b''.join(parts) if parts else None

    def finish_exchange(self) -> bool:
        """Readies the connection for the next exchange if it can be."""
        if (self._http.our_state is not h11.DONE or
                self._http.their_state is not h11.DONE or self._incoming or
                self._http.trailing_data[0]):
            return False
        self._http.start_next_cycle()
        self._in_exchange = False
        return True

    def close(self) -> None:
        """Closes the connection at once.

        In the middle of an exchange it is reset, so that what the server has
        not received yet does not reach it later.
        """
        found = self._transport.get_extra_info('socket')
        if self._in_exchange and found is not None:
            with contextlib.suppress(OSError):
                found.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                 _RESET_ON_CLOSE)
        self._transport.abort()

    # Reading.

    def _next_ready(self) -> Any:
        try:
            return self._http.next_event()
        except h11.RemoteProtocolError as error:
            return error

    async def _next_event(self) -> Any:
        while True:
            event = self._next_ready()
            if isinstance(event, h11.RemoteProtocolError):
                raise ConnectionError(
                    f'{self.address} broke off its answer: {event}')
            if event is not h11.NEED_DATA:
                return event
            await self._feed()

    async def _feed(self) -> None:
        """Waits for bytes and hands them to the parser."""
        while not self._incoming:
            if self._lost is not None:
                raise ConnectionResetError(
                    f'{self.address} reset the connection')
            if self._at_eof:
                self._http.receive_data(b'')
                return
            self._changed.clear()
            await self._changed.wait()
        self._http.receive_data(bytes(self._incoming))
        self._incoming.clear()
        if self._paused:
            self._paused = False
            self._transport.resume_reading()


async def connect(address: str) -> ClientConnection:
    """Opens a connection that notices a silent peer within seconds.

    Raises:
        OSError: no connection could be made.
    """
    host, _, port = address.rpartition(':')
    loop = asyncio.get_running_loop()
    transport, connection = await loop.create_connection(
        lambda: ClientConnection(address=address), host, int(port))
    found = transport.get_extra_info('socket')
    if found is not None:
        _watch_peer(found)
    return connection


def _watch_peer(found: socket.socket) -> None:
    """Bounds how long a peer that fell silent goes unnoticed."""
    found.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in ((socket.TCP_USER_TIMEOUT, _UNACKED_TIMEOUT_MS),
                          (socket.TCP_KEEPIDLE, _PROBE_IDLE_S),
                          (socket.TCP_KEEPINTVL,
                           _PROBE_INTERVAL_S), (socket.TCP_KEEPCNT, _PROBES)):
        found.setsockopt(socket.IPPROTO_TCP, option, value)
