"""Model of hosts that follow a store which may come back from an older copy.

The store has one row, which the operator writes, and a counter, which other
writes advance too. At any time it may be copied, and later come back from the
copy in a new era; then the operator writes again what was lost. Two hosts
follow the row with their own calls and with what the other one tells. Duties
are acquired by writes, whose versions are the fencing tokens.

The invariants are that a host which knows the store's version has its row,
that the era of a host never decreases, and that fencing tokens increase.
"""

import dataclasses
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from models import checking
from pollenthread.core import store_version

__all__ = ['MUTANTS', 'Rules', 'specification']

_Version = store_version.StoreVersion


def _is_newer(told: _Version, known: _Version) -> bool:
    return told > known


def _token(version: _Version) -> int:
    return version.token


@dataclasses.dataclass(frozen=True)
class Rules:
    """Decision functions of pollenthread, one of which a mutant replaces.

    Attributes:
        is_newer: whether a peer's version is newer than the own one.
        token: returns the fencing token of a write.
        compares_eras: whether a response of a later era than the version that
            a host asked from makes it read the table whole.
    """

    is_newer: Callable[[_Version, _Version], bool] = _is_newer
    token: Callable[[_Version], int] = _token
    compares_eras: bool = True


class _Row(NamedTuple):
    """The row.

    Attributes:
        value: number of the operator's change.
        counter: the store's counter at the write.
    """

    value: int
    counter: int


class _Copy(NamedTuple):
    """A copy of the store."""

    counter: int
    row: _Row


class _Host(NamedTuple):
    """What a host knows.

    Attributes:
        version: the version up to which it knows the row; None if it must read
            the table whole.
        value: the value of the row.
        newest_era: the latest era that it has known.
    """

    version: _Version | None = None
    value: int = 0
    newest_era: int = 0


class _State(NamedTuple):
    """State of the whole system.

    Attributes:
        era: the store's era.
        counter: the store's counter.
        row: the store's row.
        copy: a copy of the store, or None.
        written: the operator's newest value.
        hosts: the hosts.
        last_token: the fencing token given out last.
        has_token_decreased: whether a token was not greater than the last one.
        has_era_decreased: whether a host went back to an earlier era.
    """

    era: int
    counter: int
    row: _Row
    copy: _Copy | None
    written: int
    hosts: tuple[_Host, ...]
    last_token: int
    has_token_decreased: bool
    has_era_decreased: bool


_Successors = Iterator[tuple[str, _State]]


class _Model:
    """Computes the successors of a state under a set of rules."""

    def __init__(self, *, rules: Rules, max_counter: int, max_era: int,
                 max_value: int) -> None:
        self._rules = rules
        self._max_counter = max_counter
        self._max_era = max_era
        self._max_value = max_value

    def transitions(self, state: _State) -> _Successors:
        """Yields the label and the resulting state of each possible step."""
        if state.counter < self._max_counter:
            yield from self._write_steps(state)
        yield from self._copy_steps(state)
        for index, host in enumerate(state.hosts):
            yield f'host {index} calls the store', self._call(
                state, index, host)
            yield from self._peer_steps(state, index, host)

    def _write_steps(self, state: _State) -> _Successors:
        counter = state.counter + 1
        if state.row.value < state.written:
            yield 'the operator writes its newest value again', state._replace(
                counter=counter, row=_Row(state.written, counter))
        elif state.written < self._max_value:
            value = state.written + 1
            yield f'the operator writes value {value}', state._replace(
                counter=counter, row=_Row(value, counter), written=value)
        yield 'another row is written', state._replace(counter=counter)
        token = self._rules.token(_Version(state.era, counter))
        yield f'a duty is acquired with token {token}', state._replace(
            counter=counter,
            last_token=token,
            has_token_decreased=state.has_token_decreased or
            token <= state.last_token)

    def _copy_steps(self, state: _State) -> _Successors:
        if state.copy is None:
            yield 'the store is copied', state._replace(
                copy=_Copy(state.counter, state.row))
        elif state.era < self._max_era:
            yield 'the store comes back from the copy', state._replace(
                era=state.era + 1,
                counter=state.copy.counter,
                row=state.copy.row)

    def _call(self, state: _State, index: int, host: _Host) -> _State:
        """Makes one call: for changes, or for the whole table."""
        version = _Version(state.era, state.counter)
        after = host.version
        if after is None:
            found = host._replace(version=version, value=state.row.value)
        elif after.counter > state.counter or (self._rules.compares_eras and
                                               after.era < version.era):
            found = host._replace(version=None)
        elif state.row.counter > after.counter:
            found = host._replace(version=version, value=state.row.value)
        else:
            found = host._replace(version=version)
        return _replace_host(state, index, found)

    def _peer_steps(self, state: _State, index: int,
                    host: _Host) -> _Successors:
        peer = state.hosts[1 - index]
        if peer.version is None:
            return
        known = host.version or store_version.START
        if self._rules.is_newer(peer.version, known):
            found = host._replace(version=peer.version, value=peer.value)
            yield f'host {index} takes what its peer tells', _replace_host(
                state, index, found)


def _replace_host(state: _State, index: int, host: _Host) -> _State:
    has_decreased = False
    if host.version is not None:
        has_decreased = host.version.era < host.newest_era
        host = host._replace(newest_era=max(host.newest_era, host.version.era))
    hosts = list(state.hosts)
    hosts[index] = host
    return state._replace(hosts=tuple(hosts),
                          has_era_decreased=state.has_era_decreased or
                          has_decreased)


def _has_row_of_version(state: dict[str, Any]) -> bool:
    version = _Version(state['era'], state['counter'])
    return all(host.value == state['row'].value
               for host in state['hosts']
               if host.version == version)


def _eras_never_decrease(state: dict[str, Any]) -> bool:
    return not state['has_era_decreased']


def _tokens_increase(state: dict[str, Any]) -> bool:
    return not state['has_token_decreased']


def specification(rules: Rules = Rules(), *,
                  large: bool = False) -> checking.Specification:
    """Returns the specification of hosts that follow a restored store.

    Args:
        rules: the decision functions.
        large: whether to use the larger bounds.
    """
    model = _Model(rules=rules,
                   max_counter=5 if large else 4,
                   max_era=3 if large else 2,
                   max_value=3)
    return checking.Specification(
        name='restored store',
        fields=_State._fields,
        initial=_State(era=1,
                       counter=1,
                       row=_Row(1, 1),
                       copy=None,
                       written=1,
                       hosts=(_Host(),) * 2,
                       last_token=0,
                       has_token_decreased=False,
                       has_era_decreased=False),
        transitions=lambda state: model.transitions(_State(*state)),
        invariants={
            'a host at the version of the store has its row':
                _has_row_of_version,
            'the era of a host never decreases':
                _eras_never_decrease,
            'fencing tokens increase':
                _tokens_increase,
        })


def _is_counter_greater(told: _Version, known: _Version) -> bool:
    return told.counter > known.counter


def _counter_of(version: _Version) -> int:
    return version.counter


MUTANTS: dict[str, Rules] = {
    'versions of peers are compared by their counters':
        Rules(is_newer=_is_counter_greater),
    'the era of a response is ignored':
        Rules(compares_eras=False),
    'a fencing token is a counter alone':
        Rules(token=_counter_of),
}
