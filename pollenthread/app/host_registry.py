"""The hosts of a deployment, which register themselves in the store."""

from collections.abc import Sequence

import result

from pollenthread.app import row_cache, store_follower
from pollenthread.core import host_record, membership, store_version
from pollenthread.ports import clock, row_store

__all__ = ['HostRegistry', 'keep_registered']

HOSTS_TABLE = 'pollenthread_hosts'
_RETRY_INTERVAL_S = 0.5
_CHECK_INTERVAL_S = 1.0
# Enough for some of them to live after most hosts have failed at once.
_DUTY_CANDIDATES = 8


class HostRegistry(store_follower.TableListener):
    """Maintains the records of the registered hosts.

    Attributes:
        records_by_host: the records by host name.
        revision: increases with each change of the records.
        version: the store's version that the records are complete up to.
        cache: the rows of the records, for peers.
        rejected_count: records that could not be decoded.
    """

    def __init__(self) -> None:
        self.records_by_host: dict[str, host_record.HostRecord] = {}
        self.revision = 0
        self.version = store_version.START
        self.cache = row_cache.RowCache()
        self.rejected_count = 0
        self._candidates_revision = -1
        self._candidates_by_group: dict[str, list[host_record.HostRecord]] = {}

    @property
    def known_version(self) -> store_version.StoreVersion:
        return self.version

    def on_full_read(self, rows: Sequence[row_store.RowChange],
                     version: store_version.StoreVersion) -> None:
        self.cache.replace_all(rows, version)
        self._apply_rows(rows)

    def on_changes(self, rows: Sequence[row_store.RowChange]) -> None:
        self.cache.apply(rows)
        self._apply_rows(rows)

    def _apply_rows(self, rows: Sequence[row_store.RowChange]) -> None:
        for row in rows:
            if row.value is not None:
                self._apply_row(row.key, row.value)

    def apply_peer_rows(self, delta: row_cache.RowDelta,
                        version: store_version.StoreVersion) -> None:
        """Applies rows of a peer unless as much is known already.

        Args:
            delta: the rows.
            version: the store's version that the peer's rows are complete up
                to.
        """
        if version <= self.version:
            return
        if delta.is_whole:
            self.on_full_read(delta.rows, version)
        else:
            self.on_changes(delta.rows)
        self.version = version

    def _apply_row(self, key: str, value: bytes) -> None:
        decoded = host_record.decode(value)
        if isinstance(decoded, result.Err) or decoded.ok_value.host != key:
            self.rejected_count += 1
            return
        self.put(decoded.ok_value)

    def put(self, record: host_record.HostRecord) -> None:
        """Adds or updates a record; replaces other hosts at its address."""
        for other in list(self.records_by_host.values()):
            if (other.peer_address == record.peer_address and
                    other.host != record.host):
                del self.records_by_host[other.host]
        self.records_by_host[record.host] = record
        self.revision += 1

    def on_error(self, error: row_store.StoreError) -> None:
        return

    def on_contact(self, version: store_version.StoreVersion) -> None:
        self.version = max(self.version, version)

    def with_role(self, role: host_record.Role) -> list[host_record.HostRecord]:
        """Returns the records of the hosts with a role."""
        return [r for r in self.records_by_host.values() if r.role is role]

    def duty_candidates(self, group: str) -> list[host_record.HostRecord]:
        """Returns the agents that may hold the duty of a group, in order.

        The agents of the group send their states to these only, while they know
        no holder, so that the cost does not grow with the deployment.
        """
        if self._candidates_revision != self.revision:
            self._candidates_revision = self.revision
            self._candidates_by_group.clear()
        found = self._candidates_by_group.get(group)
        if found is None:
            agents = (r.host for r in self.with_role(host_record.Role.AGENT))
            ranked = membership.rank_by_rendezvous_hash(agents,
                                                        f'duty\0{group}')
            found = [
                self.records_by_host[host] for host in ranked[:_DUTY_CANDIDATES]
            ]
            self._candidates_by_group[group] = found
        return found

    def other_agent_addresses(self, host: str) -> list[str]:
        """Returns the peer addresses of all agents except that of a host."""
        return [
            record.peer_address
            for record in self.with_role(host_record.Role.AGENT)
            if record.host != host
        ]


async def keep_registered(*, store: row_store.RowStore, time: clock.Clock,
                          registry: HostRegistry,
                          record: host_record.HostRecord) -> None:
    """Keeps a host's record in the store, until cancelled.

    It is written without reading the table first: the table of a large
    deployment is much larger than one row. It is written again if the store has
    come back from a copy without it.
    """
    registry.put(record)
    value = host_record.encode(record)
    write = row_store.RowWrite(HOSTS_TABLE,
                               record.host,
                               value,
                               expected_version=None)
    era = await _write(store, time, write)
    while True:
        await time.sleep(_CHECK_INTERVAL_S)
        if registry.version.era <= era:
            continue
        era = registry.version.era
        row = registry.cache.get(record.host)
        if row is None or row.value != value:
            era = max(era, await _write(store, time, write))


async def _write(store: row_store.RowStore, time: clock.Clock,
                 write: row_store.RowWrite) -> int:
    """Writes a row, retrying until it is there.

    Returns:
        The era of the store in which it was written.
    """
    while isinstance(written := await store.write([write]), result.Err):
        await time.sleep(_RETRY_INTERVAL_S)
    return written.ok_value.era
