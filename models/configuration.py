"""Configuration: two operators, old reads, lost answers, a fresh host.

Operator 0 and operator 1 each change the version that they have read. Hosts
take versions from the table, whose reads may be old, and from each other.
"""

import dataclasses
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from models import checking
from pollenthread.core import config_freshness

__all__ = ['MUTANTS', 'Rules', 'specification']


@dataclasses.dataclass(frozen=True)
class Rules:
    """The project's decisions; a mutant replaces one of them.

    Attributes:
        may_adopt: whether a version may come into force.
        merge: what a proof adds to what a host knows.
        proof_from_peer: when a peer's version was newest, by the own clock.
        compares: whether a publication names the version that it follows.
        rereads: whether a lost answer to a publication is settled by reading.
    """

    may_adopt: Callable[[int, int], bool] = config_freshness.may_apply
    merge: Callable[
        ..., config_freshness.ConfigFreshness] = config_freshness.merge_proof
    proof_from_peer: Callable[..., float] = config_freshness.peer_proof_time
    compares: bool = True
    rereads: bool = True


class _Operator(NamedTuple):
    """One operator: what it does next, and on which version."""

    pc: str = 'reads'
    base: int = 0


class _Give(NamedTuple):
    """A peer's answer on its way: its version and the age of its proof."""

    to: int
    asked_at: int
    version: int
    age: int


class _State(NamedTuple):
    """The whole system.

    Attributes:
        now: time in ticks.
        authors: who wrote each version, from version 1 on.
        accepted_at: when each version was written.
        operators: the operators.
        accepted: operators that were told of success, with their versions.
        hosts: what each host knows.
        gives: answers of peers on their way.
        has_fallen: whether a host went back to a lower version.
        losses: lost answers so far.
        old_reads: old reads so far.
    """

    now: int
    authors: tuple[int, ...]
    accepted_at: tuple[int, ...]
    operators: tuple[_Operator, ...]
    accepted: frozenset[tuple[int, int]]
    hosts: tuple[config_freshness.ConfigFreshness, ...]
    gives: frozenset[_Give]
    has_fallen: bool
    losses: int
    old_reads: int


_Successors = Iterator[tuple[str, _State]]


class _Model:
    """Successors of a state under a set of rules."""

    def __init__(self, *, rules: Rules, max_ticks: int, old_reads: int) -> None:
        self._rules = rules
        self._max_ticks = max_ticks
        self._old_reads = old_reads

    def transitions(self, state: _State) -> _Successors:
        """Every step that some part of the system may take."""
        if state.now < self._max_ticks:
            yield 'time passes', state._replace(now=state.now + 1)
        for number, operator in enumerate(state.operators):
            yield from self._operate(state, number, operator)
        for number in range(len(state.hosts)):
            yield from self._read(state, number)
            yield from self._ask(state, number)
        for give in sorted(state.gives):
            after = state._replace(gives=state.gives - {give})
            proved_at = self._rules.proof_from_peer(asked_at=give.asked_at,
                                                    age_s=give.age)
            yield (f'host {give.to} takes version {give.version} of a peer',
                   self._take(after, give.to, give.version, proved_at))

    def _operate(self, state: _State, number: int,
                 operator: _Operator) -> _Successors:
        name = f'operator {number}'
        newest = len(state.authors)
        if operator.pc == 'reads':
            writes = _Operator('writes', newest)
            yield f'{name} reads version {newest}', _with(state, number, writes)
        elif operator.pc == 'writes':
            yield from self._publish(state, number, operator)
        elif operator.pc == 'settles':
            version = operator.base + 1
            mine = newest >= version and state.authors[version - 1] == number
            told = {(number, version)} if mine else set()
            verdict = 'accepted' if mine else 'conflict'
            yield f'{name} settles: {verdict}', _with(
                state._replace(accepted=state.accepted | told), number,
                _Operator('ended'))

    def _publish(self, state: _State, number: int,
                 operator: _Operator) -> _Successors:
        name = f'operator {number}'
        version = operator.base + 1
        if len(state.authors) != operator.base and self._rules.compares:
            yield f'{name} gets a conflict', _with(state, number,
                                                   _Operator('ended'))
            return
        written = state._replace(
            authors=(*state.authors[:operator.base], number),
            accepted_at=(*state.accepted_at[:operator.base], state.now))
        told = written._replace(accepted=written.accepted | {(number, version)})
        yield f'{name} publishes version {version}', _with(
            told, number, _Operator('ended'))
        if state.losses:
            return
        pc = 'settles' if self._rules.rereads else 'ended'
        for label, after in (('took effect', written), ('had none', state)):
            after = after._replace(losses=1)
            if not self._rules.rereads:
                after = after._replace(accepted=after.accepted |
                                       {(number, version)})
            yield (f'{name} loses the answer to a write that {label}',
                   _with(after, number, operator._replace(pc=pc)))

    def _read(self, state: _State, number: int) -> _Successors:
        newest = len(state.authors)
        yield f'host {number} reads version {newest}', self._take(
            state, number, newest, state.now)
        if newest and state.old_reads < self._old_reads:
            # The read is as old as the version after it.
            proved_at = state.accepted_at[newest - 1]
            yield f'host {number} reads old version {newest - 1}', self._take(
                state._replace(old_reads=state.old_reads + 1), number,
                newest - 1, proved_at)

    def _ask(self, state: _State, number: int) -> _Successors:
        for peer, known in enumerate(state.hosts):
            age = known.age_s(state.now)
            if peer == number or age is None:
                continue
            for asked_at in range(state.now + 1):
                give = _Give(number, asked_at, known.version, int(age))
                if len(state.gives) < 1:
                    yield f'host {peer} answers host {number}', state._replace(
                        gives=state.gives | {give})

    def _take(self, state: _State, number: int, version: int,
              proved_at: float) -> _State:
        known = state.hosts[number]
        merged = self._rules.merge(known, version=version, proved_at=proved_at)
        if not self._rules.may_adopt(known.version, merged.version):
            merged = dataclasses.replace(merged, version=known.version)
        hosts = list(state.hosts)
        hosts[number] = merged
        return state._replace(hosts=tuple(hosts),
                              has_fallen=state.has_fallen or
                              merged.version < known.version)


def _with(state: _State, number: int, operator: _Operator) -> _State:
    operators = list(state.operators)
    operators[number] = operator
    return state._replace(operators=tuple(operators))


def _never_falls(state: dict[str, Any]) -> bool:
    return not state['has_fallen']


def _accepted_stays(state: dict[str, Any]) -> bool:
    authors = state['authors']
    return all(
        len(authors) >= version and authors[version - 1] == operator
        for operator, version in state['accepted'])


def _proofs_are_true(state: dict[str, Any]) -> bool:
    """A host knows every version that was accepted before its proof."""
    return all(host.proved_at is None or all(
        version <= host.version
        for version, at in enumerate(state['accepted_at'], start=1)
        if at < host.proved_at)
               for host in state['hosts'])


def specification(rules: Rules = Rules(), *,
                  large: bool = False) -> checking.Specification:
    """Configuration under the given rules."""
    model = _Model(rules=rules, max_ticks=2 if large else 1, old_reads=1)
    return checking.Specification(
        name='configuration',
        fields=_State._fields,
        initial=_State(now=0,
                       authors=(),
                       accepted_at=(),
                       operators=(_Operator(), _Operator()),
                       accepted=frozenset(),
                       hosts=(config_freshness.ConfigFreshness(),) * 2,
                       gives=frozenset(),
                       has_fallen=False,
                       losses=0,
                       old_reads=0),
        transitions=lambda state: model.transitions(_State(*state)),
        invariants={
            'versions never fall at a host': _never_falls,
            'an accepted version is never replaced': _accepted_stays,
            'a proof of freshness is true': _proofs_are_true,
        })


def _adopt_anything(current: int, offered: int) -> bool:
    del current, offered
    return True


def _merge_anything(known: config_freshness.ConfigFreshness, *, version: int,
                    proved_at: float) -> config_freshness.ConfigFreshness:
    del known
    return config_freshness.ConfigFreshness(version, proved_at)


def _merge_old_proof(known: config_freshness.ConfigFreshness, *, version: int,
                     proved_at: float) -> config_freshness.ConfigFreshness:
    """Lets a proof of an older version refresh a newer one."""
    return config_freshness.merge_proof(known,
                                        version=max(version, known.version),
                                        proved_at=proved_at)


def _proof_from_answer(*, asked_at: float, age_s: float) -> float:
    del age_s
    return asked_at


MUTANTS: dict[str, Rules] = {
    'a lower version is adopted':
        Rules(may_adopt=_adopt_anything, merge=_merge_anything),
    'a peer\'s proof is taken as new':
        Rules(proof_from_peer=_proof_from_answer),
    'a version is published without comparing':
        Rules(compares=False),
    'a lost answer is taken for success':
        Rules(rereads=False),
}
