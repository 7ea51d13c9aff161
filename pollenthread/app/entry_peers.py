"""Entry hosts' heartbeats, and what is learned through them.

A host that cannot reach the store asks a peer that can. So a configuration or
a leaving server becomes known wherever any path is left.
"""

import random
from collections.abc import Sequence

from pollenthread.app import knowledge, roster, serving_state
from pollenthread.core import (addresses, host_record, load_board, log_events,
                               peer_messages)
from pollenthread.ports import clock, event_log, peers, row_store

__all__ = ['EntryPeers']

_BEAT_S = 0.4
_SILENT_S = 1.3
# Longer than a call to the store waits for a change.
_STORE_STALE_S = 2.2
# A change reaches all hosts that the store answers sooner than this.
_BEHIND_S = 0.6
_SNAPSHOT_PAUSE_S = 0.35
_MS_PER_S = 1000
_MAX_AGE_MS = 2**31
_MIN_NEAR_HOSTS = 2


class EntryPeers:
    """Knows which entry hosts are alive."""

    def __init__(self, *, own: host_record.HostRecord, hosts: roster.Roster,
                 seeds: Sequence[str], network: peers.PeerNetwork,
                 state: serving_state.ServingState,
                 config: knowledge.ConfigListener,
                 servers: knowledge.ServerListener, time: clock.Clock,
                 log: event_log.EventLog, rng: random.Random) -> None:
        self._own = own
        self._hosts = hosts
        self.seeds = seeds
        self._network = network
        self._state = state
        self._config = config
        self._servers = servers
        self._clock = time
        self._log = log
        self._rng = rng
        self._beat_by_host: dict[str, peer_messages.EntryBeat] = {}
        self._beat_at_by_host: dict[str, float] = {}
        self._id_by_address: dict[str, str] = {}
        self._behind_since: float | None = None
        self.snapshots_taken = 0
        network.set_datagram_handler(peer_messages.EntryBeat, self._take_beat)
        network.set_datagram_handler(peer_messages.ServerLoad, self._take_load)
        network.set_snapshot_provider(self._snapshot)

    # Who is alive.

    def _take_beat(self, beat: peer_messages.EntryBeat) -> None:
        if beat.host not in self._beat_by_host:
            self._log.write(log_events.LogEvent.PEER_FOUND, peer=beat.host)
        self._beat_by_host[beat.host] = beat
        self._beat_at_by_host[beat.host] = self._clock.monotonic()

    def _others(self) -> list[host_record.HostRecord]:
        return [
            record for record in self._hosts.with_role(host_record.Role.ENTRY)
            if record.host != self._own.host
        ]

    def _forget_silent(self) -> None:
        now = self._clock.monotonic()
        for host, at in list(self._beat_at_by_host.items()):
            if now - at > _SILENT_S:
                del self._beat_at_by_host[host]
                del self._beat_by_host[host]
                self._log.write(log_events.LogEvent.PEER_SILENT,
                                peer=host,
                                silent_s=round(now - at, 3))
        self._state.entry_hosts = len(self._others()) + 1

    def usable(self, data_centre: str) -> list[str]:
        """Caller addresses of the entry hosts to use from a data centre."""
        found = [
            addresses.EntryHost(record.host,
                                record.caller_address,
                                data_centre=record.data_centre)
            for record in self._others()
            if self._takes_callers(record.host)
        ]
        if self._state.is_ready:
            found.append(
                addresses.EntryHost(self._own.host,
                                    self._own.caller_address,
                                    data_centre=self._own.data_centre))
        if not found:
            # Nobody is heard from: the fault may well be on this side.
            found = [
                addresses.EntryHost(record.host,
                                    record.caller_address,
                                    data_centre=record.data_centre)
                for record in (*self._others(), self._own)
            ]
        return addresses.near(found, data_centre, at_least=_MIN_NEAR_HOSTS)

    def _takes_callers(self, host: str) -> bool:
        beat = self._beat_by_host.get(host)
        return beat is not None and beat.is_ready and not beat.is_leaving

    # Heartbeats.

    async def run(self) -> None:
        """Beats until cancelled."""
        while True:
            self.beat()
            self._forget_silent()
            await self._clock.sleep(_BEAT_S * self._rng.uniform(0.9, 1.1))

    def beat(self) -> None:
        """Tells the other entry hosts about this one."""
        config = self._state.config
        beat = peer_messages.EntryBeat(
            host=self._own.host,
            is_ready=self._state.is_ready,
            is_leaving=self._state.leaving_since is not None,
            config_version=config.version if config else 0,
            store_age_ms=self._store_age_ms(),
            servers_changed=self._servers.changed_version)
        for record in self._others():
            self._network.send(record.peer_address, beat)

    def _store_age_ms(self) -> int:
        age_s = self._clock.monotonic() - self._servers.contact.last_at
        return int(min(_MAX_AGE_MS, age_s * _MS_PER_S))

    # Load.

    def _take_load(self, news: peer_messages.ServerLoad) -> None:
        server = self._state.fleet.note_start(news.address, news.born_ms)
        if server is None:
            return
        self._state.loads.report(
            server.id,
            load_board.LoadReport(running=news.running,
                                  waiting=news.waiting,
                                  slots=news.slots,
                                  stalled_s=news.stalled_ms / _MS_PER_S,
                                  is_open=news.is_open,
                                  group=news.group,
                                  pass_s=news.pass_us / 1e6),
            self._clock.monotonic())

    # What peers know of the store.

    def _snapshot(self) -> peer_messages.Snapshot | None:
        rows = [
            peer_messages.Row(self._servers.table, key, value, version)
            for key, (value, version) in self._servers.rows_by_key.items()
        ]
        if self._config.document is not None:
            rows.append(
                peer_messages.Row(self._config.table, self._config.key,
                                  self._config.document, 0))
        rows += [
            peer_messages.Row(roster.TABLE, host, value, 0)
            for host, value in self._hosts.rows()
        ]
        return peer_messages.Snapshot(servers_version=max(
            0, self._servers.version),
                                      store_age_ms=self._store_age_ms(),
                                      rows=tuple(rows))

    async def follow_peers(self) -> None:
        """Asks peers while the store does not answer; until cancelled."""
        while True:
            await self._clock.sleep(_SNAPSHOT_PAUSE_S *
                                    self._rng.uniform(0.8, 1.2))
            if self._needs_peers():
                await self._ask_peer()

    def _needs_peers(self) -> bool:
        now = self._clock.monotonic()
        return (now - self._servers.contact.last_at > _STORE_STALE_S or
                not self._config.contact.is_up or self._state.config is None or
                self._is_behind() or self._lacks_servers(now))

    def _lacks_servers(self, now: float) -> bool:
        """Whether peers have known of a change of the servers for a while."""
        known = self._servers.version
        if all(beat.servers_changed <= known
               for beat in self._beat_by_host.values()):
            self._behind_since = None
            return False
        if self._behind_since is None:
            self._behind_since = now
        return now - self._behind_since > _BEHIND_S

    def _is_behind(self) -> bool:
        """Whether a peer has a newer configuration."""
        config = self._state.config
        version = config.version if config else 0
        return any(beat.config_version > version
                   for beat in self._beat_by_host.values())

    async def _ask_peer(self) -> None:
        address = self._informed_peer()
        if address is None:
            return
        snapshot = await self._network.fetch_snapshot(address)
        if snapshot is None:
            return
        self.snapshots_taken += 1
        self._log.write(log_events.LogEvent.PEER_SNAPSHOT,
                        important=False,
                        peer=address,
                        servers_version=snapshot.servers_version,
                        store_age_ms=snapshot.store_age_ms)
        self._apply(snapshot)

    def _informed_peer(self) -> str | None:
        """The peer that has heard from the store last, among the live ones."""
        live = [
            record for record in self._others()
            if record.host in self._beat_by_host
        ]
        if not live:
            return self._rng.choice(self.seeds) if self.seeds else None
        self._rng.shuffle(live)
        best = min(live, key=self._staleness)
        return best.peer_address

    def _staleness(self, record: host_record.HostRecord) -> tuple[int, int]:
        beat = self._beat_by_host[record.host]
        is_fresh = beat.store_age_ms < _STORE_STALE_S * _MS_PER_S
        return (0 if is_fresh else beat.store_age_ms, -beat.config_version)

    def _apply(self, snapshot: peer_messages.Snapshot) -> None:
        server_rows = []
        for row in snapshot.rows:
            if row.table == self._config.table and row.key == self._config.key:
                self._config.apply(row.value, source='peer')
            elif row.table == self._servers.table:
                server_rows.append(
                    row_store.RowChange(row.key, row.value, row.version))
            elif row.table == roster.TABLE:
                if row.key not in self._hosts.records_by_host:
                    self._hosts.take_row(row.key, row.value)
        if snapshot.servers_version > self._servers.version:
            is_fresh = snapshot.store_age_ms < _STORE_STALE_S * _MS_PER_S
            self._servers.take_snapshot(server_rows,
                                        snapshot.servers_version,
                                        is_fresh=is_fresh)
