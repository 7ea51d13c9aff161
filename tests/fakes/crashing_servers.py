"""Emulates groups of servers that crash when they answer a certain request."""

import asyncio
import collections
import contextlib
import dataclasses
import math
from collections.abc import AsyncIterator, Callable

from pollenthread.core import caller_request, http_headers, server_registry
from pollenthread.ports import upstream

__all__ = ['DOWN_S', 'Arrival', 'CrashingServers']

_OK = 200
_UNAVAILABLE = 503
_FIRST_EVENT_S = 0.12
_EVENT_INTERVAL_S = 0.05
_EVENTS = 20
DOWN_S = 3.0


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A request that reached a server.

    Attributes:
        at: the time in seconds.
        request: the request.
        host: the entry host that sent it.
    """

    at: float
    request: caller_request.CallerRequest
    host: str


class _Response(upstream.UpstreamResponse):
    """A response with a status and events."""

    def __init__(self, status: int, events: AsyncIterator[bytes]) -> None:
        self.status = status
        self.headers: tuple[http_headers.Header, ...] = ()
        self.may_have_executed = status == _OK
        self.is_misdirected = False
        self.load = None
        self.closes_connection = False
        self.limit_per_s = math.inf
        self._events = events

    def read(self) -> AsyncIterator[bytes]:
        return self._events


class CrashingServers:
    """Servers in groups; one that crashes takes its group down for seconds.

    Attributes:
        deadly_parts: parts of prompts that crash a server.
        deadly_bodies: bodies of requests that crash a server.
        crashes_left_by_body: how many servers a request crashes before one
            serves it.
        has_whole_responses: whether responses have no events.
        crashes_while_reading: whether a server crashes before the head of the
            response is sent.
        crashed_callbacks: functions called with the id of each crashed server.
        most_down: the greatest number of servers that were down at once.
        crash_times: the times of the crashes, in seconds.
        crash_parts: the deadly part of each crash.
        arrivals: all requests that reached a server.
    """

    def __init__(self, *, groups: int, servers_per_group: int) -> None:
        self.deadly_parts: set[str] = set()
        self.deadly_bodies: set[str] = set()
        self.crashes_left_by_body: collections.Counter[str] = (
            collections.Counter())
        self.has_whole_responses = False
        self.crashes_while_reading = False
        self.crashed_callbacks: list[Callable[[str], None]] = []
        self.most_down = 0
        self.crash_times: list[float] = []
        self.crash_parts: list[str] = []
        self.arrivals: list[Arrival] = []
        self.group_by_server = {
            f's{group}-{number}': group for group in range(groups)
            for number in range(servers_per_group)
        }
        self._down_until: dict[str, float] = {}
        self._group_down_until: dict[int, float] = {}
        self._crashed = {name: asyncio.Event() for name in self.group_by_server}

    def is_down(self, server_id: str) -> bool:
        """Returns whether a server has crashed and not started again."""
        return _now() < self._down_until.get(server_id, 0.0)

    def is_group_open(self, server_id: str) -> bool:
        """Returns whether all servers of a server's group run."""
        group = self.group_by_server[server_id]
        return _now() >= self._group_down_until.get(group, 0.0)

    def crash(self, server_id: str, part: str = '') -> None:
        """Lets a server crash.

        Args:
            server_id: the server.
            part: the part of a prompt that caused it, if any.
        """
        self.crash_times.append(_now())
        self.crash_parts.append(part)
        self._down_until[server_id] = _now() + DOWN_S
        self._group_down_until[
            self.group_by_server[server_id]] = _now() + DOWN_S
        self.most_down = max(self.most_down,
                             sum(map(self.is_down, self.group_by_server)))
        self._crashed[server_id].set()
        self._crashed[server_id] = asyncio.Event()
        for callback in self.crashed_callbacks:
            callback(server_id)

    def client(self, host: str) -> upstream.UpstreamClient:
        """Returns the client of an entry host."""
        return _Client(self, host)

    async def wait(self, server_id: str, seconds: float) -> None:
        """Waits while a server works on a request.

        Raises:
            upstream.UpstreamDisconnectedError: the server crashed.
        """
        try:
            async with asyncio.timeout(seconds):
                await self._crashed[server_id].wait()
        except TimeoutError:
            return
        raise upstream.UpstreamDisconnectedError('broke off its answer')

    def crash_if_deadly(self, server_id: str,
                        request: caller_request.CallerRequest) -> None:
        """Crashes a server that answers a deadly request.

        Raises:
            upstream.UpstreamDisconnectedError: the server crashed.
        """
        body = request.body.decode()
        is_crash = body in self.deadly_bodies
        if self.crashes_left_by_body[body]:
            self.crashes_left_by_body[body] -= 1
            is_crash = True
        deadly = [body] if is_crash else [
            part.id
            for part in request.prompt_parts
            if part.id in self.deadly_parts
        ]
        if deadly:
            self.crash(server_id, deadly[0])
            raise upstream.UpstreamDisconnectedError('broke off its answer')


class _Client(upstream.UpstreamClient):
    """Client of one entry host."""

    def __init__(self, servers: CrashingServers, host: str) -> None:
        self._servers = servers
        self._host = host

    @contextlib.asynccontextmanager
    async def send(  # pylint: disable=invalid-overridden-method
        self, attempt: upstream.UpstreamAttempt
    ) -> AsyncIterator[upstream.UpstreamResponse]:
        servers, name = self._servers, attempt.server.id
        if servers.is_down(name):
            raise upstream.UpstreamConnectError('connection refused')
        servers.arrivals.append(Arrival(_now(), attempt.request, self._host))
        if not servers.is_group_open(name):
            yield _Response(_UNAVAILABLE, _no_events())
            return
        await servers.wait(name, _FIRST_EVENT_S)
        if servers.crashes_while_reading or servers.has_whole_responses:
            servers.crash_if_deadly(name, attempt.request)
        if servers.has_whole_responses:
            yield _Response(_OK, _no_events())
            return
        yield _Response(_OK, self._events(attempt))

    async def _events(
            self, attempt: upstream.UpstreamAttempt) -> AsyncIterator[bytes]:
        servers, name = self._servers, attempt.server.id
        servers.crash_if_deadly(name, attempt.request)
        for number in range(int(attempt.last_event_id or 0) + 1, _EVENTS + 1):
            yield f'id: {number}\ndata: x\n\n'.encode()
            await servers.wait(name, _EVENT_INTERVAL_S)

    async def is_refusing(self, server: server_registry.Server) -> bool:
        return self._servers.is_down(server.id)


async def _no_events() -> AsyncIterator[bytes]:
    for data in tuple[bytes, ...]():
        yield data


def _now() -> float:
    return asyncio.get_running_loop().time()
