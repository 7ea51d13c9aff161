"""Decides which hosts follow the store, and keeps the others up to date.

If every host followed the store itself, its calls would grow with the
deployment. Instead, one entry host of each data centre, and at least
`_MIN_WATCHERS` in all, follow it. Their heartbeats tell of changes, which the
other hosts then fetch from them. A host that hears no watcher follows the store
itself.
"""

import asyncio
import random
from collections.abc import Sequence

from pollenthread.app import (config_listeners, entry_liveness, host_registry,
                              serving_state, snapshot_exchange, store_listeners)
from pollenthread.core import host_record, membership, peer_messages
from pollenthread.ports import clock

__all__ = ['AgentStoreWatch', 'EntryStoreWatch', 'to_member']

_MIN_WATCHERS = 3
# Time for which a host that the store did not answer is not a watcher, if
# another one can be.
_REFUSAL_S = 5.0
# Time for a change to reach a watcher from the store itself.
_CHANGE_DELAY_S = 0.6
_CHECK_INTERVAL_S = 0.35
_AGENT_TIMEOUT_S = 3.0
_MAX_AGENT_DELAY_S = 0.1
_MS_PER_S = 1000


class EntryStoreWatch:
    """The part of one entry host in following the store.

    Attributes:
        seeds: addresses of peers to use while no live one is known.
    """

    def __init__(self, *, own: host_record.HostRecord,
                 hosts: host_registry.HostRegistry,
                 liveness: entry_liveness.EntryLiveness, seeds: Sequence[str],
                 exchange: snapshot_exchange.SnapshotExchange,
                 state: serving_state.ServingState,
                 config_listener: config_listeners.ConfigListener,
                 server_listener: store_listeners.ServerListener,
                 time: clock.Clock, rng: random.Random) -> None:
        self._own = own
        self._hosts = hosts
        self._liveness = liveness
        self.seeds = seeds
        self._exchange = exchange
        self._state = state
        self._config_listener = config_listener
        self._server_listener = server_listener
        self._clock = time
        self._rng = rng
        self._is_watcher = True
        self._news = asyncio.Event()
        self._behind_since: float | None = None

    # Who follows the store.

    @property
    def is_watcher(self) -> bool:
        """Whether this host follows the store now."""
        return self._is_watcher

    @property
    def is_store_up(self) -> bool:
        """Whether no call of this host to the store has failed recently."""
        contact = self._server_listener.contact
        return (contact.is_up or
                self._clock.monotonic() - contact.failed_at > _REFUSAL_S)

    def update(self) -> None:
        """Decides anew whether this host follows the store."""
        self._is_watcher = self._own.host in self._select_watchers()
        self._update_outage()
        self._server_listener.drop_expired()

    def _select_watchers(self) -> frozenset[str]:
        """Returns the watchers of the own data centre."""
        near = [
            record for record in self._liveness.live_records()
            if record.data_centre == self._own.data_centre
        ]
        data_centres = {r.data_centre for r in self._liveness.other_records()
                       } | {self._own.data_centre}
        candidates = [r for r in near if self._may_watch(r)]
        if self._state.shutdown_began_at is None and self.is_store_up:
            candidates.append(self._own)
        return membership.select_pollers(
            map(to_member, candidates or (*near, self._own)),
            self._own.data_centre,
            count=-(-_MIN_WATCHERS // len(data_centres)))

    def _may_watch(self, record: host_record.HostRecord) -> bool:
        heartbeat = self._liveness.heartbeat_of(record.host)
        return (heartbeat is not None and heartbeat.is_store_up and
                not heartbeat.is_leaving)

    def _update_outage(self) -> None:
        """Notes whether the store answers any of the watchers."""
        watchers = [h for h in self._liveness.heartbeats() if h.is_watcher]
        # A new watcher has not called the store yet and may have old content.
        if any(h.is_store_up and snapshot_exchange.is_fresh(h.store_age_ms)
               for h in watchers):
            self._server_listener.record_outage(is_up=True)
        elif watchers and not (self._is_watcher and self.is_store_up):
            self._server_listener.record_outage(is_up=False)

    # Content of the store from peers.

    def on_heartbeat(self, heartbeat: peer_messages.EntryBeat) -> None:
        """Notes what a heartbeat says of the store's content."""
        self._update_outage()
        if self._is_behind(heartbeat):
            if not self._is_watcher and self._is_near(heartbeat):
                self._news.set()
            return
        answered_at = (self._clock.monotonic() -
                       heartbeat.store_age_ms / _MS_PER_S)
        self._server_listener.record_peer_contact(answered_at)

    def _is_near(self, heartbeat: peer_messages.EntryBeat) -> bool:
        """Whether a heartbeat is from the own data centre.

        The watchers of the own one learn of a change at about the same time as
        others. If they do not, the next regular check finds it.
        """
        record = self._hosts.records_by_host.get(heartbeat.host)
        return (record is None or record.data_centre == self._own.data_centre)

    def _is_behind(self, heartbeat: peer_messages.EntryBeat) -> bool:
        servers, hosts = self._server_listener.version, self._hosts.version
        return (heartbeat.servers_version(servers) > servers or
                heartbeat.config_version > self._config_listener.offered_version
                or heartbeat.hosts_version(hosts) > hosts)

    async def run(self) -> None:
        """Fetches content from peers when this host is behind."""
        while True:
            interval_s = _CHECK_INTERVAL_S * self._rng.uniform(0.8, 1.2)
            try:
                async with asyncio.timeout(interval_s):
                    await self._news.wait()
            except TimeoutError:
                pass
            self._news.clear()
            if self._needs_snapshot():
                await self._fetch_from_peer()

    def _needs_snapshot(self) -> bool:
        now = self._clock.monotonic()
        heartbeats = self._liveness.heartbeats()
        if (now - self._server_listener.contact.last_response_at
                > snapshot_exchange.STORE_TIMEOUT_S or
                self._state.config is None):
            return True
        if not self._is_watcher:
            return any(map(self._is_behind, heartbeats))
        return (not self._config_listener.contact.is_up or
                any(h.config_version > self._config_listener.offered_version
                    for h in heartbeats) or self._are_servers_behind(now))

    def _are_servers_behind(self, now: float) -> bool:
        """Whether peers have had a newer server list for some time."""
        version = self._server_listener.version
        if all(
                h.servers_version(version) <= version
                for h in self._liveness.heartbeats()):
            self._behind_since = None
            return False
        if self._behind_since is None:
            self._behind_since = now
        return now - self._behind_since > _CHANGE_DELAY_S

    async def _fetch_from_peer(self) -> None:
        address = self._freshest_peer()
        if address is not None:
            await self._exchange.fetch(address)

    def _freshest_peer(self) -> str | None:
        """The address of the live peer with the newest store contents."""
        live_records = self._liveness.live_records()
        if not live_records:
            return self._rng.choice(self.seeds) if self.seeds else None
        self._rng.shuffle(live_records)
        best = min(live_records, key=self._staleness)
        return best.peer_address

    def _staleness(
            self,
            record: host_record.HostRecord) -> tuple[int, int, int, int, bool]:
        heartbeat = self._liveness.heartbeat_of(record.host)
        assert heartbeat is not None
        age_ms = heartbeat.store_age_ms
        servers = heartbeat.servers_version(self._server_listener.version)
        hosts = heartbeat.hosts_version(self._hosts.version)
        return (0 if snapshot_exchange.is_fresh(age_ms) else age_ms,
                -heartbeat.config_version, -servers.token, -hosts.token,
                record.data_centre != self._own.data_centre)


class AgentStoreWatch:
    """Keeps an agent up to date with the watchers of its data centre."""

    def __init__(self, *, hosts: host_registry.HostRegistry,
                 exchange: snapshot_exchange.SnapshotExchange,
                 config_listener: config_listeners.ConfigListener,
                 time: clock.Clock, rng: random.Random) -> None:
        self._hosts = hosts
        self._exchange = exchange
        self._config_listener = config_listener
        self._clock = time
        self._rng = rng
        self._heard_at = time.monotonic()
        self._newest: peer_messages.EntryBeat | None = None
        self._news = asyncio.Event()

    @property
    def is_watcher(self) -> bool:
        """Whether this agent follows the store, since it hears no watcher."""
        return self._clock.monotonic() - self._heard_at > _AGENT_TIMEOUT_S

    def on_heartbeat(self, heartbeat: peer_messages.EntryBeat) -> None:
        """Notes what a heartbeat says of the store's content."""
        self._heard_at = self._clock.monotonic()
        if (heartbeat.config_version > self._config_listener.offered_version or
                heartbeat.hosts_version(
                    self._hosts.version) > self._hosts.version):
            self._newest = heartbeat
            self._news.set()

    async def run(self) -> None:
        """Fetches content from watchers when this agent is behind."""
        while True:
            await self._news.wait()
            self._news.clear()
            await self._clock.sleep(self._rng.uniform(0.0, _MAX_AGENT_DELAY_S))
            if self._newest is not None:
                await self._exchange.fetch(self._newest.peer_address)


def to_member(record: host_record.HostRecord) -> membership.Member:
    """Returns the host of a record as a candidate for watching the store."""
    return membership.Member(host=record.host,
                             data_centre=record.data_centre,
                             region='')
