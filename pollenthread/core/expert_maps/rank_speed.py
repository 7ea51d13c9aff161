"""Tells which ranks are slow, without following each change of their speed.

A map that relieves a slow rank costs copies, and so does the one after it. A
rank that has become slow is relieved at once, since all ranks wait for it. One
that has recovered gets its share back only after it has been normal for a
while, and later each time that it becomes slow again.
"""

import dataclasses
from collections.abc import Mapping

__all__ = ['RankSpeeds', 'RankSlowdown']

_NORMAL = 1.0
# Below this slowdown, the other ranks of a well balanced map wait as long for
# the most loaded one.
_MIN_SLOWDOWN = 1.2
# Smaller changes of a known slowdown do not change what a map can do about it.
_MIN_CHANGE = 0.15
_FIRST_PROBATION_S = 1.0
_MAX_PROBATION_S = 16.0
_PROBATION_GROWTH = 2.0


@dataclasses.dataclass(slots=True)
class RankSlowdown:
    """A rank that is slow, or was so until recently.

    Attributes:
        rank: the index of the rank.
        slowdown: its time for the same work, relative to normal.
        since: when it became slow, in monotonic seconds.
        normal_since: when it became normal again, or None.
        probation_s: how long it must be normal to count as recovered.
    """

    rank: int
    slowdown: float
    since: float
    normal_since: float | None = None
    probation_s: float = _FIRST_PROBATION_S

    def is_recovered(self, now: float) -> bool:
        """Returns whether the rank has been normal for long enough."""
        return (self.normal_since is not None and
                now - self.normal_since >= self.probation_s)


class RankSpeeds:
    """The slow ranks of one group."""

    def __init__(self) -> None:
        self._slow_by_rank: dict[int, RankSlowdown] = {}
        # The probation of ranks that have recovered, and when they did.
        self._served_by_rank: dict[int, tuple[float, float]] = {}

    @property
    def slow_ranks(self) -> list[RankSlowdown]:
        """The slow ranks, the slowest first."""
        return sorted(self._slow_by_rank.values(), key=lambda s: -s.slowdown)

    def slowdowns(self, ranks: int) -> list[float]:
        """Returns the slowdown to plan with, by rank."""
        return [
            self._slow_by_rank[rank].slowdown
            if rank in self._slow_by_rank else _NORMAL for rank in range(ranks)
        ]

    def update(self, slowdown_by_rank: Mapping[int, float],
               now: float) -> tuple[list[RankSlowdown], list[RankSlowdown]]:
        """Takes the slowdowns that the ranks report.

        Args:
            slowdown_by_rank: the time of each rank for the same work, relative
                to normal.
            now: the time in monotonic seconds.

        Returns:
            The ranks that became slow, and those that recovered.
        """
        became_slow = []
        for rank, slowdown in slowdown_by_rank.items():
            known = self._slow_by_rank.get(rank)
            if slowdown < _MIN_SLOWDOWN:
                if known is not None and known.normal_since is None:
                    known.normal_since = now
            elif known is None:
                known = RankSlowdown(rank,
                                     slowdown,
                                     now,
                                     probation_s=self._probation_s(rank, now))
                self._slow_by_rank[rank] = known
                became_slow.append(known)
            else:
                _renew(known, slowdown)
        return became_slow, self._release(now)

    def _probation_s(self, rank: int, now: float) -> float:
        """Returns the probation of a rank that has become slow."""
        served_s, ended_at = self._served_by_rank.get(rank, (0.0, now))
        if not served_s or now - ended_at > _MAX_PROBATION_S:
            return _FIRST_PROBATION_S
        return min(_MAX_PROBATION_S, served_s * _PROBATION_GROWTH)

    def _release(self, now: float) -> list[RankSlowdown]:
        """Removes and returns the ranks that have recovered."""
        recovered = [
            slow for slow in self._slow_by_rank.values()
            if slow.is_recovered(now)
        ]
        for slow in recovered:
            del self._slow_by_rank[slow.rank]
            self._served_by_rank[slow.rank] = (slow.probation_s, now)
        return recovered


def _renew(slow: RankSlowdown, slowdown: float) -> None:
    """Takes a slowdown of a rank that is slow already."""
    if slow.normal_since is not None:
        slow.normal_since = None
        slow.probation_s = min(_MAX_PROBATION_S,
                               slow.probation_s * _PROBATION_GROWTH)
    if abs(slowdown - slow.slowdown) > _MIN_CHANGE * slow.slowdown:
        slow.slowdown = slowdown
