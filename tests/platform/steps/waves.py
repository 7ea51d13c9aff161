"""Steps for waves of retries, served by the forwarder in virtual time."""

import asyncio
import dataclasses
import random
from typing import Any

from behave import given, then, when

from pollenthread.app import serving_state
from pollenthread.core import (caller_wait, routing_config, server_registry)
from tests.fakes import busy_servers, forwarding, virtual_time

_CALLER_TIMEOUT_S = 8.05
# No queue is long enough to miss this target, so no request is rejected for it.
_LOOSE_TARGET_S = 7.9
_RETRY_DELAY_S = 0.3
# Callers abort a stream that sends no event for this long.
_EVENT_TIMEOUT_S = 2.0
_LAST_ARRIVAL_S = 14.0
_REPORT_INTERVAL_S = 0.25


@dataclasses.dataclass
class _Caller:
    """Arrival time of a caller and the result of its request."""

    arrived_at: float
    first_at: float | None = None
    is_served: bool = False

    @property
    def meets_target(self) -> bool:
        """Whether the first event met the latency target."""
        return (self.first_at is not None and
                self.first_at - self.arrived_at <= forwarding.TARGET_S)


class _Simulation:
    """Simulates entry hosts, servers and callers."""

    def __init__(self,
                 *,
                 servers: int,
                 hosts: int,
                 rate: float,
                 pace: busy_servers.ServerProfile,
                 sends_timeout: bool,
                 route: routing_config.Route = forwarding.ROUTE) -> None:
        self.callers: list[_Caller] = []
        self._sends_timeout = sends_timeout
        self._config = dataclasses.replace(forwarding.CONFIG,
                                           routes_by_host={'h': (route,)})
        self._rate = rate
        self._rng = random.Random(5)
        self._arrival_rng = random.Random(6)
        self._server_list = [
            server_registry.Server(id=f's{i}',
                                   service='llm',
                                   address=f'10.0.0.{i}:1',
                                   data_centre='a',
                                   slots=pace.slots,
                                   state=server_registry.ServerState.READY)
            for i in range(servers)
        ]
        self.servers = busy_servers.BusyServers(servers=self._server_list,
                                                profile=pace)
        self._clock = virtual_time.LoopClock()
        self._states = [self._state(i, hosts) for i in range(hosts)]
        self._forwarders = [
            forwarding.make_forwarder(state=state,
                                      upstream_client=self.servers,
                                      time=self._clock)
            for state in self._states
        ]

    def _state(self, seed: int, hosts: int) -> serving_state.ServingState:
        state = forwarding.make_state(seed=seed)
        state.config = self._config
        state.entry_host_count = hosts
        for server in self._server_list:
            state.server_registry.put(server)
        return state

    async def run(self, closed_at: float, open_at: float) -> None:
        """Runs all arrivals, with an outage of all servers."""
        loop = asyncio.get_running_loop()
        start = loop.time()
        reports = [
            asyncio.create_task(self._report(server))
            for server in self._server_list
        ]
        loop.call_at(start + closed_at, setattr, self.servers, 'is_open',
                     closed_at == open_at)
        loop.call_at(start + open_at, setattr, self.servers, 'is_open', True)
        async with asyncio.TaskGroup() as group:
            at = 0.0
            while at < _LAST_ARRIVAL_S:
                await asyncio.sleep(start + at - loop.time())
                group.create_task(self._call(_Caller(at), start))
                at += self._arrival_rng.expovariate(self._rate)
        for task in reports:
            task.cancel()

    def arrived_between(self, begin: float, end: float) -> list[_Caller]:
        """Returns the callers that arrived in a period."""
        return [c for c in self.callers if begin <= c.arrived_at < end]

    async def _report(self, server: server_registry.Server) -> None:
        """Reports the load of a server, as the agent beside it does."""
        while True:
            load_report = self.servers.report(server.id)
            for state in self._states:
                state.server_loads.record_report(server.id, load_report,
                                                 self._clock.monotonic())
            await asyncio.sleep(_REPORT_INTERVAL_S *
                                self._rng.uniform(0.9, 1.1))

    async def _call(self, caller: _Caller, start: float) -> None:
        self.callers.append(caller)
        deadline = start + caller.arrived_at + _CALLER_TIMEOUT_S
        response = await self._send_request(deadline)
        if response.failure is not None:
            left_s = deadline - self._clock.monotonic()
            retry_after_s = response.failure.retry_after_s or _RETRY_DELAY_S
            await asyncio.sleep(min(retry_after_s, left_s / 3))
            response = await self._send_request(deadline)
        caller.is_served = response.is_complete
        if response.first_at is not None:
            caller.first_at = response.first_at - start

    async def _send_request(self,
                            deadline: float) -> forwarding.RecordingResponse:
        now = self._clock.monotonic()
        response = forwarding.RecordingResponse()
        request = forwarding.make_request(received_at=now,
                                          timeout_s=deadline -
                                          now if self._sends_timeout else None)
        served = asyncio.create_task(
            self._rng.choice(self._forwarders).serve(request, response))
        await asyncio.wait([served], timeout=_EVENT_TIMEOUT_S)
        if not response.is_started:
            served.cancel()
        await asyncio.wait([served])
        return response


@given('{servers:d} servers and {hosts:d} entry hosts with {rate:d} streams '
       'per second')
def step_simulation(context: Any, servers: int, hosts: int, rate: int) -> None:
    context.simulation, context.no_timeout_simulation = (_Simulation(
        servers=servers,
        hosts=hosts,
        rate=rate,
        pace=busy_servers.ServerProfile(),
        sends_timeout=sends_timeout) for sends_timeout in (True, False))


@given('{servers:d} servers with {slots:d} slots and {hosts:d} entry hosts '
       'with {rate:d} streams per second')
def step_slots_simulation(context: Any, servers: int, slots: int, hosts: int,
                          rate: int) -> None:
    pace = busy_servers.ServerProfile(slots=slots,
                                      queue_size=2 * slots,
                                      base_interval_s=0.04,
                                      interval_per_request_s=0.007,
                                      events_per_response=23)
    loose_route = dataclasses.replace(forwarding.ROUTE,
                                      target_s=_LOOSE_TARGET_S)
    context.simulation, context.unlimited_simulation = (_Simulation(
        servers=servers,
        hosts=hosts,
        rate=rate,
        pace=pace,
        sends_timeout=True,
        route=route) for route in (forwarding.ROUTE, loose_route))


@when('callers arrive at that rate')
def step_steady(context: Any) -> None:
    virtual_time.run(context.simulation.run(1, 1))


@when('more callers arrive than can be served')
def step_overload(context: Any) -> None:
    for simulation in (context.simulation, context.unlimited_simulation):
        virtual_time.run(simulation.run(1, 1))


def _arrived_in_both(context: Any, begin: int,
                     end: int) -> tuple[list[_Caller], ...]:
    """Returns the callers of a period, with and without admission control."""
    return tuple(
        simulation.arrived_between(begin, end)
        for simulation in (context.simulation, context.unlimited_simulation))


@then('1.5 times as many callers of second {begin:d} to {end:d} meet the '
      'target as without admission control')
def step_more_meet_target(context: Any, begin: int, end: int) -> None:
    on_time, unlimited_on_time = (
        sum(c.meets_target
            for c in found)
        for found in _arrived_in_both(context, begin, end))
    assert on_time >= 1.5 * unlimited_on_time, (on_time, unlimited_on_time)


@then('no fewer callers of second {begin:d} to {end:d} are served than '
      'without admission control')
def step_no_fewer_served(context: Any, begin: int, end: int) -> None:
    served, unlimited_served = (
        sum(c.is_served
            for c in found)
        for found in _arrived_in_both(context, begin, end))
    assert served >= unlimited_served, (served, unlimited_served)


@when('all servers are down from second {closed_at:d} to {open_at:d} and '
      'callers retry once')
def step_outage(context: Any, closed_at: int, open_at: int) -> None:
    for simulation in (context.simulation, context.no_timeout_simulation):
        virtual_time.run(simulation.run(closed_at, open_at))


@then('over {percent:d}% of the callers of second {begin:d} to {end:d} meet '
      'the target')
def step_meet_target(context: Any, begin: int, end: int, percent: int) -> None:
    found = context.simulation.arrived_between(begin, end)
    on_time = sum(c.meets_target for c in found)
    assert on_time > len(found) * percent / 100, (on_time, len(found))


@then('a fifth fewer callers of second {begin:d} to {end:d} miss the target '
      'than if no caller sent its timeout')
def step_fewer_late(context: Any, begin: int, end: int) -> None:
    late_count, no_timeout_late = (
        sum(not c.meets_target
            for c in simulation.arrived_between(begin, end))
        for simulation in (context.simulation, context.no_timeout_simulation))
    assert no_timeout_late > 0
    assert late_count <= no_timeout_late * 0.8, (late_count, no_timeout_late)


@then('no request waited over {limit:d} ms before it was sent to a server')
def step_waited(context: Any, limit: int) -> None:
    longest_s = context.simulation.servers.longest_wait_s
    assert 0 < longest_s * 1000 <= limit + 1, longest_s


@then('the share of served callers is at most {percent:d} percentage points '
      'lower than if no caller sent its timeout')
def step_served(context: Any, percent: int) -> None:
    served, no_timeout_served = (
        sum(c.is_served
            for c in simulation.callers) / len(simulation.callers)
        for simulation in (context.simulation, context.no_timeout_simulation))
    assert served >= no_timeout_served - percent / 100, (served,
                                                         no_timeout_served)


@given('an estimator that saw a timeout of {timeout_s:g} s on a route with a '
       'timeout of {timeout:f} s')
def step_known_timeout(context: Any, timeout: float, timeout_s: float) -> None:
    context.route = dataclasses.replace(forwarding.ROUTE, timeout_s=timeout)
    context.estimator = caller_wait.CallerWaitEstimator()
    context.estimator.waited_s(context.route, timeout_s)


@then('a request that sends {timeout_s:g} s has missed a target of 403 ms: '
      '{missed}')
def step_missed(context: Any, timeout_s: float, missed: str) -> None:
    found = context.estimator.has_missed_target(context.route, timeout_s)
    assert str(found) == missed, found
