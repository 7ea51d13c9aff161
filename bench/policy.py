"""Measures the policy under load and faults against simpler ones.

`python -m bench.policy --seed N [--quick]`: one row per cell.
"""

import argparse
import dataclasses
import random
from collections.abc import Callable, Iterator
from typing import Any

from bench import common, policy_entry, policy_fakes as fakes, policy_types

__all__: list[str] = []

_ENTRIES = 9
_ENGINES = 16
_SERVICES = 3
_PLACES = 3
_PREFIXES = 40
_FIRST_S = 1.8
_GAP_S = 0.07
_WARM_S = 4.0
_FAULT_AT_S = 10.0
_FAULT_ENDS_S = 16.0
_END_S = 30.0
_DRAIN_S = 20.0
_STEP = (0.03, 0.0025)
_SERVICE_STEP = (0.02, 0.002)
_HIGH, _NORMAL, _LOW = 2, 1, 0

_MIXES = {
    'buna': (policy_types.Kind('chat', 0.3, 'engine', _HIGH, 60, _FIRST_S,
                               _GAP_S),
             policy_types.Kind('caption', 0.5, 'engine', _NORMAL, 60, _FIRST_S,
                               _GAP_S),
             policy_types.Kind('payment', 0.2, 'service', _HIGH, 5, 2.0, 0.0,
                               False)),
    'tagline': (policy_types.Kind('lookup',
                                  0.5,
                                  'engine',
                                  _HIGH,
                                  8,
                                  1.2,
                                  spread=0.3),
                policy_types.Kind('release', 0.15, 'service', _HIGH, 5, 2.0,
                                  0.0, False),
                policy_types.Kind('question', 0.35, 'engine', _LOW, 80,
                                  _FIRST_S, _GAP_S)),
    'prefixes': (policy_types.Kind('chat',
                                   0.3,
                                   'engine',
                                   _HIGH,
                                   20,
                                   _FIRST_S,
                                   _GAP_S,
                                   prompt=900),
                 policy_types.Kind('caption',
                                   0.7,
                                   'engine',
                                   _NORMAL,
                                   20,
                                   _FIRST_S,
                                   _GAP_S,
                                   prompt=900))
}
_OURS = policy_types.Policy()
_BASELINES = tuple(
    policy_types.Policy(name=name,
                        choose=name,
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
_ORACLE = dataclasses.replace(_OURS, name='oracle', oracle=True)
_MECHANISMS = ('unseen', 'affinity', 'deadlines', 'entry_admission', 'fairness',
               'learned_limit', 'ejection', 'budget', 'hedges', 'locality')


def _without(mechanism: str) -> policy_types.Policy:
    changes: dict[str, Any] = {
        'name': f'ours without {mechanism}',
        mechanism: False
    }
    return dataclasses.replace(_OURS, **changes)


_ABLATIONS = tuple(_without(name) for name in _MECHANISMS)


@dataclasses.dataclass(frozen=True)
class Cell:
    """One measured combination."""

    policy: policy_types.Policy
    mix: str
    load: float
    lag_s: float = 0.1
    fault: str = 'none'


class _World:
    """One run of a cell."""

    def __init__(self, cell: Cell, seed: int) -> None:
        self.cell = cell
        self.loop = policy_types.Loop()
        self._rng = random.Random(f'{seed} {cell.mix} {cell.load}')
        draws = random.Random(f'{seed} draws')
        self.engines = self._agents('engine', _ENGINES, _STEP)
        services = self._agents('service', _SERVICES, _SERVICE_STEP)
        self._entries_by_pool = {
            pool: [
                policy_entry.Entry(loop=self.loop,
                                   policy=cell.policy,
                                   agents=agents,
                                   place=i % _PLACES,
                                   rng=random.Random(draws.random()))
                for i in range(_ENTRIES)
            ] for pool, agents in (('engine', self.engines), ('service',
                                                             services))
        }
        self.requests: list[policy_types.Request] = []
        self._held: list[policy_types.Request] = []
        self._burst = 1.0
        _plan_faults(self)
        self.loop.at(0.0, self._arrive)
        self.loop.at(0.0, self._switch_burst)

    def _agents(self, pool: str, count: int,
                step: tuple[float, float]) -> list[fakes.Agent]:
        return [
            fakes.Agent(loop=self.loop,
                        name=f'{pool}-{i}',
                        policy=self.cell.policy,
                        lag_s=self.cell.lag_s,
                        step=step,
                        place=i % _PLACES) for i in range(count)
        ]

    @property
    def _rate(self) -> float:
        kinds = _MIXES[self.cell.mix]
        tokens = sum(k.share * k.tokens for k in kinds if k.pool == 'engine')
        base, each = _STEP
        per_engine = (_GAP_S - base) / each / _GAP_S
        return self.cell.load * _ENGINES * per_engine / tokens

    def _switch_burst(self) -> None:
        self._burst = 0.6 if self._burst > 1.0 else 1.4
        self.loop.at(self.loop.now + self._rng.expovariate(1.0),
                     self._switch_burst)

    def _arrive(self) -> None:
        rng = self._rng
        now = self.loop.now
        if now < _END_S:
            self.loop.at(now + rng.expovariate(self._rate * self._burst),
                         self._arrive)
            request = self._draw_request(now)
            self.requests.append(request)
            if self.cell.fault == 'retry storm' and (_FAULT_AT_S <= now <
                                                     _FAULT_ENDS_S):
                request.arrived_at = _FAULT_ENDS_S
                self._held.append(request)
            else:
                self._send(request)

    def _draw_request(self, now: float) -> policy_types.Request:
        rng = self._rng
        kinds = _MIXES[self.cell.mix]
        kind = rng.choices(kinds, [k.share for k in kinds])[0]
        workspace = 'w0' if rng.random() < 0.5 else f'w{rng.randrange(1, 10)}'
        prefix = min(int(rng.paretovariate(0.8)) - 1, _PREFIXES - 1)
        sigma = kind.spread
        tokens = kind.tokens * rng.lognormvariate(-sigma * sigma / 2, sigma)
        return policy_types.Request(ident=len(self.requests),
                                    kind=kind,
                                    workspace=workspace,
                                    prefix=f'{prefix}'.encode(),
                                    tokens=max(1, int(tokens)),
                                    arrived_at=now)

    def _send(self, request: policy_types.Request) -> None:
        entries = self._entries_by_pool[request.kind.pool]
        uneven = int(_ENTRIES * self._rng.random()**1.3)
        entries[uneven].take(request)

    def release_held(self) -> None:
        """Sends at once what was held back during an outage."""
        for request in self._held:
            self._send(request)


def _plan_faults(world: _World) -> None:
    sick = world.engines

    def change(agents: list[fakes.Agent], **faults: Any) -> None:
        for agent in agents:
            agent.change(**faults)

    def crash(agents: list[fakes.Agent]) -> None:
        for agent in agents:
            agent.crash()

    third = sick[::3]
    begin: list[Callable[[], None]] = []
    end: list[Callable[[], None]] = []
    fault = world.cell.fault
    if fault in ('stalled', 'stalled and slow'):
        begin.append(lambda: change(sick[:1], stalled=True))
        end.append(lambda: change(sick[:1], stalled=False))
    if fault in ('slow', 'stalled and slow'):
        begin.append(lambda: change(sick[1:2], slowness=10.0))
        end.append(lambda: change(sick[1:2], slowness=1.0))
    if fault in ('third gone', 'third gone, reports lost'):
        begin.append(lambda: crash(third))
        end.append(lambda: change(third, up=True))
    if fault in ('reports lost', 'third gone, reports lost'):
        begin.append(lambda: change(sick, reports_lost=True))
        end.append(lambda: change(sick, reports_lost=False))
    if fault == 'broken':
        begin.append(lambda: change(sick[:1], broken=True))
        end.append(lambda: change(sick[:1], broken=False))
    if fault == 'cold restart':
        begin.append(lambda: crash(sick))
        end.append(lambda: change(sick, up=True))
    if fault == 'retry storm':
        end.append(world.release_held)
    for time_s, acts in ((_FAULT_AT_S, begin), (_FAULT_ENDS_S, end)):
        for act in acts:
            world.loop.at(time_s, act)


def _share(requests: list[policy_types.Request],
           test: Callable[[policy_types.Request], bool]) -> float:
    return sum(map(test, requests)) / len(requests) if requests else 1.0


def _between(requests: list[policy_types.Request], begin_s: float,
             end_s: float) -> list[policy_types.Request]:
    return [r for r in requests if begin_s <= r.arrived_at < end_s]


def _measure(cell: Cell, seed: int) -> dict[str, Any]:
    world = _World(cell, seed)
    world.loop.run(_END_S + _DRAIN_S)
    measured = [
        r for r in _between(world.requests, _WARM_S, _END_S)
        if r.kind.pool == 'engine' or r.attempts
    ]
    engine = [r for r in measured if r.kind.pool == 'engine']
    admitted = [r for r in engine if not r.refused]
    high = [r for r in measured if r.kind.importance == _HIGH]
    small = [r for r in engine if r.workspace != 'w0']
    after = _between(engine, _FAULT_ENDS_S + 10.0, _END_S)
    seconds = _END_S - _WARM_S

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
            round(sum(map(in_time, engine)) / seconds, 2),
        'offered':
            round(len(engine) / seconds, 2),
        'in_time_of_admitted':
            round(_share(admitted, in_time), 4),
        'high_in_time':
            round(_share(high, in_time), 4),
        'small_in_time':
            round(_share(small, in_time), 4),
        'attempts':
            round(sum(r.attempts for r in engine) / max(1, len(engine)), 3),
        'after_fault':
            round(_share(after, in_time), 4),
        'near':
            round(_share([r for r in engine if r.attempts], lambda r: r.near),
                  3)
    }


_FAULTS = ('stalled', 'slow', 'broken', 'third gone', 'reports lost',
           'retry storm', 'cold restart', 'stalled and slow',
           'third gone, reports lost')
_OUTAGES = ('third gone', 'retry storm', 'cold restart')
_USERS = ('buna', 'tagline')


def _cells(quick: bool) -> Iterator[Cell]:
    policies = (_OURS, *_BASELINES) if quick else (_OURS, *_BASELINES, _ORACLE)
    loads = (0.8, 1.0, 2.0) if quick else (0.5, 0.8, 1.0, 1.3, 2.0)
    lags = (1.0,) if quick else (0.1, 1.0, 3.0)
    faults = ('slow', 'third gone', 'retry storm') if quick else _FAULTS
    for policy in policies:
        for mix in _USERS:
            for load in loads:
                for lag_s in lags:
                    yield Cell(policy, mix, load, lag_s)
        for mix in _USERS[:1] if quick else _USERS:
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
        for mix in _USERS:
            for load in (0.8, 1.0, 2.0):
                yield Cell(policy, mix, load, 1.0)
        yield Cell(policy, 'prefixes', 0.5, 1.0)
        yield Cell(policy, 'prefixes', 0.8, 1.0)
        for fault in ('stalled', 'slow', 'broken', 'third gone', 'retry storm'):
            yield Cell(policy, 'buna', 0.8, 1.0, fault)


_Row = dict[str, Any]


def _where(row: _Row) -> tuple[Any, ...]:
    return row['mix'], row['load'], row['lag_s'], row['fault']


def _targets(rows: list[_Row]) -> list[common.Target]:
    ours = {_where(row): row for row in rows if row['policy'] == 'ours'}
    users = [row for row in ours.values() if row['mix'] in _USERS]
    quiet = [row for row in users if row['fault'] == 'none']
    admitted = min(row['in_time_of_admitted']
                   for row in users
                   if row['load'] <= 1.0 and row['fault'] in ('none', 'slow'))
    kept = min(row['goodput'] /
               ours[row['mix'], 1.0, row['lag_s'], 'none']['goodput']
               for row in quiet
               if row['load'] == 2.0)
    high = min(row['high_in_time'] for row in quiet if row['load'] == 2.0)
    attempts = max(row['attempts'] for row in users if row['fault'] in _OUTAGES)
    back = min(
        row['after_fault'] /
        ours[row['mix'], row['load'], row['lag_s'], 'none']['after_fault']
        for row in users
        if row['fault'] != 'none')
    least = min(_against_baselines(rows).values())
    return [
        _at_least('in time of admitted, load to 1.0, no fault or a straggler',
                  0.95, admitted),
        _at_least('goodput at 2.0 over goodput at 1.0', 0.95, kept),
        _at_least('most important class in time at 2.0', 0.95, high),
        common.Target('attempts per request through an outage', 1.1, attempts,
                      attempts <= 1.1),
        _at_least('in time from 10 s after a fault over without it', 0.95,
                  back),
        _at_least('goodput over that of the best baseline, worst cell', 1.0,
                  least)
    ]


def _at_least(name: str, bound: float, value: float) -> common.Target:
    return common.Target(name, bound, round(value, 4), value >= bound)


def _against_baselines(rows: list[_Row]) -> dict[tuple[Any, ...], float]:
    """Goodput as a share of the best baseline's, by cell."""
    names = {policy.name for policy in _BASELINES}
    best: dict[tuple[Any, ...], float] = {}
    for row in rows:
        if row['policy'] in names:
            best[_where(row)] = max(best.get(_where(row), 0.0), row['goodput'])
    return {
        _where(row): row['goodput'] / best[_where(row)]
        for row in rows
        if row['policy'] == 'ours' and best.get(_where(row))
    }


def main() -> None:
    """Runs the cells and prints the result."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--quick', action='store_true')
    args = parser.parse_args()
    rows = [_measure(cell, args.seed) for cell in _cells(args.quick)]
    common.emit(args.seed, rows, _targets(rows))


if __name__ == '__main__':
    main()
