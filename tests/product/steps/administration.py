"""Steps for administration by command line."""

import asyncio
import copy
import json
import os
import pathlib
import sys
from typing import Any

import yaml
from behave import given, then, when

from tests import commands, scenario
from tests.fakes import system as system_module

_KEY_BY_OPERATOR = {
    'on-call': system_module.ON_CALL_KEY,
    'buna-operator': system_module.WORKSPACE_KEY,
    'other-operator': system_module.OTHER_KEY,
    'accounts': system_module.READER_KEY,
    'nobody': 'a wrong key',
}


async def _command(context: Any, operator: str, args: list[str],
                   entry: str) -> commands.CommandResult:
    admin = context.system.by_name[entry].ready['admin']
    child = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'pollenthread',
        *args,
        f'--admin={admin}',
        env={
            **os.environ, 'POLLENTHREAD_KEY': _KEY_BY_OPERATOR[operator]
        },
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE)
    output, errors = await child.communicate()
    return commands.CommandResult(child.returncode or 0, output.decode(),
                                  errors.decode())


def run_command(context: Any,
                operator: str,
                *args: str,
                entry: str = 'entry-1') -> commands.CommandResult:
    """Runs a command as an operator."""
    context.done = scenario.run(context,
                                _command(context, operator, list(args), entry))
    done: commands.CommandResult = context.done
    return done


def _publish(context: Any, operator: str, document: Any, *flags: str) -> None:
    path = pathlib.Path(context.system.folder) / 'published.yaml'
    path.write_text(yaml.safe_dump(document), 'utf-8')
    run_command(context, operator, 'config', 'set', str(path), *flags)


def _workspace(retries: int) -> dict[str, Any]:
    workspace: dict[str, Any] = copy.deepcopy(
        system_module.TARGETS['workspaces']['buna'])
    workspace['classes']['caption']['retries'] = retries
    return workspace


@given("a system with operators' keys")
def step_system(context: Any) -> None:
    scenario.start_system(context, entries=2, engines=2, services=1)


@when('"{operator}" runs "{line}"')
def step_run(context: Any, operator: str, line: str) -> None:
    run_command(context, operator, *line.split())


@when('"{operator}" sets the retries of "caption" to {retries:d}')
def step_set(context: Any, operator: str, retries: int) -> None:
    document = {'workspaces': {'buna': _workspace(retries)}}
    _publish(context, operator, document)


@when('"{operator}" sets the retries of "caption" to {retries:d} based on '
      'version {base:d}')
def step_set_based_on(context: Any, operator: str, retries: int,
                      base: int) -> None:
    document = {'workspaces': {'buna': _workspace(retries)}}
    _publish(context, operator, document, f'--base={base}')


@when('"{operator}" publishes workspace "{name}" with retries {retries:d}')
def step_publish(context: Any, operator: str, name: str, retries: int) -> None:
    _publish(context, operator, _workspace(retries), f'--workspace={name}')


@when('"{operator}" publishes workspace "{name}" with retries {retries:d} '
      'based on version {base:d}')
def step_publish_based_on(context: Any, operator: str, name: str, retries: int,
                          base: int) -> None:
    _publish(context, operator, _workspace(retries), f'--workspace={name}',
             f'--base={base}')


@when('"{operator}" adds the workspace "{name}"')
def step_add(context: Any, operator: str, name: str) -> None:
    _publish(context, operator, _workspace(2), f'--workspace={name}')


@when('the table becomes unavailable')
def step_table_unavailable(context: Any) -> None:
    scenario.run(context, context.system.fault('table', down=True))


@then('the command prints "{text}"')
def step_prints(context: Any, text: str) -> None:
    assert context.done.status == 0, context.done
    assert text in context.done.output, context.done


@then('the command does not print "{text}"')
def step_not_prints(context: Any, text: str) -> None:
    assert context.done.status == 0, context.done
    assert text not in context.done.output, context.done


@then('the command fails with status {status:d} and the error "{text}"')
def step_fails(context: Any, status: int, text: str) -> None:
    assert context.done.status == status, context.done
    assert text in context.done.error_output, context.done
    assert not context.done.output, context.done


async def _status(context: Any, process: Any) -> dict[str, Any]:
    found: dict[str, Any] = await context.system.call(process.ready['admin'],
                                                      'GET', '/status')
    return found


@then('every entry host applies version {version:d}')
def step_version_applied(context: Any, version: int) -> None:

    async def check() -> bool:
        found = [
            await _status(context, p) for p in context.system.named('entry-')
        ]
        return all(status['targets_version'] == version for status in found)

    scenario.run(context, scenario.eventually(check))


def _caption() -> dict[str, Any]:
    return {
        'model': system_module.MODEL,
        'stream': True,
        'max_tokens': 3,
        'messages': [{
            'role': 'user',
            'content': 'three words'
        }]
    }


async def _count_reaching(context: Any, host: str, requests: int) -> int:
    """Sends requests and returns how many of them a host started."""
    process = context.system.by_name[host]
    before = (await _status(context, process))['begun']
    for i in range(requests):
        address = context.system.entry_addresses[i % 2]
        await context.caller.chat(address, 'caption', _caption())
    return int((await _status(context, process))['begun']) - int(before)


@then('no new request reaches "{host}"')
def step_no_request(context: Any, host: str) -> None:

    async def check() -> bool:
        return await _count_reaching(context, host, 20) == 0

    scenario.run(context, scenario.eventually(check))


@then('new requests reach "{host}"')
def step_requests_reach(context: Any, host: str) -> None:

    async def check() -> bool:
        return await _count_reaching(context, host, 20) > 0

    scenario.run(context, scenario.eventually(check))


@then('callers no longer get the address of "{host}"')
def step_no_address(context: Any, host: str) -> None:
    drained_address = context.system.by_name[host].ready['callers']

    async def check() -> bool:
        address_lists = [
            await context.caller.addresses(address)
            for address in context.system.entry_addresses
        ]
        return all(
            drained_address not in addresses for addresses in address_lists)

    scenario.run(context, scenario.eventually(check))


async def _serve(context: Any, captions: int) -> None:
    for address in context.system.entry_addresses:
        for _ in range(captions):
            response = await context.caller.chat(address, 'caption', _caption())
            assert response.status == 200, response
        await context.caller.post(address,
                                  'payment-confirmation',
                                  '/services/orders/payments',
                                  b'{}',
                                  idempotency_key='order-1')


@when('each entry host serves {captions:d} captions and a payment that is '
      'sent twice')
def step_serve(context: Any, captions: int) -> None:
    scenario.run(context, _serve(context, captions))


def _report(context: Any) -> dict[str, Any]:
    done = run_command(context,
                       'accounts',
                       'report',
                       '--days=2',
                       '--format=json',
                       entry='entry-2')
    assert done.status == 0, done
    report: dict[str, Any] = json.loads(done.output)
    return report


def _class_line(report: dict[str, Any], work_class: str) -> dict[str, Any]:
    return next(
        (line for line in report['classes'] if line['class'] == work_class), {})


@then('every outcome in the report equals that at the callers')
def step_outcomes(context: Any) -> None:

    async def check() -> bool:
        done = await _command(context, 'accounts',
                              ['report', '--days=2', '--format=json'],
                              'entry-2')
        report = json.loads(done.output)
        caption = _class_line(report, 'caption')
        payment = _class_line(report, 'payment-confirmation')
        return (caption.get('accepted') == caption.get('in_time') == 10 and
                payment.get('accepted') == payment.get('in_time') == 2 and
                payment.get('repeats') == 1 and not report['gaps'])

    scenario.run(context, scenario.eventually(check))


async def _kill_with_request(context: Any) -> None:
    """Kills the first entry host after the report shows its open request."""
    process = context.system.by_name['entry-1']
    await context.system.fault('engine-1', stall_after_tokens=1)
    await context.system.fault('engine-2', stall_after_tokens=1)
    request = asyncio.create_task(
        context.caller.chat(process.ready['callers'], 'caption', _caption()))

    async def is_reported() -> bool:
        done = await _command(context, 'accounts',
                              ['report', '--days=2', '--format=json'],
                              'entry-2')
        return bool(_class_line(json.loads(done.output), 'caption').get('open'))

    await scenario.eventually(is_reported)
    await process.kill()
    await asyncio.gather(request, return_exceptions=True)


@when('the first entry host is killed with a request in progress')
def step_kill(context: Any) -> None:
    scenario.run(context, _kill_with_request(context))


@then('the report shows a gap for the first entry host')
def step_gap(context: Any) -> None:

    async def check() -> bool:
        done = await _command(context, 'accounts',
                              ['report', '--days=2', '--format=json'],
                              'entry-2')
        return [gap['host'] for gap in json.loads(done.output)['gaps']
               ] == ['entry-1']

    scenario.run(context, scenario.eventually(check))


@then('every accepted request has one outcome')
def step_one_outcome(context: Any) -> None:
    report = _report(context)
    caption = _class_line(report, 'caption')
    assert caption['accepted'] == 11, caption
    assert caption['in_time'] == 10, caption
    assert caption['outcome_unknown'] == caption['lost_with_host'] == 1, caption
    assert caption['open'] == 0 and report['adds_up'], caption


@then('the report is available as a table and as an HTML page')
def step_report_formats(context: Any) -> None:
    table = run_command(context,
                        'accounts',
                        'report',
                        '--days=2',
                        entry='entry-2').output
    page = run_command(context,
                       'accounts',
                       'report',
                       '--days=2',
                       '--format=html',
                       entry='entry-2').output
    for text in ('For operators', 'For payers', 'Gaps', 'caption'):
        assert text in table and text in page, text
    assert 'src="data:image/png;base64,' in page
    assert 'http' not in page
