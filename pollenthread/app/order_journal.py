"""Stores orders in the table.

Each duty has an inbox of pending orders and a journal of accepted ones.
"""

import dataclasses
from urllib import parse

import pydantic
import result

from pollenthread.core import orders
from pollenthread.ports import table

__all__ = [
    'JournalEntry', 'OrderJournal', 'OrderStatus', 'encode_row', 'inbox_key',
    'journal_key'
]

_ROW_ADAPTER = pydantic.TypeAdapter(orders.JournalRow)
_ORDER_ADAPTER = pydantic.TypeAdapter(orders.Order)


@dataclasses.dataclass(frozen=True, slots=True)
class JournalEntry:
    """A row of the journal.

    Attributes:
        row: the order, its state and its result.
        version: the version of the table row.
    """

    row: orders.JournalRow
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class OrderStatus:
    """A submitted order and its progress.

    Attributes:
        order: the order; it has no number while it is pending.
        row: its row in the journal, or None while it is pending.
    """

    order: orders.Order
    row: orders.JournalRow | None


def inbox_key(duty: str, order_id: str) -> str:
    """Returns the table key of a pending order."""
    return f'inbox/{duty}/{parse.quote(order_id, safe="")}'


def journal_key(duty: str, order_id: str) -> str:
    """Returns the table key of an order's row in the journal."""
    return f'journal/{duty}/{parse.quote(order_id, safe="")}'


def encode_row(row: orders.JournalRow) -> bytes:
    """Encodes a journal row."""
    return _ROW_ADAPTER.dump_json(row)


class OrderJournal:
    """Submits orders and reads their rows."""

    def __init__(self, *, table_service: table.TableService) -> None:
        """Initializes the journal in a table."""
        self._table = table_service

    async def submit(
            self, *, order_id: str, host: str, kind: str,
            arguments: str) -> result.Result[OrderStatus, table.TableError]:
        """Adds a pending order unless one with this id exists.

        Args:
            order_id: the id; submitting it again has no effect.
            host: the host whose agent should execute the order.
            kind: the kind of order.
            arguments: the arguments of the order, as JSON.

        Returns:
            The order with this id, which may differ in content from the
            submitted one; an error of UNKNOWN when it is not known whether the
            order was written.
        """
        duty = orders.order_duty_for_host(host)
        submitted = orders.Order(id=order_id,
                                 duty=duty,
                                 number=0,
                                 host=host,
                                 kind=kind,
                                 arguments=arguments,
                                 fencing=0,
                                 incarnation='')
        existing = await self.find(host, order_id)
        if isinstance(existing, result.Err) or existing.ok_value is not None:
            return existing  # type: ignore[return-value]
        written = await self._table.put(inbox_key(duty, order_id),
                                        _ORDER_ADAPTER.dump_json(submitted),
                                        expected_version=table.ABSENT_VERSION)
        if isinstance(written, result.Ok):
            return result.Ok(OrderStatus(submitted, None))
        if written.err_value in (table.TableError.UNAVAILABLE,
                                 table.TableError.LIMITED):
            return written
        existing = await self.find(host, order_id)
        if isinstance(existing, result.Ok) and existing.ok_value is not None:
            return result.Ok(existing.ok_value)
        return result.Err(table.TableError.UNKNOWN)

    async def find(
            self, host: str, order_id: str
    ) -> result.Result[OrderStatus | None, table.TableError]:
        """Returns the order with an id, or None if there is none."""
        duty = orders.order_duty_for_host(host)
        found = await self._table.get(inbox_key(duty, order_id))
        if isinstance(found, result.Err):
            return found
        if found.ok_value is not None:
            order = _ORDER_ADAPTER.validate_json(found.ok_value.value)
            return result.Ok(OrderStatus(order, None))
        found = await self._table.get(journal_key(duty, order_id))
        if isinstance(found, result.Err):
            return found
        if found.ok_value is None:
            return result.Ok(None)
        row = _ROW_ADAPTER.validate_json(found.ok_value.value)
        return result.Ok(OrderStatus(row.order, row))

    async def read_inbox(
        self, duty: str
    ) -> result.Result[list[tuple[orders.Order, int]], table.TableError]:
        """Returns the pending orders of a duty and their row versions."""
        found = await self._table.scan(f'inbox/{duty}/')
        return found.map(lambda rows: [(_ORDER_ADAPTER.validate_json(row.value),
                                        row.version) for row in rows])

    async def read_entries(
            self,
            duty: str) -> result.Result[list[JournalEntry], table.TableError]:
        """Returns all journal rows of a duty."""
        found = await self._table.scan(f'journal/{duty}/')
        return found.map(lambda rows: [
            JournalEntry(_ROW_ADAPTER.validate_json(row.value), row.version)
            for row in rows
        ])
