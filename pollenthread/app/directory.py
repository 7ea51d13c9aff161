"""Tracks the hosts of the host list and the liveness of the entry hosts."""

import asyncio
import dataclasses
from collections.abc import Iterable

import result
from absl import logging

from pollenthread.app import liveness
from pollenthread.core import addresses, config_freshness, membership
from pollenthread.ports import clock, host_list

__all__ = ['HostDirectory']

_UPDATE_INTERVAL_S = 0.5
_UPDATES_PER_READ = 2
_TEMPORARY_LINK_LIFETIME_S = 30.0
_ADDRESS_SETTLE_S = 3.0


class HostDirectory:
    """Polls the host list; uses the last one while it cannot be read.

    Attributes:
        hosts_by_name: the hosts of the list.
        draining: hosts that operators have taken out of service.
        pollers: the entry hosts of the data centre that read the table for the
            others.
    """

    def __init__(self, *, hosts: host_list.HostList, time: clock.Clock,
                 own: membership.Member,
                 liveness_tracker: liveness.LivenessTracker) -> None:
        self._hosts = hosts
        self._clock = time
        self._own = own
        self._liveness = liveness_tracker
        self.hosts_by_name: dict[str, host_list.ListedHost] = {}
        self._members: list[membership.Member] = []
        self._watched_hosts: frozenset[str] = frozenset()
        self._dialed_hosts: frozenset[str] = frozenset()
        self._upstream_hosts: frozenset[str] = frozenset()
        self._membership_view = membership.MembershipView({}, False)
        self._temporary_until_by_host: dict[str, float] = {}
        self.draining: frozenset[str] = frozenset()
        self._read_at: float | None = None
        self.pollers: frozenset[str] = frozenset()

    @property
    def age_s(self) -> float | None:
        """Seconds since the list was last read; None before the first read."""
        if self._read_at is None:
            return None
        return self._clock.monotonic() - self._read_at

    @property
    def membership_view(self) -> membership.MembershipView:
        """The current states of the entry hosts."""
        return self._membership_view

    @property
    def is_poller(self) -> bool:
        """Whether this host reads the table for its data centre."""
        return self._own.host in self.pollers

    def is_leaving(self, name: str) -> bool:
        """Whether the host list or the host itself reports a shutdown."""
        host = self.hosts_by_name.get(name)
        if host is not None and host.is_terminating:
            return True
        return self._liveness.evidence(name).reported_shutdown

    def usable_entries(self) -> list[addresses.EntryHost]:
        """Returns the entry hosts that callers may use.

        Leaves out recently restarted hosts if any other host is usable.
        """
        usable = set(self._membership_view.usable()) - self.draining
        settled_hosts = {
            host for host in usable if not self._may_have_stale_address(host)
        }
        return [
            addresses.EntryHost(host=host.name, address=host.caller_address)
            for host in self.hosts_by_name.values()
            if host.name in (settled_hosts or usable)
        ]

    def _may_have_stale_address(self, host: str) -> bool:
        """Whether the list may still have the address before a restart."""
        restarted_s = self._liveness.seconds_since_restart(host)
        return restarted_s is not None and restarted_s < _ADDRESS_SETTLE_S

    def live_entries(self) -> list[str]:
        """Returns the sorted names of the entry hosts that may take duties."""
        return sorted(
            set(self._membership_view.usable()) & self.hosts_by_name.keys())

    def upstream_addresses(self) -> dict[str, str]:
        """Returns link addresses of the upstreams to link to, by host name."""
        now = self._clock.monotonic()
        self._temporary_until_by_host = {
            host: until
            for host, until in self._temporary_until_by_host.items()
            if until > now
        }
        wanted = self._upstream_hosts | self._temporary_until_by_host.keys()
        return {
            name: self.hosts_by_name[name].link_address
            for name in wanted
            if name in self.hosts_by_name
        }

    def request_upstream_link(self, host: str) -> bool:
        """Requests a temporary link to an upstream outside the subset.

        Args:
            host: the upstream's host name.

        Returns:
            Whether the host is listed.
        """
        self._temporary_until_by_host[host] = (self._clock.monotonic() +
                                               _TEMPORARY_LINK_LIFETIME_S)
        return host in self.hosts_by_name

    def peers_to_dial(self) -> dict[str, str]:
        """Returns link addresses of the entry hosts to dial, by host name.

        If two hosts select each other, the one whose name sorts first dials.
        """
        return {
            host: self.hosts_by_name[host].link_address
            for host in self._dialed_hosts
            if host in self.hosts_by_name
        }

    def _is_dialed_by(self, host: str) -> bool:
        if host > self._own.host:
            return False
        member = self._member(host)
        return (member is not None and
                self._own.host in membership.select_linked_peers(
                    member, self._members))

    def _member(self, name: str) -> membership.Member | None:
        host = self.hosts_by_name.get(name)
        return None if host is None else _to_member(host)

    def reachability(self) -> config_freshness.RegionReachability:
        """Counts the watched hosts of the own region that are reachable."""
        watched = [
            host for host in self._watched_hosts
            if host in self.hosts_by_name and
            self.hosts_by_name[host].region == self._own.region
        ]
        reachable_count = sum(1 for host in watched
                              if self._liveness.evidence(host).silent_s == 0.0)
        return config_freshness.RegionReachability(reachable=reachable_count +
                                                   1,
                                                   listed=len(watched) + 1)

    async def refresh(self) -> bool:
        """Reads the list once; False when it cannot be read."""
        found = await self._hosts.read()
        if isinstance(found, result.Err):
            return False
        if set(found.ok_value) != set(self.hosts_by_name):
            logging.info('host list changed hosts=%d', len(found.ok_value))
        if found.ok_value != self.hosts_by_name:
            self.hosts_by_name = found.ok_value
            self._select_links()
        self._read_at = self._clock.monotonic()
        return True

    def _select_links(self) -> None:
        """Selects the hosts to keep links to."""
        self._members = [
            _to_member(host)
            for host in self.hosts_by_name.values()
            if host.role == 'entry'
        ]
        self._upstream_hosts = membership.select_upstreams(
            self._own, (_to_member(host)
                        for host in self.hosts_by_name.values()
                        if host.role == 'upstream'))
        self._watched_hosts = membership.select_linked_peers(
            self._own, self._members)
        self._dialed_hosts = frozenset(host for host in self._watched_hosts
                                       if not self._is_dialed_by(host))

    def update_states(self) -> None:
        """Updates the states of the entry hosts and reports dead ones."""
        self._liveness.set_watched_hosts(self._watched_hosts)
        previous_view = self._membership_view
        self._membership_view = membership.assess_hosts({
            member.host: self._evidence(member.host) for member in self._members
        })
        for host, state in self._membership_view.state_by_host.items():
            if previous_view.state_by_host.get(host) is not state:
                logging.info('entry host=%s state=%s', host, state)
        if previous_view.is_panic != self._membership_view.is_panic:
            logging.warning('membership panic=%s',
                            self._membership_view.is_panic)
        self._liveness.report_dead(_dead_hosts(self._membership_view))
        usable = set(self._membership_view.usable()) - self.draining
        self.pollers = membership.select_pollers(
            (m for m in self._members if m.host in usable),
            self._own.data_centre)

    def _evidence(self, host: str) -> membership.HostEvidence:
        return dataclasses.replace(
            self._liveness.evidence(host),
            listed_terminating=self.hosts_by_name[host].is_terminating)

    async def poll(self) -> None:
        """Follows the list until cancelled."""
        while True:
            await self.refresh()
            for _ in range(_UPDATES_PER_READ):
                self.update_states()
                await asyncio.sleep(_UPDATE_INTERVAL_S)


def _dead_hosts(view: membership.MembershipView) -> Iterable[str]:
    return (host for host, state in view.state_by_host.items()
            if state is membership.HostState.DEAD)


def _to_member(host: host_list.ListedHost) -> membership.Member:
    return membership.Member(host=host.name,
                             data_centre=host.data_centre,
                             region=host.region,
                             serves=host.service_group)
