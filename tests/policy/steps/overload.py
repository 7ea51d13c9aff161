"""Steps for overload."""

import asyncio
import collections
from typing import Any

from behave import given, then, when

from tests import scenario
from tests.fakes import caller as caller_module, system as system_module
from tests.policy.steps import faults

_TOKENS = 20
_LATENCY = {'first_token_ms': 4000, 'between_tokens_ms': 400}


def _work_class(importance: str) -> dict[str, Any]:
    return {
        'latency': _LATENCY,
        'retries': 0,
        'repeatable': True,
        'importance': importance
    }


def _targets() -> dict[str, Any]:
    classes = {'question': _work_class('low'), 'lookup': _work_class('high')}
    return {
        'workspaces': {
            name: {
                'models': [system_module.MODEL],
                'services': [],
                'classes': classes
            } for name in ('large', 'small')
        }
    }


async def _send(context: Any, workspace: str, work_class: str, i: int) -> None:
    caller = caller_module.Caller(client=context.system.client,
                                  workspace=workspace)
    addresses = context.system.entry_addresses
    result = await faults.send(caller, addresses[i % len(addresses)],
                               work_class, faults.document(i, _TOKENS))
    context.results_by_sender[workspace, work_class].append(result)


async def _start(context: Any, workspace: str, work_class: str,
                 count: int) -> None:
    first = len(context.sending)
    context.sending += [
        asyncio.create_task(_send(context, workspace, work_class, i))
        for i in range(first, first + count)
    ]
    await scenario.eventually(lambda: _has_queue(context))


async def _has_queue(context: Any) -> bool:
    """Returns whether requests are queued at the agent."""
    agent = context.system.by_name['agent-engine-1']
    status = await context.system.call(agent.ready['admin'], 'GET', '/status')
    return bool(status['queued'])


def _finish(context: Any) -> None:

    async def wait_all() -> None:
        await asyncio.gather(*context.sending)

    scenario.run(context, wait_all())


@given('an engine that takes {token_ms:d} ms for a token, behind {entries:d} '
       'entry hosts')
def step_engine(context: Any, token_ms: int, entries: int) -> None:
    scenario.start_system(context,
                          entries=entries,
                          engines=1,
                          services=0,
                          targets=_targets())
    scenario.run(context,
                 context.system.fault('engine-1', token_s=token_ms / 1000))
    context.sending = []
    context.results_by_sender = collections.defaultdict(list)


@when('{count:d} questions of low importance arrive at once')
def step_low(context: Any, count: int) -> None:
    scenario.run(context, _start(context, 'large', 'question', count))


@when('{count:d} lookups of high importance arrive while they wait')
def step_high(context: Any, count: int) -> None:
    scenario.run(context, _start(context, 'large', 'lookup', count))
    _finish(context)


@when('{count:d} questions of the large workspace arrive at once')
def step_large(context: Any, count: int) -> None:
    scenario.run(context, _start(context, 'large', 'question', count))


@when('{count:d} questions of the small workspace arrive while they wait')
def step_small(context: Any, count: int) -> None:
    scenario.run(context, _start(context, 'small', 'question', count))
    _finish(context)


@then('every lookup receives a complete response')
def step_lookups_complete(context: Any) -> None:
    results = context.results_by_sender['large', 'lookup']
    assert set(results) == {'complete'}, results


@then('every question of the small workspace receives a complete response')
def step_small_complete(context: Any) -> None:
    results = context.results_by_sender['small', 'question']
    assert set(results) == {'complete'}, results


@then('some questions are rejected as not executed')
def step_some_rejected(context: Any) -> None:
    results = context.results_by_sender['large', 'question']
    rejected = [result for result in results if result != 'complete']
    assert rejected
    assert all(result.endswith('ran no') for result in rejected), rejected


@then('the engine has begun exactly the requests that were not rejected')
def step_begun(context: Any) -> None:
    counts = scenario.run(
        context,
        context.system.call(context.system.address('engine-1'), 'GET',
                            '/counts'))
    results = [r for found in context.results_by_sender.values() for r in found]
    assert counts['begun'] == results.count('complete'), (counts, results)
