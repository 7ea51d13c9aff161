"""Carries out the orders that an agent receives for its model server.

A repeated order is passed to the server each time it arrives, concurrently if
necessary, because the response to an earlier one may have been lost. A prepare
order contains the map and is large, so the agent retries it locally instead of
having it sent over the link again.
"""

import asyncio
import collections
from collections.abc import Callable

from pollenthread.app import group_view, host_registry, map_relay
from pollenthread.core import log_events, peer_messages
from pollenthread.ports import clock, event_log, peers, rank_server

__all__ = ['OrderReceiver']

_MAX_CONCURRENT = 3
_PREPARE_ATTEMPTS = 5
_ACCEPTED_STATUSES = (200, 202)
# A map cannot be switched before the last rank is known to have copied it.
_COPYING_POLL_S = 0.02
_MAX_COPYING_POLLS = 25
_REPORT_SPACING_S = 0.0005

_OrderKey = tuple[peer_messages.OrderKind, int, int]

StatusHandler = Callable[[rank_server.RankServerStatus],
                         peer_messages.RankState]


class OrderReceiver:
    """Passes orders that arrive as datagrams to the server."""

    def __init__(self, *, host: str, server: rank_server.RankServer,
                 handle_status: StatusHandler,
                 hosts: host_registry.HostRegistry,
                 registry: group_view.GroupRegistry, network: peers.PeerNetwork,
                 relay: map_relay.MapRelay, time: clock.Clock,
                 log: event_log.EventLog) -> None:
        """Initializes a receiver; orders are ignored until `run` is called.

        Args:
            host: this agent's host.
            server: the client of the model server on this host.
            handle_status: records a status of the server and returns the rank's
                state.
            hosts: the hosts of the deployment.
            registry: the known state of all groups.
            network: delivers orders and returns the rank's state to their
                senders.
            relay: passes maps on to other agents.
            time: the clock.
            log: the structured log.
        """
        self._host = host
        self._server = server
        self._handle_status = handle_status
        self._hosts = hosts
        self._registry = registry
        self._network = network
        self._relay = relay
        self._clock = time
        self._log = log
        self._tasks: asyncio.TaskGroup | None = None
        self._running_by_key: collections.Counter[
            _OrderKey] = collections.Counter()
        network.set_datagram_handler(peer_messages.RankOrder, self.on_order)

    async def run(self) -> None:
        """Carries out received orders until cancelled."""
        async with asyncio.TaskGroup() as self._tasks:
            await asyncio.Event().wait()

    def on_order(self, order: peer_messages.RankOrder) -> None:
        """Relays an order to other agents and passes it to the server.

        Args:
            order: the order; ignored while too many equal ones are running.
        """
        if self._tasks is None:
            return
        if order.kind is peer_messages.OrderKind.PREPARE:
            self._registry.remember_map(order)
        if order.relay_to:
            self._tasks.create_task(self._relay.send(order, order.relay_to))
        key = (order.kind, order.version, order.step)
        if self._running_by_key[key] < _MAX_CONCURRENT:
            self._running_by_key[key] += 1
            self._tasks.create_task(self._execute(order, key))

    async def _execute(self, order: peer_messages.RankOrder,
                       key: _OrderKey) -> None:
        attempts = (_PREPARE_ATTEMPTS
                    if order.kind is peer_messages.OrderKind.PREPARE else 1)
        try:
            for _ in range(attempts):
                if await self._pass_to_server(order):
                    break
        finally:
            self._running_by_key[key] -= 1
            if not self._running_by_key[key]:
                del self._running_by_key[key]

    async def _pass_to_server(self, order: peer_messages.RankOrder) -> bool:
        """Passes an order to the server and sends its new state to the sender.

        Returns:
            Whether the server responded to the order.
        """
        try:
            status = await self._server.send_order(order)
        except rank_server.RankServerUnavailableError as error:
            self._log_failure(order, None, str(error))
            return False
        if status not in _ACCEPTED_STATUSES:
            self._log_failure(order, status, '')
        try:
            await self._report_effect(order)
        except rank_server.RankServerUnavailableError:
            # The next poll of the server sends the state.
            pass
        return True

    async def _report_effect(self, order: peer_messages.RankOrder) -> None:
        """Sends the state after an order, and once more after it has copied.

        Raises:
            RankServerUnavailableError: the server does not respond.
        """
        state = self._handle_status(await self._server.fetch_status())
        # Ranks that copy equally much end at the same time, and a coordinator's
        # link does not take the states of all at once.
        spacing_s = state.rank * _REPORT_SPACING_S
        if not state.is_busy:
            self._send_state(order, state)
            return
        await self._clock.sleep(spacing_s)
        self._send_state(order, state)
        for _ in range(_MAX_COPYING_POLLS):
            if not state.is_busy:
                break
            await self._clock.sleep(_COPYING_POLL_S)
            state = self._handle_status(await self._server.fetch_status())
        await self._clock.sleep(spacing_s)
        self._send_state(order, state)

    def _send_state(self, order: peer_messages.RankOrder,
                    state: peer_messages.RankState) -> None:
        record = self._hosts.records_by_host.get(order.giver)
        if record is not None and record.host != self._host:
            self._network.send(record.peer_address, state)

    def _log_failure(self, order: peer_messages.RankOrder, status: int | None,
                     cause: str) -> None:
        self._log.write(log_events.LogEvent.ORDER_FAILED,
                        important=False,
                        order=order.kind.value,
                        version=order.version,
                        step=order.step,
                        status=status,
                        cause=cause)
