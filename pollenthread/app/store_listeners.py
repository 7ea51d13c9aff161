"""Applies configuration and server rows from the store to the serving state.

The decoders come from the platform's adapter. A row that cannot be decoded is
counted and logged, and the previous state stays in effect.
"""

import abc
import dataclasses
from collections.abc import Callable, Sequence

import result

from pollenthread.app import serving_state, store_follower
from pollenthread.core import log_events, routing_config, server_registry
from pollenthread.ports import clock, event_log, row_store

__all__ = ['ConfigListener', 'ServerListener', 'StoreContact']

ConfigDecoder = Callable[[bytes], result.Result[routing_config.RoutingConfig,
                                                str]]
ServerDecoder = Callable[[str, bytes], result.Result[server_registry.Server,
                                                     str]]


@dataclasses.dataclass
class StoreContact:
    """The availability of the store.

    Attributes:
        last_response_at: monotonic seconds of the last response; -inf before
            the first one.
        is_up: whether the store responded to the last call.
    """

    last_response_at: float = float('-inf')
    is_up: bool = False


class _OutageListener(store_follower.TableListener):
    """Base of listeners that track outages of the store.

    Attributes:
        contact: the availability of the store.
        rejected_count: rows that could not be decoded.
        table: the name of the table.
    """

    def __init__(self, *, state: serving_state.ServingState, time: clock.Clock,
                 log: event_log.EventLog, table: str) -> None:
        self.contact = StoreContact()
        self.rejected_count = 0
        self._state = state
        self._clock = time
        self._log = log
        self.table = table

    @abc.abstractmethod
    def on_full_read(self, rows: Sequence[row_store.RowChange]) -> None:
        ...

    @abc.abstractmethod
    def on_changes(self, rows: Sequence[row_store.RowChange]) -> None:
        ...

    def on_error(self, error: row_store.StoreError) -> None:
        if self.contact.is_up:
            self._log.write(log_events.LogEvent.STORE_LOST,
                            table=self.table,
                            fault=error.value)
        self.contact.is_up = False

    def on_contact(self, version: int) -> None:
        now = self._clock.monotonic()
        if not self.contact.is_up:
            self._log.write(log_events.LogEvent.STORE_REGAINED,
                            table=self.table,
                            version=version,
                            away_s=round(now - self.contact.last_response_at,
                                         3))
        self.contact.is_up = True
        self.contact.last_response_at = now


class ConfigListener(_OutageListener):
    """Applies new versions of the configuration; ignores older ones.

    Attributes:
        key: the key of the configuration's row.
        document: the current configuration document; None before the first.
        applied_callbacks: functions called with each new configuration.
    """

    def __init__(self, *, state: serving_state.ServingState, time: clock.Clock,
                 log: event_log.EventLog, table: str, key: str,
                 decode: ConfigDecoder) -> None:
        super().__init__(state=state, time=time, log=log, table=table)
        self.key = key
        self._decode = decode
        self.document: bytes | None = None
        self.applied_callbacks: list[Callable[[routing_config.RoutingConfig],
                                              None]] = []

    def on_full_read(self, rows: Sequence[row_store.RowChange]) -> None:
        self.on_changes(rows)

    def on_changes(self, rows: Sequence[row_store.RowChange]) -> None:
        for row in rows:
            if row.key == self.key and row.value is not None:
                self.apply_document(row.value, source='store')

    def apply_document(self, document: bytes, *, source: str) -> None:
        """Applies a document if its version is higher than the current one.

        Args:
            document: the encoded configuration.
            source: where it came from, for the log.
        """
        decoded = self._decode(document)
        if isinstance(decoded, result.Err):
            self.rejected_count += 1
            self._log.write(log_events.LogEvent.CONFIG_REJECTED,
                            source=source,
                            reason=decoded.err_value)
            return
        config = decoded.ok_value
        current = self._state.config
        if current is not None and config.version <= current.version:
            return
        self._state.config = config
        self.document = document
        for callback in self.applied_callbacks:
            callback(config)
        self._log.write(log_events.LogEvent.CONFIG_APPLIED,
                        version=config.version,
                        before=current.version if current else None,
                        source=source)


class ServerListener(_OutageListener):
    """Maintains the list of servers.

    Attributes:
        version: the store's version that the list is complete up to.
        changed_version: the version of the newest row.
        rows_by_key: value and version of each row.
    """

    def __init__(self, *, state: serving_state.ServingState, time: clock.Clock,
                 log: event_log.EventLog, table: str,
                 decode: ServerDecoder) -> None:
        super().__init__(state=state, time=time, log=log, table=table)
        self._decode = decode
        self.version = -1
        self.changed_version = 0
        self.rows_by_key: dict[str, tuple[bytes, int]] = {}

    def apply_peer_snapshot(self, rows: Sequence[row_store.RowChange],
                            version: int, *, is_fresh: bool) -> None:
        """Replaces the list with the list of a peer.

        Args:
            rows: all rows of the table.
            version: the store's version that the rows are complete up to.
            is_fresh: whether the peer can reach the store now.
        """
        self.version = version
        if is_fresh:
            self._state.server_registry.cancel_outage()
        self.on_full_read(rows)

    def on_full_read(self, rows: Sequence[row_store.RowChange]) -> None:
        self.rows_by_key = {
            row.key: (row.value, row.version)
            for row in rows
            if row.value is not None
        }
        decoded = [self._decode_row(row) for row in rows]
        servers = [server for server in decoded if server is not None]
        self._record_versions(rows)
        now = self._clock.monotonic()
        known_ids = set(self._state.server_registry.listed_by_id)
        for server_id in self._state.server_registry.replace_all(servers, now):
            self._log_gone(server_id)
        for server in servers:
            if server.id not in known_ids:
                self._log_listed(server)

    def _record_versions(self, rows: Sequence[row_store.RowChange]) -> None:
        newest = max((row.version for row in rows), default=0)
        self.changed_version = max(self.changed_version, newest)

    def on_changes(self, rows: Sequence[row_store.RowChange]) -> None:
        self._record_versions(rows)
        for row in rows:
            if row.value is None:
                self.rows_by_key.pop(row.key, None)
                self._remove(row.key)
                continue
            self.rows_by_key[row.key] = (row.value, row.version)
            if (server := self._decode_row(row)) is not None:
                self._put(server)

    def on_error(self, error: row_store.StoreError) -> None:
        super().on_error(error)
        self._state.server_registry.begin_outage()

    def on_contact(self, version: int) -> None:
        super().on_contact(version)
        self.version = version
        now = self._clock.monotonic()
        self._state.server_registry.end_outage(now)
        for server_id in self._state.server_registry.drop_expired(now):
            self._log_gone(server_id)

    def _decode_row(self,
                    row: row_store.RowChange) -> server_registry.Server | None:
        if row.value is None:
            return None
        decoded = self._decode(row.key, row.value)
        if isinstance(decoded, result.Err):
            self.rejected_count += 1
            self._log.write(log_events.LogEvent.SERVER_ENTRY_REJECTED,
                            important=False,
                            server=row.key,
                            reason=decoded.err_value)
            return None
        return decoded.ok_value

    def _put(self, server: server_registry.Server) -> None:
        before = self._state.server_registry.listed_by_id.get(server.id)
        if before == server:
            return
        self._state.server_registry.put(server)
        if before is None:
            self._log_listed(server)
        elif before.state is not server.state:
            self._log.write(log_events.LogEvent.SERVER_DRAINING,
                            server=server.id,
                            state=server.state.value)

    def _remove(self, server_id: str) -> None:
        if server_id not in self._state.server_registry.listed_by_id:
            return
        self._state.server_registry.remove(server_id, self._clock.monotonic())
        if self._state.server_registry.get(server_id) is None:
            self._log_gone(server_id)

    def _log_listed(self, server: server_registry.Server) -> None:
        self._log.write(log_events.LogEvent.SERVER_LISTED,
                        server=server.id,
                        service=server.service,
                        address=server.address,
                        state=server.state.value)

    def _log_gone(self, server_id: str) -> None:
        self._state.server_loads.remove(server_id)
        self._log.write(log_events.LogEvent.SERVER_GONE, server=server_id)
