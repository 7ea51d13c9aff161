"""Tracks the passes of a model group from the load reports of its ranks.

All ranks of a group run the same passes, so each report tells about all of
them. Two load patterns decide how fast the figures follow:

* A group stops for a second or more, because one of its ranks hangs. This is
  known once no rank has seen a pass begin for a few passes, without waiting for
  every rank to notice it.
* Passes get several times as long, and short again later, or the group closes
  and is formed anew. What was measured before is then forgotten.
"""

import math
import statistics
from collections.abc import Mapping, Sequence

from pollenthread.core import routing_config
from pollenthread.core.routing import pass_model

__all__ = ['GroupPace', 'GroupPaces']

# Ranks report at moments of their own; this spans several of their reports.
_SMOOTHING_S = 0.15
# Reports are up to one poll of the server late.
_MIN_STALL_S = 0.3
_STALL_PASSES = 4
# A report that is older than this says nothing about the passes now.
_TTL_S = 1.5


class GroupPace:
    """The pace of one group."""

    def __init__(self) -> None:
        self._pass_s = 0.0
        self._measured_at = -math.inf
        # The latest report of a rank with work, and the latest begin of a pass
        # that any rank has seen.
        self._reported_at = -math.inf
        self._pass_began_at = -math.inf

    def record(self, *, pass_s: float, stalled_s: float, has_work: bool,
               accepts_requests: bool, now: float) -> None:
        """Records the report of one rank.

        Args:
            pass_s: the recent duration of a pass in seconds; 0 if unknown.
            stalled_s: seconds since the rank last saw a pass begin.
            has_work: whether the rank has requests. An idle rank can not tell
                an idle group from one that is stalled.
            accepts_requests: whether the group accepts requests.
            now: monotonic seconds.
        """
        if not accepts_requests:
            self._forget()
            return
        if has_work:
            self._reported_at = now
            self._pass_began_at = max(self._pass_began_at, now - stalled_s)
        if pass_s:
            self._measure(pass_s, now)

    def _forget(self) -> None:
        self._pass_s = 0.0
        self._measured_at = -math.inf
        self._reported_at = -math.inf
        self._pass_began_at = -math.inf

    def _measure(self, pass_s: float, now: float) -> None:
        weight = -math.expm1((self._measured_at - now) / _SMOOTHING_S)
        self._pass_s += weight * (pass_s - self._pass_s)
        self._measured_at = now

    @property
    def pass_s(self) -> float:
        """The duration of a pass in seconds; 0 if unknown."""
        return self._pass_s

    def stalled_s(self, now: float) -> float:
        """Returns the seconds for which the group has made no pass.

        Returns 0 while it makes passes, and if nothing recent is known.
        """
        if now - self._reported_at > _TTL_S:
            return 0.0
        elapsed_s = self._reported_at - self._pass_began_at
        limit_s = max(_MIN_STALL_S, _STALL_PASSES * self._pass_s)
        return elapsed_s if elapsed_s > limit_s else 0.0


class GroupPaces:
    """The pace of all groups.

    Attributes:
        by_group: the pace of each group, by its name.
    """

    def __init__(self) -> None:
        self.by_group: dict[str, GroupPace] = {}

    def get(self, group: str) -> GroupPace:
        """Returns the pace of a group."""
        pace = self.by_group.get(group)
        if pace is None:
            pace = GroupPace()
            if group:
                self.by_group[group] = pace
        return pace

    def stretch_by_group(
            self, engine: routing_config.EngineProfile,
            running_by_group: Mapping[str,
                                      Sequence[float]]) -> dict[str, float]:
        """Returns how much longer than predicted the passes of each group take.

        Groups whose passes have not been measured are missing.

        Args:
            engine: the profile of the engine.
            running_by_group: requests that the ranks of each group run.
        """
        return {
            group:
                self.get(group).pass_s /
                pass_model.predict_pass_s(engine, statistics.fmean(running))
            for group, running in running_by_group.items()
            if self.get(group).pass_s
        }
