"""The tracked load of one server."""

import dataclasses
import math
from typing import Self

from pollenthread.core.routing import work_estimate

__all__ = ['ServerLoadReport', 'TrackedLoad']

_REPORT_TTL_S = 1.5
# Agents report the load at least every 0.6 s.
_REPORT_OVERDUE_S = 1.0
_PERCENT = 100
_MIN_SLOWNESS = 0.2
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
        kv_tokens: tokens in its key-value cache that cannot be evicted.
        kv_capacity_tokens: the capacity of that cache; 0 if unknown.
        pace_percent: its time for the same work relative to normal speed, in
            percent; 0 if unknown.
    """

    running: int
    waiting: int
    slots: int
    stalled_s: float = 0.0
    accepts_requests: bool = True
    group: str = ''
    pass_s: float = 0.0
    kv_tokens: int = 0
    kv_capacity_tokens: int = 0
    pace_percent: int = 0


@dataclasses.dataclass(slots=True)
class TrackedLoad:
    """The tracked load of one server.

    Attributes:
        reported: requests at the server according to the last report.
        reported_at: monotonic seconds at which the last report arrived.
        running: requests that the server was processing then.
        change: requests of this host started minus ended since the report.
        own: requests of this host at the server.
        accepts_requests: whether the group accepted requests in the last
            report.
        has_agent: whether an agent reports the load periodically.
        group: the model group that it is a rank of; empty if it has none.
        pace_percent: the time for the same work in the last report, relative to
            normal speed, in percent; 0 if unknown.
        kv_free_tokens: free tokens of its key-value cache, less those that this
            host's requests since the report need; infinite if unknown.
        unread_s: seconds that reading the prompts takes which this host has
            sent and of which no event has arrived.
        failures: number of consecutive failures.
        paused_until: monotonic seconds until which it is avoided.
    """

    reported: float = 0.0
    reported_at: float = -1e9
    running: float = 0.0
    change: int = 0
    own: int = 0
    accepts_requests: bool = True
    has_agent: bool = False
    group: str = ''
    pace_percent: int = 0
    kv_free_tokens: float = float('inf')
    unread_s: float = 0.0
    failures: int = 0
    paused_until: float = -1e9

    @property
    def slowness(self) -> float:
        """How much longer this rank takes than normal, relative to normal.

        All ranks of its group wait for it in each pass, so every request there
        holds up the whole group. Returns 0 for a server without a group, and
        for small deviations.
        """
        slowness = self.pace_percent / _PERCENT - 1.0
        return slowness if self.group and slowness > _MIN_SLOWNESS else 0.0

    def after_restart(self) -> Self:
        """Returns what remains known once the server has started again.

        Requests of this host count until they end.
        """
        return type(self)(own=self.own, change=self.own, unread_s=self.unread_s)

    def record_report(self, report: ServerLoadReport, now: float) -> None:
        """Records a load report."""
        self._record_count(report.running + report.waiting, now)
        self.running = report.running
        self.accepts_requests = report.accepts_requests
        self.has_agent = self.has_agent or bool(report.group)
        self.group = report.group
        self.pace_percent = report.pace_percent
        self.kv_free_tokens = (report.kv_capacity_tokens - report.kv_tokens
                               if report.kv_capacity_tokens else math.inf)

    def record_request_count(self, requests: int, now: float) -> None:
        """Records the request count that a server sends with a response.

        The count is ignored while a recent report of its agent is available.
        """
        if not self.has_agent or not self.is_known(now):
            self._record_count(requests, now)

    def _record_count(self, requests: int, now: float) -> None:
        self.reported = requests
        self.running = requests
        self.reported_at = now
        self.change = 0

    def record_start(self, work: work_estimate.WorkEstimate) -> None:
        """Records that this host has sent a request to the server."""
        self.own += 1
        self.change += 1
        self.kv_free_tokens -= work.kv_tokens
        self.unread_s += work.prompt_s

    def record_prompt_read(self, prompt_s: float) -> None:
        """Records that the server has read a prompt, or will not read it.

        Args:
            prompt_s: the seconds that were expected for it.
        """
        self.unread_s = max(0.0, self.unread_s - prompt_s)

    def record_end(self) -> None:
        """Records that a request of this host has ended at the server."""
        self.own -= 1
        self.change -= 1

    def record_success(self) -> None:
        """Records a response of the server and ends its failure pause."""
        self.failures = 0
        self.paused_until = -1e9

    def record_failure(self, now: float, pause_share: float) -> None:
        """Records a failure and pauses the server with exponential back-off.

        Args:
            now: monotonic seconds.
            pause_share: the part of the longest pause that is taken.
        """
        self.failures += 1
        pause_s = min(_MAX_FAILURE_PAUSE_S,
                      _FAILURE_PAUSE_S * 2**(self.failures - 1))
        self.paused_until = now + pause_s * pause_share

    def requests(self, now: float) -> float:
        """Returns the estimated number of requests at the server."""
        if not self.is_known(now):
            return float(self.own)
        return max(float(self.own), self.reported + self.change)

    def is_known(self, now: float) -> bool:
        """Returns whether there is a recent report."""
        return now - self.reported_at <= _REPORT_TTL_S

    def is_report_overdue(self, now: float) -> bool:
        """Returns whether the server's agent has stopped reporting."""
        return self.has_agent and now - self.reported_at > _REPORT_OVERDUE_S

    def is_accepting(self, now: float) -> bool:
        """Returns False if a recent report says that the group rejects work."""
        return self.accepts_requests or not self.is_known(now)
