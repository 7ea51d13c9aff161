"""Steps for end-to-end requests on the platform."""

import asyncio
import copy
import re
import signal
from typing import Any

from behave import given, then, when

from tests import scenario
from tests.fakes import platform_site

_PROPAGATION_S = 1.6
_EVENT_ID = re.compile(rb'^id: (\d+)$', re.MULTILINE)


def _start_site(context: Any, **options: Any) -> None:
    context.site = scenario.run(
        context,
        context.stack.enter_async_context(
            platform_site.PlatformSite(**options)))


def _run(context: Any, work: Any) -> Any:
    return scenario.run(context, work)


def _set_fault_on_both(context: Any, **faults: Any) -> None:
    for i in (1, 2):
        _run(context, context.site.fault(f'server-{i}', **faults))


def _received_requests(context: Any) -> list[dict[str, Any]]:
    found = []
    for i in (1, 2):
        found += _run(context, context.site.seen(i))['requests']
    return found


@given('a site')
def step_site(context: Any) -> None:
    _start_site(context)


@given('a site whose second entry host has a store of its own')
def step_two_stores(context: Any) -> None:
    _start_site(context, entries=1)
    _run(context, context.site.start_entry(2, store='store-2'))
    # Each host registers in its own store; the second one finds the first
    # through its configured seed address.
    _run(context, _until_ready(context, 2))


async def _until_ready(context: Any, number: int) -> None:

    async def ready() -> bool:
        return bool(await context.site.is_ready(number))

    await scenario.eventually(ready)


@given('server 1 aborts its first stream after {count:d} events')
def step_abort_stream(context: Any, count: int) -> None:
    _run(context, context.site.fault('server-1', break_after=count))


@when('callers request {streams:d} streams of {count:d} events')
def step_streams(context: Any, streams: int, count: int) -> None:

    async def request_all() -> Any:
        return await asyncio.gather(*(context.site.request(
            1 + i % 2, f'/text/stream/{count}', request_id=f'r-{i}')
                                      for i in range(streams)))

    context.responses = _run(context, request_all())


@then('each caller receives events {first:d} to {last:d} once each')
def step_each_receives(context: Any, first: int, last: int) -> None:
    for context.response in context.responses:
        step_events(context, first, last)


@then('server 1 aborted one stream')
def step_stream_aborted(context: Any) -> None:
    resumed = [
        request for request in _received_requests(context)
        if 'last-event-id' in request['headers']
    ]
    assert len(resumed) == 1, resumed


@given('both servers lose one response')
def step_lose_response(context: Any) -> None:
    _set_fault_on_both(context, lose=1)


@given('both servers reject {count:d} requests as not executed')
def step_reject_unexecuted(context: Any, count: int) -> None:
    _set_fault_on_both(context, not_run=count)


@given('both servers respond with the id of another request')
def step_wrong_id(context: Any) -> None:
    _set_fault_on_both(context, stale=5)


@given('servers send an event every {interval_ms:d} ms')
def step_event_interval(context: Any, interval_ms: int) -> None:
    _set_fault_on_both(context, pause_s=interval_ms / 1000)


@when('a caller requests a stream of {count:d} events')
def step_stream(context: Any, count: int) -> None:
    context.response = _run(context,
                            context.site.request(1, f'/text/stream/{count}'))


@then('a caller that requests a stream of {count:d} events receives all of '
      'them')
def step_stream_works(context: Any, count: int) -> None:
    step_stream(context, count)
    step_events(context, 1, count)


@then('the caller receives events {first:d} to {last:d} once each')
def step_events(context: Any, first: int, last: int) -> None:
    status, body = context.response
    assert status == 200, context.response
    found = [int(number) for number in _EVENT_ID.findall(body)]
    assert found == list(range(first, last + 1)), body


@then('the server received the workspace "{workspace}" and no API key')
def step_workspace(context: Any, workspace: str) -> None:
    headers = _received_requests(context)[-1]['headers']
    assert headers['pollenthread-tenant'] == workspace, headers
    assert 'authorization' not in headers


@then('the request names the server and the remaining time')
def step_server_named(context: Any) -> None:
    headers = _received_requests(context)[-1]['headers']
    assert headers['pollenthread-target-instance'].startswith('i-')
    assert 7000 < int(headers['pollenthread-deadline-ms']) <= 8000, headers


@then('the metrics page counts 1 answered request and its first event')
def step_metrics(context: Any) -> None:
    status, page = _run(context, context.site.metrics(1))
    assert status == 200
    lines = page.decode().splitlines()
    assert 'pollenthread_requests_answered_total 1.0' in lines, lines
    assert 'pollenthread_first_event_seconds_count 1.0' in lines, lines
    assert 'pollenthread_ready 1.0' in lines, lines


@then('a request with an unknown key gets status {status:d}')
def step_unknown_key(context: Any, status: int) -> None:
    found = _run(context, context.site.request(1, '/look/x', key='unknown'))
    assert found[0] == status, found


@then('a request without a route gets status {status:d}')
def step_no_route(context: Any, status: int) -> None:
    found = _run(context, context.site.request(1, '/nowhere/x'))
    assert found[0] == status, found


@when('a caller sends a payment')
def step_send_payment(context: Any) -> None:
    context.response = _run(context, context.site.request(1, '/pay/x'))


@when('a caller sends an idempotent lookup')
def step_lookup(context: Any) -> None:
    context.response = _run(context,
                            context.site.request(1, '/look/x', method='GET'))


@then('the response has status {status:d}')
def step_status(context: Any, status: int) -> None:
    assert context.response[0] == status, context.response


@then('the response has status 502 or 200, and both attempts reached a server')
def step_two_attempts(context: Any) -> None:
    assert context.response[0] in (200, 502), context.response
    assert len(_received_requests(context)) == 2, _received_requests(context)


@then('the payment reached one server once')
def step_reached_once(context: Any) -> None:
    assert len(_received_requests(context)) == 1, _received_requests(context)


@then('the payment reached no server')
def step_reached_none(context: Any) -> None:
    assert not _received_requests(context)


@when('a caller requests a stream of {count:d} events and disconnects')
def step_disconnect(context: Any, count: int) -> None:

    async def disconnect() -> None:
        try:
            async with asyncio.timeout(0.7):
                await context.site.request(1, f'/text/stream/{count}')
        except TimeoutError:
            return

    _run(context, disconnect())


@then('the server cancels the request')
def step_cancelled(context: Any) -> None:

    async def cancelled() -> bool:
        found = [await context.site.seen(i) for i in (1, 2)]
        return sum(seen['cancelled'] for seen in found) == 1

    _run(context, scenario.eventually(cancelled))


@when('server {number:d} is listed as draining')
def step_draining(context: Any, number: int) -> None:
    _run(context, context.site.put_server(number, state='draining'))


@when('server {number:d} is listed in data centre "{data_centre}"')
def step_other_data_centre(context: Any, number: int, data_centre: str) -> None:
    _run(context, context.site.put_server(number, zone=data_centre))


@when('the operator empties "{data_centre}"')
def step_empty(context: Any, data_centre: str) -> None:
    _run(context, context.site.put_row('op', f'evacuate/{data_centre}', '{}'))


@when('the operator takes "{data_centre}" back')
def step_take_back(context: Any, data_centre: str) -> None:
    _run(context, context.site.put_row('op', f'evacuate/{data_centre}', None))


@then('a request is rejected as not run')
def step_rejected(context: Any) -> None:
    found = _run(context, context.site.request(1, '/pay/x'))
    assert found[0] == 503, found


@then('all of {count:d} requests reach server 1, which is nearer')
def step_near_reached(context: Any, count: int) -> None:
    before = _counts_seen(context)
    for i in range(count):
        assert _run(context, context.site.request(1 + i % 2,
                                                  '/pay/x'))[0] == 200
    assert _counts_seen(context) == [before[0] + count, before[1]], before


def _counts_seen(context: Any) -> list[int]:
    return [
        len(_run(context, context.site.seen(number))['requests'])
        for number in (1, 2)
    ]


@when('entry hosts have had time to read the change')
def step_propagate(context: Any) -> None:
    _run(context, asyncio.sleep(_PROPAGATION_S))


@then('{count:d} requests all reach server {number:d}')
def step_all_reach(context: Any, count: int, number: int) -> None:
    for i in range(count):
        found = _run(context, context.site.request(1 + i % 2, '/pay/x'))
        assert found[0] == 200, found
    seen = _run(context, context.site.seen(number))['requests']
    assert len(seen) == count, seen


@when('the store is unavailable for entry hosts')
def step_store_down(context: Any) -> None:
    _run(context, context.site.fault('store', down=True))
    _run(context, asyncio.sleep(_PROPAGATION_S))


@then('the entry host logs that it lost contact with the store')
def step_logs_store_lost(context: Any) -> None:
    events = {line['event'] for line in context.site.logs(1)}
    assert 'store_lost' in events, events


@when('the store of the second entry host is unavailable')
def step_second_store_down(context: Any) -> None:
    _run(context, context.site.fault('store-2', down=True))
    _run(context, asyncio.sleep(_PROPAGATION_S))


@when('the API key is revoked')
def step_revoke(context: Any) -> None:
    config = copy.deepcopy(platform_site.CONFIG)
    config['version'] = 2
    config['tenants'][0]['api_keys'] = ['another-key']
    _run(context, context.site.put_config(config))


@then('the second entry host responds with status {status:d} within seconds')
def step_second_status(context: Any, status: int) -> None:

    async def has_status() -> bool:
        found, _ = await context.site.request(2, '/look/x', method='GET')
        return bool(found == status)

    _run(context, scenario.eventually(has_status))


@when('the store loses its change history')
def step_lose_history(context: Any) -> None:
    _run(context, context.site.fault('store', forget=6))


async def _call_store(context: Any, path: str) -> None:
    await context.site.call(context.site.address('store'), 'POST', path)


@when('the store is copied at a version')
def step_copy_store(context: Any) -> None:
    _run(context, context.site.put_server(1, state='draining'))
    _run(context, asyncio.sleep(_PROPAGATION_S))
    _run(context, _call_store(context, '/copy'))


@when('servers are listed anew and the configuration changes')
def step_change_before_restoration(context: Any) -> None:
    for slots in (5, 6):
        _run(context, context.site.put_server(2, slots=slots))
    _run(context, _put_config(context, 2, platform_site.KEY))
    _run(context, asyncio.sleep(_PROPAGATION_S))


async def _put_config(context: Any, version: int, key: str) -> None:
    config = copy.deepcopy(platform_site.CONFIG)
    config['version'] = version
    config['tenants'][0]['api_keys'] = [key]
    await context.site.put_config(config)


@when('the store comes back from that copy and all of it is written again')
def step_restore_store(context: Any) -> None:
    _run(context, _call_store(context, '/restore'))
    _run(context, _put_config(context, 2, platform_site.KEY))


@when('the API key is revoked at once')
def step_revoke_at_once(context: Any) -> None:
    _run(context, _put_config(context, 3, 'another-key'))
    for slots in (5, 6):
        _run(context, context.site.put_server(2, slots=slots))


@then('a server that was drained before the copy was made gets no requests')
def step_drained_unused(context: Any) -> None:
    assert not _run(context, context.site.seen(1))['requests']


@when('invalid entries are added to the list of servers')
def step_invalid_entries(context: Any) -> None:
    for i, value in enumerate(('', '{', '[]', '{"service": 3}', 'null')):
        _run(context, context.site.put_row('servers', f'bad-{i}', value))
    _run(context, context.site.put_server(2, address='nowhere'))


@when('the configuration becomes invalid')
def step_invalid_config(context: Any) -> None:
    _run(context, context.site.put_row('op', 'config', '{"version": "x"'))
    _run(context, asyncio.sleep(_PROPAGATION_S))


@when('entry host {number:d} gets SIGTERM while it streams {count:d} events')
def step_stop(context: Any, number: int, count: int) -> None:

    async def stop() -> Any:
        task = asyncio.create_task(
            context.site.request(number, f'/text/stream/{count}'))
        await asyncio.sleep(0.5)
        child = context.site.child_by_entry[f'entry-{number}']
        child.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.3)
        context.ready = await context.site.is_ready(number)
        context.listed_addresses = await context.site.directory(2)
        return await task

    context.response = _run(context, stop())


@then('it is not ready, and the other host gives callers only its own address')
def step_not_ready(context: Any) -> None:
    assert not context.ready
    assert context.listed_addresses == [context.site.callers(2)
                                       ], context.listed_addresses


@then('the process exits with status 0')
def step_process_exits(context: Any) -> None:
    status = _run(context, context.site.child_by_entry['entry-1'].wait())
    assert status == 0, status
