"""Targets that operators set for classes of work."""

import dataclasses
import enum
from collections.abc import Mapping

__all__ = [
    'RankBalance', 'Importance', 'LatencyTarget', 'Targets', 'WorkClass', 'WorkspaceTargets'
]


class Importance(enum.IntEnum):
    """Which class of work gives way first when capacity is short."""

    LOW = 0
    NORMAL = 1
    HIGH = 2


@dataclasses.dataclass(frozen=True)
class LatencyTarget:
    """The latency target of a class: for a stream or for a whole answer.

    Attributes:
        first_token_ms: milliseconds to the first token, or None.
        between_tokens_ms: milliseconds between tokens, or None.
        answer_ms: milliseconds to the whole answer, or None.
    """

    first_token_ms: int | None = None
    between_tokens_ms: int | None = None
    answer_ms: int | None = None

    def is_for_whole_response(self, stream: bool) -> bool:
        """Whether the target is for the whole answer of a request."""
        return not stream or self.first_token_ms is None

    def target_ms(self, stream: bool) -> int | None:
        """The target for the first token of a stream, or for the answer."""
        return self.answer_ms if self.is_for_whole_response(stream) else self.first_token_ms


@dataclasses.dataclass(frozen=True)
class WorkClass:
    """One class of work.

    Attributes:
        name: unique in its workspace.
        latency: the target.
        retries: how many more attempts one request may make.
        repeatable: whether running a request twice does no harm.
        importance: higher gives way later.
    """

    name: str
    latency: LatencyTarget
    retries: int
    repeatable: bool
    importance: Importance = Importance.NORMAL


@dataclasses.dataclass(frozen=True)
class WorkspaceTargets:
    """One customer's classes of work.

    Attributes:
        name: unique in the system.
        models: names of the models that it may use.
        services: names of the plain services that it may use.
        class_by_name: its classes of work.
    """

    name: str
    models: frozenset[str]
    services: frozenset[str]
    class_by_name: Mapping[str, WorkClass]


@dataclasses.dataclass(frozen=True)
class RankBalance:
    """How even ranks shall be, and what that may cost.

    Attributes:
        skew: the slowest rank over the mean rank that is accepted.
        budget_share: the share of a group's capacity that reloading may take.
    """

    skew: float = 1.05
    budget_share: float = 0.01


@dataclasses.dataclass(frozen=True)
class Targets:
    """One version of everything that operators have set.

    Attributes:
        version: rises by one with each accepted change.
        workspace_by_name: all workspaces.
        draining: hosts that operators have taken out of service.
        balance: the targets of all rank groups.
    """

    version: int
    workspace_by_name: Mapping[str, WorkspaceTargets]
    draining: frozenset[str] = frozenset()
    balance: RankBalance = RankBalance()
