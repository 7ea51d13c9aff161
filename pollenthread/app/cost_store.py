"""Stores the cost rows of the account in the table."""

import dataclasses

import pydantic
import result

from pollenthread.core import cost
from pollenthread.ports import table

__all__ = ['CostStore']

_COST_ADAPTER = pydantic.TypeAdapter(cost.GroupCost)


class CostStore:
    """Stores costs of rank groups by day, group and row id."""

    def __init__(self, *, table_service: table.TableService) -> None:
        """Initializes the store in a table."""
        self._table = table_service

    async def record(self, row_id: str, row: cost.GroupCost) -> bool:
        """Writes a row unless one with its id exists.

        Args:
            row_id: identifies the recorded event, such as the number of a
                switch; must be the same when a write is repeated.
            row: the row.

        Returns:
            Whether a row with this id is in the table.
        """
        key = f'{_prefix(row.day)}{row.group}/{row_id}'
        value = _COST_ADAPTER.dump_json(row)
        written = await self._table.put(key,
                                        value,
                                        expected_version=table.ABSENT_VERSION)
        if isinstance(written, result.Ok):
            return True
        found = await self._table.get(key)
        return isinstance(found, result.Ok) and found.ok_value is not None

    async def read(
        self, day: str
    ) -> result.Result[tuple[cost.GroupCost, ...], table.TableError]:
        """Returns the costs of a day, summed up to one row per group."""
        found = await self._table.scan(_prefix(day))
        return found.map(lambda rows: cost.sum_by_group(
            dataclasses.replace(_COST_ADAPTER.validate_json(row.value), day=day)
            for row in rows))


def _prefix(day: str) -> str:
    return f'account/costs/{day}/'
