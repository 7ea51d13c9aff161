"""Steps for pure decisions on the prepared platform."""

import dataclasses
import json
import random
from typing import Any

import result
from behave import given, then, when

from pollenthread.app import graceful_shutdown
from pollenthread.core import (addresses, resumable_events, retry_budget,
                               server_load, server_registry, service_estimate)
from pollenthread.platform import config_document

_RETURN_S = 2.2
_RATIO = 0.2
_EXTRA = 94.0
_WINDOW_S = 10.0
_HOSTS = 9
_SHORT = service_estimate.RequestRequirements(time_left_s=1.0)


def _server(
    server_id: str,
    state: server_registry.ServerState = server_registry.ServerState.READY
) -> server_registry.Server:
    return server_registry.Server(id=server_id,
                                  service='llm',
                                  address=f'10.0.0.1:{sum(server_id.encode())}',
                                  data_centre='a',
                                  slots=6,
                                  state=state,
                                  born_ms=1000)


@given('a fleet that lists servers "{names}" of "llm"')
def step_fleet(context: Any, names: str) -> None:
    context.now = 100.0
    context.fleet = server_registry.ServerRegistry(relisting_s=_RETURN_S)
    context.fleet.replace_all([_server(name) for name in names.split()],
                              context.now)


@when('the store is away')
def step_away(context: Any) -> None:
    context.fleet.begin_outage()


@when('the store is back')
def step_back(context: Any) -> None:
    context.fleet.end_outage(context.now)


@when('a peer that the store answers tells the list')
def step_peer_list(context: Any) -> None:
    context.fleet.cancel_outage()


@when('the entry of "{name}" is gone')
def step_gone(context: Any, name: str) -> None:
    context.fleet.remove(name, context.now)


@when('"{name}" is draining')
def step_draining(context: Any, name: str) -> None:
    context.fleet.put(_server(name, server_registry.ServerState.DRAINING))


@when('another server answers at the address of "{name}"')
def step_reused(context: Any, name: str) -> None:
    context.fleet.mark_replaced(name)


@when('"{name}" is listed at the address of "{old}", started at {born_ms:d} ms')
def step_listed_again(context: Any, name: str, old: str, born_ms: int) -> None:
    context.fleet.put(
        dataclasses.replace(_server(name),
                            address=_server(old).address,
                            born_ms=born_ms))


@when('an entry "{name}" of "{service}" is listed at the address of "{old}", '
      'started at {born_ms:d} ms')
def step_listed_oddly(context: Any, name: str, service: str, old: str,
                      born_ms: int) -> None:
    context.fleet.put(
        dataclasses.replace(_server(name),
                            service=service,
                            address=_server(old).address,
                            born_ms=born_ms))


@when('the agent beside "{name}" tells of a start at {born_ms:d} ms')
def step_started(context: Any, name: str, born_ms: int) -> None:
    context.fleet.record_start(_server(name).address, born_ms)


@when('{seconds:d} s pass')
def step_pass(context: Any, seconds: int) -> None:
    context.now += seconds
    context.fleet.drop_expired(context.now)


@then('"{names}" take work')
def step_take_work(context: Any, names: str) -> None:
    found = sorted(server.id for server in context.fleet.ready('llm'))
    assert found == sorted(names.split()), found


def _report(waiting: int = 0,
            *,
            is_open: bool = True) -> server_load.ServerLoadReport:
    return server_load.ServerLoadReport(running=0,
                                        waiting=waiting,
                                        slots=6,
                                        accepts_requests=is_open,
                                        group='g')


@given('servers "{names}" with an agent each')
def step_servers(context: Any, names: str) -> None:
    context.now = 100.0
    context.servers = [_server(name) for name in names.split()]
    context.loads = server_load.ServerLoadTracker(rng=random.Random(1))
    for server in context.servers:
        context.loads.record_report(server.id, _report(), context.now)


def _choose(context: Any) -> server_registry.Server | None:
    found: server_registry.Server | None = context.loads.select(
        context.servers,
        excluded=(),
        data_centre='a',
        requirements=_SHORT,
        hosts=_HOSTS,
        now=context.now)
    return found


@when('the agent of "{name}" is silent for {seconds:d} s')
def step_silent(context: Any, name: str, seconds: int) -> None:
    context.now += seconds
    for server in context.servers:
        if server.id != name:
            context.loads.record_report(server.id, _report(), context.now)


@when('both say that their group is closed')
def step_closed(context: Any) -> None:
    for server in context.servers:
        context.loads.record_report(server.id, _report(is_open=False),
                                    context.now)


@when('{count:d} requests are sent to "{name}" after its report')
def step_sent(context: Any, count: int, name: str) -> None:
    for _ in range(count):
        context.loads.record_start(name, context.now)


@then('{count:d} choices all go to "{name}"')
def step_choices(context: Any, count: int, name: str) -> None:
    found = {server.id for _ in range(count) if (server := _choose(context))}
    assert found == {name}, found


@then('there is no choice')
def step_no_choice(context: Any) -> None:
    assert _choose(context) is None


@then('the load of "{name}" is {load:d}')
def step_load(context: Any, name: str, load: int) -> None:
    assert context.loads.load(name, context.now) == load


@given('{hosts:d} hosts that know {servers:d} idle servers')
def step_hosts_know(context: Any, hosts: int, servers: int) -> None:
    context.now = 100.0
    context.servers = [_server(f's{i}') for i in range(servers)]
    context.boards = [
        server_load.ServerLoadTracker(rng=random.Random(i))
        for i in range(hosts)
    ]


@when('each host chooses once')
def step_each_chooses(context: Any) -> None:
    context.chosen = []
    for board in context.boards:
        for server in context.servers:
            board.record_report(server.id, _report(), context.now)
        context.loads = board
        found = _choose(context)
        assert found is not None
        context.chosen.append(found.id)


@then('no server is chosen more than {count:d} times')
def step_spread(context: Any, count: int) -> None:
    most = max(context.chosen.count(name) for name in context.chosen)
    assert most <= count, context.chosen


@given('{hosts:d} hosts that take {requests:d} requests in all')
def step_budget_hosts(context: Any, hosts: int, requests: int) -> None:
    context.now = 100.0
    context.requests = requests
    context.budgets = [
        retry_budget.SharedRetryBudget(ratio=_RATIO,
                                       extra=_EXTRA,
                                       window_s=_WINDOW_S) for _ in range(hosts)
    ]
    for i in range(requests):
        context.budgets[i % hosts].record_request(context.now)


@when('all repeat as much as they may')
def step_repeat(context: Any) -> None:
    context.repeats = 0
    for budget in context.budgets:
        while budget.try_acquire(context.now, len(context.budgets)):
            context.repeats += 1


@when('{seconds:d} s pass in the window')
def step_window(context: Any, seconds: int) -> None:
    context.now += seconds


@then('there are at most {ratio:f} repeats for each request and {extra:d} more')
def step_bound(context: Any, ratio: float, extra: int) -> None:
    bound = ratio * context.requests + extra
    assert context.repeats <= bound, (context.repeats, bound)


@then('there are at least {count:d} repeats')
def step_not_idle(context: Any, count: int) -> None:
    assert context.repeats >= count, context.repeats


@then('a repeat is allowed again')
def step_again(context: Any) -> None:
    assert context.budgets[0].try_acquire(context.now, 1)


@given('a stream in the parts "{first}", "{second}", "{third}"')
def step_stream(context: Any, first: str, second: str, third: str) -> None:
    context.splitter = resumable_events.ResumableEventSplitter()
    context.passed = b''
    for part in (first, second, third):
        data = part.replace(' data', '\ndata').replace(' da', '\nda')
        data = data.replace('|', '\n\n')
        context.passed += context.splitter.feed(data.encode())


@then('the caller has got {count:d} events, the last with id "{last}"')
def step_events(context: Any, count: int, last: str) -> None:
    assert context.passed.count(b'\n\n') == count, context.passed
    assert context.passed.endswith(b'\n\n')
    assert context.splitter.last_id == last


@then('an unfinished event is held back')
def step_partial(context: Any) -> None:
    assert context.splitter.has_partial


@given('a planned stop with {grace:d} s of grace')
def step_stop(context: Any, grace: int) -> None:
    context.plan = graceful_shutdown.ShutdownPlan(grace_s=grace,
                                                  discovery_cache_s=3.0)


@then('a stream is taken after {taken:d} s and refused after {refused:d} s')
def step_stream_taken(context: Any, taken: int, refused: int) -> None:
    takes = graceful_shutdown.accepts_request
    assert takes(context.plan, taken, is_stream=True)
    assert not takes(context.plan, refused, is_stream=True)


@then('a short request is taken after {taken:d} s and refused after '
      '{refused:d} s')
def step_short_taken(context: Any, taken: int, refused: int) -> None:
    takes = graceful_shutdown.accepts_request
    assert takes(context.plan, taken, is_stream=False)
    assert not takes(context.plan, refused, is_stream=False)


@then('the stop is done after {done:d} s if nothing runs, and not before '
      '{early:d} s')
def step_done(context: Any, done: int, early: int) -> None:
    assert graceful_shutdown.may_exit(context.plan, done, 0)
    assert not graceful_shutdown.may_exit(context.plan, early - 0.1, 0)
    assert not graceful_shutdown.may_exit(context.plan, done, 1)


@then('the stop is done after {seconds:f} s whatever runs')
def step_forced(context: Any, seconds: float) -> None:
    assert graceful_shutdown.may_exit(context.plan, seconds, 5)


@given('entry hosts "{names}" in data centres "{places}"')
def step_entries(context: Any, names: str, places: str) -> None:
    context.entries = [
        addresses.EntryHost(name, name, data_centre=place)
        for name, place in zip(names.split(), places.split())
    ]


@then('a caller in "{place}" is told "{names}"')
def step_told(context: Any, place: str, names: str) -> None:
    found = addresses.addresses_near(context.entries, place, min_hosts=2)
    assert found == names.split(), found


@when('a configuration is read whose {field} is {value}')
def step_read_bad(context: Any, field: str, value: str) -> None:
    document: dict[str, Any] = {'version': 1, 'routes': [], 'services': []}
    document[field] = json.loads(value)
    context.read = config_document.try_decode(json.dumps(document).encode())


@then('it is rejected with "{reason}"')
def step_rejected(context: Any, reason: str) -> None:
    assert isinstance(context.read, result.Err), context.read
    assert reason in context.read.err_value, context.read
