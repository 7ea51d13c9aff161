"""Membership of an agent in a rank group: links to ranks and map switches.

Each agent writes its address to the table and keeps links to the next ranks.
Along these links a decision spreads when the coordinator has failed. The agent
of rank 0 is the coordinator and keeps links to all ranks.
"""

import asyncio
import dataclasses
import json
import types
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, Self

from absl import logging

from pollenthread.app import group_coordinator, switch_codec, switch_participant
from pollenthread.core import messages, switch, switch_rank
from pollenthread.ports import clock, link as link_port, rank_engine, table

__all__ = ['GroupMember', 'RankIdentity']

_COORDINATOR_RANK = 0
_LINKED_NEIGHBOURS = 2
_TICK_INTERVAL_S = 0.1
_TABLE_POLL_INTERVAL_S = 1.0


@dataclasses.dataclass(frozen=True)
class RankIdentity:
    """Identifies a rank and its agent.

    Attributes:
        group: the group's name.
        index: the rank's number.
        size: the number of ranks in the group.
        host: the agent's host.
    """

    group: str
    index: int
    size: int
    host: str


@dataclasses.dataclass(frozen=True)
class _AgentAddress:
    """Host and link address of another rank's agent."""

    host: str
    address: str


class GroupMember(link_port.LinkHandler):
    """Runs the tasks of one rank; a context manager."""

    def __init__(
            self, *, identity: RankIdentity, engine: rank_engine.RankEngine,
            table_service: table.TableService, time: clock.Clock,
            keep_links: Callable[[Mapping[str, str]], Awaitable[None]]) -> None:
        """Initializes a member whose tasks do not run yet.

        Args:
            identity: the rank and its agent.
            engine: the engine of the rank.
            table_service: the table with the rows of the group.
            time: the clock.
            keep_links: keeps links to the given hosts, as addresses by host.
        """
        self._identity = identity
        self._table = table_service
        self._clock = time
        self._keep_links = keep_links
        self._links_by_host: dict[str, list[link_port.Link]] = {}
        self._address_by_index: dict[int, _AgentAddress] = {}
        self._inbox: asyncio.Queue[tuple[link_port.Link,
                                         switch_codec.SwitchMessage]]
        self._inbox = asyncio.Queue()
        self._tasks: list[asyncio.Task[None]] = []
        self._participant = switch_participant.SwitchParticipant(
            index=identity.index,
            engine=engine,
            read_group_fence=self._read_fence,
            on_reply=self._send_to_coordinator)
        self._coordinator: group_coordinator.GroupCoordinator | None = None
        self._local_orders: asyncio.Queue[
            switch.CoordinatorMessage] = asyncio.Queue()
        if identity.index == _COORDINATOR_RANK:
            self._coordinator = group_coordinator.GroupCoordinator(
                group=identity.group,
                size=identity.size,
                table_service=table_service,
                time=time,
                send=self._send_order)
        self._is_elected = False

    async def __aenter__(self) -> Self:
        for work in (self._receive(), self._run_local_orders(), self._tick(),
                     self._poll_table()):
            self._tasks.append(asyncio.create_task(work))
        return self

    async def __aexit__(self, kind: type[BaseException] | None,
                        error: BaseException | None,
                        trace: types.TracebackType | None) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._participant.stop()

    def status(self) -> dict[str, Any]:
        """Returns the status document for operators."""
        document: dict[str, Any] = {
            'group':
                self._identity.group,
            'index':
                self._identity.index,
            'linked':
                sorted(
                    host for host, links in self._links_by_host.items() if links
                )
        }
        if self._coordinator is not None:
            document['phase'] = self._coordinator.phase
            document['acknowledged'] = sorted(
                self._coordinator.acknowledged_ranks)
            document['map_version'] = self._coordinator.map_version
            document['switches'] = dataclasses.asdict(self._coordinator.counts)
        return document

    async def publish_address(self, address: str) -> None:
        """Writes this agent's address to the table; retries until stored.

        Args:
            address: the address at which other agents open links.
        """
        key = _rank_key(self._identity.group, self._identity.index)
        value = json.dumps({
            'host': self._identity.host,
            'address': address
        }).encode()
        while True:
            read = await self._table.get(key)
            if read.is_ok():
                row = read.unwrap()
                if row is not None and row.value == value:
                    return
                expect = table.ABSENT_VERSION if row is None else row.version
                await self._table.put(key, value, expected_version=expect)
            await self._clock.sleep(_TICK_INTERVAL_S)

    def on_open(self, link: link_port.Link) -> None:
        self._links_by_host.setdefault(link.peer.host, []).append(link)

    def on_close(self, link: link_port.Link, reason: str) -> None:
        links = self._links_by_host.get(link.peer.host, [])
        if link in links:
            links.remove(link)
            logging.info('rank link closed host=%s reason=%s', link.peer.host,
                         reason)

    def on_message(self, link: link_port.Link,
                   message: messages.Message) -> None:
        if (not isinstance(message, messages.Group) or
                message.group != self._identity.group):
            return
        decoded = switch_codec.decode(message)
        if decoded is not None:
            self._inbox.put_nowait((link, decoded))

    async def _receive(self) -> None:
        while True:
            link, message = await self._inbox.get()
            if isinstance(message, switch.Ask):
                rank = await self._participant.read_rank()
                answer = rank and switch_rank.answer_decision_request(
                    rank, message)
                if answer:
                    self._send(link, answer)
            elif isinstance(message, switch.RankMessage):
                if self._coordinator is not None:
                    self._coordinator.on_reply(message)
            else:
                reply = await self._participant.handle(message)
                if reply is not None:
                    self._send(link, reply)

    async def _run_local_orders(self) -> None:
        """Carries out orders of the coordinator in this process."""
        while True:
            order = await self._local_orders.get()
            reply = await self._participant.handle(order)
            if reply is not None and self._coordinator is not None:
                self._coordinator.on_reply(reply)

    async def _tick(self) -> None:
        while True:
            await self._clock.sleep(_TICK_INTERVAL_S)
            if self._coordinator is not None:
                self._coordinator.tick()
            rank = await self._participant.read_rank()
            if rank is None:
                continue
            request = switch_rank.join_request(rank)
            if request is not None:
                self._send_to_coordinator(request)
            query = switch_rank.decision_request(rank)
            if query is not None:
                for links in list(self._links_by_host.values()):
                    for link in links[-1:]:
                        self._send(link, query)

    async def _poll_table(self) -> None:
        while True:
            if self._coordinator is not None:
                if not self._is_elected:
                    self._is_elected = await self._coordinator.acquire()
                await self._coordinator.pursue_wanted_map()
            await self._update_links()
            await self._clock.sleep(_TABLE_POLL_INTERVAL_S)

    async def _update_links(self) -> None:
        """Reads the addresses of other ranks and links to the required ones."""
        required = _ranks_to_link(self._identity)
        if not required:
            return
        rows = await self._table.scan(_rank_key(self._identity.group, None))
        for row in rows.unwrap_or([]):
            index = int(row.key.rpartition('/')[2])
            self._address_by_index[index] = _AgentAddress(
                **json.loads(row.value))
        addresses = [
            self._address_by_index[index]
            for index in required
            if index in self._address_by_index
        ]
        await self._keep_links({item.host: item.address for item in addresses})

    async def _read_fence(self) -> int | None:
        read = await self._table.get(
            group_coordinator.group_key(self._identity.group))
        if read.is_err():
            return None
        row = read.unwrap()
        return 0 if row is None else group_coordinator.parse_row(
            row.value).fence

    def _send_order(self, index: int, order: switch.CoordinatorMessage) -> None:
        if index == self._identity.index:
            self._local_orders.put_nowait(order)
            return
        address = self._address_by_index.get(index)
        if address is not None:
            self._send_to_host(address.host, order)

    def _send_to_coordinator(self, reply: switch.RankMessage) -> None:
        """Sends a reply to the coordinator.

        All linked hosts get it, as the coordinator opened the link to this one.
        """
        if self._coordinator is not None:
            self._coordinator.on_reply(reply)
            return
        for host in list(self._links_by_host):
            self._send_to_host(host, reply)

    def _send_to_host(self, host: str,
                      message: switch_codec.SwitchMessage) -> None:
        for link in self._links_by_host.get(host, [])[-1:]:
            self._send(link, message)

    def _send(self, link: link_port.Link,
              message: switch_codec.SwitchMessage) -> None:
        try:
            link.send(switch_codec.encode(self._identity.group, message))
        except link_port.LinkClosedError:
            logging.debug('rank message not sent: link closed host=%s',
                          link.peer.host)


def _rank_key(group: str, index: int | None) -> str:
    return f'ranks/{group}/' + ('' if index is None else str(index))


def _ranks_to_link(identity: RankIdentity) -> list[int]:
    """Returns the ranks that an agent keeps links to."""
    if identity.index == _COORDINATOR_RANK:
        return [i for i in range(identity.size) if i != identity.index]
    near = ((identity.index + i) % identity.size
            for i in range(1, _LINKED_NEIGHBOURS + 1))
    return sorted(
        {i for i in near if i not in (identity.index, _COORDINATOR_RANK)})
