"""What the decider of a switch of expert maps does; see `switch`."""

import dataclasses
import enum
from typing import TypeVar

from pollenthread.core import switch

__all__ = [
    'Decider', 'DeciderResult', 'Phase', 'Send', 'give_up', 'on_armed',
    'on_join', 'on_noted', 'on_prepared', 'on_report', 'resend', 'start',
    'take_over'
]

_T = TypeVar('_T')


class Phase(enum.StrEnum):
    """What the decider is about."""

    COLLECTING = 'collecting'
    IDLE = 'idle'
    PREPARING = 'preparing'
    ARMING = 'arming'
    DECIDED = 'decided'


@dataclasses.dataclass(frozen=True, slots=True)
class Decider:
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
    size: int
    held: switch.Map
    phase: Phase = Phase.COLLECTING
    number: int = 0
    change: switch.Change | None = None
    commit: bool = False
    incarnations: tuple[int, ...] = ()
    reports: tuple[switch.Rank | None, ...] = ()
    acks: frozenset[int] = frozenset()
    step: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """One message to one rank."""

    index: int
    order: switch.Order


@dataclasses.dataclass(frozen=True, slots=True)
class DeciderResult:
    """A decider after a message, and what it sends."""

    decider: Decider
    sends: tuple[Send, ...] = ()


def _to_all(decider: Decider, order: switch.Order) -> tuple[Send, ...]:
    return tuple(Send(i, order) for i in range(decider.size))


def take_over(*, fence: int, size: int, named: int) -> DeciderResult:
    """Begins the duty: raises the fence at every rank.

    Args:
        fence: the fencing number just written to the group's row.
        size: ranks in the group.
        named: the version that the row names, for a group that starts anew.
    """
    decider = Decider(fence=fence,
                      size=size,
                      held=switch.Map(base=named),
                      incarnations=(0,) * size,
                      reports=(None,) * size)
    return DeciderResult(decider, _to_all(decider, switch.Query(fence)))


def on_report(decider: Decider, report: switch.Report) -> DeciderResult:
    """Collects; once every rank has reported, settles what was left."""
    rank = report.rank
    if report.fence != decider.fence or decider.phase is not Phase.COLLECTING:
        return DeciderResult(decider)
    if rank.incarnation < decider.incarnations[rank.index]:
        return DeciderResult(decider)
    decider = dataclasses.replace(_hear(decider, rank.index, rank.incarnation),
                                  reports=_put(decider.reports, rank.index,
                                               rank),
                                  step=max(decider.step, rank.step))
    ranks = [item for item in decider.reports if item is not None]
    if len(ranks) < decider.size:
        return DeciderResult(decider)
    return _settle(decider, ranks)


def _settle(decider: Decider, ranks: list[switch.Rank]) -> DeciderResult:
    """Commits what some rank has committed and aborts anything else."""
    held = decider.held
    known = [rank.held for rank in ranks if rank.held is not None]
    held = max(known, key=switch.latest_id, default=decider.held)
    closed = max((item.closed for item in known), default=switch.NEVER)
    held = dataclasses.replace(held, closed=closed)
    pending = [rank.pending for rank in ranks if rank.pending is not None]
    open_change = max(pending, key=lambda change: change.id, default=None)
    decider = dataclasses.replace(decider, held=held, phase=Phase.IDLE)
    sends = [
        Send(rank.index, switch.Name(decider.fence, rank.incarnation, held))
        for rank in ranks
        if rank.held is None
    ]
    if open_change is None:
        return DeciderResult(decider, tuple(sends))
    commit = switch.latest_id(held) == open_change.id
    decided = _decide(dataclasses.replace(decider, change=open_change), commit)
    return DeciderResult(decided.decider, (*sends, *decided.sends))


def start(decider: Decider, target: int) -> DeciderResult:
    """Starts a switch if none is under way."""
    if decider.phase is not Phase.IDLE:
        return DeciderResult(decider)
    number = decider.number + 1
    change = switch.Change(switch.SwitchId(decider.fence, number), target)
    decider = dataclasses.replace(decider,
                                  phase=Phase.PREPARING,
                                  number=number,
                                  change=change,
                                  acks=frozenset())
    return DeciderResult(decider,
                         _to_all(decider, switch.Prepare(change.id, target)))


def on_prepared(decider: Decider, reply: switch.Prepared, *,
                margin: int) -> DeciderResult:
    """Counts a rank as prepared; arms once all are.

    Args:
        decider: the decider.
        reply: the rank's answer.
        margin: steps between the furthest rank and the step to arm.
    """
    if not _is_current(decider, reply, Phase.PREPARING):
        return DeciderResult(decider)
    if not reply.ok:
        return _decide(decider, False)
    decider = _ack(decider, reply.index)
    decider = dataclasses.replace(decider, step=max(decider.step, reply.step))
    if len(decider.acks) < decider.size:
        return DeciderResult(decider)
    assert decider.change is not None
    change = dataclasses.replace(decider.change, step=decider.step + margin)
    decider = dataclasses.replace(decider,
                                  phase=Phase.ARMING,
                                  change=change,
                                  acks=frozenset())
    return DeciderResult(decider,
                         _to_all(decider, switch.Arm(change.id, change.step)))


def on_armed(decider: Decider, reply: switch.Armed) -> DeciderResult:
    """Counts a rank as armed; commits once all are."""
    if not _is_current(decider, reply, Phase.ARMING):
        return DeciderResult(decider)
    if not reply.ok:
        return _decide(decider, False)
    decider = _ack(decider, reply.index)
    if len(decider.acks) < decider.size:
        return DeciderResult(decider)
    return _decide(decider, True)


def give_up(decider: Decider) -> DeciderResult:
    """Aborts a switch that has stalled before its decision."""
    if decider.phase not in (Phase.PREPARING, Phase.ARMING):
        return DeciderResult(decider)
    return _decide(decider, False)


def on_noted(decider: Decider, reply: switch.Noted) -> DeciderResult:
    """Counts a rank that has the decision; ends the switch once all have."""
    if not _is_current(decider, reply, Phase.DECIDED):
        return DeciderResult(decider)
    decider = _ack(decider, reply.index)
    if len(decider.acks) == decider.size:
        decider = dataclasses.replace(decider, phase=Phase.IDLE, change=None)
    return DeciderResult(decider)


def on_join(decider: Decider, request: switch.Join) -> DeciderResult:
    """Names the map to a restarted rank; what is undecided is aborted.

    The rank that was lost may have been armed, and its successor is not.
    """
    known = decider.incarnations[request.index]
    if decider.phase is Phase.COLLECTING or request.incarnation < known:
        return DeciderResult(decider)
    decider = _hear(decider, request.index, request.incarnation)
    sends: tuple[Send, ...] = ()
    if decider.phase in (Phase.PREPARING, Phase.ARMING):
        decided = _decide(decider, False)
        decider, sends = decided.decider, decided.sends
    name = switch.Name(decider.fence, request.incarnation, decider.held)
    return DeciderResult(decider, (*sends, Send(request.index, name)))


def resend(decider: Decider) -> tuple[Send, ...]:
    """The messages that have not been answered; to be sent again."""
    order = _open_order(decider)
    if order is None:
        return ()
    if decider.phase is Phase.COLLECTING:
        done = frozenset(
            i for i, rank in enumerate(decider.reports) if rank is not None)
    else:
        done = decider.acks
    return tuple(Send(i, order) for i in range(decider.size) if i not in done)


def _open_order(decider: Decider) -> switch.Order | None:
    change = decider.change
    if decider.phase is Phase.COLLECTING:
        return switch.Query(decider.fence)
    if change is None:
        return None
    if decider.phase is Phase.PREPARING:
        return switch.Prepare(change.id, change.target)
    if decider.phase is Phase.ARMING:
        return switch.Arm(change.id, change.step)
    if decider.phase is Phase.DECIDED:
        return switch.Decide(decider.fence, change.id, decider.commit)
    return None


def _decide(decider: Decider, commit: bool) -> DeciderResult:
    change = decider.change
    assert change is not None
    held = decider.held
    if commit and switch.latest_id(held) != change.id:
        held = switch.commit(held, change)
    held = dataclasses.replace(held, closed=max(held.closed, change.id))
    decider = dataclasses.replace(decider,
                                  phase=Phase.DECIDED,
                                  held=held,
                                  commit=commit,
                                  acks=frozenset())
    return DeciderResult(
        decider,
        _to_all(decider, switch.Decide(decider.fence, change.id, commit)))


def _is_current(decider: Decider,
                reply: switch.Prepared | switch.Armed | switch.Noted,
                phase: Phase) -> bool:
    return (decider.phase is phase and decider.change is not None and
            reply.id == decider.change.id and
            reply.incarnation == decider.incarnations[reply.index])


def _ack(decider: Decider, index: int) -> Decider:
    return dataclasses.replace(decider, acks=decider.acks | {index})


def _hear(decider: Decider, index: int, incarnation: int) -> Decider:
    return dataclasses.replace(decider,
                               incarnations=_put(decider.incarnations, index,
                                                 incarnation))


def _put(items: tuple[_T, ...], index: int, item: _T) -> tuple[_T, ...]:
    return (*items[:index], item, *items[index + 1:])
