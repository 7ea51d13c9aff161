"""What a rank does in a switch of expert maps; see `switch`."""

import dataclasses

from pollenthread.core import switch

__all__ = [
    'RankResult', 'enter_next_step', 'answer_decision_request',
    'decision_request', 'join_request', 'may_enter_next_step', 'on_arm',
    'on_decide', 'on_loaded', 'on_name', 'on_prepare', 'on_query',
    'restarted_rank'
]


@dataclasses.dataclass(frozen=True, slots=True)
class RankResult:
    """A rank after a message, and its answer if it has one."""

    rank: switch.Rank
    reply: switch.RankMessage | None = None


def restarted_rank(rank: switch.Rank, *, fence: int, step: int) -> switch.Rank:
    """The rank after it has lost its memory.

    Args:
        rank: what it was.
        fence: the fencing number that the group's row holds, read after the
            start, so that a decider replaced meanwhile is refused.
        step: the last step that the whole group has completed.
    """
    return switch.Rank(index=rank.index,
                       incarnation=rank.incarnation + 1,
                       fence=fence,
                       step=step)


def may_enter_next_step(rank: switch.Rank) -> bool:
    """Whether the rank may enter its next step."""
    if rank.held is None:
        return False
    if rank.pending is None or rank.stage is not switch.Stage.ARMED:
        return True
    return rank.step + 1 < rank.pending.step


def enter_next_step(rank: switch.Rank) -> switch.Rank:
    """Enters the next step; only if `may_enter`."""
    return dataclasses.replace(rank, step=rank.step + 1)


def on_query(rank: switch.Rank, order: switch.Query) -> RankResult:
    """Raises the fence and reports."""
    if order.fence < rank.fence:
        return RankResult(rank)
    rank = dataclasses.replace(rank, fence=order.fence)
    return RankResult(rank, switch.Report(order.fence, rank))


def on_prepare(rank: switch.Rank, order: switch.Prepare) -> RankResult:
    """Begins to load; a repeat is answered from what is there."""
    held = rank.held
    if order.id.fence < rank.fence or held is None:
        return RankResult(rank)
    rank = dataclasses.replace(rank, fence=order.id.fence)
    if rank.pending is not None and rank.pending.id == order.id:
        if rank.stage is switch.Stage.LOADING:
            return RankResult(rank)
        return RankResult(rank, _prepared(rank, order.id, ok=True))
    if order.id <= held.closed or not _is_free(rank, held):
        return RankResult(rank, _prepared(rank, order.id, ok=False))
    return RankResult(
        dataclasses.replace(rank,
                            pending=switch.Change(order.id, order.target),
                            stage=switch.Stage.LOADING))


def _is_free(rank: switch.Rank, held: switch.Map) -> bool:
    """Whether no earlier switch is undecided or yet to come into force."""
    if rank.pending is not None and rank.stage is switch.Stage.ARMED:
        return False
    latest = held.latest
    return latest is None or rank.step >= latest.step


def on_loaded(rank: switch.Rank, switch_id: switch.SwitchId, *,
              ok: bool) -> RankResult:
    """The load of a pending switch's weights has ended."""
    if (rank.pending is None or rank.pending.id != switch_id or
            rank.stage is not switch.Stage.LOADING):
        return RankResult(rank)
    if ok:
        rank = dataclasses.replace(rank, stage=switch.Stage.PREPARED)
    else:
        rank = dataclasses.replace(rank, pending=None)
    return RankResult(rank, _prepared(rank, switch_id, ok=ok))


def on_arm(rank: switch.Rank, order: switch.Arm) -> RankResult:
    """Promises to wait at the step, unless it was entered already."""
    if order.id.fence < rank.fence or rank.held is None:
        return RankResult(rank)
    pending = rank.pending
    if pending is None or pending.id != order.id:
        return RankResult(rank, _armed(rank, order.id, ok=False))
    if rank.stage is switch.Stage.ARMED:
        return RankResult(rank,
                          _armed(rank, order.id, ok=pending.step == order.step))
    if rank.stage is switch.Stage.LOADING or order.step <= rank.step:
        return RankResult(rank, _armed(rank, order.id, ok=False))
    rank = dataclasses.replace(rank,
                               pending=dataclasses.replace(pending,
                                                           step=order.step),
                               stage=switch.Stage.ARMED)
    return RankResult(rank, _armed(rank, order.id, ok=True))


def on_decide(rank: switch.Rank, order: switch.Decide) -> RankResult:
    """Takes a decision, unless a later decider has been heard since."""
    held = rank.held
    if order.fence < rank.fence or held is None:
        return RankResult(rank)
    rank = dataclasses.replace(rank, fence=order.fence)
    noted = switch.Noted(order.id, rank.index, rank.incarnation)
    if order.id <= held.closed:
        return RankResult(rank, noted)
    pending = rank.pending
    is_mine = pending is not None and pending.id == order.id
    if pending is not None and not is_mine and rank.stage is switch.Stage.ARMED:
        return RankResult(rank)
    if not order.commit:
        held = dataclasses.replace(held, closed=order.id)
        return RankResult(
            dataclasses.replace(rank,
                                held=held,
                                pending=None if is_mine else pending,
                                decided_fence=order.fence), noted)
    if pending is None or not is_mine or rank.stage is not switch.Stage.ARMED:
        return RankResult(rank)
    return RankResult(
        dataclasses.replace(rank,
                            held=switch.map_after_commit(held, pending),
                            pending=None,
                            decided_fence=order.fence), noted)


def join_request(rank: switch.Rank) -> switch.Join | None:
    """What a rank without a map asks the decider."""
    if rank.held is not None:
        return None
    return switch.Join(rank.index, rank.incarnation)


def on_name(rank: switch.Rank, order: switch.Name) -> RankResult:
    """Takes the map that the group names."""
    if (order.fence < rank.fence or rank.held is not None or
            order.incarnation != rank.incarnation):
        return RankResult(rank)
    return RankResult(
        dataclasses.replace(rank,
                            fence=order.fence,
                            held=order.held,
                            pending=None,
                            decided_fence=order.fence))


def decision_request(rank: switch.Rank) -> switch.Ask | None:
    """What a rank that waits at its armed step asks the others."""
    if rank.pending is None or may_enter_next_step(rank):
        return None
    return switch.Ask(rank.pending.id)


def answer_decision_request(rank: switch.Rank,
                            question: switch.Ask) -> switch.Decide | None:
    """Tells a decision with the fencing number that brought it.

    A greater number would be a lie: the later decider may not have heard of
    this decision.
    """
    if rank.held is None or rank.held.closed != question.id:
        return None
    latest = rank.held.latest
    commit = latest is not None and latest.id == question.id
    return switch.Decide(rank.decided_fence, question.id, commit)


def _prepared(rank: switch.Rank, switch_id: switch.SwitchId, *,
              ok: bool) -> switch.Prepared:
    return switch.Prepared(switch_id, rank.index, rank.incarnation, rank.step,
                           ok)


def _armed(rank: switch.Rank, switch_id: switch.SwitchId, *,
           ok: bool) -> switch.Armed:
    return switch.Armed(switch_id, rank.index, rank.incarnation, ok)
