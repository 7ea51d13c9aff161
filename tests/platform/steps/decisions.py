"""Steps for decisions of entry hosts on the platform."""

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

_RELISTING_S = 2.2
_RETRY_RATIO = 0.2
_EXTRA_RETRIES = 94.0
_RETRY_WINDOW_S = 10.0
_HOSTS = 9
_SHORT_REQUEST = service_estimate.RequestRequirements(time_left_s=1.0)


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


@given('a registry that lists servers "{names}" of "llm"')
def step_registry(context: Any, names: str) -> None:
    context.now = 100.0
    context.registry = server_registry.ServerRegistry(relisting_s=_RELISTING_S)
    context.registry.replace_all([_server(name) for name in names.split()],
                                 context.now)


@when('the store is unavailable')
def step_store_unavailable(context: Any) -> None:
    context.registry.begin_outage()


@when('the store is available again')
def step_store_available(context: Any) -> None:
    context.registry.end_outage(context.now)


@when('a peer that reaches the store sends its server list')
def step_peer_list(context: Any) -> None:
    context.registry.cancel_outage()


@when('the entry of "{name}" is removed')
def step_entry_removed(context: Any, name: str) -> None:
    context.registry.remove(name, context.now)


@when('"{name}" is draining')
def step_draining(context: Any, name: str) -> None:
    context.registry.put(_server(name, server_registry.ServerState.DRAINING))


@when('another server responds at the address of "{name}"')
def step_address_reused(context: Any, name: str) -> None:
    context.registry.mark_ended(context.registry.get(name))


@when('"{name}" is listed at the address of "{old}" with start time '
      '{born_ms:d} ms')
def step_listed_at_address(context: Any, name: str, old: str,
                           born_ms: int) -> None:
    context.registry.put(
        dataclasses.replace(_server(name),
                            address=_server(old).address,
                            born_ms=born_ms))


@when('an entry "{name}" of "{service}" is listed at the address of "{old}" '
      'with start time {born_ms:d} ms')
def step_other_service_listed(context: Any, name: str, service: str, old: str,
                              born_ms: int) -> None:
    context.registry.put(
        dataclasses.replace(_server(name),
                            service=service,
                            address=_server(old).address,
                            born_ms=born_ms))


@when('the agent beside "{name}" reports start time {born_ms:d} ms')
def step_start_reported(context: Any, name: str, born_ms: int) -> None:
    context.registry.record_start(_server(name).address, born_ms)


@when('{seconds:d} s elapse')
def step_elapse(context: Any, seconds: int) -> None:
    context.now += seconds
    context.registry.drop_expired(context.now)


@then('the usable servers are "{names}"')
def step_usable(context: Any, names: str) -> None:
    found = sorted(server.id for server in context.registry.ready('llm'))
    assert found == sorted(names.split()), found


def _report(waiting: int = 0,
            *,
            running: int = 0,
            pace_percent: int = 100,
            is_open: bool = True) -> server_load.ServerLoadReport:
    return server_load.ServerLoadReport(running=running,
                                        pace_percent=pace_percent,
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


def _select(context: Any) -> server_registry.Server | None:
    found: server_registry.Server | None = context.loads.select(
        context.servers,
        excluded=(),
        data_centre='a',
        requirements=_SHORT_REQUEST,
        hosts=_HOSTS,
        now=context.now)
    return found


@when('the agent of "{name}" sends no report for {seconds:d} s')
def step_no_report(context: Any, name: str, seconds: int) -> None:
    context.now += seconds
    for server in context.servers:
        if server.id != name:
            context.loads.record_report(server.id, _report(), context.now)


@when('both report that their group is closed')
def step_group_closed(context: Any) -> None:
    for server in context.servers:
        context.loads.record_report(server.id, _report(is_open=False),
                                    context.now)


@when('{count:d} requests are sent to "{name}" after its report')
def step_requests_sent(context: Any, count: int, name: str) -> None:
    for _ in range(count):
        context.loads.record_start(name, context.now)


@then('{count:d} selections all return "{name}"')
def step_all_selected(context: Any, count: int, name: str) -> None:
    found = {server.id for _ in range(count) if (server := _select(context))}
    assert found == {name}, found


@when(
    '"{name}" takes {percent:d} percent of its normal time, and "{other}" has '
    '{running:d} requests')
def step_slow_rank(context: Any, name: str, percent: int, other: str,
                   running: int) -> None:
    context.loads.record_report(name, _report(pace_percent=percent),
                                context.now)
    context.loads.record_report(other, _report(running=running), context.now)


@then('no server is selected')
def step_none_selected(context: Any) -> None:
    assert _select(context) is None


@then('the load of "{name}" is {load:d}')
def step_load(context: Any, name: str, load: int) -> None:
    assert context.loads.load(name, context.now) == load


@given('{hosts:d} hosts that know {servers:d} idle servers')
def step_hosts_know(context: Any, hosts: int, servers: int) -> None:
    context.now = 100.0
    context.servers = [_server(f's{i}') for i in range(servers)]
    context.trackers = [
        server_load.ServerLoadTracker(rng=random.Random(i))
        for i in range(hosts)
    ]


@when('each host selects a server once')
def step_each_selects(context: Any) -> None:
    context.selected_ids = []
    for tracker in context.trackers:
        for server in context.servers:
            tracker.record_report(server.id, _report(), context.now)
        context.loads = tracker
        found = _select(context)
        assert found is not None
        context.selected_ids.append(found.id)


@then('no server is selected more than {count:d} times')
def step_spread(context: Any, count: int) -> None:
    most = max(
        context.selected_ids.count(name) for name in context.selected_ids)
    assert most <= count, context.selected_ids


@given('{hosts:d} hosts that receive {requests:d} requests in total')
def step_budget_hosts(context: Any, hosts: int, requests: int) -> None:
    context.now = 100.0
    context.requests = requests
    context.budgets = [
        retry_budget.SharedRetryBudget(ratio=_RETRY_RATIO,
                                       extra=_EXTRA_RETRIES,
                                       window_s=_RETRY_WINDOW_S)
        for _ in range(hosts)
    ]
    for i in range(requests):
        context.budgets[i % hosts].record_request(context.now)


@when('each host retries until its budget is used up')
def step_retry(context: Any) -> None:
    context.retries = 0
    for budget in context.budgets:
        while budget.try_acquire(context.now, len(context.budgets)):
            context.retries += 1


@when('{seconds:d} s of the budget window elapse')
def step_window(context: Any, seconds: int) -> None:
    context.now += seconds


@then('there are at most {ratio:f} retries per request plus {extra:d}')
def step_max_retries(context: Any, ratio: float, extra: int) -> None:
    bound = ratio * context.requests + extra
    assert context.retries <= bound, (context.retries, bound)


@then('there are at least {count:d} retries')
def step_min_retries(context: Any, count: int) -> None:
    assert context.retries >= count, context.retries


@then('a retry is allowed again')
def step_retry_allowed(context: Any) -> None:
    assert context.budgets[0].try_acquire(context.now, 1)


@given('a stream that arrives in the chunks "{first}", "{second}", "{third}"')
def step_stream(context: Any, first: str, second: str, third: str) -> None:
    context.splitter = resumable_events.ResumableEventSplitter()
    context.received = b''
    for chunk in (first, second, third):
        data = chunk.replace(' data', '\ndata').replace(' da', '\nda')
        data = data.replace('|', '\n\n')
        context.received += context.splitter.feed(data.encode())


@then('the caller has received {count:d} events, the last with id "{last}"')
def step_events(context: Any, count: int, last: str) -> None:
    assert context.received.count(b'\n\n') == count, context.received
    assert context.received.endswith(b'\n\n')
    assert context.splitter.last_id == last


@then('an incomplete event is buffered')
def step_incomplete_event(context: Any) -> None:
    assert context.splitter.has_partial


@given('a graceful shutdown with a grace period of {grace:d} s')
def step_shutdown(context: Any, grace: int) -> None:
    context.plan = graceful_shutdown.ShutdownPlan(grace_s=grace,
                                                  discovery_cache_s=3.0)


@then('a stream is accepted after {accepted_s:d} s and rejected after '
      '{rejected_s:d} s')
def step_stream_accepted(context: Any, accepted_s: int,
                         rejected_s: int) -> None:
    assert _accepts(context, accepted_s, 8.0, is_resumable=True)
    assert not _accepts(context, rejected_s, 8.0, is_resumable=True)


@then('a short request is accepted after {accepted_s:d} s and rejected after '
      '{rejected_s:d} s')
def step_short_accepted(context: Any, accepted_s: int, rejected_s: int) -> None:
    assert _accepts(context, accepted_s, 1.0, is_resumable=False)
    assert not _accepts(context, rejected_s, 1.0, is_resumable=False)


def _accepts(context: Any, elapsed_s: float, longest_s: float, *,
             is_resumable: bool) -> bool:
    return graceful_shutdown.accepts_request(context.plan,
                                             elapsed_s,
                                             longest_s=longest_s,
                                             is_resumable=is_resumable)


@then('the host may exit after {exit_s:d} s if no request is running, and not '
      'before {early_s:d} s')
def step_may_exit(context: Any, exit_s: int, early_s: int) -> None:
    assert graceful_shutdown.may_exit(context.plan, exit_s, 0)
    assert not graceful_shutdown.may_exit(context.plan, early_s - 0.1, 0)
    assert not graceful_shutdown.may_exit(context.plan, exit_s, 1)


@then('the host may exit after {seconds:f} s even if requests are running')
def step_forced_exit(context: Any, seconds: float) -> None:
    assert graceful_shutdown.may_exit(context.plan, seconds, 5)


@given('entry hosts "{names}" in data centres "{data_centres}"')
def step_entries(context: Any, names: str, data_centres: str) -> None:
    context.entries = [
        addresses.EntryHost(name, name, data_centre=data_centre)
        for name, data_centre in zip(names.split(), data_centres.split())
    ]


@then('a caller in "{data_centre}" gets the addresses "{names}"')
def step_addresses(context: Any, data_centre: str, names: str) -> None:
    found = addresses.addresses_near(context.entries, data_centre, min_hosts=2)
    assert found == names.split(), found


@when('a configuration whose {field} is {value} is decoded')
def step_decode(context: Any, field: str, value: str) -> None:
    document: dict[str, Any] = {'version': 1, 'routes': [], 'services': []}
    document[field] = json.loads(value)
    context.decoded = config_document.try_decode(json.dumps(document).encode())


@then('it is rejected with "{reason}"')
def step_rejected(context: Any, reason: str) -> None:
    assert isinstance(context.decoded, result.Err), context.decoded
    assert reason in context.decoded.err_value, context.decoded
