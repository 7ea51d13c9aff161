"""In-memory clock, event log and table for tests without processes."""

import collections
from collections.abc import Sequence
from typing import Any

import result

from pollenthread.ports import clock, event_log, table

__all__ = ['CountingEventLog', 'MemoryClock', 'MemoryTable', 'NullEventLog']


class MemoryClock(clock.Clock):
    """A clock that only a test or `sleep` advances.

    Attributes:
        now: the current time in seconds.
    """

    def __init__(self) -> None:
        self.now = 1000.0

    def monotonic(self) -> float:
        return self.now

    async def sleep(self, seconds: float) -> None:
        self.now += seconds


class NullEventLog(event_log.EventLog):
    """Discards all events."""

    def write(self,
              event: Any,
              *,
              important: bool = True,
              **fields: Any) -> None:
        return


class CountingEventLog(event_log.EventLog):
    """Counts the events.

    Attributes:
        counts: how often each event was written.
    """

    def __init__(self) -> None:
        self.counts: collections.Counter[Any] = collections.Counter()

    def write(self,
              event: Any,
              *,
              important: bool = True,
              **fields: Any) -> None:
        self.counts[event] += 1


class MemoryTable(table.TableService):
    """A table that holds its rows in memory.

    Attributes:
        is_down: whether all calls fail.
    """

    def __init__(self) -> None:
        self.is_down = False
        self._rows_by_key: dict[str, table.TableRow] = {}
        self._version = 0

    async def get(
            self,
            key: str) -> result.Result[table.TableRow | None, table.TableError]:
        if self.is_down:
            return result.Err(table.TableError.UNAVAILABLE)
        return result.Ok(self._rows_by_key.get(key))

    async def scan(
            self, prefix: str
    ) -> result.Result[list[table.TableRow], table.TableError]:
        if self.is_down:
            return result.Err(table.TableError.UNAVAILABLE)
        return result.Ok([
            row for key, row in sorted(self._rows_by_key.items())
            if key.startswith(prefix)
        ])

    async def commit(
        self, writes: Sequence[table.TableWrite]
    ) -> result.Result[list[int], table.TableError]:
        if self.is_down:
            return result.Err(table.TableError.UNAVAILABLE)
        for write in writes:
            row = self._rows_by_key.get(write.key)
            if (table.ABSENT_VERSION
                    if row is None else row.version) != write.expected_version:
                return result.Err(table.TableError.CONFLICT)
        return result.Ok([self._apply(write) for write in writes])

    def _apply(self, write: table.TableWrite) -> int:
        self._version += 1
        self._rows_by_key.pop(write.key, None)
        if write.value is not None:
            self._rows_by_key[write.key] = table.TableRow(
                write.key, write.value, self._version)
        return self._version
