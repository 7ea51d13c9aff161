"""Steps for servers that limit the request rate, in virtual time."""

import asyncio
import dataclasses
import math
import random
from collections.abc import Awaitable, Callable
from typing import Any

from behave import given, then, when

from pollenthread.app import forwarder
from pollenthread.core import server_load
from tests.fakes import (entry_fleet, forwarding, limited_servers, virtual_time)

_DATA_CENTRES = 3
_SLOTS = 6
_REPORT_INTERVAL_S = 0.25
_SETTLING_S = 3.0
_DRAINING_S = 10.0
_CALLER_TIMEOUT_S = 8.0
# The users' bound on the requests at a limited server.
_WINDOW_S = 4.0
_BOUND_FACTOR = 1.5
_BOUND_EXTRA = 5
_BOUND_AFTER_S = 3.0


@dataclasses.dataclass
class _Sent:
    """A request of a caller.

    Attributes:
        at: the second in which it was sent.
        response: what its caller received.
        ended_at: the second in which it ended, or infinity.
    """

    at: float
    response: forwarding.RecordingResponse
    ended_at: float = math.inf

    @property
    def is_in_time(self) -> bool:
        """Whether the first event arrived within the route's target."""
        first_at = self.response.first_at
        return (first_at is not None and
                first_at - self.at <= forwarding.TARGET_S)


class _Simulation:
    """Entry hosts that serve one service whose servers may name limits.

    Attributes:
        servers: the servers.
        sent: all requests.
        events: what happens besides, by second.
        started_at: the time at which second 0 began.
    """

    def __init__(self, hosts: int, servers: int) -> None:
        self.servers = limited_servers.LimitedServers(count=servers)
        self.sent: list[_Sent] = []
        self.events: list[tuple[float, Callable[[], Awaitable[None]]]] = []
        self.started_at = 0.0
        self.limited_at: dict[str, float] = {}
        self._hosts = hosts
        self._rng = random.Random(11)
        self._forwarder_by_host: dict[str, forwarder.Forwarder] = {}
        self._tasks: list[asyncio.Task[None]] = []
        self._fleet: entry_fleet.EntryFleet

    def name_limit(self, at: float, server: str, limit_per_s: float) -> None:
        """Lets a server name a limit, or none, from a second on."""

        async def name() -> None:
            self.limited_at.setdefault(server, _now())
            self.servers.limit_by_server[server] = limit_per_s

        self.events.append((at, name))

    async def run(self, per_s: float, seconds: float) -> None:
        """Sends requests for some seconds and waits for their responses."""
        self._fleet = entry_fleet.EntryFleet(
            data_centres=_DATA_CENTRES,
            hosts_per_data_centre=self._hosts // _DATA_CENTRES,
            seed=3)
        self._fleet.start()
        for name in self.servers.running_by_server:
            await self._fleet.store.put(entry_fleet.SERVERS_TABLE, name,
                                        b'ready')
        await asyncio.sleep(_SETTLING_S)
        for name in self._fleet.host_by_name:
            self._start_forwarder(name)
        reports = asyncio.create_task(self._report())
        self.started_at = _now()
        await asyncio.gather(self._send(per_s, seconds),
                             *(self._run_event(*item) for item in self.events))
        await asyncio.sleep(_DRAINING_S)
        reports.cancel()
        await asyncio.gather(*self._tasks)
        for name in list(self._fleet.host_by_name):
            await self._fleet.stop_host(name)

    async def _run_event(self, at: float,
                         action: Callable[[], Awaitable[None]]) -> None:
        await asyncio.sleep(at)
        await action()

    def _start_forwarder(self, name: str) -> None:
        host = self._fleet.host_by_name[name]
        host.state.config = forwarding.CONFIG
        self._forwarder_by_host[name] = forwarding.make_forwarder(
            state=host.state,
            upstream_client=self.servers.client(name),
            time=virtual_time.LoopClock(),
            permits=host.permits)

    async def _report(self) -> None:
        """Reports the load of all servers to all hosts."""
        while True:
            for host in self._fleet.host_by_name.values():
                for name, running in self.servers.running_by_server.items():
                    host.state.server_loads.record_report(
                        name,
                        server_load.ServerLoadReport(running=running,
                                                     waiting=0,
                                                     slots=_SLOTS,
                                                     group='g',
                                                     pass_s=0.05), _now())
            await asyncio.sleep(_REPORT_INTERVAL_S)

    async def _send(self, per_s: float, seconds: float) -> None:
        for _ in range(int(per_s * seconds)):
            await asyncio.sleep(1 / per_s)
            name = self._rng.choice(list(self._forwarder_by_host))
            sent = _Sent(_now(), forwarding.RecordingResponse())
            self.sent.append(sent)
            self._tasks.append(asyncio.create_task(self._serve(name, sent)))

    async def _serve(self, host: str, sent: _Sent) -> None:
        request = forwarding.make_request(received_at=_now(),
                                          timeout_s=_CALLER_TIMEOUT_S)
        await self._forwarder_by_host[host].serve(request, sent.response)
        sent.ended_at = _now()


def _now() -> float:
    return asyncio.get_running_loop().time()


@given('{hosts:d} entry hosts and {servers:d} servers')
def step_fleet(context: Any, hosts: int, servers: int) -> None:
    context.simulation = _Simulation(hosts, servers)


@given('at second {at:g} each of {count:d} servers names a limit of {limit:g} '
       'per second')
def step_limits(context: Any, at: float, count: int, limit: float) -> None:
    for server in list(context.simulation.servers.running_by_server)[:count]:
        context.simulation.name_limit(at, server, limit)


@when('{per_s:g} requests per second arrive for {seconds:g} s')
def step_run(context: Any, per_s: float, seconds: float) -> None:
    virtual_time.run(context.simulation.run(per_s, seconds))


@then('no server gets more requests than its limit allows')
def step_within_limits(context: Any) -> None:
    simulation = context.simulation
    assert simulation.limited_at
    for server, limited_at in simulation.limited_at.items():
        limit_per_s = simulation.servers.limit_by_server[server]
        found = simulation.servers.most_in_window(server,
                                                  limited_at + _BOUND_AFTER_S,
                                                  _WINDOW_S)
        allowed = _WINDOW_S * limit_per_s * _BOUND_FACTOR + _BOUND_EXTRA
        assert found <= allowed, (server, found, allowed)


@then('{percent:d} in 100 requests receive their first event in time')
def step_in_time(context: Any, percent: int) -> None:
    sent = context.simulation.sent
    in_time = sum(s.is_in_time for s in sent)
    assert sent and in_time * 100 >= percent * len(sent), (in_time, len(sent))
