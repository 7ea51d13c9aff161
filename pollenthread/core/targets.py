"""Targets that operators set for classes of work and for rank groups."""

import dataclasses
import enum
from collections.abc import Mapping

__all__ = [
    'RankBalance', 'Importance', 'LatencyTarget', 'Targets', 'WorkClass',
    'WorkspaceTargets'
]


class Importance(enum.IntEnum):
    """The importance of a class of work; the lowest is rejected first."""

    LOW = 0
    NORMAL = 1
    HIGH = 2


@dataclasses.dataclass(frozen=True)
class LatencyTarget:
    """The latency target of a class of work.

    Attributes:
        first_token_ms: milliseconds to the first token of a stream, or None.
        between_tokens_ms: milliseconds between tokens of a stream, or None.
        answer_ms: milliseconds to the end of the response, or None.
    """

    first_token_ms: int | None = None
    between_tokens_ms: int | None = None
    answer_ms: int | None = None

    def is_for_whole_response(self, stream: bool) -> bool:
        """Returns whether the target applies to the whole response."""
        return not stream or self.first_token_ms is None

    def target_ms(self, stream: bool) -> int | None:
        """Returns the target for the first token or for the whole response.

        Args:
            stream: whether the response is streamed.
        """
        return self.answer_ms if self.is_for_whole_response(
            stream) else self.first_token_ms


@dataclasses.dataclass(frozen=True)
class WorkClass:
    """A class of work.

    Attributes:
        name: name of the class, unique in its workspace.
        latency: the latency target.
        retries: maximum number of retries of a request.
        repeatable: whether a request may safely be executed more than once.
        importance: classes of lower importance are rejected first.
    """

    name: str
    latency: LatencyTarget
    retries: int
    repeatable: bool
    importance: Importance = Importance.NORMAL


@dataclasses.dataclass(frozen=True)
class WorkspaceTargets:
    """The targets of one workspace.

    Attributes:
        name: name of the workspace, unique in the system.
        models: names of the models that it may use.
        services: names of the plain services that it may use.
        class_by_name: its classes of work, by name.
    """

    name: str
    models: frozenset[str]
    services: frozenset[str]
    class_by_name: Mapping[str, WorkClass]


@dataclasses.dataclass(frozen=True)
class RankBalance:
    """The target for balancing load over the ranks of a group.

    Attributes:
        skew: accepted ratio of the slowest rank's time to the mean.
        budget_share: maximum share of a group's capacity that may be spent on
            reloading weights.
    """

    skew: float = 1.05
    budget_share: float = 0.01


@dataclasses.dataclass(frozen=True)
class Targets:
    """One version of all targets.

    Attributes:
        version: version number; increases by one with each accepted change.
        workspace_by_name: all workspaces, by name.
        draining: names of the hosts that operators are draining.
        emptied_data_centres: names of the data centres whose upstreams get no
            new work.
        balance: the target of all rank groups.
    """

    version: int
    workspace_by_name: Mapping[str, WorkspaceTargets]
    draining: frozenset[str] = frozenset()
    emptied_data_centres: frozenset[str] = frozenset()
    balance: RankBalance = RankBalance()
