"""Steps for claims."""

import asyncio
from typing import Any

import result
from behave import given, then, when

from pollenthread.app import claim_store, claim_sweeper, write_batcher
from pollenthread.core import claims
from pollenthread.ports import table
from tests import scenario
from tests.fakes import caller as caller_module, memory, service

_CLASS = 'payment-confirmation'
_PATH = '/services/orders/payments'
_NOW_S = 1_000_000
_RETRY_INTERVAL_S = 0.3
_TIMEOUT_S = 90.0


async def _pay(context: Any, key: str, entry: int) -> Any:
    address = context.system.by_name[f'entry-{entry}'].ready['callers']
    return await context.caller.post(address,
                                     _CLASS,
                                     _PATH,
                                     key.encode(),
                                     idempotency_key=key)


async def _pay_or_none(context: Any, key: str,
                       entry: int) -> caller_module.ReceivedResponse | None:
    try:
        answer: caller_module.ReceivedResponse = await _pay(context, key, entry)
    except ConnectionError:
        return None
    return answer


def _effects(context: Any) -> dict[str, int]:
    found: dict[str, int] = scenario.run(
        context,
        context.system.call(context.system.address('service-1'), 'GET',
                            '/tally'))
    return found


def _record_keys(context: Any, *keys: str) -> None:
    context.keys = [*getattr(context, 'keys', []), *keys]


@when('{count:d} payments are each sent to every entry host at once')
def step_pay_all(context: Any, count: int) -> None:
    keys = [f'cup-{i}' for i in range(count)]
    _record_keys(context, *keys)
    hosts = range(1, len(context.system.entry_addresses) + 1)

    async def pay() -> None:
        await asyncio.gather(*(_pay_or_none(context, key, entry)
                               for key in keys
                               for entry in hosts))

    scenario.run(context, pay())


@when('each payment is retried until it succeeds')
def step_retry(context: Any) -> None:
    last = len(context.system.entry_addresses)

    async def retry(key: str) -> caller_module.ReceivedResponse:
        while True:
            answer = await _pay_or_none(context, key, last)
            if answer is not None and answer.status == 200:
                return answer
            await asyncio.sleep(_RETRY_INTERVAL_S)

    async def retry_all() -> list[caller_module.ReceivedResponse]:
        return list(await asyncio.gather(*map(retry, context.keys)))

    context.answers = scenario.run(context, retry_all(), _TIMEOUT_S)


@then('every payment has had one effect and one receipt')
def step_one_effect(context: Any) -> None:
    assert _effects(context) == {key: 1 for key in context.keys}
    for key, answer in zip(context.keys, context.answers):
        receipt = service.expected_receipt(key.encode())
        assert answer.json['receipt'] == receipt, answer


@then('the payment "{key}" is rejected as not executed at entry host {entry:d}')
def step_not_executed(context: Any, key: str, entry: int) -> None:
    _record_keys(context, key)
    answer = scenario.run(context, _pay(context, key, entry))
    assert answer.status != 200 and answer.json['ran'] == 'no', answer
    assert key not in _effects(context)


@when('the table takes {seconds:f} seconds')
def step_slow_table(context: Any, seconds: float) -> None:
    scenario.run(context, context.system.fault('table', delay_s=seconds))


@when('the service takes {seconds:d} seconds after its effect')
def step_slow_service(context: Any, seconds: int) -> None:
    scenario.run(
        context, context.system.fault('service-1',
                                      delay_after_effect_s=seconds))


async def _pay_and_kill(context: Any, key: str, process: str) -> None:
    paying = asyncio.create_task(_pay_or_none(context, key, 1))

    async def has_taken_effect() -> bool:
        return key in await context.system.call(
            context.system.address('service-1'), 'GET', '/tally')

    await scenario.eventually(has_taken_effect)
    await context.system.by_name[process].kill()
    await paying


@when('the payment "{key}" is sent and entry host 1 is killed')
def step_kill_entry(context: Any, key: str) -> None:
    _record_keys(context, key)
    scenario.run(context, _pay_and_kill(context, key, 'entry-1'))


@when('the payment "{key}" is sent and its agent is killed and replaced')
def step_kill_agent(context: Any, key: str) -> None:
    _record_keys(context, key)

    async def pay_and_replace() -> None:
        await _pay_and_kill(context, key, 'agent-service-1')
        await context.system.start_agent('service', 1)

    scenario.run(context, pay_and_replace())


@then('the payment "{key}" fails with "{kind}"')
def step_failure(context: Any, key: str, kind: str) -> None:

    async def check() -> bool:
        answer = await _pay(context, key, 2)
        assert answer.status != 200, answer
        return bool(answer.json['kind'] == kind)

    scenario.run(context, scenario.eventually(check))


@then('no payment has had more than one effect')
def step_at_most_one(context: Any) -> None:
    assert all(count == 1 for count in _effects(context).values())


@when('{count:d} payments are sent at once')
def step_burst(context: Any, count: int) -> None:
    _record_keys(context, *(f'cup-{i}' for i in range(count)))

    async def pay() -> list[caller_module.ReceivedResponse | None]:
        return list(await
                    asyncio.gather(*(_pay_or_none(context, key, 1 + i % 2)
                                     for i, key in enumerate(context.keys))))

    context.answers = scenario.run(context, pay())


@then('payments rejected as not executed had no effect')
def step_rejected_without_effect(context: Any) -> None:
    rejected = [
        key for key, answer in zip(context.keys, context.answers)
        if answer is not None and answer.status == 503 and
        answer.json['ran'] == 'no'
    ]
    assert not set(rejected) & set(_effects(context))


@then('every payment that succeeded has had one effect')
def step_succeeded_once(context: Any) -> None:
    effects = _effects(context)
    for key, answer in zip(context.keys, context.answers):
        if answer is not None and answer.status == 200:
            assert effects[key] == 1, key
    assert all(count == 1 for count in effects.values())


@given('claims of which {old:d} are older than a day and {young:d} are not')
def step_claims(context: Any, old: int, young: int) -> None:
    context.memory = memory.MemoryTable()
    for i in range(old + young):
        age_s = claims.RETENTION_S + 1 if i < old else 60
        claim = claims.Claim(f'a-{i}.1',
                             'agent',
                             'x',
                             's',
                             'd',
                             claimed_at_s=_NOW_S - age_s)
        row = claim_store.encode_claim(claim)
        scenario.run(
            context,
            context.memory.put(claim_store.row_key('buna', f'{i}'),
                               row,
                               expected_version=table.ABSENT_VERSION))


@when('expired claims are swept')
def step_sweep(context: Any) -> None:
    sweeper = claim_sweeper.ClaimSweeper(table_service=context.memory,
                                         holds_duty=lambda _: True,
                                         wall_clock=lambda: _NOW_S)

    async def sweep() -> None:
        for shard in range(claim_store.SHARD_COUNT):
            await sweeper.sweep(f'{shard:03x}')

    scenario.run(context, sweep())


@then('{count:d} claims remain')
def step_remaining(context: Any, count: int) -> None:
    found = scenario.run(context, context.memory.scan('claims/'))
    assert len(found.ok_value) == count


@given('a budget of {rate:d} rows a second')
def step_budget(context: Any, rate: int) -> None:
    context.memory = memory.MemoryTable()
    batcher = write_batcher.WriteBatcher(table_service=context.memory,
                                         time=memory.MemoryClock(),
                                         rows_per_s=lambda: rate)
    context.batcher = scenario.run(context,
                                   context.stack.enter_async_context(batcher))


def _write(context: Any, writes: list[table.TableWrite]) -> list[Any]:

    async def commit() -> list[Any]:
        return list(await asyncio.gather(
            *(context.batcher.commit([write]) for write in writes)))

    return scenario.run(context, commit())


@when('{new:d} new claims and {known:d} outcomes are written at once')
def step_write_many(context: Any, new: int, known: int) -> None:
    outcome_writes = []
    for i in range(known):
        key = f'known-{i}'
        put = scenario.run(
            context,
            context.memory.put(key, b'', expected_version=table.ABSENT_VERSION))
        outcome_writes.append(table.TableWrite(key, b'outcome', put.ok_value))
    context.outcomes = known
    claim_writes = [
        table.TableWrite(f'new-{i}', b'claim', table.ABSENT_VERSION)
        for i in range(new)
    ]
    context.written = _write(context, [*claim_writes, *outcome_writes])


@then('all outcomes and {count:d} claims are written')
def step_written(context: Any, count: int) -> None:
    split = len(context.written) - context.outcomes
    written = [isinstance(item, result.Ok) for item in context.written]
    assert all(written[split:]), context.written
    assert sum(written[:split]) == count, sum(written[:split])
    limited = result.Err(table.TableError.LIMITED)
    assert written[:split].count(False) == context.written.count(limited)


@then('fewer transactions than rows were written')
def step_fewer_transactions(context: Any) -> None:
    batcher = context.batcher
    assert batcher.transactions_count < batcher.rows_count


@given('a claim of the key "{key}" in the table')
def step_existing_claim(context: Any, key: str) -> None:
    scenario.run(
        context,
        context.memory.put(key, b'other',
                           expected_version=table.ABSENT_VERSION))


@when('claims of the keys "{first}", "{second}" and "{third}" are written at '
      'once')
def step_write_three(context: Any, first: str, second: str, third: str) -> None:
    context.written = _write(context, [
        table.TableWrite(key, b'claim', table.ABSENT_VERSION)
        for key in (first, second, third)
    ])


@then('the writes return conflict, written and conflict')
def step_three_results(context: Any) -> None:
    conflict = result.Err(table.TableError.CONFLICT)
    assert context.written[0] == context.written[2] == conflict
    assert isinstance(context.written[1], result.Ok)
