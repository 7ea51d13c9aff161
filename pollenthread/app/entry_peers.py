"""Exchanges heartbeats and store contents between entry hosts.

A host that cannot reach the store fetches its contents from a peer that can, so
that configuration and server changes reach it over any remaining path.
"""

import random
from collections.abc import Sequence

from pollenthread.app import host_registry, serving_state, store_listeners
from pollenthread.core import (addresses, host_record, log_events,
                               peer_messages, server_load)
from pollenthread.ports import clock, event_log, peers, row_store

__all__ = ['EntryPeers']

_HEARTBEAT_INTERVAL_S = 0.4
_HEARTBEAT_TIMEOUT_S = 1.3
# Exceeds the time that a call to the store waits for a change.
_STORE_TIMEOUT_S = 2.2
# Time for a change to reach every host that can reach the store.
_CHANGE_DELAY_S = 0.6
_PEER_CHECK_INTERVAL_S = 0.35
_MS_PER_S = 1000
_MAX_AGE_MS = 2**31
_MIN_NEARBY_HOSTS = 2


class EntryPeers:
    """Tracks live entry hosts and fetches store contents from them.

    Attributes:
        seeds: addresses of peers to use while no live one is known.
        applied_snapshot_count: snapshots fetched from peers.
    """

    def __init__(self, *, own: host_record.HostRecord,
                 hosts: host_registry.HostRegistry, seeds: Sequence[str],
                 network: peers.PeerNetwork, state: serving_state.ServingState,
                 config_listener: store_listeners.ConfigListener,
                 server_listener: store_listeners.ServerListener,
                 time: clock.Clock, log: event_log.EventLog,
                 rng: random.Random) -> None:
        self._own = own
        self._hosts = hosts
        self.seeds = seeds
        self._network = network
        self._state = state
        self._config_listener = config_listener
        self._server_listener = server_listener
        self._clock = time
        self._log = log
        self._rng = rng
        self._heartbeat_by_host: dict[str, peer_messages.EntryBeat] = {}
        self._heartbeat_at_by_host: dict[str, float] = {}
        self._id_by_address: dict[str, str] = {}
        self._behind_since: float | None = None
        self.applied_snapshot_count = 0
        network.set_datagram_handler(peer_messages.EntryBeat,
                                     self._on_heartbeat)
        network.set_datagram_handler(peer_messages.ServerLoad,
                                     self._on_server_load)
        network.set_snapshot_provider(self._make_snapshot)

    # Liveness of the other entry hosts.

    def _on_heartbeat(self, heartbeat: peer_messages.EntryBeat) -> None:
        if heartbeat.host not in self._heartbeat_by_host:
            self._log.write(log_events.LogEvent.PEER_FOUND, peer=heartbeat.host)
        self._heartbeat_by_host[heartbeat.host] = heartbeat
        self._heartbeat_at_by_host[heartbeat.host] = self._clock.monotonic()

    def _other_records(self) -> list[host_record.HostRecord]:
        return [
            record for record in self._hosts.with_role(host_record.Role.ENTRY)
            if record.host != self._own.host
        ]

    def _remove_silent_peers(self) -> None:
        now = self._clock.monotonic()
        for host, at in list(self._heartbeat_at_by_host.items()):
            if now - at > _HEARTBEAT_TIMEOUT_S:
                del self._heartbeat_at_by_host[host]
                del self._heartbeat_by_host[host]
                self._log.write(log_events.LogEvent.PEER_SILENT,
                                peer=host,
                                silent_s=round(now - at, 3))
        self._state.entry_host_count = len(self._other_records()) + 1

    def usable_addresses(self, data_centre: str) -> list[str]:
        """Returns the addresses that callers in a data centre can use.

        If no entry host is known to be ready, returns those of all registered
        ones.

        Args:
            data_centre: the data centre of the callers.
        """
        found = [
            addresses.EntryHost(record.host,
                                record.caller_address,
                                data_centre=record.data_centre)
            for record in self._other_records()
            if self._accepts_callers(record.host)
        ]
        if self._state.is_ready:
            found.append(
                addresses.EntryHost(self._own.host,
                                    self._own.caller_address,
                                    data_centre=self._own.data_centre))
        if not found:
            # Without any heartbeat, this host itself may be cut off.
            found = [
                addresses.EntryHost(record.host,
                                    record.caller_address,
                                    data_centre=record.data_centre)
                for record in (*self._other_records(), self._own)
            ]
        return addresses.addresses_near(found,
                                        data_centre,
                                        min_hosts=_MIN_NEARBY_HOSTS)

    def _accepts_callers(self, host: str) -> bool:
        heartbeat = self._heartbeat_by_host.get(host)
        return (heartbeat is not None and heartbeat.is_ready and
                not heartbeat.is_leaving)

    # Heartbeats.

    async def run(self) -> None:
        """Sends heartbeats until cancelled."""
        while True:
            self.send_heartbeat()
            self._remove_silent_peers()
            await self._clock.sleep(_HEARTBEAT_INTERVAL_S *
                                    self._rng.uniform(0.9, 1.1))

    def send_heartbeat(self) -> None:
        """Sends a heartbeat to every other entry host."""
        config = self._state.config
        heartbeat = peer_messages.EntryBeat(
            host=self._own.host,
            is_ready=self._state.is_ready,
            is_leaving=self._state.shutdown_began_at is not None,
            config_version=config.version if config else 0,
            store_age_ms=self._store_age_ms(),
            servers_changed=self._server_listener.changed_version)
        for record in self._other_records():
            self._network.send(record.peer_address, heartbeat)

    def _store_age_ms(self) -> int:
        age_s = self._clock.monotonic(
        ) - self._server_listener.contact.last_response_at
        return int(min(_MAX_AGE_MS, age_s * _MS_PER_S))

    # Load of the servers.

    def _on_server_load(self, load: peer_messages.ServerLoad) -> None:
        server = self._state.server_registry.record_start(
            load.address, load.born_ms)
        if server is None:
            return
        self._state.server_loads.record_report(
            server.id,
            server_load.ServerLoadReport(running=load.running,
                                         waiting=load.waiting,
                                         slots=load.slots,
                                         stalled_s=load.stalled_ms / _MS_PER_S,
                                         accepts_requests=load.is_open,
                                         group=load.group,
                                         pass_s=load.pass_us / 1e6),
            self._clock.monotonic())

    # Store contents from peers.

    def _make_snapshot(self) -> peer_messages.Snapshot | None:
        rows = [
            peer_messages.Row(self._server_listener.table, key, value, version)
            for key, (value,
                      version) in self._server_listener.rows_by_key.items()
        ]
        if self._config_listener.document is not None:
            rows.append(
                peer_messages.Row(self._config_listener.table,
                                  self._config_listener.key,
                                  self._config_listener.document, 0))
        rows += [
            peer_messages.Row(host_registry.HOSTS_TABLE, host, value, 0)
            for host, value in self._hosts.rows()
        ]
        return peer_messages.Snapshot(servers_version=max(
            0, self._server_listener.version),
                                      store_age_ms=self._store_age_ms(),
                                      rows=tuple(rows))

    async def fetch_from_peers(self) -> None:
        """Fetches snapshots from peers when the store lags; until cancelled."""
        while True:
            await self._clock.sleep(_PEER_CHECK_INTERVAL_S *
                                    self._rng.uniform(0.8, 1.2))
            if self._needs_snapshot():
                await self._fetch_from_peer()

    def _needs_snapshot(self) -> bool:
        now = self._clock.monotonic()
        return (now - self._server_listener.contact.last_response_at
                > _STORE_TIMEOUT_S or not self._config_listener.contact.is_up or
                self._state.config is None or self._is_config_behind() or
                self._are_servers_behind(now))

    def _are_servers_behind(self, now: float) -> bool:
        """Whether peers have had a newer server list for some time."""
        known_version = self._server_listener.version
        if all(heartbeat.servers_changed <= known_version
               for heartbeat in self._heartbeat_by_host.values()):
            self._behind_since = None
            return False
        if self._behind_since is None:
            self._behind_since = now
        return now - self._behind_since > _CHANGE_DELAY_S

    def _is_config_behind(self) -> bool:
        """Whether a peer has a newer configuration."""
        config = self._state.config
        version = config.version if config else 0
        return any(heartbeat.config_version > version
                   for heartbeat in self._heartbeat_by_host.values())

    async def _fetch_from_peer(self) -> None:
        address = self._freshest_peer()
        if address is None:
            return
        snapshot = await self._network.fetch_snapshot(address)
        if snapshot is None:
            return
        self.applied_snapshot_count += 1
        self._log.write(log_events.LogEvent.PEER_SNAPSHOT,
                        important=False,
                        peer=address,
                        servers_version=snapshot.servers_version,
                        store_age_ms=snapshot.store_age_ms)
        self._apply(snapshot)

    def _freshest_peer(self) -> str | None:
        """The address of the live peer with the freshest store contents."""
        live_records = [
            record for record in self._other_records()
            if record.host in self._heartbeat_by_host
        ]
        if not live_records:
            return self._rng.choice(self.seeds) if self.seeds else None
        self._rng.shuffle(live_records)
        best = min(live_records, key=self._staleness)
        return best.peer_address

    def _staleness(self, record: host_record.HostRecord) -> tuple[int, int]:
        heartbeat = self._heartbeat_by_host[record.host]
        is_fresh = heartbeat.store_age_ms < _STORE_TIMEOUT_S * _MS_PER_S
        return (0 if is_fresh else heartbeat.store_age_ms,
                -heartbeat.config_version)

    def _apply(self, snapshot: peer_messages.Snapshot) -> None:
        server_rows = []
        for row in snapshot.rows:
            if (row.table == self._config_listener.table and
                    row.key == self._config_listener.key):
                self._config_listener.apply_document(row.value, source='peer')
            elif row.table == self._server_listener.table:
                server_rows.append(
                    row_store.RowChange(row.key, row.value, row.version))
            elif row.table == host_registry.HOSTS_TABLE:
                if row.key not in self._hosts.records_by_host:
                    self._hosts.apply_row(row.key, row.value)
        if snapshot.servers_version > self._server_listener.version:
            is_fresh = snapshot.store_age_ms < _STORE_TIMEOUT_S * _MS_PER_S
            self._server_listener.apply_peer_snapshot(server_rows,
                                                      snapshot.servers_version,
                                                      is_fresh=is_fresh)
