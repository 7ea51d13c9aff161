"""Brings an expert map to many agents, which relay it to each other.

A map is large for an agent's link, and a link that gets several at once drops
some of them. Each agent therefore sends a map to a few others only, one after
the other, and they pass it on in the same way.
"""

import asyncio
import dataclasses
import math
from collections.abc import Sequence

from pollenthread.core import peer_messages
from pollenthread.ports import clock, peers

__all__ = ['MapRelay']

_FAN_OUT = 3
# The rest of the link is for heartbeats, states and the server's responses.
_LINK_SHARE = 0.7


class MapRelay:
    """Sends maps at the pace of this host's link."""

    def __init__(self, *, network: peers.PeerNetwork, link_bytes_per_s: float,
                 time: clock.Clock) -> None:
        self._network = network
        self._link_bytes_per_s = link_bytes_per_s
        self._clock = time
        self._sending = asyncio.Lock()
        # Of the last map only: a host sends one map at a time.
        self._bytes_by_version: dict[int, int] = {}

    async def send(self, order: peer_messages.RankOrder,
                   addresses: Sequence[str]) -> None:
        """Sends an order with a map to agents, directly or through others."""
        async with self._sending:
            for first, *others in _split(addresses):
                self._network.send_all(
                    (first,), dataclasses.replace(order,
                                                  relay_to=tuple(others)))
                await self._clock.sleep(self._send_s(order))

    def delivery_s(self, order: peer_messages.RankOrder, agents: int) -> float:
        """Returns how long it takes until all agents have a map, in seconds."""
        levels = math.ceil(math.log(agents + 1, _FAN_OUT))
        return levels * _FAN_OUT * self._send_s(order)

    def _send_s(self, order: peer_messages.RankOrder) -> float:
        size = self._bytes_by_version.get(order.version)
        if size is None:
            size = _map_bytes(order.layouts)
            self._bytes_by_version = {order.version: size}
        return size / (self._link_bytes_per_s * _LINK_SHARE)


def _split(addresses: Sequence[str]) -> list[Sequence[str]]:
    """Divides addresses into at most `_FAN_OUT` parts of about equal size."""
    size = max(1, math.ceil(len(addresses) / _FAN_OUT))
    return [
        addresses[begin:begin + size]
        for begin in range(0, len(addresses), size)
    ]


def _map_bytes(layouts: peer_messages.Layouts) -> int:
    """Returns the approximate size of a map in a message, in bytes.

    Args:
        layouts: the experts by set and rank.
    """
    return sum(1 + len(experts) for by_rank in layouts for experts in by_rank)
