"""Steps for the whole path on the prepared platform."""

import asyncio
import copy
import re
import signal
from typing import Any

from behave import given, then, when

from tests import scenario
from tests.fakes import platform_site

_SEEN_S = 1.6
_EVENT_ID = re.compile(rb'^id: (\d+)$', re.MULTILINE)


def _start(context: Any, **options: Any) -> None:
    context.site = scenario.run(
        context,
        context.stack.enter_async_context(
            platform_site.PlatformSite(**options)))


def _run(context: Any, work: Any) -> Any:
    return scenario.run(context, work)


def _fault_both(context: Any, **faults: Any) -> None:
    for i in (1, 2):
        _run(context, context.site.fault(f'server-{i}', **faults))


def _seen(context: Any) -> list[dict[str, Any]]:
    found = []
    for i in (1, 2):
        found += _run(context, context.site.seen(i))['requests']
    return found


@given('a site')
def step_site(context: Any) -> None:
    _start(context)


@given('a site whose second entry host has a store of its own')
def step_two_stores(context: Any) -> None:
    _start(context, entries=1)
    _run(context, context.site.start_entry(2, store='store-2'))
    # Both register where they can; the second learns of the first by its seed.
    _run(context, _until_ready(context, 2))


async def _until_ready(context: Any, number: int) -> None:

    async def ready() -> bool:
        return bool(await context.site.is_ready(number))

    await scenario.eventually(ready)


@given('server 1 breaks its first stream off after {count:d} events')
def step_break(context: Any, count: int) -> None:
    _run(context, context.site.fault('server-1', break_after=count))


@when('callers ask for {streams:d} streams of {count:d} events')
def step_streams(context: Any, streams: int, count: int) -> None:

    async def ask() -> Any:
        return await asyncio.gather(*(context.site.request(
            1 + i % 2, f'/text/stream/{count}', request_id=f'r-{i}')
                                      for i in range(streams)))

    context.answers = _run(context, ask())


@then('each caller gets events {first:d} to {last:d} once each')
def step_each(context: Any, first: int, last: int) -> None:
    for context.answer in context.answers:
        step_events(context, first, last)


@then('server 1 broke a stream off')
def step_broke(context: Any) -> None:
    resumed = [
        request for request in _seen(context)
        if 'last-event-id' in request['headers']
    ]
    assert len(resumed) == 1, resumed


@given('both servers lose an answer')
def step_lose(context: Any) -> None:
    _fault_both(context, lose=1)


@given('both servers refuse {count:d} requests as not run')
def step_refuse(context: Any, count: int) -> None:
    _fault_both(context, not_run=count)


@given('both servers answer with the id of another request')
def step_stale(context: Any) -> None:
    _fault_both(context, stale=5)


@given('events come each {pause:d} ms')
def step_pause(context: Any, pause: int) -> None:
    _fault_both(context, pause_s=pause / 1000)


@when('a caller asks for a stream of {count:d} events')
def step_stream(context: Any, count: int) -> None:
    context.answer = _run(context,
                          context.site.request(1, f'/text/stream/{count}'))


@then('a caller that asks for a stream of {count:d} events gets them')
def step_stream_works(context: Any, count: int) -> None:
    step_stream(context, count)
    step_events(context, 1, count)


@then('the caller gets events {first:d} to {last:d} once each')
def step_events(context: Any, first: int, last: int) -> None:
    status, body = context.answer
    assert status == 200, context.answer
    found = [int(number) for number in _EVENT_ID.findall(body)]
    assert found == list(range(first, last + 1)), body


@then('the server got the workspace "{workspace}" and no key')
def step_workspace(context: Any, workspace: str) -> None:
    headers = _seen(context)[-1]['headers']
    assert headers['pollenthread-tenant'] == workspace, headers
    assert 'authorization' not in headers


@then('the server was named in the request, with the time that is left')
def step_named(context: Any) -> None:
    headers = _seen(context)[-1]['headers']
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


@then('a request with an unknown key is answered {status:d}')
def step_unknown_key(context: Any, status: int) -> None:
    found = _run(context, context.site.request(1, '/look/x', key='unknown'))
    assert found[0] == status, found


@then('a request without a route is answered {status:d}')
def step_no_route(context: Any, status: int) -> None:
    found = _run(context, context.site.request(1, '/nowhere/x'))
    assert found[0] == status, found


@when('a caller sends a payment')
def step_pay(context: Any) -> None:
    context.answer = _run(context, context.site.request(1, '/pay/x'))


@when('a caller looks something up')
def step_look(context: Any) -> None:
    context.answer = _run(context,
                          context.site.request(1, '/look/x', method='GET'))


@then('the answer is {status:d}')
def step_status(context: Any, status: int) -> None:
    assert context.answer[0] == status, context.answer


@then('the answer is 502 or 200, after two servers at most')
def step_after_two(context: Any) -> None:
    assert context.answer[0] in (200, 502), context.answer
    assert len(_seen(context)) == 2, _seen(context)


@then('the payment has reached one server, once')
def step_once(context: Any) -> None:
    assert len(_seen(context)) == 1, _seen(context)


@then('the payment has reached no server')
def step_none(context: Any) -> None:
    assert not _seen(context)


@when('a caller asks for a stream of {count:d} events and leaves')
def step_leave(context: Any, count: int) -> None:

    async def leave() -> None:
        try:
            async with asyncio.timeout(0.7):
                await context.site.request(1, f'/text/stream/{count}')
        except TimeoutError:
            return

    _run(context, leave())


@then("the server's work is cancelled")
def step_cancelled(context: Any) -> None:

    async def cancelled() -> bool:
        found = [await context.site.seen(i) for i in (1, 2)]
        return sum(seen['cancelled'] for seen in found) == 1

    _run(context, scenario.eventually(cancelled))


@when('server {number:d} is listed as draining')
def step_draining(context: Any, number: int) -> None:
    _run(context, context.site.put_server(number, state='draining'))


@when('entry hosts have had time to see it')
def step_time(context: Any) -> None:
    _run(context, asyncio.sleep(_SEEN_S))


@then('{count:d} requests all reach server {number:d}')
def step_all_reach(context: Any, count: int, number: int) -> None:
    for i in range(count):
        found = _run(context, context.site.request(1 + i % 2, '/pay/x'))
        assert found[0] == 200, found
    seen = _run(context, context.site.seen(number))['requests']
    assert len(seen) == count, seen


@when('the store is down')
def step_store_down(context: Any) -> None:
    _run(context, context.site.fault('store', down=True))
    _run(context, asyncio.sleep(_SEEN_S))


@then('the entry host logs that it lost the store')
def step_logs(context: Any) -> None:
    events = {line['event'] for line in context.site.logs(1)}
    assert 'store_lost' in events, events


@when('the store of the second entry host is down')
def step_second_store_down(context: Any) -> None:
    _run(context, context.site.fault('store-2', down=True))
    _run(context, asyncio.sleep(_SEEN_S))


@when('the key is taken away')
def step_revoke(context: Any) -> None:
    config = copy.deepcopy(platform_site.CONFIG)
    config['version'] = 2
    config['tenants'][0]['api_keys'] = ['another-key']
    _run(context, context.site.put_config(config))


@then('the second entry host answers {status:d} within seconds')
def step_answers(context: Any, status: int) -> None:

    async def refused() -> bool:
        found, _ = await context.site.request(2, '/look/x', method='GET')
        return bool(found == status)

    _run(context, scenario.eventually(refused))


@when('the store forgets its history')
def step_forget(context: Any) -> None:
    _run(context, context.site.fault('store', forget=6))


@when('the list of servers gains unreadable entries')
def step_bad_entries(context: Any) -> None:
    for i, value in enumerate(('', '{', '[]', '{"service": 3}', 'null')):
        _run(context, context.site.put_row('servers', f'bad-{i}', value))
    _run(context, context.site.put_server(2, address='nowhere'))


@when('the configuration becomes unreadable')
def step_bad_config(context: Any) -> None:
    _run(context, context.site.put_row('op', 'config', '{"version": "x"'))
    _run(context, asyncio.sleep(_SEEN_S))


@when('entry host {number:d} is told to stop while it streams {count:d} events')
def step_stop(context: Any, number: int, count: int) -> None:

    async def stop() -> Any:
        task = asyncio.create_task(
            context.site.request(number, f'/text/stream/{count}'))
        await asyncio.sleep(0.5)
        child = context.site.child_by_entry[f'entry-{number}']
        child.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.3)
        context.ready = await context.site.is_ready(number)
        context.told = await context.site.directory(2)
        return await task

    context.answer = _run(context, stop())


@then('it is not ready, and the other tells callers of itself only')
def step_not_ready(context: Any) -> None:
    assert not context.ready
    assert context.told == [context.site.callers(2)], context.told


@then('the process ends by itself')
def step_ends(context: Any) -> None:
    status = _run(context, context.site.child_by_entry['entry-1'].wait())
    assert status == 0, status
