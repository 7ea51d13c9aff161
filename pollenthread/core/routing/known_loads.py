"""What one entry host knows of the load of servers.

Load reports arrive with a delay. Between two reports each entry host adds the
requests that it has sent since the last one and subtracts those that have
ended, so that slots used by its own requests are not counted as free.
"""

from collections.abc import Sequence

from pollenthread.core import server_registry, service_estimate, spreading
from pollenthread.core.routing import group_pace, tracked_load, work_estimate

__all__ = ['KnownLoads']

# Upper bound of the report age that is written to the log.
_MAX_LOGGED_AGE_S = 99.0


class KnownLoads:
    """The load of all servers, by server id.

    Attributes:
        paces: the pace of their groups.
    """

    def __init__(self, *, rng: spreading.RandomSource) -> None:
        self._rng = rng
        self._load_by_id: dict[str, tracked_load.TrackedLoad] = {}
        self._rate = spreading.ArrivalRate()
        self.paces = group_pace.GroupPaces()

    def get(self, server_id: str) -> tracked_load.TrackedLoad:
        """Returns what is known of a server."""
        load = self._load_by_id.get(server_id)
        if load is None:
            load = self._load_by_id[server_id] = tracked_load.TrackedLoad()
        return load

    def remove(self, server_id: str) -> None:
        """Removes a server that no longer exists."""
        self._load_by_id.pop(server_id, None)

    def record_restart(self, server_id: str) -> None:
        """Forgets what is known of a server, except for requests under way."""
        self._load_by_id[server_id] = self.get(server_id).after_restart()

    def record_report(self, server_id: str,
                      report: tracked_load.ServerLoadReport,
                      now: float) -> None:
        """Records a load report of a server."""
        self.get(server_id).record_report(report, now)
        if report.group:
            self.paces.get(report.group).record(
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
        self.get(server_id).record_request_count(requests, now)

    def record_start(
        self,
        server_id: str,
        now: float,
        work: work_estimate.WorkEstimate = work_estimate.WorkEstimate(0.0)
    ) -> None:
        """Records that this host has sent a request to the server."""
        self._rate.record_request(now)
        self.get(server_id).record_start(work)

    def record_prompt_read(self, server_id: str, prompt_s: float) -> None:
        """Records that the server has read a prompt, or will not read it.

        Args:
            server_id: the id of the server.
            prompt_s: the seconds that were expected for it.
        """
        self.get(server_id).record_prompt_read(prompt_s)

    def record_end(self, server_id: str) -> None:
        """Records that a request of this host has ended at the server."""
        self.get(server_id).record_end()

    def record_success(self, server_id: str) -> None:
        """Records a response of the server and ends its failure pause."""
        self.get(server_id).record_success()

    def record_failure(self, server_id: str, now: float) -> None:
        """Records a failure and pauses the server with exponential back-off."""
        self.get(server_id).record_failure(now, self._rng.uniform(0.5, 1.0))

    def load(self, server_id: str, now: float) -> float:
        """Returns the estimated number of requests at the server."""
        return self.get(server_id).requests(now)

    def log_fields(self, server: server_registry.Server,
                   now: float) -> dict[str, float]:
        """Returns the load data of a server as fields for a log event."""
        estimate = self.estimate(server, now)
        age_s = now - self.get(server.id).reported_at
        return {
            'load': estimate.load,
            'own': self.own_requests(server.id),
            'pass_s': round(estimate.pass_s, 4),
            'news_age_s': round(min(age_s, _MAX_LOGGED_AGE_S), 3)
        }

    def own_requests(self, server_id: str) -> int:
        """Returns the number of requests of this host at the server."""
        return self.get(server_id).own

    def is_known(self, server_id: str, now: float) -> bool:
        """Returns whether the load of a server was reported recently."""
        return self.get(server_id).is_known(now)

    def is_report_overdue(self, server_id: str, now: float) -> bool:
        """Returns whether the agent of a server has stopped reporting."""
        return self.get(server_id).is_report_overdue(now)

    def stalled_s(self, server_id: str, now: float) -> float:
        """Returns the seconds for which the server's group has made no pass.

        Returns 0 if there is no recent report.
        """
        return self.paces.get(self.get(server_id).group).stalled_s(now)

    def is_unresponsive(self, server_id: str, now: float) -> bool:
        """Returns whether a server can not be expected to make progress."""
        return (self.is_report_overdue(server_id, now) or
                self.stalled_s(server_id, now) > 0)

    def estimate(self, server: server_registry.Server,
                 now: float) -> service_estimate.ServerEstimate:
        load = self.get(server.id)
        return service_estimate.ServerEstimate(load=load.requests(now),
                                               slots=server.slots,
                                               pass_s=self.paces.get(
                                                   load.group).pass_s,
                                               unread_s=load.unread_s)

    def group_members(self, group: str) -> dict[str, tracked_load.TrackedLoad]:
        """Returns what is known of the ranks of a group, by server id."""
        return {
            server_id: load
            for server_id, load in self._load_by_id.items()
            if load.group == group
        }

    def reported(self, servers: Sequence[server_registry.Server],
                 now: float) -> list[server_registry.Server]:
        """Returns the servers whose agents have reported recently."""
        loads = ((server, self.get(server.id)) for server in servers)
        return [s for s, load in loads if load.has_agent and load.is_known(now)]

    def reported_share(self, servers: Sequence[server_registry.Server],
                       now: float) -> float:
        """Returns the share of the servers whose agents report to this host.

        Other hosts hear other servers, and send their requests there. Returns 1
        if no agent reports.
        """
        reported = len(self.reported(servers, now))
        return reported / len(servers) if reported else 1.0
