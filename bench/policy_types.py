"""What the fakes of bench.policy share: time, requests and policies."""

import dataclasses
import heapq
from collections.abc import Callable
from typing import Any

__all__ = ['EventLoop', 'Policy', 'Request', 'RequestClass']


@dataclasses.dataclass(frozen=True)
class RequestClass:
    """One class of the users' work."""

    name: str
    share: float
    pool: str
    importance: int
    tokens: float
    latency_target_s: float
    token_gap_target_s: float = 0.0
    repeatable: bool = True
    prompt_tokens: int = 250
    token_sigma: float = 0.8


@dataclasses.dataclass(frozen=True)
class Policy:
    """Which mechanisms are on."""

    name: str = 'ours'
    selection: str = 'ours'
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

    request_id: int
    request_class: RequestClass
    workspace: str
    prefix: bytes
    tokens: int
    arrived_at: float
    attempts: int = 0
    failed_hosts: set[str] = dataclasses.field(default_factory=set)
    running_attempts: dict[str, Any] = dataclasses.field(default_factory=dict)
    first_token_at: float | None = None
    completed_at: float | None = None
    winning_attempt: str = ''
    rejected: bool = False
    is_local: bool = False

    def in_time(self) -> bool:
        """Whether the answer met its class's targets."""
        if self.completed_at is None or self.first_token_at is None:
            return False
        if not self.request_class.token_gap_target_s:
            return self.completed_at - self.arrived_at <= self.request_class.latency_target_s
        gap_s = (self.completed_at - self.first_token_at) / max(1, self.tokens)
        return (self.first_token_at - self.arrived_at
                <= self.request_class.latency_target_s and
                gap_s <= self.request_class.token_gap_target_s)


class EventLoop:
    """Virtual time."""

    def __init__(self) -> None:
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence_number = 0

    def call_at(self, time_s: float, callback: Callable[[], None]) -> None:
        """Calls `act` at a time."""
        self._sequence_number += 1
        heapq.heappush(self._heap, (time_s, self._sequence_number, callback))

    def run_until(self, until_s: float) -> None:
        """Runs until a time."""
        while self._heap and self._heap[0][0] <= until_s:
            self.now, _, callback = heapq.heappop(self._heap)
            callback()
