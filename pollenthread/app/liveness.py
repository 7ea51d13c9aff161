"""What links and other hosts' reports say of the entry hosts.

A host watches the entry hosts that it chose to keep links to. It tells the
others when one of these is lost, comes back or leaves; each news is passed on
once by every host.
"""

import collections
from collections.abc import Iterable

from pollenthread.app import peer_links as peers_module
from pollenthread.core import membership, messages
from pollenthread.ports import clock, link as link_port

__all__ = ['LivenessTracker']

_REMEMBERED_NEWS = 4096
_REPEAT_S = membership.REPORT_LIFE_S / 3
_UNKNOWN_START = 'unknown'


class LivenessTracker(peers_module.LinkWatcher):
    """Evidence about entry hosts, by host."""

    def __init__(self, *, own: messages.Hello, peers: peers_module.PeerLinks,
                 time: clock.Clock) -> None:
        self._own = own
        self._peers = peers
        self._time = time
        self._numbers = 0
        self._silent_since_by_host: dict[str, float] = {}
        self._incarnation_by_host: dict[str, str] = {}
        self._reported_at_by_host: dict[str, float] = {}
        self._restarted_at_by_host: dict[str, float] = {}
        self._report_by_host: dict[str, membership.Report] = {}
        self._seen = collections.OrderedDict[tuple[str, str, int], None]()
        peers.add_watcher(self)
        peers.subscribe(messages.HostNews, self._on_news)

    def evidence(self, host: str) -> membership.Evidence:
        """What is known of an entry host, but for the host list."""
        now = self._time.monotonic()
        report = self._report_by_host.get(host)
        said_leaving = report is not None and report.is_leaving
        reports = 0 if report is None else membership.dead_reports(report, now)
        return membership.Evidence(said_leaving=said_leaving,
                                   silent_s=self._silent_s(host, now),
                                   dead_reports=reports)

    def seconds_since_restart(self, host: str) -> float | None:
        """Seconds since another start of a known host was seen, or None."""
        at = self._restarted_at_by_host.get(host)
        return None if at is None else self._time.monotonic() - at

    def _note_start(self, host: str, incarnation: str) -> None:
        known = self._incarnation_by_host.get(host)
        if known is not None and known != incarnation:
            self._restarted_at_by_host[host] = self._time.monotonic()
        self._incarnation_by_host[host] = incarnation

    def _silent_s(self, host: str, now: float) -> float | None:
        if host in self._peers.links_by_host or host == self._own.host:
            return 0.0
        since = self._silent_since_by_host.get(host)
        return None if since is None else now - since

    def set_watched_hosts(self, hosts: Iterable[str]) -> None:
        """Sets which hosts this one keeps links to and so watches."""
        wanted = set(hosts)
        now = self._time.monotonic()
        for host in wanted - self._silent_since_by_host.keys():
            self._silent_since_by_host[host] = now
        for host in self._silent_since_by_host.keys() - wanted:
            del self._silent_since_by_host[host]
            self._reported_at_by_host.pop(host, None)

    def report_dead(self, dead: Iterable[str]) -> None:
        """Tells the others which watched hosts are dead; repeats it."""
        now = self._time.monotonic()
        for host in dead:
            if host not in self._silent_since_by_host:
                continue
            reported_at = self._reported_at_by_host.get(host)
            if reported_at is None or now - reported_at >= _REPEAT_S:
                self._reported_at_by_host[host] = now
                self._tell(host, membership.State.DEAD)

    def announce_leaving(self) -> None:
        """Tells the others that this host leaves."""
        self._incarnation_by_host[self._own.host] = self._own.incarnation
        self._tell(self._own.host, membership.State.LEAVING)

    def on_peer_linked(self, link: link_port.Link) -> None:
        host = link.peer.host
        self._note_start(host, link.peer.incarnation)
        report = self._report_by_host.get(host)
        is_new = report is not None and (report.incarnation
                                         != link.peer.incarnation)
        if is_new or host in self._reported_at_by_host:
            self._reported_at_by_host.pop(host, None)
            self._tell(host, membership.State.LIVE)

    def on_peer_lost(self, link: link_port.Link) -> None:
        if link.peer.host in self._silent_since_by_host:
            self._silent_since_by_host[link.peer.host] = self._time.monotonic()

    def _tell(self, host: str, state: membership.State) -> None:
        """Starts a news of this host's own."""
        self._numbers += 1
        self._take(
            messages.HostNews(host=host,
                              incarnation=self._incarnation_by_host.get(
                                  host, _UNKNOWN_START),
                              state=state,
                              reporter=self._own.host,
                              reporter_incarnation=self._own.incarnation,
                              number=self._numbers))

    def _on_news(self, _: link_port.Link, news: messages.HostNews) -> None:
        self._take(news)

    def _take(self, news: messages.HostNews) -> None:
        """Takes a news in and passes it on, unless it was seen before."""
        key = (news.reporter, news.reporter_incarnation, news.number)
        if key in self._seen:
            return
        self._seen[key] = None
        while len(self._seen) > _REMEMBERED_NEWS:
            self._seen.popitem(last=False)
        if not self._contradicts_link(news):
            known = self._report_by_host.get(news.host)
            incarnation = news.incarnation
            if known is not None and incarnation == _UNKNOWN_START:
                incarnation = known.incarnation
            if news.incarnation != _UNKNOWN_START:
                self._note_start(news.host, news.incarnation)
            self._report_by_host[news.host] = membership.hear(
                known,
                incarnation=incarnation,
                state=membership.State(news.state),
                reporter=news.reporter,
                now=self._time.monotonic())
        self._peers.broadcast(news)

    def _contradicts_link(self, news: messages.HostNews) -> bool:
        """Whether an open link shows another start of the host's process."""
        link = self._peers.links_by_host.get(news.host)
        return link is not None and link.peer.incarnation != news.incarnation
