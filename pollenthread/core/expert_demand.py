"""Estimates the current demand for experts from the reports of the ranks.

Demand is stable for seconds and then shifts abruptly. A short window that
differs strongly from the estimate therefore replaces it; a similar window is
added to it.
"""

import operator
from collections.abc import Sequence

__all__ = ['ExpertDemand']

# Distances are the sums of the absolute differences of the shares, from 0 to 2.
_SHIFT_DISTANCE = 0.35
_POSSIBLE_SHIFT_DISTANCE = 0.2
_RETAINED_SHARE = 0.7
# A mean distance of the sets that exceeds the usual one by this is a motion.
_USUAL_VARIATION = 1.3
_MIN_MOTION = 0.05
_DISTANCE_SMOOTHING = 0.2
_MIN_WINDOW_CHOICES = 2_000
_MIN_REPORTING_SHARE = 0.75
# The requests of this many ranks represent a group of any size.
_ENOUGH_REPORTING_RANKS = 24


class ExpertDemand:
    """The estimated shares of the experts of one group.

    Attributes:
        changes: the number of windows that replaced the estimate of a set.
        datagrams: the number of reports received.
        windows: the number of windows that changed the estimate.
        is_moving: whether the last window differed more than usual from the
            ones before. It may then cover choices from before a shift and from
            after it, and the next one tells.
    """

    def __init__(self, *, sets: int, experts: int, ranks: int = 1) -> None:
        """Initializes an empty estimate.

        Args:
            sets: the number of sets of layers.
            experts: the number of experts in a set.
            ranks: the number of ranks that report their choices.
        """
        self._experts = experts
        self._window = [0.0] * (sets * experts)
        self._estimate_by_set: list[list[float]] = [
            [0.0] * experts for _ in range(sets)
        ]
        self.changes = 0
        self.datagrams = 0
        self.windows = 0
        self.is_moving = False
        self._usual_distance = 0.0
        self._ranks = ranks
        self._reporting_ranks: set[int] = set()
        self._observed_by_set: list[list[float]] = [
            [0.0] * experts for _ in range(sets)
        ]

    @property
    def is_complete(self) -> bool:
        """Whether every set has an estimate."""
        return all(any(shares) for shares in self._estimate_by_set)

    @property
    def shares_by_set(self) -> Sequence[Sequence[float]]:
        """The weights of the experts, by set and expert."""
        return self._estimate_by_set

    def take_observed_choices(self) -> list[list[float]]:
        """Returns the choices by set and expert since the last call."""
        observed = self._observed_by_set
        self._observed_by_set = [[0.0] * self._experts for _ in observed]
        return observed

    def add(self, rank: int, first: int, choices: Sequence[int]) -> None:
        """Adds the choices of a rank to the window.

        Args:
            rank: the index of the rank.
            first: the index of the first expert, counted over all sets.
            choices: the number of choices by set and expert.
        """
        self.datagrams += 1
        self._reporting_ranks.add(rank)
        end = min(len(self._window), first + len(choices))
        self._window[first:end] = map(operator.add, self._window[first:end],
                                      choices)

    def close_window(self) -> None:
        """Merges the choices of the current window into the estimate.

        The few requests of one rank do not represent the whole group, so the
        window stays open until `_MIN_REPORTING_SHARE` of the ranks, or
        `_ENOUGH_REPORTING_RANKS`, have reported. Each set also needs
        `_MIN_WINDOW_CHOICES` choices.
        """
        needed = min(_ENOUGH_REPORTING_RANKS,
                     self._ranks * _MIN_REPORTING_SHARE)
        if len(self._reporting_ranks) < needed:
            return
        self._reporting_ranks.clear()
        experts = self._experts
        distances = []
        for index, estimate in enumerate(self._estimate_by_set):
            begin = index * experts
            window = self._window[begin:begin + experts]
            if sum(window) < _MIN_WINDOW_CHOICES:
                continue
            self._window[begin:begin + experts] = [0.0] * experts
            distances.append(_distance(estimate, window))
            self._estimate_by_set[index] = self._merge(estimate, window,
                                                       distances[-1])
            self._observed_by_set[index] = [
                a + b for a, b in zip(self._observed_by_set[index], window)
            ]
        if distances:
            self.windows += 1
            self._detect_motion(sum(distances) / len(distances))

    def _detect_motion(self, distance: float) -> None:
        """Compares the distance of a window with that of earlier ones."""
        excess = distance - _USUAL_VARIATION * self._usual_distance
        if excess > _MIN_MOTION and not self.is_moving:
            self.is_moving = True
            return
        self.is_moving = False
        if distance < _SHIFT_DISTANCE:
            self._usual_distance += _DISTANCE_SMOOTHING * (distance -
                                                           self._usual_distance)

    def _merge(self, estimate: list[float], window: list[float],
               distance: float) -> list[float]:
        if not any(estimate):
            return window
        is_possible_shift = distance > _POSSIBLE_SHIFT_DISTANCE
        if distance > _SHIFT_DISTANCE or (is_possible_shift and self.is_moving):
            self.changes += 1
            return window
        retained = (_RETAINED_SHARE /
                    2 if is_possible_shift else _RETAINED_SHARE)
        return [a * retained + b for a, b in zip(estimate, window)]


def _distance(estimate: Sequence[float], window: Sequence[float]) -> float:
    """Returns the sum of the absolute differences of the shares."""
    total, window_total = sum(estimate), sum(window)
    if not total:
        return 0.0
    return sum(
        abs(a / total - b / window_total) for a, b in zip(estimate, window))
