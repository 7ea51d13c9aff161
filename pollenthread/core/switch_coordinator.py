"""What the decider of a switch of expert maps does; see `switch`."""

import dataclasses
import enum
from typing import TypeVar

from pollenthread.core import switch

__all__ = [
    'Coordinator', 'CoordinatorResult', 'CoordinatorPhase', 'OutgoingMessage',
    'abort_undecided', 'on_armed', 'on_join', 'on_noted', 'on_prepared',
    'on_report', 'unanswered_messages', 'start_switch', 'start_coordinator'
]

_T = TypeVar('_T')


class CoordinatorPhase(enum.StrEnum):
    """What the decider is about."""

    COLLECTING = 'collecting'
    IDLE = 'idle'
    PREPARING = 'preparing'
    ARMING = 'arming'
    DECIDED = 'decided'


@dataclasses.dataclass(frozen=True, slots=True)
class Coordinator:
    """The holder of a group's row.

    Attributes:
        fence: its fencing number.
        size: ranks in the group.
        held: the map that the group uses; from the row until a rank that
            takes part has reported.
        phase: what it is about.
        number: counts its switches.
        change: the switch in question, or None.
        commit: the decision, once decided.
        incarnations: each rank's incarnation as last heard; 0 for unheard.
        reports: each rank's report while collecting.
        acks: the ranks that have answered the present question with yes.
        step: the greatest step that a rank has reported.
    """

    fence: int
    group_size: int
    map_state: switch.Map
    phase: CoordinatorPhase = CoordinatorPhase.COLLECTING
    switch_count: int = 0
    current_change: switch.Change | None = None
    is_commit: bool = False
    incarnations: tuple[int, ...] = ()
    rank_reports: tuple[switch.Rank | None, ...] = ()
    acknowledged_ranks: frozenset[int] = frozenset()
    max_step: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class OutgoingMessage:
    """One message to one rank."""

    rank_index: int
    message: switch.CoordinatorMessage


@dataclasses.dataclass(frozen=True, slots=True)
class CoordinatorResult:
    """A decider after a message, and what it sends."""

    coordinator: Coordinator
    messages: tuple[OutgoingMessage, ...] = ()


def _to_all(decider: Coordinator,
            order: switch.CoordinatorMessage) -> tuple[OutgoingMessage, ...]:
    return tuple(OutgoingMessage(i, order) for i in range(decider.group_size))


def start_coordinator(*, fence: int, group_size: int,
                      initial_version: int) -> CoordinatorResult:
    """Begins the duty: raises the fence at every rank.

    Args:
        fence: the fencing number just written to the group's row.
        size: ranks in the group.
        named: the version that the row names, for a group that starts anew.
    """
    decider = Coordinator(fence=fence,
                          group_size=group_size,
                          map_state=switch.Map(base=initial_version),
                          incarnations=(0,) * group_size,
                          rank_reports=(None,) * group_size)
    return CoordinatorResult(decider, _to_all(decider, switch.Query(fence)))


def on_report(coordinator: Coordinator,
              report: switch.Report) -> CoordinatorResult:
    """Collects; once every rank has reported, settles what was left."""
    rank = report.rank
    if report.fence != coordinator.fence or coordinator.phase is not CoordinatorPhase.COLLECTING:
        return CoordinatorResult(coordinator)
    if rank.incarnation < coordinator.incarnations[rank.index]:
        return CoordinatorResult(coordinator)
    coordinator = dataclasses.replace(
        _hear(coordinator, rank.index, rank.incarnation),
        rank_reports=_put(coordinator.rank_reports, rank.index, rank),
        max_step=max(coordinator.max_step, rank.step))
    ranks = [item for item in coordinator.rank_reports if item is not None]
    if len(ranks) < coordinator.group_size:
        return CoordinatorResult(coordinator)
    return _settle(coordinator, ranks)


def _settle(decider: Coordinator,
            ranks: list[switch.Rank]) -> CoordinatorResult:
    """Commits what some rank has committed and aborts anything else."""
    held = decider.map_state
    known = [rank.held for rank in ranks if rank.held is not None]
    held = max(known, key=switch.latest_switch_id, default=decider.map_state)
    closed = max((item.closed for item in known), default=switch.NO_SWITCH)
    held = dataclasses.replace(held, closed=closed)
    pending = [rank.pending for rank in ranks if rank.pending is not None]
    open_change = max(pending, key=lambda change: change.id, default=None)
    decider = dataclasses.replace(decider,
                                  map_state=held,
                                  phase=CoordinatorPhase.IDLE)
    sends = [
        OutgoingMessage(rank.index,
                        switch.Name(decider.fence, rank.incarnation, held))
        for rank in ranks
        if rank.held is None
    ]
    if open_change is None:
        return CoordinatorResult(decider, tuple(sends))
    commit = switch.latest_switch_id(held) == open_change.id
    decided = _decide(dataclasses.replace(decider, current_change=open_change),
                      commit)
    return CoordinatorResult(decided.coordinator, (*sends, *decided.messages))


def start_switch(coordinator: Coordinator, target: int) -> CoordinatorResult:
    """Starts a switch if none is under way."""
    if coordinator.phase is not CoordinatorPhase.IDLE:
        return CoordinatorResult(coordinator)
    number = coordinator.switch_count + 1
    change = switch.Change(switch.SwitchId(coordinator.fence, number), target)
    coordinator = dataclasses.replace(coordinator,
                                      phase=CoordinatorPhase.PREPARING,
                                      switch_count=number,
                                      current_change=change,
                                      acknowledged_ranks=frozenset())
    return CoordinatorResult(
        coordinator, _to_all(coordinator, switch.Prepare(change.id, target)))


def on_prepared(coordinator: Coordinator, reply: switch.Prepared, *,
                margin_steps: int) -> CoordinatorResult:
    """Counts a rank as prepared; arms once all are.

    Args:
        decider: the decider.
        reply: the rank's answer.
        margin: steps between the furthest rank and the step to arm.
    """
    if not _is_current(coordinator, reply, CoordinatorPhase.PREPARING):
        return CoordinatorResult(coordinator)
    if not reply.ok:
        return _decide(coordinator, False)
    coordinator = _ack(coordinator, reply.index)
    coordinator = dataclasses.replace(coordinator,
                                      max_step=max(coordinator.max_step,
                                                   reply.step))
    if len(coordinator.acknowledged_ranks) < coordinator.group_size:
        return CoordinatorResult(coordinator)
    assert coordinator.current_change is not None
    change = dataclasses.replace(coordinator.current_change,
                                 step=coordinator.max_step + margin_steps)
    coordinator = dataclasses.replace(coordinator,
                                      phase=CoordinatorPhase.ARMING,
                                      current_change=change,
                                      acknowledged_ranks=frozenset())
    return CoordinatorResult(
        coordinator, _to_all(coordinator, switch.Arm(change.id, change.step)))


def on_armed(coordinator: Coordinator,
             reply: switch.Armed) -> CoordinatorResult:
    """Counts a rank as armed; commits once all are."""
    if not _is_current(coordinator, reply, CoordinatorPhase.ARMING):
        return CoordinatorResult(coordinator)
    if not reply.ok:
        return _decide(coordinator, False)
    coordinator = _ack(coordinator, reply.index)
    if len(coordinator.acknowledged_ranks) < coordinator.group_size:
        return CoordinatorResult(coordinator)
    return _decide(coordinator, True)


def abort_undecided(coordinator: Coordinator) -> CoordinatorResult:
    """Aborts a switch that has stalled before its decision."""
    if coordinator.phase not in (CoordinatorPhase.PREPARING,
                                 CoordinatorPhase.ARMING):
        return CoordinatorResult(coordinator)
    return _decide(coordinator, False)


def on_noted(coordinator: Coordinator,
             reply: switch.Noted) -> CoordinatorResult:
    """Counts a rank that has the decision; ends the switch once all have."""
    if not _is_current(coordinator, reply, CoordinatorPhase.DECIDED):
        return CoordinatorResult(coordinator)
    coordinator = _ack(coordinator, reply.index)
    if len(coordinator.acknowledged_ranks) == coordinator.group_size:
        coordinator = dataclasses.replace(coordinator,
                                          phase=CoordinatorPhase.IDLE,
                                          current_change=None)
    return CoordinatorResult(coordinator)


def on_join(coordinator: Coordinator,
            request: switch.Join) -> CoordinatorResult:
    """Names the map to a restarted rank; what is undecided is aborted.

    The rank that was lost may have been armed, and its successor is not.
    """
    known = coordinator.incarnations[request.index]
    if coordinator.phase is CoordinatorPhase.COLLECTING or request.incarnation < known:
        return CoordinatorResult(coordinator)
    coordinator = _hear(coordinator, request.index, request.incarnation)
    sends: tuple[OutgoingMessage, ...] = ()
    if coordinator.phase in (CoordinatorPhase.PREPARING,
                             CoordinatorPhase.ARMING):
        decided = _decide(coordinator, False)
        coordinator, sends = decided.coordinator, decided.messages
    name = switch.Name(coordinator.fence, request.incarnation,
                       coordinator.map_state)
    return CoordinatorResult(coordinator,
                             (*sends, OutgoingMessage(request.index, name)))


def unanswered_messages(
        coordinator: Coordinator) -> tuple[OutgoingMessage, ...]:
    """The messages that have not been answered; to be sent again."""
    order = _open_order(coordinator)
    if order is None:
        return ()
    if coordinator.phase is CoordinatorPhase.COLLECTING:
        done = frozenset(i for i, rank in enumerate(coordinator.rank_reports)
                         if rank is not None)
    else:
        done = coordinator.acknowledged_ranks
    return tuple(
        OutgoingMessage(i, order)
        for i in range(coordinator.group_size)
        if i not in done)


def _open_order(decider: Coordinator) -> switch.CoordinatorMessage | None:
    change = decider.current_change
    if decider.phase is CoordinatorPhase.COLLECTING:
        return switch.Query(decider.fence)
    if change is None:
        return None
    if decider.phase is CoordinatorPhase.PREPARING:
        return switch.Prepare(change.id, change.target)
    if decider.phase is CoordinatorPhase.ARMING:
        return switch.Arm(change.id, change.step)
    if decider.phase is CoordinatorPhase.DECIDED:
        return switch.Decide(decider.fence, change.id, decider.is_commit)
    return None


def _decide(decider: Coordinator, commit: bool) -> CoordinatorResult:
    change = decider.current_change
    assert change is not None
    held = decider.map_state
    if commit and switch.latest_switch_id(held) != change.id:
        held = switch.map_after_commit(held, change)
    held = dataclasses.replace(held, closed=max(held.closed, change.id))
    decider = dataclasses.replace(decider,
                                  phase=CoordinatorPhase.DECIDED,
                                  map_state=held,
                                  is_commit=commit,
                                  acknowledged_ranks=frozenset())
    return CoordinatorResult(
        decider,
        _to_all(decider, switch.Decide(decider.fence, change.id, commit)))


def _is_current(decider: Coordinator,
                reply: switch.Prepared | switch.Armed | switch.Noted,
                phase: CoordinatorPhase) -> bool:
    return (decider.phase is phase and decider.current_change is not None and
            reply.id == decider.current_change.id and
            reply.incarnation == decider.incarnations[reply.index])


def _ack(decider: Coordinator, index: int) -> Coordinator:
    return dataclasses.replace(decider,
                               acknowledged_ranks=decider.acknowledged_ranks |
                               {index})


def _hear(decider: Coordinator, index: int, incarnation: int) -> Coordinator:
    return dataclasses.replace(decider,
                               incarnations=_put(decider.incarnations, index,
                                                 incarnation))


def _put(items: tuple[_T, ...], index: int, item: _T) -> tuple[_T, ...]:
    return (*items[:index], item, *items[index + 1:])
