"""Asks the servers of ranks whose agents are silent.

An agent may be frozen, cut off or gone while the server beside it goes on. The
maps of the group can still be changed then, if the coordinator reads the states
of such ranks from their servers itself.
"""

import asyncio
import dataclasses
from collections.abc import Sequence

from pollenthread.app import group_view, host_registry, order_sender
from pollenthread.core import host_record, peer_messages
from pollenthread.ports import clock, rank_server

__all__ = ['SilentRankQuery']

_INTERVAL_S = 0.4
# While a rank carries out orders, the others may wait for it.
_SWITCHING_INTERVAL_S = 0.05
_MAX_SILENT_SHARE = 0.25


class SilentRankQuery:
    """Updates the view of one group from servers that are asked directly."""

    def __init__(self, *, view: group_view.GroupView,
                 hosts: host_registry.HostRegistry,
                 make_server: order_sender.RankServerFactory,
                 time: clock.Clock) -> None:
        """Initializes without asking any server.

        Args:
            view: the known state of the group.
            hosts: the hosts of the deployment.
            make_server: creates a client for the model server at an address.
            time: the clock.
        """
        self._view = view
        self._hosts = hosts
        self._make_server = make_server
        self._clock = time
        self._queried_at = time.monotonic()
        self._hosts_elsewhere: set[str] = set()

    async def query_due(self, service: str) -> None:
        """Asks the servers of silent ranks, if that is due.

        Args:
            service: the service of the group's servers.
        """
        now = self._clock.monotonic()
        states = self._view.states()
        silent = [
            state for rank, state in states.items()
            if self._view.is_agent_silent(rank)
        ]
        if len(silent) > _MAX_SILENT_SHARE * len(states):
            # This host is the one that hears nobody.
            return
        is_switching = any(
            state.is_busy or state.armed_version for state in silent)
        interval_s = _SWITCHING_INTERVAL_S if is_switching else _INTERVAL_S
        if now - self._queried_at < interval_s:
            return
        self._queried_at = now
        await asyncio.gather(
            *(self._query(record) for record in self._records(service, silent)))

    def _records(
        self, service: str, silent: Sequence[peer_messages.RankState]
    ) -> list[host_record.HostRecord]:
        """Returns the hosts whose servers are to be asked."""
        states = self._view.states()
        hosts = {state.host for state in silent}
        if states and len(states) < next(iter(states.values())).size:
            # A rank whose agent has been silent all the time may be anywhere.
            known_hosts = {state.host for state in states.values()}
            hosts |= {
                record.host
                for record in self._hosts.with_role(host_record.Role.AGENT)
                if record.service == service
            } - known_hosts - self._hosts_elsewhere
        return [
            self._hosts.records_by_host[host]
            for host in hosts
            if host in self._hosts.records_by_host
        ]

    async def fetch_layout(self, rank: int) -> peer_messages.RankLayout | None:
        """Returns the experts of a rank, asked from its server, or None."""
        state = self._view.states().get(rank)
        record = self._hosts.records_by_host.get(state.host) if state else None
        if record is None:
            return None
        try:
            return await self._make_server(record.engine_address).fetch_layout()
        except rank_server.RankServerUnavailableError:
            return None

    async def _query(self, record: host_record.HostRecord) -> None:
        server = self._make_server(record.engine_address)
        try:
            status = await server.fetch_status()
        except rank_server.RankServerUnavailableError:
            return
        if status.state.group == self._view.name:
            self._view.take(dataclasses.replace(status.state, host=record.host))
        elif status.is_group_member:
            self._hosts_elsewhere.add(record.host)
