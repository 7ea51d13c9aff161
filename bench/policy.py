"""Measures the upstream selection policy against baselines in a simulation.

Each cell is one policy under one mix of requests, load, lag of the load
reports and fault. It simulates entry hosts and agents in virtual time.

`python -m bench.policy --seed N [--quick]` prints one row for each cell.
"""

import argparse
import dataclasses
import random
from collections.abc import Callable, Iterator
from typing import Any

from bench import common, policy_entry, policy_fakes as fakes, policy_types

__all__: list[str] = []

_ENTRY_COUNT = 9
_ENGINE_COUNT = 16
_SERVICE_COUNT = 3
_DATA_CENTRE_COUNT = 3
_PREFIX_COUNT = 40
_FIRST_TOKEN_TARGET_S = 1.8
_TOKEN_GAP_TARGET_S = 0.07
_WARM_UP_END_S = 4.0
_FAULT_START_S = 10.0
_FAULT_END_S = 16.0
_END_S = 30.0
_DRAIN_S = 20.0
_ENGINE_STEP_COST_S = (0.03, 0.0025)
_SERVICE_STEP_COST_S = (0.02, 0.002)
_HIGH, _NORMAL, _LOW = 2, 1, 0

_MIXES = {
    'buna':
        (policy_types.RequestClass('chat', 0.3, 'engine', _HIGH, 60,
                                   _FIRST_TOKEN_TARGET_S, _TOKEN_GAP_TARGET_S),
         policy_types.RequestClass('caption', 0.5, 'engine', _NORMAL, 60,
                                   _FIRST_TOKEN_TARGET_S, _TOKEN_GAP_TARGET_S),
         policy_types.RequestClass('payment', 0.2, 'service', _HIGH, 5, 2.0,
                                   0.0, False)),
    'tagline': (policy_types.RequestClass('lookup',
                                          0.5,
                                          'engine',
                                          _HIGH,
                                          8,
                                          1.2,
                                          token_sigma=0.3),
                policy_types.RequestClass('release', 0.15, 'service', _HIGH, 5,
                                          2.0, 0.0, False),
                policy_types.RequestClass('question', 0.35, 'engine', _LOW, 80,
                                          _FIRST_TOKEN_TARGET_S,
                                          _TOKEN_GAP_TARGET_S)),
    'prefixes': (policy_types.RequestClass('chat',
                                           0.3,
                                           'engine',
                                           _HIGH,
                                           20,
                                           _FIRST_TOKEN_TARGET_S,
                                           _TOKEN_GAP_TARGET_S,
                                           prompt_tokens=900),
                 policy_types.RequestClass('caption',
                                           0.7,
                                           'engine',
                                           _NORMAL,
                                           20,
                                           _FIRST_TOKEN_TARGET_S,
                                           _TOKEN_GAP_TARGET_S,
                                           prompt_tokens=900))
}
_POLLENTHREAD = policy_types.Policy()
_BASELINES = tuple(
    policy_types.Policy(name=name,
                        selection=name,
                        unseen=False,
                        affinity=False,
                        deadlines=False,
                        entry_admission=False,
                        fairness=False,
                        learned_limit=False,
                        ejection=False,
                        budget=False,
                        hedges=False,
                        locality=False)
    for name in ('random', 'round_robin', 'least_outstanding', 'two_reported'))
_ORACLE = dataclasses.replace(_POLLENTHREAD, name='oracle', oracle=True)
_MECHANISMS = ('unseen', 'affinity', 'deadlines', 'entry_admission', 'fairness',
               'learned_limit', 'ejection', 'budget', 'hedges', 'locality')


def _without(mechanism: str) -> policy_types.Policy:
    changes: dict[str, Any] = {
        'name': f'ours without {mechanism}',
        mechanism: False
    }
    return dataclasses.replace(_POLLENTHREAD, **changes)


_ABLATIONS = tuple(_without(name) for name in _MECHANISMS)


@dataclasses.dataclass(frozen=True)
class Cell:
    """One measured combination.

    Attributes:
        policy: the policy.
        mix: name of the mix of request classes.
        load: offered load relative to the capacity of the engines.
        lag_s: delay of load reports in seconds.
        fault: name of the fault, or 'none'.
    """

    policy: policy_types.Policy
    mix: str
    load: float
    lag_s: float = 0.1
    fault: str = 'none'


class _Simulation:
    """One simulation run of a cell.

    Attributes:
        cell: the cell.
        loop: the event loop.
        engines: the agents of the engines.
        requests: all requests so far.
    """

    def __init__(self, cell: Cell, seed: int) -> None:
        self.cell = cell
        self.loop = policy_types.EventLoop()
        self._rng = random.Random(f'{seed} {cell.mix} {cell.load}')
        entry_rng = random.Random(f'{seed} draws')
        self.engines = self._agents('engine', _ENGINE_COUNT,
                                    _ENGINE_STEP_COST_S)
        services = self._agents('service', _SERVICE_COUNT, _SERVICE_STEP_COST_S)
        self._entries_by_pool = {
            pool: [
                policy_entry.Entry(loop=self.loop,
                                   policy=cell.policy,
                                   agents=agents,
                                   data_centre=i % _DATA_CENTRE_COUNT,
                                   rng=random.Random(entry_rng.random()))
                for i in range(_ENTRY_COUNT)
            ] for pool, agents in (('engine', self.engines), ('service',
                                                             services))
        }
        self.requests: list[policy_types.Request] = []
        self._delayed_requests: list[policy_types.Request] = []
        self._rate_factor = 1.0
        _schedule_faults(self)
        self.loop.call_at(0.0, self._arrive)
        self.loop.call_at(0.0, self._switch_rate)

    def _agents(self, pool: str, count: int,
                step_cost_s: tuple[float, float]) -> list[fakes.Agent]:
        return [
            fakes.Agent(loop=self.loop,
                        name=f'{pool}-{i}',
                        policy=self.cell.policy,
                        lag_s=self.cell.lag_s,
                        step_cost_s=step_cost_s,
                        data_centre=i % _DATA_CENTRE_COUNT)
            for i in range(count)
        ]

    @property
    def _mean_rate(self) -> float:
        request_classes = _MIXES[self.cell.mix]
        tokens = sum(
            c.share * c.tokens for c in request_classes if c.pool == 'engine')
        base_s, per_request_s = _ENGINE_STEP_COST_S
        engine_tokens_per_s = (_TOKEN_GAP_TARGET_S -
                               base_s) / per_request_s / _TOKEN_GAP_TARGET_S
        return self.cell.load * _ENGINE_COUNT * engine_tokens_per_s / tokens

    def _switch_rate(self) -> None:
        self._rate_factor = 0.6 if self._rate_factor > 1.0 else 1.4
        self.loop.call_at(self.loop.now + self._rng.expovariate(1.0),
                          self._switch_rate)

    def _arrive(self) -> None:
        rng = self._rng
        now = self.loop.now
        if now < _END_S:
            self.loop.call_at(
                now + rng.expovariate(self._mean_rate * self._rate_factor),
                self._arrive)
            request = self._draw_request(now)
            self.requests.append(request)
            if self.cell.fault == 'retry storm' and (_FAULT_START_S <= now <
                                                     _FAULT_END_S):
                request.arrived_at = _FAULT_END_S
                self._delayed_requests.append(request)
            else:
                self._send(request)

    def _draw_request(self, now: float) -> policy_types.Request:
        rng = self._rng
        request_classes = _MIXES[self.cell.mix]
        request_class = rng.choices(request_classes,
                                    [c.share for c in request_classes])[0]
        workspace = 'w0' if rng.random() < 0.5 else f'w{rng.randrange(1, 10)}'
        prefix = min(int(rng.paretovariate(0.8)) - 1, _PREFIX_COUNT - 1)
        sigma = request_class.token_sigma
        tokens = request_class.tokens * rng.lognormvariate(
            -sigma * sigma / 2, sigma)
        return policy_types.Request(request_id=len(self.requests),
                                    request_class=request_class,
                                    workspace=workspace,
                                    prefix=f'{prefix}'.encode(),
                                    tokens=max(1, int(tokens)),
                                    arrived_at=now)

    def _send(self, request: policy_types.Request) -> None:
        entries = self._entries_by_pool[request.request_class.pool]
        # The exponent gives entry hosts with a lower index more requests.
        entry_index = int(_ENTRY_COUNT * self._rng.random()**1.3)
        entries[entry_index].handle_request(request)

    def send_delayed_requests(self) -> None:
        """Sends all requests that were delayed during an outage."""
        for request in self._delayed_requests:
            self._send(request)


def _schedule_faults(simulation: _Simulation) -> None:
    engines = simulation.engines

    def set_faults(agents: list[fakes.Agent], **faults: Any) -> None:
        for agent in agents:
            agent.set_faults(**faults)

    def crash(agents: list[fakes.Agent]) -> None:
        for agent in agents:
            agent.crash()

    every_third = engines[::3]
    start_callbacks: list[Callable[[], None]] = []
    end_callbacks: list[Callable[[], None]] = []
    fault = simulation.cell.fault
    if fault in ('stalled', 'stalled and slow'):
        start_callbacks.append(lambda: set_faults(engines[:1], stalled=True))
        end_callbacks.append(lambda: set_faults(engines[:1], stalled=False))
    if fault in ('slow', 'stalled and slow'):
        start_callbacks.append(lambda: set_faults(engines[1:2], slowdown=10.0))
        end_callbacks.append(lambda: set_faults(engines[1:2], slowdown=1.0))
    if fault in ('third gone', 'third gone, reports lost'):
        start_callbacks.append(lambda: crash(every_third))
        end_callbacks.append(lambda: set_faults(every_third, up=True))
    if fault in ('reports lost', 'third gone, reports lost'):
        start_callbacks.append(lambda: set_faults(engines, reports_lost=True))
        end_callbacks.append(lambda: set_faults(engines, reports_lost=False))
    if fault == 'broken':
        start_callbacks.append(lambda: set_faults(engines[:1], broken=True))
        end_callbacks.append(lambda: set_faults(engines[:1], broken=False))
    if fault == 'cold restart':
        start_callbacks.append(lambda: crash(engines))
        end_callbacks.append(lambda: set_faults(engines, up=True))
    if fault == 'retry storm':
        end_callbacks.append(simulation.send_delayed_requests)
    for time_s, callbacks in ((_FAULT_START_S, start_callbacks),
                              (_FAULT_END_S, end_callbacks)):
        for callback in callbacks:
            simulation.loop.call_at(time_s, callback)


def _share(requests: list[policy_types.Request],
           predicate: Callable[[policy_types.Request], bool]) -> float:
    return sum(map(predicate, requests)) / len(requests) if requests else 1.0


def _arrived_between(requests: list[policy_types.Request], begin_s: float,
                     end_s: float) -> list[policy_types.Request]:
    return [r for r in requests if begin_s <= r.arrived_at < end_s]


def _measure(cell: Cell, seed: int) -> dict[str, Any]:
    simulation = _Simulation(cell, seed)
    simulation.loop.run_until(_END_S + _DRAIN_S)
    measured = [
        r for r in _arrived_between(simulation.requests, _WARM_UP_END_S, _END_S)
        if r.request_class.pool == 'engine' or r.attempts
    ]
    engine_requests = [r for r in measured if r.request_class.pool == 'engine']
    admitted = [r for r in engine_requests if not r.rejected]
    high = [r for r in measured if r.request_class.importance == _HIGH]
    small_workspaces = [r for r in engine_requests if r.workspace != 'w0']
    after_fault = _arrived_between(engine_requests, _FAULT_END_S + 10.0, _END_S)
    seconds = _END_S - _WARM_UP_END_S

    def in_time(request: policy_types.Request) -> bool:
        return request.in_time()

    return {
        'policy':
            cell.policy.name,
        'mix':
            cell.mix,
        'load':
            cell.load,
        'lag_s':
            cell.lag_s,
        'fault':
            cell.fault,
        'goodput':
            round(sum(map(in_time, engine_requests)) / seconds, 2),
        'offered':
            round(len(engine_requests) / seconds, 2),
        'in_time_of_admitted':
            round(_share(admitted, in_time), 4),
        'high_in_time':
            round(_share(high, in_time), 4),
        'small_in_time':
            round(_share(small_workspaces, in_time), 4),
        'attempts':
            round(
                sum(r.attempts for r in engine_requests) /
                max(1, len(engine_requests)), 3),
        'after_fault':
            round(_share(after_fault, in_time), 4),
        'near':
            round(
                _share([r for r in engine_requests if r.attempts],
                       lambda r: r.is_local), 3)
    }


_FAULTS = ('stalled', 'slow', 'broken', 'third gone', 'reports lost',
           'retry storm', 'cold restart', 'stalled and slow',
           'third gone, reports lost')
_OUTAGES = ('third gone', 'retry storm', 'cold restart')
_MAIN_MIXES = ('buna', 'tagline')


def _cells(quick: bool) -> Iterator[Cell]:
    policies = (_POLLENTHREAD, *_BASELINES) if quick else (_POLLENTHREAD,
                                                           *_BASELINES, _ORACLE)
    loads = (0.8, 1.0, 2.0) if quick else (0.5, 0.8, 1.0, 1.3, 2.0)
    lags = (1.0,) if quick else (0.1, 1.0, 3.0)
    faults = ('slow', 'third gone', 'retry storm') if quick else _FAULTS
    for policy in policies:
        for mix in _MAIN_MIXES:
            for load in loads:
                for lag_s in lags:
                    yield Cell(policy, mix, load, lag_s)
        for mix in _MAIN_MIXES[:1] if quick else _MAIN_MIXES:
            for fault in faults:
                for load in (0.8,) if quick else (0.8, 1.0):
                    yield Cell(policy, mix, load, 1.0, fault)
        if not quick:
            for load in (0.5, 0.8):
                yield Cell(policy, 'prefixes', load, 1.0)
    if not quick:
        yield from _ablation_cells()


def _ablation_cells() -> Iterator[Cell]:
    for policy in _ABLATIONS:
        for mix in _MAIN_MIXES:
            for load in (0.8, 1.0, 2.0):
                yield Cell(policy, mix, load, 1.0)
        yield Cell(policy, 'prefixes', 0.5, 1.0)
        yield Cell(policy, 'prefixes', 0.8, 1.0)
        for fault in ('stalled', 'slow', 'broken', 'third gone', 'retry storm'):
            yield Cell(policy, 'buna', 0.8, 1.0, fault)


_Row = dict[str, Any]


def _cell_key(row: _Row) -> tuple[Any, ...]:
    return row['mix'], row['load'], row['lag_s'], row['fault']


def _targets(rows: list[_Row]) -> list[common.Target]:
    pollenthread_rows = {
        _cell_key(row): row for row in rows if row['policy'] == 'ours'
    }
    main_rows = [
        row for row in pollenthread_rows.values() if row['mix'] in _MAIN_MIXES
    ]
    faultless = [row for row in main_rows if row['fault'] == 'none']
    admitted = min(row['in_time_of_admitted']
                   for row in main_rows
                   if row['load'] <= 1.0 and row['fault'] in ('none', 'slow'))
    overload_ratio = min(
        row['goodput'] /
        pollenthread_rows[row['mix'], 1.0, row['lag_s'], 'none']['goodput']
        for row in faultless
        if row['load'] == 2.0)
    high = min(row['high_in_time'] for row in faultless if row['load'] == 2.0)
    attempts = max(
        row['attempts'] for row in main_rows if row['fault'] in _OUTAGES)
    recovery_ratio = min(row['after_fault'] /
                         pollenthread_rows[row['mix'], row['load'],
                                           row['lag_s'], 'none']['after_fault']
                         for row in main_rows
                         if row['fault'] != 'none')
    worst_ratio = min(_goodput_ratios(rows).values())
    return [
        _at_least('in time of admitted, load to 1.0, no fault or a straggler',
                  0.95, admitted),
        _at_least('goodput at 2.0 over goodput at 1.0', 0.95, overload_ratio),
        _at_least('most important class in time at 2.0', 0.95, high),
        common.Target('attempts per request through an outage', 1.1, attempts,
                      attempts <= 1.1),
        _at_least('in time from 10 s after a fault over without it', 0.95,
                  recovery_ratio),
        _at_least('goodput over that of the best baseline, worst cell', 1.0,
                  worst_ratio)
    ]


def _at_least(name: str, bound: float, value: float) -> common.Target:
    return common.Target(name, bound, round(value, 4), value >= bound)


def _goodput_ratios(rows: list[_Row]) -> dict[tuple[Any, ...], float]:
    """Returns the goodput relative to the best baseline, by cell."""
    baseline_names = {policy.name for policy in _BASELINES}
    best: dict[tuple[Any, ...], float] = {}
    for row in rows:
        if row['policy'] in baseline_names:
            best[_cell_key(row)] = max(best.get(_cell_key(row), 0.0),
                                       row['goodput'])
    return {
        _cell_key(row): row['goodput'] / best[_cell_key(row)]
        for row in rows
        if row['policy'] == 'ours' and best.get(_cell_key(row))
    }


def main() -> None:
    """Simulates all cells and prints the result."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--quick', action='store_true')
    args = parser.parse_args()
    rows = [_measure(cell, args.seed) for cell in _cells(args.quick)]
    common.emit(args.seed, rows, _targets(rows))


if __name__ == '__main__':
    main()
