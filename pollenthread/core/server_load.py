"""Tracks the load of each server and selects the server for a request.

Load reports arrive with a delay. Between two reports each entry host adds the
requests that it has sent since the last one and subtracts those that have
ended, so that slots used by its own requests are not counted as free. The
module `spreading` distributes the requests of all hosts between two reports.
"""

import dataclasses
from collections.abc import Collection, Iterable, Sequence

from pollenthread.core import server_registry, service_estimate, spreading

__all__ = ['ServerLoadTracker', 'ServerLoadReport']

_REPORT_TTL_S = 1.5
# Upper bound of the report age that is written to the log.
_MAX_LOGGED_AGE_S = 99.0
# Agents report the load at least every 0.6 s.
_REPORT_OVERDUE_S = 1.0
_STALLED_S = 0.5
_PASS_SMOOTHING = 0.2
# Penalty for a server whose reports are overdue or whose group is stalled.
_UNRESPONSIVE_PENALTY_S = 20.0
# Load equivalent to the cost of sending a request to another data centre.
_OTHER_DATA_CENTRE_LOAD = 0.25
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
_FAILURE_PAUSE_S = 1.0
_MAX_FAILURE_PAUSE_S = 8.0


@dataclasses.dataclass(frozen=True, slots=True)
class ServerLoadReport:
    """The load reported by a server or by the agent on its host.

    Attributes:
        running: requests that the server is processing.
        waiting: requests in the server's queue.
        slots: requests that the server can process concurrently.
        stalled_s: seconds since the last pass of its group began, while the
            group has work.
        accepts_requests: whether its group accepts requests.
        group: the model group that it is a rank of; empty if it has none.
        pass_s: recent duration of a pass of its group in seconds; 0 if
            unknown.
    """

    running: int
    waiting: int
    slots: int
    stalled_s: float = 0.0
    accepts_requests: bool = True
    group: str = ''
    pass_s: float = 0.0


@dataclasses.dataclass(slots=True)
class _TrackedLoad:
    """The tracked load of one server.

    Attributes:
        reported: requests at the server according to the last report.
        reported_at: monotonic seconds at which the last report arrived.
        change: requests of this host started minus ended since the report.
        own: requests of this host at the server.
        stalled_s: stall time in the last report, in seconds.
        accepts_requests: whether the group accepted requests in the last
            report.
        has_agent: whether an agent reports the load periodically.
        group: the model group that it is a rank of; empty if it has none.
        failures: number of consecutive failures.
        paused_until: monotonic seconds until which it is avoided.
    """

    reported: float = 0.0
    reported_at: float = -1e9
    change: int = 0
    own: int = 0
    stalled_s: float = 0.0
    accepts_requests: bool = True
    has_agent: bool = False
    group: str = ''
    failures: int = 0
    paused_until: float = -1e9


class ServerLoadTracker:
    """Tracks the load of all servers, by server id."""

    def __init__(self, *, rng: spreading.RandomSource) -> None:
        self._rng = rng
        self._load_by_id: dict[str, _TrackedLoad] = {}
        self._rate = spreading.ArrivalRate()
        self._pass_s_by_group: dict[str, float] = {}

    def _get(self, server_id: str) -> _TrackedLoad:
        return self._load_by_id.setdefault(server_id, _TrackedLoad())

    def remove(self, server_id: str) -> None:
        """Removes a server that no longer exists."""
        self._load_by_id.pop(server_id, None)

    def record_restart(self, server_id: str) -> None:
        """Forgets what is known of a server, except for requests under way."""
        own = self.own_requests(server_id)
        self._load_by_id[server_id] = _TrackedLoad(own=own, change=own)

    def record_report(self, server_id: str, report: ServerLoadReport,
                      now: float) -> None:
        """Records a load report of a server."""
        load = self._get(server_id)
        load.reported = report.running + report.waiting
        load.reported_at = now
        load.change = 0
        load.stalled_s = report.stalled_s
        load.accepts_requests = report.accepts_requests
        load.has_agent = load.has_agent or bool(report.group)
        load.group = report.group
        if report.group and report.pass_s:
            average_s = self._pass_s_by_group.get(report.group, report.pass_s)
            self._pass_s_by_group[
                report.group] = average_s + _PASS_SMOOTHING * (report.pass_s -
                                                               average_s)

    def record_request_count(self, server_id: str, requests: int,
                             now: float) -> None:
        """Records the request count that a server sends with a response.

        The count is ignored while a recent report of its agent is available.
        """
        load = self._get(server_id)
        if load.has_agent and now - load.reported_at < _REPORT_TTL_S:
            return
        load.reported = requests
        load.reported_at = now
        load.change = 0

    def record_start(self, server_id: str, now: float) -> None:
        """Records that this host has sent a request to the server."""
        self._rate.record_request(now)
        load = self._get(server_id)
        load.own += 1
        load.change += 1

    def record_end(self, server_id: str) -> None:
        """Records that a request of this host has ended at the server."""
        load = self._get(server_id)
        load.own -= 1
        load.change -= 1

    def record_success(self, server_id: str) -> None:
        """Records a response of the server and ends its failure pause."""
        load = self._get(server_id)
        load.failures = 0
        load.paused_until = -1e9

    def record_failure(self, server_id: str, now: float) -> None:
        """Records a failure and pauses the server with exponential back-off."""
        load = self._get(server_id)
        load.failures += 1
        pause_s = min(_MAX_FAILURE_PAUSE_S,
                      _FAILURE_PAUSE_S * 2**(load.failures - 1))
        load.paused_until = now + pause_s * self._rng.uniform(0.5, 1.0)

    def load(self, server_id: str, now: float) -> float:
        """Returns the estimated number of requests at the server."""
        load = self._get(server_id)
        if now - load.reported_at > _REPORT_TTL_S:
            return float(load.own)
        return max(float(load.own), load.reported + load.change)

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

    def is_report_overdue(self, server_id: str, now: float) -> bool:
        """Returns whether the agent of a server has stopped reporting."""
        load = self._get(server_id)
        return load.has_agent and now - load.reported_at > _REPORT_OVERDUE_S

    def stalled_s(self, server_id: str, now: float) -> float:
        """Returns the seconds for which the server's group has made no pass.

        Returns 0 if there is no recent report.
        """
        load = self._get(server_id)
        if now - load.reported_at > _REPORT_TTL_S:
            return 0.0
        return load.stalled_s

    def select(self, servers: Iterable[server_registry.Server], *,
               excluded: Collection[str], data_centre: str,
               requirements: service_estimate.RequestRequirements, hosts: int,
               now: float) -> server_registry.Server | None:
        """Selects a server for a request.

        Args:
            servers: the candidates.
            excluded: ids of servers that must not be used.
            data_centre: the data centre of this host; its servers are
                preferred among equals.
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
            if s.id not in excluded and self._accepts_requests(s, now)
        ]
        not_paused = [s for s in usable if self._get(s.id).paused_until <= now]
        candidates = [
            s for s in not_paused or usable
            if self._can_serve(s, requirements, now)
        ]
        if not candidates:
            return None
        # Without reports of its agent, the load of a server is not known.
        candidates = self._reported(candidates, now) or candidates
        sharing_hosts = hosts * self._reported_share(all_servers, now)
        loads = [
            self._effective_load(s, data_centre, requirements, now)
            for s in candidates
        ]
        # Outside bursts, requests arrive as fast as slots become free.
        total_slots = sum(s.slots for s in candidates)
        arrivals = min(
            total_slots * _MAX_TURNOVER,
            self._rate.per_s(now) * sharing_hosts * _REPORT_INTERVAL_S)
        parts = spreading.water_fill(loads, max(1.0, arrivals))
        return candidates[spreading.pick_weighted(parts, self._rng)]

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
            if self._accepts_requests(s, now)) / self._reported_share(
                all_servers, now)

    def _reported(self, servers: Sequence[server_registry.Server],
                  now: float) -> list[server_registry.Server]:
        """Returns the servers whose agents have reported recently."""
        return [s for s in servers if self._is_reported(s.id, now)]

    def _is_reported(self, server_id: str, now: float) -> bool:
        load = self._get(server_id)
        return load.has_agent and now - load.reported_at < _REPORT_TTL_S

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
            and not service_estimate.misses_first_event_target(
                requirements, estimate))

    def _accepts_requests(self, server: server_registry.Server,
                          now: float) -> bool:
        """Returns False if a recent report says that the group rejects work."""
        load = self._get(server.id)
        return load.accepts_requests or now - load.reported_at > _REPORT_TTL_S

    def _estimate(self, server: server_registry.Server,
                  now: float) -> service_estimate.ServerEstimate:
        group = self._get(server.id).group
        return service_estimate.ServerEstimate(load=self.load(server.id, now),
                                               slots=server.slots,
                                               pass_s=self._pass_s_by_group.get(
                                                   group, 0.0))

    def _effective_load(self, server: server_registry.Server, data_centre: str,
                        requirements: service_estimate.RequestRequirements,
                        now: float) -> float:
        """Returns the load plus all penalties, expressed as load.

        A healthy server in this data centre with this load is an equally good
        choice.
        """
        estimate = self._estimate(server, now)
        penalty_s = service_estimate.penalty_s(requirements, estimate)
        if (self.is_report_overdue(server.id, now) or
                self.stalled_s(server.id, now) > _STALLED_S):
            penalty_s += _UNRESPONSIVE_PENALTY_S
        load = estimate.load + _OWN_REQUEST_WEIGHT * self.own_requests(
            server.id)
        load += _QUEUED_REQUEST_WEIGHT * max(0.0,
                                             estimate.load - estimate.slots + 1)
        load += penalty_s / service_estimate.cost_per_request_s(
            requirements, estimate)
        if server.data_centre != data_centre:
            load += _OTHER_DATA_CENTRE_LOAD
        return load
