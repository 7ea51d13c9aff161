"""Detection of slow ranks, as distinct from an unbalanced expert map.

The computing time of a rank should be proportional to the tokens on its
experts. A rank that takes longer per token than the others is slow, which no
map can correct.
"""

import dataclasses
import statistics
from collections.abc import Sequence

__all__ = ['RankTimes', 'SlowRank', 'find_slow_ranks']

SLOW_RATIO = 1.15
MIN_WINDOWS = 5
_MIN_TOKENS = 1


@dataclasses.dataclass(frozen=True, slots=True)
class RankTimes:
    """The measurements of all ranks in one window of steps.

    Attributes:
        seconds_by_rank: the computing time of each rank, in seconds.
        tokens_by_rank: the tokens routed to the experts of each rank.
    """

    seconds_by_rank: tuple[float, ...]
    tokens_by_rank: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SlowRank:
    """A rank that was found to be slow.

    Attributes:
        rank: the index of the rank.
        ratio: its time per token divided by that of the median rank.
    """

    rank: int
    ratio: float


def find_slow_ranks(windows: Sequence[RankTimes]) -> list[SlowRank]:
    """Returns the ranks that were slow in most windows, the slowest first.

    Returns an empty list for fewer than `MIN_WINDOWS` windows.
    """
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
        seconds / max(_MIN_TOKENS, tokens) for seconds, tokens in zip(
            window.seconds_by_rank, window.tokens_by_rank)
    ]
    median = statistics.median(cost)
    return [value / median if median else 1.0 for value in cost]
