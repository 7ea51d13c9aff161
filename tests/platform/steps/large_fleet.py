"""Steps for load reports in a large deployment."""

import random
from collections.abc import Iterable
from typing import Any

from behave import given, then, when

from pollenthread.app import host_registry, load_reporter
from pollenthread.core import (host_record, peer_messages, server_load,
                               server_registry, service_estimate)
from pollenthread.core.routing import evacuations
from tests.fakes import virtual_time

_SERVICE = 'llm'
_SLOTS = 6
_PASS_S = 0.06
_QUEUED_REQUESTS = 60
_REQUIREMENTS = service_estimate.RequestRequirements(time_left_s=8.0,
                                                     max_gap_s=0.12,
                                                     passes=26.0,
                                                     target_left_s=0.4)


class _Network:
    """Records the addresses that messages are sent to."""

    def __init__(self) -> None:
        self.addresses: list[str] = []

    def send_all(self, addresses: Iterable[str], message: Any) -> bool:
        del message
        self.addresses = list(addresses)
        return True


def _records(context: Any,
             role: host_record.Role) -> list[host_record.HostRecord]:
    return [r for r in context.records if r.role is role]


@given('{centres:d} data centres with {servers:d} servers and {hosts:d} entry '
       'hosts each')
def step_deployment(context: Any, centres: int, servers: int,
                    hosts: int) -> None:
    context.records = []
    counts = ((host_record.Role.ENTRY, hosts), (host_record.Role.AGENT,
                                                servers))
    for centre in range(centres):
        for role, count in counts:
            for number in range(count):
                name = f'{role.value}-{centre:02}-{number}'
                context.records.append(
                    host_record.HostRecord(host=name,
                                           role=role,
                                           data_centre=f'dc-{centre:02}',
                                           peer_address=name,
                                           service=_SERVICE))


async def _audience(context: Any, own: host_record.HostRecord) -> list[str]:
    network: Any = _Network()
    reporter = load_reporter.LoadReporter(own=own,
                                          evacuations=evacuations.Evacuations(),
                                          hosts=context.registry,
                                          network=network,
                                          time=virtual_time.LoopClock())
    reporter.report(peer_messages.ServerLoad('', 0, 0, _SLOTS, 0, True, '', 0))
    return list(network.addresses)


@then('each agent reports to {count:d} entry hosts')
def step_audience(context: Any, count: int) -> None:
    context.registry = host_registry.HostRegistry()
    context.registry.records_by_host = {r.host: r for r in context.records}
    context.hosts_by_agent = {}
    by_centre = {
        r.data_centre: r for r in _records(context, host_record.Role.AGENT)
    }
    for record in by_centre.values():
        found = virtual_time.run(_audience(context, record))
        assert len(found) == count, (record.host, len(found))
        context.hosts_by_agent[record.host] = found


@then('each entry host hears the servers of its own data centre')
def step_own_servers(context: Any) -> None:
    for record in _records(context, host_record.Role.ENTRY):
        for agent, hosts in context.hosts_by_agent.items():
            if agent.split('-')[1] == record.host.split('-')[1]:
                assert record.host in hosts, (record.host, agent)


def _report(context: Any, server: server_registry.Server,
            requests: int) -> None:
    context.loads.record_report(
        server.id,
        server_load.ServerLoadReport(running=min(_SLOTS, requests),
                                     waiting=max(0, requests - _SLOTS),
                                     slots=_SLOTS,
                                     group='g',
                                     pass_s=_PASS_S), context.now)


@given('{known:d} servers with reported load {load:d} and {unknown:d} servers '
       'without a report')
def step_servers(context: Any, known: int, load: int, unknown: int) -> None:
    context.now = 100.0
    context.hosts = 9
    context.load = load
    context.loads = server_load.ServerLoadTracker(rng=random.Random(1))
    context.servers = [
        server_registry.Server(id=f's{i}',
                               service=_SERVICE,
                               address=f's{i}:1',
                               data_centre='a',
                               slots=_SLOTS,
                               state=server_registry.ServerState.READY)
        for i in range(known + unknown)
    ]
    context.reported = context.servers[:known]
    for server in context.reported:
        _report(context, server, load)


@given('{count:d} of the reported servers have load {load:d}')
def step_some_load(context: Any, count: int, load: int) -> None:
    context.idle = context.reported[:count]
    for server in context.idle:
        _report(context, server, load)


@when('the reported servers have no room for a request in time')
def step_full(context: Any) -> None:
    for server in context.reported:
        _report(context, server, _QUEUED_REQUESTS)


@when('{hosts:d} hosts of the deployment receive {rate:d} requests per second '
      'each')
def step_rate(context: Any, hosts: int, rate: int) -> None:
    context.hosts = hosts
    for number in range(5 * rate):
        context.loads.record_start('elsewhere', context.now + number / rate)
    context.now += 5.0
    for server in context.reported:
        _report(context, server, 0 if server in context.idle else context.load)


def _select(context: Any, count: int) -> list[str]:
    found = [
        context.loads.select(context.servers,
                             excluded=(),
                             data_centre='a',
                             requirements=_REQUIREMENTS,
                             hosts=context.hosts,
                             now=context.now) for _ in range(count)
    ]
    return [server.id for server in found if server is not None]


@then('{count:d} selections all return a reported server')
def step_all_reported(context: Any, count: int) -> None:
    found = _select(context, count)
    assert len(found) == count
    assert set(found) <= {s.id for s in context.reported}, set(found)


@then('{count:d} selections all return a server without a report')
def step_all_unreported(context: Any, count: int) -> None:
    found = _select(context, count)
    assert len(found) == count
    assert not set(found) & {s.id for s in context.reported}, set(found)


@then('at least {percent:d}% of {count:d} selections return one of those '
      '{idle:d} servers')
def step_idle_selected(context: Any, percent: int, count: int,
                       idle: int) -> None:
    idle_ids = {s.id for s in context.idle}
    assert len(idle_ids) == idle
    found = _select(context, count)
    hits = sum(name in idle_ids for name in found)
    assert hits * 100 >= percent * count, hits


@then('{count:d} selections return at least {minimum:d} different servers')
def step_different(context: Any, count: int, minimum: int) -> None:
    assert len(set(_select(context, count))) >= minimum
