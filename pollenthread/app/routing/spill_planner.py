"""Derives how much work this host moves to other data centres.

What is known: the arrivals at the hosts whose heartbeats are heard, and the
load of the servers that report. Hosts that are not heard are taken to have as
many callers as the others of their data centre, and data centres without
reports as much room for each slot as the reported ones.
"""

import dataclasses
from collections.abc import Callable, Iterable, Mapping, Sequence

from pollenthread.app import entry_liveness, host_registry, serving_state
from pollenthread.app.routing import usable_servers
from pollenthread.core import (host_record, log_events, peer_messages,
                               routing_config)
from pollenthread.core.routing import spill
from pollenthread.ports import clock, event_log

__all__ = ['SpillPlanner']

_UPDATE_INTERVAL_S = 0.4
# The mean age of what an agent reports: half of the interval of its polls.
_REPORT_DELAY_S = 0.07


@dataclasses.dataclass(slots=True)
class _HeardArrivals:
    """The arrivals of a data centre's hosts that are heard."""

    hosts: int = 0
    per_s: float = 0.0


class SpillPlanner:
    """Plans which share of the requests to a service is moved, and where to."""

    def __init__(self, *, own: host_record.HostRecord,
                 state: serving_state.ServingState,
                 usable: usable_servers.UsableServers,
                 hosts: host_registry.HostRegistry,
                 liveness: entry_liveness.EntryLiveness,
                 own_demand: Callable[[float],
                                      Iterable[peer_messages.ServiceDemand]],
                 region_by_data_centre: Mapping[str, str], time: clock.Clock,
                 log: event_log.EventLog) -> None:
        """Initializes a planner that moves nothing.

        Args:
            own: the record of this host.
            state: the state of this host.
            usable: the servers that may be used.
            hosts: the hosts of the deployment.
            liveness: the heartbeats of other hosts.
            own_demand: returns the demand at this host at a time.
            region_by_data_centre: the region of each data centre; work is
                planned to move within the region only.
            time: the clock.
            log: receives a line for each change.
        """
        self._own = own
        self._state = state
        self._usable = usable
        self._hosts = hosts
        self._liveness = liveness
        self._own_demand = own_demand
        self._region_by_data_centre = region_by_data_centre
        self._clock = time
        self._log = log
        self._shares_by_service: dict[str, spill.SpillShares] = {}

    async def run(self) -> None:
        """Updates the shares until cancelled."""
        while True:
            await self._clock.sleep(_UPDATE_INTERVAL_S)
            self.update()

    def update(self) -> None:
        """Updates the shares of all services with a model engine."""
        config = self._state.config
        if config is None or len(self._region_data_centres()) < 2:
            return
        for name, service in config.services_by_name.items():
            if service.engine is not None:
                self._update_service(name, service.engine,
                                     _max_gap_s(config, name))

    def _update_service(self, service: str,
                        engine: routing_config.EngineProfile,
                        max_gap_s: float) -> None:
        rooms = self._rooms(service, engine, max_gap_s)
        moves = spill.plan_moves(rooms)
        shares = self._shares_by_service.setdefault(service,
                                                    spill.SpillShares())
        has_changed = shares.update(moves.get(self._own.data_centre, {}))
        self._state.server_loads.set_spill_plan(
            service,
            spill.SpillPlan(
                share_by_data_centre=shares.share_by_data_centre,
                full_data_centres=frozenset(moves.keys() -
                                            {self._own.data_centre}),
                is_receiver=any(self._own.data_centre in received
                                for received in moves.values())))
        if not has_changed:
            return
        self._log.write(
            log_events.LogEvent.SPILL_CHANGED,
            important=False,
            service=service,
            shares={
                name: round(share, 3)
                for name, share in shares.share_by_data_centre.items()
            },
            slots={room.data_centre: round(room.slots, 1) for room in rooms},
            demand={room.data_centre: round(room.demand, 1) for room in rooms})

    def _rooms(self, service: str, engine: routing_config.EngineProfile,
               max_gap_s: float) -> Sequence[spill.DataCentreRoom]:
        """Returns the room and the demand of the region's data centres."""
        now = self._clock.monotonic()
        loads = self._state.server_loads
        servers = self._usable.accepting(service)
        passes = engine.mean_output_tokens / engine.steps_per_pass
        forecast = loads.forecast(servers,
                                  passes=passes,
                                  max_gap_s=max_gap_s,
                                  engine=engine,
                                  now=now)
        if not forecast.known_share:
            return ()
        listed_slots = sum(server.slots for server in servers)
        request_s = passes * loads.mean_pass_s(servers, now)
        # Slots that have been taken since the reports look free.
        blind_s = forecast.age_s + _REPORT_DELAY_S
        slot_share = (forecast.slots / (forecast.known_share * listed_slots) /
                      (1 + blind_s / request_s))
        slots_by_data_centre = dict.fromkeys(self._region_data_centres(), 0.0)
        for server in servers:
            if server.data_centre in slots_by_data_centre:
                slots_by_data_centre[server.data_centre] += server.slots
        return tuple(
            spill.DataCentreRoom(
                data_centre, slots * slot_share,
                self._arrivals_per_s(service, data_centre, now) * request_s)
            for data_centre, slots in slots_by_data_centre.items())

    def _region_data_centres(self) -> list[str]:
        own_region = self._region_by_data_centre.get(self._own.data_centre)
        return sorted(
            data_centre
            for data_centre, region in self._region_by_data_centre.items()
            if region == own_region)

    def _arrivals_per_s(self, service: str, data_centre: str,
                        now: float) -> float:
        """Returns the arrivals at all hosts of a data centre."""
        heard = _HeardArrivals()
        if data_centre == self._own.data_centre:
            _add(heard, self._own_demand(now), service)
        hosts = 0
        for record in self._hosts.with_role(host_record.Role.ENTRY):
            if record.data_centre != data_centre:
                continue
            hosts += 1
            heartbeat = self._liveness.heartbeat_of(record.host)
            if heartbeat is not None and record.host != self._own.host:
                _add(heard, heartbeat.demand, service)
        return heard.per_s * max(1, hosts) / heard.hosts if heard.hosts else 0.0


def _add(heard: _HeardArrivals, demands: Iterable[peer_messages.ServiceDemand],
         service: str) -> None:
    heard.hosts += 1
    heard.per_s += sum(
        sum(demand.arrivals_per_s)
        for demand in demands
        if demand.service == service)


def _max_gap_s(config: routing_config.RoutingConfig, service: str) -> float:
    """Returns the smallest allowed gap of a service's routes; 0 if unlimited.
    """
    return min((route.max_gap_s
                for routes in config.routes_by_host.values()
                for route in routes
                if route.max_gap_s and service in (share.service
                                                   for share in route.shares)),
               default=0.0)
