"""Tracks the liveness of entry hosts by links and by reports of other hosts.

A host watches the entry hosts that it selected to keep links to. It reports to
the others when one of these is lost, returns or shuts down; every host forwards
each report once.
"""

import collections
from collections.abc import Iterable

from pollenthread.app import peer_links
from pollenthread.core import membership, messages
from pollenthread.ports import clock, link as link_port

__all__ = ['LivenessTracker']

_MAX_SEEN_REPORTS = 4096
_REPORT_INTERVAL_S = membership.REPORT_TTL_S / 3
_UNKNOWN_INCARNATION = 'unknown'


class LivenessTracker(peer_links.LinkWatcher):
    """Collects evidence about the liveness of entry hosts."""

    def __init__(self, *, own: messages.Hello, peers: peer_links.PeerLinks,
                 time: clock.Clock) -> None:
        self._own = own
        self._peers = peers
        self._clock = time
        self._last_number = 0
        self._silent_since_by_host: dict[str, float] = {}
        self._incarnation_by_host: dict[str, str] = {}
        self._reported_at_by_host: dict[str, float] = {}
        self._restarted_at_by_host: dict[str, float] = {}
        self._report_by_host: dict[str, membership.HostReport] = {}
        self._seen_reports = collections.OrderedDict[tuple[str, str, int],
                                                     None]()
        peers.add_watcher(self)
        peers.subscribe(messages.HostNews, self._on_report)

    def evidence(self, host: str) -> membership.HostEvidence:
        """Returns the evidence about an entry host, without the host list."""
        now = self._clock.monotonic()
        report = self._report_by_host.get(host)
        reported_shutdown = report is not None and report.is_shutting_down
        reports = 0 if report is None else membership.count_dead_reports(
            report, now)
        return membership.HostEvidence(reported_shutdown=reported_shutdown,
                                       silent_s=self._silent_s(host, now),
                                       dead_report_count=reports)

    def seconds_since_restart(self, host: str) -> float | None:
        """Seconds since a known host was seen to have restarted, or None."""
        at = self._restarted_at_by_host.get(host)
        return None if at is None else self._clock.monotonic() - at

    def _record_incarnation(self, host: str, incarnation: str) -> None:
        previous = self._incarnation_by_host.get(host)
        if previous is not None and previous != incarnation:
            self._restarted_at_by_host[host] = self._clock.monotonic()
        self._incarnation_by_host[host] = incarnation

    def _silent_s(self, host: str, now: float) -> float | None:
        if host in self._peers.links_by_host or host == self._own.host:
            return 0.0
        silent_since = self._silent_since_by_host.get(host)
        return None if silent_since is None else now - silent_since

    def set_watched_hosts(self, hosts: Iterable[str]) -> None:
        """Sets the hosts that this one keeps links to and watches."""
        wanted = set(hosts)
        now = self._clock.monotonic()
        for host in wanted - self._silent_since_by_host.keys():
            self._silent_since_by_host[host] = now
        for host in self._silent_since_by_host.keys() - wanted:
            del self._silent_since_by_host[host]
            self._reported_at_by_host.pop(host, None)

    def report_dead(self, dead: Iterable[str]) -> None:
        """Reports dead hosts to the other entry hosts.

        Repeats the report of a host before it would expire.

        Args:
            dead: names of dead hosts; those not watched are ignored.
        """
        now = self._clock.monotonic()
        for host in dead:
            if host not in self._silent_since_by_host:
                continue
            reported_at = self._reported_at_by_host.get(host)
            if reported_at is None or now - reported_at >= _REPORT_INTERVAL_S:
                self._reported_at_by_host[host] = now
                self._announce(host, membership.HostState.DEAD)

    def announce_shutdown(self) -> None:
        """Reports to the other entry hosts that this one shuts down."""
        self._incarnation_by_host[self._own.host] = self._own.incarnation
        self._announce(self._own.host, membership.HostState.LEAVING)

    def on_peer_linked(self, link: link_port.Link) -> None:
        host = link.peer.host
        self._record_incarnation(host, link.peer.incarnation)
        report = self._report_by_host.get(host)
        is_new = report is not None and (report.incarnation
                                         != link.peer.incarnation)
        if is_new or host in self._reported_at_by_host:
            self._reported_at_by_host.pop(host, None)
            self._announce(host, membership.HostState.LIVE)

    def on_peer_lost(self, link: link_port.Link) -> None:
        if link.peer.host in self._silent_since_by_host:
            self._silent_since_by_host[link.peer.host] = self._clock.monotonic()

    def _announce(self, host: str, state: membership.HostState) -> None:
        """Sends a report of this host."""
        self._last_number += 1
        self._accept(
            messages.HostNews(host=host,
                              incarnation=self._incarnation_by_host.get(
                                  host, _UNKNOWN_INCARNATION),
                              state=state,
                              reporter=self._own.host,
                              reporter_incarnation=self._own.incarnation,
                              number=self._last_number))

    def _on_report(self, _: link_port.Link,
                   host_report: messages.HostNews) -> None:
        self._accept(host_report)

    def _accept(self, host_report: messages.HostNews) -> None:
        """Applies and forwards a report, unless it was seen before."""
        key = (host_report.reporter, host_report.reporter_incarnation,
               host_report.number)
        if key in self._seen_reports:
            return
        self._seen_reports[key] = None
        while len(self._seen_reports) > _MAX_SEEN_REPORTS:
            self._seen_reports.popitem(last=False)
        if not self._contradicts_link(host_report):
            previous = self._report_by_host.get(host_report.host)
            incarnation = host_report.incarnation
            if previous is not None and incarnation == _UNKNOWN_INCARNATION:
                incarnation = previous.incarnation
            if host_report.incarnation != _UNKNOWN_INCARNATION:
                self._record_incarnation(host_report.host,
                                         host_report.incarnation)
            self._report_by_host[host_report.host] = membership.merge_report(
                previous,
                incarnation=incarnation,
                state=membership.HostState(host_report.state),
                reporter=host_report.reporter,
                now=self._clock.monotonic())
        self._peers.broadcast(host_report)

    def _contradicts_link(self, host_report: messages.HostNews) -> bool:
        """Whether an open link to the host has another incarnation."""
        link = self._peers.links_by_host.get(host_report.host)
        return (link is not None and
                link.peer.incarnation != host_report.incarnation)
