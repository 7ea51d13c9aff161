"""Tracks the load of each server and selects the server for a request.

Load reports arrive with a delay. Between two reports each entry host adds the
requests that it has sent since the last one and subtracts those that have
ended, so that slots used by its own requests are not counted as free. The
module `spreading` distributes the requests of all hosts between two reports.
"""

import statistics
from collections.abc import Collection, Iterable, Sequence

from pollenthread.core import (routing_config, server_registry,
                               service_estimate, spreading)
from pollenthread.core.routing import (group_pace, pass_model, room_forecast,
                                       spill, tracked_load)

__all__ = ['ServerLoadTracker', 'ServerLoadReport']

ServerLoadReport = tracked_load.ServerLoadReport
# Upper bound of the report age that is written to the log.
_MAX_LOGGED_AGE_S = 99.0
# Penalty for a server whose reports are overdue or whose group is stalled.
_UNRESPONSIVE_PENALTY_S = 20.0
# A request that has to queue moves to another data centre only if this many
# fewer requests are there.
_MOVE_QUEUE_REQUESTS = 1.0
# Extra weight of a request sent by this host, which is already counted in the
# load. Other hosts also have requests there that the next report will show.
_OWN_REQUEST_WEIGHT = 0.5
# Time for which all hosts select servers from the same report.
_REPORT_INTERVAL_S = 0.3
# Largest share of all slots that requests may fill between two reports.
_MAX_TURNOVER = 0.12
# Weight of a queued request in addition to its wait. A queued request always
# delays the next one, while a running request only slows the others down.
_QUEUED_REQUEST_WEIGHT = 2.0
# Duration of a request whose response is short.
_SHORT_REQUEST_S = 0.1


class ServerLoadTracker:
    """Tracks the load of all servers, by server id."""

    def __init__(self, *, rng: spreading.RandomSource) -> None:
        self._rng = rng
        self._load_by_id: dict[str, tracked_load.TrackedLoad] = {}
        self._rate = spreading.ArrivalRate()
        self._paces = group_pace.GroupPaces()
        self._spill_plan_by_service: dict[str, spill.SpillPlan] = {}

    def _get(self, server_id: str) -> tracked_load.TrackedLoad:
        return self._load_by_id.setdefault(server_id,
                                           tracked_load.TrackedLoad())

    def remove(self, server_id: str) -> None:
        """Removes a server that no longer exists."""
        self._load_by_id.pop(server_id, None)

    def record_restart(self, server_id: str) -> None:
        """Forgets what is known of a server, except for requests under way."""
        self._load_by_id[server_id] = self._get(server_id).after_restart()

    def set_spill_plan(self, service: str, plan: spill.SpillPlan) -> None:
        """Sets which requests to a service go to other data centres."""
        self._spill_plan_by_service[service] = plan

    def record_report(self, server_id: str, report: ServerLoadReport,
                      now: float) -> None:
        """Records a load report of a server."""
        self._get(server_id).record_report(report, now)
        if report.group:
            self._paces.get(report.group).record(
                pass_s=report.pass_s,
                stalled_s=report.stalled_s,
                has_work=report.running > 0,
                accepts_requests=report.accepts_requests,
                now=now)

    def record_request_count(self, server_id: str, requests: int,
                             now: float) -> None:
        """Records the request count that a server sends with a response.

        The count is ignored while a recent report of its agent is available.
        """
        self._get(server_id).record_request_count(requests, now)

    def record_start(self,
                     server_id: str,
                     now: float,
                     kv_tokens: float = 0.0) -> None:
        """Records that this host has sent a request to the server."""
        self._rate.record_request(now)
        self._get(server_id).record_start(kv_tokens)

    def record_end(self, server_id: str) -> None:
        """Records that a request of this host has ended at the server."""
        self._get(server_id).record_end()

    def record_success(self, server_id: str) -> None:
        """Records a response of the server and ends its failure pause."""
        self._get(server_id).record_success()

    def record_failure(self, server_id: str, now: float) -> None:
        """Records a failure and pauses the server with exponential back-off."""
        self._get(server_id).record_failure(now, self._rng.uniform(0.5, 1.0))

    def load(self, server_id: str, now: float) -> float:
        """Returns the estimated number of requests at the server."""
        return self._get(server_id).requests(now)

    def log_fields(self, server: server_registry.Server,
                   now: float) -> dict[str, float]:
        """Returns the load data of a server as fields for a log event."""
        estimate = self._estimate(server, now)
        age_s = now - self._get(server.id).reported_at
        return {
            'load': estimate.load,
            'own': self.own_requests(server.id),
            'pass_s': round(estimate.pass_s, 4),
            'news_age_s': round(min(age_s, _MAX_LOGGED_AGE_S), 3)
        }

    def own_requests(self, server_id: str) -> int:
        """Returns the number of requests of this host at the server."""
        return self._get(server_id).own

    def is_known(self, server_id: str, now: float) -> bool:
        """Returns whether the load of a server was reported recently."""
        return self._get(server_id).is_known(now)

    def is_report_overdue(self, server_id: str, now: float) -> bool:
        """Returns whether the agent of a server has stopped reporting."""
        return self._get(server_id).is_report_overdue(now)

    def stalled_s(self, server_id: str, now: float) -> float:
        """Returns the seconds for which the server's group has made no pass.

        Returns 0 if there is no recent report.
        """
        return self._paces.get(self._get(server_id).group).stalled_s(now)

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
            if s.id not in excluded and self._get(s.id).is_accepting(now)
        ]
        not_paused = [s for s in usable if self._get(s.id).paused_until <= now]
        candidates: Sequence[server_registry.Server] = [
            s for s in not_paused or usable
            if self._can_serve(s, requirements, now)
        ]
        if not candidates:
            return None
        candidates = self._with_memory(candidates, requirements) or candidates
        candidates = self._in_best_data_centre(
            candidates, self._pick_data_centre(candidates, data_centre),
            requirements, hosts, now)
        # Without reports of its agent, the load of a server is not known.
        candidates = self._reported(candidates, now) or candidates
        sharing_hosts = hosts * self._sharing_share(all_servers, candidates,
                                                    now)
        loads = [
            self._effective_load(s, data_centre, requirements, now)
            for s in candidates
        ]
        # Outside bursts, requests arrive as fast as slots become free.
        total_slots = sum(s.slots for s in candidates)
        arrivals = min(total_slots * _MAX_TURNOVER,
                       self._arrivals(sharing_hosts, now))
        parts = spreading.water_fill(loads, max(1.0, arrivals))
        return candidates[spreading.pick_weighted(parts, self._rng)]

    def _pick_data_centre(self, servers: Sequence[server_registry.Server],
                          own: str) -> str:
        """Returns where to serve a request: here, or at random elsewhere."""
        shares = self._spill_plan(servers).share_by_data_centre
        if not shares:
            return own
        point = self._rng.random()
        for data_centre, share in sorted(shares.items()):
            point -= share
            if point < 0:
                return data_centre
        return own

    def _spill_plan(
            self, servers: Sequence[server_registry.Server]) -> spill.SpillPlan:
        return self._spill_plan_by_service.get(servers[0].service,
                                               spill.SpillPlan())

    def _in_best_data_centre(self, servers: Sequence[server_registry.Server],
                             data_centre: str,
                             requirements: service_estimate.RequestRequirements,
                             hosts: int,
                             now: float) -> Sequence[server_registry.Server]:
        """Returns the servers of a data centre, if it serves a request in time.

        If it has too few free slots for the requests that arrive before the
        next reports, that part of them goes to servers of others that are in
        time, and leave a slot to their own callers. If there are none, returns
        all servers but those of data centres that move work away.
        """
        if len({s.data_centre for s in servers}) == 1:
            return servers
        near = [
            s for s in servers if s.data_centre == data_centre and
            self._is_in_time(s, requirements, now, free_slots=1)
        ]
        share = sum(
            s.data_centre == data_centre for s in servers) / len(servers)
        free_slots = sum(s.slots - self.load(s.id, now) for s in near)
        plan = self._spill_plan(servers)
        if near and (plan.is_receiver or free_slots >= self._rng.random() *
                     self._arrivals(hosts * share, now)):
            return near
        closed = plan.full_data_centres | {data_centre}
        others = [s for s in servers if s.data_centre not in closed]
        far = [
            s for s in others
            if self._is_in_time(s, requirements, now, free_slots=2)
        ]
        if self._reported(servers, now):
            far = self._reported(far, now)
        own = [s for s in servers if s.data_centre == data_centre]
        return far or near or own + others or servers

    def _arrivals(self, hosts: float, now: float) -> float:
        """Returns the requests that some hosts send before the next reports."""
        return self._rate.per_s(now) * hosts * _REPORT_INTERVAL_S

    def _is_in_time(self, server: server_registry.Server,
                    requirements: service_estimate.RequestRequirements,
                    now: float, *, free_slots: int) -> bool:
        """Returns whether a request starts at once and keeps its gaps."""
        estimate = self._estimate(server, now)
        return (estimate.load + free_slots <= estimate.slots and
                service_estimate.keeps_gap(requirements, estimate) and
                not self._is_unresponsive(server.id, now))

    def _is_unresponsive(self, server_id: str, now: float) -> bool:
        return (self.is_report_overdue(server_id, now) or
                self.stalled_s(server_id, now) > 0)

    def _sharing_share(self, servers: Sequence[server_registry.Server],
                       candidates: Sequence[server_registry.Server],
                       now: float) -> float:
        """Returns the share of all hosts that send requests to the candidates.

        A data centre that serves its own callers is not shared with others.
        """
        data_centres = {s.data_centre for s in candidates}
        near = sum(s.data_centre in data_centres for s in servers)
        return min(near / len(servers), self._reported_share(servers, now))

    def free_slots(self, servers: Iterable[server_registry.Server], *,
                   reserved_share: float, now: float) -> float:
        """Returns the total of free slots beyond the reserved share.

        Servers whose group accepts no requests are not counted. If the load of
        a part of the servers is known, the total of all is extrapolated.
        """
        all_servers = tuple(servers)
        known = self._reported(all_servers, now) or all_servers
        return sum(
            service_estimate.free_slots(self._estimate(s, now), reserved_share)
            for s in known
            if self._get(s.id).is_accepting(now)) / self._reported_share(
                all_servers, now)

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
        all_servers = tuple(servers)
        known = [s for s in all_servers if self._get(s.id).is_known(now)]
        stretch_by_group = self._stretch_by_group(known, engine)
        rooms = []
        for server in known:
            stretch = stretch_by_group.get(self._get(server.id).group)
            slots = float(server.slots)
            if engine and max_gap_s and stretch:
                slots = pass_model.slots_within_gap(engine,
                                                    slots=server.slots,
                                                    stretch=stretch,
                                                    max_gap_s=max_gap_s)
            rooms.append(self._room(server, slots, passes, now))
        return room_forecast.add_rooms(rooms, len(all_servers))

    def mean_pass_s(self, servers: Sequence[server_registry.Server],
                    now: float) -> float:
        """Returns the mean duration of a pass of some servers in seconds."""
        return statistics.fmean(
            self._estimate(s, now).pass_or_default_s() for s in servers)

    def _stretch_by_group(
            self, servers: Sequence[server_registry.Server],
            engine: routing_config.EngineProfile | None) -> dict[str, float]:
        if engine is None:
            return {}
        running_by_group: dict[str, list[float]] = {}
        for server in servers:
            load = self._get(server.id)
            running_by_group.setdefault(load.group, []).append(load.running)
        return self._paces.stretch_by_group(engine, running_by_group)

    def _room(self, server: server_registry.Server, slots: float, passes: float,
              now: float) -> room_forecast.ServerRoom:
        load = self._get(server.id)
        estimate = self._estimate(server, now)
        request_s = (passes * estimate.pass_or_default_s()
                     if passes else _SHORT_REQUEST_S)
        return room_forecast.ServerRoom(
            slots=slots,
            load=estimate.load,
            frees_per_s=min(estimate.load, server.slots) / request_s,
            is_available=(load.is_accepting(now) and
                          not self.stalled_s(server.id, now)),
            age_s=now - load.reported_at)

    def _reported(self, servers: Sequence[server_registry.Server],
                  now: float) -> list[server_registry.Server]:
        """Returns the servers whose agents have reported recently."""
        loads = ((server, self._get(server.id)) for server in servers)
        return [s for s, load in loads if load.has_agent and load.is_known(now)]

    def _with_memory(
        self, servers: Sequence[server_registry.Server],
        requirements: service_estimate.RequestRequirements
    ) -> list[server_registry.Server]:
        """Returns the servers with memory for the request.

        Elsewhere it would displace another one, whose prompt is read again.
        """
        return [
            s for s in servers
            if self._get(s.id).kv_free_tokens >= requirements.kv_tokens
        ]

    def _reported_share(self, servers: Sequence[server_registry.Server],
                        now: float) -> float:
        """Returns the share of the servers whose agents report to this host.

        Other hosts hear other servers, and send their requests there. Returns 1
        if no agent reports.
        """
        reported = len(self._reported(servers, now))
        return reported / len(servers) if reported else 1.0

    def _can_serve(self, server: server_registry.Server,
                   requirements: service_estimate.RequestRequirements,
                   now: float) -> bool:
        estimate = self._estimate(server, now)
        return (
            service_estimate.keeps_reserved_slots(requirements, estimate) and
            not service_estimate.cannot_start_in_time(requirements, estimate)
            and
            not service_estimate.cannot_end_in_time(requirements, estimate) and
            not service_estimate.misses_first_event_target(
                requirements, estimate))

    def _estimate(self, server: server_registry.Server,
                  now: float) -> service_estimate.ServerEstimate:
        load = self._get(server.id)
        return service_estimate.ServerEstimate(load=load.requests(now),
                                               slots=server.slots,
                                               pass_s=self._paces.get(
                                                   load.group).pass_s)

    def _effective_load(self, server: server_registry.Server, data_centre: str,
                        requirements: service_estimate.RequestRequirements,
                        now: float) -> float:
        """Returns the load plus all penalties, expressed as load.

        A healthy server in this data centre with this load is an equally good
        choice.
        """
        estimate = self._estimate(server, now)
        penalty_s = service_estimate.penalty_s(requirements, estimate)
        if self._is_unresponsive(server.id, now):
            penalty_s += _UNRESPONSIVE_PENALTY_S
        load = estimate.load + _OWN_REQUEST_WEIGHT * self.own_requests(
            server.id)
        load += _QUEUED_REQUEST_WEIGHT * max(0.0,
                                             estimate.load - estimate.slots + 1)
        load += penalty_s / service_estimate.cost_per_request_s(
            requirements, estimate)
        if server.data_centre != data_centre:
            load += _MOVE_QUEUE_REQUESTS
        return load
