"""Steps for the order of waiting requests and the shares of hosts."""

import asyncio
import dataclasses
import random
from typing import Any

from behave import given, then, when

from pollenthread.core import server_load
from pollenthread.core.admission import send_allowance, waiting_queue
from tests.fakes import busy_servers, forwarding, virtual_time

_INTERVAL_S = 0.25


def _request(name: str, level: int, workspace: str, in_time_until: float,
             leaves_at: float) -> waiting_queue.WaitingRequest:
    return waiting_queue.WaitingRequest(id=name,
                                        level=level,
                                        workspace=workspace,
                                        joined_at=8.0,
                                        in_time_until=in_time_until,
                                        leaves_at=leaves_at,
                                        size_bytes=1)


@given('a queue of {count:d} requests')
def step_queue(context: Any, count: int) -> None:
    context.queue = waiting_queue.WaitingQueue(max_requests=count,
                                               max_bytes=1000)


@given('waiting requests at second {now:g}')
def step_requests(context: Any, now: float) -> None:
    context.now = now
    if 'queue' not in context:
        step_queue(context, 100)
    for row in context.table:
        context.queue.push(
            _request(row['id'], int(row['level']), row['workspace'],
                     float(row['in time until']), float(row['leaves at'])), now)


@then('they are sent in the order "{names}"')
def step_order(context: Any, names: str) -> None:
    sent = []
    while (head := context.queue.next(context.now)) is not None:
        context.queue.record_sent(head)
        sent.append(head.id)
    assert sent == names.split(), sent


@given('a text that waits, and captions that wait without end')
def step_endless(context: Any) -> None:
    step_queue(context, 100)
    context.now = 10.0
    context.queue.push(_request('text', 2, 'a', 11, 12), context.now)


@then('of {count:d} turns the text has one')
def step_floor(context: Any, count: int) -> None:
    sent = []
    for _ in range(count):
        context.queue.push(_request('caption', 0, 'b', 11, 12), context.now)
        head = context.queue.next(context.now)
        context.queue.record_sent(head)
        sent.append(head.id)
    assert sent.count('text') == 1, sent


@given('a host whose servers are full, with a request of "{first}" and one of '
       '"{second}" waiting')
def step_full_host(context: Any, first: str, second: str) -> None:
    context.routes = {
        name:
            dataclasses.replace(forwarding.ROUTE,
                                name=name,
                                path_prefix=f'/{name}/',
                                priority=priority,
                                target_s=1.0)
        for priority, name in ((1, first), (2, second))
    }
    context.state = forwarding.make_state()
    context.server = forwarding.make_server('s')
    context.state.server_registry.put(context.server)
    context.servers = busy_servers.BusyServers(
        servers=[context.server], profile=busy_servers.ServerProfile())
    _set_config(context, 1)


def _set_config(context: Any, version: int) -> None:
    context.state.config = dataclasses.replace(
        forwarding.CONFIG,
        version=version,
        routes_by_host={'h': tuple(context.routes.values())})


def _report(context: Any, now: float, running: int, queued: int = 0) -> None:
    context.state.server_loads.record_report(
        context.server.id,
        server_load.ServerLoadReport(running=running,
                                     waiting=queued,
                                     slots=6,
                                     group='g',
                                     pass_s=0.06), now)


async def _wait_at_host(context: Any, *, leave: bool) -> None:
    """Lets both requests wait, and changes the configuration meanwhile."""
    time = virtual_time.LoopClock()
    host = forwarding.make_forwarder(state=context.state,
                                     upstream_client=context.servers,
                                     time=time)
    _report(context, time.monotonic(), running=6, queued=20)
    tasks = [
        asyncio.create_task(
            host.serve(
                dataclasses.replace(forwarding.make_request(
                    received_at=time.monotonic(), timeout_s=8.0),
                                    target=f'/{name}/x'),
                forwarding.RecordingResponse())) for name in context.routes
    ]
    await asyncio.sleep(0.2)
    if not leave:
        context.routes = {
            name: dataclasses.replace(route, priority=1 - index)
            for index, (name, route) in enumerate(context.routes.items())
        }
        _set_config(context, 2)
        await asyncio.sleep(0.15)
    waiting = context.state.demand.own_demand(time.monotonic())[0].waiting
    context.waiting_before = waiting
    for task in tasks:
        task.cancel()
    await asyncio.wait(tasks)
    _report(context, time.monotonic(), running=0)
    await asyncio.sleep(0.5)
    context.waiting_after = context.state.demand.own_demand(
        time.monotonic())[0].waiting


@when('a configuration gives "b" the first priority')
def step_new_config(context: Any) -> None:
    virtual_time.run(_wait_at_host(context, leave=False))


@then('the request of "b" is on the first level, that of "a" on the second')
def step_new_levels(context: Any) -> None:
    assert context.waiting_before[:2] == (1, 1), context.waiting_before


@when('their callers leave and the servers have room')
def step_leave(context: Any) -> None:
    virtual_time.run(_wait_at_host(context, leave=True))


@then('no server has got a request, and none waits')
def step_nothing_sent(context: Any) -> None:
    assert sum(context.waiting_before) == 2, context.waiting_before
    assert not any(context.waiting_after), context.waiting_after
    assert context.servers.longest_wait_s == 0


@given('{hosts:d} hosts with equal demand that see room for {slots:d} requests')
def step_hosts(context: Any, hosts: int, slots: int) -> None:
    rng = random.Random(1)
    context.allowances = [
        send_allowance.SendAllowance(rng=rng) for _ in range(hosts)
    ]
    context.room = send_allowance.Room(free_slots=slots,
                                       kept_slots=0.0,
                                       queued=0.0,
                                       head_room=0.0,
                                       own_need=0.0,
                                       completions=0.0,
                                       frees_per_s=slots / _INTERVAL_S,
                                       ahead_per_s=0.0,
                                       unseen_s=_INTERVAL_S,
                                       own_share=1 / hosts,
                                       waiting=100.0,
                                       own_waiting=100.0)


@then('over {count:d} intervals they send between {least:d} and {most:d} in '
      'each, on average')
def step_sum_fits(context: Any, count: int, least: int, most: int) -> None:
    sent = 0
    for interval in range(count):
        # The reports at the end of an interval show what was sent in it.
        now = interval * 1.01 * _INTERVAL_S
        for allowance in context.allowances:
            seen = context.room
            while allowance.allows(seen, now):
                allowance.record_sent(now)
                seen = dataclasses.replace(seen, free_slots=seen.free_slots - 1)
                sent += 1
    assert least <= sent / count <= most, sent / count
