"""Tells a slow host from an uneven map.

A rank's time should follow from the tokens on its experts. A rank that takes
longer for the same tokens is slow by itself, and no map mends that.
"""

import dataclasses
import statistics
from collections.abc import Sequence

__all__ = ['RankTimes', 'SlowRank', 'find_slow_ranks']

SLOW_RATIO = 1.15
MIN_WINDOWS = 5
_LEAST_TOKENS = 1


@dataclasses.dataclass(frozen=True, slots=True)
class RankTimes:
    """What every rank took in one window of steps.

    Attributes:
        seconds_by_rank: the time that each rank computed.
        tokens_by_rank: the tokens on its experts.
    """

    seconds_by_rank: tuple[float, ...]
    tokens_by_rank: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SlowRank:
    """A rank to report.

    Attributes:
        rank: its number.
        ratio: its time for a token over that of the median rank.
    """

    rank: int
    ratio: float


def find_slow_ranks(windows: Sequence[RankTimes]) -> list[SlowRank]:
    """The ranks that were slow in most windows, the slowest first."""
    if len(windows) < MIN_WINDOWS:
        return []
    ratios = [_ratios(window) for window in windows]
    found = []
    for rank in range(len(windows[0].seconds_by_rank)):
        ratio = statistics.median(row[rank] for row in ratios)
        if ratio > SLOW_RATIO:
            found.append(SlowRank(rank, ratio))
    return sorted(found, key=lambda slow: -slow.ratio)


def _ratios(window: RankTimes) -> list[float]:
    cost = [
        seconds / max(_LEAST_TOKENS, tokens) for seconds, tokens in zip(
            window.seconds_by_rank, window.tokens_by_rank)
    ]
    middle = statistics.median(cost)
    return [value / middle if middle else 1.0 for value in cost]
