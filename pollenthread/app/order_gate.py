"""The agent's part in orders: who may order, in which order, and how often."""

import asyncio
from collections.abc import Coroutine
from typing import Any

import result
from absl import logging

from pollenthread.app import lease_keeper
from pollenthread.core import messages, orders, signing
from pollenthread.ports import (link as link_port, orders as orders_port, table)

__all__ = ['OrderGate']

_ANSWER_BY_VERDICT = {
    orders.Verdict.RUNNING: orders.Answer.RUNNING,
    orders.Verdict.REFUSE_OLD: orders.Answer.OLD_FENCING,
    orders.Verdict.REFUSE_INCARNATION: orders.Answer.OTHER_INCARNATION,
    orders.Verdict.REFUSE_SETTLED: orders.Answer.SETTLED,
    orders.Verdict.READ_FENCE: orders.Answer.FENCE_UNKNOWN,
    orders.Verdict.REFUSE_FULL: orders.Answer.FULL,
}


class OrderGate:
    """Carries out each order once, for whoever holds the duty."""

    def __init__(self, *, host: str, incarnation: str,
                 table_service: table.TableService,
                 executor: orders_port.OrderExecutor,
                 keys: signing.KeyRing) -> None:
        self._host = host
        self._table = table_service
        self._executor = executor
        self._executors_by_kind: dict[str, orders_port.OrderExecutor] = {}
        self._keys = keys
        self._fence = orders.Fence(incarnation=incarnation)
        self._tasks: set[asyncio.Task[None]] = set()
        self.refused_count = 0

    @property
    def busy(self) -> int:
        """Orders that run."""
        return len(self._tasks)

    def register(self, kind: str, executor: orders_port.OrderExecutor) -> None:
        """Sets who carries out orders of a kind."""
        self._executors_by_kind[kind] = executor

    def on_order(self, link: link_port.Link,
                 message: messages.OrderSend) -> None:
        """Takes an order from a link."""
        order = self._keys.verify(message)
        if order is None or order.host != self._host:
            self.refused_count += 1
            logging.warning('order=%s refused: no valid key', message.id)
            _reply(link, message.id, orders.Answer.NOT_AUTHENTICATED)
            return
        if order.duty in self._fence.highest_by_duty:
            self._decide(link, order)
        else:
            self._spawn(self._decide_after_read(link, order))

    async def _decide_after_read(self, link: link_port.Link,
                                 order: orders.Order) -> None:
        """Learns the duty's highest fencing number before the first order."""
        found = await self._table.get(lease_keeper.lease_key(order.duty))
        if isinstance(found, result.Ok):
            row = found.ok_value
            fencing = 0
            if row is not None:
                fencing = lease_keeper.parse_lease(row.value).fencing
            self._fence = orders.raise_fence(self._fence, order.duty, fencing)
        self._decide(link, order)

    def _decide(self, link: link_port.Link, order: orders.Order) -> None:
        self._fence, verdict = orders.decide(self._fence, order)
        if verdict is orders.Verdict.BEGIN:
            self._spawn(self._execute(link, order))
        elif verdict is orders.Verdict.REPEAT:
            ended = self._fence.result_by_id[order.id]
            assert ended is not None
            _reply(link, order.id, ended.answer, ended)
        else:
            self.refused_count += verdict is not orders.Verdict.RUNNING
            _reply(link, order.id, _ANSWER_BY_VERDICT[verdict])

    async def _execute(self, link: link_port.Link, order: orders.Order) -> None:
        executor = self._executors_by_kind.get(order.kind, self._executor)
        try:
            ended = await executor.execute(order)
        except orders_port.OrderOutcomeUnknownError as error:
            logging.error('order=%s outcome unknown: %s', order.id, error)
            ended = orders.Result(False, str(error), is_known=False)
        self._fence = orders.finish(self._fence, order.id, ended)
        logging.info('order=%s done=%s', order.id, ended.done)
        _reply(link, order.id, ended.answer, ended)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _reply(link: link_port.Link,
           order_id: str,
           answer: orders.Answer,
           ended: orders.Result | None = None) -> None:
    done, detail = (False, '') if ended is None else (ended.done, ended.detail)
    try:
        link.send(messages.OrderReply(order_id, answer, done, detail))
    except link_port.LinkClosedError:
        pass
