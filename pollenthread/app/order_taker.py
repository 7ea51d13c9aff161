"""Carries out orders for the server beside an agent.

An order is given to the server as often as it arrives, side by side if need be:
the answer to the one before may be lost. Only a map, which is large, is
repeated here and not over the link.
"""

import asyncio
import collections
import dataclasses
from collections.abc import Callable

from pollenthread.app import roster
from pollenthread.core import log_events, peer_messages
from pollenthread.ports import event_log, peers, rank_server

__all__ = ['OrderTaker']

_MAX_UNDER_WAY = 3
_PREPARE_TRIES = 5
_DONE_STATUSES = (200, 202)

_OrderKey = tuple[peer_messages.OrderKind, int, int]

StateTaker = Callable[[rank_server.RankServerStatus], peer_messages.RankState]


class OrderTaker:
    """Takes orders that arrive as datagrams."""

    def __init__(self, *, host: str, server: rank_server.RankServer,
                 take_report: StateTaker, hosts: roster.Roster,
                 network: peers.PeerNetwork, log: event_log.EventLog) -> None:
        """Makes a taker that carries out nothing until it runs.

        Args:
            host: this agent's host.
            server: the server beside it.
            take_report: turns the server's report into the rank's state.
            hosts: the hosts of the deployment.
            network: brings orders, and tells their givers the rank's state.
            log: the log.
        """
        self._host = host
        self._server = server
        self._take_report = take_report
        self._hosts = hosts
        self._network = network
        self._log = log
        self._tasks: asyncio.TaskGroup | None = None
        self._under_way: collections.Counter[_OrderKey] = collections.Counter()
        network.set_datagram_handler(peer_messages.RankOrder, self.take)

    async def run(self) -> None:
        """Carries out what arrives, until cancelled."""
        async with asyncio.TaskGroup() as self._tasks:
            await asyncio.Event().wait()

    def take(self, order: peer_messages.RankOrder) -> None:
        """Hands an order on, and to the server."""
        if self._tasks is None:
            return
        if order.relay_to:
            self._network.send_all(order.relay_to,
                                   dataclasses.replace(order, relay_to=()))
        key = (order.kind, order.version, order.step)
        if self._under_way[key] < _MAX_UNDER_WAY:
            self._under_way[key] += 1
            self._tasks.create_task(self._carry_out(order, key))

    async def _carry_out(self, order: peer_messages.RankOrder,
                         key: _OrderKey) -> None:
        tries = (_PREPARE_TRIES
                 if order.kind is peer_messages.OrderKind.PREPARE else 1)
        try:
            for _ in range(tries):
                if await self._give(order):
                    break
        finally:
            self._under_way[key] -= 1
            if not self._under_way[key]:
                del self._under_way[key]

    async def _give(self, order: peer_messages.RankOrder) -> bool:
        """Gives the server an order and tells the giver its state after that.

        Returns:
            Whether the server answered the order.
        """
        try:
            status = await self._server.send_order(order)
        except rank_server.RankServerUnavailableError as error:
            self._note_failed(order, None, str(error))
            return False
        if status not in _DONE_STATUSES:
            self._note_failed(order, status, '')
        try:
            state = self._take_report(await self._server.fetch_status())
        except rank_server.RankServerUnavailableError:
            # The state is told with the next look at the server.
            return True
        record = self._hosts.records_by_host.get(order.giver)
        if record is not None and record.host != self._host:
            self._network.send(record.peer_address, state)
        return True

    def _note_failed(self, order: peer_messages.RankOrder, status: int | None,
                     cause: str) -> None:
        self._log.write(log_events.LogEvent.ORDER_FAILED,
                        important=False,
                        order=order.kind.value,
                        version=order.version,
                        step=order.step,
                        status=status,
                        cause=cause)
