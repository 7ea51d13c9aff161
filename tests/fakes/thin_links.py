"""Hosts that talk over thin links, in virtual time.

Every host has a link with a speed in each direction; what is sent waits until
the link is free. Datagrams are lost when too much waits. Messages are encoded
by the product's codec, so their sizes are the real ones.
"""

import asyncio
import collections
import dataclasses
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

from pollenthread.adapters import peer_codec
from pollenthread.core import peer_messages
from pollenthread.ports import peers

__all__ = ['Fabric', 'FabricNetwork']

_BITS_PER_BYTE = 8
_MEGA = 1_000_000
_DELAY_S = 0.0005
_DATAGRAM_HEADER_BYTES = 28
_CALL_HEADER_BYTES = 160
_MAX_BACKLOG_S = 0.25
_ANSWER_TIMEOUT_S = 0.8


@dataclasses.dataclass
class _Direction:
    """One direction of a link.

    Attributes:
        free_at: when everything that was sent has passed.
        sent_bytes: all bytes that passed.
    """

    free_at: float = 0.0
    sent_bytes: int = 0


@dataclasses.dataclass
class _Host:
    """A host's link and what it answers."""

    network: 'FabricNetwork'
    up: _Direction = dataclasses.field(default_factory=_Direction)
    down: _Direction = dataclasses.field(default_factory=_Direction)


class Fabric:
    """All links."""

    def __init__(self, *, megabits_per_s: float) -> None:
        self._bytes_per_s = megabits_per_s * _MEGA / _BITS_PER_BYTE
        self.host_by_address: dict[str, _Host] = {}
        self.lost_by_kind: collections.Counter[str] = collections.Counter()
        self.sent_by_kind: collections.Counter[str] = collections.Counter()

    def busiest_bytes_per_s(self, seconds: float) -> float:
        """The mean use of the link that was used most, in either direction."""
        return max(direction.sent_bytes
                   for host in self.host_by_address.values()
                   for direction in (host.up, host.down)) / seconds

    def send_datagram(self, source: str, target: str, data: bytes,
                      kind: str) -> None:
        """Sends a datagram, which is lost when a link is full."""
        size = len(data) + _DATAGRAM_HEADER_BYTES
        self.sent_by_kind[kind] += 1
        here = self.host_by_address[source]
        there = self.host_by_address.get(target)
        now = asyncio.get_running_loop().time()
        if here.up.free_at - now > _MAX_BACKLOG_S:
            self.lost_by_kind[kind] += 1
            return
        arrives_at = self._pass(here.up, now, size) + _DELAY_S
        if there is None:
            return
        if there.down.free_at - arrives_at > _MAX_BACKLOG_S:
            self.lost_by_kind[kind] += 1
            return
        asyncio.get_running_loop().call_at(
            self._pass(there.down, arrives_at, size),
            there.network.receive_datagram, data)

    async def transfer(self, source: str, target: str, size: int) -> None:
        """Carries the bytes of a call, which wait but are not lost."""
        loop = asyncio.get_running_loop()
        size += _CALL_HEADER_BYTES
        here, there = (self.host_by_address[a] for a in (source, target))
        sent_at = self._pass(here.up, loop.time(), size) + _DELAY_S
        await asyncio.sleep(self._pass(there.down, sent_at, size) - loop.time())

    def _pass(self, direction: _Direction, now: float, size: int) -> float:
        """When bytes that arrive now have passed."""
        begin = max(now, direction.free_at)
        direction.free_at = begin + size / self._bytes_per_s
        direction.sent_bytes += size
        return direction.free_at


class FabricNetwork(peers.PeerNetwork):
    """One host's end."""

    def __init__(self, *, fabric: Fabric, address: str) -> None:
        self._fabric = fabric
        self._address = address
        self._take_by_type: dict[type[Any], Callable[[Any], None]] = {}
        self._make_state: Callable[[], Awaitable[peer_messages.RankState |
                                                 None]] | None = None
        self._make_layout: Callable[[], Awaitable[peer_messages.RankLayout |
                                                  None]] | None = None
        fabric.host_by_address[address] = _Host(network=self)

    def set_datagram_handler(self, message_type: type[Any],
                             handler: Callable[[Any], None]) -> None:
        self._take_by_type[message_type] = handler

    def send(self, address: str, *messages: Any) -> None:
        for message in messages:
            self.send_all((address,), message)

    def send_all(self, addresses: Iterable[str], message: Any) -> bool:
        data = peer_codec.encode_datagram(message)
        for address in addresses:
            self._fabric.send_datagram(self._address, address, data,
                                       type(message).__name__)
        return True

    def receive_datagram(self, data: bytes) -> None:
        """Takes a datagram."""
        message = peer_codec.decode_datagram(data)
        take = self._take_by_type.get(type(message))
        if take is not None:
            take(message)

    def set_snapshot_provider(
            self, provider: Callable[[],
                                     peer_messages.Snapshot | None]) -> None:
        return

    def set_rank_state_provider(
        self,
        provider: Callable[[],
                           Awaitable[peer_messages.RankState | None]]) -> None:
        self._make_state = provider

    def set_rank_layout_provider(
        self,
        provider: Callable[[],
                           Awaitable[peer_messages.RankLayout | None]]) -> None:
        self._make_layout = provider

    async def fetch_snapshot(self,
                             address: str) -> peer_messages.Snapshot | None:
        return None

    async def fetch_rank_state(self,
                               address: str) -> peer_messages.RankState | None:
        found: peer_messages.RankState | None = await self._call(
            address, lambda there: there.provide_rank_state())
        return found

    async def fetch_rank_layout(
            self, address: str) -> peer_messages.RankLayout | None:
        found: peer_messages.RankLayout | None = await self._call(
            address, lambda there: there.provide_rank_layout())
        return found

    async def _call(self, address: str, ask: Callable[['FabricNetwork'],
                                                      Awaitable[Any]]) -> Any:
        there = self._fabric.host_by_address.get(address)
        if there is None:
            return None
        try:
            async with asyncio.timeout(_ANSWER_TIMEOUT_S):
                await self._fabric.transfer(self._address, address, 0)
                answer = await ask(there.network)
                if answer is not None:
                    size = len(peer_codec.encode(answer))
                    await self._fabric.transfer(address, self._address, size)
                return answer
        except TimeoutError:
            return None

    async def provide_rank_state(self) -> peer_messages.RankState | None:
        """Asks the host's handler for its rank's state."""
        return None if self._make_state is None else await self._make_state()

    async def provide_rank_layout(self) -> peer_messages.RankLayout | None:
        """Asks the host's handler for its rank's experts."""
        return None if self._make_layout is None else await self._make_layout()
