"""What the fakes of bench.policy share: time, requests and policies."""

import dataclasses
import heapq
from collections.abc import Callable
from typing import Any

__all__ = ['Kind', 'Loop', 'Policy', 'Request']


@dataclasses.dataclass(frozen=True)
class Kind:
    """One class of the users' work."""

    name: str
    share: float
    pool: str
    importance: int
    tokens: float
    first_s: float
    gap_s: float = 0.0
    repeatable: bool = True
    prompt: int = 250
    spread: float = 0.8


@dataclasses.dataclass(frozen=True)
class Policy:
    """Which mechanisms are on."""

    name: str = 'ours'
    choose: str = 'ours'
    unseen: bool = True
    affinity: bool = True
    deadlines: bool = True
    entry_admission: bool = True
    fairness: bool = True
    learned_limit: bool = True
    ejection: bool = True
    budget: bool = True
    hedges: bool = True
    locality: bool = True
    oracle: bool = False


@dataclasses.dataclass
class Request:
    """One request and what came of it."""

    ident: int
    kind: Kind
    workspace: str
    prefix: bytes
    tokens: int
    arrived_at: float
    attempts: int = 0
    failed_hosts: set[str] = dataclasses.field(default_factory=set)
    live: dict[str, Any] = dataclasses.field(default_factory=dict)
    first_at: float | None = None
    done_at: float | None = None
    winner: str = ''
    refused: bool = False
    near: bool = False

    def in_time(self) -> bool:
        """Whether the answer met its class's targets."""
        if self.done_at is None or self.first_at is None:
            return False
        if not self.kind.gap_s:
            return self.done_at - self.arrived_at <= self.kind.first_s
        gap_s = (self.done_at - self.first_at) / max(1, self.tokens)
        return (self.first_at - self.arrived_at <= self.kind.first_s and
                gap_s <= self.kind.gap_s)


class Loop:
    """Virtual time."""

    def __init__(self) -> None:
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._seq = 0

    def at(self, time_s: float, act: Callable[[], None]) -> None:
        """Calls `act` at a time."""
        self._seq += 1
        heapq.heappush(self._heap, (time_s, self._seq, act))

    def run(self, until_s: float) -> None:
        """Runs until a time."""
        while self._heap and self._heap[0][0] <= until_s:
            self.now, _, act = heapq.heappop(self._heap)
            act()
