"""Interface of an agent to the engine of its rank, one member of a group."""

import abc
import dataclasses

__all__ = ['RankEngine', 'RankEngineUnavailableError', 'RankEngineStatus']


class RankEngineUnavailableError(Exception):
    """The engine did not respond; a write may have taken effect."""


@dataclasses.dataclass(frozen=True, slots=True)
class RankEngineStatus:
    """State of a rank as the engine reports it.

    Attributes:
        incarnation: increases with each restart of the rank.
        step: the last step that the rank has started.
        state: the bytes that the agent last stored in the engine; empty after a
            restart.
    """

    incarnation: int
    step: int
    state: bytes


class RankEngine(abc.ABC):
    """Client of an engine that stores and applies the agent's state."""

    @abc.abstractmethod
    async def read_status(self) -> RankEngineStatus:
        """Reads the state of the rank.

        Raises:
            RankEngineUnavailableError: the engine did not respond.
        """

    @abc.abstractmethod
    async def write_state(self, state: bytes, *, incarnation: int) -> bool:
        """Stores the state that the engine applies from the next step on.

        Args:
            state: the encoded state.
            incarnation: the incarnation that the rank must have.

        Returns:
            False if the rank has another incarnation, or has already started
            the step before which the state requires it to wait.

        Raises:
            RankEngineUnavailableError: the engine did not respond.
        """

    @abc.abstractmethod
    async def load_weights(self, map_version: int) -> bool:
        """Loads the weights that an expert map requires.

        Args:
            map_version: the version of the map.

        Returns:
            Whether the weights were loaded.

        Raises:
            RankEngineUnavailableError: the engine did not respond.
        """
