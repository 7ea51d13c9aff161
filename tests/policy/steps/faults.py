"""Steps for failing upstreams."""

import asyncio
from typing import Any

from behave import given, then, when

from tests import scenario
from tests.fakes import caller as caller_module, system as system_module

_TOKENS = 8


def document(i: int, tokens: int = _TOKENS) -> dict[str, Any]:
    """A streamed chat request that differs from the others."""
    return {
        'model': system_module.MODEL,
        'stream': True,
        'max_tokens': tokens,
        'messages': [{
            'role': 'user',
            'content': f'caption {i}'
        }]
    }


def _result_of(answer: caller_module.ReceivedResponse, sent: dict[str,
                                                                  Any]) -> str:
    """Returns 'complete', or how the request failed."""
    if answer.status == 200:
        own = caller_module.Caller.is_expected_response(sent, answer)
        return 'complete' if own else 'response of another request'
    error = answer.json
    return f'{error["kind"]}, ran {error["ran"]}'


async def send(caller: caller_module.Caller, address: str, work_class: str,
               sent: dict[str, Any]) -> str:
    """Sends one request and returns how it ended."""
    try:
        answer = await caller.chat(address, work_class, sent)
        return _result_of(answer, sent)
    except (ConnectionError, ValueError) as error:
        return f'connection failed: {error}'


async def _send_captions(context: Any, count: int) -> list[str]:
    """Sends caption requests that the scenario has not sent before."""
    first = getattr(context, 'sent_count', 0)
    context.sent_count = first + count
    addresses = context.system.entry_addresses
    return list(await asyncio.gather(*(
        send(context.caller, addresses[i %
                                       len(addresses)], 'caption', document(i))
        for i in range(first, first + count))))


async def _counts(context: Any, number: int) -> dict[str, int]:
    counts: dict[str, int] = await context.system.call(
        context.system.address(f'engine-{number}'), 'GET', '/counts')
    return counts


def _engine_count(context: Any) -> int:
    return len(context.system.named('engine-'))


def _inject_fault(context: Any, number: int, **faults: Any) -> None:
    scenario.run(context, context.system.fault(f'engine-{number}', **faults))


@given('a system with {entries:d} entry hosts and {engines:d} engines')
def step_system(context: Any, entries: int, engines: int) -> None:
    scenario.start_system(context, entries=entries, engines=engines, services=0)


@given('engine {number:d} stalls')
def step_stall(context: Any, number: int) -> None:
    _inject_fault(context, number, stall_after_tokens=0)


@given('every engine takes {token_ms:d} ms for a token')
def step_all_token_time(context: Any, token_ms: int) -> None:
    for number in range(1, _engine_count(context) + 1):
        _inject_fault(context, number, token_s=token_ms / 1000)


@given('engine {number:d} takes {token_ms:d} ms for a token')
def step_token_time(context: Any, number: int, token_ms: int) -> None:
    _inject_fault(context, number, token_s=token_ms / 1000)


@given('every engine aborts its next {count:d} responses')
def step_abort_responses(context: Any, count: int) -> None:
    for number in range(1, _engine_count(context) + 1):
        _inject_fault(context, number, crash=count)


@when('no engine has a fault')
def step_clear_faults(context: Any) -> None:
    for number in range(1, _engine_count(context) + 1):
        _inject_fault(context, number)


@when('{count:d} captions are sent at once over all entry hosts')
def step_send(context: Any, count: int) -> None:
    context.results = scenario.run(context, _send_captions(context, count))


@when('{count:d} captions are sent at once over all entry hosts, '
      '{times:d} times')
def step_send_repeatedly(context: Any, count: int, times: int) -> None:
    context.results = []
    for _ in range(times):
        context.results += scenario.run(context, _send_captions(context, count))


@when('the agent of engine {number:d} is killed')
def step_kill(context: Any, number: int) -> None:
    process = context.system.by_name[f'agent-engine-{number}']
    scenario.run(context, process.kill())


@when('the agent of engine {number:d} is started again')
def step_start(context: Any, number: int) -> None:
    scenario.run(context, context.system.start_agent('engine', number))


@when('every agent is killed')
def step_kill_all(context: Any) -> None:
    for number in range(1, _engine_count(context) + 1):
        step_kill(context, number)


@when('every agent is started again')
def step_start_all(context: Any) -> None:
    for number in range(1, _engine_count(context) + 1):
        step_start(context, number)


@then('every caption receives a complete response')
def step_all_complete(context: Any) -> None:
    assert set(context.results) == {'complete'}, context.results


@then('no caption receives a complete response')
def step_none_complete(context: Any) -> None:
    assert 'complete' not in context.results, context.results


@then('every caption receives a complete response or is rejected as '
      'not executed')
def step_complete_or_rejected(context: Any) -> None:
    for result in context.results:
        assert result == 'complete' or result.endswith(
            'ran no'), context.results


@then('captions receive complete responses again')
def step_complete_again(context: Any) -> None:

    async def all_complete() -> bool:
        results = await _send_captions(context, _engine_count(context) * 2)
        return set(results) == {'complete'}

    scenario.run(context, scenario.eventually(all_complete))


@then('engine {number:d} has begun fewer requests than any other')
def step_begun_fewer(context: Any, number: int) -> None:
    begun = [
        scenario.run(context, _counts(context, i))['begun']
        for i in range(1,
                       _engine_count(context) + 1)
    ]
    faulty = begun.pop(number - 1)
    assert faulty < min(begun), (faulty, begun)


@then('engine {number:d} receives requests again')
def step_receives_requests(context: Any, number: int) -> None:
    before = scenario.run(context, _counts(context, number))['begun']

    async def has_begun_more() -> bool:
        await _send_captions(context, 2 * _engine_count(context))
        return (await _counts(context, number))['begun'] > before

    scenario.run(context, scenario.eventually(has_begun_more))


@then('the accounting rows show at most {count:d} attempts more than requests')
def step_extra_attempts(context: Any, count: int) -> None:

    async def rows() -> list[dict[str, Any]]:
        found = []
        for process in context.system.named('entry-'):
            found += await context.system.call(process.ready['admin'], 'GET',
                                               '/account')
        return found

    account = scenario.run(context, rows())
    accepted = sum(row.get('accepted', 0) for row in account)
    attempts = sum(row.get('attempts', 0) for row in account)
    assert 0 < accepted
    assert attempts <= accepted + count, (accepted, attempts)
