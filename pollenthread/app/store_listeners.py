"""Applies rows of servers from the store to the serving state.

The decoder comes from the platform's adapter. A row that cannot be decoded is
counted and logged, and the previous state stays in effect.
"""

import abc
import dataclasses
from collections.abc import Callable, Sequence

import result

from pollenthread.app import row_cache, serving_state, store_follower
from pollenthread.core import log_events, server_registry, store_version
from pollenthread.ports import clock, event_log, row_store

__all__ = ['OutageListener', 'ServerListener', 'StoreContact']

ServerDecoder = Callable[[str, bytes], result.Result[server_registry.Server,
                                                     str]]


@dataclasses.dataclass
class StoreContact:
    """The availability of the store.

    Attributes:
        last_response_at: monotonic seconds of the last response; -inf before
            the first one.
        is_up: whether the store responded to the last call.
        failed_at: monotonic seconds of the last failed call; -inf before the
            first one.
    """

    last_response_at: float = float('-inf')
    is_up: bool = False
    failed_at: float = float('-inf')


class OutageListener(store_follower.TableListener):
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
    def on_full_read(self, rows: Sequence[row_store.RowChange],
                     version: store_version.StoreVersion) -> None:
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
        self.contact.failed_at = self._clock.monotonic()

    def on_contact(self, version: store_version.StoreVersion) -> None:
        now = self._clock.monotonic()
        if not self.contact.is_up:
            self._log.write(log_events.LogEvent.STORE_REGAINED,
                            table=self.table,
                            version=version.counter,
                            era=version.era,
                            away_s=round(now - self.contact.last_response_at,
                                         3))
        self.contact.is_up = True
        self.contact.last_response_at = now


class ServerListener(OutageListener):
    """Maintains the list of servers.

    Attributes:
        version: the store's version that the list is complete up to.
        cache: the rows of the list, for peers.
        changed_callbacks: functions called after each change of the list.
        entry_callbacks: functions called with each new or changed entry, and
            whether its server has started since this host read the list first.
    """

    def __init__(self, *, state: serving_state.ServingState, time: clock.Clock,
                 log: event_log.EventLog, table: str,
                 decode: ServerDecoder) -> None:
        super().__init__(state=state, time=time, log=log, table=table)
        self._decode = decode
        self.version = store_version.START
        self.cache = row_cache.RowCache()
        self.changed_callbacks: list[Callable[[], None]] = []
        self.entry_callbacks: list[Callable[[server_registry.Server, bool],
                                            None]] = []
        self._is_general_outage = False

    @property
    def known_version(self) -> store_version.StoreVersion:
        return self.version

    def apply_peer_rows(self, delta: row_cache.RowDelta,
                        version: store_version.StoreVersion, *,
                        is_fresh: bool) -> None:
        """Applies rows of a peer unless as much is known already.

        Args:
            delta: the rows.
            version: the store's version that the peer's list is complete up to.
            is_fresh: whether the peer knows the store's present content.
        """
        if version <= self.version:
            return
        if is_fresh and self._is_general_outage:
            self.record_outage(is_up=True)
        elif is_fresh:
            self._state.server_registry.cancel_outage()
        if delta.is_whole:
            self.on_full_read(delta.rows, version)
        else:
            self.on_changes(delta.rows)
        self.version = version

    def record_peer_contact(self, answered_at: float) -> None:
        """Records that a peer with the same list has heard from the store.

        Args:
            answered_at: monotonic seconds of the store's response to the peer.
        """
        self.contact.last_response_at = max(self.contact.last_response_at,
                                            answered_at)

    def record_outage(self, *, is_up: bool) -> None:
        """Records whether the store answers any of the hosts that follow it.

        If it answers some, only the others are cut off, and entries of live
        servers do not lapse.
        """
        if is_up and self._is_general_outage:
            self._state.server_registry.end_outage(self._clock.monotonic())
        elif not is_up:
            self._state.server_registry.begin_outage()
        self._is_general_outage = not is_up

    def drop_expired(self) -> None:
        """Drops servers that were not listed again in time after an outage."""
        now = self._clock.monotonic()
        for server_id in self._state.server_registry.drop_expired(now):
            self._log_gone(server_id)

    def on_full_read(self, rows: Sequence[row_store.RowChange],
                     version: store_version.StoreVersion) -> None:
        if store_version.START < self.version and (version.era
                                                   > self.version.era):
            self._state.server_registry.record_restoration(
                self._clock.monotonic())
        self.cache.replace_all(rows, version)
        decoded = [self._decode_row(row) for row in rows]
        servers = [server for server in decoded if server is not None]
        now = self._clock.monotonic()
        registry = self._state.server_registry
        is_first_list = not registry.listed_by_id
        known_by_id = {s.id: registry.get(s.id) for s in servers}
        for server_id in registry.replace_all(servers, now):
            self._record_removal(server_id)
        for server in servers:
            if known_by_id[server.id] != server:
                self._record_entry(known_by_id[server.id],
                                   server,
                                   is_first_list=is_first_list)
        self._notify()

    def on_changes(self, rows: Sequence[row_store.RowChange]) -> None:
        self.cache.apply(rows)
        for row in rows:
            if row.value is None:
                self._remove(row.key)
            elif (server := self._decode_row(row)) is not None:
                self._put(server)
        self._notify()

    def _notify(self) -> None:
        for callback in self.changed_callbacks:
            callback()

    def on_error(self, error: row_store.StoreError) -> None:
        super().on_error(error)
        self._state.server_registry.begin_outage()

    def on_contact(self, version: store_version.StoreVersion) -> None:
        super().on_contact(version)
        self.version = max(self.version, version)
        self._state.server_registry.end_outage(self._clock.monotonic())
        self.drop_expired()

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
        if self._state.server_registry.listed_by_id.get(server.id) == server:
            return
        before = self._state.server_registry.get(server.id)
        self._state.server_registry.put(server)
        self._record_entry(before, server)

    def _record_entry(self,
                      before: server_registry.Server | None,
                      server: server_registry.Server,
                      *,
                      is_first_list: bool = False) -> None:
        """Records the difference between an entry and the one before."""
        if self._state.server_registry.get(server.id) is not server:
            # It is outdated, and was ignored.
            return
        is_new_run = before is None or before.born_ms < server.born_ms
        for callback in self.entry_callbacks:
            callback(server, is_new_run and not is_first_list)
        if before is None:
            self._log_listed(server)
            return
        if before.born_ms < server.born_ms:
            self._state.server_loads.record_restart(server.id)
        if before.state is not server.state:
            self._log.write(log_events.LogEvent.SERVER_DRAINING,
                            server=server.id,
                            state=server.state.value)

    def _remove(self, server_id: str) -> None:
        if server_id not in self._state.server_registry.listed_by_id:
            return
        self._state.server_registry.remove(server_id, self._clock.monotonic())
        self._record_removal(server_id)

    def _record_removal(self, server_id: str) -> None:
        """Forgets a server unless it goes on being used without its entry."""
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
        self._state.server_limits.remove(server_id)
        self._log.write(log_events.LogEvent.SERVER_GONE, server=server_id)
