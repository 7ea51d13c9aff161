"""The hosts of a deployment, which register themselves in the store."""

from collections.abc import Sequence

import result

from pollenthread.app import store_follower
from pollenthread.core import host_record
from pollenthread.ports import clock, row_store

__all__ = ['HostRegistry', 'register']

HOSTS_TABLE = 'pollenthread_hosts'
_RETRY_INTERVAL_S = 0.5


class HostRegistry(store_follower.TableListener):
    """Maintains the records of the registered hosts.

    Attributes:
        records_by_host: the records by host name.
        rejected_count: records that could not be decoded.
    """

    def __init__(self) -> None:
        self.records_by_host: dict[str, host_record.HostRecord] = {}
        self.rejected_count = 0

    def on_full_read(self, rows: Sequence[row_store.RowChange]) -> None:
        self.on_changes(rows)

    def on_changes(self, rows: Sequence[row_store.RowChange]) -> None:
        for row in rows:
            if row.value is not None:
                self.apply_row(row.key, row.value)

    def apply_row(self, host: str, value: bytes) -> None:
        """Applies one record; replaces other hosts at the same address.

        Args:
            host: the host's name.
            value: the encoded record.
        """
        decoded = host_record.decode(value)
        if isinstance(decoded, result.Err):
            self.rejected_count += 1
            return
        record = decoded.ok_value
        for other in list(self.records_by_host.values()):
            if (other.peer_address == record.peer_address and
                    other.host != host):
                del self.records_by_host[other.host]
        self.records_by_host[host] = record

    def on_error(self, error: row_store.StoreError) -> None:
        return

    def on_contact(self, version: int) -> None:
        return

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

    def rows(self) -> list[tuple[str, bytes]]:
        """Returns host names and encoded records, for a peer."""
        return [(host, host_record.encode(record))
                for host, record in self.records_by_host.items()]


async def register(*, store: row_store.RowStore, time: clock.Clock,
                   registry: HostRegistry,
                   record: host_record.HostRecord) -> None:
    """Writes a host's record to the store unless it is there; retries."""
    value = host_record.encode(record)
    registry.apply_row(record.host, value)
    write = row_store.RowWrite(HOSTS_TABLE,
                               record.host,
                               value,
                               expected_version=None)
    while True:
        found = await store.read(HOSTS_TABLE)
        if isinstance(found, result.Ok):
            rows = {row.key: row.value for row in found.ok_value.changes}
            if rows.get(record.host) == value:
                return
            written = await store.write([write])
            if isinstance(written, result.Ok):
                return
        await time.sleep(_RETRY_INTERVAL_S)
