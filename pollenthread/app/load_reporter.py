"""Reports the load of an agent's server to the entry hosts that follow it."""

import collections

from pollenthread.app import host_registry
from pollenthread.core import (host_record, load_audience, peer_messages,
                               report_throttle)
from pollenthread.core.routing import evacuations as evacuations_module
from pollenthread.ports import clock, peers

__all__ = ['LoadReporter']

_CHANGED_INTERVAL_S = 0.25
_SAME_INTERVAL_S = 0.6
_MIN_STALL_MS = 250
_STALL_PASSES = 4
_US_PER_MS = 1000


class LoadReporter:
    """Sends load reports: changed ones soon, a stopped group at once."""

    def __init__(self, *, own: host_record.HostRecord,
                 hosts: host_registry.HostRegistry,
                 evacuations: evacuations_module.Evacuations,
                 network: peers.PeerNetwork, time: clock.Clock) -> None:
        self._own = own
        self._hosts = hosts
        self._evacuations = evacuations
        self._network = network
        self._clock = time
        self._throttle = report_throttle.ReportThrottle()
        self._state = (True, False)
        self._audience: list[str] = []
        self._audience_basis: tuple[int, frozenset[str]] | None = None

    def report(self, load: peer_messages.ServerLoad) -> None:
        """Sends a report if one is due."""
        stall_ms = max(_MIN_STALL_MS, _STALL_PASSES * load.pass_us / _US_PER_MS)
        state = (load.is_open, load.stalled_ms > stall_ms)
        # Requests that are sent to a group that has stopped only wait there.
        changed_s = _CHANGED_INTERVAL_S if state == self._state else 0.0
        self._state = state
        if self._throttle.is_due((load.running, load.waiting, state),
                                 self._clock.monotonic(),
                                 same_s=_SAME_INTERVAL_S,
                                 changed_s=changed_s):
            self._network.send_all(self._addresses(), load)

    def _addresses(self) -> list[str]:
        """Returns the addresses of the entry hosts that follow this server."""
        basis = (self._hosts.revision, self._evacuations.data_centres)
        if self._audience_basis != basis:
            self._audience_basis = basis
            self._audience = self._find_audience()
        return self._audience

    def _find_audience(self) -> list[str]:
        servers = collections.Counter(
            record.data_centre
            for record in self._hosts.with_role(host_record.Role.AGENT)
            if record.service == self._own.service and
            record.data_centre not in self._evacuations.data_centres)
        servers[self._own.data_centre] = max(1, servers[self._own.data_centre])
        entries = self._hosts.with_role(host_record.Role.ENTRY)
        following = {
            data_centre for data_centre in {r.data_centre for r in entries}
            if self._own.data_centre in load_audience.followed_data_centres(
                data_centre, servers)
        }
        return [r.peer_address for r in entries if r.data_centre in following]
