"""Crowds of clients that send and read as the callers of a host should not."""

import asyncio
import contextlib
import dataclasses
import pathlib
import socket
from collections.abc import Callable, Iterable

from tests.fakes import raw_client

__all__ = ['Pattern', 'Crowd', 'Usage', 'read_usage']

_SEND_TIMEOUT_S = 5.0
_STAY_S = 1.0
_USAGE_INTERVAL_S = 0.05
_SMALL_WINDOW_BYTES = 8 * 1024
_READ_BYTES = 64 * 1024
_KIB_PER_MIB = 1024


@dataclasses.dataclass(frozen=True)
class Pattern:
    """What each client of a crowd does.

    Attributes:
        clients: the number of clients, which are all there at once.
        pieces: returns what a client sends, each piece with a call of its own.
        reads: whether it reads what it receives.
        leaves: whether it closes its connection after the last piece.
    """

    clients: int
    pieces: Callable[[], Iterable[bytes]]
    reads: bool = True
    leaves: bool = False


@dataclasses.dataclass(frozen=True)
class Usage:
    """Resources of a process.

    Attributes:
        peak_memory_mib: the largest resident memory since its start.
        sockets: the number of open sockets.
    """

    peak_memory_mib: float
    sockets: int


def read_usage(pid: int) -> Usage:
    """Reads the resources of a process.

    Raises:
        OSError: there is no such process.
    """
    folder = pathlib.Path(f'/proc/{pid}')
    status = (folder / 'status').read_text('ascii')
    peak_kib = int(status.partition('VmHWM:')[2].split()[0])
    sockets = 0
    for descriptor in (folder / 'fd').iterdir():
        with contextlib.suppress(FileNotFoundError):
            sockets += descriptor.readlink().name.startswith('socket:')
    return Usage(peak_kib / _KIB_PER_MIB, sockets)


class Crowd:
    """Clients with one connection each; a context manager that closes them.

    Attributes:
        most_sockets: the most sockets of the process that were seen.
    """

    def __init__(self, *, address: str, pid: int, pattern: Pattern) -> None:
        """Initializes a crowd that has not connected yet.

        Args:
            address: `ip:port` that the clients connect to.
            pid: the process that listens there.
            pattern: what the clients do.
        """
        self._address = address
        self._pid = pid
        self._pattern = pattern
        self._stack = contextlib.ExitStack()
        self.most_sockets = 0

    def __enter__(self) -> 'Crowd':
        return self

    def __exit__(self, *_: object) -> None:
        self._stack.close()

    async def act(self) -> None:
        """Lets all clients send what they can; their connections stay open."""
        clients = [
            asyncio.create_task(self._act_as_client())
            for _ in range(self._pattern.clients)
        ]
        watch = asyncio.create_task(self._watch_sockets())
        await asyncio.wait(clients, timeout=_SEND_TIMEOUT_S)
        await asyncio.sleep(_STAY_S)
        for task in (*clients, watch):
            task.cancel()
        await asyncio.gather(*clients, watch, return_exceptions=True)

    async def _watch_sockets(self) -> None:
        while True:
            with contextlib.suppress(OSError):
                self.most_sockets = max(self.most_sockets,
                                        read_usage(self._pid).sockets)
            await asyncio.sleep(_USAGE_INTERVAL_S)

    async def _act_as_client(self) -> None:
        """Sends all pieces; ends early if the connection is closed."""
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError):
            sock = await asyncio.to_thread(self._connect)
            reader = None
            if self._pattern.reads:
                reader = asyncio.create_task(_read_all(sock))
            try:
                for piece in self._pattern.pieces():
                    await loop.sock_sendall(sock, piece)
                    await asyncio.sleep(0)
            finally:
                if reader is not None:
                    reader.cancel()
            if self._pattern.leaves:
                sock.close()

    def _connect(self) -> socket.socket:
        window_bytes = None if self._pattern.reads else _SMALL_WINDOW_BYTES
        return self._stack.enter_context(
            raw_client.connect(self._address,
                               receive_buffer_bytes=window_bytes))


async def _read_all(sock: socket.socket) -> None:
    with contextlib.suppress(OSError):
        while await asyncio.get_running_loop().sock_recv(sock, _READ_BYTES):
            pass
