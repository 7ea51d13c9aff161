"""Steps for server selection under heavy load."""

import collections
import random
from typing import Any

from behave import given, then, when

from pollenthread.core import server_load, server_registry, service_estimate

_SERVERS_PER_GROUP = 8
_SLOTS = 6
_PASSES_PER_REQUEST = 26.5
_REQUIREMENTS = service_estimate.RequestRequirements(time_left_s=8.0,
                                                     max_gap_s=0.12,
                                                     passes=_PASSES_PER_REQUEST)
_REPORT_TIMEOUT_S = 2.0
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
        for i in range(_SERVERS_PER_GROUP)
    ]
    context.unresponsive_ids = set()


@given('every server has {count:d} running requests')
def step_running(context: Any, count: int) -> None:
    for server in context.servers:
        _report(context, server, count)


@given('servers of "{first}" have {many:d} requests each, those of "{second}" '
       '{few:d}')
def step_group_loads(context: Any, first: str, many: int, second: str,
                     few: int) -> None:
    for server in context.servers:
        _report(context, server, many if server.id.startswith(first) else few)
    assert second in context.pass_s_by_group


@given('{count:d} servers stop reporting')
def step_stop_reporting(context: Any, count: int) -> None:
    context.now += _REPORT_TIMEOUT_S
    context.unresponsive_ids = {server.id for server in context.servers[:count]}
    for server in context.servers[count:]:
        _report(context, server, 2)


@when('a server is selected for each of {count:d} streams')
def step_select(context: Any, count: int) -> None:
    context.count_by_server = collections.Counter()
    for _ in range(count):
        server = context.loads.select(context.servers,
                                      excluded=(),
                                      data_centre='a',
                                      requirements=_REQUIREMENTS,
                                      hosts=_HOSTS,
                                      now=context.now)
        context.count_by_server[server.id if server else None] += 1
        if server is not None:
            context.loads.record_start(server.id, context.now)


@then('all of them go to "{group}"')
def step_all_in_group(context: Any, group: str) -> None:
    assert all(
        name and name.startswith(group) for name in context.count_by_server), (
            context.count_by_server)


@then('no server gets more than {count:d}')
def step_spread(context: Any, count: int) -> None:
    assert max(
        context.count_by_server.values()) <= count, context.count_by_server


@then('{count:d} streams are rejected')
def step_rejected(context: Any, count: int) -> None:
    assert context.count_by_server[None] == count, context.count_by_server


@then('none of them goes to an unresponsive server')
def step_none_unresponsive(context: Any) -> None:
    assert not context.unresponsive_ids & set(
        context.count_by_server), context.count_by_server
