"""Reads the account of some time from the table."""

from collections.abc import Callable

import result
from absl import logging

from pollenthread.app import account_rows
from pollenthread.core import ledger
from pollenthread.ports import table

__all__ = ['AccountReader']

_DAY_S = 86_400
_SILENT_INTERVALS = 3


class AccountReader:
    """Adds up the rows of all entry hosts."""

    def __init__(self, *, table_service: table.TableService,
                 wall: Callable[[], float], interval_s: float) -> None:
        self._table = table_service
        self._wall = wall
        self._interval_s = interval_s

    async def read(self, *,
                   days: int) -> result.Result[ledger.Ledger, table.TableError]:
        """The account of today and the days before it.

        Args:
            days: how many days, today included.
        """
        now_s = self._wall()
        midnight_s = now_s - now_s % _DAY_S
        from_s = midnight_s - (days - 1) * _DAY_S
        rows: list[ledger.Interval] = []
        for number in range(-1, days):
            day = account_rows.day_of(from_s + number * _DAY_S)
            found = await self._table.scan(account_rows.day_prefix(day))
            if isinstance(found, result.Err):
                return found
            rows += _decode(found.ok_value)
        return result.Ok(
            ledger.settle(rows,
                          now_s=now_s,
                          silence_s=self._interval_s * _SILENT_INTERVALS,
                          from_s=from_s))


def _decode(rows: list[table.TableRow]) -> list[ledger.Interval]:
    """Reads rows; one that cannot be read is left out and shows as a gap."""
    decoded = []
    for row in rows:
        try:
            decoded.append(account_rows.decode(row.value))
        except ValueError as error:
            logging.error('account row key=%s error=%s', row.key, error)
    return decoded
