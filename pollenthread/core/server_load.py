"""Selects the server for a request by the load of all servers.

What is known of the load is in `routing.known_loads`; the module `spreading`
distributes the requests of all hosts between two reports.
"""

from collections.abc import Collection, Iterable, Sequence

from pollenthread.core import (routing_config, server_registry,
                               service_estimate, spreading)
from pollenthread.core.routing import (data_centre_choice, known_loads,
                                       long_prompts, room_estimation,
                                       room_forecast, spill, tracked_load,
                                       work_estimate)

__all__ = ['ServerLoadTracker', 'ServerLoadReport']

ServerLoadReport = tracked_load.ServerLoadReport
# Penalty for a server whose reports are overdue or whose group is stalled.
_UNRESPONSIVE_PENALTY_S = 20.0
# A request that has to queue moves to another data centre only if this many
# fewer requests are there.
_MOVE_QUEUE_REQUESTS = 1.0
# Extra weight of a request sent by this host, which is already counted in the
# load. Other hosts also have requests there that the next report will show.
_OWN_REQUEST_WEIGHT = 0.5
# Requests more that a server may have and still be preferred, so that short
# requests and long prompts do not meet.
_APART_LOAD = 3.0
# Time for which all hosts select servers from the same report.
_REPORT_INTERVAL_S = 0.3
# Largest share of all slots that requests may fill between two reports.
_MAX_TURNOVER = 0.12
# Weight of a queued request in addition to its wait. A queued request always
# delays the next one, while a running request only slows the others down.
_QUEUED_REQUEST_WEIGHT = 2.0


class ServerLoadTracker(known_loads.KnownLoads):
    """Tracks the load of all servers, and selects servers by it."""

    def __init__(self, *, rng: spreading.RandomSource) -> None:
        super().__init__(rng=rng)
        self._rate_by_service: dict[str, spreading.ArrivalRate] = {}
        self._service_by_id: dict[str, str] = {}
        self._long_prompts_by_service: dict[
            str, long_prompts.LongPromptPlacement] = {}
        self._data_centres = data_centre_choice.DataCentreChoice(loads=self,
                                                                 rng=rng)

    def remove(self, server_id: str) -> None:
        super().remove(server_id)
        self._service_by_id.pop(server_id, None)

    def record_start(
        self,
        server_id: str,
        now: float,
        work: work_estimate.WorkEstimate = work_estimate.WorkEstimate(0.0)
    ) -> None:
        super().record_start(server_id, now, work)
        service = self._service_by_id.get(server_id)
        if service is not None:
            self._service_rate(service).record_request(now)

    def _service_rate(self, service: str) -> spreading.ArrivalRate:
        """Returns the rate at which this host sends requests to a service."""
        return self._rate_by_service.setdefault(service,
                                                spreading.ArrivalRate())

    def set_spill_plan(self, service: str, plan: spill.SpillPlan) -> None:
        """Sets which requests to a service go to other data centres."""
        self._data_centres.set_plan(service, plan)

    def select(self, servers: Iterable[server_registry.Server], *,
               excluded: Collection[str], data_centre: str,
               requirements: service_estimate.RequestRequirements, hosts: int,
               now: float) -> server_registry.Server | None:
        """Selects a server for a request.

        Args:
            servers: the candidates.
            excluded: ids of servers that must not be used.
            data_centre: the data centre of this host. The request stays there
                if it is served in time, but for the share that is moved.
            requirements: the requirements of the request.
            hosts: number of entry hosts that use these servers.
            now: monotonic seconds.

        Returns:
            The selected server, or None if no candidate can start the request
            in time.
        """
        all_servers = tuple(servers)
        usable = [
            s for s in all_servers
            if s.id not in excluded and self.get(s.id).is_accepting(now)
        ]
        not_paused = [s for s in usable if self.get(s.id).paused_until <= now]
        candidates: Sequence[server_registry.Server] = [
            s for s in not_paused or usable
            if self._can_serve(s, requirements, now)
        ]
        if not candidates:
            return None
        candidates = self._with_memory(candidates, requirements) or candidates
        service_rate = self._service_rate(candidates[0].service)
        candidates = self._data_centres.narrow(
            candidates,
            listed=all_servers,
            own=data_centre,
            requirements=requirements,
            arrivals=service_rate.per_s(now) * hosts * _REPORT_INTERVAL_S,
            now=now)
        # Without reports of its agent, the load of a server is not known.
        candidates = self.reported(candidates, now) or candidates
        sharing_hosts = hosts * self._sharing_share(all_servers, candidates,
                                                    now)
        loads = self._keep_long_prompts_apart(candidates, [
            self._effective_load(s, data_centre, requirements, now)
            for s in candidates
        ], requirements, now)
        # Outside bursts, requests arrive as fast as slots become free.
        total_slots = sum(s.slots for s in candidates)
        arrivals = min(
            total_slots * _MAX_TURNOVER,
            self._rate.per_s(now) * sharing_hosts * _REPORT_INTERVAL_S)
        parts = spreading.water_fill(loads, max(1.0, arrivals))
        selected = candidates[spreading.pick_weighted(parts, self._rng)]
        self._service_by_id[selected.id] = selected.service
        return selected

    def forecast(self, servers: Iterable[server_registry.Server], *,
                 passes: float, max_gap_s: float,
                 engine: routing_config.EngineProfile | None,
                 now: float) -> room_forecast.RoomForecast:
        """Returns the room of some servers for further requests.

        Servers without a recent report count as unknown.

        Args:
            servers: the servers.
            passes: passes that a response is expected to take; 0 if it is
                short.
            max_gap_s: longest allowed time between events, in seconds; 0 if
                unlimited.
            engine: the profile of their engine, or None.
            now: monotonic seconds.
        """
        return room_estimation.forecast(self,
                                        servers,
                                        passes=passes,
                                        max_gap_s=max_gap_s,
                                        engine=engine,
                                        now=now)

    def mean_pass_s(self, servers: Sequence[server_registry.Server],
                    now: float) -> float:
        """Returns the mean duration of a pass of some servers in seconds."""
        return room_estimation.mean_pass_s(self, servers, now)

    def _keep_long_prompts_apart(
            self, servers: Sequence[server_registry.Server],
            loads: Sequence[float],
            requirements: service_estimate.RequestRequirements,
            now: float) -> Sequence[float]:
        """Adds load where the request and long prompts would meet."""
        is_long = long_prompts.is_long_prompt(requirements.prompt_s,
                                              requirements.max_gap_s)
        placement = self._long_prompts_by_service.setdefault(
            servers[0].service, long_prompts.LongPromptPlacement())
        placement.record(requirements.passes, is_long=is_long, now=now)
        units = [self.get(s.id).group or s.id for s in servers]
        preferred = placement.preferred(frozenset(units))
        if not preferred:
            return loads
        return [
            load + _APART_LOAD * ((unit in preferred) != is_long)
            for unit, load in zip(units, loads)
        ]

    def _sharing_share(self, servers: Sequence[server_registry.Server],
                       candidates: Sequence[server_registry.Server],
                       now: float) -> float:
        """Returns the share of all hosts that send requests to the candidates.

        A data centre that serves its own callers is not shared with others.
        """
        data_centres = {s.data_centre for s in candidates}
        near = sum(s.data_centre in data_centres for s in servers)
        return min(near / len(servers), self.reported_share(servers, now))

    def free_slots(self, servers: Iterable[server_registry.Server], *,
                   reserved_share: float, now: float) -> float:
        """Returns the total of free slots beyond the reserved share.

        Servers whose group accepts no requests are not counted. If the load of
        a part of the servers is known, the total of all is extrapolated.
        """
        all_servers = tuple(servers)
        known = self.reported(all_servers, now) or all_servers
        return sum(
            service_estimate.free_slots(self.estimate(s, now), reserved_share)
            for s in known
            if self.get(s.id).is_accepting(now)) / self.reported_share(
                all_servers, now)

    def _with_memory(
        self, servers: Sequence[server_registry.Server],
        requirements: service_estimate.RequestRequirements
    ) -> list[server_registry.Server]:
        """Returns the servers with memory for the request.

        Elsewhere it would displace another one, whose prompt is read again.
        """
        return [
            s for s in servers
            if self.get(s.id).kv_free_tokens >= requirements.kv_tokens
        ]

    def _can_serve(self, server: server_registry.Server,
                   requirements: service_estimate.RequestRequirements,
                   now: float) -> bool:
        estimate = self.estimate(server, now)
        return (
            service_estimate.keeps_reserved_slots(requirements, estimate) and
            not service_estimate.cannot_start_in_time(requirements, estimate)
            and
            not service_estimate.cannot_end_in_time(requirements, estimate) and
            not service_estimate.misses_first_event_target(
                requirements, estimate))

    def _effective_load(self, server: server_registry.Server, data_centre: str,
                        requirements: service_estimate.RequestRequirements,
                        now: float) -> float:
        """Returns the load plus all penalties, expressed as load.

        A healthy server in this data centre with this load is an equally good
        choice.
        """
        estimate = self.estimate(server, now)
        penalty_s = service_estimate.penalty_s(requirements, estimate)
        if self.is_unresponsive(server.id, now):
            penalty_s += _UNRESPONSIVE_PENALTY_S
        load = estimate.load + _OWN_REQUEST_WEIGHT * self.own_requests(
            server.id)
        load += _QUEUED_REQUEST_WEIGHT * max(0.0,
                                             estimate.load - estimate.slots + 1)
        load += penalty_s / service_estimate.cost_per_request_s(
            requirements, estimate)
        load += self.get(server.id).slowness * estimate.slots
        if server.data_centre != data_centre:
            load += _MOVE_QUEUE_REQUESTS
        return load
