"""Messages between hosts on the prepared platform."""

import abc
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

from pollenthread.core import peer_messages

__all__ = ['PeerNetwork']


class PeerNetwork(abc.ABC):
    """Sends to peers by address; nothing sent is sure to arrive."""

    @abc.abstractmethod
    def set_datagram_handler(self, message_type: type[Any],
                             handler: Callable[[Any], None]) -> None:
        """Hands arriving messages of a type to a function."""

    @abc.abstractmethod
    def send(self, address: str, *messages: Any) -> None:
        """Sends messages that may get lost."""

    @abc.abstractmethod
    def send_all(self, addresses: Iterable[str], message: Any) -> bool:
        """Sends one message, which may get lost, to many peers.

        Returns:
            False if the message is too large to be sent in this way.
        """

    @abc.abstractmethod
    def set_snapshot_provider(
            self, provider: Callable[[],
                                     peer_messages.Snapshot | None]) -> None:
        """Answers peers that ask what this host knows of the store."""

    @abc.abstractmethod
    def set_rank_state_provider(
        self,
        provider: Callable[[],
                           Awaitable[peer_messages.RankState | None]]) -> None:
        """Answers peers that ask for the state of this host's rank."""

    @abc.abstractmethod
    async def fetch_rank_state(self,
                               address: str) -> peer_messages.RankState | None:
        """Asks for the state of a peer's rank; None without an answer."""

    @abc.abstractmethod
    def set_rank_layout_provider(
        self,
        provider: Callable[[],
                           Awaitable[peer_messages.RankLayout | None]]) -> None:
        """Answers peers that ask which experts this host's rank holds."""

    @abc.abstractmethod
    async def fetch_rank_layout(
            self, address: str) -> peer_messages.RankLayout | None:
        """Asks which experts a peer's rank holds; None without an answer."""

    @abc.abstractmethod
    async def fetch_snapshot(self,
                             address: str) -> peer_messages.Snapshot | None:
        """Asks a peer what it knows of the store; None without an answer."""
