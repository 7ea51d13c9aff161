"""What an agent knows of the groups of ranks: states, counts and duties."""

from collections.abc import Callable

from pollenthread.core import peer_messages
from pollenthread.ports import clock, peers

__all__ = ['HOLDER_SILENT_S', 'GroupBook', 'GroupView']

_FRESH_S = 0.6
HOLDER_SILENT_S = 0.8

ChoicesTaker = Callable[[peer_messages.ExpertChoices], None]


class GroupView:
    """One group: all ranks' states, and who holds its duty."""

    def __init__(self, *, name: str, time: clock.Clock) -> None:
        self.name = name
        self._clock = time
        self._state_by_rank: dict[int, peer_messages.RankState] = {}
        self._seen_at_by_rank: dict[int, float] = {}
        self._holder: peer_messages.DutyBeat | None = None
        self._holder_seen_at = time.monotonic()
        self._choice_takers: list[ChoicesTaker] = []

    # Ranks.

    def take(self, state: peer_messages.RankState) -> None:
        """Takes the state of a rank."""
        known = self._state_by_rank.get(state.rank)
        if known is not None and _is_older(state, known):
            return
        self._state_by_rank[state.rank] = state
        self._seen_at_by_rank[state.rank] = self._clock.monotonic()

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
        states = self._state_by_rank.values()
        if not states or len(states) < next(iter(states)).size:
            return False
        return (all(map(self.is_fresh, self._state_by_rank)) and
                len({state.epoch for state in states}) == 1 and
                all(state.is_open for state in states))

    def missing(self) -> list[int]:
        """Ranks that are not heard or not open."""
        size = max((s.size for s in self._state_by_rank.values()), default=0)
        return [
            rank for rank in range(size)
            if not self.is_fresh(rank) or not self._state_by_rank[rank].is_open
        ]

    # Choices of experts.

    def on_choices(self, take: ChoicesTaker) -> None:
        """Hands the choices that the group's ranks tell to a function."""
        self._choice_takers.append(take)

    def take_choices(self, choices: peer_messages.ExpertChoices) -> None:
        """Takes choices that a rank tells."""
        for take in self._choice_takers:
            take(choices)

    # The duty.

    def take_duty(self, beat: peer_messages.DutyBeat) -> None:
        """Takes a sign of life of a holder; a newer term counts more."""
        if self._holder is None or beat.term >= self._holder.term:
            self._holder = beat
            self._holder_seen_at = self._clock.monotonic()

    @property
    def newest_term(self) -> int:
        """The highest fencing token that was heard of."""
        return self._holder.term if self._holder else 0

    def holder_silent_s(self) -> float:
        """Seconds since a holder was last heard."""
        return self._clock.monotonic() - self._holder_seen_at

    def holder(self) -> str | None:
        """The host whose agent holds the duty, if it is heard."""
        if self._holder is None or self.holder_silent_s() > HOLDER_SILENT_S:
            return None
        return self._holder.host


class GroupBook:
    """All groups that this agent hears of."""

    def __init__(self, *, network: peers.PeerNetwork,
                 time: clock.Clock) -> None:
        self._clock = time
        self.own_state: peer_messages.RankState | None = None
        self._view_by_group: dict[str, GroupView] = {}
        network.set_datagram_handler(peer_messages.RankState, self.take)
        network.set_datagram_handler(peer_messages.ExpertChoices,
                                     self.take_choices)
        network.set_datagram_handler(peer_messages.DutyBeat, self.take_duty)

    @property
    def own_group(self) -> str:
        """The name of this agent's group; empty before it is known."""
        return self.own_state.group if self.own_state else ''

    @property
    def groups(self) -> tuple[str, ...]:
        """Names of all groups."""
        return tuple(self._view_by_group)

    def view(self, group: str) -> GroupView:
        """The view of a group."""
        found = self._view_by_group.get(group)
        if found is None:
            found = GroupView(name=group, time=self._clock)
            self._view_by_group[group] = found
        return found

    def take_own(self, state: peer_messages.RankState) -> None:
        """Takes the state of the server beside this agent."""
        self.own_state = state
        self.take(state)

    def take(self, state: peer_messages.RankState) -> None:
        """Takes the state of any rank."""
        if state.group:
            self.view(state.group).take(state)

    def take_choices(self, choices: peer_messages.ExpertChoices) -> None:
        """Takes choices that any rank tells."""
        self.view(choices.group).take_choices(choices)

    def take_duty(self, beat: peer_messages.DutyBeat) -> None:
        """Takes a sign of life of any holder."""
        self.view(beat.group).take_duty(beat)


def _is_older(state: peer_messages.RankState,
              known: peer_messages.RankState) -> bool:
    """Whether a datagram was overtaken by a newer one."""
    return (state.born_ms, state.epoch, state.step) < (known.born_ms,
                                                       known.epoch, known.step)
