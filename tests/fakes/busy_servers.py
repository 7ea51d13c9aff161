"""Servers in memory with places and queues, for loads in virtual time."""

import asyncio
import contextlib
import dataclasses
import heapq
import itertools
from collections.abc import AsyncIterator, Iterable

from pollenthread.core import http_headers, server_load, server_registry
from pollenthread.ports import upstream

__all__ = ['BusyServers', 'ServerProfile']

_OK = 200
_NOT_RUN = 503


@dataclasses.dataclass(frozen=True)
class ServerProfile:
    """How servers work.

    Attributes:
        slots: requests that a server works on at once.
        queue: requests that wait there at most.
        first_s: seconds from a place to the first event.
        gap_s: seconds between events while nothing else runs.
        gap_a_request_s: what each request at the fullest server adds to that:
            servers of a group make their passes together.
        events: events of an answer.
    """

    slots: int = 6
    queue_size: int = 6
    first_event_s: float = 0.12
    base_interval_s: float = 0.035
    interval_per_request_s: float = 0.006
    events_per_response: int = 26


class _Answer(upstream.UpstreamResponse):
    """An answer; one that was not run has no body."""

    def __init__(self, servers: 'BusyServers', *, has_run: bool) -> None:
        self.status = _OK if has_run else _NOT_RUN
        self.headers: tuple[http_headers.Header, ...] = ()
        self.may_have_executed = has_run
        self.is_misdirected = False
        self.load = None
        self.closes_connection = False
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
    """One server: the most urgent of those who wait gets the next place."""

    def __init__(self, pace: ServerProfile) -> None:
        self.running = 0
        self._pace = pace
        self._numbers = itertools.count()
        self._waiting: list[tuple[int, int, asyncio.Future[None]]] = []

    @property
    def waiting(self) -> int:
        """Requests in the queue."""
        return sum(not place.cancelled() for _, _, place in self._waiting)

    @property
    def is_full(self) -> bool:
        """Whether it takes nothing more."""
        return (self.running >= self._pace.slots and
                self.waiting >= self._pace.queue_size)

    async def enter(self, urgency: int) -> None:
        """Waits for a place."""
        if self.running >= self._pace.slots:
            place = asyncio.get_running_loop().create_future()
            heapq.heappush(self._waiting, (urgency, next(self._numbers), place))
            await place
        else:
            self.running += 1

    def leave(self) -> None:
        """Hands the place on."""
        while self._waiting:
            _, _, place = heapq.heappop(self._waiting)
            if not place.done():
                place.set_result(None)
                return
        self.running -= 1


class BusyServers(upstream.UpstreamClient):
    """Servers of one group, which is closed at times."""

    def __init__(self, *, servers: Iterable[server_registry.Server],
                 profile: ServerProfile) -> None:
        self.is_open = True
        self.longest_wait_s = 0.0
        self.profile = profile
        self._server_by_id = {server.id: _Server(profile) for server in servers}

    @property
    def event_interval_s(self) -> float:
        """Seconds between events now."""
        fullest = max(s.running for s in self._server_by_id.values())
        return self.profile.base_interval_s + self.profile.interval_per_request_s * fullest

    @contextlib.asynccontextmanager
    async def send(  # pylint: disable=invalid-overridden-method
        self, attempt: upstream.UpstreamAttempt
    ) -> AsyncIterator[upstream.UpstreamResponse]:
        waited_s = (asyncio.get_running_loop().time() -
                    attempt.request.received_at)
        self.longest_wait_s = max(self.longest_wait_s, waited_s)
        server = self._server_by_id[attempt.server.id]
        if not self.is_open or server.is_full:
            yield _Answer(self, has_run=False)
            return
        await server.enter(attempt.priority)
        try:
            yield _Answer(self, has_run=True)
        finally:
            server.leave()

    def report(self, server_id: str) -> server_load.ServerLoadReport:
        """What the agent beside a server tells."""
        server = self._server_by_id[server_id]
        return server_load.ServerLoadReport(running=server.running,
                                            waiting=server.waiting,
                                            slots=self.profile.slots,
                                            accepts_requests=self.is_open,
                                            group='g',
                                            pass_s=self.event_interval_s)
