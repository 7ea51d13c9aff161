"""The hosts of a deployment, which register themselves in the store."""

from collections.abc import Sequence

import result

from pollenthread.app import row_cache, store_follower
from pollenthread.core import host_record
from pollenthread.ports import clock, row_store

__all__ = ['HostRegistry', 'register']

HOSTS_TABLE = 'pollenthread_hosts'
_RETRY_INTERVAL_S = 0.5


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
        self.version = -1
        self.cache = row_cache.RowCache()
        self.rejected_count = 0

    @property
    def known_version(self) -> int:
        return self.version

    def on_full_read(self, rows: Sequence[row_store.RowChange],
                     version: int) -> None:
        self.cache.replace_all(rows, version)
        self._apply_rows(rows)

    def on_changes(self, rows: Sequence[row_store.RowChange]) -> None:
        self.cache.apply(rows)
        self._apply_rows(rows)

    def _apply_rows(self, rows: Sequence[row_store.RowChange]) -> None:
        for row in rows:
            if row.value is not None:
                self._apply_value(row.value)

    def apply_peer_rows(self, delta: row_cache.RowDelta, version: int) -> None:
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

    def _apply_value(self, value: bytes) -> None:
        decoded = host_record.decode(value)
        if isinstance(decoded, result.Err):
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

    def on_contact(self, version: int) -> None:
        self.version = max(self.version, version)

    def with_role(self, role: host_record.Role) -> list[host_record.HostRecord]:
        """Returns the records of the hosts with a role."""
        return [r for r in self.records_by_host.values() if r.role is role]

    def other_agent_addresses(self, host: str) -> list[str]:
        """Returns the peer addresses of all agents except that of a host."""
        return [
            record.peer_address
            for record in self.with_role(host_record.Role.AGENT)
            if record.host != host
        ]


async def register(*, store: row_store.RowStore, time: clock.Clock,
                   registry: HostRegistry,
                   record: host_record.HostRecord) -> None:
    """Writes a host's record to the store; retries until it is there.

    It is written without reading the table first: the table of a large
    deployment is much larger than one row.
    """
    registry.put(record)
    write = row_store.RowWrite(HOSTS_TABLE,
                               record.host,
                               host_record.encode(record),
                               expected_version=None)
    while isinstance(await store.write([write]), result.Err):
        await time.sleep(_RETRY_INTERVAL_S)
