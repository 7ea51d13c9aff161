"""Keeps the cost side of the account in the table."""

import dataclasses

import pydantic
import result

from pollenthread.core import cost
from pollenthread.ports import table

__all__ = ['CostBook']

_ADAPTER = pydantic.TypeAdapter(cost.GroupCost)


class CostBook:
    """Rows of cost by day, group and a name that its writer chooses."""

    def __init__(self, *, table_service: table.TableService) -> None:
        self._table = table_service

    async def record(self, row_id: str, row: cost.GroupCost) -> bool:
        """Writes a row once; whether it is in the table now.

        Args:
            row_id: unique for what the row tells, such as the number of the
                switch; a row that is sent again must carry the same one.
            row: the row.
        """
        key = f'{_prefix(row.day)}{row.group}/{row_id}'
        value = _ADAPTER.dump_json(row)
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
        """One row for each group of a day."""
        found = await self._table.scan(_prefix(day))
        return found.map(lambda rows: cost.sum_by_group(
            dataclasses.replace(_ADAPTER.validate_json(row.value), day=day)
            for row in rows))


def _prefix(day: str) -> str:
    return f'account/costs/{day}/'
