"""Leases: two processes, clocks that drift, lost answers, pauses.

Process 0 has the slowest clock that is allowed for, process 1 the fastest. A
write may take effect late, and its answer be lost. Interleaving stands for
pauses.
"""

import dataclasses
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from models import checking
from pollenthread.core import leases

__all__ = ['MUTANTS', 'Rules', 'specification']

_DUTY = 'duty'
_DURATION_S = 1000.0
_TICKS_S = (495, 15, 5)
_RATES = (1 - leases.MAX_CLOCK_DRIFT, 1 + leases.MAX_CLOCK_DRIFT)


@dataclasses.dataclass(frozen=True)
class Rules:
    """The project's decisions; a mutant replaces one of them.

    Attributes:
        acquire: whether to take the duty.
        safe_until: until when a holder may act.
        counts_from_answer: whether a lease is counted from the answer.
        compares: whether a write names the version that it replaces.
        settle: what a read proves about a lost answer.
    """

    acquire: Callable[..., leases.Lease | None] = leases.lease_to_acquire
    safe_until: Callable[[float, float], float] = leases.safe_until
    counts_from_answer: bool = False
    compares: bool = True
    settle: Callable[..., leases.WriteOutcome] = leases.resolve_write


class _Write(NamedTuple):
    """A write on its way to the table.

    Attributes:
        lease: what it writes.
        expect: the version that it replaces.
        sent_at: the writer's monotonic seconds before it was sent.
        made: the version that it made; 0 before it takes effect.
    """

    lease: leases.Lease
    expect: int
    sent_at: float
    made: int = 0


class _Process(NamedTuple):
    """One process that may hold the duty."""

    known: leases.LeaseObservation | None = None
    version: int = 0
    held: leases.HeldLease | None = None
    write: _Write | None = None


class _State(NamedTuple):
    """The whole system."""

    now: int
    ticks: int
    row: leases.Lease | None
    version: int
    fencing: int
    has_fallen: bool
    processes: tuple[_Process, ...]


_Successors = Iterator[tuple[str, _State]]


class _Model:
    """Successors of a state under a set of rules."""

    def __init__(self, *, rules: Rules, max_ticks: int,
                 max_fencing: int) -> None:
        self._rules = rules
        self._max_ticks = max_ticks
        self._max_fencing = max_fencing

    def transitions(self, state: _State) -> _Successors:
        """Every step that some part of the system may take."""
        if state.ticks < self._max_ticks:
            for tick in _TICKS_S:
                yield f'{tick} s pass', state._replace(now=state.now + tick,
                                                       ticks=state.ticks + 1)
        for number, process in enumerate(state.processes):
            yield from self._steps(state, number, process)

    def _steps(self, state: _State, number: int,
               process: _Process) -> _Successors:
        name = f'process {number}'
        now = state.now * _RATES[number]
        if process.write is not None:
            yield from self._in_flight(state, number, process, now)
            return
        if state.row is not None and state.version != process.version:
            known = leases.update_observation(process.known, state.row, now)
            yield f'{name} reads', _with(
                state, number,
                process._replace(known=known, version=state.version))
        yield from self._acquire(state, number, process, now)
        if process.held is not None:
            yield from self._keep(state, number, process, now)

    def _acquire(self, state: _State, number: int, process: _Process,
                 now: float) -> _Successors:
        if (process.held is not None and leases.may_act(process.held, now) or
                state.fencing >= self._max_fencing):
            return
        wanted = self._rules.acquire(process.known,
                                     duty=_DUTY,
                                     holder=f'p{number}',
                                     duration_s=_DURATION_S,
                                     now=now)
        if wanted is not None:
            write = _Write(wanted, process.version, now)
            yield f'process {number} wants the duty', _with(
                state, number, process._replace(held=None, write=write))

    def _keep(self, state: _State, number: int, process: _Process,
              now: float) -> _Successors:
        assert process.held is not None
        renewed = leases.lease_to_renew(process.held, now=now)
        if renewed is not None and renewed.renewals <= 1:
            write = _Write(renewed, process.held.row_version, now)
            yield f'process {number} renews', _with(
                state, number, process._replace(write=write))
        released = _Write(leases.lease_to_release(process.held),
                          process.held.row_version, now)
        yield f'process {number} releases', _with(
            state, number, process._replace(held=None, write=released))

    def _in_flight(self, state: _State, number: int, process: _Process,
                   now: float) -> _Successors:
        write = process.write
        assert write is not None
        name = f'process {number}'
        if not write.made:
            yield from self._apply(state, number, process)
        else:
            yield f'{name} is told', _with(state, number,
                                           self._told(process, write.made, now))
        yield from self._settle(state, number, process, now)

    def _apply(self, state: _State, number: int,
               process: _Process) -> _Successors:
        write = process.write
        assert write is not None
        if self._rules.compares and write.expect != state.version:
            yield f'process {number} is told of a conflict', _with(
                state, number, process._replace(held=None, write=None))
            return
        applied = state._replace(row=write.lease,
                                 version=state.version + 1,
                                 fencing=max(state.fencing,
                                             write.lease.fencing),
                                 has_fallen=state.has_fallen or
                                 write.lease.fencing < state.fencing)
        yield f'the write of process {number} takes effect', _with(
            applied, number,
            process._replace(write=write._replace(made=applied.version)))

    def _told(self, process: _Process, version: int, now: float) -> _Process:
        write = process.write
        assert write is not None
        if not write.lease.holder:
            return process._replace(held=None, write=None)
        counted_from = now if self._rules.counts_from_answer else write.sent_at
        until = self._rules.safe_until(counted_from, _DURATION_S)
        held = leases.HeldLease(write.lease, version, until)
        return process._replace(held=held,
                                write=None,
                                version=version,
                                known=leases.update_observation(
                                    process.known, write.lease, write.sent_at))

    def _settle(self, state: _State, number: int, process: _Process,
                now: float) -> _Successors:
        """The answer is lost; the process reads the row."""
        write = process.write
        assert write is not None
        name = f'process {number}'
        settled = self._rules.settle(write.lease, state.row)
        if settled is leases.WriteOutcome.WRITTEN:
            yield f'{name} finds its write', _with(
                state, number, self._told(process, state.version, now))
        elif settled is leases.WriteOutcome.LOST:
            yield f'{name} finds another write', _with(
                state, number, process._replace(held=None, write=None))


def _with(state: _State, number: int, process: _Process) -> _State:
    processes = list(state.processes)
    processes[number] = process
    return state._replace(processes=tuple(processes))


def _has_one_holder(state: dict[str, Any]) -> bool:
    safe = [
        process.held
        for number, process in enumerate(state['processes'])
        if process.held is not None and
        leases.may_act(process.held, state['now'] * _RATES[number])
    ]
    return len(safe) <= 1


def _fencing_rises(state: dict[str, Any]) -> bool:
    return not state['has_fallen']


def specification(rules: Rules = Rules(), *,
                  large: bool = False) -> checking.Specification:
    """Leases under the given rules."""
    model = _Model(rules=rules, max_ticks=4 if large else 3, max_fencing=2)
    return checking.Specification(
        name='leases',
        fields=_State._fields,
        initial=_State(now=0,
                       ticks=0,
                       row=None,
                       version=0,
                       fencing=0,
                       has_fallen=False,
                       processes=(_Process(), _Process())),
        transitions=lambda state: model.transitions(_State(*state)),
        invariants={
            'at most one process may act under a duty': _has_one_holder,
            'fencing numbers never fall': _fencing_rises,
        })


def _acquire_at_once(known: leases.LeaseObservation | None,
                     **named: Any) -> Any:
    if known is None:
        return leases.lease_to_acquire(known, **named)
    released = dataclasses.replace(known.lease, holder='')
    return leases.lease_to_acquire(dataclasses.replace(known, lease=released),
                                   **named)


def _acquire_without_drift(known: leases.LeaseObservation | None, *, duty: str,
                           holder: str, duration_s: float, now: float) -> Any:
    hurried = now if known is None else (known.first_seen_at +
                                         (now - known.first_seen_at) *
                                         (1 + leases.MAX_CLOCK_DRIFT))
    return leases.lease_to_acquire(known,
                                   duty=duty,
                                   holder=holder,
                                   duration_s=duration_s,
                                   now=hurried)


def _safe_without_drift(sent_at: float, duration_s: float) -> float:
    return sent_at + duration_s


def _settle_by_hope(wanted: leases.Lease,
                    found: leases.Lease | None) -> leases.WriteOutcome:
    del wanted, found
    return leases.WriteOutcome.WRITTEN


MUTANTS: dict[str, Rules] = {
    'a duty is taken before its lease has lapsed':
        Rules(acquire=_acquire_at_once),
    'an observer does not allow for drift':
        Rules(acquire=_acquire_without_drift),
    'a holder does not allow for drift':
        Rules(safe_until=_safe_without_drift),
    'a lease is counted from the answer':
        Rules(counts_from_answer=True),
    'a lease is replaced without comparing its version':
        Rules(compares=False),
    'a lost answer is taken for success':
        Rules(settle=_settle_by_hope),
}
