"""Follows the slow ranks of a group, and names them to the operator."""

from collections.abc import Sequence

from pollenthread.core import log_events, map_switch
from pollenthread.core.expert_maps import rank_speed
from pollenthread.ports import clock, event_log

__all__ = ['SlowRankWatch']

_PERCENT = 100
# A slow rank that has this many times the mean load still holds the group back.
_UNRELIEVED_LOAD = 1.5


class SlowRankWatch:
    """The slow ranks of one group, as known to its coordinator.

    Attributes:
        group: the name of the group.
    """

    def __init__(self, *, group: str, time: clock.Clock,
                 log: event_log.EventLog) -> None:
        """Initializes a watch that knows no slow rank.

        Args:
            group: the name of the group.
            time: the clock.
            log: the structured log.
        """
        self.group = group
        self._clock = time
        self._log = log
        self._speeds = rank_speed.RankSpeeds()
        self._unrelieved_ranks: set[int] = set()

    @property
    def slow_ranks(self) -> list[rank_speed.RankSlowdown]:
        """The slow ranks, the slowest first."""
        return self._speeds.slow_ranks

    def update(self, states: map_switch.RankStates,
               expert_share: float) -> list[float]:
        """Takes the speeds that the ranks report.

        Args:
            states: the state of each rank.
            expert_share: the part of the computation that a map can move.

        Returns:
            The slowdown to plan with, by rank.
        """
        slowdown_by_rank = {
            rank: state.pace_percent / _PERCENT
            for rank, state in states.items()
        }
        now = self._clock.monotonic()
        became_slow, recovered = self._speeds.update(slowdown_by_rank, now)
        for slow in became_slow:
            own_part = (1 - expert_share) * slow.slowdown
            self._log.write(log_events.LogEvent.RANK_SLOW,
                            group=self.group,
                            rank=slow.rank,
                            of=states[slow.rank].host,
                            slowdown=round(slow.slowdown, 2),
                            own_part=round(own_part, 3))
        for slow in recovered:
            self._unrelieved_ranks.discard(slow.rank)
            self._log.write(log_events.LogEvent.RANK_RECOVERED,
                            group=self.group,
                            rank=slow.rank,
                            slow_s=round(now - slow.since, 2))
        return self._speeds.slowdowns(len(states))

    def check_relief(self, loads: Sequence[float]) -> None:
        """Names slow ranks that the best map does not relieve, once each.

        Args:
            loads: the load of each rank with that map, relative to the mean.
        """
        for slow in self.slow_ranks:
            load = loads[slow.rank]
            if load < _UNRELIEVED_LOAD or slow.rank in self._unrelieved_ranks:
                continue
            self._unrelieved_ranks.add(slow.rank)
            self._log.write(log_events.LogEvent.RANK_UNRELIEVED,
                            group=self.group,
                            rank=slow.rank,
                            slowdown=round(slow.slowdown, 2),
                            load=round(load, 2))
