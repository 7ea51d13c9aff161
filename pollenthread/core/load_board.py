"""What is known of the load of each server, and where work goes.

A report is news of the past. Between reports each host adds what it has sent
since and takes away what has ended, so that its own work is never counted as
free. Equal servers are chosen between at random, so that hosts which decide
alone do not all choose the same one.
"""

import dataclasses
import random
from collections.abc import Collection, Iterable

from pollenthread.core import fleet

__all__ = ['LoadBoard', 'LoadReport']

_REPORT_LIFE_S = 1.5
# Agents tell the load at least each 0.6 s.
_SILENT_S = 1.0
_STALLED_S = 0.5
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
    failures: int = 0
    paused_until: float = -1e9


class LoadBoard:
    """Load by server."""

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._load_by_id: dict[str, _Load] = {}

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

    def begin(self, server_id: str) -> None:
        """One more own request is at the server."""
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
               now: float) -> fleet.Server | None:
        """The server with the most room.

        Args:
            servers: the candidates.
            excluded: ids that must not be used.
            data_centre: where this host is; it breaks ties.
            now: monotonic seconds.
        """
        usable = [
            s for s in servers
            if s.id not in excluded and self._is_open(s, now)
        ]
        calm = [s for s in usable if self._get(s.id).paused_until <= now]
        candidates = calm or usable
        if not candidates:
            return None
        return min(candidates, key=lambda s: self._rank(s, data_centre, now))

    def _is_open(self, server: fleet.Server, now: float) -> bool:
        """False if the server's group has said lately that it is closed."""
        load = self._get(server.id)
        return load.is_open or now - load.reported_at > _REPORT_LIFE_S

    def _rank(self, server: fleet.Server, data_centre: str,
              now: float) -> tuple[bool, float, bool, float]:
        load = self.load(server.id, now) / server.slots
        is_doubtful = (self.is_silent(server.id, now) or
                       self.stalled_s(server.id, now) > _STALLED_S)
        return (is_doubtful, load, server.data_centre
                != data_centre, self._rng.random())
