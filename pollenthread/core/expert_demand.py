"""Which experts requests choose now, from what the ranks tell.

Demand stays the same for seconds and then changes at once. So a short window
that differs much from what came before begins the estimate anew; one that
agrees is added to it.
"""

import operator
from collections.abc import Sequence

__all__ = ['ExpertDemand']

_CHANGED_DISTANCE = 0.35
_SUSPICIOUS_DISTANCE = 0.2
_KEEP = 0.7
_MIN_WINDOW = 2_000
_HEARD_SHARE = 0.75


class ExpertDemand:
    """The shares of the experts of one group."""

    def __init__(self, *, sets: int, experts: int, ranks: int = 1) -> None:
        """Makes an estimate of nothing.

        Args:
            sets: sets of layers.
            experts: experts in a set.
            ranks: how many ranks tell their choices.
        """
        self._experts = experts
        self._window = [0.0] * (sets * experts)
        self._estimate_by_set: list[list[float]] = [
            [0.0] * experts for _ in range(sets)
        ]
        self.changes = 0
        self.datagrams = 0
        self._ranks = ranks
        self._heard: set[int] = set()
        self._seen_by_set: list[list[float]] = [
            [0.0] * experts for _ in range(sets)
        ]

    @property
    def is_complete(self) -> bool:
        """Whether every set has been observed."""
        return all(any(shares) for shares in self._estimate_by_set)

    @property
    def shares_by_set(self) -> Sequence[Sequence[float]]:
        """Weights of the experts, by set."""
        return self._estimate_by_set

    def take_observed_choices(self) -> list[list[float]]:
        """Choices by set since the last call."""
        seen = self._seen_by_set
        self._seen_by_set = [[0.0] * self._experts for _ in seen]
        return seen

    def add(self, rank: int, first: int, choices: Sequence[int]) -> None:
        """Adds choices of a rank to the window.

        Args:
            rank: the rank's number.
            first: the index of the first one, over all sets.
            choices: by set and expert.
        """
        self.datagrams += 1
        self._heard.add(rank)
        end = min(len(self._window), first + len(choices))
        self._window[first:end] = map(operator.add, self._window[first:end],
                                      choices)

    def close_window(self) -> None:
        """Brings what was told since the last window into the estimate.

        What one rank's few requests choose says little of all, so the window
        stays open until most ranks were heard.
        """
        if len(self._heard) < self._ranks * _HEARD_SHARE:
            return
        self._heard.clear()
        experts = self._experts
        for index, estimate in enumerate(self._estimate_by_set):
            begin = index * experts
            window = self._window[begin:begin + experts]
            if sum(window) < _MIN_WINDOW:
                continue
            self._window[begin:begin + experts] = [0.0] * experts
            self._estimate_by_set[index] = self._merge(estimate, window)
            self._seen_by_set[index] = [
                a + b for a, b in zip(self._seen_by_set[index], window)
            ]

    def _merge(self, estimate: list[float], window: list[float]) -> list[float]:
        total = sum(estimate)
        if not total:
            return window
        share = sum(window)
        distance = sum(
            abs(a / total - b / share) for a, b in zip(estimate, window))
        if distance > _CHANGED_DISTANCE:
            self.changes += 1
            return window
        keep = _KEEP if distance < _SUSPICIOUS_DISTANCE else _KEEP / 2
        return [a * keep + b for a, b in zip(estimate, window)]
