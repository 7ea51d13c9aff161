"""HTTP/1.1 server, based on h11, with limits on its input."""

import asyncio
import socket
import types
from typing import Self

from pollenthread.adapters import client_budget, http_connection
from pollenthread.adapters.http_message import (HttpRequest, HttpResponse,
                                                problem_body, RequestHandler,
                                                ServerLimits)

__all__ = [
    'RequestHandler', 'HttpServer', 'ServerLimits', 'HttpRequest',
    'HttpResponse', 'problem_body'
]

_BACKLOG = 1024
# Connections that are accepted before the budget can close others.
_MAX_ACCEPTED_AT_ONCE = 16
_READ_BUFFER_BYTES = 64 * 1024
_IDLE_CHECK_S = 0.02


class HttpServer(http_connection.ConnectionOwner):
    """An HTTP server that runs while its asynchronous context is active.

    Attributes:
        limits: the limits in force; `set_limits` changes them.
        budget: what the clients of the process may hold together.
        read_buffer: receives data, which is used before the next read.
    """

    def __init__(self,
                 *,
                 handler: RequestHandler,
                 host: str = '127.0.0.1',
                 port: int = 0,
                 limits: ServerLimits = ServerLimits(),
                 budget: client_budget.ClientBudget | None = None) -> None:
        """Initializes a server that does not listen yet.

        Args:
            handler: handles the requests.
            host: the IP address to listen on.
            port: the port to listen on; 0 for any free port.
            limits: the limits of its connections.
            budget: what all clients of the process may hold; None for a budget
                of this server's own.
        """
        self._handler = handler
        self._host = host
        self._port = port
        self.limits = limits
        self.budget = budget or client_budget.ClientBudget()
        self.read_buffer = bytearray(_READ_BUFFER_BYTES)
        self._server: asyncio.Server | None = None
        self._connections: set[http_connection.ServerConnection] = set()
        self._is_keep_alive_disabled = False

    @property
    def address(self) -> str:
        """The bound `ip:port`."""
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()[:2]
        return f'{host}:{port}'

    def set_limits(self, limits: ServerLimits) -> None:
        """Sets the limits of all connections, also of the open ones."""
        self.limits = limits
        for connection in self._connections:
            connection.apply_limits()

    @property
    def open_connections(self) -> int:
        """The number of open connections."""
        return len(self._connections)

    @property
    def busy_connections(self) -> int:
        """The number of connections with a request in progress."""
        return sum(1 for connection in self._connections if connection.is_busy)

    @property
    def unsent_bytes_by_id(self) -> dict[int, int]:
        """Bytes of responses that are not sent yet, by id of the connection."""
        return {
            id(connection): unsent
            for connection in self._connections
            if (unsent := connection.unsent_bytes)
        }

    async def __aenter__(self) -> Self:
        # The event loop sends at once on connections whose protocol is given.
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM,
                             socket.IPPROTO_TCP)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((self._host, self._port))
        # The event loop accepts as many connections at once as the backlog is
        # long, so it gets a shorter one than the operating system.
        self._server = await asyncio.get_running_loop().create_server(
            self._accept, sock=sock, backlog=_MAX_ACCEPTED_AT_ONCE)
        sock.listen(_BACKLOG)
        return self

    async def __aexit__(self, kind: type[BaseException] | None,
                        error: BaseException | None,
                        trace: types.TracebackType | None) -> None:
        self.stop_listening()
        tasks = [
            connection.task
            for connection in self._connections
            if connection.task is not None
        ]
        for connection in list(self._connections):
            connection.abort()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def disable_keep_alive(self) -> None:
        """Closes each connection after its current or next response."""
        self._is_keep_alive_disabled = True
        for connection in self._connections:
            connection.should_close = True

    def stop_listening(self) -> None:
        """Stops accepting connections.

        Each open connection is closed after its current or next response.
        """
        self.disable_keep_alive()
        if self._server is not None:
            self._server.close()

    async def wait_idle(self) -> None:
        """Waits until no request is in progress."""
        while self.busy_connections:
            await asyncio.sleep(_IDLE_CHECK_S)

    def _accept(self) -> http_connection.ServerConnection:
        return http_connection.ServerConnection(handler=self._handler,
                                                owner=self)

    def add(self, connection: http_connection.ServerConnection) -> None:
        connection.should_close = self._is_keep_alive_disabled
        self._connections.add(connection)

    def discard(self, connection: http_connection.ServerConnection) -> None:
        self._connections.discard(connection)
