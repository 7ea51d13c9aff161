"""Steps for computed and generated pages and for the command line help."""

import json
import pathlib
import subprocess
import sys
from typing import Any

from behave import then

from tests import scenario

_ROOT = pathlib.Path(__file__).resolve().parents[3]


def _run(*args: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run([sys.executable, '-m', *args],
                          cwd=_ROOT,
                          capture_output=True,
                          text=True,
                          check=False,
                          timeout=60)


@then('the capacity page contains the results of its formulas')
def step_capacity(_: Any) -> None:
    done = _run('bench.capacity', '--check')
    assert done.returncode == 0, done.stderr


@then('the pages of error kinds and of the administration API are up to date')
def step_generated(_: Any) -> None:
    done = _run('tests.pages')
    assert done.returncode == 0, done.stderr


@then('an entry host serves the committed description of its API')
def step_served(context: Any) -> None:
    committed = json.loads((_ROOT / 'docs' / 'openapi.json').read_text('utf-8'))
    process = context.system.by_name['entry-1']
    served = scenario.run(
        context,
        context.system.call(process.ready['admin'], 'GET', '/v1/openapi.json'))
    assert served == committed


@then('the help shows every command with flags, examples and exit statuses')
def step_help(_: Any) -> None:
    done = _run('pollenthread', '--help')
    assert done.returncode == 0, done.stderr
    terms = ('entry', 'agent', 'check', 'get', 'set', 'history', 'diff',
             'rollback-as-new-version', 'drain', 'undrain', 'status', 'report',
             'trace', 'version', '--format', '--admin', 'Examples', 'status')
    for term in terms:
        assert term in done.stdout, term
    for command in ('report', 'config set', 'drain'):
        done = _run('pollenthread', 'help', *command.split())
        assert done.returncode == 0 and 'Example' in done.stdout, done


@then('wrong usage exits with status 2 and one line on standard error')
def step_wrong_usage(_: Any) -> None:
    for args in ((), ('confg',), ('config',), ('drain',), ('status',
                                                           '--fromat=json'),
                 ('status', '--format=html'), ('version', '--days=x')):
        done = _run('pollenthread', *args)
        assert done.returncode == 2, (args, done)
        assert not done.stdout, (args, done)
        assert len(done.stderr.strip().splitlines()) == 1, (args, done.stderr)
