"""Plays callers of several routes against entry hosts and busy servers.

Everything runs in virtual time. Hosts exchange heartbeats within their data
centre and hear the load of its servers and of those of the next one.
"""

import asyncio
import collections
import dataclasses
import random
from collections.abc import Callable, Iterable, Mapping, Sequence

from pollenthread.app import forwarder, serving_state
from pollenthread.core import (peer_messages, routing_config, server_registry)
from tests.fakes import busy_servers, forwarding, virtual_time

__all__ = ['BusyFleet', 'Caller', 'CallerGroup', 'FleetShape', 'make_route']

_CALLER_TIMEOUT_S = 8.05
_RETRY_DELAY_S = 0.3
_DATA_CENTRES = ('a', 'b', 'c')
_HEARTBEAT_INTERVAL_S = 0.4


@dataclasses.dataclass(frozen=True)
class FleetShape:
    """The size of the fleet and the age of its news.

    With one host, it hears all servers.
    """

    servers: int = 63
    hosts: int = 32
    min_report_s: float = 0.2
    max_report_s: float = 0.3
    pace: busy_servers.ServerProfile = busy_servers.ServerProfile(
        slots=5,
        queue_size=10,
        first_event_s=0.08,
        base_interval_s=0.04,
        interval_per_request_s=0.004,
        events_per_response=23)


@dataclasses.dataclass(frozen=True)
class CallerGroup:
    """Callers of one route who arrive at random.

    Attributes:
        route: the name of their route.
        per_s: their arrivals per second.
        begin_s: when they begin to arrive.
        end_s: when they cease to arrive.
        api_key: the key that they send.
        retries: how often they repeat a refused request.
        repeats_at_once: whether they do so without the delay they are told.
    """

    route: str
    per_s: float
    begin_s: float = 0.0
    end_s: float = 10.0
    api_key: str | None = None
    retries: int = 1
    repeats_at_once: bool = False


@dataclasses.dataclass
class Caller:
    """One caller and what became of it."""

    group: CallerGroup
    arrived_at: float
    is_in_time: bool = False
    is_served: bool = False
    refusals: int = 0


def make_route(name: str, priority: int,
               target_s: float) -> routing_config.Route:
    """Returns a route of streams to the emulated servers."""
    return dataclasses.replace(forwarding.ROUTE,
                               name=name,
                               path_prefix=f'/{name}/',
                               priority=priority,
                               target_s=target_s)


class BusyFleet:
    """Entry hosts, servers and callers.

    Attributes:
        servers: the emulated servers.
        callers: the callers so far.
        states: the states of the entry hosts.
    """

    def __init__(self,
                 *,
                 routes: Iterable[routing_config.Route],
                 shape: FleetShape = FleetShape(),
                 workspace_by_key: Mapping[str, str] | None = None) -> None:
        self.callers: list[Caller] = []
        self._shape = shape
        self._rng = random.Random(7)
        self._clock = virtual_time.LoopClock()
        self._routes = tuple(routes)
        self._workspace_by_key = workspace_by_key
        self._server_list = [
            dataclasses.replace(forwarding.make_server(f's{i}',
                                                       slots=shape.pace.slots),
                                data_centre=_DATA_CENTRES[i % 3])
            for i in range(shape.servers)
        ]
        self.servers = busy_servers.BusyServers(servers=self._server_list,
                                                profile=shape.pace)
        self.states = [self._make_state(i) for i in range(shape.hosts)]
        self.set_config(self._routes, version=1)
        self._forwarders: list[forwarder.Forwarder] = [
            forwarding.make_forwarder(state=state,
                                      upstream_client=self.servers,
                                      time=self._clock) for state in self.states
        ]
        self._deaf_hosts: set[int] = set()

    def _make_state(self, index: int) -> serving_state.ServingState:
        state = forwarding.make_state(
            data_centre=_DATA_CENTRES[index % self._shape.hosts % 3],
            seed=index)
        state.entry_host_count = self._shape.hosts
        state.host = f'h{index % self._shape.hosts}'
        state.near_hosts = tuple(
            f'h{other}' for other in range(self._shape.hosts)
            if other % 3 == index % 3 and f'h{other}' != state.host)
        for server in self._server_list:
            state.server_registry.put(server)
        return state

    def set_config(self, routes: Sequence[routing_config.Route],
                   version: int) -> None:
        """Puts a configuration in force at all hosts."""
        workspaces = None
        if self._workspace_by_key is not None:
            workspaces = {
                key: routing_config.KeyWorkspace(name, None)
                for key, name in self._workspace_by_key.items()
            }
        pace = self._shape.pace
        steps = forwarding.ENGINE_PROFILE.steps_per_pass
        engine = dataclasses.replace(
            forwarding.ENGINE_PROFILE,
            slots=pace.slots,
            base_step_s=pace.base_interval_s / steps,
            step_s_per_sequence=pace.interval_per_request_s / steps,
            mean_output_tokens=pace.events_per_response * steps)
        service = dataclasses.replace(forwarding.CONFIG.services_by_name['llm'],
                                      engine=engine)
        config = dataclasses.replace(forwarding.CONFIG,
                                     services_by_name={'llm': service},
                                     version=version,
                                     routes_by_host={'h': tuple(routes)},
                                     workspaces_by_api_key=workspaces)
        for state in self.states:
            state.config = config

    def silence_reports(self, host: int) -> None:
        """Lets a host hear no load reports and no heartbeats."""
        self._deaf_hosts.add(host)

    def restart_host(self, host: int) -> None:
        """Replaces a host by one that knows nothing but its configuration.

        Its requests go on; the callers of waiting ones are not told.
        """
        config = self.states[host].config
        self.states[host] = self._make_state(host + self._shape.hosts)
        self.states[host].config = config
        self._forwarders[host] = forwarding.make_forwarder(
            state=self.states[host],
            upstream_client=self.servers,
            time=self._clock)

    async def run(
            self,
            groups: Iterable[CallerGroup],
            events: Mapping[float, Callable[[], object]] | None = None) -> None:
        """Plays all callers to their end.

        Args:
            groups: the callers.
            events: functions without arguments that are called at a second.
        """
        loop = asyncio.get_running_loop()
        start = loop.time()
        for at, event in (events or {}).items():
            loop.call_at(start + at, event)
        news = [
            asyncio.create_task(self._report(server))
            for server in self._server_list
        ]
        news.append(asyncio.create_task(self._send_heartbeats()))
        async with asyncio.TaskGroup() as tasks:
            for group in groups:
                tasks.create_task(self._arrive(group, start, tasks))
        for task in news:
            task.cancel()

    async def _arrive(self, group: CallerGroup, start: float,
                      tasks: asyncio.TaskGroup) -> None:
        at = group.begin_s + self._rng.expovariate(group.per_s)
        while at < group.end_s:
            await asyncio.sleep(start + at - asyncio.get_running_loop().time())
            caller = Caller(group, at)
            self.callers.append(caller)
            tasks.create_task(self._call(caller))
            at += self._rng.expovariate(group.per_s)

    async def _call(self, caller: Caller) -> None:
        began_at = self._clock.monotonic()
        deadline = began_at + _CALLER_TIMEOUT_S
        route = next(r for r in self._routes if r.name == caller.group.route)
        for _ in range(caller.group.retries + 1):
            response = await self._send(caller, route, deadline)
            if response.failure is None:
                break
            caller.refusals += 1
            if not caller.group.repeats_at_once:
                left_s = deadline - self._clock.monotonic()
                pause_s = response.failure.retry_after_s or _RETRY_DELAY_S
                await asyncio.sleep(min(pause_s, left_s / 3))
        caller.is_served = response.is_complete
        caller.is_in_time = (caller.is_served and
                             response.first_at is not None and
                             response.first_at - began_at <= route.target_s)

    async def _send(self, caller: Caller, route: routing_config.Route,
                    deadline: float) -> forwarding.RecordingResponse:
        now = self._clock.monotonic()
        response = forwarding.RecordingResponse()
        request = dataclasses.replace(forwarding.make_request(
            received_at=now, timeout_s=deadline - now),
                                      target=f'{route.path_prefix}x',
                                      api_key=caller.group.api_key)
        host = self._rng.randrange(len(self._forwarders))
        served = asyncio.create_task(self._forwarders[host].serve(
            request, response))
        await asyncio.wait([served], timeout=route.stream_patience_s)
        if not response.is_started:
            served.cancel()
        await asyncio.wait([served])
        return response

    async def _report(self, server: server_registry.Server) -> None:
        """Reports the load of a server, as the agent beside it does."""
        near = _DATA_CENTRES.index(server.data_centre)
        listening = ({server.data_centre, _DATA_CENTRES[near - 1]}
                     if self._shape.hosts > 1 else set(_DATA_CENTRES))
        while True:
            await asyncio.sleep(
                self._rng.uniform(self._shape.min_report_s,
                                  self._shape.max_report_s))
            report = self.servers.report(server.id)
            for index, state in enumerate(self.states):
                if (state.data_centre in listening and
                        index not in self._deaf_hosts):
                    state.server_loads.record_report(server.id, report,
                                                     self._clock.monotonic())

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(_HEARTBEAT_INTERVAL_S)
            now = self._clock.monotonic()
            for sender, state in enumerate(self.states):
                beat = peer_messages.EntryBeat(
                    host=f'h{sender}',
                    is_ready=True,
                    is_leaving=False,
                    config_version=1,
                    store_age_ms=0,
                    servers_changed=0,
                    hosts_changed=0,
                    is_watcher=False,
                    demand=state.demand.own_demand(now))
                for index, other in enumerate(self.states):
                    if (index != sender and
                            other.data_centre == state.data_centre and
                            index not in self._deaf_hosts):
                        other.demand.record_heartbeat(beat, now)

    @property
    def waits(self) -> int:
        """The requests that waited at a host before they were sent."""
        return sum(
            found.counts.get('sent_after_wait', 0)
            for found in self._forwarders)

    def shares(self, attribute: str, begin_s: float,
               end_s: float) -> dict[str, float]:
        """Returns the share of callers with an attribute, by route.

        Args:
            attribute: a boolean attribute of `Caller`.
            begin_s: the earliest arrival.
            end_s: the latest arrival.
        """
        results: dict[str, list[bool]] = collections.defaultdict(list)
        for caller in self.callers:
            if begin_s <= caller.arrived_at < end_s:
                results[caller.group.route].append(getattr(caller, attribute))
        return {route: sum(r) / len(r) for route, r in results.items()}
