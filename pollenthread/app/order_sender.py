"""Sends the orders of one map switch to the ranks until they take effect.

An order goes as a datagram to the agent of a rank, which passes it to its
server and replies with the rank's state. The same order usually goes to many
ranks and is encoded once. Agents relay prepare orders, which contain the map.
"""

import asyncio
import collections
import dataclasses
import random
import types
from collections.abc import Callable, Coroutine, Sequence
from typing import Any, Self

from pollenthread.app import group_view, host_registry, map_relay
from pollenthread.core import (host_record, log_events, map_switch,
                               peer_messages)
from pollenthread.ports import clock, event_log, peers, rank_server

__all__ = ['OrderSender', 'RankServerFactory']

_TICK_S = 0.01
# While a pass is held, all streams of the group wait, so an arm or
# release order without a visible effect is resent quickly.
_RESEND_S = 0.03
# Covers lost datagrams only: the agent itself retries a map with its server.
_PREPARE_RESEND_S = 0.4
# After this time without effect, the order also goes directly to the server.
_AGENT_TIMEOUT_S = 0.25
_ACCEPTED_STATUSES = (200, 202)
_DIRECT_KINDS = (peer_messages.OrderKind.HOLD, peer_messages.OrderKind.GO)

RankServerFactory = Callable[[str], rank_server.RankServer]


@dataclasses.dataclass(slots=True)
class _SendTimes:
    """Times at which an order was sent to a rank, in monotonic seconds.

    Attributes:
        first_at: the first time.
        last_at: the last time.
        direct_at: the last time directly to the server; at first, `first_at`.
    """

    first_at: float
    last_at: float
    direct_at: float


class OrderSender:
    """Sends orders and owns the tasks that do so; a context manager.

    HOLD and GO orders go directly to the server of the holding rank. If the
    sending host fails right afterwards, other agents still reach that rank.
    """

    def __init__(self, *, host: str, hosts: host_registry.HostRegistry,
                 view: group_view.GroupView, network: peers.PeerNetwork,
                 make_server: RankServerFactory,
                 counts: collections.Counter[str], link_bytes_per_s: float,
                 time: clock.Clock, log: event_log.EventLog) -> None:
        """Initializes a sender that has sent nothing.

        Args:
            host: this agent's host, to which agents send their rank's state.
            hosts: the hosts of the deployment.
            view: the known state of the group; updated from replies.
            network: sends messages to other agents.
            make_server: creates a client for the model server at an address.
            counts: number of orders sent, by kind; incremented here.
            link_bytes_per_s: the bandwidth of an agent's link.
            time: the clock.
            log: the structured log.
        """
        self._host = host
        self._hosts = hosts
        self._view = view
        self._network = network
        self._make_server = make_server
        self._counts = counts
        self._map_relay = map_relay.MapRelay(network=network,
                                             link_bytes_per_s=link_bytes_per_s,
                                             time=time)
        self._clock = time
        self._log = log
        self._times_by_order: dict[tuple[int, peer_messages.OrderKind],
                                   _SendTimes] = {}
        self._rng = random.Random(host)
        self._tasks: set[asyncio.Task[None]] = set()
        # Several maps at once would take too long on this host's link.
        self._sending_map = asyncio.Lock()

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, kind: type[BaseException] | None,
                        error: BaseException | None,
                        trace: types.TracebackType | None) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def send_due(self, orders: map_switch.RankOrders) -> None:
        """Sends the orders that are new or due to be resent.

        Args:
            orders: the order that each rank should carry out now.
        """
        now = self._clock.monotonic()
        ranks_by_order: dict[peer_messages.RankOrder, list[int]] = {}
        for rank, order in orders.items():
            times = self._times_by_order.get((rank, order.kind))
            if times is None:
                times = _SendTimes(now, now, now)
                self._times_by_order[rank, order.kind] = times
            elif not self._may_resend(rank, order, times, now, len(orders)):
                continue
            times.last_at = now
            self._counts[order.kind.value] += 1
            if (order.kind in _DIRECT_KINDS or
                    self._view.is_agent_silent(rank)):
                self._start_task(self._send_directly(rank, order))
                continue
            ranks_by_order.setdefault(order, []).append(rank)
            if (now - times.direct_at > _AGENT_TIMEOUT_S and
                    self._may_send_directly(rank, order)):
                times.direct_at = now
                self._start_task(self._send_directly(rank, order))
        for order, ranks in ranks_by_order.items():
            self._send_through_agents(order, ranks)

    def _may_resend(self, rank: int, order: peer_messages.RankOrder,
                    times: _SendTimes, now: float, ranks: int) -> bool:
        """Returns whether to send an order without a visible effect again."""
        wait_s = _RESEND_S
        if (order.kind not in _DIRECT_KINDS and
                self._view.is_agent_silent(rank)):
            wait_s = _AGENT_TIMEOUT_S
        if order.kind is peer_messages.OrderKind.PREPARE:
            wait_s = (_PREPARE_RESEND_S +
                      self._map_relay.delivery_s(order, ranks))
        return now - times.last_at > wait_s

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)

    async def wait(self) -> None:
        """Waits for one tick and removes finished tasks.

        Raises:
            Exception: a task that sent an order failed unexpectedly.
        """
        await self._clock.sleep(_TICK_S)
        for task in [task for task in self._tasks if task.done()]:
            self._tasks.discard(task)
            task.result()

    # Sending through agents.

    def _send_through_agents(self, order: peer_messages.RankOrder,
                             ranks: Sequence[int]) -> None:
        order = dataclasses.replace(order, giver=self._host)
        addresses = [
            address for rank in ranks if (address := self._agent_address(rank))
        ]
        if order.kind is peer_messages.OrderKind.PREPARE:
            # Another order each time, so that an agent that does not relay
            # keeps the map from others only once.
            self._rng.shuffle(addresses)
            self._start_task(self._map_relay.send(order, addresses))
        elif not self._network.send_all(addresses, order):
            self._send_all_directly(order, ranks)

    def _may_send_directly(self, rank: int,
                           order: peer_messages.RankOrder) -> bool:
        """Returns whether an order may be sent directly to the server.

        Sending a map to many ranks would saturate this host's link, so a
        prepare order is sent directly only if the agent is unresponsive.
        """
        return (order.kind is not peer_messages.OrderKind.PREPARE or
                not self._view.is_fresh(rank))

    def _send_all_directly(self, order: peer_messages.RankOrder,
                           ranks: Sequence[int]) -> None:
        """Sends an order that is too large for a datagram."""
        for rank in ranks:
            self._start_task(self._send_directly(rank, order))

    def _agent_address(self, rank: int) -> str:
        record = self._host_record(rank)
        return record.peer_address if record else ''

    def _host_record(self, rank: int) -> host_record.HostRecord | None:
        state = self._view.states().get(rank)
        return self._hosts.records_by_host.get(state.host) if state else None

    # Sending directly to servers.

    async def _send_directly(self, rank: int,
                             order: peer_messages.RankOrder) -> None:
        """Sends an order to a server directly and records its new state."""
        record = self._host_record(rank)
        if record is None:
            return
        server = self._make_server(record.engine_address)
        status = None
        cause = ''
        try:
            if order.kind is peer_messages.OrderKind.PREPARE:
                async with self._sending_map:
                    status = await server.send_order(order)
            else:
                status = await server.send_order(order)
            state = None
            if not self._view.is_agent_silent(rank):
                state = await self._network.fetch_rank_state(record.peer_address
                                                            )
            if state is None:
                server_status = await server.fetch_status()
                state = dataclasses.replace(server_status.state,
                                            host=record.host)
            self._view.take(state)
        except rank_server.RankServerUnavailableError as error:
            cause = str(error)
            if order.kind in _DIRECT_KINDS:
                self._network.send(record.peer_address,
                                   dataclasses.replace(order, giver=self._host))
        if status not in _ACCEPTED_STATUSES:
            self._log.write(log_events.LogEvent.ORDER_FAILED,
                            group=self._view.name,
                            rank=rank,
                            order=order.kind.value,
                            version=order.version,
                            step=order.step,
                            status=status,
                            cause=cause)
