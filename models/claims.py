"""Claims: two entry hosts, one key, an agent that restarts, a table that loses
answers.

Messages on a link may be delayed; they come once at most, and are lost with
its session. A write to
the table may take effect and its answer be lost. A read may be old. Entry
hosts may die at any step; interleaving stands for pauses.
"""

import dataclasses
from collections.abc import Callable, Iterator
from typing import NamedTuple

from models import checking
from pollenthread.core import attempt_rules, claims, messages

__all__ = ['MUTANTS', 'Rules', 'specification']

_HOST = 'agent'
_DIGEST = 'digest'


@dataclasses.dataclass(frozen=True)
class Rules:
    """The project's decisions; a mutant replaces one of them.

    Attributes:
        first_step: what an entry host does with a row.
        after_seal: what it does with an agent's answer.
        is_beginnable: whether an agent begins.
        seal_answer: what an agent answers to a seal.
        must_be_kept: whether an agent must remember an attempt.
        has_ended: whether a row proves that an agent may forget.
        rereads: whether a lost answer of the table is settled by reading.
        compares: whether a write names the version that it replaces.
    """

    first_step: Callable[..., claims.ClaimAction] = claims.initial_action
    after_seal: Callable[..., claims.ClaimAction] = claims.action_after_seal
    is_beginnable: Callable[..., bool] = attempt_rules.may_start
    seal_answer: Callable[..., messages.SealState] = attempt_rules.seal_state
    must_be_kept: Callable[..., bool] = attempt_rules.must_be_retained
    has_ended: Callable[..., bool] = claims.has_ended
    rereads: bool = True
    compares: bool = True


class _Entry(NamedTuple):
    """One entry host that serves one request under the key.

    Attributes:
        pc: the next step.
        claim: the claim that it wants.
        row: the row that it read last.
        version: the version of that row, or of its own claim.
        incarnation: the incarnation that answered a seal.
        answer: what that agent answered.
    """

    pc: str = 'start'
    claim: claims.Claim | None = None
    row: claims.Claim | None = None
    version: int = 0
    incarnation: int = 0
    answer: messages.SealState | None = None


class _Agent(NamedTuple):
    """The agent.

    Attributes:
        incarnation: rises with each restart.
        sessions: the open session of each entry host; 0 when closed.
        phases: what is remembered of attempts.
        sealed: sealed attempts with their sessions.
    """

    incarnation: int
    sessions: tuple[int, ...]
    phases: frozenset[tuple[str, attempt_rules.AttemptPhase]]
    sealed: frozenset[tuple[str, str]]

    def phase(self, attempt: str) -> attempt_rules.AttemptPhase | None:
        """What is remembered of an attempt."""
        return dict(self.phases).get(attempt)


class _State(NamedTuple):
    """The whole system."""

    entries: tuple[_Entry, ...]
    agent: _Agent
    row: claims.Claim | None
    version: int
    old_row: claims.Claim | None
    old_version: int
    begins: frozenset[claims.Claim]
    ran: int
    told_not_run: frozenset[str]
    replayed: bool
    restarts: int
    relinks: int
    losses: int


_Successors = Iterator[tuple[str, _State]]


@dataclasses.dataclass(frozen=True)
class _Bounds:
    """How often each fault may happen."""

    restarts: int
    relinks: int
    losses: int


class _Model:
    """Successors of a state under a set of rules."""

    def __init__(self, *, rules: Rules, bounds: _Bounds) -> None:
        self._rules = rules
        self._bounds = bounds

    def transitions(self, state: _State) -> _Successors:
        """Every step that some part of the system may take."""
        for number, entry in enumerate(state.entries):
            yield from self._entry_steps(state, number, entry)
        yield from self._agent_steps(state)
        yield from self._faults(state)

    def _entry_steps(self, state: _State, number: int,
                     entry: _Entry) -> _Successors:
        name = f'entry {number}'
        match entry.pc:
            case 'start':
                yield from self._choose(state, number, name)
            case 'insert':
                yield from self._insert(state, number, entry, name)
            case 'read':
                yield from self._read(state, number, entry, name)
            case 'seal':
                yield from self._seal(state, number, entry, name)
            case 'after_seal':
                yield from self._after_seal(state, number, entry, name)
            case 'granted':
                assert entry.claim is not None
                after = state._replace(begins=state.begins | {entry.claim})
                yield (f'{name} sends begin',
                       _with(after, number, entry._replace(pc='waits')))
            case 'record':
                yield from self._record(state, number, entry, name)
            case 'confirm':
                yield from self._confirm(state, number, entry, name)
        if entry.pc not in ('dead', 'ended'):
            yield (f'{name} dies', _with(state, number, _Entry(pc='dead')))

    def _choose(self, state: _State, number: int, name: str) -> _Successors:
        session = state.agent.sessions[number]
        if not session:
            return
        claim = claims.Claim(attempt=f'a{number}',
                             host=_HOST,
                             incarnation=str(state.agent.incarnation),
                             session=f'{number}:{session}',
                             digest=_DIGEST)
        entry = _Entry(pc='insert', claim=claim)
        yield f'{name} chooses', _with(state, number, entry)

    def _insert(self, state: _State, number: int, entry: _Entry,
                name: str) -> _Successors:
        assert entry.claim is not None
        if state.row is not None:
            yield (f'{name} finds the key claimed',
                   _with(state, number, entry._replace(pc='read')))
            return
        written = _write(state, entry.claim)
        granted = entry._replace(pc='granted', version=written.version)
        yield f'{name} claims', _with(written, number, granted)
        yield from self._lost(state, written, number, entry, name)

    def _lost(self, state: _State, written: _State, number: int, entry: _Entry,
              name: str) -> _Successors:
        """The table's answer to a write is lost, with or without effect."""
        if state.losses >= self._bounds.losses:
            return
        pc = 'read' if self._rules.rereads else 'granted'
        for label, after in (('took effect', written), ('had none', state)):
            after = after._replace(losses=state.losses + 1)
            yield (f'{name} loses the answer to a write that {label}',
                   _with(after, number,
                         entry._replace(pc=pc, version=after.version)))

    def _read(self, state: _State, number: int, entry: _Entry,
              name: str) -> _Successors:
        assert entry.claim is not None
        rows = {('new', state.row, state.version)}
        if state.old_version:
            rows.add(('old', state.old_row, state.old_version))
        for age, row, version in sorted(rows, key=lambda item: item[0]):
            step = self._rules.first_step(row,
                                          attempt=entry.claim.attempt,
                                          digest=_DIGEST)
            seen = entry._replace(row=row, version=version)
            label = f'{name} reads the {age} row: {step.value}'
            match step:
                case claims.ClaimAction.INSERT:
                    yield label, _with(state, number,
                                       seen._replace(pc='insert'))
                case claims.ClaimAction.BEGIN:
                    yield (label,
                           _with(state, number, seen._replace(pc='granted')))
                case claims.ClaimAction.REPLAY:
                    after = state._replace(replayed=True)
                    yield label, _with(after, number, _Entry(pc='ended'))
                case claims.ClaimAction.ASK_SEAL:
                    yield label, _with(state, number, seen._replace(pc='seal'))
                case claims.ClaimAction.TAKE_OVER:
                    yield from self._take_over(state, number, seen, label)
                case _:
                    yield label, _with(state, number, _Entry(pc='ended'))

    def _seal(self, state: _State, number: int, entry: _Entry,
              name: str) -> _Successors:
        assert entry.row is not None
        silent = entry._replace(pc='after_seal', answer=None)
        yield f'{name} gets no answer to its seal', _with(state, number, silent)
        agent = state.agent
        if not agent.sessions[number]:
            return
        phase = agent.phase(entry.row.attempt)
        owner, session = entry.row.session.split(':')
        if phase is None and agent.sessions[int(owner)] == int(session):
            pair = (entry.row.attempt, entry.row.session)
            agent = agent._replace(sealed=agent.sealed | {pair})
        answered = entry._replace(pc='after_seal',
                                  incarnation=agent.incarnation,
                                  answer=self._rules.seal_answer(phase))
        yield (f'{name} asks for a seal: {answered.answer}',
               _with(state._replace(agent=agent), number, answered))

    def _after_seal(self, state: _State, number: int, entry: _Entry,
                    name: str) -> _Successors:
        assert entry.row is not None
        step = self._rules.after_seal(entry.row,
                                      incarnation=str(entry.incarnation),
                                      state=entry.answer)
        if step is claims.ClaimAction.TAKE_OVER:
            yield from self._take_over(state, number, entry, name)
        elif (step is claims.ClaimAction.ATTACH and state.agent.phase(
                entry.row.attempt) is attempt_rules.AttemptPhase.DONE and
              state.agent.incarnation == entry.incarnation):
            attached = entry._replace(pc='record', claim=entry.row)
            yield f'{name} attaches', _with(state, number, attached)
        else:
            yield f'{name} reports unknown', _with(state, number,
                                                   _Entry(pc='ended'))

    def _take_over(self, state: _State, number: int, entry: _Entry,
                   name: str) -> _Successors:
        assert entry.claim is not None
        if self._rules.compares and state.version != entry.version:
            yield (f'{name} finds the claim changed',
                   _with(state, number, entry._replace(pc='read')))
            return
        written = _write(state, entry.claim)
        granted = entry._replace(pc='granted', version=written.version)
        yield f'{name} takes the claim over', _with(written, number, granted)
        yield from self._lost(state, written, number, entry, name)

    def _record(self, state: _State, number: int, entry: _Entry,
                name: str) -> _Successors:
        assert entry.claim is not None
        if state.version != entry.version:
            yield f'{name} finds it recorded', _with(state, number,
                                                     _Entry(pc='ended'))
            return
        done = dataclasses.replace(entry.claim,
                                   state=claims.ClaimState.DONE,
                                   outcome=claims.StoredResponse(200, (), b''))
        yield (f'{name} records the outcome',
               _with(_write(state, done), number, entry._replace(pc='confirm')))

    def _confirm(self, state: _State, number: int, entry: _Entry,
                 name: str) -> _Successors:
        assert entry.claim is not None
        phases = frozenset((attempt, phase)
                           for attempt, phase in state.agent.phases
                           if attempt != entry.claim.attempt)
        agent = state.agent._replace(phases=phases)
        yield f'{name} confirms', _with(state._replace(agent=agent), number,
                                        _Entry(pc='ended'))

    def _agent_steps(self, state: _State) -> _Successors:
        agent = state.agent
        for claim in sorted(state.begins, key=lambda c: c.attempt):
            yield from self._deliver(state, claim)
        for attempt, phase in sorted(agent.phases, key=str):
            if phase is attempt_rules.AttemptPhase.RUNNING:
                yield from self._finish(state, attempt)
            else:
                yield from self._adopt(state, attempt, phase)

    def _deliver(self, state: _State, claim: claims.Claim) -> _Successors:
        """A begin reaches the agent over the link that carries it."""
        agent = state.agent
        number = int(claim.session.split(':')[0])
        link_session = f'{number}:{agent.sessions[number]}'
        may_begin = self._rules.is_beginnable(bound_session=claim.session,
                                              link_session=link_session,
                                              is_sealed=(claim.attempt,
                                                         claim.session)
                                              in agent.sealed,
                                              phase=agent.phase(claim.attempt))
        state = state._replace(begins=state.begins - {claim})
        if may_begin:
            phases = agent.phases | {
                (claim.attempt, attempt_rules.AttemptPhase.RUNNING)
            }
            yield f'agent begins {claim.attempt}', state._replace(
                agent=agent._replace(phases=phases), ran=state.ran + 1)
        elif (claim.session == link_session and
              agent.phase(claim.attempt) is None):
            yield f'agent refuses {claim.attempt}', state._replace(
                told_not_run=state.told_not_run | {claim.attempt})

    def _finish(self, state: _State, attempt: str) -> _Successors:
        for phase in (attempt_rules.AttemptPhase.DONE,
                      attempt_rules.AttemptPhase.ENDED_UNKNOWN):
            kept = self._rules.must_be_kept(phase, repeatable=False)
            phases = state.agent.phases - {
                (attempt, attempt_rules.AttemptPhase.RUNNING)
            }
            if kept:
                phases |= {(attempt, phase)}
            after = state._replace(agent=state.agent._replace(phases=phases))
            for number, entry in enumerate(state.entries):
                if (entry.pc == 'waits' and entry.claim is not None and
                        entry.claim.attempt == attempt and
                        phase is attempt_rules.AttemptPhase.DONE):
                    after = _with(after, number, entry._replace(pc='record'))
            yield f'{attempt} ends {phase.value}', after

    def _adopt(self, state: _State, attempt: str,
               phase: attempt_rules.AttemptPhase) -> _Successors:
        """Some entry host reads the row of an outcome nobody confirmed."""
        rows = {'new': state.row}
        if state.version:
            rows['old'] = state.old_row
        for age, row in rows.items():
            if self._rules.has_ended(row):
                agent = state.agent._replace(phases=state.agent.phases -
                                             {(attempt, phase)})
                yield (f'the {age} row lets the agent forget {attempt}',
                       state._replace(agent=agent))

    def _faults(self, state: _State) -> _Successors:
        agent = state.agent
        if state.restarts < self._bounds.restarts:
            restarted = _Agent(incarnation=agent.incarnation + 1,
                               sessions=tuple(
                                   s + 1 if s else 0 for s in agent.sessions),
                               phases=frozenset(),
                               sealed=frozenset())
            yield 'agent restarts', state._replace(agent=restarted,
                                                   restarts=state.restarts + 1)
        if state.relinks < self._bounds.relinks:
            for number, session in enumerate(agent.sessions):
                sessions = list(agent.sessions)
                sessions[number] = session + 1
                sealed = frozenset(pair for pair in agent.sealed
                                   if pair[1] != f'{number}:{session}')
                yield f'link {number} is replaced', state._replace(
                    agent=agent._replace(sessions=tuple(sessions),
                                         sealed=sealed),
                    relinks=state.relinks + 1)


def _with(state: _State, number: int, entry: _Entry) -> _State:
    entries = list(state.entries)
    entries[number] = entry
    return state._replace(entries=tuple(entries))


def _write(state: _State, claim: claims.Claim) -> _State:
    return state._replace(row=claim,
                          version=state.version + 1,
                          old_row=state.row,
                          old_version=state.version)


def _runs_at_most_once(state: dict[str, int]) -> bool:
    return state['ran'] <= 1


def _replays_only_what_ran(state: dict[str, int]) -> bool:
    return not state['replayed'] or state['ran'] >= 1


def _not_run_is_true(state: dict[str, frozenset[str]]) -> bool:
    """What was refused as not run is neither running nor done."""
    agent = state['agent']
    assert isinstance(agent, _Agent)
    return all(
        agent.phase(attempt) is None for attempt in state['told_not_run'])


def specification(rules: Rules = Rules(), *,
                  large: bool = False) -> checking.Specification:
    """The claims protocol under the given rules."""
    bounds = _Bounds(restarts=1,
                     relinks=2 if large else 1,
                     losses=2 if large else 1)
    model = _Model(rules=rules, bounds=bounds)
    initial = _State(entries=(_Entry(), _Entry()),
                     agent=_Agent(incarnation=1,
                                  sessions=(1, 1),
                                  phases=frozenset(),
                                  sealed=frozenset()),
                     row=None,
                     version=0,
                     old_row=None,
                     old_version=0,
                     begins=frozenset(),
                     ran=0,
                     told_not_run=frozenset(),
                     replayed=False,
                     restarts=0,
                     relinks=0,
                     losses=0)
    return checking.Specification(
        name='claims',
        fields=_State._fields,
        initial=initial,
        transitions=lambda state: model.transitions(_State(*state)),
        invariants={
            'what may not be repeated runs at most once': _runs_at_most_once,
            'a kept outcome is of work that ran': _replays_only_what_ran,
            'what is refused as not run did not run': _not_run_is_true,
        })


def _first_step_without_seal(claim: claims.Claim | None, *, attempt: str,
                             digest: str) -> claims.ClaimAction:
    step = claims.initial_action(claim, attempt=attempt, digest=digest)
    return (claims.ClaimAction.TAKE_OVER
            if step is claims.ClaimAction.ASK_SEAL else step)


def _after_seal_of_any_incarnation(
        claim: claims.Claim, *, incarnation: str,
        state: messages.SealState | None) -> claims.ClaimAction:
    del incarnation
    return claims.action_after_seal(claim,
                                    incarnation=claim.incarnation,
                                    state=state)


def _begins_over_any_session(*, bound_session: str, link_session: str,
                             is_sealed: bool,
                             phase: attempt_rules.AttemptPhase | None) -> bool:
    del bound_session
    return attempt_rules.may_start(bound_session=link_session,
                                   link_session=link_session,
                                   is_sealed=is_sealed,
                                   phase=phase)


def _begins_though_sealed(*, bound_session: str, link_session: str,
                          is_sealed: bool,
                          phase: attempt_rules.AttemptPhase | None) -> bool:
    del is_sealed
    return attempt_rules.may_start(bound_session=bound_session,
                                   link_session=link_session,
                                   is_sealed=False,
                                   phase=phase)


def _never_kept(phase: attempt_rules.AttemptPhase, *, repeatable: bool) -> bool:
    del phase, repeatable
    return False


def _ended_when_missing(claim: claims.Claim | None) -> bool:
    return claim is None or claims.has_ended(claim)


MUTANTS: dict[str, Rules] = {
    'a lost answer of the table is taken for success':
        Rules(rereads=False),
    'a claim is taken over without a seal':
        Rules(first_step=_first_step_without_seal),
    'the incarnation is not compared':
        Rules(after_seal=_after_seal_of_any_incarnation),
    'an attempt begins over any session':
        Rules(is_beginnable=_begins_over_any_session),
    'a sealed attempt begins':
        Rules(is_beginnable=_begins_though_sealed),
    'the agent forgets what it finished':
        Rules(must_be_kept=_never_kept),
    'a missing row lets the agent forget':
        Rules(has_ended=_ended_when_missing),
    'a claim is replaced without comparing its version':
        Rules(compares=False),
}
