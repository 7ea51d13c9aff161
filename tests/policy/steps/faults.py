"""Steps for sick upstreams."""

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


def _answer_kind(answer: caller_module.ReceivedResponse,
                 sent: dict[str, Any]) -> str:
    """'whole', or how the request failed."""
    if answer.status == 200:
        own = caller_module.Caller.is_expected_response(sent, answer)
        return 'whole' if own else 'not its own'
    problem = answer.json
    return f'{problem["kind"]}, ran {problem["ran"]}'


async def send(caller: caller_module.Caller, address: str, work_class: str,
               sent: dict[str, Any]) -> str:
    """Sends one request; how it ended."""
    try:
        answer = await caller.chat(address, work_class, sent)
        return _answer_kind(answer, sent)
    except (ConnectionError, ValueError) as error:
        return f'broken: {error}'


async def _send_captions(context: Any, count: int) -> list[str]:
    """Sends captions that no scenario's step has sent before."""
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


def _engines(context: Any) -> int:
    return len(context.system.named('engine-'))


def _fault(context: Any, number: int, **faults: Any) -> None:
    scenario.run(context, context.system.fault(f'engine-{number}', **faults))


@given('a system with {entries:d} entry hosts and {engines:d} engines')
def step_system(context: Any, entries: int, engines: int) -> None:
    scenario.start_system(context, entries=entries, engines=engines, services=0)


@given('engine {number:d} stalls')
def step_stall(context: Any, number: int) -> None:
    _fault(context, number, stall_after_tokens=0)


@given('every engine takes {token_ms:d} ms for a token')
def step_pace(context: Any, token_ms: int) -> None:
    for number in range(1, _engines(context) + 1):
        _fault(context, number, token_s=token_ms / 1000)


@given('engine {number:d} takes {token_ms:d} ms for a token')
def step_slow(context: Any, number: int, token_ms: int) -> None:
    _fault(context, number, token_s=token_ms / 1000)


@given('every engine breaks its next {count:d} answers')
def step_break(context: Any, count: int) -> None:
    for number in range(1, _engines(context) + 1):
        _fault(context, number, crash=count)


@when('every engine works again')
def step_mend(context: Any) -> None:
    for number in range(1, _engines(context) + 1):
        _fault(context, number)


@when('{count:d} captions are sent at once over all entry hosts')
def step_send(context: Any, count: int) -> None:
    context.ends = scenario.run(context, _send_captions(context, count))


@when('{count:d} captions are sent at once over all entry hosts, '
      '{times:d} times')
def step_send_often(context: Any, count: int, times: int) -> None:
    context.ends = []
    for _ in range(times):
        context.ends += scenario.run(context, _send_captions(context, count))


@when('the agent of engine {number:d} is killed')
def step_kill(context: Any, number: int) -> None:
    process = context.system.by_name[f'agent-engine-{number}']
    scenario.run(context, process.kill())


@when('the agent of engine {number:d} is started again')
def step_start(context: Any, number: int) -> None:
    scenario.run(context, context.system.start_agent('engine', number))


@when('every agent is killed')
def step_kill_all(context: Any) -> None:
    for number in range(1, _engines(context) + 1):
        step_kill(context, number)


@when('every agent is started again')
def step_start_all(context: Any) -> None:
    for number in range(1, _engines(context) + 1):
        step_start(context, number)


@then('every caption is answered whole')
def step_all_whole(context: Any) -> None:
    assert set(context.ends) == {'whole'}, context.ends


@then('no caption is answered whole')
def step_none_whole(context: Any) -> None:
    assert 'whole' not in context.ends, context.ends


@then('every caption is answered whole or refused as not run')
def step_whole_or_refused(context: Any) -> None:
    for end in context.ends:
        assert end == 'whole' or end.endswith('ran no'), context.ends


@then('captions are answered whole again')
def step_whole_again(context: Any) -> None:

    async def all_whole() -> bool:
        ends = await _send_captions(context, _engines(context) * 2)
        return set(ends) == {'whole'}

    scenario.run(context, scenario.eventually(all_whole))


@then('engine {number:d} has begun less than any other')
def step_begun_less(context: Any, number: int) -> None:
    begun = [
        scenario.run(context, _counts(context, i))['begun']
        for i in range(1,
                       _engines(context) + 1)
    ]
    sick = begun.pop(number - 1)
    assert sick < min(begun), (sick, begun)


@then('engine {number:d} gets work again')
def step_gets_work(context: Any, number: int) -> None:
    before = scenario.run(context, _counts(context, number))['begun']

    async def has_more() -> bool:
        await _send_captions(context, 2 * _engines(context))
        return (await _counts(context, number))['begun'] > before

    scenario.run(context, scenario.eventually(has_more))


@then('the account shows at most {count:d} attempts more than requests')
def step_attempts(context: Any, count: int) -> None:

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
