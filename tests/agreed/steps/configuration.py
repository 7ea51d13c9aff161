"""Steps for configuration."""

import asyncio
import signal
from typing import Any

import result
from behave import given, then, when

from pollenthread.app import config_store
from tests import scenario
from tests.fakes import (caller as caller_module, operator, system as
                         system_module)

_SERVE_TIMEOUT_S = 30.0
_CAPTION = {
    'model': system_module.MODEL,
    'stream': True,
    'max_tokens': 4,
    'messages': []
}


@given('a system with {entries:d} entry hosts, {engines:d} engines and '
       '{services:d} service')
def step_system(context: Any, entries: int, engines: int,
                services: int) -> None:
    scenario.start_system(context,
                          entries=entries,
                          engines=engines,
                          services=services)
    context.operator = operator.Operator(system=context.system)
    context.newest = 1


async def _publish_twice(context: Any, base: int) -> list[Any]:
    return list(await asyncio.gather(
        context.operator.publish(base, base % 10, 'abebe'),
        context.operator.publish(base, (base + 1) % 10, 'dawn')))


@when('two operators publish at once {times:d} times')
def step_concurrent(context: Any, times: int) -> None:
    context.rounds = []
    context.seen_by_entry = []
    for _ in range(times):
        context.rounds.append(
            scenario.run(context, _publish_twice(context, context.newest)))
        context.newest += 1
        context.seen_by_entry.append(
            scenario.run(context, context.operator.versions()))


@then(
    'each time one publication was accepted and the other received the changes')
def step_one_accepted(context: Any) -> None:
    for results in context.rounds:
        accepted = [item for item in results if isinstance(item, result.Ok)]
        rejected = [item for item in results if isinstance(item, result.Err)]
        assert len(accepted) == len(rejected) == 1, results
        conflict = rejected[0].err_value
        assert isinstance(conflict, config_store.VersionConflict), conflict
        assert conflict.newest is not None
        assert conflict.newest.version == accepted[0].ok_value, results
        paths = {change.path for change in conflict.changes}
        assert paths <= {'workspaces/buna/classes/caption/retries'}, paths


@then('no entry host has applied an older version')
def step_never_older(context: Any) -> None:
    for host_versions in zip(*context.seen_by_entry):
        assert list(host_versions) == sorted(host_versions), host_versions


@then('every entry host has the newest version')
def step_newest(context: Any) -> None:

    async def check() -> bool:
        return set(await context.operator.versions()) == {context.newest}

    scenario.run(context, scenario.eventually(check, _SERVE_TIMEOUT_S))


@when('the table loses the responses to the next {count:d} writes')
def step_lost_responses(context: Any, count: int) -> None:
    scenario.run(context, context.system.fault('table', lost_answers=count))


@when('an operator publishes')
def step_publish(context: Any) -> None:
    context.published = scenario.run(
        context, context.operator.publish(context.newest, 7, 'abebe'))
    context.newest += 1


@then('the publication is accepted as version {version:d}')
def step_accepted(context: Any, version: int) -> None:
    assert context.published == result.Ok(version), context.published


@when('the next {count:d} reads of the table are stale')
def step_stale_reads(context: Any, count: int) -> None:
    scenario.run(context, context.system.fault('table', old_reads=count))


@then('no entry host applies an older version within '
      '{seconds:d} seconds')
def step_not_older_within(context: Any, seconds: int) -> None:

    async def watch() -> None:
        for _ in range(seconds * 4):
            found = await context.operator.versions()
            assert min(found) >= context.newest, found
            await asyncio.sleep(0.25)

    scenario.run(context, watch())


@when('the table is unavailable')
def step_table_unavailable(context: Any) -> None:
    scenario.run(context, context.system.fault('table', down=True))


@when('the table is available again')
def step_table_available(context: Any) -> None:
    scenario.run(context, context.system.fault('table'))


async def _replace(context: Any, number: int) -> None:
    await context.system.by_name[f'entry-{number}'].kill()
    await context.system.start_entry(number)


@when('entry host {number:d} is killed and replaced')
def step_replace(context: Any, number: int) -> None:
    scenario.run(context, _replace(context, number))


@when('entry hosts {first:d} and {second:d} are killed and replaced at once')
def step_replace_two(context: Any, first: int, second: int) -> None:

    async def replace_both() -> None:
        await asyncio.gather(_replace(context, first),
                             _replace(context, second))

    scenario.run(context, replace_both())


def _signal(context: Any, hosts: tuple[int, ...],
            number: signal.Signals) -> None:
    for host in hosts:
        context.system.by_name[f'entry-{host}'].signal(number)


@when('entry hosts {first:d} and {second:d} are paused')
def step_pause(context: Any, first: int, second: int) -> None:
    _signal(context, (first, second), signal.SIGSTOP)


@when('entry hosts {first:d} and {second:d} resume')
def step_resume(context: Any, first: int, second: int) -> None:
    _signal(context, (first, second), signal.SIGCONT)


async def _send_caption(context: Any,
                        number: int) -> caller_module.ReceivedResponse:
    process = context.system.by_name[f'entry-{number}']
    answer: caller_module.ReceivedResponse = await context.caller.chat(
        process.ready['callers'], 'caption', _CAPTION)
    return answer


@then('entry host {number:d} rejects requests with "{kind}"')
def step_rejects(context: Any, number: int, kind: str) -> None:

    async def check() -> bool:
        answer = await _send_caption(context, number)
        return answer.status != 200 and answer.json['kind'] == kind

    scenario.run(context, scenario.eventually(check, _SERVE_TIMEOUT_S))


@then('entry host {number:d} serves')
def step_serves(context: Any, number: int) -> None:

    async def check() -> bool:
        answer = await _send_caption(context, number)
        return caller_module.Caller.is_expected_response(_CAPTION, answer)

    scenario.run(context, scenario.eventually(check, _SERVE_TIMEOUT_S))


@then('entry host {number:d} reports the permission "{permission}"')
def step_permission(context: Any, number: int, permission: str) -> None:

    async def check() -> bool:
        status = await context.operator.status(f'entry-{number}')
        return bool(status['targets_permission'] == permission)

    scenario.run(context, scenario.eventually(check, _SERVE_TIMEOUT_S))
