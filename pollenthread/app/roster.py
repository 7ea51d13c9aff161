"""The hosts of a deployment, as they register themselves in the store."""

from collections.abc import Sequence

import result

from pollenthread.app import store_follower
from pollenthread.core import host_record
from pollenthread.ports import clock, row_store

__all__ = ['Roster', 'register']

TABLE = 'pollenthread_hosts'
_RETRY_S = 0.5


class Roster(store_follower.TableListener):
    """Records by host."""

    def __init__(self) -> None:
        self.records_by_host: dict[str, host_record.HostRecord] = {}
        self.rejected = 0

    def take_table(self, rows: Sequence[row_store.RowChange]) -> None:
        self.take_changes(rows)

    def take_changes(self, rows: Sequence[row_store.RowChange]) -> None:
        for row in rows:
            if row.value is not None:
                self.take_row(row.key, row.value)

    def take_row(self, host: str, value: bytes) -> None:
        """Takes one record; hosts at the same address replace each other."""
        decoded = host_record.decode(value)
        if isinstance(decoded, result.Err):
            self.rejected += 1
            return
        record = decoded.ok_value
        for other in list(self.records_by_host.values()):
            if (other.peer_address == record.peer_address and
                    other.host != host):
                del self.records_by_host[other.host]
        self.records_by_host[host] = record

    def take_fault(self, fault: row_store.StoreError) -> None:
        return

    def take_contact(self, version: int) -> None:
        return

    def with_role(self, role: host_record.Role) -> list[host_record.HostRecord]:
        """The hosts of one role."""
        return [r for r in self.records_by_host.values() if r.role is role]

    def agents_beside(self, host: str) -> list[str]:
        """Peer addresses of all agents but the one on a host."""
        return [
            record.peer_address
            for record in self.with_role(host_record.Role.AGENT)
            if record.host != host
        ]

    def rows(self) -> list[tuple[str, bytes]]:
        """Keys and values, to hand to a peer."""
        return [(host, host_record.encode(record))
                for host, record in self.records_by_host.items()]


async def register(*, store: row_store.RowStore, time: clock.Clock,
                   roster: Roster, record: host_record.HostRecord) -> None:
    """Writes a host's record, unless it is there already."""
    value = host_record.encode(record)
    roster.take_row(record.host, value)
    write = row_store.RowWrite(TABLE, record.host, value, expected_version=None)
    while True:
        known = await store.read(TABLE)
        if isinstance(known, result.Ok):
            rows = {row.key: row.value for row in known.ok_value.changes}
            if rows.get(record.host) == value:
                return
            done = await store.write([write])
            if isinstance(done, result.Ok):
                return
        await time.sleep(_RETRY_S)
