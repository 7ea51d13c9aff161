"""Steps for work that is moved between data centres."""

import dataclasses
import math
import random
from collections.abc import Callable
from typing import Any

from behave import given, then, when

from pollenthread.core import server_load, server_registry, service_estimate
from pollenthread.core.routing import spill
from tests.fakes import forwarding, uneven_centres

_HOSTS = 4
_NOW = 100.0
_PASS_S = 0.06
# So short that no wait in a queue is within it.
_NO_QUEUE_S = 0.001


@given('data centres with room for {slots:d} requests and demands of {a:d}, '
       '{b:d} and {c:d}')
def step_rooms(context: Any, slots: int, a: int, b: int, c: int) -> None:
    context.rooms = [
        spill.DataCentreRoom(name, slots, demand)
        for name, demand in zip('abc', (a, b, c))
    ]
    context.checked = set()


@when('"{name}" loses all its servers')
def step_no_servers(context: Any, name: str) -> None:
    context.rooms = [
        dataclasses.replace(room, slots=0.0)
        if room.data_centre == name else room for room in context.rooms
    ]


def _moved_requests(context: Any, name: str) -> dict[str, float]:
    context.checked.add(name)
    demand = next(r.demand for r in context.rooms if r.data_centre == name)
    shares = spill.plan_moves(context.rooms).get(name, {})
    return {receiver: share * demand for receiver, share in shares.items()}


@then('"{sender}" moves between {low:d} and {high:d} requests to "{first}" and '
      'to "{second}" each')
def step_moves(context: Any, sender: str, low: int, high: int, first: str,
               second: str) -> None:
    moved = _moved_requests(context, sender)
    assert moved.keys() == {first, second}, moved
    assert all(low <= count <= high for count in moved.values()), moved


@then('"{sender}" moves {count:d} requests in all')
def step_moves_all(context: Any, sender: str, count: int) -> None:
    moved = _moved_requests(context, sender)
    assert abs(sum(moved.values()) - count) < 1e-6, moved


@then('nothing else is moved')
def step_nothing_else(context: Any) -> None:
    assert spill.plan_moves(context.rooms).keys() == context.checked


@given('servers in "{first}" with {many:d} of {slots:d} slots in use and in '
       '"{second}" with {few:d}')
def step_two_centres(context: Any, first: str, many: int, slots: int,
                     second: str, few: int) -> None:
    context.loads = server_load.ServerLoadTracker(rng=random.Random(1))
    context.servers = [
        dataclasses.replace(forwarding.make_server(f'{name}{i}', slots=slots),
                            data_centre=name)
        for name in (first, second)
        for i in range(4)
    ]
    context.running = {first: many, second: few}
    context.hosts = 1
    for name in (first, second):
        _report(context, name, _PASS_S)


def _report(context: Any, data_centre: str, pass_s: float) -> None:
    for server in context.servers:
        if server.data_centre == data_centre:
            context.loads.record_report(
                server.id,
                server_load.ServerLoadReport(
                    running=context.running[data_centre],
                    waiting=0,
                    slots=server.slots,
                    group=f'g-{data_centre}',
                    pass_s=pass_s), _NOW)


@given('passes in "{data_centre}" take {pass_ms:d} ms')
def step_slow_passes(context: Any, data_centre: str, pass_ms: int) -> None:
    context.loads = server_load.ServerLoadTracker(rng=random.Random(1))
    for name in context.running:
        _report(context, name,
                pass_ms / 1000 if name == data_centre else _PASS_S)


@given('{count:d} requests to another service within {seconds:d} s')
def step_other_service(context: Any, count: int, seconds: int) -> None:
    for number in range(count):
        context.loads.record_start('elsewhere',
                                   _NOW - seconds * (1 - number / count))


@given('"{data_centre}" moves work away')
def step_full(context: Any, data_centre: str) -> None:
    context.loads.set_spill_plan(
        context.servers[0].service,
        spill.SpillPlan(full_data_centres=frozenset((data_centre,))))


@given('one slot is free in "{data_centre}" while {count:d} requests arrive '
       'there per report')
def step_one_free(context: Any, data_centre: str, count: int) -> None:
    context.hosts = 2 * count
    first = next(s for s in context.servers if s.data_centre == data_centre)
    context.running[data_centre] = first.slots - 1
    context.servers, others = [first], context.servers
    _report(context, data_centre, _PASS_S)
    context.servers = others


def _select(context: Any,
            own: str,
            target_left_s: float = 0.0) -> server_registry.Server | None:
    found: server_registry.Server | None = context.loads.select(
        context.servers,
        excluded=(),
        data_centre=own,
        requirements=service_estimate.RequestRequirements(
            time_left_s=8.0,
            max_gap_s=0.12,
            passes=26.5,
            target_left_s=target_left_s),
        hosts=context.hosts,
        now=_NOW)
    if found is not None:
        # It is sent, but ends at once: only its arrival counts.
        context.loads.record_start(found.id, _NOW)
        context.loads.record_end(found.id)
    return found


@then('{count:d} requests of "{own}" all go to "{found}"')
def step_all_go(context: Any, count: int, own: str, found: str) -> None:
    for _ in range(count):
        server = _select(context, own)
        assert server is not None and server.data_centre == found, server


@then('at most {most:d} of {count:d} requests of "{own}" that must not queue '
      'go to "{found}"')
def step_few_go(context: Any, most: int, count: int, own: str,
                found: str) -> None:
    servers = [_select(context, own, _NO_QUEUE_S) for _ in range(count)]
    stayed = sum(s is not None and s.data_centre == found for s in servers)
    assert stayed <= most, stayed


def _make_centres(
        context: Any, load: Callable[[str, float],
                                     float]) -> uneven_centres.UnevenCentres:
    return uneven_centres.UnevenCentres(servers=context.servers_each,
                                        hosts=_HOSTS,
                                        load=load,
                                        report_interval_s=context.interval_s)


def _run(context: Any, load: Callable[[str, float], float],
         seconds: int) -> None:
    context.load, context.seconds = load, seconds
    context.centres = _make_centres(context, load)
    context.centres.run(seconds)


@given('3 data centres with {servers:d} servers that report every '
       '{interval_s:g} s')
def step_centres(context: Any, servers: int, interval_s: float) -> None:
    context.servers_each, context.interval_s = servers, interval_s


@when('all of them have a load of {load:g} for {seconds:d} s')
def step_even(context: Any, load: float, seconds: int) -> None:
    _run(context, lambda name, elapsed_s: load, seconds)


@when('"{name}" has a load of {load:g} and the others one of {other:g} for '
      '{seconds:d} s')
def step_one_high(context: Any, name: str, load: float, other: float,
                  seconds: int) -> None:
    _run(context, lambda own, elapsed_s: load
         if own == name else other, seconds)


@when('their loads swing around {mean:g} by half within {period_s:d} s, a '
      'third apart, for {seconds:d} s')
def step_waves(context: Any, mean: float, period_s: int, seconds: int) -> None:

    def load(name: str, elapsed_s: float) -> float:
        phase = elapsed_s / period_s + 'abc'.index(name) / 3
        return mean * (1 + 0.5 * math.sin(2 * math.pi * phase))

    _run(context, load, seconds)


@when('all have a load of {load:g}, and two fifths of that of "{old}" go to '
      '"{new}" from second {start:d} on for {seconds:d} s')
def step_callers_move(context: Any, load: float, old: str, new: str, start: int,
                      seconds: int) -> None:

    def load_at(name: str, elapsed_s: float) -> float:
        factor = {old: 0.6, new: 1.4}.get(name, 1.0)
        return load * (factor if elapsed_s >= start else 1.0)

    _run(context, load_at, seconds)


def _moved(context: Any, sender: str) -> int:
    return sum(
        context.centres.moved(sender, receiver)
        for receiver in 'abc'
        if receiver != sender)


def _count(context: Any, names: str) -> int:
    return sum(r.data_centre in names for r in context.centres.requests)


@then('under {percent:d}% of the requests are moved')
def step_few_moved(context: Any, percent: int) -> None:
    moved = 100 * sum(_moved(context, name) for name in 'abc') / _count(
        context, 'abc')
    assert moved < percent, moved


@then('"{name}" moves at least {low:d}% and at most {high:d}% of its requests')
def step_share_moved(context: Any, name: str, low: int, high: int) -> None:
    percent = 100 * _moved(context, name) / _count(context, name)
    assert low <= percent <= high, percent


@then('the others move under {percent:d}% of theirs')
def step_others(context: Any, percent: int) -> None:
    moved = 100 * sum(_moved(context, name) for name in 'bc') / _count(
        context, 'bc')
    assert moved < percent, moved


@then('at most {percent:d}% more of the requests wait over 200 ms than under '
      'an even load of {load:g}')
def step_wait(context: Any, percent: int, load: float) -> None:
    oracle = _make_centres(context, lambda name, elapsed_s: load)
    oracle.run(context.seconds)
    found = 100 * context.centres.late_share()
    assert found <= 100 * oracle.late_share() + percent, (found,
                                                          oracle.late_share())


@then('at most {percent:d}% more of all requests are moved than an oracle '
      'would move')
def step_oracle(context: Any, percent: int) -> None:
    """An oracle moves what is beyond all slots, and has room elsewhere."""
    moved = total = 0.0
    for step in range(context.seconds * 10):
        loads = [context.load(name, step / 10) for name in 'abc']
        moved += min(sum(max(0.0, load - 1) for load in loads),
                     sum(max(0.0, 1 - load) for load in loads))
        total += sum(loads)
    found = sum(_moved(context, name) for name in 'abc') / _count(
        context, 'abc')
    assert found < moved / total + percent / 100, (found, moved / total)
