"""The switch of expert maps: ranks in lock-step, deciders that are replaced.

Messages may be delayed, overtaken and lost; interleaving stands for late ranks
and paused deciders. One rank may restart, and one decider may be replaced while
the old one goes on.
"""

import dataclasses
import functools
from collections.abc import Callable, Iterator
from typing import NamedTuple

from models import checking
from pollenthread.core import switch, switch_coordinator, switch_rank

__all__ = [
    'Bounds', 'RESTART_MUTANTS', 'Rules', 'TAKEOVER_MUTANTS', 'THREE_RANKS',
    'WITH_BOTH', 'WITH_RESTART', 'WITH_TAKEOVER', 'specification'
]

_BASE = 1
_TARGET = 2
_MARGIN = 1

_Decided = switch_coordinator.CoordinatorResult


@dataclasses.dataclass(frozen=True)
class Rules:
    """The project's decisions; a mutant replaces one of them.

    `fenced` says whether a rank refuses what has a lower fencing number for
    good, so that such messages need not be kept in flight.
    """

    may_enter: Callable[[switch.Rank], bool] = switch_rank.may_enter_next_step
    restart: Callable[..., switch.Rank] = switch_rank.restarted_rank
    on_arm: Callable[..., switch_rank.RankResult] = switch_rank.on_arm
    on_decide: Callable[..., switch_rank.RankResult] = switch_rank.on_decide
    answer_ask: Callable[..., switch.Decide |
                         None] = switch_rank.answer_decision_request
    on_armed: Callable[..., _Decided] = switch_coordinator.on_armed
    on_join: Callable[..., _Decided] = switch_coordinator.on_join
    on_report: Callable[..., _Decided] = switch_coordinator.on_report
    fenced: bool = True


class _ToRank(NamedTuple):
    """An order, or a decision from another rank, on its way."""

    rank: int
    order: switch.CoordinatorMessage


class _ToDecider(NamedTuple):
    """A reply on its way."""

    fence: int
    reply: switch.RankMessage


class _State(NamedTuple):
    """The whole group.

    Attributes:
        ranks: the ranks.
        deciders: by fencing number less one; the last is the row's.
        flight: messages that may still be delivered.
        used: rank, step and map version of each step that was entered, less
            those that a rank lost by a restart and enters again.
        restarts: restarts of ranks so far.
    """

    ranks: tuple[switch.Rank, ...]
    deciders: tuple[switch_coordinator.Coordinator, ...]
    flight: frozenset[_ToRank | _ToDecider]
    used: frozenset[tuple[int, int, int]]
    restarts: int


_Successors = Iterator[tuple[str, _State]]


@dataclasses.dataclass(frozen=True)
class Bounds:
    """Limits of the state space."""

    ranks: int
    steps: int
    restarts: int
    deciders: int


WITH_RESTART = Bounds(ranks=2, steps=2, restarts=1, deciders=1)
WITH_TAKEOVER = Bounds(ranks=2, steps=2, restarts=0, deciders=2)
THREE_RANKS = Bounds(ranks=3, steps=2, restarts=1, deciders=1)
WITH_BOTH = Bounds(ranks=2, steps=2, restarts=1, deciders=2)


class _Model:
    """Successors of a state under a set of rules."""

    def __init__(self, *, rules: Rules, bounds: Bounds) -> None:
        self._rules = rules
        self._bounds = bounds

    def transitions(self, state: _State) -> _Successors:
        """Every step that some part of the group may take."""
        for label, after in self._all_transitions(state):
            yield label, self._without_void(after)

    def _without_void(self, state: _State) -> _State:
        """Drops messages that can change nothing any more."""
        void = {
            message for message in state.flight
            if _is_void(state, message, self._rules.fenced)
        }
        return (state._replace(flight=state.flight - void) if void else state)

    def _all_transitions(self, state: _State) -> _Successors:
        yield from self._steps(state)
        yield from self._loads(state)
        yield from self._asks(state)
        for message in sorted(state.flight, key=_sort_key):
            left = state._replace(flight=state.flight - {message})
            if isinstance(message, _ToRank):
                yield self._to_rank(left, message)
            else:
                yield self._to_decider(left, message)
        yield from self._decider_steps(state)
        yield from self._faults(state)

    def _steps(self, state: _State) -> _Successors:
        slowest = min(rank.step for rank in state.ranks)
        for rank in state.ranks:
            if (rank.step > slowest or rank.step >= self._bounds.steps or
                    not self._rules.may_enter(rank)):
                continue
            entered = switch_rank.enter_next_step(rank)
            assert entered.held is not None
            version = switch.map_version(entered.held, entered.step)
            used = state.used | {(rank.index, entered.step, version)}
            yield (f'rank {rank.index} enters step {entered.step} '
                   f'with map {version}', _put(state,
                                               entered)._replace(used=used))

    def _loads(self, state: _State) -> _Successors:
        for rank in state.ranks:
            if (rank.pending is None or rank.stage is not switch.Stage.LOADING):
                continue
            result = switch_rank.on_loaded(rank, rank.pending.id, ok=True)
            yield (f'rank {rank.index} has loaded',
                   _reply(state, result, rank.pending.id.fence))

    def _asks(self, state: _State) -> _Successors:
        for rank in state.ranks:
            question = switch_rank.decision_request(rank)
            if question is None:
                continue
            for other in state.ranks:
                answer = self._rules.answer_ask(other, question)
                if answer is not None:
                    message = _ToRank(rank.index, answer)
                    yield (f'rank {other.index} tells rank {rank.index}',
                           state._replace(flight=state.flight | {message}))

    def _to_rank(self, state: _State, message: _ToRank) -> tuple[str, _State]:
        rank = state.ranks[message.rank]
        order = message.order
        match order:
            case switch.Query():
                result = switch_rank.on_query(rank, order)
                fence = order.fence
            case switch.Prepare():
                result = switch_rank.on_prepare(rank, order)
                fence = order.id.fence
            case switch.Arm():
                result = self._rules.on_arm(rank, order)
                fence = order.id.fence
            case switch.Decide():
                result = self._rules.on_decide(rank, order)
                fence = order.fence
            case switch.Name():
                result = switch_rank.on_name(rank, order)
                fence = order.fence
        label = f'rank {rank.index} takes {_shown(order)}'
        return label, _reply(state, result, fence)

    def _to_decider(self, state: _State,
                    message: _ToDecider) -> tuple[str, _State]:
        decider = state.deciders[message.fence - 1]
        reply = message.reply
        match reply:
            case switch.Report():
                result = self._rules.on_report(decider, reply)
            case switch.Prepared():
                result = switch_coordinator.on_prepared(decider,
                                                        reply,
                                                        margin_steps=_MARGIN)
            case switch.Armed():
                result = self._rules.on_armed(decider, reply)
            case switch.Noted():
                result = switch_coordinator.on_noted(decider, reply)
            case switch.Join():
                result = self._rules.on_join(decider, reply)
        label = f'decider {message.fence} takes {_shown(reply)}'
        return label, _decided(state, result)

    def _decider_steps(self, state: _State) -> _Successors:
        for decider in state.deciders:
            name = f'decider {decider.fence}'
            if (decider.phase is switch_coordinator.CoordinatorPhase.IDLE and
                    decider.switch_count == 0 and decider.fence == 1):
                yield (f'{name} starts a switch',
                       _decided(
                           state,
                           switch_coordinator.start_switch(decider, _TARGET)))
            given_up = switch_coordinator.abort_undecided(decider)
            if given_up.coordinator is not decider:
                yield f'{name} gives up', _decided(state, given_up)

    def _faults(self, state: _State) -> _Successors:
        fence = len(state.deciders)
        if fence < self._bounds.deciders:
            taken = switch_coordinator.start_coordinator(
                fence=fence + 1,
                group_size=self._bounds.ranks,
                initial_version=_BASE)
            after = state._replace(deciders=(*state.deciders,
                                             taken.coordinator))
            yield f'decider {fence + 1} takes over', _decided(after, taken)
        if state.restarts < self._bounds.restarts:
            for rank in state.ranks:
                yield self._restart(state, rank)

    def _restart(self, state: _State, rank: switch.Rank) -> tuple[str, _State]:
        done = max(0, min(item.step for item in state.ranks) - 1)
        fence = len(state.deciders)
        restarted = self._rules.restart(rank, fence=fence, step=done)
        used = frozenset(item for item in state.used
                         if item[0] != rank.index or item[1] <= done)
        after = _put(state, restarted)._replace(restarts=state.restarts + 1,
                                                used=used)
        queries = {
            _ToRank(rank.index, switch.Query(decider.fence))
            for decider in state.deciders
            if decider.phase is switch_coordinator.CoordinatorPhase.COLLECTING
        }
        after = after._replace(flight=after.flight | queries)
        request = switch_rank.join_request(restarted)
        if request is not None:
            joins = {
                _ToDecider(decider.fence, request) for decider in state.deciders
            }
            after = after._replace(flight=after.flight | joins)
        return f'rank {rank.index} restarts', after


@functools.cache
def _sort_key(message: _ToRank | _ToDecider) -> str:
    return repr(message)


def _is_void(state: _State, message: _ToRank | _ToDecider,
             fenced: bool) -> bool:
    if isinstance(message, _ToRank):
        if isinstance(message.order, switch.Decide) and not fenced:
            return False
        return _is_void_order(state.ranks[message.rank], message.order)
    decider = state.deciders[message.fence - 1]
    phase = decider.phase
    is_over = phase is switch_coordinator.CoordinatorPhase.DECIDED or (
        phase is switch_coordinator.CoordinatorPhase.IDLE and
        (decider.switch_count > 0 or decider.fence > 1))
    match message.reply:
        case switch.Report():
            return phase is not switch_coordinator.CoordinatorPhase.COLLECTING
        case switch.Prepared():
            return (is_over or
                    phase is switch_coordinator.CoordinatorPhase.ARMING)
        case switch.Armed():
            return is_over
        case switch.Noted():
            # It only readies the decider for a further switch.
            return True
        case _:
            return False


def _is_void_order(rank: switch.Rank, order: switch.CoordinatorMessage) -> bool:
    closed = switch.NO_SWITCH if rank.held is None else rank.held.closed
    match order:
        case switch.Prepare() | switch.Arm():
            return order.id.fence < rank.fence or order.id <= closed
        case switch.Decide():
            # At an equal fence a closed switch changes nothing.
            return order.fence < rank.fence or (order.fence == rank.fence and
                                                order.id <= closed)
        case switch.Name():
            return (order.fence < rank.fence or rank.held is not None or
                    order.incarnation != rank.incarnation)
        case switch.Query():
            return order.fence < rank.fence


def _shown(message: switch.CoordinatorMessage | switch.RankMessage) -> str:
    name = type(message).__name__.lower()
    if isinstance(message, switch.Decide):
        return f'{name} {"commit" if message.commit else "abort"}'
    return name


def _put(state: _State, rank: switch.Rank) -> _State:
    ranks = list(state.ranks)
    ranks[rank.index] = rank
    return state._replace(ranks=tuple(ranks))


def _reply(state: _State, result: switch_rank.RankResult, fence: int) -> _State:
    state = _put(state, result.rank)
    if result.reply is None:
        return state
    message = _ToDecider(fence, result.reply)
    return state._replace(flight=state.flight | {message})


def _decided(state: _State,
             result: switch_coordinator.CoordinatorResult) -> _State:
    deciders = list(state.deciders)
    deciders[result.coordinator.fence - 1] = result.coordinator
    sent = {_ToRank(send.rank_index, send.message) for send in result.messages}
    return state._replace(deciders=tuple(deciders), flight=state.flight | sent)


def _is_uniform(state: dict[str, frozenset[tuple[int, int, int]]]) -> bool:
    maps = {(step, version) for _, step, version in state['used']}
    return len({step for step, _ in maps}) == len(maps)


def specification(rules: Rules = Rules(), *,
                  bounds: Bounds) -> checking.Specification:
    """The switch under the given rules."""
    model = _Model(rules=rules, bounds=bounds)
    ranks = tuple(
        switch.Rank(
            index=i, incarnation=1, fence=1, held=switch.Map(base=_BASE))
        for i in range(bounds.ranks))
    decider = switch_coordinator.start_coordinator(
        fence=1, group_size=bounds.ranks, initial_version=_BASE).coordinator
    for rank in ranks:
        decider = switch_coordinator.on_report(decider,
                                               switch.Report(1,
                                                             rank)).coordinator
    return checking.Specification(
        name='switch',
        fields=_State._fields,
        initial=_State(ranks=ranks,
                       deciders=(decider,),
                       flight=frozenset(),
                       used=frozenset(),
                       restarts=0),
        transitions=lambda state: model.transitions(_State(*state)),
        invariants={
            'in every step all ranks use the same map': _is_uniform,
        })


def _may_enter_undecided(rank: switch.Rank) -> bool:
    return rank.held is not None


def _restart_with_old_map(rank: switch.Rank, *, fence: int,
                          step: int) -> switch.Rank:
    restarted = switch_rank.restarted_rank(rank, fence=fence, step=step)
    return dataclasses.replace(restarted, held=switch.Map(base=_BASE))


def _arm_late(rank: switch.Rank, order: switch.Arm) -> switch_rank.RankResult:
    """Arms at a step that was entered already."""
    moved = dataclasses.replace(rank, step=min(rank.step, order.step - 1))
    result = switch_rank.on_arm(moved, order)
    return switch_rank.RankResult(
        dataclasses.replace(result.rank, step=rank.step), result.reply)


def _decide_unfenced(rank: switch.Rank,
                     order: switch.Decide) -> switch_rank.RankResult:
    fence = max(rank.fence, order.fence)
    return switch_rank.on_decide(rank, dataclasses.replace(order, fence=fence))


def _commit_at_first_ack(
        decider: switch_coordinator.Coordinator,
        reply: switch.Armed) -> switch_coordinator.CoordinatorResult:
    return switch_coordinator.on_armed(
        dataclasses.replace(
            decider,
            acknowledged_ranks=frozenset(range(decider.group_size)) -
            {reply.index}), reply)


def _ack_of_any_incarnation(
        decider: switch_coordinator.Coordinator,
        reply: switch.Armed) -> switch_coordinator.CoordinatorResult:
    incarnation = decider.incarnations[reply.index]
    return switch_coordinator.on_armed(
        decider, dataclasses.replace(reply, incarnation=incarnation, ok=True))


def _join_without_abort(
        decider: switch_coordinator.Coordinator,
        request: switch.Join) -> switch_coordinator.CoordinatorResult:
    """Names the map and goes on with the switch."""
    joined = switch_coordinator.on_join(
        dataclasses.replace(decider,
                            phase=switch_coordinator.CoordinatorPhase.IDLE),
        request)
    return switch_coordinator.CoordinatorResult(
        dataclasses.replace(joined.coordinator, phase=decider.phase),
        joined.messages)


def _settle_without_all(
        decider: switch_coordinator.Coordinator,
        report: switch.Report) -> switch_coordinator.CoordinatorResult:
    """Settles from the first report alone."""
    alone = dataclasses.replace(decider,
                                rank_reports=(report.rank,) *
                                decider.group_size)
    return switch_coordinator.on_report(alone, report)


RESTART_MUTANTS: dict[str, Rules] = {
    'a rank enters its armed step undecided':
        Rules(may_enter=_may_enter_undecided),
    'a restarted rank goes on with an old map':
        Rules(restart=_restart_with_old_map),
    'a rank arms at a step that it has entered':
        Rules(on_arm=_arm_late),
    'the decider commits before every rank has armed':
        Rules(on_armed=_commit_at_first_ack),
    'what a rank promised before its restart counts':
        Rules(on_armed=_ack_of_any_incarnation, on_join=_join_without_abort),
}

TAKEOVER_MUTANTS: dict[str, Rules] = {
    'a decision is taken from a decider that was replaced':
        Rules(on_decide=_decide_unfenced, fenced=False),
    'a new decider settles before every rank has reported':
        Rules(on_report=_settle_without_all),
}
