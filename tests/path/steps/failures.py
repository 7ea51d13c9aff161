"""Steps that cause failures between the caller and the upstream."""

import asyncio
import json
import pathlib
import signal
from typing import Any

from behave import given, step, then, when

from pollenthread.app import claim_store
from tests import scenario
from tests.fakes import caller as caller_module, relay, service

_CHUNK_BYTES = 4096
_HALT_INTERVAL_S = 0.5
# The buffers of three processes fill first, which is slow on a busy machine.
_HALT_TIMEOUT_S = 50.0
_UNREAD_TIMEOUT_MS = 20000
_KIB_PER_MIB = 1024


def _entry(context: Any, number: int = 1) -> str:
    address: str = context.system.by_name[f'entry-{number}'].ready['callers']
    return address


def _status(context: Any, name: str) -> Any:
    return context.system.call(context.system.by_name[name].ready['admin'],
                               'GET', '/status')


def _counts(context: Any) -> list[dict[str, int]]:

    async def ask() -> list[dict[str, int]]:
        return [
            await context.system.call(process.ready['address'], 'GET',
                                      '/counts')
            for process in context.system.named('engine-')
        ]

    counts: list[dict[str, int]] = scenario.run(context, ask())
    return counts


def _eventually(context: Any, check: Any, timeout_s: float = 15.0) -> None:
    scenario.run(context, scenario.eventually(check, timeout_s))


@given('every engine has the faults {faults}')
def step_engine_faults(context: Any, faults: str) -> None:
    for process in context.system.named('engine-'):
        step_faults(context, process.name, faults)


@step('"{name}" has the faults {faults}')
def step_faults(context: Any, name: str, faults: str) -> None:
    scenario.run(context, context.system.fault(name, **json.loads(faults)))


@when('the payment "{key}" is sent to entry host {number:d}')
def step_pay(context: Any, key: str, number: int) -> None:
    context.answer = scenario.run(
        context,
        context.caller.post(_entry(context, number),
                            'payment-confirmation',
                            caller_module.PAYMENT_PATH,
                            caller_module.PAYMENT,
                            idempotency_key=key))


@when('another payment is sent under "{key}"')
def step_other_payment(context: Any, key: str) -> None:
    context.answer = scenario.run(
        context,
        context.caller.post(_entry(context),
                            'payment-confirmation',
                            caller_module.PAYMENT_PATH,
                            b'{"amount_birr": 1}',
                            idempotency_key=key))


@when('the payment "{key}" is sent {times:d} times to each entry host at once')
def step_pay_at_once(context: Any, key: str, times: int) -> None:

    async def pay() -> list[Any]:
        return await asyncio.gather(
            *(context.caller.post(address,
                                  'payment-confirmation',
                                  caller_module.PAYMENT_PATH,
                                  caller_module.PAYMENT,
                                  idempotency_key=key)
              for address in context.system.entry_addresses
              for _ in range(times)))

    context.answers = scenario.run(context, pay())


@then('all responses contain the same receipt')
def step_all_same_receipt(context: Any) -> None:
    found = {answer.body for answer in context.answers}
    assert len(found) == 1 and _is_receipt(context.answers[0]), found


def _is_receipt(answer: caller_module.ReceivedResponse) -> bool:
    expected = service.expected_receipt(caller_module.PAYMENT)
    return answer.status == 200 and answer.json['receipt'] == expected


@then('the answer is a receipt')
def step_receipt(context: Any) -> None:
    assert _is_receipt(context.answer), context.answer


@when('the service eventually has one effect under "{key}"')
def step_eventual_effect(context: Any, key: str) -> None:

    async def check() -> bool:
        tally = await context.system.call(context.system.address('service-1'),
                                          'GET', '/tally')
        return bool(tally.get(key) == 1)

    _eventually(context, check)


@then('the service has had no effect under "{key}"')
def step_no_effect(context: Any, key: str) -> None:
    tally = scenario.run(
        context,
        context.system.call(context.system.address('service-1'), 'GET',
                            '/tally'))
    assert key not in tally, tally


@then('a repeated payment "{key}" at entry host {number:d} eventually returns '
      'the same receipt')
def step_repeated_payment(context: Any, key: str, number: int) -> None:

    async def check() -> bool:
        answer = await context.caller.post(_entry(context, number),
                                           'payment-confirmation',
                                           caller_module.PAYMENT_PATH,
                                           caller_module.PAYMENT,
                                           idempotency_key=key)
        return _is_receipt(answer)

    _eventually(context, check)


# Requests that run in the background.


def _start_stream(context: Any, tokens: int, **headers: str) -> None:

    async def start() -> caller_module.BackgroundRequest:
        return context.caller.start_chat(_entry(context), 'caption',
                                         caller_module.chat_document(tokens),
                                         **headers)

    context.following = scenario.run(context, start())


@when('the caller starts to stream {tokens:d} tokens')
def step_start_stream(context: Any, tokens: int) -> None:
    _start_stream(context, tokens)


@when('the caller starts to stream {tokens:d} tokens with "{name}" "{value}"')
def step_start_with(context: Any, tokens: int, name: str, value: str) -> None:
    _start_stream(context, tokens, **{name: value})


@when('the caller starts the payment "{key}" at entry host {number:d}')
def step_start_payment(context: Any, key: str, number: int) -> None:

    async def start() -> caller_module.BackgroundRequest:
        following: caller_module.BackgroundRequest = context.caller.start_post(
            _entry(context, number),
            'payment-confirmation',
            caller_module.PAYMENT_PATH,
            caller_module.PAYMENT,
            idempotency_key=key)
        row_key = claim_store.row_key('buna', key)
        while not (await context.system.table.get(row_key)).unwrap():
            await asyncio.sleep(0.02)
        return following

    context.following = scenario.run(context, start())


@when('some tokens have arrived')
def step_some_tokens(context: Any) -> None:

    async def check() -> bool:
        return context.following.body.count(b'\n\n') >= 5

    _eventually(context, check)


@when('the caller disconnects')
def step_disconnect(context: Any) -> None:

    async def disconnect() -> None:
        context.following.task.cancel()
        await asyncio.wait([context.following.task])

    scenario.run(context, disconnect())


@when('the retry receives a response')
def step_retry_answered(context: Any) -> None:
    scenario.run(context, asyncio.wait([context.following.task]))
    context.document = context.following.document
    context.answer = context.following.answer
    assert context.answer is not None, context.following.error
    assert int(context.answer.headers['x-attempts']) >= 2


@then('the response of the started request is complete and belongs to it')
def step_started_own(context: Any) -> None:
    scenario.run(context, asyncio.wait([context.following.task]))
    assert context.following.answer is not None, context.following.error
    assert caller_module.Caller.is_expected_response(context.following.document,
                                                     context.following.answer)


@then('the started request receives a receipt')
def step_started_receipt(context: Any) -> None:
    scenario.run(context, asyncio.wait([context.following.task]))
    assert _is_receipt(context.following.answer)


@then('the started request fails with the error "{kind}" with ran "{ran}"')
def step_started_error(context: Any, kind: str, ran: str) -> None:
    scenario.run(context, asyncio.wait([context.following.task]))
    error = context.following.answer.json
    assert (error['kind'], error['ran']) == (kind, ran), error


@then('the response is aborted with the error "{kind}"')
def step_aborted(context: Any, kind: str) -> None:
    scenario.run(context, asyncio.wait([context.following.task]))
    following = context.following
    assert following.error is not None, following.answer
    assert b'[DONE]' not in following.body
    last = following.body.decode().split('data: ')[-1]
    assert json.loads(last)['kind'] == kind, last


@then('the engines have cancelled {number:d} streams')
def step_cancelled(context: Any, number: int) -> None:

    async def check() -> bool:
        counts = [
            await context.system.call(process.ready['address'], 'GET',
                                      '/counts')
            for process in context.system.named('engine-')
        ]
        return sum(count['cancelled'] for count in counts) == number

    _eventually(context, check)


# Processes.


@step('"{name}" is killed')
def step_kill(context: Any, name: str) -> None:
    scenario.run(context, context.system.by_name[name].kill())


@when('"{name}" is paused')
def step_pause(context: Any, name: str) -> None:
    context.system.by_name[name].signal(signal.SIGSTOP)


@when('"agent-{kind}-{number:d}" is started again')
def step_start_again(context: Any, kind: str, number: int) -> None:
    scenario.run(context, context.system.start_agent(kind, number))
    scenario.run(context, context.system.wait_until_linked())


def _find_running(context: Any) -> str:
    found: list[str] = []

    async def check() -> bool:
        for process in context.system.named('agent-engine-'):
            if (await _status(context, process.name))['running']:
                found.append(process.name)
        return bool(found)

    _eventually(context, check)
    return found[0]


@when('the agent that runs the attempt is paused')
def step_pause_running(context: Any) -> None:
    context.paused = _find_running(context)
    step_pause(context, context.paused)


@when('the agent that runs the attempt is killed')
def step_kill_running(context: Any) -> None:
    step_kill(context, _find_running(context))


@when('the paused agent resumes')
def step_resume(context: Any) -> None:
    context.system.by_name[context.paused].signal(signal.SIGCONT)


@then('"{name}" eventually holds no attempts or outcomes')
def step_holds_none(context: Any, name: str) -> None:

    async def check() -> bool:
        status = await _status(context, name)
        return not (status['running'] or status['queued'] or
                    status['unconfirmed'])

    _eventually(context, check)


@then('entry host {number:d} returns the entry addresses')
def step_addresses(context: Any, number: int) -> None:
    found = scenario.run(context,
                         context.caller.addresses(_entry(context, number)))
    assert _entry(context, number) in found, found


# Connections.


@given('the link to "{name}" goes through a relay')
def step_relay(context: Any, name: str) -> None:

    async def start() -> relay.StallingRelay:
        process = context.system.by_name[name]
        found: relay.StallingRelay = await context.stack.enter_async_context(
            relay.StallingRelay(address=process.ready['links']))
        await context.system.list_host(name, {
            'role': 'upstream',
            'address': found.address
        }, 1)
        while not found.connections:
            await asyncio.sleep(0.02)
        await asyncio.sleep(_HALT_INTERVAL_S)
        await context.system.wait_until_linked()
        return found

    context.relay = scenario.run(context, start())


@when('the connections of the relay stall')
def step_stall_connections(context: Any) -> None:

    async def stall() -> None:
        context.relay.stall()

    scenario.run(context, stall())


@then('the relay has carried a new connection')
def step_new_connection(context: Any) -> None:
    assert context.relay.connections >= 2, context.relay.connections


async def _open(context: Any, address: str) -> asyncio.StreamWriter:
    host, _, port = address.rpartition(':')
    _, writer = await asyncio.open_connection(host,
                                              int(port),
                                              limit=_CHUNK_BYTES)
    context.stack.callback(writer.close)
    return writer


@when('{number:d} connections are opened and left idle')
def step_idle(context: Any, number: int) -> None:

    async def open_all() -> None:
        for _ in range(number):
            await _open(context, _entry(context))

    scenario.run(context, open_all())


def _resident_kib(context: Any) -> dict[str, int]:
    names = ('entry-1', 'agent-engine-1', 'engine-1')
    found = {}
    for name in names:
        pid = context.system.by_name[name].pid
        text = pathlib.Path(f'/proc/{pid}/status').read_text('ascii')
        found[name] = int(text.partition('VmRSS:')[2].split()[0])
    return found


@when('a caller requests {tokens:d} tokens and does not read the response')
def step_read_nothing(context: Any, tokens: int) -> None:
    context.resident_kib = _resident_kib(context)
    document = json.dumps({
        **caller_module.chat_document(tokens), 'content': ''
    }).encode()
    head = (f'POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\n'
            f'x-workspace: buna\r\nx-class: caption\r\n'
            f'x-timeout-ms: {_UNREAD_TIMEOUT_MS}\r\n'
            f'content-length: {len(document)}\r\n\r\n').encode()

    async def ask() -> None:
        writer = await _open(context, _entry(context))
        writer.write(head + document)

    scenario.run(context, ask())


@step('the engine stops producing tokens')
def step_halt(context: Any) -> None:
    seen = [-1]

    async def check() -> bool:
        await asyncio.sleep(_HALT_INTERVAL_S)
        (count,) = [
            await context.system.call(process.ready['address'], 'GET',
                                      '/counts')
            for process in context.system.named('engine-')
        ]
        seen.append(count['tokens'])
        return 0 < seen[-1] == seen[-2]

    _eventually(context, check, _HALT_TIMEOUT_S)
    assert seen[-1] < 200000, seen


@then('the memory of no process has grown by more than {limit:d} MiB')
def step_growth(context: Any, limit: int) -> None:
    before = context.resident_kib
    grown = {
        name: now - before[name] for name, now in _resident_kib(context).items()
    }
    del grown['engine-1']
    assert max(grown.values()) < limit * _KIB_PER_MIB, grown


@when('requests of classes "{first}", "{second}", "{third}" wait')
def step_queue(context: Any, first: str, second: str, third: str) -> None:
    context.order = []

    async def send(work_class: str, place: int) -> None:
        answer = await context.caller.chat(_entry(context),
                                           work_class,
                                           caller_module.chat_document(
                                               2 + place, stream=False),
                                           idempotency_key=f'k{place}')
        assert answer.status == 200, answer
        context.order.append(place)

    async def send_all() -> None:
        tasks = []
        for place, work_class in enumerate((first, second, third)):
            tasks.append(asyncio.create_task(send(work_class, place)))
            while True:
                (count,) = await asyncio.gather(
                    context.system.call(context.system.address('engine-1'),
                                        'GET', '/counts'))
                if count['begun'] == place + 1:
                    break
                await asyncio.sleep(0.01)
        await asyncio.gather(*tasks)

    scenario.run(context, send_all())


@then('the last request is served before the second')
def step_served_before(context: Any) -> None:
    assert context.order == [0, 2, 1], context.order
