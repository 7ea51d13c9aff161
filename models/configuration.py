"""Model of the distribution of configuration versions.

Two operators each read the newest version and publish a change of it. Two
hosts, which start without a configuration, receive versions from the table
and from each other. A read of the table may return the version before the
newest, and the response to a publication may be lost.

The invariants are that the version of a host never decreases, that an accepted
version is never replaced, and that a host with a proof of freshness has every
version that was accepted before the time of the proof.
"""

import dataclasses
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from models import checking
from pollenthread.core import config_freshness

__all__ = ['MUTANTS', 'Rules', 'specification']


@dataclasses.dataclass(frozen=True)
class Rules:
    """Decision functions of pollenthread, one of which a mutant replaces.

    Attributes:
        may_adopt: whether a host may apply an offered version.
        merge_proof: merges a proof into the freshness that a host knows.
        peer_proof_time: time by the own clock at which the version of a peer
            was the newest.
        checks_version: whether a publication requires that the version that
            it changes is still the newest.
        reads_after_lost_response: whether an operator reads the table when
            the response to a publication is lost, rather than assume success.
    """

    may_adopt: Callable[[int, int], bool] = config_freshness.may_apply
    merge_proof: Callable[
        ..., config_freshness.ConfigFreshness] = config_freshness.merge_proof
    peer_proof_time: Callable[..., float] = config_freshness.peer_proof_time
    checks_version: bool = True
    reads_after_lost_response: bool = True


class _Operator(NamedTuple):
    """One operator.

    Attributes:
        pc: program counter; names the next step.
        base: the version that the operator changes.
    """

    pc: str = 'reads'
    base: int = 0


class _PeerReply(NamedTuple):
    """A peer's reply in flight.

    Attributes:
        host: index of the host that asked.
        asked_at: time of the question in ticks.
        version: version of the peer.
        age: age of the peer's proof in ticks.
    """

    host: int
    asked_at: int
    version: int
    age: int


class _State(NamedTuple):
    """State of the whole system.

    Attributes:
        now: time in ticks.
        authors: operator that wrote each version, from version 1 on.
        accepted_at: time at which each version was written, in ticks.
        operators: the operators.
        accepted: operators that got a success, each with its version.
        hosts: the version of each host and its proof.
        peer_replies: replies between hosts that are in flight.
        has_version_decreased: whether a host applied a lower version.
        lost_responses: number of lost responses so far.
        stale_reads: number of stale reads so far.
    """

    now: int
    authors: tuple[int, ...]
    accepted_at: tuple[int, ...]
    operators: tuple[_Operator, ...]
    accepted: frozenset[tuple[int, int]]
    hosts: tuple[config_freshness.ConfigFreshness, ...]
    peer_replies: frozenset[_PeerReply]
    has_version_decreased: bool
    lost_responses: int
    stale_reads: int


_Successors = Iterator[tuple[str, _State]]


class _Model:
    """Computes the successors of a state under a set of rules."""

    def __init__(self, *, rules: Rules, max_ticks: int,
                 max_stale_reads: int) -> None:
        self._rules = rules
        self._max_ticks = max_ticks
        self._max_stale_reads = max_stale_reads

    def transitions(self, state: _State) -> _Successors:
        """Yields the label and the resulting state of each possible step."""
        if state.now < self._max_ticks:
            yield 'one tick elapses', state._replace(now=state.now + 1)
        for index, operator in enumerate(state.operators):
            yield from self._operator_steps(state, index, operator)
        for index in range(len(state.hosts)):
            yield from self._read_steps(state, index)
            yield from self._peer_reply_steps(state, index)
        for reply in sorted(state.peer_replies):
            after = state._replace(peer_replies=state.peer_replies - {reply})
            proved_at = self._rules.peer_proof_time(asked_at=reply.asked_at,
                                                    age_s=reply.age)
            yield (
                f'host {reply.host} gets version {reply.version} from a peer',
                self._record_version(after, reply.host, reply.version,
                                     proved_at))

    def _operator_steps(self, state: _State, index: int,
                        operator: _Operator) -> _Successors:
        name = f'operator {index}'
        newest = len(state.authors)
        if operator.pc == 'reads':
            writes = _Operator('writes', newest)
            yield f'{name} reads version {newest}', _replace_operator(
                state, index, writes)
        elif operator.pc == 'writes':
            yield from self._publish_steps(state, index, operator)
        elif operator.pc == 'resolves':
            version = operator.base + 1
            is_own_write = newest >= version and state.authors[version -
                                                               1] == index
            accepted = {(index, version)} if is_own_write else set()
            verdict = 'accepted' if is_own_write else 'conflict'
            yield f'{name} reads the result: {verdict}', _replace_operator(
                state._replace(accepted=state.accepted | accepted), index,
                _Operator('ended'))

    def _publish_steps(self, state: _State, index: int,
                       operator: _Operator) -> _Successors:
        name = f'operator {index}'
        version = operator.base + 1
        if len(state.authors) != operator.base and self._rules.checks_version:
            yield f'{name} gets a conflict', _replace_operator(
                state, index, _Operator('ended'))
            return
        written = state._replace(
            authors=(*state.authors[:operator.base], index),
            accepted_at=(*state.accepted_at[:operator.base], state.now))
        succeeded = written._replace(accepted=written.accepted |
                                     {(index, version)})
        yield f'{name} publishes version {version}', _replace_operator(
            succeeded, index, _Operator('ended'))
        if state.lost_responses:
            return
        pc = 'resolves' if self._rules.reads_after_lost_response else 'ended'
        for label, after in (('took effect', written), ('had no effect',
                                                        state)):
            after = after._replace(lost_responses=1)
            if not self._rules.reads_after_lost_response:
                after = after._replace(accepted=after.accepted |
                                       {(index, version)})
            yield (f'{name} loses the response to a write that {label}',
                   _replace_operator(after, index, operator._replace(pc=pc)))

    def _read_steps(self, state: _State, index: int) -> _Successors:
        newest = len(state.authors)
        yield f'host {index} reads version {newest}', self._record_version(
            state, index, newest, state.now)
        if newest and state.stale_reads < self._max_stale_reads:
            # The stale version was newest until the newest one was accepted.
            proved_at = state.accepted_at[newest - 1]
            yield (f'host {index} reads stale version {newest - 1}',
                   self._record_version(
                       state._replace(stale_reads=state.stale_reads + 1), index,
                       newest - 1, proved_at))

    def _peer_reply_steps(self, state: _State, index: int) -> _Successors:
        for peer, known in enumerate(state.hosts):
            age = known.age_s(state.now)
            if peer == index or age is None:
                continue
            for asked_at in range(state.now + 1):
                reply = _PeerReply(index, asked_at, known.version, int(age))
                if len(state.peer_replies) < 1:
                    yield (f'host {peer} replies to host {index}',
                           state._replace(peer_replies=state.peer_replies |
                                          {reply}))

    def _record_version(self, state: _State, index: int, version: int,
                        proved_at: float) -> _State:
        known = state.hosts[index]
        merged = self._rules.merge_proof(known,
                                         version=version,
                                         proved_at=proved_at)
        if not self._rules.may_adopt(known.version, merged.version):
            merged = dataclasses.replace(merged, version=known.version)
        hosts = list(state.hosts)
        hosts[index] = merged
        return state._replace(
            hosts=tuple(hosts),
            has_version_decreased=state.has_version_decreased or
            merged.version < known.version)


def _replace_operator(state: _State, index: int, operator: _Operator) -> _State:
    operators = list(state.operators)
    operators[index] = operator
    return state._replace(operators=tuple(operators))


def _versions_never_decrease(state: dict[str, Any]) -> bool:
    return not state['has_version_decreased']


def _accepted_versions_stay(state: dict[str, Any]) -> bool:
    authors = state['authors']
    return all(
        len(authors) >= version and authors[version - 1] == operator
        for operator, version in state['accepted'])


def _proofs_are_true(state: dict[str, Any]) -> bool:
    """Whether each host has the versions accepted before its proof."""
    return all(host.proved_at is None or all(
        version <= host.version
        for version, at in enumerate(state['accepted_at'], start=1)
        if at < host.proved_at)
               for host in state['hosts'])


def specification(rules: Rules = Rules(), *,
                  large: bool = False) -> checking.Specification:
    """Returns the specification of the configuration distribution.

    Args:
        rules: the decision functions.
        large: whether to use the larger bounds.
    """
    model = _Model(rules=rules, max_ticks=2 if large else 1, max_stale_reads=1)
    return checking.Specification(
        name='configuration',
        fields=_State._fields,
        initial=_State(now=0,
                       authors=(),
                       accepted_at=(),
                       operators=(_Operator(), _Operator()),
                       accepted=frozenset(),
                       hosts=(config_freshness.ConfigFreshness(),) * 2,
                       peer_replies=frozenset(),
                       has_version_decreased=False,
                       lost_responses=0,
                       stale_reads=0),
        transitions=lambda state: model.transitions(_State(*state)),
        invariants={
            'the version of a host never decreases':
                _versions_never_decrease,
            'an accepted version is never replaced':
                _accepted_versions_stay,
            'a host has all versions accepted before its proof':
                _proofs_are_true,
        })


def _apply_any_version(current: int, offered: int) -> bool:
    del current, offered
    return True


def _accept_any_proof(known: config_freshness.ConfigFreshness, *, version: int,
                      proved_at: float) -> config_freshness.ConfigFreshness:
    del known
    return config_freshness.ConfigFreshness(version, proved_at)


def _merge_old_proof(known: config_freshness.ConfigFreshness, *, version: int,
                     proved_at: float) -> config_freshness.ConfigFreshness:
    """Applies the proof of an older version to a newer one."""
    return config_freshness.merge_proof(known,
                                        version=max(version, known.version),
                                        proved_at=proved_at)


def _proof_time_without_age(*, asked_at: float, age_s: float) -> float:
    del age_s
    return asked_at


MUTANTS: dict[str, Rules] = {
    'a lower version is adopted':
        Rules(may_adopt=_apply_any_version, merge_proof=_accept_any_proof),
    'a peer\'s proof is taken as new':
        Rules(peer_proof_time=_proof_time_without_age),
    'a version is published without comparing':
        Rules(checks_version=False),
    'a lost answer is taken for success':
        Rules(reads_after_lost_response=False),
}
