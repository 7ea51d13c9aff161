"""State transitions of the coordinator of a map switch; see `switch`."""

import dataclasses
import enum
from typing import TypeVar

from pollenthread.core import switch

__all__ = [
    'Coordinator', 'CoordinatorPhase', 'CoordinatorResult', 'OutgoingMessage',
    'abort_undecided', 'on_armed', 'on_join', 'on_noted', 'on_prepared',
    'on_report', 'start_coordinator', 'start_switch', 'unanswered_messages'
]

_T = TypeVar('_T')


class CoordinatorPhase(enum.StrEnum):
    """The phase of the coordinator."""

    COLLECTING = 'collecting'
    IDLE = 'idle'
    PREPARING = 'preparing'
    ARMING = 'arming'
    DECIDED = 'decided'


@dataclasses.dataclass(frozen=True, slots=True)
class Coordinator:
    """The state of the coordinator, which holds the lease of a group.

    Attributes:
        fence: the fencing token of the coordinator.
        group_size: the number of ranks in the group.
        map_state: the map that the group uses; taken from the lease row until
            all ranks have reported.
        phase: the phase of the coordinator.
        switch_count: the number of switches started by this coordinator.
        current_change: the switch under way, or None.
        is_commit: whether the decision is to commit; valid once decided.
        incarnations: the last known incarnation of each rank; 0 if unknown.
        rank_reports: the report of each rank while collecting, or None.
        acknowledged_ranks: the indexes of the ranks that have accepted the
            current request.
        max_step: the greatest step that a rank has reported.
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
    """A message addressed to one rank."""

    rank_index: int
    message: switch.CoordinatorMessage


@dataclasses.dataclass(frozen=True, slots=True)
class CoordinatorResult:
    """The coordinator after an event, and the messages to send."""

    coordinator: Coordinator
    messages: tuple[OutgoingMessage, ...] = ()


def _broadcast(
        coordinator: Coordinator,
        message: switch.CoordinatorMessage) -> tuple[OutgoingMessage, ...]:
    return tuple(
        OutgoingMessage(i, message) for i in range(coordinator.group_size))


def start_coordinator(*, fence: int, group_size: int,
                      initial_version: int) -> CoordinatorResult:
    """Starts a coordinator, which raises the fencing token at every rank.

    Args:
        fence: the fencing token just written to the lease row of the group.
        group_size: the number of ranks in the group.
        initial_version: the map version in the lease row, used if no rank
            holds a map.
    """
    coordinator = Coordinator(fence=fence,
                              group_size=group_size,
                              map_state=switch.Map(base=initial_version),
                              incarnations=(0,) * group_size,
                              rank_reports=(None,) * group_size)
    return CoordinatorResult(coordinator,
                             _broadcast(coordinator, switch.Query(fence)))


def on_report(coordinator: Coordinator,
              report: switch.Report) -> CoordinatorResult:
    """Records a report; resolves the pending switch once all are received."""
    rank = report.rank
    if (report.fence != coordinator.fence or
            coordinator.phase is not CoordinatorPhase.COLLECTING):
        return CoordinatorResult(coordinator)
    if rank.incarnation < coordinator.incarnations[rank.index]:
        return CoordinatorResult(coordinator)
    coordinator = dataclasses.replace(
        _record_incarnation(coordinator, rank.index, rank.incarnation),
        rank_reports=_replace_item(coordinator.rank_reports, rank.index, rank),
        max_step=max(coordinator.max_step, rank.step))
    ranks = [item for item in coordinator.rank_reports if item is not None]
    if len(ranks) < coordinator.group_size:
        return CoordinatorResult(coordinator)
    return _resolve_pending(coordinator, ranks)


def _resolve_pending(coordinator: Coordinator,
                     ranks: list[switch.Rank]) -> CoordinatorResult:
    """Commits the pending switch if some rank has, else aborts it."""
    map_state = coordinator.map_state
    known = [rank.held for rank in ranks if rank.held is not None]
    map_state = max(known,
                    key=switch.latest_switch_id,
                    default=coordinator.map_state)
    closed = max((item.closed for item in known), default=switch.NO_SWITCH)
    map_state = dataclasses.replace(map_state, closed=closed)
    pending = [rank.pending for rank in ranks if rank.pending is not None]
    pending_change = max(pending, key=lambda change: change.id, default=None)
    coordinator = dataclasses.replace(coordinator,
                                      map_state=map_state,
                                      phase=CoordinatorPhase.IDLE)
    messages = [
        OutgoingMessage(
            rank.index,
            switch.Name(coordinator.fence, rank.incarnation, map_state))
        for rank in ranks
        if rank.held is None
    ]
    if pending_change is None:
        return CoordinatorResult(coordinator, tuple(messages))
    commit = switch.latest_switch_id(map_state) == pending_change.id
    decided = _decide(
        dataclasses.replace(coordinator, current_change=pending_change), commit)
    return CoordinatorResult(decided.coordinator,
                             (*messages, *decided.messages))


def start_switch(coordinator: Coordinator, target: int) -> CoordinatorResult:
    """Starts a switch to the map version `target` if none is under way."""
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
        coordinator, _broadcast(coordinator, switch.Prepare(change.id, target)))


def on_prepared(coordinator: Coordinator, reply: switch.Prepared, *,
                margin_steps: int) -> CoordinatorResult:
    """Records that a rank is prepared; sends `Arm` once all ranks are.

    Args:
        coordinator: the coordinator.
        reply: the reply of the rank.
        margin_steps: the number of steps between the greatest reported step
            and the step to arm.
    """
    if not _is_current(coordinator, reply, CoordinatorPhase.PREPARING):
        return CoordinatorResult(coordinator)
    if not reply.ok:
        return _decide(coordinator, False)
    coordinator = _record_ack(coordinator, reply.index)
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
        coordinator, _broadcast(coordinator, switch.Arm(change.id,
                                                        change.step)))


def on_armed(coordinator: Coordinator,
             reply: switch.Armed) -> CoordinatorResult:
    """Records that a rank is armed; commits once all ranks are."""
    if not _is_current(coordinator, reply, CoordinatorPhase.ARMING):
        return CoordinatorResult(coordinator)
    if not reply.ok:
        return _decide(coordinator, False)
    coordinator = _record_ack(coordinator, reply.index)
    if len(coordinator.acknowledged_ranks) < coordinator.group_size:
        return CoordinatorResult(coordinator)
    return _decide(coordinator, True)


def abort_undecided(coordinator: Coordinator) -> CoordinatorResult:
    """Aborts a switch that has stalled before the decision."""
    if coordinator.phase not in (CoordinatorPhase.PREPARING,
                                 CoordinatorPhase.ARMING):
        return CoordinatorResult(coordinator)
    return _decide(coordinator, False)


def on_noted(coordinator: Coordinator,
             reply: switch.Noted) -> CoordinatorResult:
    """Records an acknowledged decision; ends the switch once all have."""
    if not _is_current(coordinator, reply, CoordinatorPhase.DECIDED):
        return CoordinatorResult(coordinator)
    coordinator = _record_ack(coordinator, reply.index)
    if len(coordinator.acknowledged_ranks) == coordinator.group_size:
        coordinator = dataclasses.replace(coordinator,
                                          phase=CoordinatorPhase.IDLE,
                                          current_change=None)
    return CoordinatorResult(coordinator)


def on_join(coordinator: Coordinator,
            request: switch.Join) -> CoordinatorResult:
    """Sends the map to a restarted rank and aborts an undecided switch.

    The previous incarnation of the rank may have been armed; the new one is
    not, so the switch cannot be committed.
    """
    known = coordinator.incarnations[request.index]
    if (coordinator.phase is CoordinatorPhase.COLLECTING or
            request.incarnation < known):
        return CoordinatorResult(coordinator)
    coordinator = _record_incarnation(coordinator, request.index,
                                      request.incarnation)
    messages: tuple[OutgoingMessage, ...] = ()
    if coordinator.phase in (CoordinatorPhase.PREPARING,
                             CoordinatorPhase.ARMING):
        decided = _decide(coordinator, False)
        coordinator, messages = decided.coordinator, decided.messages
    name = switch.Name(coordinator.fence, request.incarnation,
                       coordinator.map_state)
    return CoordinatorResult(coordinator,
                             (*messages, OutgoingMessage(request.index, name)))


def unanswered_messages(
        coordinator: Coordinator) -> tuple[OutgoingMessage, ...]:
    """Returns the messages without a reply, for retransmission."""
    message = _current_request(coordinator)
    if message is None:
        return ()
    if coordinator.phase is CoordinatorPhase.COLLECTING:
        answered = frozenset(
            i for i, rank in enumerate(coordinator.rank_reports)
            if rank is not None)
    else:
        answered = coordinator.acknowledged_ranks
    return tuple(
        OutgoingMessage(i, message)
        for i in range(coordinator.group_size)
        if i not in answered)


def _current_request(
        coordinator: Coordinator) -> switch.CoordinatorMessage | None:
    change = coordinator.current_change
    if coordinator.phase is CoordinatorPhase.COLLECTING:
        return switch.Query(coordinator.fence)
    if change is None:
        return None
    if coordinator.phase is CoordinatorPhase.PREPARING:
        return switch.Prepare(change.id, change.target)
    if coordinator.phase is CoordinatorPhase.ARMING:
        return switch.Arm(change.id, change.step)
    if coordinator.phase is CoordinatorPhase.DECIDED:
        return switch.Decide(coordinator.fence, change.id,
                             coordinator.is_commit)
    return None


def _decide(coordinator: Coordinator, commit: bool) -> CoordinatorResult:
    change = coordinator.current_change
    assert change is not None
    map_state = coordinator.map_state
    if commit and switch.latest_switch_id(map_state) != change.id:
        map_state = switch.map_after_commit(map_state, change)
    map_state = dataclasses.replace(map_state,
                                    closed=max(map_state.closed, change.id))
    coordinator = dataclasses.replace(coordinator,
                                      phase=CoordinatorPhase.DECIDED,
                                      map_state=map_state,
                                      is_commit=commit,
                                      acknowledged_ranks=frozenset())
    return CoordinatorResult(
        coordinator,
        _broadcast(coordinator,
                   switch.Decide(coordinator.fence, change.id, commit)))


def _is_current(coordinator: Coordinator,
                reply: switch.Prepared | switch.Armed | switch.Noted,
                phase: CoordinatorPhase) -> bool:
    return (coordinator.phase is phase and
            coordinator.current_change is not None and
            reply.id == coordinator.current_change.id and
            reply.incarnation == coordinator.incarnations[reply.index])


def _record_ack(coordinator: Coordinator, index: int) -> Coordinator:
    return dataclasses.replace(
        coordinator,
        acknowledged_ranks=coordinator.acknowledged_ranks | {index})


def _record_incarnation(coordinator: Coordinator, index: int,
                        incarnation: int) -> Coordinator:
    return dataclasses.replace(coordinator,
                               incarnations=_replace_item(
                                   coordinator.incarnations, index,
                                   incarnation))


def _replace_item(items: tuple[_T, ...], index: int,
                  item: _T) -> tuple[_T, ...]:
    return (*items[:index], item, *items[index + 1:])
