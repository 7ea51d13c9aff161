"""HTTP/1.1 client, based on h11, with one request at a time per connection."""

import asyncio
import contextlib
import re
import types
from collections.abc import AsyncIterator, Sequence
from typing import Self

import h11

from pollenthread.adapters import client_connection
from pollenthread.core import http_headers

__all__ = ['ClientResponse', 'HttpConnectError', 'HttpClient']

_MAX_IDLE_PER_ADDRESS = 64
_DEFAULT_KEEP_ALIVE_S = 4.0
# Share of the keep-alive timeout for which an idle connection is reused.
_IDLE_FRACTION = 0.7
_KEEP_ALIVE_TIMEOUT = re.compile(r'timeout=(\d+)')


class HttpConnectError(ConnectionError):
    """No connection could be established, so nothing was sent."""


class ClientResponse:
    """A response whose body is still being received.

    Attributes:
        headers: the response headers, with names in lower case.
    """

    def __init__(self, *, connection: client_connection.ClientConnection,
                 head: h11.Response) -> None:
        self._connection = connection
        self._head = head
        self.headers = _decode_headers(head)

    @property
    def status(self) -> int:
        """The HTTP status of the response."""
        return self._head.status_code

    @property
    def is_on_reused_connection(self) -> bool:
        """Whether the connection has carried an earlier exchange."""
        return self._connection.is_reused

    @property
    def is_delimited(self) -> bool:
        """Whether a truncated body can be distinguished from a complete one."""
        return self._connection.is_delimited(self._head)

    def header(self, name: str) -> str | None:
        """Returns the value of the first header with a lower-case name."""
        for key, value in self.headers:
            if key == name:
                return value
        return None

    async def skip_to_next_response(self) -> None:
        """Discards this response, which belongs to an earlier request.

        Raises:
            ConnectionError: no further response was received.
        """
        self._head = await self._connection.skip_response()
        self.headers = _decode_headers(self._head)

    async def read(self) -> AsyncIterator[bytes]:
        """Yields the body in chunks as they are received.

        Raises:
            ConnectionError: the response ended before its body was complete.
        """
        while True:
            data = await self._connection.read_data()
            if data is None:
                return
            yield data

    async def read_all(self,
                       max_bytes: int = 64 * 1024 * 1024,
                       *,
                       stall_timeout_s: float | None = None) -> bytes:
        """Reads the complete body.

        Args:
            max_bytes: the maximum size of the body.
            stall_timeout_s: seconds within which more of the body must arrive,
                however long all of it takes; None for no limit.

        Raises:
            ConnectionError: the response was truncated or is too large.
            TimeoutError: nothing more has arrived in time.
        """
        parts = []
        size = 0
        while (data := await self._read_data(stall_timeout_s)) is not None:
            size += len(data)
            if size > max_bytes:
                raise ConnectionError(f'the answer exceeds {max_bytes} bytes')
            parts.append(data)
        return b''.join(parts)

    async def _read_data(self, timeout_s: float | None) -> bytes | None:
        """Returns the next part of the body; None at its end."""
        async with asyncio.timeout(timeout_s):
            return await self._connection.read_data()


class HttpClient:
    """HTTP client with a pool of idle connections for each address.

    Attributes:
        connections_opened: connections that were established so far.
    """

    def __init__(self, *, connect_timeout_s: float = 2.0) -> None:
        self._connect_timeout_s = connect_timeout_s
        self._idle_by_address: dict[
            str, list[client_connection.ClientConnection]] = {}
        self.connections_opened = 0

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, kind: type[BaseException] | None,
                        error: BaseException | None,
                        trace: types.TracebackType | None) -> None:
        for address in list(self._idle_by_address):
            self.close_idle(address)

    def close_idle(self, address: str) -> None:
        """Closes all idle connections to an address."""
        for connection in self._idle_by_address.pop(address, []):
            connection.close()

    @contextlib.asynccontextmanager
    async def request(self,
                      address: str,
                      method: str,
                      target: str,
                      *,
                      headers: Sequence[http_headers.Header] = (),
                      body: bytes = b'') -> AsyncIterator[ClientResponse]:
        """Sends a request; leaving the context early closes the connection.

        Args:
            address: `ip:port`.
            method: the HTTP method.
            target: the path with its query.
            headers: the headers; host and content-length are added if missing.
            body: the complete body.

        Raises:
            HttpConnectError: nothing was sent.
            ConnectionError: the connection broke after something was sent.
        """
        connection = await self._acquire(address)
        is_reusable = False
        response: ClientResponse | None = None
        try:
            head = await connection.send(method, target, headers, body)
            response = ClientResponse(connection=connection, head=head)
            yield response
            is_reusable = connection.finish_exchange()
        finally:
            self._release(connection, response if is_reusable else None)

    async def is_refusing(self, address: str) -> bool:
        """Returns whether the peer refuses a new connection to an address.

        False if the connection is accepted, or if there is no reply in time.
        """
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                connection = await client_connection.connect(address)
        except ConnectionRefusedError:
            return True
        except (OSError, TimeoutError):
            return False
        connection.close()
        return False

    async def _acquire(self,
                       address: str) -> client_connection.ClientConnection:
        idle = self._idle_by_address.get(address, [])
        now = asyncio.get_running_loop().time()
        while idle:
            connection = idle.pop()
            if connection.is_open and now < connection.idle_until:
                return connection
            connection.close()
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                connection = await client_connection.connect(address)
        except (OSError, TimeoutError) as error:
            raise HttpConnectError(
                f'cannot connect to {address}: {error}') from error
        self.connections_opened += 1
        return connection

    def _release(self, connection: client_connection.ClientConnection,
                 response: ClientResponse | None) -> None:
        idle = self._idle_by_address.setdefault(connection.address, [])
        if response is None or len(idle) >= _MAX_IDLE_PER_ADDRESS:
            connection.close()
            return
        now = asyncio.get_running_loop().time()
        connection.idle_until = now + _idle_limit_s(response)
        idle.append(connection)


def _decode_headers(head: h11.Response) -> tuple[http_headers.Header, ...]:
    return tuple((name.decode('ascii'), value.decode('latin-1'))
                 for name, value in head.headers)


def _idle_limit_s(response: ClientResponse) -> float:
    """Returns how long a connection may be idle before it is reused.

    The limit is below the server's keep-alive timeout, so that a request is not
    sent on a connection that the server is closing.
    """
    match = _KEEP_ALIVE_TIMEOUT.search(response.header('keep-alive') or '')
    timeout_s = float(match.group(1)) if match else _DEFAULT_KEEP_ALIVE_S
    return timeout_s * _IDLE_FRACTION
