"""Model of the two-phase commit that switches the expert map of a rank group.

The ranks of a group execute steps together: no rank enters a step before all
ranks have entered the step before. A coordinator switches them to another
map. Messages may be delayed, reordered and lost. A delayed rank or a paused
coordinator is a process that takes no step while the others do. One rank may
restart, and a second coordinator may start while the first one continues.

The invariant is that all ranks use the same map in each step.
"""

import dataclasses
import functools
from collections.abc import Callable, Iterator
from typing import NamedTuple

from models import checking
from pollenthread.core import switch, switch_coordinator, switch_rank

__all__ = [
    'Bounds', 'RESTART_MUTANTS', 'Rules', 'TAKEOVER_MUTANTS', 'THREE_RANKS',
    'WITH_RESTART_AND_TAKEOVER', 'WITH_RESTART', 'WITH_TAKEOVER',
    'specification'
]

_BASE_VERSION = 1
_TARGET_VERSION = 2
_ARM_MARGIN_STEPS = 1

_CoordinatorResult = switch_coordinator.CoordinatorResult


@dataclasses.dataclass(frozen=True)
class Rules:
    """Decision functions of pollenthread, one of which a mutant replaces.

    Attributes:
        may_enter_next_step: whether a rank may enter its next step.
        restarted_rank: state of a rank after its restart.
        on_arm: handles a request to arm at a rank.
        on_decide: handles a decision at a rank.
        answer_decision_request: reply of a rank to a rank that asks for the
            decision, or None if it does not know it.
        on_armed: handles the acknowledgement of a rank at the coordinator.
        on_join: handles a restarted rank at the coordinator.
        on_report: handles the state of a rank at a new coordinator.
        rejects_lower_fences: whether a rank always rejects a decision with a
            lower fencing number than its own. The model then drops these
            decisions, which reduces the state space.
    """

    may_enter_next_step: Callable[[switch.Rank],
                                  bool] = switch_rank.may_enter_next_step
    restarted_rank: Callable[..., switch.Rank] = switch_rank.restarted_rank
    on_arm: Callable[..., switch_rank.RankResult] = switch_rank.on_arm
    on_decide: Callable[..., switch_rank.RankResult] = switch_rank.on_decide
    answer_decision_request: Callable[
        ..., switch.Decide | None] = switch_rank.answer_decision_request
    on_armed: Callable[..., _CoordinatorResult] = switch_coordinator.on_armed
    on_join: Callable[..., _CoordinatorResult] = switch_coordinator.on_join
    on_report: Callable[..., _CoordinatorResult] = switch_coordinator.on_report
    rejects_lower_fences: bool = True


class _ToRank(NamedTuple):
    """A message to a rank in flight, from a coordinator or another rank.

    Attributes:
        rank: index of the receiver.
        payload: the message.
    """

    rank: int
    payload: switch.CoordinatorMessage


class _ToCoordinator(NamedTuple):
    """A message from a rank to a coordinator in flight.

    Attributes:
        fence: fencing number of the receiver.
        reply: the message.
    """

    fence: int
    reply: switch.RankMessage


class _State(NamedTuple):
    """State of the whole group.

    Attributes:
        ranks: the ranks.
        coordinators: the coordinators in order of their fencing numbers, which
            start at 1. The last one holds the lease.
        in_flight: messages that may still be delivered.
        entered_steps: rank, step and map version of each entered step, except
            for the steps that a rank lost by a restart and enters again.
        restarts: number of restarts of ranks so far.
    """

    ranks: tuple[switch.Rank, ...]
    coordinators: tuple[switch_coordinator.Coordinator, ...]
    in_flight: frozenset[_ToRank | _ToCoordinator]
    entered_steps: frozenset[tuple[int, int, int]]
    restarts: int


_Successors = Iterator[tuple[str, _State]]


@dataclasses.dataclass(frozen=True)
class Bounds:
    """Limits of the state space.

    Attributes:
        ranks: number of ranks in the group.
        steps: number of steps that the ranks enter.
        restarts: maximum number of restarts of ranks.
        coordinators: maximum number of coordinators.
    """

    ranks: int
    steps: int
    restarts: int
    coordinators: int


WITH_RESTART = Bounds(ranks=2, steps=2, restarts=1, coordinators=1)
WITH_TAKEOVER = Bounds(ranks=2, steps=2, restarts=0, coordinators=2)
THREE_RANKS = Bounds(ranks=3, steps=2, restarts=1, coordinators=1)
WITH_RESTART_AND_TAKEOVER = Bounds(ranks=2, steps=2, restarts=1, coordinators=2)


class _Model:
    """Computes the successors of a state under a set of rules."""

    def __init__(self, *, rules: Rules, bounds: Bounds) -> None:
        self._rules = rules
        self._bounds = bounds

    def transitions(self, state: _State) -> _Successors:
        """Yields the label and the resulting state of each possible step."""
        for label, after in self._all_transitions(state):
            yield label, self._without_ineffective(after)

    def _without_ineffective(self, state: _State) -> _State:
        """Drops the messages that can no longer have an effect."""
        ineffective = {
            message for message in state.in_flight
            if _is_ineffective(state, message, self._rules.rejects_lower_fences)
        }
        return (state._replace(in_flight=state.in_flight -
                               ineffective) if ineffective else state)

    def _all_transitions(self, state: _State) -> _Successors:
        yield from self._rank_steps(state)
        yield from self._load_steps(state)
        yield from self._decision_request_steps(state)
        for message in sorted(state.in_flight, key=_sort_key):
            remaining = state._replace(in_flight=state.in_flight - {message})
            if isinstance(message, _ToRank):
                yield self._deliver_to_rank(remaining, message)
            else:
                yield self._deliver_to_coordinator(remaining, message)
        yield from self._coordinator_steps(state)
        yield from self._fault_steps(state)

    def _rank_steps(self, state: _State) -> _Successors:
        slowest = min(rank.step for rank in state.ranks)
        for rank in state.ranks:
            if (rank.step > slowest or rank.step >= self._bounds.steps or
                    not self._rules.may_enter_next_step(rank)):
                continue
            entered = switch_rank.enter_next_step(rank)
            assert entered.held is not None
            version = switch.map_version(entered.held, entered.step)
            entered_steps = state.entered_steps | {
                (rank.index, entered.step, version)
            }
            yield (f'rank {rank.index} enters step {entered.step} '
                   f'with map {version}',
                   _replace_rank(state,
                                 entered)._replace(entered_steps=entered_steps))

    def _load_steps(self, state: _State) -> _Successors:
        for rank in state.ranks:
            if (rank.pending is None or rank.stage is not switch.Stage.LOADING):
                continue
            result = switch_rank.on_loaded(rank, rank.pending.id, ok=True)
            yield (f'rank {rank.index} has loaded the weights',
                   _apply_rank_result(state, result, rank.pending.id.fence))

    def _decision_request_steps(self, state: _State) -> _Successors:
        for rank in state.ranks:
            request = switch_rank.decision_request(rank)
            if request is None:
                continue
            for peer in state.ranks:
                decision = self._rules.answer_decision_request(peer, request)
                if decision is not None:
                    message = _ToRank(rank.index, decision)
                    yield (
                        f'rank {peer.index} sends its decision to {rank.index}',
                        state._replace(in_flight=state.in_flight | {message}))

    def _deliver_to_rank(self, state: _State,
                         message: _ToRank) -> tuple[str, _State]:
        rank = state.ranks[message.rank]
        payload = message.payload
        match payload:
            case switch.Query():
                result = switch_rank.on_query(rank, payload)
                fence = payload.fence
            case switch.Prepare():
                result = switch_rank.on_prepare(rank, payload)
                fence = payload.id.fence
            case switch.Arm():
                result = self._rules.on_arm(rank, payload)
                fence = payload.id.fence
            case switch.Decide():
                result = self._rules.on_decide(rank, payload)
                fence = payload.fence
            case switch.Name():
                result = switch_rank.on_name(rank, payload)
                fence = payload.fence
        label = f'rank {rank.index} receives {_message_label(payload)}'
        return label, _apply_rank_result(state, result, fence)

    def _deliver_to_coordinator(self, state: _State,
                                message: _ToCoordinator) -> tuple[str, _State]:
        coordinator = state.coordinators[message.fence - 1]
        reply = message.reply
        match reply:
            case switch.Report():
                result = self._rules.on_report(coordinator, reply)
            case switch.Prepared():
                result = switch_coordinator.on_prepared(
                    coordinator, reply, margin_steps=_ARM_MARGIN_STEPS)
            case switch.Armed():
                result = self._rules.on_armed(coordinator, reply)
            case switch.Noted():
                result = switch_coordinator.on_noted(coordinator, reply)
            case switch.Join():
                result = self._rules.on_join(coordinator, reply)
        label = f'coordinator {message.fence} receives {_message_label(reply)}'
        return label, _apply_coordinator_result(state, result)

    def _coordinator_steps(self, state: _State) -> _Successors:
        for coordinator in state.coordinators:
            name = f'coordinator {coordinator.fence}'
            if (coordinator.phase is switch_coordinator.CoordinatorPhase.IDLE
                    and coordinator.switch_count == 0 and
                    coordinator.fence == 1):
                yield (f'{name} starts a switch',
                       _apply_coordinator_result(
                           state,
                           switch_coordinator.start_switch(
                               coordinator, _TARGET_VERSION)))
            aborted = switch_coordinator.abort_undecided(coordinator)
            if aborted.coordinator is not coordinator:
                yield f'{name} aborts', _apply_coordinator_result(
                    state, aborted)

    def _fault_steps(self, state: _State) -> _Successors:
        fence = len(state.coordinators)
        if fence < self._bounds.coordinators:
            started = switch_coordinator.start_coordinator(
                fence=fence + 1,
                group_size=self._bounds.ranks,
                initial_version=_BASE_VERSION)
            after = state._replace(coordinators=(*state.coordinators,
                                                 started.coordinator))
            yield (f'coordinator {fence + 1} takes over',
                   _apply_coordinator_result(after, started))
        if state.restarts < self._bounds.restarts:
            for rank in state.ranks:
                yield self._restart_rank(state, rank)

    def _restart_rank(self, state: _State,
                      rank: switch.Rank) -> tuple[str, _State]:
        last_common_step = max(0, min(item.step for item in state.ranks) - 1)
        fence = len(state.coordinators)
        restarted = self._rules.restarted_rank(rank,
                                               fence=fence,
                                               step=last_common_step)
        entered_steps = frozenset(
            item for item in state.entered_steps
            if item[0] != rank.index or item[1] <= last_common_step)
        after = _replace_rank(state,
                              restarted)._replace(restarts=state.restarts + 1,
                                                  entered_steps=entered_steps)
        queries = {
            _ToRank(rank.index, switch.Query(coordinator.fence))
            for coordinator in state.coordinators
            if coordinator.phase is
            switch_coordinator.CoordinatorPhase.COLLECTING
        }
        after = after._replace(in_flight=after.in_flight | queries)
        request = switch_rank.join_request(restarted)
        if request is not None:
            joins = {
                _ToCoordinator(coordinator.fence, request)
                for coordinator in state.coordinators
            }
            after = after._replace(in_flight=after.in_flight | joins)
        return f'rank {rank.index} restarts', after


@functools.cache
def _sort_key(message: _ToRank | _ToCoordinator) -> str:
    return repr(message)


def _is_ineffective(state: _State, message: _ToRank | _ToCoordinator,
                    rejects_lower_fences: bool) -> bool:
    if isinstance(message, _ToRank):
        if isinstance(message.payload,
                      switch.Decide) and not rejects_lower_fences:
            return False
        return _is_ineffective_order(state.ranks[message.rank], message.payload)
    coordinator = state.coordinators[message.fence - 1]
    phase = coordinator.phase
    is_finished = phase is switch_coordinator.CoordinatorPhase.DECIDED or (
        phase is switch_coordinator.CoordinatorPhase.IDLE and
        (coordinator.switch_count > 0 or coordinator.fence > 1))
    match message.reply:
        case switch.Report():
            return phase is not switch_coordinator.CoordinatorPhase.COLLECTING
        case switch.Prepared():
            return (is_finished or
                    phase is switch_coordinator.CoordinatorPhase.ARMING)
        case switch.Armed():
            return is_finished
        case switch.Noted():
            # It only allows the coordinator to start another switch.
            return True
        case _:
            return False


def _is_ineffective_order(rank: switch.Rank,
                          message: switch.CoordinatorMessage) -> bool:
    closed = switch.NO_SWITCH if rank.held is None else rank.held.closed
    match message:
        case switch.Prepare() | switch.Arm():
            return message.id.fence < rank.fence or message.id <= closed
        case switch.Decide():
            # With an equal fence, a decision on a closed switch has no effect.
            return message.fence < rank.fence or (message.fence == rank.fence
                                                  and message.id <= closed)
        case switch.Name():
            return (message.fence < rank.fence or rank.held is not None or
                    message.incarnation != rank.incarnation)
        case switch.Query():
            return message.fence < rank.fence


def _message_label(
        message: switch.CoordinatorMessage | switch.RankMessage) -> str:
    name = type(message).__name__.lower()
    if isinstance(message, switch.Decide):
        return f'{name} {"commit" if message.commit else "abort"}'
    return name


def _replace_rank(state: _State, rank: switch.Rank) -> _State:
    ranks = list(state.ranks)
    ranks[rank.index] = rank
    return state._replace(ranks=tuple(ranks))


def _apply_rank_result(state: _State, result: switch_rank.RankResult,
                       fence: int) -> _State:
    state = _replace_rank(state, result.rank)
    if result.reply is None:
        return state
    message = _ToCoordinator(fence, result.reply)
    return state._replace(in_flight=state.in_flight | {message})


def _apply_coordinator_result(
        state: _State, result: switch_coordinator.CoordinatorResult) -> _State:
    coordinators = list(state.coordinators)
    coordinators[result.coordinator.fence - 1] = result.coordinator
    sent = {_ToRank(send.rank_index, send.message) for send in result.messages}
    return state._replace(coordinators=tuple(coordinators),
                          in_flight=state.in_flight | sent)


def _is_map_uniform_per_step(
        state: dict[str, frozenset[tuple[int, int, int]]]) -> bool:
    maps = {(step, version) for _, step, version in state['entered_steps']}
    return len({step for step, _ in maps}) == len(maps)


def specification(rules: Rules = Rules(), *,
                  bounds: Bounds) -> checking.Specification:
    """Returns the specification of the map switch.

    Args:
        rules: the decision functions.
        bounds: limits of the state space.
    """
    model = _Model(rules=rules, bounds=bounds)
    ranks = tuple(
        switch.Rank(index=i,
                    incarnation=1,
                    fence=1,
                    held=switch.Map(base=_BASE_VERSION))
        for i in range(bounds.ranks))
    coordinator = switch_coordinator.start_coordinator(
        fence=1, group_size=bounds.ranks,
        initial_version=_BASE_VERSION).coordinator
    for rank in ranks:
        coordinator = switch_coordinator.on_report(coordinator,
                                                   switch.Report(
                                                       1, rank)).coordinator
    return checking.Specification(
        name='switch',
        fields=_State._fields,
        initial=_State(ranks=ranks,
                       coordinators=(coordinator,),
                       in_flight=frozenset(),
                       entered_steps=frozenset(),
                       restarts=0),
        transitions=lambda state: model.transitions(_State(*state)),
        invariants={
            'in every step all ranks use the same map':
                _is_map_uniform_per_step,
        })


def _may_enter_undecided(rank: switch.Rank) -> bool:
    return rank.held is not None


def _restart_with_initial_map(rank: switch.Rank, *, fence: int,
                              step: int) -> switch.Rank:
    restarted = switch_rank.restarted_rank(rank, fence=fence, step=step)
    return dataclasses.replace(restarted, held=switch.Map(base=_BASE_VERSION))


def _arm_at_entered_step(rank: switch.Rank,
                         message: switch.Arm) -> switch_rank.RankResult:
    """Arms at a step that the rank has already entered."""
    at_earlier_step = dataclasses.replace(rank,
                                          step=min(rank.step, message.step - 1))
    result = switch_rank.on_arm(at_earlier_step, message)
    return switch_rank.RankResult(
        dataclasses.replace(result.rank, step=rank.step), result.reply)


def _decide_unfenced(rank: switch.Rank,
                     message: switch.Decide) -> switch_rank.RankResult:
    fence = max(rank.fence, message.fence)
    return switch_rank.on_decide(rank, dataclasses.replace(message,
                                                           fence=fence))


def _commit_at_first_ack(
        coordinator: switch_coordinator.Coordinator,
        reply: switch.Armed) -> switch_coordinator.CoordinatorResult:
    return switch_coordinator.on_armed(
        dataclasses.replace(
            coordinator,
            acknowledged_ranks=frozenset(range(coordinator.group_size)) -
            {reply.index}), reply)


def _accept_ack_of_any_incarnation(
        coordinator: switch_coordinator.Coordinator,
        reply: switch.Armed) -> switch_coordinator.CoordinatorResult:
    incarnation = coordinator.incarnations[reply.index]
    return switch_coordinator.on_armed(
        coordinator, dataclasses.replace(reply,
                                         incarnation=incarnation,
                                         ok=True))


def _join_without_abort(
        coordinator: switch_coordinator.Coordinator,
        request: switch.Join) -> switch_coordinator.CoordinatorResult:
    """Sends the map to the rank and continues the switch."""
    joined = switch_coordinator.on_join(
        dataclasses.replace(coordinator,
                            phase=switch_coordinator.CoordinatorPhase.IDLE),
        request)
    return switch_coordinator.CoordinatorResult(
        dataclasses.replace(joined.coordinator, phase=coordinator.phase),
        joined.messages)


def _resolve_from_first_report(
        coordinator: switch_coordinator.Coordinator,
        report: switch.Report) -> switch_coordinator.CoordinatorResult:
    """Resolves a pending switch from the first report alone."""
    with_one_report = dataclasses.replace(coordinator,
                                          rank_reports=(report.rank,) *
                                          coordinator.group_size)
    return switch_coordinator.on_report(with_one_report, report)


RESTART_MUTANTS: dict[str, Rules] = {
    'a rank enters its armed step undecided':
        Rules(may_enter_next_step=_may_enter_undecided),
    'a restarted rank goes on with an old map':
        Rules(restarted_rank=_restart_with_initial_map),
    'a rank arms at a step that it has entered':
        Rules(on_arm=_arm_at_entered_step),
    'the decider commits before every rank has armed':
        Rules(on_armed=_commit_at_first_ack),
    'what a rank promised before its restart counts':
        Rules(on_armed=_accept_ack_of_any_incarnation,
              on_join=_join_without_abort),
}

TAKEOVER_MUTANTS: dict[str, Rules] = {
    'a decision is taken from a decider that was replaced':
        Rules(on_decide=_decide_unfenced, rejects_lower_fences=False),
    'a new decider settles before every rank has reported':
        Rules(on_report=_resolve_from_first_report),
}
