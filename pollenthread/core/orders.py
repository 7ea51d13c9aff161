"""Orders to engines: one effect and one recorded result for each order id.

The holder of a duty writes an order to its journal row before it sends it. The
row names the agent's incarnation that may carry it out. The agent refuses
fencing numbers below the highest that it has seen, and answers a repeat of an
order id with the first result.
"""

import dataclasses
import enum
import zlib
from collections.abc import Iterable, Mapping

__all__ = [
    'OrderAnswer', 'AgentOrderState', 'JournalRow', 'Order', 'OrderState',
    'Result', 'IssuerAction', 'AgentAction', 'order_duties', 'closed_row',
    'handle_order', 'order_duty_for_host', 'record_result', 'new_journal_row',
    'next_issuer_action', 'record_fencing', 'reissued_row',
    'settled_below_number'
]

MAX_REMEMBERED_ORDERS = 1024
ORDER_DUTY_COUNT = 16


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """One order as it travels.

    Attributes:
        id: unique for ever in its duty.
        duty: the duty whose holder gives it.
        number: rises with each order of the duty.
        host: the upstream host that it is for.
        kind: what to do, such as 'load_model'.
        arguments: names and values, as JSON text.
        fencing: the number of the lease under which it was sent.
        incarnation: the agent's incarnation that may carry it out.
        settled_below: every lower number has an ended row in the journal.
    """

    id: str
    duty: str
    number: int
    host: str
    kind: str
    arguments: str
    fencing: int
    incarnation: str
    settled_below: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """How an order ended at the engine.

    Attributes:
        done: whether it took effect.
        detail: what the engine said.
        is_known: whether the engine answered; if not, `done` says nothing.
    """

    done: bool
    detail: str
    is_known: bool = True

    @property
    def answer(self) -> 'OrderAnswer':
        """What an agent says of an order with this result."""
        return OrderAnswer.ENDED if self.is_known else OrderAnswer.UNKNOWN


class OrderState(enum.StrEnum):
    """How far an order is known to have come."""

    ISSUED = 'issued'
    ENDED = 'ended'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class JournalRow:
    """One order as the table keeps it.

    Attributes:
        order: the order as it was sent last.
        state: how far it came.
        result: the one result once it has ended.
    """

    order: Order
    state: OrderState = OrderState.ISSUED
    result: Result | None = None


class OrderAnswer(enum.StrEnum):
    """What an agent says to an order."""

    ENDED = 'ended'
    RUNNING = 'running'
    OLD_FENCING = 'old_fencing'
    OTHER_INCARNATION = 'other_incarnation'
    FENCE_UNKNOWN = 'fence_unknown'
    NOT_AUTHENTICATED = 'not_authenticated'
    UNKNOWN = 'unknown'
    SETTLED = 'settled'
    FULL = 'full'


def order_duty_for_host(host: str) -> str:
    """The duty whose holder gives orders to a host."""
    shard = zlib.crc32(host.encode()) % ORDER_DUTY_COUNT
    return f'orders/{shard:02d}'


def order_duties() -> tuple[str, ...]:
    """Every duty of giving orders."""
    return tuple(f'orders/{shard:02d}' for shard in range(ORDER_DUTY_COUNT))


class IssuerAction(enum.Enum):
    """What the holder of the duty does next about an order."""

    SEND = 'send'
    REISSUE = 'reissue'
    REPORT = 'report'
    CLOSE_UNKNOWN = 'close_unknown'
    STOP = 'stop'


class AgentAction(enum.Enum):
    """What an agent does with an order."""

    BEGIN = 'begin'
    REPEAT = 'repeat'
    RUNNING = 'running'
    REFUSE_OLD = 'refuse_old'
    REFUSE_INCARNATION = 'refuse_incarnation'
    REFUSE_SETTLED = 'refuse_settled'
    READ_FENCE = 'read_fence'
    REFUSE_FULL = 'refuse_full'


@dataclasses.dataclass(frozen=True)
class AgentOrderState:
    """What one incarnation of an agent remembers.

    Attributes:
        incarnation: the agent's incarnation.
        highest_by_duty: the highest fencing number seen for each duty, from
            the lease's row and from orders.
        settled_by_duty: below this number the journal holds every result.
        result_by_id: results of ended orders; None while one runs.
        key_by_id: duty and number of the orders in `result_by_id`.
    """

    incarnation: str
    highest_fencing_by_duty: Mapping[str, int] = dataclasses.field(
        default_factory=dict)
    settled_below_by_duty: Mapping[str, int] = dataclasses.field(
        default_factory=dict)
    result_by_id: Mapping[str, Result |
                          None] = dataclasses.field(default_factory=dict)
    duty_and_number_by_id: Mapping[str, tuple[str, int]] = dataclasses.field(
        default_factory=dict)


def new_journal_row(order: Order) -> JournalRow:
    """The row to insert before an order is sent for the first time."""
    return JournalRow(order=order)


def next_issuer_action(row: JournalRow, *, fencing: int,
                       incarnation: str) -> IssuerAction:
    """Decides what a holder does with an order that the journal holds.

    Args:
        row: the order's row.
        fencing: the number of the holder's lease.
        incarnation: the agent's incarnation now; empty when it has no link.
    """
    if row.state is not OrderState.ISSUED:
        return IssuerAction.REPORT
    if row.order.fencing > fencing:
        return IssuerAction.STOP
    if incarnation and incarnation != row.order.incarnation:
        return IssuerAction.CLOSE_UNKNOWN
    if row.order.fencing < fencing:
        return IssuerAction.REISSUE
    return IssuerAction.SEND


def reissued_row(row: JournalRow, *, fencing: int) -> JournalRow:
    """The row after a successor has taken an order over.

    The incarnation stays: only the agent that may have begun the order can
    prove that it has not.
    """
    return dataclasses.replace(row,
                               order=dataclasses.replace(row.order,
                                                         fencing=fencing))


def closed_row(row: JournalRow, answer: OrderAnswer,
               result: Result | None) -> JournalRow | None:
    """The row after an agent's answer; None when the order stays open."""
    if answer is OrderAnswer.ENDED and result is not None:
        return dataclasses.replace(row, state=OrderState.ENDED, result=result)
    if answer in (OrderAnswer.OTHER_INCARNATION, OrderAnswer.UNKNOWN):
        return dataclasses.replace(row, state=OrderState.UNKNOWN)
    return None


def record_fencing(state: AgentOrderState, duty: str,
                   fencing: int) -> AgentOrderState:
    """Remembers a fencing number if it is the highest for its duty."""
    if fencing <= state.highest_fencing_by_duty.get(duty, -1):
        return state
    return dataclasses.replace(state,
                               highest_fencing_by_duty={
                                   **state.highest_fencing_by_duty, duty:
                                       fencing
                               })


def handle_order(state: AgentOrderState,
                 order: Order) -> tuple[AgentOrderState, AgentAction]:
    """Decides what an agent does with an order.

    An agent that has not yet read the duty's lease row reads it first, so that
    a restart does not forget the highest number.

    Returns:
        What the agent remembers from now on, and what to do. A result of None
        is remembered for an order that may begin.
    """
    if order.duty not in state.highest_fencing_by_duty:
        return state, AgentAction.READ_FENCE
    if order.fencing < state.highest_fencing_by_duty[order.duty]:
        return state, AgentAction.REFUSE_OLD
    state = record_fencing(state, order.duty, order.fencing)
    state = _settle(state, order.duty, order.settled_below)
    if order.number < state.settled_below_by_duty.get(order.duty, 0):
        return state, AgentAction.REFUSE_SETTLED
    if order.id in state.result_by_id:
        known = state.result_by_id[order.id]
        return state, AgentAction.RUNNING if known is None else AgentAction.REPEAT
    if order.incarnation != state.incarnation:
        return state, AgentAction.REFUSE_INCARNATION
    if len(state.result_by_id) >= MAX_REMEMBERED_ORDERS:
        return state, AgentAction.REFUSE_FULL
    return _remember(state, order), AgentAction.BEGIN


def record_result(state: AgentOrderState, order_id: str,
                  result: Result) -> AgentOrderState:
    """Remembers the first result of an order."""
    if state.result_by_id.get(order_id, result) is not None:
        return state
    return dataclasses.replace(state,
                               result_by_id={
                                   **state.result_by_id, order_id: result
                               })


def settled_below_number(rows: Iterable[JournalRow]) -> int:
    """The number below which the journal holds the end of every order.

    Args:
        rows: the duty's whole journal.
    """
    numbers = sorted((row.order.number, row.state) for row in rows)
    for number, state in numbers:
        if state is OrderState.ISSUED:
            return number
    return numbers[-1][0] + 1 if numbers else 0


def _remember(fence: AgentOrderState, order: Order) -> AgentOrderState:
    return dataclasses.replace(fence,
                               result_by_id={
                                   **fence.result_by_id, order.id: None
                               },
                               duty_and_number_by_id={
                                   **fence.duty_and_number_by_id, order.id:
                                       (order.duty, order.number)
                               })


def _settle(fence: AgentOrderState, duty: str, number: int) -> AgentOrderState:
    """Forgets orders whose numbers are too low to be begun ever again."""
    if number <= fence.settled_below_by_duty.get(duty, 0):
        return fence
    key_by_id = {
        order_id: key
        for order_id, key in fence.duty_and_number_by_id.items()
        if key[0] != duty or key[1] >= number
    }
    return dataclasses.replace(
        fence,
        settled_below_by_duty={
            **fence.settled_below_by_duty, duty: number
        },
        duty_and_number_by_id=key_by_id,
        result_by_id={
            order_id: result
            for order_id, result in fence.result_by_id.items()
            if order_id in key_by_id
        })
