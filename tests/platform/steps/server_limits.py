"""Steps for servers that limit the request rate, in virtual time."""

import asyncio
import collections
import dataclasses
import math
import random
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

from behave import given, then, when

from pollenthread.app import forwarder
from pollenthread.core import routing_config, server_limits, server_load
from tests.fakes import (entry_fleet, forwarding, limited_servers, virtual_time)

_DATA_CENTRES = 3
_SLOTS = 6
_REPORT_INTERVAL_S = 0.25
_SETTLING_S = 3.0
_DRAINING_S = 10.0
_CALLER_TIMEOUT_S = 8.0
_DOWN_S = 0.3
_START_S = 0.7
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
        limits_by_server: when each server named which limit, in order.
        config: the configuration of the hosts.
    """

    def __init__(self, hosts: int, servers: int) -> None:
        self.servers = limited_servers.LimitedServers(count=servers)
        self.sent: list[_Sent] = []
        self.events: list[tuple[float, Callable[[], Awaitable[None]]]] = []
        self.started_at = 0.0
        self.limits_by_server: dict[str, list[tuple[float, float]]] = {}
        self.config = forwarding.CONFIG
        self._hosts = hosts
        self._rng = random.Random(11)
        self._forwarder_by_host: dict[str, forwarder.Forwarder] = {}
        self._tasks: list[asyncio.Task[None]] = []
        self._fleet: entry_fleet.EntryFleet

    def name_limit(self, at: float, server: str, limit_per_s: float) -> None:
        """Lets a server name a limit, or none, from a second on."""

        async def name() -> None:
            limits = self.limits_by_server.setdefault(server, [])
            limits.append((_now(), limit_per_s))
            self.servers.limit_by_server[server] = limit_per_s

        self.events.append((at, name))

    def allowed(self, server: str, start: float, end: float) -> float:
        """Returns the requests that a server's limits allow in a time span."""
        total = 0.0
        limits = self.limits_by_server[server]
        ends = [at for at, _ in limits[1:]] + [math.inf]
        for (named_at, limit_per_s), ended_at in zip(limits, ends):
            overlap_s = min(end, ended_at) - max(start, named_at)
            total += limit_per_s * max(0.0, overlap_s)
        return total

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
        host.state.config = self.config
        self._forwarder_by_host[name] = forwarding.make_forwarder(
            state=host.state,
            upstream_client=self.servers.client(name),
            time=virtual_time.LoopClock(),
            permits=host.permits)

    async def restart(self, names: Sequence[str], *, gap_s: float) -> None:
        """Restarts entry hosts, each some time after the one before."""
        for name in names:
            self._tasks.append(asyncio.create_task(self._restart(name)))
            await asyncio.sleep(gap_s)

    async def _restart(self, name: str) -> None:
        record = self._fleet.host_by_name[name].record
        del self._forwarder_by_host[name]
        await self._fleet.stop_host(name)
        self.servers.forget(name)
        await asyncio.sleep(_DOWN_S)
        self._fleet.start_host(record)
        await asyncio.sleep(_START_S)
        self._start_forwarder(name)

    @property
    def host_names(self) -> list[str]:
        """The names of the entry hosts."""
        return list(self._fleet.host_by_name)

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


@given('a warm-up in which a server may get {limit:g} requests per second')
def step_warm_up(context: Any, limit: float) -> None:
    service = dataclasses.replace(forwarding.CONFIG.services_by_name['llm'],
                                  warm_up=routing_config.WarmUp(3.0, limit))
    context.simulation.config = dataclasses.replace(
        forwarding.CONFIG, services_by_name={'llm': service})


@given('at second {at:g} each of {count:d} servers names a limit of {limit:g} '
       'per second')
def step_limits(context: Any, at: float, count: int, limit: float) -> None:
    for server in list(context.simulation.servers.running_by_server)[:count]:
        context.simulation.name_limit(at, server, limit)


@when('{per_s:g} requests per second arrive for {seconds:g} s')
def step_run(context: Any, per_s: float, seconds: float) -> None:
    virtual_time.run(context.simulation.run(per_s, seconds))
    context.arrivals = collections.defaultdict(list)
    for arrival in context.simulation.servers.arrivals:
        context.arrivals[arrival.server].append(arrival.at)


@then('no server gets more requests than its limit allows')
def step_within_limits(context: Any) -> None:
    simulation = context.simulation
    assert simulation.limits_by_server
    for server, limits in simulation.limits_by_server.items():
        bound_from = limits[0][0] + _BOUND_AFTER_S
        for end in simulation.servers.times_of_told(server):
            if end < bound_from:
                continue
            found = simulation.servers.count_told(server, end - _WINDOW_S, end)
            allowed = _BOUND_EXTRA + _BOUND_FACTOR * simulation.allowed(
                server, max(end - _WINDOW_S, limits[0][0]), end)
            assert found <= allowed, (server, end - simulation.started_at,
                                      found, allowed)


@then('{percent:d} in 100 requests receive their first event in time')
def step_in_time(context: Any, percent: int) -> None:
    sent = context.simulation.sent
    in_time = sum(s.is_in_time for s in sent)
    assert sent and in_time * 100 >= percent * len(sent), (in_time, len(sent))


@given('at second {at:g} each of {count:d} servers names no limit any more')
def step_no_limits(context: Any, at: float, count: int) -> None:
    step_limits(context, at, count, math.inf)


@given('the limits of {count:d} servers cannot be read')
def step_unreadable(context: Any, count: int) -> None:
    servers = context.simulation.servers
    servers.unreadable.update(list(servers.running_by_server)[:count])


@given('from second {at:g} on each entry host restarts in turn')
def step_restart_in_turn(context: Any, at: float) -> None:
    simulation = context.simulation
    simulation.events.append(
        (at, lambda: simulation.restart(simulation.host_names, gap_s=1.5)))


@given('from second {at:g} on five entry hosts restart at once')
def step_restart_at_once(context: Any, at: float) -> None:
    simulation = context.simulation
    simulation.events.append(
        (at, lambda: simulation.restart(simulation.host_names[:5], gap_s=0.0)))


def _arrivals_by_server(simulation: _Simulation, start: float,
                        end: float) -> dict[str, int]:
    """Counts the requests of each server between two seconds."""
    return {
        server:
            sum(a.server == server and start <= a.at -
                simulation.started_at < end
                for a in simulation.servers.arrivals)
        for server in simulation.servers.running_by_server
    }


@then('from second {start:g} to {end:g} servers get at least {percent:d} in '
      '100 requests that their limits allow')
def step_used(context: Any, start: float, end: float, percent: int) -> None:
    simulation = context.simulation
    found = sum(_arrivals_by_server(simulation, start, end).values())
    allowed = sum(
        simulation.allowed(server, simulation.started_at +
                           start, simulation.started_at + end)
        for server in simulation.limits_by_server)
    assert found * 100 >= percent * allowed, (found, allowed)


@then('from second {start:g} to {end:g} each server gets at least half of the '
      'mean')
def step_even(context: Any, start: float, end: float) -> None:
    counts = _arrivals_by_server(context.simulation, start, end)
    mean = sum(counts.values()) / len(counts)
    assert mean and min(counts.values()) >= mean / 2, counts


@then('{percent:d} in 100 answered requests receive their first event in time')
def step_answered_in_time(context: Any, percent: int) -> None:
    answered = [s for s in context.simulation.sent if s.response.is_complete]
    in_time = sum(s.is_in_time for s in answered)
    assert answered and in_time * 100 >= percent * len(answered), (
        in_time, len(answered))


@then('rejected requests after second {after:g} have waited for at most '
      '{seconds:g} s')
def step_rejected_soon(context: Any, after: float, seconds: float) -> None:
    simulation = context.simulation
    waits = [
        s.ended_at - s.at
        for s in simulation.sent
        if s.response.failure is not None and s.at -
        simulation.started_at > after
    ]
    assert waits and max(waits) <= seconds, max(waits, default=None)


# What servers have said.


@given('a server that was started at {born_ms:d} and named a limit of '
       '{limit:g} per second')
def step_named(context: Any, born_ms: int, limit: float) -> None:
    context.limits = server_limits.RateLimits()
    assert context.limits.record(
        server_limits.RateLimit('s', born_ms, limit, named_at=1.0))


@then('a server with its id that was started at {born_ms:d} has a limit')
def step_has_limit(context: Any, born_ms: int) -> None:
    assert context.limits.get(forwarding.make_server(
        's', born_ms=born_ms)) is not None


@then('a server with its id that was started at {born_ms:d} has none')
def step_has_none(context: Any, born_ms: int) -> None:
    assert context.limits.get(forwarding.make_server('s',
                                                     born_ms=born_ms)) is None


@then('what the earlier start says afterwards is not recorded for the later '
      'one')
def step_earlier_start(context: Any) -> None:
    context.limits.record(server_limits.RateLimit('s', 6, 2.0, named_at=2.0))
    context.limits.record(server_limits.RateLimit('s', 5, 1.0, named_at=3.0))
    found = context.limits.get(forwarding.make_server('s', born_ms=6))
    assert found is not None and found.per_s == 2.0, found


# Random histories.


def _random_history(seed: int) -> tuple[_Simulation, float]:
    """Returns a simulation with random limits and restarts, and its rate."""
    rng = random.Random(seed)
    hosts = rng.choice([6, 9, 12])
    simulation = _Simulation(hosts, rng.choice([3, 8, 16]))
    servers = list(simulation.servers.running_by_server)
    for server in servers[:rng.randint(1, len(servers))]:
        at = rng.uniform(1.0, 6.0)
        simulation.name_limit(at, server, rng.choice([0.3, 0.8, 1.2, 3.0, 8.0]))
        if rng.random() < 0.4:
            simulation.name_limit(at + rng.uniform(3.0, 8.0), server,
                                  rng.choice([0.5, 2.0, 6.0]))
    if rng.random() < 0.6:
        restarted = rng.randint(1, hosts)
        gap_s = rng.choice([0.0, 0.5, 1.5])
        simulation.events.append(
            (rng.uniform(4.0, 12.0), lambda: simulation.restart(
                simulation.host_names[:restarted], gap_s=gap_s)))
    return simulation, rng.choice([10.0, 25.0, 50.0])


@when('the histories of limits with seeds {first:d} to {last:d} are run')
def step_histories(context: Any, first: int, last: int) -> None:
    context.simulations = []
    for seed in range(first, last + 1):
        simulation, per_s = _random_history(seed)
        virtual_time.run(simulation.run(per_s, 20.0))
        context.simulations.append(simulation)


@then('in none of them a server gets more requests than its limits allow')
def step_within_all_limits(context: Any) -> None:
    for context.simulation in context.simulations:
        step_within_limits(context)
