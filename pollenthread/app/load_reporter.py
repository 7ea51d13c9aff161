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
_STALL_THRESHOLD_MS = 500


class LoadReporter:
    """Sends load reports; changed ones sooner than others."""

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
        self._audience: list[str] = []
        self._audience_basis: tuple[int, frozenset[str]] | None = None

    def report(self, load: peer_messages.ServerLoad) -> None:
        """Sends a report if one is due."""
        content = (load.running, load.waiting, load.stalled_ms
                   > _STALL_THRESHOLD_MS, load.is_open)
        if self._throttle.is_due(content,
                                 self._clock.monotonic(),
                                 same_s=_SAME_INTERVAL_S,
                                 changed_s=_CHANGED_INTERVAL_S):
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
