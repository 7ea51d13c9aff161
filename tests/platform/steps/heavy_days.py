"""Steps for where work goes on heavy days."""

import collections
import random
from typing import Any

from behave import given, then, when

from pollenthread.core import server_load, server_registry, service_estimate

_SERVERS = 8
_SLOTS = 6
_PASSES = 26.5
_NEED = service_estimate.RequestRequirements(time_left_s=8.0,
                                             max_gap_s=0.12,
                                             passes=_PASSES)
_SILENCE_S = 2.0
_HOSTS = 9


def _report(context: Any, server: server_registry.Server,
            requests: int) -> None:
    group = server.id.partition('-')[0]
    context.loads.record_report(
        server.id,
        server_load.ServerLoadReport(running=min(_SLOTS, requests),
                                     waiting=max(0, requests - _SLOTS),
                                     slots=_SLOTS,
                                     group=group,
                                     pass_s=context.pass_s_by_group[group]),
        context.now)


@given('groups "{names}" of 8 servers with passes of {first:d} and {second:d} '
       'ms')
def step_groups(context: Any, names: str, first: int, second: int) -> None:
    context.now = 100.0
    context.loads = server_load.ServerLoadTracker(rng=random.Random(1))
    context.pass_s_by_group = dict(
        zip(names.split(), (first / 1000, second / 1000)))
    context.servers = [
        server_registry.Server(id=f'{group}-{i}',
                               service='llm',
                               address=f'10.0.0.{i}:1',
                               data_centre='a',
                               slots=_SLOTS,
                               state=server_registry.ServerState.READY)
        for group in names.split()
        for i in range(_SERVERS)
    ]
    context.silent = set()


@given('every server works on {count:d} requests')
def step_work(context: Any, count: int) -> None:
    for server in context.servers:
        _report(context, server, count)


@given('servers of "{first}" have {many:d} requests each, those of "{second}" '
       '{few:d}')
def step_loads(context: Any, first: str, many: int, second: str,
               few: int) -> None:
    for server in context.servers:
        _report(context, server, many if server.id.startswith(first) else few)
    assert second in context.pass_s_by_group


@given('{count:d} servers fall silent')
def step_silent(context: Any, count: int) -> None:
    context.now += _SILENCE_S
    context.silent = {server.id for server in context.servers[:count]}
    for server in context.servers[count:]:
        _report(context, server, 2)


@when('{count:d} streams are placed')
def step_place(context: Any, count: int) -> None:
    context.placed = collections.Counter()
    for _ in range(count):
        server = context.loads.select(context.servers,
                                      excluded=(),
                                      data_centre='a',
                                      requirements=_NEED,
                                      hosts=_HOSTS,
                                      now=context.now)
        context.placed[server.id if server else None] += 1
        if server is not None:
            context.loads.record_start(server.id, context.now)


@then('all of them go to "{group}"')
def step_all_go(context: Any, group: str) -> None:
    assert all(name and name.startswith(group) for name in context.placed), (
        context.placed)


@then('no server gets more than {count:d}')
def step_spread(context: Any, count: int) -> None:
    assert max(context.placed.values()) <= count, context.placed


@then('{count:d} streams are refused')
def step_refused(context: Any, count: int) -> None:
    assert context.placed[None] == count, context.placed


@then('none of them goes to a silent server')
def step_none_silent(context: Any) -> None:
    assert not context.silent & set(context.placed), context.placed
