"""Steps for what clients share, in virtual time."""

from typing import Any

from behave import given, then, when

from pollenthread.adapters import client_budget
from pollenthread.core.clients import client_eviction
from tests.fakes import virtual_time

_KIB = 1024
_MB = 1_000_000


class _Client(client_budget.BudgetMember):
    """A client that releases what it is told to.

    Attributes:
        number: which client it is, from 1.
        is_connected: whether it has its connection.
    """

    def __init__(self, number: int, budget: client_budget.ClientBudget) -> None:
        self.number = number
        self._budget = budget
        self._bytes_ahead = 0
        self.waits_since: float | None = float(number)
        self.is_connected = budget.add(self)

    @property
    def bytes_ahead(self) -> int:
        return self._bytes_ahead

    def release_memory(self) -> None:
        self._budget.hold(self, 0)

    def release_connection(self) -> None:
        self.is_connected = False

    def begin_handling(self, bytes_ahead: int) -> None:
        """Lets the client wait for the process."""
        self.waits_since = None
        self._bytes_ahead = bytes_ahead


@then('a process with <memory> MB and <descriptors> descriptors allows clients '
      '<bytes> MB and <connections> connections')
def step_limits(context: Any) -> None:
    for row in context.table:
        limits = client_eviction.derive_limits(
            int(row['memory']) * _MB, int(row['descriptors']))
        found = (limits.max_bytes // _MB, limits.max_connections)
        assert found == (int(row['bytes']), int(row['connections'])), found


@given('these clients that the process waits for')
def step_holdings(context: Any) -> None:
    now = 100.0
    context.now = now
    context.names = [row['name'] for row in context.table]
    context.holdings = [
        client_eviction.Holding(i,
                                int(row['held_kib']) * _KIB,
                                now - float(row['waited_s']))
        for i, row in enumerate(context.table)
    ]


@then('they release their memory in the order "{order}"')
def step_order(context: Any, order: str) -> None:
    found = [
        context.names[holding.key] for holding in
        client_eviction.eviction_order(context.holdings, context.now)
    ]
    assert ', '.join(found) == order, found


@given('a budget of {size:d} KiB and {connections:d} connections')
def step_budget(context: Any, size: int, connections: int) -> None:
    context.budget = client_budget.ClientBudget(
        client_eviction.ResourceLimits(size * _KIB, connections))
    context.clients = []


def _connect(context: Any) -> _Client:
    client = _Client(len(context.clients) + 1, context.budget)
    context.clients.append(client)
    return client


def _hold(context: Any, sizes_kib: list[int]) -> None:
    """Lets new clients hold memory; stores whether the last one may."""

    async def hold() -> None:
        for size_kib in sizes_kib:
            client = _connect(context)
            context.may_hold = context.budget.hold(client, size_kib * _KIB)
            if not context.may_hold:
                client.release_memory()

    virtual_time.run(hold())


@when('{count:d} clients hold {size:d} KiB each, one after the other')
def step_hold_each(context: Any, count: int, size: int) -> None:
    _hold(context, [size] * count)


@when('clients hold {sizes} KiB, one after the other')
def step_hold_sizes(context: Any, sizes: str) -> None:
    _hold(context,
          [int(size) for size in sizes.replace(' and', ',').split(',')])


@then('at most {size:d} KiB are held')
def step_total(context: Any, size: int) -> None:
    assert context.budget.total_bytes <= size * _KIB, context.budget.total_bytes


@then('a client may still hold {size:d} KiB')
def step_small(context: Any, size: int) -> None:
    total_bytes = context.budget.total_bytes
    _hold(context, [size])
    assert context.may_hold
    assert context.budget.total_bytes == total_bytes + size * _KIB


@then('the last one may not hold that much')
def step_refused(context: Any) -> None:
    assert not context.may_hold


@then('{count:d} clients still hold something')
def step_holders(context: Any, count: int) -> None:
    found = context.budget.total_bytes // (300 * _KIB)
    assert found == count, found


@given('{count:d} clients whose requests are handled')
def step_handled(context: Any, count: int) -> None:
    for _ in range(count):
        _connect(context).begin_handling(0)


@given('{count:d} clients whose requests are handled, of which the second has '
       'sent more ahead')
def step_ahead(context: Any, count: int) -> None:
    step_handled(context, count)
    context.clients[0].begin_handling(_KIB)
    context.clients[1].begin_handling(2 * _KIB)


@when('{count:d} clients connect, one after the other')
def step_connect(context: Any, count: int) -> None:
    for _ in range(count):
        _connect(context)


@when('another client connects')
def step_connect_another(context: Any) -> None:
    _connect(context)


@then('the clients {numbers} are connected')
def step_connected(context: Any, numbers: str) -> None:
    expected = [int(n) for n in numbers.replace(' and', ',').split(',')]
    found = [client.number for client in context.clients if client.is_connected]
    assert found == expected, found
