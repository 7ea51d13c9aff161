"""The model server that is a rank of a group."""

import abc
import dataclasses

from pollenthread.core import peer_messages

__all__ = [
    'ExpertChoiceCounts', 'RankServerStatus', 'RankServer',
    'RankServerUnavailableError'
]


class RankServerUnavailableError(Exception):
    """The server gave no answer; an order may be carried out later."""


@dataclasses.dataclass(frozen=True, slots=True)
class RankServerStatus:
    """What a server says of itself.

    Attributes:
        state: its rank; the host is empty.
        running: requests that it works on.
        waiting: requests in its queue.
        is_in_group: whether it is a rank of a group at all.
    """

    state: peer_messages.RankState
    running: int
    waiting: int
    is_group_member: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ExpertChoiceCounts:
    """How often a rank's requests have chosen each expert since its start.

    Attributes:
        step: the last pass that was begun.
        epoch: the group's epoch.
        counts: by set and then by expert.
    """

    step: int
    epoch: int
    counts: tuple[int, ...]


class RankServer(abc.ABC):
    """One server; free to ask from its own host, priced from elsewhere."""

    @abc.abstractmethod
    async def fetch_status(self) -> RankServerStatus:
        """Asks for its state.

        Raises:
            RankSilent: there is no answer.
        """

    @abc.abstractmethod
    async def fetch_choice_counts(self) -> ExpertChoiceCounts:
        """Asks how often experts were chosen.

        Raises:
            RankSilent: there is no answer.
        """

    @abc.abstractmethod
    async def fetch_layout(self) -> peer_messages.RankLayout:
        """Asks which experts it holds by the map in use.

        Raises:
            RankSilent: there is no answer.
        """

    @abc.abstractmethod
    async def send_order(self, order: peer_messages.RankOrder) -> int:
        """Gives an order; returns the HTTP status.

        Raises:
            RankSilent: there is no answer.
        """
