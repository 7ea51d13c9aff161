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
    'Answer', 'Fence', 'JournalRow', 'Order', 'OrderState', 'Result', 'Step',
    'Verdict', 'all_duties', 'close', 'decide', 'duty_of', 'finish', 'journal',
    'next_step', 'raise_fence', 'reissue', 'settled_below'
]

MAX_KEPT_ORDERS = 1024
DUTIES = 16


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
    def answer(self) -> 'Answer':
        """What an agent says of an order with this result."""
        return Answer.ENDED if self.is_known else Answer.UNKNOWN


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


class Answer(enum.StrEnum):
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


def duty_of(host: str) -> str:
    """The duty whose holder gives orders to a host."""
    shard = zlib.crc32(host.encode()) % DUTIES
    return f'orders/{shard:02d}'


def all_duties() -> tuple[str, ...]:
    """Every duty of giving orders."""
    return tuple(f'orders/{shard:02d}' for shard in range(DUTIES))


class Step(enum.Enum):
    """What the holder of the duty does next about an order."""

    SEND = 'send'
    REISSUE = 'reissue'
    REPORT = 'report'
    CLOSE_UNKNOWN = 'close_unknown'
    STOP = 'stop'


class Verdict(enum.Enum):
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
class Fence:
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
    highest_by_duty: Mapping[str, int] = dataclasses.field(default_factory=dict)
    settled_by_duty: Mapping[str, int] = dataclasses.field(default_factory=dict)
    result_by_id: Mapping[str, Result |
                          None] = dataclasses.field(default_factory=dict)
    key_by_id: Mapping[str,
                       tuple[str,
                             int]] = dataclasses.field(default_factory=dict)


def journal(order: Order) -> JournalRow:
    """The row to insert before an order is sent for the first time."""
    return JournalRow(order=order)


def next_step(row: JournalRow, *, fencing: int, incarnation: str) -> Step:
    """Decides what a holder does with an order that the journal holds.

    Args:
        row: the order's row.
        fencing: the number of the holder's lease.
        incarnation: the agent's incarnation now; empty when it has no link.
    """
    if row.state is not OrderState.ISSUED:
        return Step.REPORT
    if row.order.fencing > fencing:
        return Step.STOP
    if incarnation and incarnation != row.order.incarnation:
        return Step.CLOSE_UNKNOWN
    if row.order.fencing < fencing:
        return Step.REISSUE
    return Step.SEND


def reissue(row: JournalRow, *, fencing: int) -> JournalRow:
    """The row after a successor has taken an order over.

    The incarnation stays: only the agent that may have begun the order can
    prove that it has not.
    """
    return dataclasses.replace(row,
                               order=dataclasses.replace(row.order,
                                                         fencing=fencing))


def close(row: JournalRow, answer: Answer,
          result: Result | None) -> JournalRow | None:
    """The row after an agent's answer; None when the order stays open."""
    if answer is Answer.ENDED and result is not None:
        return dataclasses.replace(row, state=OrderState.ENDED, result=result)
    if answer in (Answer.OTHER_INCARNATION, Answer.UNKNOWN):
        return dataclasses.replace(row, state=OrderState.UNKNOWN)
    return None


def raise_fence(fence: Fence, duty: str, fencing: int) -> Fence:
    """Remembers a fencing number if it is the highest for its duty."""
    if fencing <= fence.highest_by_duty.get(duty, -1):
        return fence
    return dataclasses.replace(fence,
                               highest_by_duty={
                                   **fence.highest_by_duty, duty: fencing
                               })


def decide(fence: Fence, order: Order) -> tuple[Fence, Verdict]:
    """Decides what an agent does with an order.

    An agent that has not yet read the duty's lease row reads it first, so that
    a restart does not forget the highest number.

    Returns:
        What the agent remembers from now on, and what to do. A result of None
        is remembered for an order that may begin.
    """
    if order.duty not in fence.highest_by_duty:
        return fence, Verdict.READ_FENCE
    if order.fencing < fence.highest_by_duty[order.duty]:
        return fence, Verdict.REFUSE_OLD
    fence = raise_fence(fence, order.duty, order.fencing)
    fence = _settle(fence, order.duty, order.settled_below)
    if order.number < fence.settled_by_duty.get(order.duty, 0):
        return fence, Verdict.REFUSE_SETTLED
    if order.id in fence.result_by_id:
        known = fence.result_by_id[order.id]
        return fence, Verdict.RUNNING if known is None else Verdict.REPEAT
    if order.incarnation != fence.incarnation:
        return fence, Verdict.REFUSE_INCARNATION
    if len(fence.result_by_id) >= MAX_KEPT_ORDERS:
        return fence, Verdict.REFUSE_FULL
    return _remember(fence, order), Verdict.BEGIN


def finish(fence: Fence, order_id: str, result: Result) -> Fence:
    """Remembers the first result of an order."""
    if fence.result_by_id.get(order_id, result) is not None:
        return fence
    return dataclasses.replace(fence,
                               result_by_id={
                                   **fence.result_by_id, order_id: result
                               })


def settled_below(rows: Iterable[JournalRow]) -> int:
    """The number below which the journal holds the end of every order.

    Args:
        rows: the duty's whole journal.
    """
    numbers = sorted((row.order.number, row.state) for row in rows)
    for number, state in numbers:
        if state is OrderState.ISSUED:
            return number
    return numbers[-1][0] + 1 if numbers else 0


def _remember(fence: Fence, order: Order) -> Fence:
    return dataclasses.replace(fence,
                               result_by_id={
                                   **fence.result_by_id, order.id: None
                               },
                               key_by_id={
                                   **fence.key_by_id, order.id:
                                       (order.duty, order.number)
                               })


def _settle(fence: Fence, duty: str, number: int) -> Fence:
    """Forgets orders whose numbers are too low to be begun ever again."""
    if number <= fence.settled_by_duty.get(duty, 0):
        return fence
    key_by_id = {
        order_id: key
        for order_id, key in fence.key_by_id.items()
        if key[0] != duty or key[1] >= number
    }
    return dataclasses.replace(
        fence,
        settled_by_duty={
            **fence.settled_by_duty, duty: number
        },
        key_by_id=key_by_id,
        result_by_id={
            order_id: result
            for order_id, result in fence.result_by_id.items()
            if order_id in key_by_id
        })
