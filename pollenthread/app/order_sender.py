"""Gives ranks the orders of one switch until they take effect.

An order goes to the agent beside a rank as a datagram; the agent gives it to
its server and tells the rank's state. One order is the same for many ranks, so
it is encoded once, and a map, which is large, is handed on between agents.
"""

import asyncio
import collections
import dataclasses
import math
import types
from collections.abc import Callable, Coroutine, Sequence
from typing import Any, Self

from pollenthread.app import group_view, roster
from pollenthread.core import (host_record, log_events, map_switch,
                               peer_messages)
from pollenthread.ports import clock, event_log, peers, rank_server

__all__ = ['OrderSender', 'ServerMaker']

_TICK_S = 0.01
# While a pass is held every stream of the group waits, so an arming or a
# release whose effect is not seen is given again at once.
_RESEND_S = 0.03
# The agent itself gives its server a map again; this is for lost datagrams.
_RESEND_PREPARE_S = 0.4
# An agent that has not made its server act for so long is gone past.
_AGENT_PATIENCE_S = 0.25
_DONE_STATUSES = (200, 202)
_DIRECT_KINDS = (peer_messages.OrderKind.HOLD, peer_messages.OrderKind.GO)

ServerMaker = Callable[[str], rank_server.RankServer]


@dataclasses.dataclass(slots=True)
class _Given:
    """When an order was given to a rank, in monotonic seconds.

    Attributes:
        first_at: for the first time.
        last_at: for the last time.
        direct_at: for the last time past the agent.
    """

    first_at: float
    last_at: float
    direct_at: float


def _resend_s(kind: peer_messages.OrderKind) -> float:
    """Seconds after which an order whose effect is not seen is repeated."""
    if kind is peer_messages.OrderKind.PREPARE:
        return _RESEND_PREPARE_S
    return _RESEND_S


class OrderSender:
    """Owns the orders under way; a context manager.

    The holding rank is held and released directly: if the host that gives such
    an order fails right after it, the rank can still be reached by others.
    """

    def __init__(self, *, host: str, hosts: roster.Roster,
                 view: group_view.GroupView, network: peers.PeerNetwork,
                 make_server: ServerMaker, counts: collections.Counter[str],
                 time: clock.Clock, log: event_log.EventLog) -> None:
        """Makes a sender that has given nothing.

        Args:
            host: this agent's host, which is told the ranks' states.
            hosts: the hosts of the deployment.
            view: the group.
            network: reaches other agents.
            make_server: makes a client of the server at an address.
            counts: orders given, by kind; counted up.
            time: the clock.
            log: the log.
        """
        self._host = host
        self._hosts = hosts
        self._view = view
        self._network = network
        self._make_server = make_server
        self._counts = counts
        self._clock = time
        self._log = log
        self._given: dict[tuple[int, peer_messages.OrderKind], _Given] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, kind: type[BaseException] | None,
                        error: BaseException | None,
                        trace: types.TracebackType | None) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def send_due(self, orders: map_switch.Orders) -> None:
        """Gives the orders that were not given just now."""
        now = self._clock.monotonic()
        ranks_by_order: dict[peer_messages.RankOrder, list[int]] = {}
        for rank, order in orders.items():
            given = self._given.get((rank, order.kind))
            if given is None:
                given = _Given(now, now, now)
                self._given[rank, order.kind] = given
            elif now - given.last_at <= _resend_s(order.kind):
                continue
            given.last_at = now
            self._counts[order.kind.value] += 1
            if order.kind in _DIRECT_KINDS:
                self._begin(self._give_directly(rank, order))
                continue
            ranks_by_order.setdefault(order, []).append(rank)
            if (now - given.direct_at > _AGENT_PATIENCE_S and
                    self._may_go_past(rank, order)):
                given.direct_at = now
                self._begin(self._give_directly(rank, order))
        for order, ranks in ranks_by_order.items():
            self._give_agents(order, ranks)

    def _begin(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)

    async def wait(self) -> None:
        """Waits until it is time to look at the ranks again.

        Raises:
            Exception: giving an order went wrong in an unforeseen way.
        """
        await self._clock.sleep(_TICK_S)
        for task in [task for task in self._tasks if task.done()]:
            self._tasks.discard(task)
            task.result()

    # Through agents.

    def _give_agents(self, order: peer_messages.RankOrder,
                     ranks: Sequence[int]) -> None:
        order = dataclasses.replace(order, giver=self._host)
        addresses = [
            address for rank in ranks if (address := self._address(rank))
        ]
        is_first = all(
            given.first_at == given.last_at
            for given in (self._given[rank, order.kind] for rank in ranks))
        if order.kind is peer_messages.OrderKind.PREPARE and is_first:
            self._relay(order, addresses)
        elif not self._network.send_all(addresses, order):
            self._give_all_directly(order, ranks)

    def _relay(self, order: peer_messages.RankOrder,
               addresses: Sequence[str]) -> None:
        """Sends to a few agents, each of which hands the order on to a few."""
        size = math.isqrt(len(addresses)) + 1
        for begin in range(0, len(addresses), size):
            first, *others = addresses[begin:begin + size]
            self._network.send_all((first,),
                                   dataclasses.replace(order,
                                                       relay_to=tuple(others)))

    def _may_go_past(self, rank: int, order: peer_messages.RankOrder) -> bool:
        """Whether an order may be given past an agent.

        A map would fill this host's link, so only if the agent is not heard.
        """
        return (order.kind is not peer_messages.OrderKind.PREPARE or
                not self._view.is_fresh(rank))

    def _give_all_directly(self, order: peer_messages.RankOrder,
                           ranks: Sequence[int]) -> None:
        """For an order that no datagram can hold."""
        for rank in ranks:
            self._begin(self._give_directly(rank, order))

    def _address(self, rank: int) -> str:
        record = self._record(rank)
        return record.peer_address if record else ''

    def _record(self, rank: int) -> host_record.HostRecord | None:
        state = self._view.states().get(rank)
        return self._hosts.records_by_host.get(state.host) if state else None

    # Past agents.

    async def _give_directly(self, rank: int,
                             order: peer_messages.RankOrder) -> None:
        """Gives a server an order past its agent."""
        record = self._record(rank)
        if record is None:
            return
        server = self._make_server(record.engine_address)
        status = None
        cause = ''
        try:
            status = await server.send_order(order)
            state = await self._network.fetch_rank_state(record.peer_address)
            if state is None:
                report = await server.fetch_status()
                state = dataclasses.replace(report.state, host=record.host)
            self._view.take(state)
        except rank_server.RankServerUnavailableError as error:
            cause = str(error)
            if order.kind in _DIRECT_KINDS:
                self._network.send(record.peer_address,
                                   dataclasses.replace(order, giver=self._host))
        if status not in _DONE_STATUSES:
            self._log.write(log_events.LogEvent.ORDER_FAILED,
                            group=self._view.name,
                            rank=rank,
                            order=order.kind.value,
                            version=order.version,
                            step=order.step,
                            status=status,
                            cause=cause)
