"""State transitions of a rank in a map switch; see `switch`."""

import dataclasses

from pollenthread.core import switch

__all__ = [
    'RankResult', 'answer_decision_request', 'decision_request',
    'enter_next_step', 'join_request', 'may_enter_next_step', 'on_arm',
    'on_decide', 'on_loaded', 'on_name', 'on_prepare', 'on_query',
    'restarted_rank'
]


@dataclasses.dataclass(frozen=True, slots=True)
class RankResult:
    """A rank after an event, and its reply or None."""

    rank: switch.Rank
    reply: switch.RankMessage | None = None


def restarted_rank(rank: switch.Rank, *, fence: int, step: int) -> switch.Rank:
    """Returns the state of a rank after a restart.

    Args:
        rank: the state before the restart.
        fence: the fencing token in the lease row of the group. It is read
            after the start, so that messages of a replaced coordinator are
            ignored.
        step: the last step that all ranks of the group have completed.
    """
    return switch.Rank(index=rank.index,
                       incarnation=rank.incarnation + 1,
                       fence=fence,
                       step=step)


def may_enter_next_step(rank: switch.Rank) -> bool:
    """Returns whether the rank may enter its next step."""
    if rank.held is None:
        return False
    if rank.pending is None or rank.stage is not switch.Stage.ARMED:
        return True
    return rank.step + 1 < rank.pending.step


def enter_next_step(rank: switch.Rank) -> switch.Rank:
    """Enters the next step; requires `may_enter_next_step`."""
    return dataclasses.replace(rank, step=rank.step + 1)


def on_query(rank: switch.Rank, order: switch.Query) -> RankResult:
    """Raises the fencing token and reports the state of the rank."""
    if order.fence < rank.fence:
        return RankResult(rank)
    rank = dataclasses.replace(rank, fence=order.fence)
    return RankResult(rank, switch.Report(order.fence, rank))


def on_prepare(rank: switch.Rank, order: switch.Prepare) -> RankResult:
    """Starts to load a map; replies to a repeated request from the state."""
    map_state = rank.held
    if order.id.fence < rank.fence or map_state is None:
        return RankResult(rank)
    rank = dataclasses.replace(rank, fence=order.id.fence)
    if rank.pending is not None and rank.pending.id == order.id:
        if rank.stage is switch.Stage.LOADING:
            return RankResult(rank)
        return RankResult(rank, _prepared(rank, order.id, ok=True))
    if order.id <= map_state.closed or not _is_free(rank, map_state):
        return RankResult(rank, _prepared(rank, order.id, ok=False))
    return RankResult(
        dataclasses.replace(rank,
                            pending=switch.Change(order.id, order.target),
                            stage=switch.Stage.LOADING))


def _is_free(rank: switch.Rank, map_state: switch.Map) -> bool:
    """Returns whether no earlier switch is armed or yet to take effect."""
    if rank.pending is not None and rank.stage is switch.Stage.ARMED:
        return False
    latest = map_state.latest
    return latest is None or rank.step >= latest.step


def on_loaded(rank: switch.Rank, switch_id: switch.SwitchId, *,
              ok: bool) -> RankResult:
    """Records that loading the weights of the pending switch has ended."""
    if (rank.pending is None or rank.pending.id != switch_id or
            rank.stage is not switch.Stage.LOADING):
        return RankResult(rank)
    if ok:
        rank = dataclasses.replace(rank, stage=switch.Stage.PREPARED)
    else:
        rank = dataclasses.replace(rank, pending=None)
    return RankResult(rank, _prepared(rank, switch_id, ok=ok))


def on_arm(rank: switch.Rank, order: switch.Arm) -> RankResult:
    """Arms the rank for a step, unless it has entered that step already."""
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
    """Applies a decision, unless its fencing token is out of date."""
    map_state = rank.held
    if order.fence < rank.fence or map_state is None:
        return RankResult(rank)
    rank = dataclasses.replace(rank, fence=order.fence)
    noted = switch.Noted(order.id, rank.index, rank.incarnation)
    if order.id <= map_state.closed:
        return RankResult(rank, noted)
    pending = rank.pending
    is_pending = pending is not None and pending.id == order.id
    if (pending is not None and not is_pending and
            rank.stage is switch.Stage.ARMED):
        return RankResult(rank)
    if not order.commit:
        map_state = dataclasses.replace(map_state, closed=order.id)
        return RankResult(
            dataclasses.replace(rank,
                                held=map_state,
                                pending=None if is_pending else pending,
                                decided_fence=order.fence), noted)
    if (pending is None or not is_pending or
            rank.stage is not switch.Stage.ARMED):
        return RankResult(rank)
    return RankResult(
        dataclasses.replace(rank,
                            held=switch.map_after_commit(map_state, pending),
                            pending=None,
                            decided_fence=order.fence), noted)


def join_request(rank: switch.Rank) -> switch.Join | None:
    """Returns the request for the map state; None if the rank has one."""
    if rank.held is not None:
        return None
    return switch.Join(rank.index, rank.incarnation)


def on_name(rank: switch.Rank, order: switch.Name) -> RankResult:
    """Applies the map state sent by the coordinator."""
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
    """Returns the request to other ranks for the decision.

    Returns:
        The request, or None unless the rank is blocked at its armed step.
    """
    if rank.pending is None or may_enter_next_step(rank):
        return None
    return switch.Ask(rank.pending.id)


def answer_decision_request(rank: switch.Rank,
                            request: switch.Ask) -> switch.Decide | None:
    """Returns the decision on a switch, or None if it is not known.

    The decision carries the fencing token under which it was received, not
    the current one: a later coordinator may not know this decision.
    """
    if rank.held is None or rank.held.closed != request.id:
        return None
    latest = rank.held.latest
    commit = latest is not None and latest.id == request.id
    return switch.Decide(rank.decided_fence, request.id, commit)


def _prepared(rank: switch.Rank, switch_id: switch.SwitchId, *,
              ok: bool) -> switch.Prepared:
    return switch.Prepared(switch_id, rank.index, rank.incarnation, rank.step,
                           ok)


def _armed(rank: switch.Rank, switch_id: switch.SwitchId, *,
           ok: bool) -> switch.Armed:
    return switch.Armed(switch_id, rank.index, rank.incarnation, ok)
