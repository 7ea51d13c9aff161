"""Emulates servers with slots and queues in virtual time."""

import asyncio
import contextlib
import dataclasses
import heapq
import itertools
import math
from collections.abc import AsyncIterator, Iterable

from pollenthread.core import http_headers, server_load, server_registry
from pollenthread.ports import upstream

__all__ = ['BusyServers', 'ServerProfile']

_OK = 200
_UNAVAILABLE = 503


@dataclasses.dataclass(frozen=True)
class ServerProfile:
    """Capacity and speed of the servers.

    Attributes:
        slots: the number of requests that a server executes concurrently.
        queue_size: the maximum number of requests in a server's queue.
        first_event_s: seconds from the start of a request to its first event.
        base_interval_s: seconds between events without other requests.
        interval_per_request_s: seconds that each request at the most loaded
            server adds to the interval, since the servers of a group run their
            passes together.
        events_per_response: the number of events in a response.
    """

    slots: int = 6
    queue_size: int = 6
    first_event_s: float = 0.12
    base_interval_s: float = 0.035
    interval_per_request_s: float = 0.006
    events_per_response: int = 26


class _Response(upstream.UpstreamResponse):
    """A response; the status is 503 if the request was not executed."""

    def __init__(self, servers: 'BusyServers', *, has_run: bool) -> None:
        self.status = _OK if has_run else _UNAVAILABLE
        self.headers: tuple[http_headers.Header, ...] = ()
        self.may_have_executed = has_run
        self.is_misdirected = False
        self.load = None
        self.closes_connection = False
        self.limit_per_s = math.inf
        self._servers = servers

    def read(self) -> AsyncIterator[bytes]:
        return self._events()

    async def _events(self) -> AsyncIterator[bytes]:
        pace = self._servers.profile
        await asyncio.sleep(pace.first_event_s)
        for number in range(pace.events_per_response):
            yield f'id: {number}\ndata: x\n\n'.encode()
            await asyncio.sleep(self._servers.event_interval_s)


class _Server:
    """One server, whose queue is ordered by priority."""

    def __init__(self, pace: ServerProfile) -> None:
        self.running = 0
        self._pace = pace
        self._sequence_numbers = itertools.count()
        self._waiting: list[tuple[int, int, asyncio.Future[None]]] = []

    @property
    def waiting(self) -> int:
        """The number of requests in the queue."""
        return sum(not slot.cancelled() for _, _, slot in self._waiting)

    @property
    def is_full(self) -> bool:
        """Whether the server rejects further requests."""
        return (self.running >= self._pace.slots and
                self.waiting >= self._pace.queue_size)

    async def acquire_slot(self, priority: int) -> None:
        """Waits for a slot."""
        if self.running >= self._pace.slots:
            slot = asyncio.get_running_loop().create_future()
            heapq.heappush(self._waiting,
                           (priority, next(self._sequence_numbers), slot))
            await slot
        else:
            self.running += 1

    def release_slot(self) -> None:
        """Frees the slot, or hands it to the next request in the queue."""
        while self._waiting:
            _, _, slot = heapq.heappop(self._waiting)
            if not slot.done():
                slot.set_result(None)
                return
        self.running -= 1


class BusyServers(upstream.UpstreamClient):
    """Client of the emulated servers of one group.

    Attributes:
        is_open: whether the group accepts requests.
        longest_wait_s: the longest time in seconds from the receipt of a
            request to an attempt at a server.
        profile: the capacity and speed of the servers.
    """

    def __init__(self, *, servers: Iterable[server_registry.Server],
                 profile: ServerProfile) -> None:
        self.is_open = True
        self.longest_wait_s = 0.0
        self.profile = profile
        self._server_by_id = {server.id: _Server(profile) for server in servers}

    @property
    def event_interval_s(self) -> float:
        """The current time in seconds between events."""
        most_running = max(s.running for s in self._server_by_id.values())
        return (self.profile.base_interval_s +
                self.profile.interval_per_request_s * most_running)

    @contextlib.asynccontextmanager
    async def send(  # pylint: disable=invalid-overridden-method
        self, attempt: upstream.UpstreamAttempt
    ) -> AsyncIterator[upstream.UpstreamResponse]:
        waited_s = (asyncio.get_running_loop().time() -
                    attempt.request.received_at)
        self.longest_wait_s = max(self.longest_wait_s, waited_s)
        server = self._server_by_id[attempt.server.id]
        if not self.is_open or server.is_full:
            yield _Response(self, has_run=False)
            return
        await server.acquire_slot(attempt.priority)
        try:
            yield _Response(self, has_run=True)
        finally:
            server.release_slot()

    async def is_refusing(self, server: server_registry.Server) -> bool:
        return False

    def report(self, server_id: str) -> server_load.ServerLoadReport:
        """Returns the load report that the agent of a server sends."""
        server = self._server_by_id[server_id]
        return server_load.ServerLoadReport(running=server.running,
                                            waiting=server.waiting,
                                            slots=self.profile.slots,
                                            accepts_requests=self.is_open,
                                            group='g',
                                            pass_s=self.event_interval_s)
