"""Writes the request counts of an entry host to the table, a row per interval.

Each row has its own key and is written only if it is absent, so a write may be
repeated. While the table does not respond, one row waits unchanged and all
later counts are added to the next row. No counts are lost while the process
runs, and the number of waiting rows does not grow.
"""

import asyncio
import collections
from collections.abc import Callable

import result
from absl import logging

from pollenthread.app import account_rows
from pollenthread.core import account, account_summary
from pollenthread.ports import clock, table

__all__ = ['AccountWriter']

_MERGE_ROWS = 60
_FINISH_RETRY_S = 0.2

_WrittenRow = tuple[account_summary.AccountInterval, int]


class AccountWriter:
    """Writes the rows of one incarnation of an entry host.

    Attributes:
        written_at_s: Unix seconds of the last successful write, or None.
        error_counts: number of failed table calls, by error.
    """

    def __init__(self,
                 *,
                 table_service: table.TableService,
                 request_counter: account.RequestCounter,
                 host: str,
                 incarnation: str,
                 time: clock.Clock,
                 wall_clock: Callable[[], float],
                 interval_s: float,
                 merge_rows: int = _MERGE_ROWS) -> None:
        """Initializes a writer that has written nothing.

        Args:
            table_service: the table with the rows.
            request_counter: the counts since the last row.
            host: this host.
            incarnation: identifies this start of the process.
            time: the clock.
            wall_clock: returns the wall-clock time in Unix seconds.
            interval_s: the seconds between two rows.
            merge_rows: the number of rows of one day that are merged into one.
        """
        self._table = table_service
        self._request_counter = request_counter
        self._host = host
        self._incarnation = incarnation
        self._clock = time
        self._wall_clock = wall_clock
        self._interval_s = interval_s
        self._merge_rows = merge_rows
        self._next_number = 0
        self._began_s = wall_clock()
        self._pending: account_summary.AccountInterval | None = None
        self._written: list[_WrittenRow] = []
        self._rows_in_merge: list[_WrittenRow] = []
        self._lock = asyncio.Lock()
        self.written_at_s: float | None = None
        self.error_counts = collections.Counter[table.TableError]()

    async def run(self) -> None:
        """Writes a row per interval until cancelled.

        The first row is written at once and announces the incarnation.
        """
        while True:
            await self.flush()
            await self._clock.sleep(self._interval_s)

    async def finish(self, timeout_s: float) -> bool:
        """Writes the remaining counts in a row that is marked as final.

        Args:
            timeout_s: the seconds after which to give up.

        Returns:
            Whether the final row was written.
        """
        try:
            async with asyncio.timeout(timeout_s):
                while not await self.flush(is_final=True):
                    await asyncio.sleep(_FINISH_RETRY_S)
            return True
        except TimeoutError:
            logging.warning('final account row not written host=%s', self._host)
            return False

    async def flush(self, *, is_final: bool = False) -> bool:
        """Writes the counts since the last row.

        Args:
            is_final: whether no more rows will follow.

        Returns:
            Whether all counts are in the table.
        """
        async with self._lock:
            if self._pending is not None and not await self._write_pending():
                return False
            self._pending = self._make_row(is_final)
            if not await self._write_pending():
                return False
            await self._merge()
            return True

    def _make_row(self, is_final: bool) -> account_summary.AccountInterval:
        now_s = max(self._wall_clock(), self._began_s)
        row = account_summary.AccountInterval(
            host=self._host,
            incarnation=self._incarnation,
            first=self._next_number,
            last=self._next_number,
            began_s=self._began_s,
            ended_s=now_s,
            is_final=is_final,
            counts_by_key=self._request_counter.take_changes())
        self._next_number += 1
        self._began_s = now_s
        return row

    async def _write_pending(self) -> bool:
        assert self._pending is not None
        row = self._pending
        key = account_rows.row_key(row)
        data = account_rows.encode(row)
        written = await self._table.put(key,
                                        data,
                                        expected_version=table.ABSENT_VERSION)
        if isinstance(written, result.Ok):
            version = written.ok_value
        else:
            self.error_counts[written.err_value] += 1
            found = await self._table.get(key)
            if isinstance(found, result.Err) or found.ok_value is None:
                return False
            version = found.ok_value.version
        self._pending = None
        self._written.append((row, version))
        self.written_at_s = self._wall_clock()
        return True

    async def _merge(self) -> None:
        """Replaces rows of one day by a merged row, in one transaction."""
        if not self._rows_in_merge:
            self._rows_in_merge = self._rows_to_merge()
        if not self._rows_in_merge:
            return
        merged = account_summary.merge_intervals(
            [row for row, _ in self._rows_in_merge])
        new = table.TableWrite(account_rows.row_key(merged),
                               account_rows.encode(merged),
                               table.ABSENT_VERSION)
        old = [
            table.TableWrite(account_rows.row_key(row), None, version)
            for row, version in self._rows_in_merge
        ]
        committed = await self._table.commit([new, *old])
        if isinstance(committed, result.Err):
            self.error_counts[committed.err_value] += 1
            found = await self._table.get(new.key)
            if isinstance(found, result.Err) or found.ok_value is None:
                return
        del self._written[:len(self._rows_in_merge)]
        self._rows_in_merge = []

    def _rows_to_merge(self) -> list[_WrittenRow]:
        """Returns the rows of the oldest day if they should be merged.

        They are merged when there are enough of them or the day is over.
        """
        if not self._written:
            return []
        days = [account_rows.day_of(row.began_s) for row, _ in self._written]
        count = days.count(days[0])
        is_over = days[-1] != days[0]
        if count >= self._merge_rows or (is_over and count > 1):
            return self._written[:count]
        if is_over:
            del self._written[0]
        return []
