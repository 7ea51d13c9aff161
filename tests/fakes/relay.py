"""A TCP relay whose open connections can be stalled permanently."""

import asyncio
import types
from typing import Self

__all__ = ['StallingRelay']

_READ_BYTES = 64 * 1024


class StallingRelay:
    """Relays TCP connections to one address.

    Attributes:
        connections: the number of accepted connections.
    """

    def __init__(self, *, address: str) -> None:
        """Initializes the relay.

        Args:
            address: the `ip:port` to which connections are relayed.
        """
        self._host, _, port = address.rpartition(':')
        self._port = int(port)
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: list[asyncio.StreamWriter] = []
        self._server: asyncio.Server
        self.connections = 0

    @property
    def address(self) -> str:
        """The `ip:port` on which the relay listens."""
        host, port = self._server.sockets[0].getsockname()[:2]
        return f'{host}:{port}'

    async def __aenter__(self) -> Self:
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        return self

    async def __aexit__(self, kind: type[BaseException] | None,
                        error: BaseException | None,
                        trace: types.TracebackType | None) -> None:
        self._server.close()
        self.stall()
        for writer in self._writers:
            writer.close()

    def stall(self) -> None:
        """Stops relaying on open connections; new connections are relayed."""
        for task in self._tasks:
            task.cancel()

    async def _serve(self, reader: asyncio.StreamReader,
                     writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        upstream_reader, upstream_writer = await asyncio.open_connection(
            self._host, self._port)
        self._writers += [writer, upstream_writer]
        for source, sink in ((reader, upstream_writer), (upstream_reader,
                                                         writer)):
            task = asyncio.create_task(_copy(source, sink))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)


async def _copy(source: asyncio.StreamReader,
                sink: asyncio.StreamWriter) -> None:
    """Copies data until the source ends or a connection fails."""
    try:
        while data := await source.read(_READ_BYTES):
            sink.write(data)
            await sink.drain()
    except OSError:
        pass
    sink.close()
