"""Turns rows of the store into what an entry host knows.

The decoders come from the platform's adapter. A row that cannot be decoded is
counted and logged, and what was known before holds.
"""

import abc
import dataclasses
from collections.abc import Callable, Sequence

import result

from pollenthread.app import serving_state, store_follower
from pollenthread.core import fleet, log_events, routing_config
from pollenthread.ports import clock, event_log, row_store

__all__ = ['ConfigListener', 'Contact', 'ServerListener']

ConfigDecoder = Callable[[bytes], result.Result[routing_config.RoutingConfig,
                                                str]]
ServerDecoder = Callable[[str, bytes], result.Result[fleet.Server, str]]


@dataclasses.dataclass
class Contact:
    """When the store last answered, and whether it does now.

    Attributes:
        last_at: monotonic seconds of the last answer; -inf before the first.
        is_up: whether the last call was answered.
    """

    last_at: float = float('-inf')
    is_up: bool = False


class _Listener(store_follower.TableListener):
    """Keeps track of the store's outages."""

    def __init__(self, *, state: serving_state.ServingState, time: clock.Clock,
                 log: event_log.EventLog, table: str) -> None:
        self.contact = Contact()
        self.rejected = 0
        self._state = state
        self._clock = time
        self._log = log
        self.table = table

    @abc.abstractmethod
    def take_table(self, rows: Sequence[row_store.RowChange]) -> None:
        ...

    @abc.abstractmethod
    def take_changes(self, rows: Sequence[row_store.RowChange]) -> None:
        ...

    def take_fault(self, fault: row_store.StoreError) -> None:
        if self.contact.is_up:
            self._log.write(log_events.LogEvent.STORE_LOST,
                            table=self.table,
                            fault=fault.value)
        self.contact.is_up = False

    def take_contact(self, version: int) -> None:
        now = self._clock.monotonic()
        if not self.contact.is_up:
            self._log.write(log_events.LogEvent.STORE_REGAINED,
                            table=self.table,
                            version=version,
                            away_s=round(now - self.contact.last_at, 3))
        self.contact.is_up = True
        self.contact.last_at = now


class ConfigListener(_Listener):
    """Applies the newest configuration; versions only rise."""

    def __init__(self, *, state: serving_state.ServingState, time: clock.Clock,
                 log: event_log.EventLog, table: str, key: str,
                 decode: ConfigDecoder) -> None:
        super().__init__(state=state, time=time, log=log, table=table)
        self.key = key
        self._decode = decode
        self.document: bytes | None = None
        self.on_applied: list[Callable[[routing_config.RoutingConfig],
                                       None]] = []

    def take_table(self, rows: Sequence[row_store.RowChange]) -> None:
        self.take_changes(rows)

    def take_changes(self, rows: Sequence[row_store.RowChange]) -> None:
        for row in rows:
            if row.key == self.key and row.value is not None:
                self.apply(row.value, source='store')

    def apply(self, document: bytes, *, source: str) -> None:
        """Applies a document if its version is higher than the present one."""
        decoded = self._decode(document)
        if isinstance(decoded, result.Err):
            self.rejected += 1
            self._log.write(log_events.LogEvent.CONFIG_REJECTED,
                            source=source,
                            reason=decoded.err_value)
            return
        config = decoded.ok_value
        present = self._state.config
        if present is not None and config.version <= present.version:
            return
        self._state.config = config
        self.document = document
        for act in self.on_applied:
            act(config)
        self._log.write(log_events.LogEvent.CONFIG_APPLIED,
                        version=config.version,
                        before=present.version if present else None,
                        source=source)


class ServerListener(_Listener):
    """Keeps the list of servers."""

    def __init__(self, *, state: serving_state.ServingState, time: clock.Clock,
                 log: event_log.EventLog, table: str,
                 decode: ServerDecoder) -> None:
        super().__init__(state=state, time=time, log=log, table=table)
        self._decode = decode
        self.version = -1
        self.changed_version = 0
        self.rows_by_key: dict[str, tuple[bytes, int]] = {}

    def take_snapshot(self, rows: Sequence[row_store.RowChange], version: int,
                      *, is_fresh: bool) -> None:
        """Takes the list of a peer.

        Args:
            rows: the whole list.
            version: the store's counter that it covers.
            is_fresh: whether the peer reaches the store now.
        """
        self.version = version
        if is_fresh:
            self._state.fleet.trust_list()
        self.take_table(rows)

    def take_table(self, rows: Sequence[row_store.RowChange]) -> None:
        self.rows_by_key = {
            row.key: (row.value, row.version)
            for row in rows
            if row.value is not None
        }
        decoded = [self._decode_row(row) for row in rows]
        servers = [server for server in decoded if server is not None]
        self._note_versions(rows)
        now = self._clock.monotonic()
        known = set(self._state.fleet.listed_by_id)
        for server_id in self._state.fleet.replace_all(servers, now):
            self._log_gone(server_id)
        for server in servers:
            if server.id not in known:
                self._log_listed(server)

    def _note_versions(self, rows: Sequence[row_store.RowChange]) -> None:
        newest = max((row.version for row in rows), default=0)
        self.changed_version = max(self.changed_version, newest)

    def take_changes(self, rows: Sequence[row_store.RowChange]) -> None:
        self._note_versions(rows)
        for row in rows:
            if row.value is None:
                self.rows_by_key.pop(row.key, None)
                self._remove(row.key)
                continue
            self.rows_by_key[row.key] = (row.value, row.version)
            if (server := self._decode_row(row)) is not None:
                self._put(server)

    def take_fault(self, fault: row_store.StoreError) -> None:
        super().take_fault(fault)
        self._state.fleet.begin_outage()

    def take_contact(self, version: int) -> None:
        super().take_contact(version)
        self.version = version
        now = self._clock.monotonic()
        self._state.fleet.end_outage(now)
        for server_id in self._state.fleet.expire(now):
            self._log_gone(server_id)

    def _decode_row(self, row: row_store.RowChange) -> fleet.Server | None:
        if row.value is None:
            return None
        decoded = self._decode(row.key, row.value)
        if isinstance(decoded, result.Err):
            self.rejected += 1
            self._log.write(log_events.LogEvent.SERVER_ENTRY_REJECTED,
                            important=False,
                            server=row.key,
                            reason=decoded.err_value)
            return None
        return decoded.ok_value

    def _put(self, server: fleet.Server) -> None:
        before = self._state.fleet.listed_by_id.get(server.id)
        if before == server:
            return
        self._state.fleet.put(server)
        if before is None:
            self._log_listed(server)
        elif before.state is not server.state:
            self._log.write(log_events.LogEvent.SERVER_DRAINING,
                            server=server.id,
                            state=server.state.value)

    def _remove(self, server_id: str) -> None:
        if server_id not in self._state.fleet.listed_by_id:
            return
        self._state.fleet.remove(server_id, self._clock.monotonic())
        if self._state.fleet.get(server_id) is None:
            self._log_gone(server_id)

    def _log_listed(self, server: fleet.Server) -> None:
        self._log.write(log_events.LogEvent.SERVER_LISTED,
                        server=server.id,
                        service=server.service,
                        address=server.address,
                        state=server.state.value)

    def _log_gone(self, server_id: str) -> None:
        self._state.loads.forget(server_id)
        self._log.write(log_events.LogEvent.SERVER_GONE, server=server_id)
