"""Emulates the store that the hosts of a fleet share."""

import asyncio
import collections
import dataclasses
import random
from collections.abc import Mapping, Sequence

import result

from pollenthread.core import store_version
from pollenthread.ports import row_store

__all__ = ['FleetStore', 'StoreCopy']

_CALL_DURATION_S = 0.004
_MAX_CHANGE_DELAY_S = 0.03


@dataclasses.dataclass(frozen=True)
class StoreCopy:
    """A copy of the store at one time.

    Attributes:
        version: the version of the store, as a counter.
        row_by_id: the rows by table and key.
    """

    version: int
    row_by_id: Mapping[tuple[str, str], row_store.RowChange]


class FleetStore:
    """Rows with a feed; counts the calls.

    Attributes:
        calls: the number of calls, by kind.
        rejected_hosts: the hosts whose calls fail.
    """

    def __init__(self) -> None:
        self.calls: collections.Counter[str] = collections.Counter()
        self.rejected_hosts: set[str] = set()
        self._version = 0
        self._era = 1
        self._outages = 0
        self._row_by_id: dict[tuple[str, str], row_store.RowChange] = {}
        self._changed = asyncio.Condition()

    async def put(self, table: str, key: str, value: bytes | None) -> None:
        """Writes or removes a row."""
        self._version += 1
        self._row_by_id[table,
                        key] = row_store.RowChange(key, value, self.version)
        async with self._changed:
            self._changed.notify_all()

    @property
    def version(self) -> store_version.StoreVersion:
        """The present version."""
        return store_version.StoreVersion(self._era, self._version)

    def client(self, host: str) -> row_store.RowStore:
        """Returns the store as a host sees it."""
        return _HostStore(self, host)

    def copy(self) -> StoreCopy:
        """Returns a copy of the present content."""
        return StoreCopy(self._version, dict(self._row_by_id))

    def restore(self, copy: StoreCopy) -> None:
        """Replaces the content by that of a copy; begins a new era."""
        self._era += 1
        self._version = copy.version
        self._row_by_id = {
            row_id:
                dataclasses.replace(row,
                                    version=store_version.StoreVersion(
                                        self._era, row.version.counter))
            for row_id, row in copy.row_by_id.items()
        }

    def has_version(self, version: int) -> bool:
        """Returns whether the store has reached a version."""
        return version <= self._version

    def changes(self, table: str, after: int) -> row_store.RowChanges:
        """Returns the rows of a table that changed after a version."""
        rows = [
            row for (row_table, _), row in self._row_by_id.items()
            if row_table == table and row.version.counter > after and
            (after >= 0 or row.value is not None)
        ]
        return row_store.RowChanges(
            tuple(sorted(rows, key=lambda row: row.version)), self.version)

    async def break_calls(self) -> None:
        """Ends all waiting calls without a response, as an outage does."""
        self._outages += 1
        async with self._changed:
            self._changed.notify_all()

    async def wait_for_change(self, table: str, after: int,
                              wait_s: float) -> bool:
        """Waits until a table changes, for a limited time.

        Returns:
            False if the call was broken off.
        """
        outages = self._outages
        try:
            async with asyncio.timeout(wait_s):
                async with self._changed:
                    await self._changed.wait_for(
                        lambda: self._outages > outages or self.changes(
                            table, after).changes)
        except TimeoutError:
            pass
        return self._outages == outages


class _HostStore(row_store.RowStore):
    """The store as one host sees it."""

    def __init__(self, store: FleetStore, host: str) -> None:
        self._store = store
        self._host = host
        # A change reaches one watcher after the other.
        self._change_delay_s = random.Random(host).uniform(
            0.0, _MAX_CHANGE_DELAY_S)

    async def _call(self, kind: str) -> row_store.StoreError | None:
        self._store.calls[kind] += 1
        await asyncio.sleep(_CALL_DURATION_S)
        if self._host in self._store.rejected_hosts:
            return row_store.StoreError.UNAVAILABLE
        return None

    async def read(
        self, table: str
    ) -> result.Result[row_store.RowChanges, row_store.StoreError]:
        if (error := await self._call(f'read {table}')) is not None:
            return result.Err(error)
        return result.Ok(self._store.changes(table, -1))

    async def watch(
        self, table: str, after_version: store_version.StoreVersion,
        wait_s: float
    ) -> result.Result[row_store.RowChanges, row_store.StoreError]:
        if (error := await self._call(f'watch {table}')) is not None:
            return result.Err(error)
        after = after_version.counter
        if not self._store.has_version(after):
            return result.Err(row_store.StoreError.HISTORY_LOST)
        if not await self._store.wait_for_change(table, after, wait_s):
            return result.Err(row_store.StoreError.UNKNOWN)
        await asyncio.sleep(self._change_delay_s)
        if self._host in self._store.rejected_hosts:
            return result.Err(row_store.StoreError.UNAVAILABLE)
        return result.Ok(self._store.changes(table, after))

    async def write(
        self, writes: Sequence[row_store.RowWrite]
    ) -> result.Result[store_version.StoreVersion, row_store.StoreError]:
        if (error := await self._call('write')) is not None:
            return result.Err(error)
        for row in writes:
            await self._store.put(row.table, row.key, row.value)
        return result.Ok(self._store.version)
