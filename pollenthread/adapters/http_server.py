"""An HTTP/1.1 server on h11 with bounded input."""

import asyncio
import types
from typing import Self

from pollenthread.adapters import http_connection
from pollenthread.adapters.http_message import (RequestHandler, ServerLimits,
                                                HttpRequest, HttpResponse,
                                                problem_body)
from pollenthread.core import errors

__all__ = [
    'RequestHandler', 'HttpServer', 'ServerLimits', 'HttpRequest',
    'HttpResponse', 'problem_body'
]

_BACKLOG = 1024
_IDLE_CHECK_S = 0.02


class HttpServer:
    """Listens and serves connections until it is left."""

    def __init__(self,
                 *,
                 handler: RequestHandler,
                 host: str = '127.0.0.1',
                 port: int = 0,
                 limits: ServerLimits = ServerLimits()) -> None:
        self._handler = handler
        self._host = host
        self._port = port
        self._limits = limits
        self._budget = http_connection.BodyBufferQuota(
            limits.max_buffered_bytes)
        self._server: asyncio.Server | None = None
        self._open: set[http_connection.ServerConnection] = set()
        self._leaving = False

    @property
    def address(self) -> str:
        """The bound `ip:port`."""
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()[:2]
        return f'{host}:{port}'

    def set_limits(self, limits: ServerLimits) -> None:
        """Sets what connections that are made from now on may take."""
        self._limits = limits

    @property
    def open_connections(self) -> int:
        """Connections that callers hold."""
        return len(self._open)

    @property
    def busy_connections(self) -> int:
        """Connections with a request in progress."""
        return sum(1 for connection in self._open if connection.is_busy)

    async def __aenter__(self) -> Self:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._accept,
                                                self._host,
                                                self._port,
                                                backlog=_BACKLOG)
        return self

    async def __aexit__(self, kind: type[BaseException] | None,
                        error: BaseException | None,
                        trace: types.TracebackType | None) -> None:
        self.stop_listening()
        tasks = [c.task for c in self._open if c.task is not None]
        for connection in list(self._open):
            connection.abort()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def disable_keep_alive(self) -> None:
        """Makes every answer from now on the last of its connection."""
        self._leaving = True
        for connection in self._open:
            connection.should_close = True

    def stop_listening(self) -> None:
        """Takes no new connections; answers what comes on the open ones."""
        self.disable_keep_alive()
        if self._server is not None:
            self._server.close()

    async def wait_idle(self) -> None:
        """Waits until no request is in progress."""
        while self.busy_connections:
            await asyncio.sleep(_IDLE_CHECK_S)

    def _accept(self) -> http_connection.ServerConnection:
        connection = _ServerConnection(handler=self._handler,
                                       limits=self._limits,
                                       budget=self._budget,
                                       on_lost=self._open.discard)
        connection.should_close = self._leaving
        connection.is_surplus = len(self._open) >= self._limits.max_connections
        self._open.add(connection)
        return connection


class _ServerConnection(http_connection.ServerConnection):
    """A connection that may be one too many."""

    is_surplus = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        if self.is_surplus:
            self.reject(
                errors.failure(errors.Kind.OVERLOADED,
                               'Too many connections are open.'))
