"""Learns which data centres operators have emptied, and tells other hosts.

Watchers read it from the store. Each heartbeat carries the whole list with its
version, so that a host which has missed one learns it from the next, and from
any other host.
"""

import dataclasses
from collections.abc import Callable, Iterable, Sequence

from pollenthread.app import serving_state, store_follower
from pollenthread.core import log_events, peer_messages, store_version
from pollenthread.core.routing import evacuations
from pollenthread.ports import clock, event_log, row_store

__all__ = ['EvacuationListener']


class EvacuationListener(store_follower.TableListener):
    """Keeps the list of emptied data centres.

    Attributes:
        changed_callbacks: functions called after each change of the list.
    """

    def __init__(self, *, state: serving_state.ServingState, time: clock.Clock,
                 log: event_log.EventLog,
                 decode_key: Callable[[str], str | None]) -> None:
        """Creates a listener.

        Args:
            state: its list of emptied data centres is kept.
            time: the clock.
            log: the structured log.
            decode_key: returns the data centre that a row of the operator's
                table empties, by its key, or None for any other row.
        """
        self._evacuations = state.evacuations
        self._clock = time
        self._log = log
        self._decode_key = decode_key
        self.changed_callbacks: list[Callable[[evacuations.EvacuationChange],
                                              None]] = []

    @property
    def known_version(self) -> store_version.StoreVersion:
        return self._evacuations.version

    def on_full_read(self, rows: Sequence[row_store.RowChange],
                     version: store_version.StoreVersion) -> None:
        listed = {self._decode_key(row.key) for row in rows}
        self._update(
            {name for name in listed if name is not None},
            # The store has a version before its first change, too.
            max(version, store_version.StoreVersion(version.era, 1)),
            source='store')

    def on_changes(self, rows: Sequence[row_store.RowChange]) -> None:
        listed = set(self._evacuations.listed)
        version = self._evacuations.version
        for row in rows:
            data_centre = self._decode_key(row.key)
            if data_centre is None or row.version <= version:
                continue
            version = row.version
            if row.value is None:
                listed.discard(data_centre)
            else:
                listed.add(data_centre)
        self._update(listed, version, source='store')

    def on_error(self, error: row_store.StoreError) -> None:
        return

    def on_contact(self, version: store_version.StoreVersion) -> None:
        return

    def record_heartbeat(self, heartbeat: peer_messages.EntryBeat) -> None:
        """Learns the list that another host knows."""
        if heartbeat.evacuations_changed:
            self._update(heartbeat.evacuated,
                         store_version.StoreVersion(
                             heartbeat.evacuations_era,
                             heartbeat.evacuations_changed),
                         source=heartbeat.host)

    def add_to_heartbeat(
            self,
            heartbeat: peer_messages.EntryBeat) -> peer_messages.EntryBeat:
        """Returns a heartbeat that tells the list."""
        version = self._evacuations.version
        return dataclasses.replace(heartbeat,
                                   evacuated=tuple(
                                       sorted(self._evacuations.listed)),
                                   evacuations_changed=version.counter,
                                   evacuations_era=version.era)

    def count_informed(self,
                       heartbeats: Sequence[peer_messages.EntryBeat]) -> int:
        """Returns how many hosts know the list, including this one.

        Args:
            heartbeats: the last ones of the other hosts that this one hears.
        """
        listed = self._evacuations.listed
        return 1 + sum(
            bool(h.evacuations_changed) and listed == frozenset(h.evacuated)
            for h in heartbeats)

    def drop_expired(self) -> None:
        """Gives up what was kept only because the store had lost it."""
        self._record(self._evacuations.drop_expired(self._clock.monotonic()),
                     source='timeout')

    def _update(self, listed: Iterable[str],
                version: store_version.StoreVersion, *, source: str) -> None:
        self._record(self._evacuations.update(listed, version,
                                              self._clock.monotonic()),
                     source=source)

    def _record(self, change: evacuations.EvacuationChange, *,
                source: str) -> None:
        for event, names in ((log_events.LogEvent.DATA_CENTRE_EMPTIED,
                              change.emptied),
                             (log_events.LogEvent.DATA_CENTRE_RESTORED,
                              change.restored)):
            for name in names:
                self._log.write(event,
                                data_centre=name,
                                version=self._evacuations.version.counter,
                                era=self._evacuations.version.era,
                                source=source)
        if change.emptied or change.restored:
            for callback in self.changed_callbacks:
                callback(change)
