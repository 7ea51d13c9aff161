"""Emulates servers that name the request rate which they accept."""

import asyncio
import contextlib
import dataclasses
import math
from collections.abc import AsyncIterator

from pollenthread.core import http_headers, server_registry
from pollenthread.ports import upstream

__all__ = ['Arrival', 'LimitedServers']

_OK = 200
_FIRST_EVENT_S = 0.12
_EVENT_INTERVAL_S = 0.05
_EVENTS = 10


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A request that reached a server.

    Attributes:
        at: the time in seconds.
        server: the id of the server.
        host: the entry host that sent it.
        was_told: whether the host had received a response that named the
            server's limit at least half a second before.
    """

    at: float
    server: str
    host: str
    was_told: bool


class _Response(upstream.UpstreamResponse):
    """A complete stream that names a limit."""

    def __init__(self, limit_per_s: float | None,
                 events: AsyncIterator[bytes]) -> None:
        self.status = _OK
        self.headers: tuple[http_headers.Header, ...] = ()
        self.may_have_executed = True
        self.is_misdirected = False
        self.load = None
        self.limit_per_s = limit_per_s
        self.closes_connection = False
        self._events = events

    def read(self) -> AsyncIterator[bytes]:
        return self._events


class LimitedServers:
    """Servers that answer every request and may name a limit.

    Attributes:
        limit_by_server: the limits that are in force, in requests per second.
        unreadable: servers whose limits cannot be decoded.
        arrivals: all requests that reached a server.
        running_by_server: requests in progress.
    """

    def __init__(self, *, count: int) -> None:
        self.limit_by_server: dict[str, float] = {}
        self.unreadable: set[str] = set()
        self.arrivals: list[Arrival] = []
        self.running_by_server = {f's-{i}': 0 for i in range(count)}
        self._told_at: dict[tuple[str, str], float] = {}

    def client(self, host: str) -> upstream.UpstreamClient:
        """Returns the client of an entry host."""
        return _Client(self, host)

    def receive(self, server: str, host: str) -> None:
        """Records that a request has reached a server."""
        now = _now()
        told_at = self._told_at.get((server, host), math.inf)
        self.arrivals.append(Arrival(now, server, host, now - told_at >= 0.5))
        self.running_by_server[server] += 1

    def begin_response(self, server: str, host: str) -> float | None:
        """Returns the limit that the head of a response names."""
        if server in self.unreadable:
            return None
        limit_per_s = self.limit_by_server.get(server, math.inf)
        if limit_per_s < math.inf:
            self._told_at.setdefault((server, host), _now())
        return limit_per_s

    def forget(self, host: str) -> None:
        """Records that a host has restarted and knows nothing any more."""
        for server, told_host in list(self._told_at):
            if told_host == host:
                del self._told_at[server, told_host]

    def times_of_told(self, server: str) -> list[float]:
        """Returns when requests came from hosts that knew the limit."""
        return [
            a.at for a in self.arrivals if a.server == server and a.was_told
        ]

    def count_told(self, server: str, start: float, end: float) -> int:
        """Counts the requests after `start` of hosts that knew the limit."""
        return sum(start < at <= end for at in self.times_of_told(server))


class _Client(upstream.UpstreamClient):
    """Client of one entry host."""

    def __init__(self, servers: LimitedServers, host: str) -> None:
        self._servers = servers
        self._host = host

    @contextlib.asynccontextmanager
    async def send(  # pylint: disable=invalid-overridden-method
        self, attempt: upstream.UpstreamAttempt
    ) -> AsyncIterator[upstream.UpstreamResponse]:
        server = attempt.server.id
        self._servers.receive(server, self._host)
        try:
            await asyncio.sleep(_FIRST_EVENT_S)
            yield _Response(self._servers.begin_response(server, self._host),
                            _events())
        finally:
            self._servers.running_by_server[server] -= 1

    async def is_refusing(self, server: server_registry.Server) -> bool:
        return False


async def _events() -> AsyncIterator[bytes]:
    for number in range(1, _EVENTS + 1):
        yield f'id: {number}\ndata: x\n\n'.encode()
        await asyncio.sleep(_EVENT_INTERVAL_S)


def _now() -> float:
    return asyncio.get_running_loop().time()
