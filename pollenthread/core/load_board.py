"""What is known of the load of each server, and where work goes.

A report is news of the past. Between reports each host adds what it has sent
since and takes away what has ended, so that its own work is never counted as
free. What all hosts send between two reports is spread as `spreading` tells.
"""

import dataclasses
from collections.abc import Collection, Iterable

from pollenthread.core import fleet, service_forecast, spreading

__all__ = ['LoadBoard', 'LoadReport']

_REPORT_LIFE_S = 1.5
# Older news is told as this old.
_MAX_NEWS_AGE_S = 99.0
# Agents tell the load at least each 0.6 s.
_SILENT_S = 1.0
_STALLED_S = 0.5
_PASS_SMOOTHING = 0.2
# Seconds that weigh in a choice as much as this reason does.
_DOUBTFUL_S = 20.0
# A load that weighs as much as the bytes to another data centre.
_OTHER_DATA_CENTRE_LOAD = 0.25
# What an own request adds to the load that it is counted in: others know of
# theirs, too, before the next news.
_OWN_LOAD = 0.5
# For how long the hosts decide by the same news.
_NEWS_S = 0.3
# The share of all places that one news' time may take.
_MAX_TURNOVER = 0.12
# What a place in a queue weighs beside its wait: it is waited for surely, while
# a place among others only slows them down.
_QUEUED_LOAD = 2.0
_FAILURE_PAUSE_S = 1.0
_MAX_FAILURE_PAUSE_S = 8.0


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """What a server, or the agent beside it, says of its load.

    Attributes:
        running: requests that it works on.
        waiting: requests in its queue.
        slots: requests that it works on at once.
        stalled_s: seconds since its group's last pass began, while it has
            work.
        is_open: whether its group works.
        group: the group that it is a rank of; empty without.
        pass_s: how long a pass of its group lasted lately; 0 when unknown.
    """

    running: int
    waiting: int
    slots: int
    stalled_s: float = 0.0
    is_open: bool = True
    group: str = ''
    pass_s: float = 0.0


@dataclasses.dataclass(slots=True)
class _Load:
    """One server's load.

    Attributes:
        reported: requests at the server when it last reported.
        reported_at: monotonic seconds of that report.
        change: own requests begun less own requests ended since then.
        own: own requests at the server.
        stalled_s: as last reported.
        is_open: as last reported.
        has_agent: whether an agent tells its load, again and again.
        group: the group that it is a rank of; empty without.
        failures: failures in a row.
        paused_until: no new work before this time.
    """

    reported: float = 0.0
    reported_at: float = -1e9
    change: int = 0
    own: int = 0
    stalled_s: float = 0.0
    is_open: bool = True
    has_agent: bool = False
    group: str = ''
    failures: int = 0
    paused_until: float = -1e9


class LoadBoard:
    """Load by server."""

    def __init__(self, *, rng: spreading.RandomSource) -> None:
        self._rng = rng
        self._load_by_id: dict[str, _Load] = {}
        self._rate = spreading.ArrivalRate()
        self._pass_s_by_group: dict[str, float] = {}

    def _get(self, server_id: str) -> _Load:
        return self._load_by_id.setdefault(server_id, _Load())

    def forget(self, server_id: str) -> None:
        """Drops a server that is gone."""
        self._load_by_id.pop(server_id, None)

    def report(self, server_id: str, report: LoadReport, now: float) -> None:
        """Takes news of a server."""
        load = self._get(server_id)
        load.reported = report.running + report.waiting
        load.reported_at = now
        load.change = 0
        load.stalled_s = report.stalled_s
        load.is_open = report.is_open
        load.has_agent = load.has_agent or bool(report.group)
        load.group = report.group
        if report.group and report.pass_s:
            known = self._pass_s_by_group.get(report.group, report.pass_s)
            self._pass_s_by_group[report.group] = known + _PASS_SMOOTHING * (
                report.pass_s - known)

    def count(self, server_id: str, requests: int, now: float) -> None:
        """Takes the number of requests that a server tells in an answer."""
        load = self._get(server_id)
        if load.has_agent and now - load.reported_at < _REPORT_LIFE_S:
            return
        load.reported = requests
        load.reported_at = now
        load.change = 0

    def begin(self, server_id: str, now: float) -> None:
        """One more own request is at the server."""
        self._rate.record_request(now)
        load = self._get(server_id)
        load.own += 1
        load.change += 1

    def end(self, server_id: str) -> None:
        """An own request has left the server."""
        load = self._get(server_id)
        load.own -= 1
        load.change -= 1

    def succeed(self, server_id: str) -> None:
        """The server has answered."""
        load = self._get(server_id)
        load.failures = 0
        load.paused_until = -1e9

    def fail(self, server_id: str, now: float) -> None:
        """The server has failed; it is left alone for a while."""
        load = self._get(server_id)
        load.failures += 1
        pause_s = min(_MAX_FAILURE_PAUSE_S,
                      _FAILURE_PAUSE_S * 2**(load.failures - 1))
        load.paused_until = now + pause_s * self._rng.uniform(0.5, 1.0)

    def load(self, server_id: str, now: float) -> float:
        """Requests believed to be at the server."""
        load = self._get(server_id)
        if now - load.reported_at > _REPORT_LIFE_S:
            return float(load.own)
        return max(float(load.own), load.reported + load.change)

    def belief(self, server: fleet.Server, now: float) -> dict[str, float]:
        """What a choice of a server rests on, for the log."""
        outlook = self._outlook(server, now)
        age_s = now - self._get(server.id).reported_at
        return {
            'load': outlook.load,
            'own': self.own(server.id),
            'pass_s': round(outlook.pass_s, 4),
            'news_age_s': round(min(age_s, _MAX_NEWS_AGE_S), 3)
        }

    def own(self, server_id: str) -> int:
        """Own requests at the server."""
        return self._get(server_id).own

    def is_silent(self, server_id: str, now: float) -> bool:
        """Whether the agent beside a server has stopped telling its load."""
        load = self._get(server_id)
        return load.has_agent and now - load.reported_at > _SILENT_S

    def stalled_s(self, server_id: str, now: float) -> float:
        """How long the server's group has made no pass, as far as known."""
        load = self._get(server_id)
        if now - load.reported_at > _REPORT_LIFE_S:
            return 0.0
        return load.stalled_s

    def choose(self, servers: Iterable[fleet.Server], *,
               excluded: Collection[str], data_centre: str,
               need: service_forecast.Need, hosts: int,
               now: float) -> fleet.Server | None:
        """A server that is expected to serve a request as well as any.

        Args:
            servers: the candidates.
            excluded: ids that must not be used.
            data_centre: where this host is; it breaks ties.
            need: what the request asks.
            hosts: how many hosts choose among these servers.
            now: monotonic seconds.

        Returns:
            None if no candidate would begin in time.
        """
        usable = [
            s for s in servers
            if s.id not in excluded and self._is_open(s, now)
        ]
        calm = [s for s in usable if self._get(s.id).paused_until <= now]
        candidates = [s for s in calm or usable if self._suits(s, need, now)]
        if not candidates:
            return None
        loads = [
            self._effective_load(s, data_centre, need, now) for s in candidates
        ]
        # As many requests come as places become free, but for a burst.
        places = sum(s.slots for s in candidates)
        arrivals = min(places * _MAX_TURNOVER,
                       self._rate.per_s(now) * hosts * _NEWS_S)
        parts = spreading.water_fill(loads, max(1.0, arrivals))
        return candidates[spreading.pick_weighted(parts, self._rng)]

    def room(self, servers: Iterable[fleet.Server], *, spare_share: float,
             now: float) -> float:
        """Requests that open servers can take beside the places they spare."""
        return sum(
            service_forecast.room(self._outlook(s, now), spare_share)
            for s in servers
            if self._is_open(s, now))

    def _suits(self, server: fleet.Server, need: service_forecast.Need,
               now: float) -> bool:
        outlook = self._outlook(server, now)
        return (service_forecast.leaves_room(need, outlook) and
                not service_forecast.is_hopeless(need, outlook) and
                not service_forecast.misses_aim(need, outlook))

    def _is_open(self, server: fleet.Server, now: float) -> bool:
        """False if the server's group has said lately that it is closed."""
        load = self._get(server.id)
        return load.is_open or now - load.reported_at > _REPORT_LIFE_S

    def _outlook(self, server: fleet.Server,
                 now: float) -> service_forecast.ServerOutlook:
        group = self._get(server.id).group
        return service_forecast.ServerOutlook(load=self.load(server.id, now),
                                              slots=server.slots,
                                              pass_s=self._pass_s_by_group.get(
                                                  group, 0.0))

    def _effective_load(self, server: fleet.Server, data_centre: str,
                        need: service_forecast.Need, now: float) -> float:
        """The load that makes a healthy server near by as bad a choice."""
        outlook = self._outlook(server, now)
        penalty_s = service_forecast.penalty_s(need, outlook)
        if (self.is_silent(server.id, now) or
                self.stalled_s(server.id, now) > _STALLED_S):
            penalty_s += _DOUBTFUL_S
        load = outlook.load + _OWN_LOAD * self.own(server.id)
        load += _QUEUED_LOAD * max(0.0, outlook.load - outlook.slots + 1)
        load += penalty_s / service_forecast.place_s(need, outlook)
        if server.data_centre != data_centre:
            load += _OTHER_DATA_CENTRE_LOAD
        return load
