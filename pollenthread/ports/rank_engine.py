"""One rank of a group, as its agent sees it."""

import abc
import dataclasses

__all__ = ['RankEngine', 'RankEngineUnavailableError', 'RankEngineStatus']


class RankEngineUnavailableError(Exception):
    """The engine gave no answer; an order may have taken effect."""


@dataclasses.dataclass(frozen=True, slots=True)
class RankEngineStatus:
    """What the engine says of its rank.

    Attributes:
        incarnation: rises with each restart of the rank.
        step: the last step that it has entered.
        state: what the agent has stored there; empty after a restart.
    """

    incarnation: int
    step: int
    state: bytes


class RankEngine(abc.ABC):
    """Keeps the agent's state, steps by it and loads weights."""

    @abc.abstractmethod
    async def read_status(self) -> RankEngineStatus:
        """Reads the rank.

        Raises:
            RankUnavailable: there is no answer.
        """

    @abc.abstractmethod
    async def write_state(self, state: bytes, *, incarnation: int) -> bool:
        """Stores the state, by which the engine goes from now on.

        Returns:
            False when the rank has another incarnation, or has already entered
            the step before which the state tells it to wait.

        Raises:
            RankUnavailable: there is no answer.
        """

    @abc.abstractmethod
    async def load_weights(self, map_version: int) -> bool:
        """Loads the weights that a map needs; False when that failed.

        Raises:
            RankUnavailable: there is no answer.
        """
