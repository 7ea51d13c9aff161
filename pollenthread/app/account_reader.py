"""Reads the request counts of a period from the table."""

from collections.abc import Callable

import result
from absl import logging

from pollenthread.app import account_rows
from pollenthread.core import account_summary
from pollenthread.ports import table

__all__ = ['AccountReader']

_SECONDS_PER_DAY = 86_400
_MAX_MISSED_INTERVALS = 3


class AccountReader:
    """Sums the account rows of all entry hosts."""

    def __init__(self, *, table_service: table.TableService,
                 wall_clock: Callable[[], float], interval_s: float) -> None:
        """Initializes a reader.

        Args:
            table_service: the table with the rows.
            wall_clock: returns the wall-clock time in Unix seconds.
            interval_s: the seconds between two rows of a host.
        """
        self._table = table_service
        self._wall_clock = wall_clock
        self._interval_s = interval_s

    async def read(
        self, *, days: int
    ) -> result.Result[account_summary.AccountSummary, table.TableError]:
        """Returns the counts of today and the preceding days (UTC).

        Rows of the day before are read too, as they may end in the period.

        Args:
            days: the number of days, today included.
        """
        now_s = self._wall_clock()
        midnight_s = now_s - now_s % _SECONDS_PER_DAY
        from_s = midnight_s - (days - 1) * _SECONDS_PER_DAY
        rows: list[account_summary.AccountInterval] = []
        for number in range(-1, days):
            day = account_rows.day_of(from_s + number * _SECONDS_PER_DAY)
            found = await self._table.scan(account_rows.day_prefix(day))
            if isinstance(found, result.Err):
                return found
            rows += _decode(found.ok_value)
        return result.Ok(
            account_summary.summarize(rows,
                                      now_s=now_s,
                                      lost_after_s=self._interval_s *
                                      _MAX_MISSED_INTERVALS,
                                      from_s=from_s))


def _decode(
        rows: list[table.TableRow]) -> list[account_summary.AccountInterval]:
    """Decodes rows; omits invalid ones, which then appear as gaps."""
    decoded = []
    for row in rows:
        try:
            decoded.append(account_rows.decode(row.value))
        except ValueError as error:
            logging.error('invalid account row key=%s error=%s', row.key, error)
    return decoded
