"""Brings an expert map to many agents, which relay it to each other.

A map is large for an agent's link, and a link that gets several at once drops
some of them. Each agent therefore sends a map to a few others only, one after
the other, and they pass it on in the same way. The first of them gets half of
the agents to pass it on to, the next half of the rest and so on, so that all
links are in use until the last agent has the map.
"""

import asyncio
import dataclasses
import math
from collections.abc import Sequence

from pollenthread.core import peer_messages
from pollenthread.ports import clock, peers

__all__ = ['MapRelay']

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
            for first, *others in _halves(addresses):
                self._network.send_all(
                    (first,), dataclasses.replace(order,
                                                  relay_to=tuple(others)))
                await self._clock.sleep(self._send_s(order))

    def delivery_s(self, order: peer_messages.RankOrder, agents: int) -> float:
        """Returns how long it takes until all agents have a map, in seconds."""
        return math.ceil(math.log2(agents + 1)) * self._send_s(order)

    def _send_s(self, order: peer_messages.RankOrder) -> float:
        size = self._bytes_by_version.get(order.version)
        if size is None:
            size = _map_bytes(order.layouts)
            self._bytes_by_version = {order.version: size}
        return size / (self._link_bytes_per_s * _LINK_SHARE)


def _halves(addresses: Sequence[str]) -> list[Sequence[str]]:
    """Divides addresses into parts of which each is half of what is left."""
    parts = []
    while addresses:
        size = math.ceil(len(addresses) / 2)
        parts.append(addresses[:size])
        addresses = addresses[size:]
    return parts


def _map_bytes(layouts: peer_messages.Layouts) -> int:
    """Returns the approximate size of a map in a message, in bytes.

    Args:
        layouts: the experts by set and rank.
    """
    return sum(1 + len(experts) for by_rank in layouts for experts in by_rank)
