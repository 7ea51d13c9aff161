"""Which hosts there are, by the host list and by what the hosts say."""

import asyncio
import dataclasses
from collections.abc import Iterable

import result
from absl import logging

from pollenthread.app import heartbeats as heartbeats_module
from pollenthread.core import addresses, membership, versions
from pollenthread.ports import clock, host_list

__all__ = ['Directory']

_JUDGE_INTERVAL_S = 0.5
_JUDGEMENTS_PER_POLL = 2
_EXTRA_LINK_S = 30.0
_RESTART_SETTLE_S = 3.0


class Directory:
    """Follows the host list; keeps the last one while it is silent."""

    def __init__(self, *, hosts: host_list.HostList, time: clock.Clock,
                 own: membership.Member,
                 heartbeats: heartbeats_module.Heartbeats) -> None:
        self._hosts = hosts
        self._time = time
        self._own = own
        self._heartbeats = heartbeats
        self.by_name: dict[str, host_list.ListedHost] = {}
        self._members: list[membership.Member] = []
        self._chosen: frozenset[str] = frozenset()
        self._dialed: frozenset[str] = frozenset()
        self._upstreams: frozenset[str] = frozenset()
        self._view = membership.View({}, False)
        self._extra_until_by_host: dict[str, float] = {}
        self.draining: frozenset[str] = frozenset()
        self._read_at: float | None = None
        self.pollers: frozenset[str] = frozenset()

    @property
    def age_s(self) -> float | None:
        """Seconds since the list was read, or None."""
        if self._read_at is None:
            return None
        return self._time.monotonic() - self._read_at

    @property
    def view(self) -> membership.View:
        """The judgement over the entry hosts."""
        return self._view

    @property
    def is_poller(self) -> bool:
        """Whether this host reads the table for its data centre."""
        return self._own.host in self.pollers

    def is_leaving(self, name: str) -> bool:
        """Whether the list or the host itself says that it leaves."""
        host = self.by_name.get(name)
        if host is not None and host.is_terminating:
            return True
        return self._heartbeats.evidence(name).said_leaving

    def entries(self) -> list[addresses.EntryHost]:
        """Entry hosts that callers may use."""
        usable = set(self._view.usable()) - self.draining
        settled = {host for host in usable if not self._may_have_moved(host)}
        return [
            addresses.EntryHost(host=host.name, address=host.caller_address)
            for host in self.by_name.values()
            if host.name in (settled or usable)
        ]

    def _may_have_moved(self, host: str) -> bool:
        """Whether the list may still show where an earlier start listened."""
        restarted_s = self._heartbeats.restarted_s(host)
        return restarted_s is not None and restarted_s < _RESTART_SETTLE_S

    def live_entries(self) -> list[str]:
        """Names of entry hosts that may take duties."""
        return sorted(set(self._view.usable()) & self.by_name.keys())

    def upstreams(self) -> dict[str, str]:
        """Link addresses of the upstream hosts to keep links to, by name."""
        now = self._time.monotonic()
        self._extra_until_by_host = {
            host: until
            for host, until in self._extra_until_by_host.items()
            if until > now
        }
        wanted = self._upstreams | self._extra_until_by_host.keys()
        return {
            name: self.by_name[name].link_address
            for name in wanted
            if name in self.by_name
        }

    def want_upstream(self, host: str) -> bool:
        """Asks for a link to an upstream outside the subset for a while.

        Returns:
            Whether the host is listed.
        """
        self._extra_until_by_host[host] = (self._time.monotonic() +
                                           _EXTRA_LINK_S)
        return host in self.by_name

    def peers_to_dial(self) -> dict[str, str]:
        """Link addresses of the entry hosts that this one dials, by name.

        Of two hosts that choose each other the one whose name sorts first
        dials.
        """
        return {
            host: self.by_name[host].link_address
            for host in self._dialed
            if host in self.by_name
        }

    def _dials_us(self, host: str) -> bool:
        if host > self._own.host:
            return False
        member = self._member(host)
        return member is not None and self._own.host in membership.linked_peers(
            member, self._members)

    def _member(self, name: str) -> membership.Member | None:
        host = self.by_name.get(name)
        return None if host is None else _to_member(host)

    def reachable(self) -> versions.Reachable:
        """How many of the watched hosts of the own region are heard."""
        watched = [
            host for host in self._chosen if host in self.by_name and
            self.by_name[host].region == self._own.region
        ]
        heard = sum(1 for host in watched
                    if self._heartbeats.evidence(host).silent_s == 0.0)
        return versions.Reachable(heard=heard + 1, listed=len(watched) + 1)

    async def refresh(self) -> bool:
        """Reads the list once; False when it is silent."""
        found = await self._hosts.read()
        if isinstance(found, result.Err):
            return False
        if set(found.ok_value) != set(self.by_name):
            logging.info('host list changed hosts=%d', len(found.ok_value))
        if found.ok_value != self.by_name:
            self.by_name = found.ok_value
            self._choose()
        self._read_at = self._time.monotonic()
        return True

    def _choose(self) -> None:
        """Chooses whom to keep links to."""
        self._members = [
            _to_member(host)
            for host in self.by_name.values()
            if host.role == 'entry'
        ]
        self._upstreams = membership.upstream_subset(
            self._own, (_to_member(host)
                        for host in self.by_name.values()
                        if host.role == 'upstream'))
        self._chosen = membership.linked_peers(self._own, self._members)
        self._dialed = frozenset(
            host for host in self._chosen if not self._dials_us(host))

    def judge(self) -> None:
        """Judges the entry hosts anew and tells others of dead ones."""
        self._heartbeats.expect(self._chosen)
        before = self._view
        self._view = membership.judge({
            member.host: self._evidence(member.host) for member in self._members
        })
        for host, state in self._view.state_by_host.items():
            if before.state_by_host.get(host) is not state:
                logging.info('entry host=%s state=%s', host, state)
        if before.is_panic != self._view.is_panic:
            logging.warning('membership panic=%s', self._view.is_panic)
        self._heartbeats.report(_dead(self._view))
        usable = set(self._view.usable()) - self.draining
        self.pollers = membership.pollers(
            (m for m in self._members if m.host in usable),
            self._own.data_centre)

    def _evidence(self, host: str) -> membership.Evidence:
        return dataclasses.replace(
            self._heartbeats.evidence(host),
            listed_leaving=self.by_name[host].is_terminating)

    async def poll(self) -> None:
        """Follows the list until cancelled."""
        while True:
            await self.refresh()
            for _ in range(_JUDGEMENTS_PER_POLL):
                self.judge()
                await asyncio.sleep(_JUDGE_INTERVAL_S)


def _dead(view: membership.View) -> Iterable[str]:
    return (host for host, state in view.state_by_host.items()
            if state is membership.State.DEAD)


def _to_member(host: host_list.ListedHost) -> membership.Member:
    return membership.Member(host=host.name,
                             data_centre=host.data_centre,
                             region=host.region,
                             serves=host.service_group)
