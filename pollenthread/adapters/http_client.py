"""An HTTP/1.1 client on h11 with one exchange in flight per connection."""

import asyncio
import contextlib
import types
from collections.abc import AsyncIterator, Sequence
from typing import Any, Self

import h11

from pollenthread.core import messages

__all__ = ['ClientExchange', 'ConnectFailed', 'HttpClient']

_READ_BYTES = 64 * 1024
_MAX_HEAD_BYTES = 32 * 1024
_MAX_IDLE_PER_ADDRESS = 64
_BODILESS_STATUSES = (204, 304)


class ConnectFailed(ConnectionError):
    """No connection could be made, so nothing was sent."""


class ClientExchange:
    """One answer in progress."""

    def __init__(self, *, connection: '_ClientConnection',
                 head: h11.Response) -> None:
        self._connection = connection
        self._head = head

    @property
    def status(self) -> int:
        """The HTTP status."""
        return self._head.status_code

    @property
    def headers(self) -> tuple[messages.Header, ...]:
        """The headers, names in lower case."""
        return tuple((name.decode('ascii'), value.decode('latin-1'))
                     for name, value in self._head.headers)

    @property
    def is_delimited(self) -> bool:
        """Whether a body that breaks off can be told from a whole one."""
        return self._connection.is_delimited(self._head)

    async def read(self) -> AsyncIterator[bytes]:
        """Yields the body as it comes.

        Raises:
            ConnectionError: the answer broke off.
        """
        while True:
            data = await self._connection.read_data()
            if data is None:
                return
            yield data

    async def read_all(self, max_bytes: int = 64 * 1024 * 1024) -> bytes:
        """Reads the whole body.

        Raises:
            ConnectionError: the answer broke off or is too large.
        """
        parts = []
        size = 0
        async for data in self.read():
            size += len(data)
            if size > max_bytes:
                raise ConnectionError(f'the answer exceeds {max_bytes} bytes')
            parts.append(data)
        return b''.join(parts)


class HttpClient:
    """Keeps idle connections by address."""

    def __init__(self, *, connect_timeout_s: float = 2.0) -> None:
        self._connect_timeout_s = connect_timeout_s
        self._idle_by_address: dict[str, list[_ClientConnection]] = {}

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, kind: type[BaseException] | None,
                        error: BaseException | None,
                        trace: types.TracebackType | None) -> None:
        for connections in self._idle_by_address.values():
            for connection in connections:
                connection.close()
        self._idle_by_address.clear()

    @contextlib.asynccontextmanager
    async def request(self,
                      address: str,
                      method: str,
                      target: str,
                      *,
                      headers: Sequence[messages.Header] = (),
                      body: bytes = b'') -> AsyncIterator[ClientExchange]:
        """Sends a request; leaving the context early closes the connection.

        Args:
            address: `ip:port`.
            method: the HTTP method.
            target: path and query.
            headers: headers besides host and content-length.
            body: the whole body.

        Raises:
            ConnectFailed: nothing was sent.
            ConnectionError: the connection broke after something was sent.
        """
        connection = await self._acquire(address)
        reusable = False
        try:
            head = await connection.send(method, target, headers, body)
            yield ClientExchange(connection=connection, head=head)
            reusable = connection.finish()
        finally:
            self._release(address, connection, reusable)

    async def _acquire(self, address: str) -> '_ClientConnection':
        idle = self._idle_by_address.get(address, [])
        while idle:
            connection = idle.pop()
            if connection.is_open:
                return connection
            connection.close()
        host, _, port = address.rpartition(':')
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                reader, writer = await asyncio.open_connection(
                    host, int(port), limit=_READ_BYTES)
        except (OSError, TimeoutError) as error:
            raise ConnectFailed(
                f'cannot connect to {address}: {error}') from error
        return _ClientConnection(address=address, reader=reader, writer=writer)

    def _release(self, address: str, connection: '_ClientConnection',
                 reusable: bool) -> None:
        idle = self._idle_by_address.setdefault(address, [])
        if reusable and len(idle) < _MAX_IDLE_PER_ADDRESS:
            idle.append(connection)
        else:
            connection.close()


class _ClientConnection:
    """One connection to an upstream."""

    def __init__(self, *, address: str, reader: asyncio.StreamReader,
                 writer: asyncio.StreamWriter) -> None:
        self._address = address
        self._reader = reader
        self._writer = writer
        self._method = ''
        self._ended = False
        self._http = h11.Connection(h11.CLIENT,
                                    max_incomplete_event_size=_MAX_HEAD_BYTES)

    @property
    def is_open(self) -> bool:
        """Whether the other end has not closed an idle connection."""
        return not (self._reader.at_eof() or self._writer.is_closing())

    async def send(self, method: str, target: str,
                   headers: Sequence[messages.Header],
                   body: bytes) -> h11.Response:
        """Sends a request and reads the answer's head."""
        self._method = method
        self._ended = False
        all_headers = [('host', self._address), *headers,
                       ('content-length', str(len(body)))]
        request = h11.Request(method=method.encode('ascii'),
                              target=target.encode('ascii'),
                              headers=[(name.encode('ascii'),
                                        value.encode('latin-1'))
                                       for name, value in all_headers])
        parts = [self._http.send(request)]
        if body:
            parts.append(self._http.send(h11.Data(data=body)))
        parts.append(self._http.send(h11.EndOfMessage()))
        self._writer.write(b''.join(part for part in parts if part))
        await self._writer.drain()
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Response):
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise ConnectionError(f'{self._address} sent no answer')

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
            elif isinstance(event, h11.EndOfMessage):
                self._ended = True
            elif parts:
                break
            elif event is h11.NEED_DATA:
                self._http.receive_data(await self._reader.read(_READ_BYTES))
            else:
                raise ConnectionError(f'{self._address} broke off its answer')
        return b''.join(parts) if parts else None

    def _next_ready(self) -> Any:
        try:
            return self._http.next_event()
        except h11.RemoteProtocolError as error:
            return error

    def finish(self) -> bool:
        """Readies the connection for the next exchange if it can be."""
        if (self._http.our_state is h11.DONE and
                self._http.their_state is h11.DONE):
            self._http.start_next_cycle()
            return True
        return False

    def close(self) -> None:
        """Closes the connection at once."""
        self._writer.close()

    async def _next_event(self) -> Any:
        while True:
            event = self._next_ready()
            if isinstance(event, h11.RemoteProtocolError):
                raise ConnectionError(
                    f'{self._address} broke off its answer: {event}')
            if event is not h11.NEED_DATA:
                return event
            self._http.receive_data(await self._reader.read(_READ_BYTES))
