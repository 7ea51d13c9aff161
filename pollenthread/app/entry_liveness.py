"""Tracks which entry hosts live, from their heartbeats.

A host hears the hosts of its own data centre and the watchers of the store in
its region. Of other data centres it knows the usable hosts that a watcher there
reports.
"""

import dataclasses

from pollenthread.app import host_registry, serving_state
from pollenthread.core import (addresses, host_record, log_events,
                               peer_messages, store_version)
from pollenthread.ports import clock, event_log

__all__ = ['EntryLiveness']

_HEARTBEAT_TIMEOUT_S = 1.3
# Spans the time until another watcher replaces one that fell silent.
_USABLE_HOSTS_TTL_S = 5.0
_MIN_NEARBY_HOSTS = 2
# Time in which a host that is not cut off hears the heartbeats of others.
_HEARING_TIME_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Heard:
    """A heartbeat and the monotonic seconds of its arrival."""

    heartbeat: peer_messages.EntryBeat
    at: float


class EntryLiveness:
    """The live entry hosts, as known to one of them."""

    def __init__(self, *, own: host_record.HostRecord,
                 hosts: host_registry.HostRegistry,
                 state: serving_state.ServingState, time: clock.Clock,
                 log: event_log.EventLog) -> None:
        self._own = own
        self._hosts = hosts
        self._state = state
        self._clock = time
        self._log = log
        self._started_at = time.monotonic()
        self._heard_by_host: dict[str, _Heard] = {}
        self._usable_by_data_centre: dict[str, tuple[peer_messages.UsableHosts,
                                                     float]] = {}

    def record_heartbeat(self, heartbeat: peer_messages.EntryBeat) -> None:
        """Records a heartbeat of another entry host."""
        if heartbeat.host not in self._heard_by_host:
            self._log.write(log_events.LogEvent.PEER_FOUND, peer=heartbeat.host)
        self._heard_by_host[heartbeat.host] = _Heard(heartbeat,
                                                     self._clock.monotonic())

    def record_usable_hosts(self, usable: peer_messages.UsableHosts) -> None:
        """Records the usable hosts of another data centre."""
        self._usable_by_data_centre[usable.data_centre] = (
            usable, self._clock.monotonic())

    def drop_silent_hosts(self) -> None:
        """Forgets hosts whose heartbeats stopped."""
        now = self._clock.monotonic()
        for host, heard in list(self._heard_by_host.items()):
            silent_s = now - heard.at
            if silent_s > _HEARTBEAT_TIMEOUT_S:
                del self._heard_by_host[host]
                self._log.write(log_events.LogEvent.PEER_SILENT,
                                peer=host,
                                silent_s=round(silent_s, 3))
        others = self.other_records()
        self._state.entry_host_count = len(others) + 1
        self._state.host = self._own.host
        self._state.near_hosts = tuple(
            record.host
            for record in others
            if record.data_centre == self._own.data_centre)

    def heartbeats(self) -> list[peer_messages.EntryBeat]:
        """Returns the last heartbeat of each live host."""
        return [heard.heartbeat for heard in self._heard_by_host.values()]

    def heartbeat_of(self, host: str) -> peer_messages.EntryBeat | None:
        """Returns the last heartbeat of a host, or None if it is not live."""
        heard = self._heard_by_host.get(host)
        return heard.heartbeat if heard is not None else None

    @property
    def are_hosts_known(self) -> bool:
        """Whether the registered hosts were learned since the start."""
        return self._hosts.version > store_version.START

    def other_records(self) -> list[host_record.HostRecord]:
        """Returns the records of all other registered entry hosts."""
        return [
            record for record in self._hosts.with_role(host_record.Role.ENTRY)
            if record.host != self._own.host
        ]

    def live_records(self) -> list[host_record.HostRecord]:
        """Returns the records of the other entry hosts that live."""
        return [
            record for record in self.other_records()
            if record.host in self._heard_by_host
        ]

    def usable_hosts(self) -> peer_messages.UsableHosts:
        """Returns the hosts of the own data centre that callers can use."""
        hosts = [
            record.host
            for record in self.live_records()
            if record.data_centre == self._own.data_centre and
            self._is_usable(record)
        ]
        if self._state.is_ready:
            hosts.append(self._own.host)
        return peer_messages.UsableHosts(self._own.data_centre,
                                         tuple(sorted(hosts)))

    def usable_records(self) -> list[host_record.HostRecord]:
        """Returns the hosts of all data centres that callers can use."""
        records = [r for r in self.other_records() if self._is_usable(r)]
        if self._state.is_ready:
            records.append(self._own)
        return records

    def usable_addresses(self, data_centre: str) -> list[str]:
        """Returns the addresses that callers in a data centre can use.

        If no entry host is known to be ready, returns those of the live ones. A
        host that has not had time to hear them returns all registered ones.

        Args:
            data_centre: the data centre of the callers.
        """
        records = self.usable_records()
        if not records:
            others = (self.live_records()
                      if self._has_had_time_to_hear() else self.other_records())
            records = [*others, self._own]
        found = [
            addresses.EntryHost(record.host,
                                record.caller_address,
                                data_centre=record.data_centre)
            for record in records
        ]
        return addresses.addresses_near(found,
                                        data_centre,
                                        min_hosts=_MIN_NEARBY_HOSTS)

    def _has_had_time_to_hear(self) -> bool:
        return (bool(self._heard_by_host) or
                self._clock.monotonic() - self._started_at > _HEARING_TIME_S)

    def _is_usable(self, record: host_record.HostRecord) -> bool:
        heartbeat = self.heartbeat_of(record.host)
        if heartbeat is not None:
            return heartbeat.is_ready and not heartbeat.is_leaving
        return (record.data_centre != self._own.data_centre and
                self._is_reported_usable(record))

    def _is_reported_usable(self, record: host_record.HostRecord) -> bool:
        """Returns whether the host's own data centre reports it as usable."""
        found = self._usable_by_data_centre.get(record.data_centre)
        if found is None:
            return False
        usable, reported_at = found
        return (record.host in usable.hosts and
                self._clock.monotonic() - reported_at < _USABLE_HOSTS_TTL_S)
