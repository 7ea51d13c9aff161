"""Model of the leases that elect one process for a duty.

Two processes acquire, renew and release the lease of one duty. Process 0 has
the slowest clock within the allowed drift, process 1 the fastest. A write may
take effect late, and its response may be lost. A paused process is a process
that takes no step while the others do.

The invariants are that at most one process may act under the duty at a time,
and that fencing numbers never decrease.
"""

import dataclasses
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from models import checking
from pollenthread.core import leases

__all__ = ['MUTANTS', 'Rules', 'specification']

_DUTY = 'duty'
_DURATION_S = 1000.0
_TIME_STEPS_S = (495, 15, 5)
_CLOCK_RATES = (1 - leases.MAX_CLOCK_DRIFT, 1 + leases.MAX_CLOCK_DRIFT)


@dataclasses.dataclass(frozen=True)
class Rules:
    """Decision functions of pollenthread, one of which a mutant replaces.

    Attributes:
        lease_to_acquire: returns the lease to write, or None if the process
            must not acquire the duty.
        safe_until: time until which a holder may act.
        starts_at_response: whether the duration of a lease starts at the
            response to the write rather than when the write was sent.
        checks_version: whether a write requires that the row still has the
            version that it replaces.
        resolve_write: outcome of a write without a response, from a read.
    """

    lease_to_acquire: Callable[...,
                               leases.Lease | None] = leases.lease_to_acquire
    safe_until: Callable[[float, float], float] = leases.safe_until
    starts_at_response: bool = False
    checks_version: bool = True
    resolve_write: Callable[..., leases.WriteOutcome] = leases.resolve_write


class _Write(NamedTuple):
    """A write in flight to the table.

    Attributes:
        lease: the lease that is written.
        expected_version: version that the row must have.
        sent_at: monotonic time of the writer before sending, in seconds.
        written_version: version that the write created; 0 before it takes
            effect.
    """

    lease: leases.Lease
    expected_version: int
    sent_at: float
    written_version: int = 0


class _Process(NamedTuple):
    """One process that may hold the duty.

    Attributes:
        known: the lease that the process last observed.
        version: version of that row.
        held: the lease that the process holds.
        write: its write in flight.
    """

    known: leases.LeaseObservation | None = None
    version: int = 0
    held: leases.HeldLease | None = None
    write: _Write | None = None


class _State(NamedTuple):
    """State of the whole system.

    Attributes:
        now: true time in seconds.
        time_steps: number of steps of the time so far.
        row: row of the lease in the table.
        version: version of the row; 0 before the first write.
        fencing: highest fencing number written so far.
        has_fencing_decreased: whether a write lowered the fencing number.
        processes: the processes.
    """

    now: int
    time_steps: int
    row: leases.Lease | None
    version: int
    fencing: int
    has_fencing_decreased: bool
    processes: tuple[_Process, ...]


_Successors = Iterator[tuple[str, _State]]


class _Model:
    """Computes the successors of a state under a set of rules."""

    def __init__(self, *, rules: Rules, max_time_steps: int,
                 max_fencing: int) -> None:
        self._rules = rules
        self._max_time_steps = max_time_steps
        self._max_fencing = max_fencing

    def transitions(self, state: _State) -> _Successors:
        """Yields the label and the resulting state of each possible step."""
        if state.time_steps < self._max_time_steps:
            for step_s in _TIME_STEPS_S:
                yield f'{step_s} s elapse', state._replace(
                    now=state.now + step_s, time_steps=state.time_steps + 1)
        for index, process in enumerate(state.processes):
            yield from self._process_steps(state, index, process)

    def _process_steps(self, state: _State, index: int,
                       process: _Process) -> _Successors:
        name = f'process {index}'
        now = state.now * _CLOCK_RATES[index]
        if process.write is not None:
            yield from self._write_steps(state, index, process, now)
            return
        if state.row is not None and state.version != process.version:
            known = leases.update_observation(process.known, state.row, now)
            yield f'{name} reads the row', _replace_process(
                state, index,
                process._replace(known=known, version=state.version))
        yield from self._acquire_lease(state, index, process, now)
        if process.held is not None:
            yield from self._renew_or_release(state, index, process, now)

    def _acquire_lease(self, state: _State, index: int, process: _Process,
                       now: float) -> _Successors:
        if (process.held is not None and leases.may_act(process.held, now) or
                state.fencing >= self._max_fencing):
            return
        lease = self._rules.lease_to_acquire(process.known,
                                             duty=_DUTY,
                                             holder=f'p{index}',
                                             duration_s=_DURATION_S,
                                             now=now)
        if lease is not None:
            write = _Write(lease, process.version, now)
            yield (f'process {index} sends a write to acquire the lease',
                   _replace_process(state, index,
                                    process._replace(held=None, write=write)))

    def _renew_or_release(self, state: _State, index: int, process: _Process,
                          now: float) -> _Successors:
        assert process.held is not None
        renewed = leases.lease_to_renew(process.held, now=now)
        if renewed is not None and renewed.renewals <= 1:
            write = _Write(renewed, process.held.row_version, now)
            yield f'process {index} sends a renewal', _replace_process(
                state, index, process._replace(write=write))
        released = _Write(leases.lease_to_release(process.held),
                          process.held.row_version, now)
        yield f'process {index} sends a release', _replace_process(
            state, index, process._replace(held=None, write=released))

    def _write_steps(self, state: _State, index: int, process: _Process,
                     now: float) -> _Successors:
        write = process.write
        assert write is not None
        name = f'process {index}'
        if not write.written_version:
            yield from self._apply_write(state, index, process)
        else:
            yield f'{name} gets the response', _replace_process(
                state, index,
                self._receive_response(process, write.written_version, now))
        yield from self._resolve_lost_response(state, index, process, now)

    def _apply_write(self, state: _State, index: int,
                     process: _Process) -> _Successors:
        write = process.write
        assert write is not None
        if (self._rules.checks_version and
                write.expected_version != state.version):
            yield f'process {index} gets a conflict', _replace_process(
                state, index, process._replace(held=None, write=None))
            return
        applied = state._replace(
            row=write.lease,
            version=state.version + 1,
            fencing=max(state.fencing, write.lease.fencing),
            has_fencing_decreased=state.has_fencing_decreased or
            write.lease.fencing < state.fencing)
        yield f'the write of process {index} takes effect', _replace_process(
            applied, index,
            process._replace(write=write._replace(
                written_version=applied.version)))

    def _receive_response(self, process: _Process, version: int,
                          now: float) -> _Process:
        write = process.write
        assert write is not None
        if not write.lease.holder:
            return process._replace(held=None, write=None)
        start = now if self._rules.starts_at_response else write.sent_at
        safe_until_s = self._rules.safe_until(start, _DURATION_S)
        held = leases.HeldLease(write.lease, version, safe_until_s)
        return process._replace(held=held,
                                write=None,
                                version=version,
                                known=leases.update_observation(
                                    process.known, write.lease, write.sent_at))

    def _resolve_lost_response(self, state: _State, index: int,
                               process: _Process, now: float) -> _Successors:
        """Loses the response; the process reads the row instead."""
        write = process.write
        assert write is not None
        name = f'process {index}'
        outcome = self._rules.resolve_write(write.lease, state.row)
        if outcome is leases.WriteOutcome.WRITTEN:
            yield f'{name} reads that its write took effect', _replace_process(
                state, index, self._receive_response(process, state.version,
                                                     now))
        elif outcome is leases.WriteOutcome.LOST:
            yield f'{name} reads that its write is lost', _replace_process(
                state, index, process._replace(held=None, write=None))


def _replace_process(state: _State, index: int, process: _Process) -> _State:
    processes = list(state.processes)
    processes[index] = process
    return state._replace(processes=tuple(processes))


def _has_one_holder(state: dict[str, Any]) -> bool:
    holders = [
        process.held
        for index, process in enumerate(state['processes'])
        if process.held is not None and
        leases.may_act(process.held, state['now'] * _CLOCK_RATES[index])
    ]
    return len(holders) <= 1


def _fencing_never_decreases(state: dict[str, Any]) -> bool:
    return not state['has_fencing_decreased']


def specification(rules: Rules = Rules(), *,
                  large: bool = False) -> checking.Specification:
    """Returns the specification of the leases.

    Args:
        rules: the decision functions.
        large: whether to use the larger bounds.
    """
    model = _Model(rules=rules, max_time_steps=4 if large else 3, max_fencing=2)
    return checking.Specification(
        name='leases',
        fields=_State._fields,
        initial=_State(now=0,
                       time_steps=0,
                       row=None,
                       version=0,
                       fencing=0,
                       has_fencing_decreased=False,
                       processes=(_Process(), _Process())),
        transitions=lambda state: model.transitions(_State(*state)),
        invariants={
            'at most one process may act under a duty': _has_one_holder,
            'fencing numbers never decrease': _fencing_never_decreases,
        })


def _acquire_unexpired(known: leases.LeaseObservation | None,
                       **named: Any) -> Any:
    if known is None:
        return leases.lease_to_acquire(known, **named)
    released = dataclasses.replace(known.lease, holder='')
    return leases.lease_to_acquire(dataclasses.replace(known, lease=released),
                                   **named)


def _acquire_without_drift(known: leases.LeaseObservation | None, *, duty: str,
                           holder: str, duration_s: float, now: float) -> Any:
    fast_now = now if known is None else (known.first_seen_at +
                                          (now - known.first_seen_at) *
                                          (1 + leases.MAX_CLOCK_DRIFT))
    return leases.lease_to_acquire(known,
                                   duty=duty,
                                   holder=holder,
                                   duration_s=duration_s,
                                   now=fast_now)


def _safe_without_drift(sent_at: float, duration_s: float) -> float:
    return sent_at + duration_s


def _assume_written(lease: leases.Lease,
                    found: leases.Lease | None) -> leases.WriteOutcome:
    del lease, found
    return leases.WriteOutcome.WRITTEN


MUTANTS: dict[str, Rules] = {
    'a duty is taken before its lease has lapsed':
        Rules(lease_to_acquire=_acquire_unexpired),
    'an observer does not allow for drift':
        Rules(lease_to_acquire=_acquire_without_drift),
    'a holder does not allow for drift':
        Rules(safe_until=_safe_without_drift),
    'a lease is counted from the answer':
        Rules(starts_at_response=True),
    'a lease is replaced without comparing its version':
        Rules(checks_version=False),
    'a lost answer is taken for success':
        Rules(resolve_write=_assume_written),
}
