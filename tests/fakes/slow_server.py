"""An HTTP server whose responses arrive in parts, with pauses between them."""

import asyncio
import types
from collections.abc import Sequence
from typing import Self

from pollenthread.core import http_headers

__all__ = ['SlowServer']


class SlowServer:
    """Sends one body to every request, slowly."""

    def __init__(
        self,
        *,
        body: bytes,
        parts: int,
        pause_s: float,
        sent_parts: int | None,
        status: int = 200,
        headers: Sequence[http_headers.Header] = ()) -> None:
        """Initializes the server.

        Args:
            body: the body of each response.
            parts: the number of parts that it is sent in.
            pause_s: the pause before each part, in seconds.
            sent_parts: the number of parts after which nothing more is sent;
                None if all are.
            status: the status of each response.
            headers: further headers of each response.
        """
        self._status = status
        self._headers = headers
        self._body = body
        self._part_bytes = -(-len(body) // parts)
        self._pause_s = pause_s
        self._sent_parts = parts if sent_parts is None else sent_parts
        self._server: asyncio.Server
        self._writers: list[asyncio.StreamWriter] = []

    @property
    def address(self) -> str:
        """The `ip:port` on which the server listens."""
        host, port = self._server.sockets[0].getsockname()[:2]
        return f'{host}:{port}'

    async def __aenter__(self) -> Self:
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        return self

    async def __aexit__(self, kind: type[BaseException] | None,
                        error: BaseException | None,
                        trace: types.TracebackType | None) -> None:
        self._server.close()
        for writer in self._writers:
            writer.close()

    async def _serve(self, reader: asyncio.StreamReader,
                     writer: asyncio.StreamWriter) -> None:
        self._writers.append(writer)
        await reader.readuntil(b'\r\n\r\n')
        fields = [*self._headers, ('content-length', str(len(self._body)))]
        lines = [f'HTTP/1.1 {self._status} .']
        lines += [f'{name}: {value}' for name, value in fields]
        writer.write('\r\n'.join([*lines, '', '']).encode())
        for number in range(self._sent_parts):
            await asyncio.sleep(self._pause_s)
            start = number * self._part_bytes
            writer.write(self._body[start:start + self._part_bytes])
