"""Orders in the table: an inbox and a journal for each duty."""

import dataclasses
from urllib import parse

import pydantic
import result

from pollenthread.core import orders
from pollenthread.ports import table

__all__ = [
    'JournalEntry', 'OrderJournal', 'OrderStatus', 'encode_row', 'inbox_key', 'journal_key'
]

_ROW = pydantic.TypeAdapter(orders.JournalRow)
_ORDER = pydantic.TypeAdapter(orders.Order)


@dataclasses.dataclass(frozen=True, slots=True)
class JournalEntry:
    """A row of the journal with its version."""

    row: orders.JournalRow
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class OrderStatus:
    """Where an order stands.

    Attributes:
        order: the order, not yet numbered while it waits in the inbox.
        row: its row in the journal, or None while it waits.
    """

    order: orders.Order
    row: orders.JournalRow | None


def inbox_key(duty: str, order_id: str) -> str:
    """The key of an order that no holder has taken up."""
    return f'inbox/{duty}/{parse.quote(order_id, safe="")}'


def journal_key(duty: str, order_id: str) -> str:
    """The key of an order's row in the journal."""
    return f'journal/{duty}/{parse.quote(order_id, safe="")}'


def encode_row(row: orders.JournalRow) -> bytes:
    """The bytes of a journal row."""
    return _ROW.dump_json(row)


class OrderJournal:
    """Reads the rows of orders, and takes new orders in."""

    def __init__(self, *, table_service: table.TableService) -> None:
        self._table = table_service

    async def submit(
            self, *, order_id: str, host: str, kind: str,
            arguments: str) -> result.Result[OrderStatus, table.TableFault]:
        """Takes an order in once, however often it is submitted.

        Returns:
            Where the order with this id stands, which may differ in content
            from what was submitted; UNKNOWN when that cannot be read.
        """
        duty = orders.duty_of(host)
        wanted = orders.Order(id=order_id,
                              duty=duty,
                              number=0,
                              host=host,
                              kind=kind,
                              arguments=arguments,
                              fencing=0,
                              incarnation='')
        known = await self.find(host, order_id)
        if isinstance(known, result.Err) or known.ok_value is not None:
            return known  # type: ignore[return-value]
        written = await self._table.put(inbox_key(duty, order_id),
                                        _ORDER.dump_json(wanted),
                                        expect=table.ABSENT)
        if isinstance(written, result.Ok):
            return result.Ok(OrderStatus(wanted, None))
        if written.err_value in (table.TableFault.UNAVAILABLE,
                                 table.TableFault.LIMITED):
            return written
        known = await self.find(host, order_id)
        if isinstance(known, result.Ok) and known.ok_value is not None:
            return result.Ok(known.ok_value)
        return result.Err(table.TableFault.UNKNOWN)

    async def find(
            self, host: str,
            order_id: str) -> result.Result[OrderStatus | None, table.TableFault]:
        """Where an order stands; None when there is none of this id."""
        duty = orders.duty_of(host)
        found = await self._table.get(inbox_key(duty, order_id))
        if isinstance(found, result.Err):
            return found
        if found.ok_value is not None:
            order = _ORDER.validate_json(found.ok_value.value)
            return result.Ok(OrderStatus(order, None))
        found = await self._table.get(journal_key(duty, order_id))
        if isinstance(found, result.Err):
            return found
        if found.ok_value is None:
            return result.Ok(None)
        row = _ROW.validate_json(found.ok_value.value)
        return result.Ok(OrderStatus(row.order, row))

    async def read_inbox(
        self, duty: str
    ) -> result.Result[list[tuple[orders.Order, int]], table.TableFault]:
        """Orders that wait, with the versions of their rows."""
        found = await self._table.scan(f'inbox/{duty}/')
        return found.map(lambda rows: [(_ORDER.validate_json(row.value), row.
                                        version) for row in rows])

    async def read_entries(
            self, duty: str) -> result.Result[list[JournalEntry], table.TableFault]:
        """The whole journal of a duty."""
        found = await self._table.scan(f'journal/{duty}/')
        return found.map(
            lambda rows:
            [JournalEntry(_ROW.validate_json(row.value), row.version) for row in rows])
