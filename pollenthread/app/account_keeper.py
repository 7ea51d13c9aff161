"""Hands an entry host's counts to the table, interval by interval.

Each row has a key of its own and is written only if it is absent, so that it
may be sent again. While the table does not answer, one row waits unchanged and
all later counts gather in the next one: nothing is lost while the process
lives, and what waits does not grow with time.
"""

import asyncio
import collections
from collections.abc import Callable

import result
from absl import logging

from pollenthread.app import account_rows
from pollenthread.core import account, ledger
from pollenthread.ports import clock, table

__all__ = ['AccountKeeper']

_FOLD_ROWS = 60
_FINISH_PAUSE_S = 0.2

_Written = tuple[ledger.Interval, int]


class AccountKeeper:
    """Owns the rows of one start of an entry host."""

    def __init__(self,
                 *,
                 table_service: table.TableService,
                 tally: account.Tally,
                 host: str,
                 incarnation: str,
                 time: clock.Clock,
                 wall: Callable[[], float],
                 interval_s: float,
                 fold_rows: int = _FOLD_ROWS) -> None:
        self._table = table_service
        self._tally = tally
        self._host = host
        self._incarnation = incarnation
        self._time = time
        self._wall = wall
        self._interval_s = interval_s
        self._fold_rows = fold_rows
        self._next = 0
        self._began_s = wall()
        self._pending: ledger.Interval | None = None
        self._written: list[_Written] = []
        self._folding: list[_Written] = []
        self._lock = asyncio.Lock()
        self.written_at_s: float | None = None
        self.faults = collections.Counter[table.TableError]()

    async def run(self) -> None:
        """Hands counts over until cancelled; the first row says hello."""
        while True:
            await self.flush()
            await self._time.sleep(self._interval_s)

    async def finish(self, timeout_s: float) -> bool:
        """Hands over the rest and says that nothing more will come."""
        try:
            async with asyncio.timeout(timeout_s):
                while not await self.flush(is_final=True):
                    await asyncio.sleep(_FINISH_PAUSE_S)
            return True
        except TimeoutError:
            logging.warning('account not handed over host=%s', self._host)
            return False

    async def flush(self, *, is_final: bool = False) -> bool:
        """Writes what there is; whether the last count is in the table."""
        async with self._lock:
            if self._pending is not None and not await self._write_pending():
                return False
            self._pending = self._cut(is_final)
            if not await self._write_pending():
                return False
            await self._fold()
            return True

    def _cut(self, is_final: bool) -> ledger.Interval:
        now_s = max(self._wall(), self._began_s)
        row = ledger.Interval(host=self._host,
                              incarnation=self._incarnation,
                              first=self._next,
                              last=self._next,
                              began_s=self._began_s,
                              ended_s=now_s,
                              is_final=is_final,
                              counts_by_key=self._tally.take())
        self._next += 1
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
            self.faults[written.err_value] += 1
            found = await self._table.get(key)
            if isinstance(found, result.Err) or found.ok_value is None:
                return False
            version = found.ok_value.version
        self._pending = None
        self._written.append((row, version))
        self.written_at_s = self._wall()
        return True

    async def _fold(self) -> None:
        """Replaces many rows of a day by one, in one transaction."""
        if not self._folding:
            self._folding = self._rows_to_fold()
        if not self._folding:
            return
        folded = ledger.fold([row for row, _ in self._folding])
        new = table.TableWrite(account_rows.row_key(folded),
                               account_rows.encode(folded),
                               table.ABSENT_VERSION)
        old = [
            table.TableWrite(account_rows.row_key(row), None, version)
            for row, version in self._folding
        ]
        done = await self._table.commit([new, *old])
        if isinstance(done, result.Err):
            self.faults[done.err_value] += 1
            found = await self._table.get(new.key)
            if isinstance(found, result.Err) or found.ok_value is None:
                return
        del self._written[:len(self._folding)]
        self._folding = []

    def _rows_to_fold(self) -> list[_Written]:
        """The oldest rows of one day, if they are enough or the day is over."""
        if not self._written:
            return []
        days = [account_rows.day_of(row.began_s) for row, _ in self._written]
        count = days.count(days[0])
        is_over = days[-1] != days[0]
        if count >= self._fold_rows or (is_over and count > 1):
            return self._written[:count]
        if is_over:
            del self._written[0]
        return []
