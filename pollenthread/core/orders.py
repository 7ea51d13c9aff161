"""Orders to engines, executed at most once and with one recorded result.

The issuer is the process that holds the lease of an order duty. It writes an
order to a journal row before it sends the order. The row contains the
incarnation of the agent that may execute the order. The agent rejects fencing
numbers below the highest that it has seen, and replies to a repeated order
id with the first result.
"""

import dataclasses
import enum
import zlib
from collections.abc import Iterable, Mapping

__all__ = [
    'AgentAction', 'AgentOrderState', 'IssuerAction', 'JournalRow', 'Order',
    'OrderAnswer', 'OrderState', 'Result', 'closed_row', 'handle_order',
    'new_journal_row', 'next_issuer_action', 'order_duties',
    'order_duty_for_host', 'record_fencing', 'record_result', 'reissued_row',
    'settled_below_number'
]

MAX_REMEMBERED_ORDERS = 1024
ORDER_DUTY_COUNT = 16


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """An order as sent to an agent.

    Attributes:
        id: the order id; never reused within a duty.
        duty: the duty whose lease the issuer holds.
        number: the sequence number, increasing within the duty.
        host: the upstream host to execute the order.
        kind: the action, such as 'load_model'.
        arguments: names and values, as JSON text.
        fencing: the fencing token of the lease under which it was sent.
        incarnation: the incarnation of the agent that may execute it.
        settled_below: all orders with a lower number are closed in the
            journal.
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
    """The outcome of an order at the engine.

    Attributes:
        done: whether the order took effect.
        detail: the text that the engine returned.
        is_known: whether the engine responded; if not, `done` has no meaning.
    """

    done: bool
    detail: str
    is_known: bool = True

    @property
    def answer(self) -> 'OrderAnswer':
        """The reply code of an agent for an order with this result."""
        return OrderAnswer.ENDED if self.is_known else OrderAnswer.UNKNOWN


class OrderState(enum.StrEnum):
    """The state of an order in the journal."""

    ISSUED = 'issued'
    ENDED = 'ended'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class JournalRow:
    """An order as stored in the table.

    Attributes:
        order: the order as last sent.
        state: the state of the order.
        result: the result once the order has ended, or None.
    """

    order: Order
    state: OrderState = OrderState.ISSUED
    result: Result | None = None


class OrderAnswer(enum.StrEnum):
    """The reply code of an agent to an order."""

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
    """Returns the duty whose lease holder issues orders to a host."""
    shard = zlib.crc32(host.encode()) % ORDER_DUTY_COUNT
    return f'orders/{shard:02d}'


def order_duties() -> tuple[str, ...]:
    """Returns the names of all order duties."""
    return tuple(f'orders/{shard:02d}' for shard in range(ORDER_DUTY_COUNT))


class IssuerAction(enum.Enum):
    """The next action of an issuer for an order in the journal."""

    SEND = 'send'
    REISSUE = 'reissue'
    REPORT = 'report'
    CLOSE_UNKNOWN = 'close_unknown'
    STOP = 'stop'


class AgentAction(enum.Enum):
    """The action of an agent on an order."""

    BEGIN = 'begin'
    REPEAT = 'repeat'
    RUNNING = 'running'
    REJECT_OLD = 'refuse_old'
    REJECT_INCARNATION = 'refuse_incarnation'
    REJECT_SETTLED = 'refuse_settled'
    READ_FENCE = 'read_fence'
    REJECT_FULL = 'refuse_full'


@dataclasses.dataclass(frozen=True)
class AgentOrderState:
    """The in-memory state of one incarnation of an agent.

    Attributes:
        incarnation: the incarnation of the agent.
        highest_fencing_by_duty: the highest fencing token seen for each duty,
            in the lease row or in orders.
        settled_below_by_duty: the number below which the journal has closed
            all orders of a duty.
        result_by_id: the results of ended orders by order id; None for an
            order that is running.
        duty_and_number_by_id: the duty and number of each order in
            `result_by_id`.
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
    """Returns the row to insert before an order is first sent."""
    return JournalRow(order=order)


def next_issuer_action(row: JournalRow, *, fencing: int,
                       incarnation: str) -> IssuerAction:
    """Returns the next action of an issuer for an order in the journal.

    Args:
        row: the row of the order.
        fencing: the fencing token of the issuer's lease.
        incarnation: the current incarnation of the agent; empty if there is no
            link to it.
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
    """Returns the row of an order that a new lease holder sends again.

    The incarnation is unchanged: only the incarnation that may have started
    the order can confirm that it has not.
    """
    return dataclasses.replace(row,
                               order=dataclasses.replace(row.order,
                                                         fencing=fencing))


def closed_row(row: JournalRow, answer: OrderAnswer,
               result: Result | None) -> JournalRow | None:
    """Returns the row closed by an agent's reply; None if it stays open."""
    if answer is OrderAnswer.ENDED and result is not None:
        return dataclasses.replace(row, state=OrderState.ENDED, result=result)
    if answer in (OrderAnswer.OTHER_INCARNATION, OrderAnswer.UNKNOWN):
        return dataclasses.replace(row, state=OrderState.UNKNOWN)
    return None


def record_fencing(state: AgentOrderState, duty: str,
                   fencing: int) -> AgentOrderState:
    """Records a fencing token if it is the highest for its duty."""
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

    An agent first reads the lease row of the duty if it has no fencing token
    for it, so that a restarted agent rejects outdated numbers as well.

    Returns:
        The new state of the agent, and the action. For an order to begin, the
        state has a result of None.
    """
    if order.duty not in state.highest_fencing_by_duty:
        return state, AgentAction.READ_FENCE
    if order.fencing < state.highest_fencing_by_duty[order.duty]:
        return state, AgentAction.REJECT_OLD
    state = record_fencing(state, order.duty, order.fencing)
    state = _discard_settled(state, order.duty, order.settled_below)
    if order.number < state.settled_below_by_duty.get(order.duty, 0):
        return state, AgentAction.REJECT_SETTLED
    if order.id in state.result_by_id:
        known = state.result_by_id[order.id]
        return state, (AgentAction.RUNNING
                       if known is None else AgentAction.REPEAT)
    if order.incarnation != state.incarnation:
        return state, AgentAction.REJECT_INCARNATION
    if len(state.result_by_id) >= MAX_REMEMBERED_ORDERS:
        return state, AgentAction.REJECT_FULL
    return _record_started(state, order), AgentAction.BEGIN


def record_result(state: AgentOrderState, order_id: str,
                  result: Result) -> AgentOrderState:
    """Records the first result of an order; ignores later ones."""
    if state.result_by_id.get(order_id, result) is not None:
        return state
    return dataclasses.replace(state,
                               result_by_id={
                                   **state.result_by_id, order_id: result
                               })


def settled_below_number(rows: Iterable[JournalRow]) -> int:
    """Returns the number below which all orders in a journal are closed.

    Args:
        rows: all journal rows of one duty.
    """
    numbers = sorted((row.order.number, row.state) for row in rows)
    for number, state in numbers:
        if state is OrderState.ISSUED:
            return number
    return numbers[-1][0] + 1 if numbers else 0


def _record_started(state: AgentOrderState, order: Order) -> AgentOrderState:
    return dataclasses.replace(state,
                               result_by_id={
                                   **state.result_by_id, order.id: None
                               },
                               duty_and_number_by_id={
                                   **state.duty_and_number_by_id, order.id:
                                       (order.duty, order.number)
                               })


def _discard_settled(state: AgentOrderState, duty: str,
                     number: int) -> AgentOrderState:
    """Removes the results of orders that the journal has closed."""
    if number <= state.settled_below_by_duty.get(duty, 0):
        return state
    duty_and_number_by_id = {
        order_id: key
        for order_id, key in state.duty_and_number_by_id.items()
        if key[0] != duty or key[1] >= number
    }
    return dataclasses.replace(
        state,
        settled_below_by_duty={
            **state.settled_below_by_duty, duty: number
        },
        duty_and_number_by_id=duty_and_number_by_id,
        result_by_id={
            order_id: result
            for order_id, result in state.result_by_id.items()
            if order_id in duty_and_number_by_id
        })
