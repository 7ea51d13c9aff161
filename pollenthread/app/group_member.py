"""An agent's part in its rank group: links to other ranks and map switches.

Each agent writes its address to the table and keeps links to its next
neighbours, along which a decision spreads when the decider is lost. The agent
of rank 0 decides, and keeps links to all.
"""

import asyncio
import dataclasses
import json
import types
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, Self

from absl import logging

from pollenthread.app import rank_switch, switch_codec, switch_duty
from pollenthread.core import messages, switch, switch_rank
from pollenthread.ports import clock, link as link_port, rank_engine, table

__all__ = ['GroupMember', 'Place']

_DECIDER = 0
_NEIGHBOURS = 2
_TICK_S = 0.1
_TABLE_POLL_S = 1.0


@dataclasses.dataclass(frozen=True)
class Place:
    """Where an agent is in its group.

    Attributes:
        group: the group's name.
        index: the rank's number.
        size: ranks in the group.
        host: the agent's host name.
    """

    group: str
    index: int
    size: int
    host: str


@dataclasses.dataclass(frozen=True)
class _Address:
    """Another rank's agent."""

    host: str
    address: str


class GroupMember(link_port.LinkHandler):
    """Owns the tasks of one rank."""

    def __init__(
            self, *, place: Place, engine: rank_engine.RankEngine,
            table_service: table.TableService, time: clock.Clock,
            keep_links: Callable[[Mapping[str, str]], Awaitable[None]]) -> None:
        self._place = place
        self._table = table_service
        self._time = time
        self._keep_links = keep_links
        self._links_by_host: dict[str, list[link_port.Link]] = {}
        self._address_by_index: dict[int, _Address] = {}
        self._inbox: asyncio.Queue[tuple[link_port.Link,
                                         switch_codec.SwitchMessage]]
        self._inbox = asyncio.Queue()
        self._tasks: list[asyncio.Task[None]] = []
        self._rank = rank_switch.RankSwitch(index=place.index,
                                            engine=engine,
                                            read_fence=self._read_fence,
                                            on_reply=self._to_decider)
        self._duty: switch_duty.SwitchDuty | None = None
        self._own_orders: asyncio.Queue[switch.Order] = asyncio.Queue()
        if place.index == _DECIDER:
            self._duty = switch_duty.SwitchDuty(group=place.group,
                                                size=place.size,
                                                table_service=table_service,
                                                time=time,
                                                send=self._send_order)
        self._is_holder = False

    async def __aenter__(self) -> Self:
        for work in (self._receive(), self._carry_out_own(), self._tick(),
                     self._poll_table()):
            self._tasks.append(asyncio.create_task(work))
        return self

    async def __aexit__(self, kind: type[BaseException] | None,
                        error: BaseException | None,
                        trace: types.TracebackType | None) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._rank.stop()

    def status(self) -> dict[str, Any]:
        """What operators see."""
        document: dict[str, Any] = {
            'group':
                self._place.group,
            'index':
                self._place.index,
            'linked':
                sorted(
                    host for host, links in self._links_by_host.items() if links
                )
        }
        if self._duty is not None:
            document['phase'] = self._duty.phase
            document['map_version'] = self._duty.map_version
            document['switches'] = dataclasses.asdict(self._duty.counts)
        return document

    async def announce(self, address: str) -> None:
        """Writes the own address to the table, until it is there."""
        key = _rank_key(self._place.group, self._place.index)
        value = json.dumps({
            'host': self._place.host,
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
            await self._time.sleep(_TICK_S)

    def on_open(self, link: link_port.Link) -> None:
        self._links_by_host.setdefault(link.peer.host, []).append(link)

    def on_close(self, link: link_port.Link, reason: str) -> None:
        links = self._links_by_host.get(link.peer.host, [])
        if link in links:
            links.remove(link)
            logging.info('rank lost host=%s reason=%s', link.peer.host, reason)

    def on_message(self, link: link_port.Link,
                   message: messages.Message) -> None:
        if (not isinstance(message, messages.Group) or
                message.group != self._place.group):
            return
        decoded = switch_codec.decode(message)
        if decoded is not None:
            self._inbox.put_nowait((link, decoded))

    async def _receive(self) -> None:
        while True:
            link, message = await self._inbox.get()
            if isinstance(message, switch.Ask):
                rank = await self._rank.look()
                known = rank and switch_rank.answer_ask(rank, message)
                if known:
                    self._send(link, known)
            elif isinstance(message, switch.Reply):
                if self._duty is not None:
                    self._duty.receive(message)
            else:
                reply = await self._rank.handle(message)
                if reply is not None:
                    self._send(link, reply)

    async def _carry_out_own(self) -> None:
        """Carries out the orders of the decider in this process."""
        while True:
            order = await self._own_orders.get()
            reply = await self._rank.handle(order)
            if reply is not None and self._duty is not None:
                self._duty.receive(reply)

    async def _tick(self) -> None:
        while True:
            await self._time.sleep(_TICK_S)
            if self._duty is not None:
                self._duty.tick()
            rank = await self._rank.look()
            if rank is None:
                continue
            request = switch_rank.join(rank)
            if request is not None:
                self._to_decider(request)
            question = switch_rank.ask(rank)
            if question is not None:
                for links in list(self._links_by_host.values()):
                    for link in links[-1:]:
                        self._send(link, question)

    async def _poll_table(self) -> None:
        while True:
            if self._duty is not None:
                if not self._is_holder:
                    self._is_holder = await self._duty.take()
                await self._duty.follow_wanted()
            await self._keep_linked()
            await self._time.sleep(_TABLE_POLL_S)

    async def _keep_linked(self) -> None:
        """Reads where the other ranks are and dials those that are needed."""
        needed = _dialed(self._place)
        if not needed:
            return
        rows = await self._table.scan(_rank_key(self._place.group, None))
        for row in rows.unwrap_or([]):
            index = int(row.key.rpartition('/')[2])
            self._address_by_index[index] = _Address(**json.loads(row.value))
        wanted = [
            self._address_by_index[index]
            for index in needed
            if index in self._address_by_index
        ]
        await self._keep_links({item.host: item.address for item in wanted})

    async def _read_fence(self) -> int | None:
        read = await self._table.get(switch_duty.group_key(self._place.group))
        if read.is_err():
            return None
        row = read.unwrap()
        return 0 if row is None else switch_duty.parse_row(row.value).fence

    def _send_order(self, index: int, order: switch.Order) -> None:
        if index == self._place.index:
            self._own_orders.put_nowait(order)
            return
        address = self._address_by_index.get(index)
        if address is not None:
            self._send_host(address.host, order)

    def _to_decider(self, reply: switch.Reply) -> None:
        """Sends to the agent that decides, which has dialed this one."""
        if self._duty is not None:
            self._duty.receive(reply)
            return
        for host in list(self._links_by_host):
            self._send_host(host, reply)

    def _send_host(self, host: str,
                   message: switch_codec.SwitchMessage) -> None:
        for link in self._links_by_host.get(host, [])[-1:]:
            self._send(link, message)

    def _send(self, link: link_port.Link,
              message: switch_codec.SwitchMessage) -> None:
        try:
            link.send(switch_codec.encode(self._place.group, message))
        except link_port.LinkClosedError:
            logging.debug('rank message lost host=%s', link.peer.host)


def _rank_key(group: str, index: int | None) -> str:
    return f'ranks/{group}/' + ('' if index is None else str(index))


def _dialed(place: Place) -> list[int]:
    """The ranks that an agent keeps links to."""
    if place.index == _DECIDER:
        return [i for i in range(place.size) if i != place.index]
    near = ((place.index + i) % place.size for i in range(1, _NEIGHBOURS + 1))
    return sorted({i for i in near if i not in (place.index, _DECIDER)})
