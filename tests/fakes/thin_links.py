"""Emulates hosts that exchange messages over slow links in virtual time.

Each host has a link with a limited rate in each direction, on which data is
queued. A datagram is dropped if the queue is too long. The messages are encoded
with the codec of the program, so that their sizes are realistic.
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
_BITS_PER_MEGABIT = 1_000_000
_PROPAGATION_DELAY_S = 0.0005
_DATAGRAM_HEADER_BYTES = 28
_CALL_HEADER_BYTES = 160
_MAX_BACKLOG_S = 0.05
_CALL_TIMEOUT_S = 0.8


@dataclasses.dataclass
class _Direction:
    """One direction of a link.

    Attributes:
        free_at: the time at which all queued data has been transmitted.
        sent_bytes: the number of transmitted bytes.
    """

    free_at: float = 0.0
    sent_bytes: int = 0


@dataclasses.dataclass
class _Host:
    """A host and its link.

    Attributes:
        network: the host's network interface.
        uplink: the direction from the host.
        downlink: the direction to the host.
    """

    network: 'FabricNetwork'
    uplink: _Direction = dataclasses.field(default_factory=_Direction)
    downlink: _Direction = dataclasses.field(default_factory=_Direction)


class Fabric:
    """The links of all hosts; datagrams can be dropped, calls cannot.

    Attributes:
        host_by_address: the hosts by address.
        lost_by_kind: the number of dropped datagrams by message type.
        sent_by_kind: the number of sent datagrams by message type.
        lossy_kinds: how many of the next datagrams of a message type vanish.
    """

    def __init__(self, *, megabits_per_s: float) -> None:
        """Initializes the links.

        Args:
            megabits_per_s: the rate of each link in each direction.
        """
        self._bytes_per_s = megabits_per_s * _BITS_PER_MEGABIT / _BITS_PER_BYTE
        self.host_by_address: dict[str, _Host] = {}
        self.lost_by_kind: collections.Counter[str] = collections.Counter()
        self.sent_by_kind: collections.Counter[str] = collections.Counter()
        self.lossy_kinds: collections.Counter[str] = collections.Counter()

    def busiest_bytes_per_s(self, seconds: float) -> float:
        """Returns the highest mean rate of a link in one direction.

        Args:
            seconds: the duration over which to take the mean.
        """
        return max(direction.sent_bytes
                   for host in self.host_by_address.values()
                   for direction in (host.uplink, host.downlink)) / seconds

    def send_datagram(self, source: str, target: str, data: bytes,
                      kind: str) -> None:
        """Sends a datagram; drops it if a link's queue is too long."""
        size = len(data) + _DATAGRAM_HEADER_BYTES
        self.sent_by_kind[kind] += 1
        if self.lossy_kinds[kind]:
            self.lossy_kinds[kind] -= 1
            return
        sender = self.host_by_address.get(source)
        receiver = self.host_by_address.get(target)
        if sender is None:
            return
        now = asyncio.get_running_loop().time()
        if sender.uplink.free_at - now > _MAX_BACKLOG_S:
            self.lost_by_kind[kind] += 1
            return
        arrives_at = self._schedule_transmission(sender.uplink, now,
                                                 size) + _PROPAGATION_DELAY_S
        if receiver is None:
            return
        if receiver.downlink.free_at - arrives_at > _MAX_BACKLOG_S:
            self.lost_by_kind[kind] += 1
            return
        asyncio.get_running_loop().call_at(
            self._schedule_transmission(receiver.downlink, arrives_at, size),
            receiver.network.receive_datagram, data)

    async def transfer(self, source: str, target: str, size: int) -> None:
        """Waits until the bytes of a call are transmitted; none are dropped."""
        loop = asyncio.get_running_loop()
        size += _CALL_HEADER_BYTES
        sender = self.host_by_address.get(source)
        receiver = self.host_by_address.get(target)
        if sender is None or receiver is None:
            raise TimeoutError
        sent_at = self._schedule_transmission(sender.uplink, loop.time(),
                                              size) + _PROPAGATION_DELAY_S
        await asyncio.sleep(
            self._schedule_transmission(receiver.downlink, sent_at, size) -
            loop.time())

    def _schedule_transmission(self, direction: _Direction, now: float,
                               size: int) -> float:
        """Queues bytes on a link; returns when they have been transmitted."""
        starts_at = max(now, direction.free_at)
        direction.free_at = starts_at + size / self._bytes_per_s
        direction.sent_bytes += size
        return direction.free_at


class FabricNetwork(peers.PeerNetwork):
    """The network interface of one host."""

    def __init__(self, *, fabric: Fabric, address: str) -> None:
        self._fabric = fabric
        self._address = address
        self._handler_by_type: dict[type[Any], Callable[[Any], None]] = {}
        self._get_rank_state: Callable[[], Awaitable[peer_messages.RankState |
                                                     None]] | None = None
        self._get_rank_layout: Callable[[], Awaitable[peer_messages.RankLayout |
                                                      None]] | None = None
        fabric.host_by_address[address] = _Host(network=self)

    def set_datagram_handler(self, message_type: type[Any],
                             handler: Callable[[Any], None]) -> None:
        self._handler_by_type[message_type] = handler

    def send_all(self, addresses: Iterable[str], message: Any) -> bool:
        data = peer_codec.encode_datagram(message)
        for address in addresses:
            self._fabric.send_datagram(self._address, address, data,
                                       type(message).__name__)
        return True

    def receive_datagram(self, data: bytes) -> None:
        """Decodes a datagram and passes it to the handler of its type."""
        message = peer_codec.decode_datagram(data)
        handler = self._handler_by_type.get(type(message))
        if handler is not None:
            handler(message)

    def set_snapshot_provider(self, provider: peers.SnapshotProvider) -> None:
        return

    def set_rank_state_provider(
        self,
        provider: Callable[[],
                           Awaitable[peer_messages.RankState | None]]) -> None:
        self._get_rank_state = provider

    def set_rank_layout_provider(
        self,
        provider: Callable[[],
                           Awaitable[peer_messages.RankLayout | None]]) -> None:
        self._get_rank_layout = provider

    async def fetch_snapshot(
            self, address: str, known: peer_messages.SnapshotRequest
    ) -> peer_messages.Snapshot | None:
        return None

    async def fetch_rank_state(self,
                               address: str) -> peer_messages.RankState | None:
        response_message: peer_messages.RankState | None = await self._call(
            address, lambda receiver: receiver.provide_rank_state())
        return response_message

    async def fetch_rank_layout(
            self, address: str) -> peer_messages.RankLayout | None:
        response_message: peer_messages.RankLayout | None = await self._call(
            address, lambda receiver: receiver.provide_rank_layout())
        return response_message

    async def _call(
            self, address: str, send_request: Callable[['FabricNetwork'],
                                                       Awaitable[Any]]) -> Any:
        receiver = self._fabric.host_by_address.get(address)
        if receiver is None:
            return None
        try:
            async with asyncio.timeout(_CALL_TIMEOUT_S):
                await self._fabric.transfer(self._address, address, 0)
                response = await send_request(receiver.network)
                if response is not None:
                    size = len(peer_codec.encode(response))
                    await self._fabric.transfer(address, self._address, size)
                return response
        except TimeoutError:
            return None

    async def provide_rank_state(self) -> peer_messages.RankState | None:
        """Returns the state of the host's rank, or None."""
        return (None if self._get_rank_state is None else await
                self._get_rank_state())

    async def provide_rank_layout(self) -> peer_messages.RankLayout | None:
        """Returns the expert layout of the host's rank, or None."""
        return (None if self._get_rank_layout is None else await
                self._get_rank_layout())
