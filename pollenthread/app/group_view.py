"""The state of rank groups as known to an agent.

It is updated from datagrams: rank states, expert choices and heartbeats of
coordinators.
"""

from collections.abc import Callable

from pollenthread.core import peer_messages
from pollenthread.ports import clock, peers

__all__ = ['HOLDER_TIMEOUT_S', 'GroupRegistry', 'GroupView']

# Spans two lost reports of a rank with work.
_FRESHNESS_LIMIT_S = 1.0
HOLDER_TIMEOUT_S = 0.8
# Spans two lost reports of an agent.
_AGENT_TIMEOUT_S = 0.6
_QUORUM_SHARE = 0.75
# The map in use and the one that is prepared.
_REMEMBERED_MAPS = 2
# The shortest time over which the duration of a pass is measured.
_MIN_PASS_WINDOW_S = 0.3

StateHandler = Callable[[peer_messages.RankState], None]
ChoicesHandler = Callable[[peer_messages.ExpertChoices], None]


class _PassTimer:
    """Measures the duration of passes by the steps that ranks report."""

    def __init__(self) -> None:
        self._pass_s = 0.0
        self._epoch = 0
        self._step = 0
        self._at = 0.0
        self._newest_step = 0
        self._advanced_at = 0.0

    def pass_s(self, now: float) -> float:
        """Returns the duration in seconds, at least that of the current pass.

        Returns 0 while no pass was measured.
        """
        if not self._pass_s:
            return 0.0
        return max(self._pass_s, now - self._advanced_at)

    def remaining_s(self, now: float) -> float:
        """Returns the seconds until the next pass is due; 0 if unknown."""
        return max(0.0, self._advanced_at + self._pass_s - now)

    def update(self, state: peer_messages.RankState, now: float) -> None:
        """Takes the step of a rank's state, received at time `now`."""
        if state.epoch < self._epoch:
            return
        if state.epoch > self._epoch or state.step > self._newest_step:
            self._newest_step = state.step
            self._advanced_at = now
        passes = state.step - self._step
        elapsed_s = now - self._at
        if state.epoch == self._epoch:
            if passes <= 0 or elapsed_s < _MIN_PASS_WINDOW_S:
                return
            self._pass_s = elapsed_s / passes
        self._epoch, self._step, self._at = state.epoch, state.step, now


class GroupView:
    """The last known rank states and the coordinator of one group."""

    def __init__(self, *, name: str, time: clock.Clock) -> None:
        self.name = name
        self._clock = time
        self._state_by_rank: dict[int, peer_messages.RankState] = {}
        self._received_at_by_rank: dict[int, float] = {}
        self._agent_heard_at_by_rank: dict[int, float] = {}
        self._pass_timer = _PassTimer()
        self._layouts_by_version: dict[int, peer_messages.Layouts] = {}
        self._heartbeat: peer_messages.DutyBeat | None = None
        self._heartbeat_received_at = time.monotonic()
        self._choice_handlers: list[ChoicesHandler] = []
        self._state_handlers: list[StateHandler] = []

    # Ranks.

    def subscribe_states(self, handler: StateHandler) -> None:
        """Registers a callback for states that other agents report."""
        self._state_handlers.append(handler)

    def publish_state(self, state: peer_messages.RankState) -> None:
        """Records a state that another agent reports; tells subscribers."""
        self.take(state)
        self._agent_heard_at_by_rank[state.rank] = self._clock.monotonic()
        for handler in self._state_handlers:
            handler(state)

    def take(self, state: peer_messages.RankState) -> None:
        """Records the state of a rank unless a newer one is known."""
        known = self._state_by_rank.get(state.rank)
        if known is not None and _is_older(state, known):
            return
        self._state_by_rank[state.rank] = state
        now = self._clock.monotonic()
        self._received_at_by_rank[state.rank] = now
        self._pass_timer.update(state, now)

    @property
    def pass_s(self) -> float:
        """The recent duration of a pass in seconds; 0 while unknown."""
        return self._pass_timer.pass_s(self._clock.monotonic())

    @property
    def next_pass_s(self) -> float:
        """The seconds until the next pass is due; 0 if that is not known."""
        return self._pass_timer.remaining_s(self._clock.monotonic())

    def states(self) -> dict[int, peer_messages.RankState]:
        """Returns the newest state of each rank that has reported one."""
        return dict(self._state_by_rank)

    def is_fresh(self, rank: int) -> bool:
        """Returns whether a rank has reported its state recently."""
        received_at = self._received_at_by_rank.get(rank)
        return (received_at is not None and
                self._clock.monotonic() - received_at < _FRESHNESS_LIMIT_S)

    def is_agent_silent(self, rank: int) -> bool:
        """Returns whether the agent of a rank has stopped to report.

        Its server may run on and may have been asked directly.
        """
        heard_at = self._agent_heard_at_by_rank.get(rank)
        return (heard_at is not None and
                self._clock.monotonic() - heard_at > _AGENT_TIMEOUT_S)

    def has_quorum(self) -> bool:
        """Returns whether most ranks report that the group is open."""
        fresh = [
            s for s in self._state_by_rank.values() if self.is_fresh(s.rank)
        ]
        return (bool(fresh) and len(fresh) >= _QUORUM_SHARE * fresh[0].size and
                len({state.epoch for state in fresh}) == 1 and
                all(state.is_open for state in fresh))

    def is_complete(self) -> bool:
        """Returns whether all ranks report, are open and in the same epoch."""
        states = self._state_by_rank.values()
        if not states or len(states) < next(iter(states)).size:
            return False
        return (all(map(self.is_fresh, self._state_by_rank)) and
                len({state.epoch for state in states}) == 1 and
                all(state.is_open for state in states))

    def missing_ranks(self) -> list[int]:
        """Returns the ranks that do not report or are not open."""
        size = max((s.size for s in self._state_by_rank.values()), default=0)
        return [
            rank for rank in range(size)
            if not self.is_fresh(rank) or not self._state_by_rank[rank].is_open
        ]

    # Maps.

    def remember_map(self, order: peer_messages.RankOrder) -> None:
        """Keeps the map of an order to prepare it, and the one before."""
        self._layouts_by_version[order.version] = order.layouts
        while len(self._layouts_by_version) > _REMEMBERED_MAPS:
            del self._layouts_by_version[min(self._layouts_by_version)]

    def remembered_map(self, version: int) -> peer_messages.Layouts | None:
        """Returns the experts of a map by set and rank, or None."""
        return self._layouts_by_version.get(version)

    # Choices of experts.

    def subscribe_choices(self, handler: ChoicesHandler) -> None:
        """Registers a callback for expert choices reported by the ranks."""
        self._choice_handlers.append(handler)

    def publish_choices(self, choices: peer_messages.ExpertChoices) -> None:
        """Passes reported expert choices to all subscribers."""
        for handler in self._choice_handlers:
            handler(choices)

    # The coordinator.

    def update_holder(self, heartbeat: peer_messages.DutyBeat) -> None:
        """Records a heartbeat of a coordinator; older terms are ignored."""
        if self._heartbeat is None or heartbeat.term >= self._heartbeat.term:
            self._heartbeat = heartbeat
            self._heartbeat_received_at = self._clock.monotonic()

    @property
    def newest_term(self) -> int:
        """The highest fencing token received; 0 if there is none."""
        return self._heartbeat.term if self._heartbeat else 0

    def holder_silence_s(self) -> float:
        """Returns the seconds since the last heartbeat of a coordinator."""
        return self._clock.monotonic() - self._heartbeat_received_at

    def holder(self) -> str | None:
        """Returns the coordinator's host, or None without recent heartbeat."""
        heartbeat = self.recent_heartbeat()
        return heartbeat.host if heartbeat is not None else None

    def recent_heartbeat(self) -> peer_messages.DutyBeat | None:
        """Returns the coordinator's last heartbeat, or None if it is old."""
        if self.holder_silence_s() > HOLDER_TIMEOUT_S:
            return None
        return self._heartbeat


class GroupRegistry:
    """All groups from which this agent receives messages.

    Attributes:
        own_state: the state of the rank on this host, or None.
    """

    def __init__(self, *, network: peers.PeerNetwork,
                 time: clock.Clock) -> None:
        self._clock = time
        self.own_state: peer_messages.RankState | None = None
        self._view_by_group: dict[str, GroupView] = {}
        network.set_datagram_handler(peer_messages.RankState,
                                     self._publish_state)
        network.set_datagram_handler(peer_messages.ExpertChoices,
                                     self.publish_choices)
        network.set_datagram_handler(peer_messages.DutyBeat, self.update_holder)

    @property
    def own_group(self) -> str:
        """The name of this agent's group; empty until it is known."""
        return self.own_state.group if self.own_state else ''

    @property
    def groups(self) -> tuple[str, ...]:
        """The names of all known groups."""
        return tuple(self._view_by_group)

    def view(self, group: str) -> GroupView:
        """Returns the view of a group; creates it if there is none."""
        found = self._view_by_group.get(group)
        if found is None:
            found = GroupView(name=group, time=self._clock)
            self._view_by_group[group] = found
        return found

    def update_own_state(self, state: peer_messages.RankState) -> None:
        """Records the state of the rank on this host."""
        self.own_state = state
        if state.group:
            self.view(state.group).take(state)

    def remember_map(self, order: peer_messages.RankOrder) -> None:
        """Keeps the map that the rank on this host is ordered to prepare."""
        if self.own_group:
            self.view(self.own_group).remember_map(order)

    def _publish_state(self, state: peer_messages.RankState) -> None:
        if state.group:
            self.view(state.group).publish_state(state)

    def publish_choices(self, choices: peer_messages.ExpertChoices) -> None:
        """Passes reported expert choices to the subscribers of their group."""
        self.view(choices.group).publish_choices(choices)

    def update_holder(self, heartbeat: peer_messages.DutyBeat) -> None:
        """Records a heartbeat of a group's coordinator."""
        self.view(heartbeat.group).update_holder(heartbeat)


def _is_older(state: peer_messages.RankState,
              known: peer_messages.RankState) -> bool:
    """Returns whether a state is older than the known one.

    Datagrams may arrive out of order.
    """
    return (state.born_ms, state.epoch, state.step) < (known.born_ms,
                                                       known.epoch, known.step)
