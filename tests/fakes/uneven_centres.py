"""Emulates data centres with uneven demand, their hosts and model servers."""

import collections
import dataclasses
import random
from collections.abc import Callable

from pollenthread.app import entry_liveness, host_registry, rate_permits
from pollenthread.app.routing import spill_planner, usable_servers
from pollenthread.core import (host_record, load_audience, peer_messages,
                               server_load, server_registry, service_estimate,
                               spreading)
from tests.fakes import forwarding, memory

__all__ = ['UnevenCentres']

_SERVICE = 'llm'
_STEP_S = 0.02
_HEARTBEAT_S = 0.4
_PASS_S = 0.06
_PASSES = 26.5
_REQUEST_S = _PASS_S * _PASSES
_WATCHERS = 2
_REQUIREMENTS = service_estimate.RequestRequirements(time_left_s=8.0,
                                                     max_gap_s=0.12,
                                                     passes=_PASSES)


@dataclasses.dataclass
class _Request:
    """A request and when its server began to run it."""

    host: '_Host'
    arrived_at: float
    data_centre: str
    server: server_registry.Server
    started_at: float | None = None


@dataclasses.dataclass
class _Server:
    listed: server_registry.Server
    reports_at: float
    running: list[_Request] = dataclasses.field(default_factory=list)
    queue: collections.deque[_Request] = dataclasses.field(
        default_factory=collections.deque)


class _Host:
    """One entry host, with its planner."""

    def __init__(self, record: host_record.HostRecord,
                 hosts: host_registry.HostRegistry, time: memory.MemoryClock,
                 seed: int) -> None:
        self.record = record
        self.state = forwarding.make_state(data_centre=record.data_centre,
                                           seed=seed)
        self.state.config = forwarding.CONFIG
        self.arrivals = spreading.ArrivalRate()
        log = memory.NullEventLog()
        self.liveness = entry_liveness.EntryLiveness(own=record,
                                                     hosts=hosts,
                                                     state=self.state,
                                                     time=time,
                                                     log=log)
        self.planner = spill_planner.SpillPlanner(
            own=record,
            state=self.state,
            usable=usable_servers.UsableServers(
                state=self.state,
                permits=rate_permits.LocalRatePermits(state=self.state,
                                                      time=time,
                                                      log=log),
                time=time),
            hosts=hosts,
            liveness=self.liveness,
            own_demand=self.demand,
            region_by_data_centre=dict.fromkeys('abc', 'r'),
            time=time,
            log=log)

    def demand(self, now: float) -> tuple[peer_messages.ServiceDemand, ...]:
        """Returns the demand at this host."""
        return (peer_messages.ServiceDemand(_SERVICE, (0,),
                                            (self.arrivals.per_s(now),)),)


class UnevenCentres:
    """Three data centres whose callers arrive at rates that change.

    Attributes:
        requests: all requests so far.
    """

    def __init__(self, *, servers: int, hosts: int, load: Callable[[str, float],
                                                                   float],
                 report_interval_s: float) -> None:
        """Creates idle data centres.

        Args:
            servers: model servers in each data centre.
            hosts: entry hosts in each data centre.
            load: returns the arrivals at a data centre at a time, as a share of
                what its slots serve.
            report_interval_s: the time between two reports of a server.
        """
        self.requests: list[_Request] = []
        self._load = load
        self._interval_s = report_interval_s
        self._rng = random.Random(1)
        self._clock = memory.MemoryClock()
        self._per_s = servers * forwarding.ENGINE_PROFILE.slots / _REQUEST_S
        registry = host_registry.HostRegistry()
        self._hosts = []
        for number in range(3 * hosts):
            record = host_record.HostRecord(host=f'h{number}',
                                            role=host_record.Role.ENTRY,
                                            data_centre='abc'[number % 3],
                                            peer_address=f'h{number}',
                                            service='')
            registry.put(record)
            self._hosts.append(_Host(record, registry, self._clock, number))
        self._server_by_id = {}
        for number in range(3 * servers):
            listed = dataclasses.replace(forwarding.make_server(f's{number}'),
                                         data_centre='abc'[number % 3])
            self._server_by_id[listed.id] = _Server(
                listed, self._rng.uniform(0, report_interval_s))
            for host in self._hosts:
                host.state.server_registry.put(listed)
        counts = dict.fromkeys('abc', servers)
        self._audience_by_data_centre = {
            name: [
                host
                for host in self._hosts
                if name in load_audience.followed_data_centres(
                    host.record.data_centre, counts)
            ] for name in 'abc'
        }

    def run(self, seconds: float) -> None:
        """Runs for a time."""
        start = self._clock.monotonic()
        beats_at = start
        while (now := self._clock.monotonic()) < start + seconds:
            for server in self._server_by_id.values():
                self._serve(server, now)
                self._report(server, now)
            if now >= beats_at:
                beats_at += _HEARTBEAT_S
                self._beat(now)
            for name in 'abc':
                self._arrive(name, now - start, now)
            self._clock.now += _STEP_S

    def _serve(self, server: _Server, now: float) -> None:
        for request in list(server.running):
            assert request.started_at is not None
            if now >= request.started_at + _REQUEST_S:
                server.running.remove(request)
                request.host.state.server_loads.record_end(server.listed.id)
        while server.queue and len(server.running) < server.listed.slots:
            request = server.queue.popleft()
            request.started_at = now
            server.running.append(request)

    def _report(self, server: _Server, now: float) -> None:
        if now < server.reports_at:
            return
        server.reports_at = now + self._interval_s
        for host in self._audience_by_data_centre[server.listed.data_centre]:
            host.state.server_loads.record_report(
                server.listed.id,
                server_load.ServerLoadReport(running=len(server.running),
                                             waiting=len(server.queue),
                                             slots=server.listed.slots,
                                             group='g',
                                             pass_s=_PASS_S), now)

    def _beat(self, now: float) -> None:
        """Lets all hosts plan and exchange heartbeats."""
        heard_by_centre = collections.Counter[str]()
        for sender in self._hosts:
            centre = sender.record.data_centre
            heard_by_centre[centre] += 1
            heartbeat = peer_messages.EntryBeat(host=sender.record.host,
                                                is_ready=True,
                                                is_leaving=False,
                                                config_version=1,
                                                store_age_ms=0,
                                                demand=sender.demand(now))
            for host in self._hosts:
                if host is not sender and (host.record.data_centre == centre or
                                           heard_by_centre[centre]
                                           <= _WATCHERS):
                    host.liveness.record_heartbeat(heartbeat)
        for host in self._hosts:
            host.planner.update()

    def _arrive(self, name: str, elapsed_s: float, now: float) -> None:
        hosts = [h for h in self._hosts if h.record.data_centre == name]
        rate = self._load(name, elapsed_s) * self._per_s
        gap_s = self._rng.expovariate(rate)
        while gap_s < _STEP_S:
            gap_s += self._rng.expovariate(rate)
            host = self._rng.choice(hosts)
            host.arrivals.record_request(now)
            self._send(host, name, now)

    def _send(self, host: _Host, name: str, now: float) -> None:
        listed = host.state.server_loads.select(
            host.state.server_registry.ready(_SERVICE),
            excluded=(),
            data_centre=name,
            requirements=_REQUIREMENTS,
            hosts=len(self._hosts),
            now=now)
        if listed is None:
            return
        host.state.server_loads.record_start(listed.id, now)
        request = _Request(host, now, name, listed)
        self.requests.append(request)
        self._server_by_id[listed.id].queue.append(request)

    def moved(self, sender: str, receiver: str) -> int:
        """Returns how many requests of one data centre another has served."""
        return sum(r.data_centre == sender and r.server.data_centre == receiver
                   for r in self.requests)

    def late_share(self) -> float:
        """Returns the share of requests that waited over 0.2 s for a slot."""
        late = sum(r.started_at is None or r.started_at - r.arrived_at > 0.2
                   for r in self.requests)
        return late / len(self.requests)
