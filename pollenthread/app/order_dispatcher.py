"""Executes orders at an agent: verifies, fences and deduplicates them."""

import asyncio
from collections.abc import Coroutine
from typing import Any

import result
from absl import logging

from pollenthread.app import lease_manager
from pollenthread.core import messages, orders, signing
from pollenthread.ports import (link as link_port, orders as orders_port, table)

__all__ = ['OrderDispatcher']

_ANSWER_BY_ACTION = {
    orders.AgentAction.RUNNING: orders.OrderAnswer.RUNNING,
    orders.AgentAction.REJECT_OLD: orders.OrderAnswer.OLD_FENCING,
    orders.AgentAction.REJECT_INCARNATION: orders.OrderAnswer.OTHER_INCARNATION,
    orders.AgentAction.REJECT_SETTLED: orders.OrderAnswer.SETTLED,
    orders.AgentAction.READ_FENCE: orders.OrderAnswer.FENCE_UNKNOWN,
    orders.AgentAction.REJECT_FULL: orders.OrderAnswer.FULL,
}


class OrderDispatcher:
    """Executes each order once, if its sender holds the duty.

    Attributes:
        rejected_count: orders that were rejected.
    """

    def __init__(self, *, host: str, incarnation: str,
                 table_service: table.TableService,
                 executor: orders_port.OrderExecutor,
                 keys: signing.KeyRing) -> None:
        """Initializes a dispatcher.

        Args:
            host: this agent's host.
            incarnation: identifies this start of the agent process.
            table_service: the table with the leases of duties.
            executor: executes orders of all kinds that have no executor of
                their own.
            keys: the keys that orders are signed with.
        """
        self._host = host
        self._table = table_service
        self._executor = executor
        self._executors_by_kind: dict[str, orders_port.OrderExecutor] = {}
        self._keys = keys
        self._fence = orders.AgentOrderState(incarnation=incarnation)
        self._tasks: set[asyncio.Task[None]] = set()
        self.rejected_count = 0

    @property
    def running_count(self) -> int:
        """The number of orders that are being executed."""
        return len(self._tasks)

    def register_executor(self, kind: str,
                          executor: orders_port.OrderExecutor) -> None:
        """Sets the executor for orders of a kind."""
        self._executors_by_kind[kind] = executor

    def on_order(self, link: link_port.Link,
                 message: messages.OrderSend) -> None:
        """Processes an order from a link and replies to it.

        Orders with an invalid signature or for another host are rejected.
        """
        order = self._keys.verify(message)
        if order is None or order.host != self._host:
            self.rejected_count += 1
            logging.warning('order=%s refused: no valid key', message.id)
            _reply(link, message.id, orders.OrderAnswer.NOT_AUTHENTICATED)
            return
        if order.duty in self._fence.highest_fencing_by_duty:
            self._dispatch(link, order)
        else:
            self._start_task(self._read_fence_and_dispatch(link, order))

    async def _read_fence_and_dispatch(self, link: link_port.Link,
                                       order: orders.Order) -> None:
        """Reads the duty's fencing token from the table, then decides."""
        found = await self._table.get(lease_manager.lease_key(order.duty))
        if isinstance(found, result.Ok):
            row = found.ok_value
            fencing = 0
            if row is not None:
                fencing = lease_manager.parse_lease(row.value).fencing
            self._fence = orders.record_fencing(self._fence, order.duty,
                                                fencing)
        self._dispatch(link, order)

    def _dispatch(self, link: link_port.Link, order: orders.Order) -> None:
        self._fence, action = orders.handle_order(self._fence, order)
        if action is orders.AgentAction.BEGIN:
            self._start_task(self._execute(link, order))
        elif action is orders.AgentAction.REPEAT:
            outcome = self._fence.result_by_id[order.id]
            assert outcome is not None
            _reply(link, order.id, outcome.answer, outcome)
        else:
            self.rejected_count += action is not orders.AgentAction.RUNNING
            _reply(link, order.id, _ANSWER_BY_ACTION[action])

    async def _execute(self, link: link_port.Link, order: orders.Order) -> None:
        executor = self._executors_by_kind.get(order.kind, self._executor)
        try:
            outcome = await executor.execute(order)
        except orders_port.OrderOutcomeUnknownError as error:
            logging.error('order=%s outcome unknown: %s', order.id, error)
            outcome = orders.Result(False, str(error), is_known=False)
        self._fence = orders.record_result(self._fence, order.id, outcome)
        logging.info('order=%s done=%s', order.id, outcome.done)
        _reply(link, order.id, outcome.answer, outcome)

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _reply(link: link_port.Link,
           order_id: str,
           answer: orders.OrderAnswer,
           outcome: orders.Result | None = None) -> None:
    done, detail = (False, '') if outcome is None else (outcome.done,
                                                        outcome.detail)
    try:
        link.send(messages.OrderReply(order_id, answer, done, detail))
    except link_port.LinkClosedError:
        pass
