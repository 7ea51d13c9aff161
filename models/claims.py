"""Model of the claims that make requests run at most once.

Two entry hosts process requests with the same idempotency key. They claim the
key in a table and send a begin message to an agent, which may restart.

The faults are:
    - A message on a link may be delayed. It is delivered at most once, and is
      lost when the session of the link ends.
    - The response to a table write may be lost, whether or not the write took
      effect.
    - A read of the table may return the row before the last write.
    - An entry host may crash at any step.

A paused process is a process that takes no step while the others do. The
invariants are that a non-idempotent request runs at most once, that only the
response of a request that ran is replayed, and that an attempt that the agent
rejected as not run did not run.
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
    """Decision functions of pollenthread, one of which a mutant replaces.

    Attributes:
        initial_action: selects the action of an entry host for a row.
        action_after_seal: selects its action for the agent's seal state.
        may_start: whether an agent may start an attempt.
        seal_state: the agent's reply to a seal request.
        must_be_retained: whether an agent must retain an ended attempt.
        has_ended: whether a row proves that an agent may discard an attempt.
        reads_after_lost_response: whether an entry host reads the row when
            the response to its write is lost, rather than assume success.
        checks_version: whether a write requires that the row still has the
            version that it replaces.
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
    """One entry host, which processes one request with the key.

    Attributes:
        pc: program counter; names the next step.
        claim: the claim that the entry host writes.
        row: the row that it read last.
        version: version of that row, or of its own claim.
        incarnation: incarnation of the agent that replied to the seal request.
        agent_seal_state: the reply to the seal request, or None without one.
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
        incarnation: increases with each restart.
        sessions: the open session of each entry host; 0 when closed.
        phases: the attempts that the agent knows, each with its phase.
        sealed: sealed attempts, each with its session.
    """

    incarnation: int
    sessions: tuple[int, ...]
    phases: frozenset[tuple[str, attempt_rules.AttemptPhase]]
    sealed: frozenset[tuple[str, str]]

    def phase(self, attempt: str) -> attempt_rules.AttemptPhase | None:
        """Returns the phase of an attempt, or None if it is unknown."""
        return dict(self.phases).get(attempt)


class _State(NamedTuple):
    """State of the whole system.

    Attributes:
        entries: the entry hosts.
        agent: the agent.
        row: current row of the key in the table.
        version: version of the row; 0 before the first write.
        old_row: the row before the last write.
        old_version: version of `old_row`.
        begin_messages: claims whose begin messages are in flight.
        run_count: number of attempts that were started.
        rejected_as_not_run: attempts that the agent rejected as not run.
        replayed: whether an entry host replayed a stored response.
        restarts: number of agent restarts so far.
        reconnects: number of replaced links so far.
        lost_responses: number of lost table responses so far.
    """

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
    """Maximum number of times that each fault happens.

    Attributes:
        restarts: restarts of the agent.
        reconnects: replacements of a link.
        lost_responses: lost responses to table writes.
    """

    restarts: int
    reconnects: int
    lost_responses: int


class _Model:
    """Computes the successors of a state under a set of rules."""

    def __init__(self, *, rules: Rules, bounds: _Bounds) -> None:
        self._rules = rules
        self._bounds = bounds

    def transitions(self, state: _State) -> _Successors:
        """Yields the label and the resulting state of each possible step."""
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
            yield (f'{name} crashes',
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
        yield f'{name} creates a claim', _replace_entry(state, index, entry)

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
        """Loses the response to a write that did or did not take effect."""
        if state.lost_responses >= self._bounds.lost_responses:
            return
        pc = 'read' if self._rules.reads_after_lost_response else 'granted'
        for label, after in (('took effect', written), ('had no effect',
                                                        state)):
            after = after._replace(lost_responses=state.lost_responses + 1)
            yield (f'{name} loses the response to a write that {label}',
                   _replace_entry(after, index,
                                  entry._replace(pc=pc, version=after.version)))

    def _read_row(self, state: _State, index: int, entry: _Entry,
                  name: str) -> _Successors:
        assert entry.claim is not None
        rows = {('current', state.row, state.version)}
        if state.old_version:
            rows.add(('stale', state.old_row, state.old_version))
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
        yield f'{name} gets no reply to its seal request', _replace_entry(
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
        yield (f'{name} gets a seal state: {replied.agent_seal_state}',
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
            yield f'{name} attaches to the attempt', _replace_entry(
                state, index, attached)
        else:
            yield f'{name} reports an unknown result', _replace_entry(
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
        yield f'{name} takes over the claim', _replace_entry(
            written, index, granted)
        yield from self._lose_response(state, written, index, entry, name)

    def _record_response(self, state: _State, index: int, entry: _Entry,
                         name: str) -> _Successors:
        assert entry.claim is not None
        if state.version != entry.version:
            yield f'{name} finds the response recorded', _replace_entry(
                state, index, _Entry(pc='ended'))
            return
        done = dataclasses.replace(entry.claim,
                                   state=claims.ClaimState.DONE,
                                   outcome=claims.StoredResponse(200, (), b''))
        yield (f'{name} records the response',
               _replace_entry(_write_claim(state, done), index,
                              entry._replace(pc='confirm')))

    def _confirm_response(self, state: _State, index: int, entry: _Entry,
                          name: str) -> _Successors:
        assert entry.claim is not None
        phases = frozenset((attempt, phase)
                           for attempt, phase in state.agent.phases
                           if attempt != entry.claim.attempt)
        agent = state.agent._replace(phases=phases)
        yield f'{name} confirms the response', _replace_entry(
            state._replace(agent=agent), index, _Entry(pc='ended'))

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
        """Delivers a begin message to the agent."""
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
            yield f'agent starts {claim.attempt}', state._replace(
                agent=agent._replace(phases=phases),
                run_count=state.run_count + 1)
        elif (claim.session == link_session and
              agent.phase(claim.attempt) is None):
            yield f'agent rejects {claim.attempt}', state._replace(
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
            yield f'{attempt} ends as {phase.value}', after

    def _release_retained(self, state: _State, attempt: str,
                          phase: attempt_rules.AttemptPhase) -> _Successors:
        """Some entry host reads the row of an unconfirmed attempt.

        The agent discards the attempt if the row proves that it may.
        """
        rows = {'current': state.row}
        if state.version:
            rows['stale'] = state.old_row
        for age, row in rows.items():
            if self._rules.has_ended(row):
                agent = state.agent._replace(phases=state.agent.phases -
                                             {(attempt, phase)})
                yield (f'the {age} row lets the agent discard {attempt}',
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
    """Whether rejected attempts are neither running nor ended."""
    agent = state['agent']
    assert isinstance(agent, _Agent)
    return all(
        agent.phase(attempt) is None
        for attempt in state['rejected_as_not_run'])


def specification(rules: Rules = Rules(), *,
                  large: bool = False) -> checking.Specification:
    """Returns the specification of the claims protocol.

    Args:
        rules: the decision functions.
        large: whether to use the larger bounds.
    """
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
            'a non-idempotent request runs at most once':
                _has_run_at_most_once,
            'only the response of a request that ran is replayed':
                _replay_implies_run,
            'an attempt rejected as not run did not run':
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
