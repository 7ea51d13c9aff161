"""Orders in the table: an inbox and a journal for each duty."""

import dataclasses
from urllib import parse

import pydantic
import result

from pollenthread.core import orders
from pollenthread.ports import table

__all__ = [
    'Entry', 'OrderJournal', 'Submitted', 'dump', 'inbox_key', 'journal_key'
]

_ROW = pydantic.TypeAdapter(orders.JournalRow)
_ORDER = pydantic.TypeAdapter(orders.Order)


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A row of the journal with its version."""

    row: orders.JournalRow
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Submitted:
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


def dump(row: orders.JournalRow) -> bytes:
    """The bytes of a journal row."""
    return _ROW.dump_json(row)


class OrderJournal:
    """Reads the rows of orders, and takes new orders in."""

    def __init__(self, *, table_service: table.TableService) -> None:
        self._table = table_service

    async def submit(
            self, *, order_id: str, host: str, kind: str,
            arguments: str) -> result.Result[Submitted, table.TableError]:
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
                                        expected_version=table.ABSENT_VERSION)
        if isinstance(written, result.Ok):
            return result.Ok(Submitted(wanted, None))
        if written.err_value in (table.TableError.UNAVAILABLE,
                                 table.TableError.LIMITED):
            return written
        known = await self.find(host, order_id)
        if isinstance(known, result.Ok) and known.ok_value is not None:
            return result.Ok(known.ok_value)
        return result.Err(table.TableError.UNKNOWN)

    async def find(
            self, host: str,
            order_id: str) -> result.Result[Submitted | None, table.TableError]:
        """Where an order stands; None when there is none of this id."""
        duty = orders.duty_of(host)
        found = await self._table.get(inbox_key(duty, order_id))
        if isinstance(found, result.Err):
            return found
        if found.ok_value is not None:
            order = _ORDER.validate_json(found.ok_value.value)
            return result.Ok(Submitted(order, None))
        found = await self._table.get(journal_key(duty, order_id))
        if isinstance(found, result.Err):
            return found
        if found.ok_value is None:
            return result.Ok(None)
        row = _ROW.validate_json(found.ok_value.value)
        return result.Ok(Submitted(row.order, row))

    async def inbox(
        self, duty: str
    ) -> result.Result[list[tuple[orders.Order, int]], table.TableError]:
        """Orders that wait, with the versions of their rows."""
        found = await self._table.scan(f'inbox/{duty}/')
        return found.map(lambda rows: [(_ORDER.validate_json(row.value), row.
                                        version) for row in rows])

    async def entries(
            self, duty: str) -> result.Result[list[Entry], table.TableError]:
        """The whole journal of a duty."""
        found = await self._table.scan(f'journal/{duty}/')
        return found.map(
            lambda rows:
            [Entry(_ROW.validate_json(row.value), row.version) for row in rows])
