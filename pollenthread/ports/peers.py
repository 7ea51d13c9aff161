"""Messages between hosts on the prepared platform."""

import abc
from collections.abc import Awaitable, Callable
from typing import Any

from pollenthread.core import peer_messages

__all__ = ['PeerNetwork']

OrderHandler = Callable[[peer_messages.RankOrder],
                        Awaitable[peer_messages.RankAnswer | None]]


class PeerNetwork(abc.ABC):
    """Sends to peers by address; nothing sent is sure to arrive."""

    @abc.abstractmethod
    def on_datagram(self, kind: type[Any], take: Callable[[Any], None]) -> None:
        """Hands arriving messages of a type to a function."""

    @abc.abstractmethod
    def send(self, address: str, *messages: Any) -> None:
        """Sends messages that may get lost."""

    @abc.abstractmethod
    def serve_snapshots(
            self, make: Callable[[], peer_messages.Snapshot | None]) -> None:
        """Answers peers that ask what this host knows of the store."""

    @abc.abstractmethod
    def serve_orders(self, carry_out: OrderHandler) -> None:
        """Carries out peers' orders for the server beside this host."""

    @abc.abstractmethod
    def serve_states(
            self,
            make: Callable[[],
                           Awaitable[peer_messages.RankState | None]]) -> None:
        """Answers peers that ask for the state of this host's rank."""

    @abc.abstractmethod
    async def fetch_state(self, address: str) -> peer_messages.RankState | None:
        """Asks for the state of a peer's rank; None without an answer."""

    @abc.abstractmethod
    def serve_layouts(
            self,
            make: Callable[[],
                           Awaitable[peer_messages.RankLayout | None]]) -> None:
        """Answers peers that ask which experts this host's rank holds."""

    @abc.abstractmethod
    async def fetch_layout(self,
                           address: str) -> peer_messages.RankLayout | None:
        """Asks which experts a peer's rank holds; None without an answer."""

    @abc.abstractmethod
    async def fetch_snapshot(self,
                             address: str) -> peer_messages.Snapshot | None:
        """Asks a peer what it knows of the store; None without an answer."""

    @abc.abstractmethod
    async def order(
            self, address: str,
            order: peer_messages.RankOrder) -> peer_messages.RankAnswer | None:
        """Has a peer's server carry out an order; None without an answer."""
