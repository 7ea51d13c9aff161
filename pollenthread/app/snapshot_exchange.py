"""Exchanges cached rows of the store between hosts."""

from collections.abc import Iterable

from pollenthread.app import (config_listeners, host_registry, row_cache,
                              store_listeners)
from pollenthread.core import (document_patch, log_events, peer_messages,
                               store_version)
from pollenthread.ports import clock, event_log, peers, row_store

__all__ = ['STORE_TIMEOUT_S', 'SnapshotExchange', 'is_fresh']

STORE_TIMEOUT_S = 2.2
"""Time without a response after which the store's content may be outdated;
exceeds the time that a call to the store waits for a change."""

_MS_PER_S = 1000
_MAX_AGE_MS = 2**31


class SnapshotExchange:
    """Provides rows to peers and applies rows of peers.

    Attributes:
        applied_count: snapshots fetched from peers.
    """

    def __init__(
        self,
        *,
        network: peers.PeerNetwork,
        hosts: host_registry.HostRegistry,
        config_listener: config_listeners.ConfigListener,
        server_listener: store_listeners.ServerListener | None,
        time: clock.Clock,
        log: event_log.EventLog,
        config_form: peer_messages.ConfigForm = peer_messages.ConfigForm.PATCHES
    ) -> None:
        """Initializes an exchange.

        Args:
            network: fetches the rows of peers.
            hosts: the registered hosts.
            config_listener: the configuration.
            server_listener: the servers; None if this host needs none.
            time: the clock.
            log: the structured log.
            config_form: how this host wants the configuration.
        """
        self._config_form = config_form
        self._network = network
        self._hosts = hosts
        self._config_listener = config_listener
        self._server_listener = server_listener
        self._clock = time
        self._log = log
        self.applied_count = 0

    def store_age_ms(self) -> int:
        """Returns the age of the known content of the store."""
        listener = self._server_listener or self._config_listener
        age_s = self._clock.monotonic() - listener.contact.last_response_at
        return int(min(_MAX_AGE_MS, age_s * _MS_PER_S))

    # Rows for peers.

    def make_snapshot(
            self,
            known: peer_messages.SnapshotRequest) -> peer_messages.Snapshot:
        """Returns the rows that a peer does not know.

        Args:
            known: what the peer knows.
        """
        hosts = self._hosts.cache.changes_after(
            store_version.told_version(known.hosts_era, known.hosts_after,
                                       self._hosts.version))
        rows = _encode_rows(host_registry.HOSTS_TABLE, hosts.rows)
        servers = row_cache.RowDelta((), is_whole=False)
        servers_version = store_version.START
        if known.wants_servers and self._server_listener is not None:
            servers_version = self._server_listener.version
            servers = self._server_listener.cache.changes_after(
                store_version.told_version(known.servers_era,
                                           known.servers_after,
                                           servers_version))
            rows += _encode_rows(self._server_listener.table, servers.rows)
        config = self._config_listener
        patches: tuple[document_patch.DocumentPatch, ...] = ()
        if known.config_form is peer_messages.ConfigForm.ROW:
            rows += self._encode_config(known.config_after)
        else:
            patches = config.patches_for(known.config_after, known.config_form)
        return peer_messages.Snapshot(
            servers_version=servers_version.counter,
            store_age_ms=self.store_age_ms(),
            rows=tuple(rows),
            hosts_version=self._hosts.version.counter,
            has_all_servers=servers.is_whole,
            has_all_hosts=hosts.is_whole,
            servers_era=servers_version.era,
            hosts_era=self._hosts.version.era,
            config_patches=patches,
            config_row_version=config.row_version.counter,
            config_row_era=config.row_version.era)

    def _encode_config(self, known_version: int) -> list[peer_messages.Row]:
        listener = self._config_listener
        if listener.version <= known_version:
            return []
        return [
            peer_messages.Row(listener.table,
                              listener.key,
                              listener.history.document,
                              listener.row_version.counter,
                              era=listener.row_version.era)
        ]

    # Rows of peers.

    async def fetch(self, address: str) -> bool:
        """Fetches and applies the rows of a peer that are not known here.

        Args:
            address: the peer's address.

        Returns:
            Whether the peer sent them.
        """
        asked_at = self._clock.monotonic()
        snapshot = await self._network.fetch_snapshot(address, self._known())
        took_s = round(self._clock.monotonic() - asked_at, 3)
        if snapshot is None:
            self._log.write(log_events.LogEvent.PEER_FETCH_FAILED,
                            important=False,
                            peer=address,
                            took_s=took_s)
            return False
        self.applied_count += 1
        self._log.write(log_events.LogEvent.PEER_SNAPSHOT,
                        important=False,
                        peer=address,
                        servers_version=snapshot.servers_version,
                        rows=len(snapshot.rows),
                        store_age_ms=snapshot.store_age_ms,
                        took_s=took_s)
        self._apply(snapshot)
        return True

    def _known(self) -> peer_messages.SnapshotRequest:
        listener = self._server_listener
        servers = listener.version if listener else store_version.START
        return peer_messages.SnapshotRequest(
            servers_after=servers.counter,
            hosts_after=self._hosts.version.counter,
            config_after=self._config_listener.patched_version,
            wants_servers=listener is not None,
            servers_era=servers.era,
            hosts_era=self._hosts.version.era,
            config_form=self._config_form)

    def _apply(self, snapshot: peer_messages.Snapshot) -> None:
        config = self._config_listener
        for row in _rows_of(snapshot, config.table, config.row_version):
            if row.key == config.key and row.value is not None:
                config.offer_document(row.value, row.version, source='peer')
        config.offer_patches(
            snapshot.config_patches,
            store_version.told_version(snapshot.config_row_era,
                                       snapshot.config_row_version,
                                       config.row_version))
        known = self._hosts.version
        self._hosts.apply_peer_rows(
            row_cache.RowDelta(
                _rows_of(snapshot, host_registry.HOSTS_TABLE, known),
                snapshot.has_all_hosts),
            store_version.told_version(snapshot.hosts_era,
                                       snapshot.hosts_version, known))
        servers = self._server_listener
        if servers is not None:
            known = servers.version
            servers.apply_peer_rows(
                row_cache.RowDelta(_rows_of(snapshot, servers.table, known),
                                   snapshot.has_all_servers),
                store_version.told_version(snapshot.servers_era,
                                           snapshot.servers_version, known),
                is_fresh=is_fresh(snapshot.store_age_ms))


def is_fresh(store_age_ms: int) -> bool:
    """Returns whether content of the store with this age is the present one."""
    return store_age_ms < STORE_TIMEOUT_S * _MS_PER_S


def _encode_rows(
        table: str,
        rows: Iterable[row_store.RowChange]) -> list[peer_messages.Row]:
    return [
        peer_messages.Row(table,
                          row.key,
                          row.value or b'',
                          row.version.counter,
                          is_removed=row.value is None,
                          era=row.version.era) for row in rows
    ]


def _rows_of(
        snapshot: peer_messages.Snapshot, table: str,
        known: store_version.StoreVersion) -> tuple[row_store.RowChange, ...]:
    return tuple(
        row_store.RowChange(
            row.key, None if row.is_removed else row.value,
            store_version.told_version(row.era, row.version, known))
        for row in snapshot.rows
        if row.table == table)
