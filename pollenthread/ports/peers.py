"""Interface to the messages between hosts of the platform deployment."""

import abc
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

from pollenthread.core import peer_messages

__all__ = ['PeerNetwork', 'SnapshotProvider']

SnapshotProvider = Callable[[peer_messages.SnapshotRequest],
                            peer_messages.Snapshot | None]


class PeerNetwork(abc.ABC):
    """Exchanges messages with peers by address, without guaranteed delivery."""

    @abc.abstractmethod
    def set_datagram_handler(self, message_type: type[Any],
                             handler: Callable[[Any], None]) -> None:
        """Sets the function that handles received messages of a type."""

    def send(self, address: str, *messages: Any) -> None:
        """Sends messages as datagrams."""
        for message in messages:
            self.send_all((address,), message)

    @abc.abstractmethod
    def send_all(self, addresses: Iterable[str], message: Any) -> bool:
        """Sends one message as a datagram to each of several peers.

        Returns:
            False if the message exceeds the size of a datagram.
        """

    @abc.abstractmethod
    def set_snapshot_provider(self, provider: SnapshotProvider) -> None:
        """Sets the source of the store snapshot that peers can request."""

    @abc.abstractmethod
    def set_rank_state_provider(
        self,
        provider: Callable[[],
                           Awaitable[peer_messages.RankState | None]]) -> None:
        """Sets the source of the rank state that peers can request."""

    @abc.abstractmethod
    async def fetch_rank_state(self,
                               address: str) -> peer_messages.RankState | None:
        """Requests the state of a peer's rank; None if the request fails."""

    @abc.abstractmethod
    def set_rank_layout_provider(
        self,
        provider: Callable[[],
                           Awaitable[peer_messages.RankLayout | None]]) -> None:
        """Sets the source of the expert layout that peers can request."""

    @abc.abstractmethod
    async def fetch_rank_layout(
            self, address: str) -> peer_messages.RankLayout | None:
        """Requests the experts of a peer's rank; None if the request fails."""

    @abc.abstractmethod
    async def fetch_snapshot(
            self, address: str, known: peer_messages.SnapshotRequest
    ) -> peer_messages.Snapshot | None:
        """Requests a peer's store snapshot; None if the request fails."""
