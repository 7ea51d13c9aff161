"""What an agent knows of its group: all ranks' states and counts."""

from collections.abc import Callable

from pollenthread.core import peer_messages
from pollenthread.ports import clock, peers

__all__ = ['GroupView']

_FRESH_S = 0.6
_HOLDER_SILENT_S = 0.8


class GroupView:
    """Collects what agents tell about the ranks of one group."""

    def __init__(self, *, network: peers.PeerNetwork,
                 time: clock.Clock) -> None:
        self._clock = time
        self.own_state: peer_messages.RankState | None = None
        self.duty_version = 0
        self._state_by_rank: dict[int, peer_messages.RankState] = {}
        self._seen_at_by_rank: dict[int, float] = {}
        self._group_by_host: dict[str, str] = {}
        self._count_takers: list[Callable[[peer_messages.ExpertCounts],
                                          None]] = []
        network.on_datagram(peer_messages.RankState, self.take)
        network.on_datagram(peer_messages.ExpertCounts, self.take_counts)

    @property
    def group(self) -> str:
        """The name of this agent's group; empty before it is known."""
        return self.own_state.group if self.own_state else ''

    def take_own(self, state: peer_messages.RankState) -> None:
        """Takes the state of the server beside this agent."""
        if self.own_state is not None and self.own_state.group != state.group:
            self._state_by_rank.clear()
        self.own_state = state
        self.take(state)

    def take(self, state: peer_messages.RankState) -> None:
        """Takes the state of any rank, and keeps those of this group."""
        self._group_by_host[state.host] = state.group
        if state.group != self.group:
            return
        known = self._state_by_rank.get(state.rank)
        if known is not None and _is_older(state, known):
            return
        self._state_by_rank[state.rank] = state
        self._seen_at_by_rank[state.rank] = self._clock.monotonic()

    def on_counts(self, take: Callable[[peer_messages.ExpertCounts],
                                       None]) -> None:
        """Hands the counts of this group's ranks to a function."""
        self._count_takers.append(take)

    def take_counts(self, counts: peer_messages.ExpertCounts) -> None:
        """Takes counts of a rank of this group."""
        if counts.group == self.group:
            for take in self._count_takers:
                take(counts)

    def may_be_in_group(self, host: str) -> bool:
        """Whether an agent's rank may be in this group."""
        return self._group_by_host.get(host, self.group) == self.group

    def states(self) -> dict[int, peer_messages.RankState]:
        """The newest state of each rank that was heard from."""
        return dict(self._state_by_rank)

    def is_fresh(self, rank: int) -> bool:
        """Whether a rank was heard from lately."""
        seen_at = self._seen_at_by_rank.get(rank)
        return (seen_at is not None and
                self._clock.monotonic() - seen_at < _FRESH_S)

    def is_whole(self) -> bool:
        """Whether all ranks are heard from, open and in one epoch."""
        if self.own_state is None:
            return False
        return (all(map(self.is_fresh, range(self.own_state.size))) and
                len({s.epoch for s in self._state_by_rank.values()}) == 1 and
                all(s.is_open for s in self._state_by_rank.values()))

    def holder(self) -> str | None:
        """The host whose agent holds the group's duty, if one is heard."""
        now = self._clock.monotonic()
        holders = [
            state for rank, state in self._state_by_rank.items()
            if state.duty_version and now -
            self._seen_at_by_rank[rank] < _HOLDER_SILENT_S
        ]
        if not holders:
            return None
        return max(holders, key=lambda state: state.duty_version).host


def _is_older(state: peer_messages.RankState,
              known: peer_messages.RankState) -> bool:
    """Whether a datagram was overtaken by a newer one."""
    return (state.born_ms, state.epoch, state.step) < (known.born_ms,
                                                       known.epoch, known.step)
