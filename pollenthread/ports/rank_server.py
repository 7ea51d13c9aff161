"""Interface of an agent to the model server that is a rank of a group."""

import abc
import dataclasses

from pollenthread.core import peer_messages

__all__ = [
    'ExpertChoiceCounts', 'RankServerStatus', 'RankServer',
    'RankServerUnavailableError'
]


class RankServerUnavailableError(Exception):
    """The server did not respond; an order may still be executed later."""


@dataclasses.dataclass(frozen=True, slots=True)
class RankServerStatus:
    """State of a server as it reports it.

    Attributes:
        state: the state of its rank; the field `host` is empty.
        running: requests in progress.
        waiting: queued requests.
        is_group_member: whether the server is a rank of a group.
        kv_tokens: tokens in its key-value cache that cannot be evicted.
        kv_capacity_tokens: the capacity of that cache, or 0 if unknown.
    """

    state: peer_messages.RankState
    running: int
    waiting: int
    is_group_member: bool
    kv_tokens: int = 0
    kv_capacity_tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ExpertChoiceCounts:
    """How often each expert was chosen for a request since the rank started.

    Attributes:
        step: the last pass that was started.
        epoch: the epoch of the group, which increases each time that the group
            is formed.
        counts: a count for each expert, ordered by expert set and then by
            expert number.
    """

    step: int
    epoch: int
    counts: tuple[int, ...]


class RankServer(abc.ABC):
    """Client of one server; calls from another host incur a cost."""

    @abc.abstractmethod
    async def fetch_status(self) -> RankServerStatus:
        """Requests the state of the server.

        Raises:
            RankServerUnavailableError: the server did not respond.
        """

    @abc.abstractmethod
    async def fetch_choice_counts(self) -> ExpertChoiceCounts:
        """Requests how often each expert was chosen.

        Raises:
            RankServerUnavailableError: the server did not respond.
        """

    @abc.abstractmethod
    async def fetch_layout(self) -> peer_messages.RankLayout:
        """Requests the experts that the rank holds under the current map.

        Raises:
            RankServerUnavailableError: the server did not respond.
        """

    @abc.abstractmethod
    async def send_order(self, order: peer_messages.RankOrder) -> int:
        """Sends an order.

        Returns:
            The HTTP status of the response.

        Raises:
            RankServerUnavailableError: the server did not respond.
        """
