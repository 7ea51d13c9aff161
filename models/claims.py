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

    initial_action: Callable[..., claims.ClaimAction] = claims.initial_action
    action_after_seal: Callable[...,
                                claims.ClaimAction] = claims.action_after_seal
    may_start: Callable[..., bool] = attempt_rules.may_start
    seal_state: Callable[..., messages.SealState] = attempt_rules.seal_state
    must_be_retained: Callable[..., bool] = attempt_rules.must_be_retained
    has_ended: Callable[..., bool] = claims.has_ended
    reads_after_lost_response: bool = True
    checks_version: bool = True


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
    agent_seal_state: messages.SealState | None = None


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
    begin_messages: frozenset[claims.Claim]
    run_count: int
    rejected_as_not_run: frozenset[str]
    replayed: bool
    restarts: int
    reconnects: int
    lost_responses: int


_Successors = Iterator[tuple[str, _State]]


@dataclasses.dataclass(frozen=True)
class _Bounds:
    """How often each fault may happen."""

    restarts: int
    reconnects: int
    lost_responses: int


class _Model:
    """Successors of a state under a set of rules."""

    def __init__(self, *, rules: Rules, bounds: _Bounds) -> None:
        self._rules = rules
        self._bounds = bounds

    def transitions(self, state: _State) -> _Successors:
        """Every step that some part of the system may take."""
        for index, entry in enumerate(state.entries):
            yield from self._entry_steps(state, index, entry)
        yield from self._agent_steps(state)
        yield from self._fault_steps(state)

    def _entry_steps(self, state: _State, index: int,
                     entry: _Entry) -> _Successors:
        name = f'entry {index}'
        match entry.pc:
            case 'start':
                yield from self._create_claim(state, index, name)
            case 'insert':
                yield from self._insert_claim(state, index, entry, name)
            case 'read':
                yield from self._read_row(state, index, entry, name)
            case 'seal':
                yield from self._request_seal(state, index, entry, name)
            case 'after_seal':
                yield from self._after_seal(state, index, entry, name)
            case 'granted':
                assert entry.claim is not None
                after = state._replace(begin_messages=state.begin_messages |
                                       {entry.claim})
                yield (f'{name} sends begin',
                       _replace_entry(after, index, entry._replace(pc='waits')))
            case 'record':
                yield from self._record_response(state, index, entry, name)
            case 'confirm':
                yield from self._confirm_response(state, index, entry, name)
        if entry.pc not in ('dead', 'ended'):
            yield (f'{name} dies',
                   _replace_entry(state, index, _Entry(pc='dead')))

    def _create_claim(self, state: _State, index: int,
                      name: str) -> _Successors:
        session = state.agent.sessions[index]
        if not session:
            return
        claim = claims.Claim(attempt=f'a{index}',
                             host=_HOST,
                             incarnation=str(state.agent.incarnation),
                             session=f'{index}:{session}',
                             digest=_DIGEST)
        entry = _Entry(pc='insert', claim=claim)
        yield f'{name} chooses', _replace_entry(state, index, entry)

    def _insert_claim(self, state: _State, index: int, entry: _Entry,
                      name: str) -> _Successors:
        assert entry.claim is not None
        if state.row is not None:
            yield (f'{name} finds the key claimed',
                   _replace_entry(state, index, entry._replace(pc='read')))
            return
        written = _write_claim(state, entry.claim)
        granted = entry._replace(pc='granted', version=written.version)
        yield f'{name} claims', _replace_entry(written, index, granted)
        yield from self._lose_response(state, written, index, entry, name)

    def _lose_response(self, state: _State, written: _State, index: int,
                       entry: _Entry, name: str) -> _Successors:
        """The table's answer to a write is lost, with or without effect."""
        if state.lost_responses >= self._bounds.lost_responses:
            return
        pc = 'read' if self._rules.reads_after_lost_response else 'granted'
        for label, after in (('took effect', written), ('had none', state)):
            after = after._replace(lost_responses=state.lost_responses + 1)
            yield (f'{name} loses the answer to a write that {label}',
                   _replace_entry(after, index,
                                  entry._replace(pc=pc, version=after.version)))

    def _read_row(self, state: _State, index: int, entry: _Entry,
                  name: str) -> _Successors:
        assert entry.claim is not None
        rows = {('new', state.row, state.version)}
        if state.old_version:
            rows.add(('old', state.old_row, state.old_version))
        for age, row, version in sorted(rows, key=lambda item: item[0]):
            action = self._rules.initial_action(row,
                                                attempt=entry.claim.attempt,
                                                digest=_DIGEST)
            seen = entry._replace(row=row, version=version)
            label = f'{name} reads the {age} row: {action.value}'
            match action:
                case claims.ClaimAction.INSERT:
                    yield label, _replace_entry(state, index,
                                                seen._replace(pc='insert'))
                case claims.ClaimAction.BEGIN:
                    yield (label,
                           _replace_entry(state, index,
                                          seen._replace(pc='granted')))
                case claims.ClaimAction.REPLAY:
                    after = state._replace(replayed=True)
                    yield label, _replace_entry(after, index,
                                                _Entry(pc='ended'))
                case claims.ClaimAction.ASK_SEAL:
                    yield label, _replace_entry(state, index,
                                                seen._replace(pc='seal'))
                case claims.ClaimAction.TAKE_OVER:
                    yield from self._take_over(state, index, seen, label)
                case _:
                    yield label, _replace_entry(state, index,
                                                _Entry(pc='ended'))

    def _request_seal(self, state: _State, index: int, entry: _Entry,
                      name: str) -> _Successors:
        assert entry.row is not None
        unreplied = entry._replace(pc='after_seal', agent_seal_state=None)
        yield f'{name} gets no answer to its seal', _replace_entry(
            state, index, unreplied)
        agent = state.agent
        if not agent.sessions[index]:
            return
        phase = agent.phase(entry.row.attempt)
        owner, session = entry.row.session.split(':')
        if phase is None and agent.sessions[int(owner)] == int(session):
            sealed_attempt = (entry.row.attempt, entry.row.session)
            agent = agent._replace(sealed=agent.sealed | {sealed_attempt})
        replied = entry._replace(pc='after_seal',
                                 incarnation=agent.incarnation,
                                 agent_seal_state=self._rules.seal_state(phase))
        yield (f'{name} asks for a seal: {replied.agent_seal_state}',
               _replace_entry(state._replace(agent=agent), index, replied))

    def _after_seal(self, state: _State, index: int, entry: _Entry,
                    name: str) -> _Successors:
        assert entry.row is not None
        action = self._rules.action_after_seal(entry.row,
                                               incarnation=str(
                                                   entry.incarnation),
                                               state=entry.agent_seal_state)
        if action is claims.ClaimAction.TAKE_OVER:
            yield from self._take_over(state, index, entry, name)
        elif (action is claims.ClaimAction.ATTACH and state.agent.phase(
                entry.row.attempt) is attempt_rules.AttemptPhase.DONE and
              state.agent.incarnation == entry.incarnation):
            attached = entry._replace(pc='record', claim=entry.row)
            yield f'{name} attaches', _replace_entry(state, index, attached)
        else:
            yield f'{name} reports unknown', _replace_entry(
                state, index, _Entry(pc='ended'))

    def _take_over(self, state: _State, index: int, entry: _Entry,
                   name: str) -> _Successors:
        assert entry.claim is not None
        if self._rules.checks_version and state.version != entry.version:
            yield (f'{name} finds the claim changed',
                   _replace_entry(state, index, entry._replace(pc='read')))
            return
        written = _write_claim(state, entry.claim)
        granted = entry._replace(pc='granted', version=written.version)
        yield f'{name} takes the claim over', _replace_entry(
            written, index, granted)
        yield from self._lose_response(state, written, index, entry, name)

    def _record_response(self, state: _State, index: int, entry: _Entry,
                         name: str) -> _Successors:
        assert entry.claim is not None
        if state.version != entry.version:
            yield f'{name} finds it recorded', _replace_entry(
                state, index, _Entry(pc='ended'))
            return
        done = dataclasses.replace(entry.claim,
                                   state=claims.ClaimState.DONE,
                                   outcome=claims.StoredResponse(200, (), b''))
        yield (f'{name} records the outcome',
               _replace_entry(_write_claim(state, done), index,
                              entry._replace(pc='confirm')))

    def _confirm_response(self, state: _State, index: int, entry: _Entry,
                          name: str) -> _Successors:
        assert entry.claim is not None
        phases = frozenset((attempt, phase)
                           for attempt, phase in state.agent.phases
                           if attempt != entry.claim.attempt)
        agent = state.agent._replace(phases=phases)
        yield f'{name} confirms', _replace_entry(state._replace(agent=agent),
                                                 index, _Entry(pc='ended'))

    def _agent_steps(self, state: _State) -> _Successors:
        agent = state.agent
        for claim in sorted(state.begin_messages, key=lambda c: c.attempt):
            yield from self._deliver_begin(state, claim)
        for attempt, phase in sorted(agent.phases, key=str):
            if phase is attempt_rules.AttemptPhase.RUNNING:
                yield from self._finish(state, attempt)
            else:
                yield from self._release_retained(state, attempt, phase)

    def _deliver_begin(self, state: _State, claim: claims.Claim) -> _Successors:
        """A begin reaches the agent over the link that carries it."""
        agent = state.agent
        index = int(claim.session.split(':')[0])
        link_session = f'{index}:{agent.sessions[index]}'
        is_startable = self._rules.may_start(bound_session=claim.session,
                                             link_session=link_session,
                                             is_sealed=(claim.attempt,
                                                        claim.session)
                                             in agent.sealed,
                                             phase=agent.phase(claim.attempt))
        state = state._replace(begin_messages=state.begin_messages - {claim})
        if is_startable:
            phases = agent.phases | {
                (claim.attempt, attempt_rules.AttemptPhase.RUNNING)
            }
            yield f'agent begins {claim.attempt}', state._replace(
                agent=agent._replace(phases=phases),
                run_count=state.run_count + 1)
        elif (claim.session == link_session and
              agent.phase(claim.attempt) is None):
            yield f'agent refuses {claim.attempt}', state._replace(
                rejected_as_not_run=state.rejected_as_not_run | {claim.attempt})

    def _finish(self, state: _State, attempt: str) -> _Successors:
        for phase in (attempt_rules.AttemptPhase.DONE,
                      attempt_rules.AttemptPhase.ENDED_UNKNOWN):
            is_retained = self._rules.must_be_retained(phase, repeatable=False)
            phases = state.agent.phases - {
                (attempt, attempt_rules.AttemptPhase.RUNNING)
            }
            if is_retained:
                phases |= {(attempt, phase)}
            after = state._replace(agent=state.agent._replace(phases=phases))
            for index, entry in enumerate(state.entries):
                if (entry.pc == 'waits' and entry.claim is not None and
                        entry.claim.attempt == attempt and
                        phase is attempt_rules.AttemptPhase.DONE):
                    after = _replace_entry(after, index,
                                           entry._replace(pc='record'))
            yield f'{attempt} ends {phase.value}', after

    def _release_retained(self, state: _State, attempt: str,
                          phase: attempt_rules.AttemptPhase) -> _Successors:
        """Some entry host reads the row of an outcome nobody confirmed."""
        rows = {'new': state.row}
        if state.version:
            rows['stale'] = state.old_row
        for age, row in rows.items():
            if self._rules.has_ended(row):
                agent = state.agent._replace(phases=state.agent.phases -
                                             {(attempt, phase)})
                yield (f'the {age} row lets the agent forget {attempt}',
                       state._replace(agent=agent))

    def _fault_steps(self, state: _State) -> _Successors:
        agent = state.agent
        if state.restarts < self._bounds.restarts:
            restarted = _Agent(incarnation=agent.incarnation + 1,
                               sessions=tuple(
                                   s + 1 if s else 0 for s in agent.sessions),
                               phases=frozenset(),
                               sealed=frozenset())
            yield 'agent restarts', state._replace(agent=restarted,
                                                   restarts=state.restarts + 1)
        if state.reconnects < self._bounds.reconnects:
            for index, session in enumerate(agent.sessions):
                sessions = list(agent.sessions)
                sessions[index] = session + 1
                sealed = frozenset(
                    sealed_attempt for sealed_attempt in agent.sealed
                    if sealed_attempt[1] != f'{index}:{session}')
                yield f'link {index} is replaced', state._replace(
                    agent=agent._replace(sessions=tuple(sessions),
                                         sealed=sealed),
                    reconnects=state.reconnects + 1)


def _replace_entry(state: _State, index: int, entry: _Entry) -> _State:
    entries = list(state.entries)
    entries[index] = entry
    return state._replace(entries=tuple(entries))


def _write_claim(state: _State, claim: claims.Claim) -> _State:
    return state._replace(row=claim,
                          version=state.version + 1,
                          old_row=state.row,
                          old_version=state.version)


def _has_run_at_most_once(state: dict[str, int]) -> bool:
    return state['run_count'] <= 1


def _replay_implies_run(state: dict[str, int]) -> bool:
    return not state['replayed'] or state['run_count'] >= 1


def _rejected_attempts_did_not_run(state: dict[str, frozenset[str]]) -> bool:
    """What was refused as not run is neither running nor done."""
    agent = state['agent']
    assert isinstance(agent, _Agent)
    return all(
        agent.phase(attempt) is None
        for attempt in state['rejected_as_not_run'])


def specification(rules: Rules = Rules(), *,
                  large: bool = False) -> checking.Specification:
    """The claims protocol under the given rules."""
    bounds = _Bounds(restarts=1,
                     reconnects=2 if large else 1,
                     lost_responses=2 if large else 1)
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
                     begin_messages=frozenset(),
                     run_count=0,
                     rejected_as_not_run=frozenset(),
                     replayed=False,
                     restarts=0,
                     reconnects=0,
                     lost_responses=0)
    return checking.Specification(
        name='claims',
        fields=_State._fields,
        initial=initial,
        transitions=lambda state: model.transitions(_State(*state)),
        invariants={
            'what may not be repeated runs at most once':
                _has_run_at_most_once,
            'a kept outcome is of work that ran':
                _replay_implies_run,
            'what is refused as not run did not run':
                _rejected_attempts_did_not_run,
        })


def _initial_action_without_seal(claim: claims.Claim | None, *, attempt: str,
                                 digest: str) -> claims.ClaimAction:
    action = claims.initial_action(claim, attempt=attempt, digest=digest)
    return (claims.ClaimAction.TAKE_OVER
            if action is claims.ClaimAction.ASK_SEAL else action)


def _action_after_seal_of_any_incarnation(
        claim: claims.Claim, *, incarnation: str,
        state: messages.SealState | None) -> claims.ClaimAction:
    del incarnation
    return claims.action_after_seal(claim,
                                    incarnation=claim.incarnation,
                                    state=state)


def _may_start_over_any_session(
        *, bound_session: str, link_session: str, is_sealed: bool,
        phase: attempt_rules.AttemptPhase | None) -> bool:
    del bound_session
    return attempt_rules.may_start(bound_session=link_session,
                                   link_session=link_session,
                                   is_sealed=is_sealed,
                                   phase=phase)


def _may_start_when_sealed(*, bound_session: str, link_session: str,
                           is_sealed: bool,
                           phase: attempt_rules.AttemptPhase | None) -> bool:
    del is_sealed
    return attempt_rules.may_start(bound_session=bound_session,
                                   link_session=link_session,
                                   is_sealed=False,
                                   phase=phase)


def _never_retained(phase: attempt_rules.AttemptPhase, *,
                    repeatable: bool) -> bool:
    del phase, repeatable
    return False


def _ended_when_missing(claim: claims.Claim | None) -> bool:
    return claim is None or claims.has_ended(claim)


MUTANTS: dict[str, Rules] = {
    'a lost answer of the table is taken for success':
        Rules(reads_after_lost_response=False),
    'a claim is taken over without a seal':
        Rules(initial_action=_initial_action_without_seal),
    'the incarnation is not compared':
        Rules(action_after_seal=_action_after_seal_of_any_incarnation),
    'an attempt begins over any session':
        Rules(may_start=_may_start_over_any_session),
    'a sealed attempt begins':
        Rules(may_start=_may_start_when_sealed),
    'the agent forgets what it finished':
        Rules(must_be_retained=_never_retained),
    'a missing row lets the agent forget':
        Rules(has_ended=_ended_when_missing),
    'a claim is replaced without comparing its version':
        Rules(checks_version=False),
}
