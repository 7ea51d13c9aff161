"""Steps for the check of a configuration."""

import asyncio
import json
import os
import pathlib
import sys
from typing import Any

import yaml
from behave import given, then, when

from tests import scenario
from tests.fakes import system as system_module

_ROOT = pathlib.Path(__file__).resolve().parents[3]
_SAMPLES = _ROOT / 'tests' / 'product' / 'samples'
_KEY = 'a-new-secret-key'


async def _check(*args: str) -> tuple[int, str]:
    """Runs the command; returns its exit status and standard output."""
    child = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'pollenthread',
        'check',
        *args,
        '--json',
        cwd=_ROOT,
        env={
            **os.environ, 'POLLENTHREAD_KEY': system_module.ON_CALL_KEY
        },
        stdout=asyncio.subprocess.PIPE)
    output, _ = await child.communicate()
    return child.returncode or 0, output.decode()


def _run(context: Any, *args: str) -> None:
    context.status, context.output = scenario.run(context, _check(*args))
    context.report = json.loads(context.output)


@when('"{name}" is checked')
def step_check(context: Any, name: str) -> None:
    _run(context, str(_SAMPLES / name))


@when('"{name}" is checked against "{other}"')
def step_check_against(context: Any, name: str, other: str) -> None:
    _run(context, str(_SAMPLES / name), f'--against={_SAMPLES / other}')


@then('the exit status is {status:d} and these are found')
def step_found(context: Any, status: int) -> None:
    expected = [tuple(row.cells) for row in context.table]
    found = [(str(f['line']), f['path'], f['severity'], f['rule'])
             for f in context.report['findings']]
    assert found == expected, found
    assert context.status == status, context.status


@then('the exit status is {status:d} and nothing is found')
def step_nothing_found(context: Any, status: int) -> None:
    assert not context.report['findings'], context.report
    assert context.status == status, context.status


@then('nothing is found in the examples')
def step_examples(context: Any) -> None:
    paths = sorted((_ROOT / 'examples').glob('*/*.yaml'))
    assert paths
    for path in paths:
        _run(context, str(path))
        step_nothing_found(context, 0)


@then('these changes are shown')
def step_changes(context: Any) -> None:
    expected = [row['path'] for row in context.table]
    found = [change['path'] for change in context.report['changes']]
    assert found == expected, found


@then('no key is shown')
def step_no_key(context: Any) -> None:
    assert _KEY not in context.output


@given('a system with published targets')
def step_system(context: Any) -> None:
    scenario.start_system(context, entries=1, engines=1)


@when('its targets are checked against its administration port')
def step_check_against_host(context: Any) -> None:
    path = pathlib.Path(context.system.folder) / 'targets.yaml'
    path.write_text(yaml.safe_dump(system_module.TARGETS), 'utf-8')
    admin = context.system.by_name['entry-1'].ready['admin']
    _run(context, str(path), f'--against={admin}')
