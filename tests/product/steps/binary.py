"""Steps for the built executable."""

import asyncio
import json
import os
import pathlib
import signal
import tempfile
from typing import Any

import yaml
from behave import given, then, when

from bench import build_binary
from tests import commands, scenario
from tests.fakes import caller as caller_module, system as system_module

_ROOT = pathlib.Path(__file__).resolve().parents[3]
_START_TIMEOUT_S = 50.0


def _environment(context: Any) -> dict[str, str]:
    return {**os.environ, 'SHIV_ROOT': str(context.folder / 'unpacked')}


@given('the built executable')
def step_built(context: Any) -> None:
    # The stack of the scenario owns it.
    # pylint: disable-next=consider-using-with
    folder = tempfile.TemporaryDirectory()
    context.folder = pathlib.Path(context.stack.enter_context(folder))
    context.binary = context.folder / 'pollenthread'
    build_binary.build(context.binary)


@given('a system with {entries:d} entry host that runs from the sources')
def step_system(context: Any, entries: int) -> None:
    scenario.start_system(context, entries=entries, engines=1, services=1)


async def _check(context: Any) -> commands.CommandResult:
    child = await asyncio.create_subprocess_exec(str(context.binary),
                                                 'check',
                                                 str(_ROOT / 'examples' /
                                                     'buna' / 'targets.yaml'),
                                                 env=_environment(context),
                                                 stdout=asyncio.subprocess.PIPE,
                                                 stderr=asyncio.subprocess.PIPE)
    output, errors = await child.communicate()
    return commands.CommandResult(child.returncode or 0, output.decode(),
                                  errors.decode())


@when('the executable checks the example targets')
def step_check(context: Any) -> None:
    context.done = scenario.run(context, _check(context))


async def _start(context: Any) -> None:
    system: system_module.System = context.system
    settings = yaml.safe_load(
        (system.folder / 'entry-1.yaml').read_text('utf-8'))
    settings['host'] = 'entry-of-the-built-file'
    path = context.folder / 'entry.yaml'
    path.write_text(yaml.safe_dump(settings), 'utf-8')
    context.child = await asyncio.create_subprocess_exec(
        str(context.binary),
        'entry',
        str(path),
        env=_environment(context),
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.DEVNULL)
    context.stack.push_async_callback(_end, context.child)
    async with asyncio.timeout(_START_TIMEOUT_S):
        context.ready = json.loads(await context.child.stdout.readline())

    async def is_linked() -> bool:
        status = await system.call(context.ready['admin'], 'GET', '/status')
        return bool(len(status['upstreams']) >= 2 and status['targets_version'])

    await scenario.eventually(is_linked)


async def _end(child: Any) -> None:
    if child.returncode is None:
        child.kill()
    await child.wait()


@when('an entry host runs from the executable')
def step_start(context: Any) -> None:
    scenario.run(context, _start(context))


@then('a caption request through it gets the complete response to that request')
def step_serve(context: Any) -> None:
    document = {
        'model': system_module.MODEL,
        'stream': True,
        'max_tokens': 5,
        'messages': [{
            'role': 'user',
            'content': 'five words'
        }]
    }
    response = scenario.run(
        context,
        context.caller.chat(context.ready['callers'], 'caption', document))
    assert caller_module.Caller.is_expected_response(document,
                                                     response), response


@then('it has one thread and no child process')
def step_one_thread(context: Any) -> None:
    process = pathlib.Path(f'/proc/{context.child.pid}')
    threads = list((process / 'task').iterdir())
    children = [(thread / 'children').read_text('ascii') for thread in threads]
    assert not any(children), children
    assert len(threads) == 1, threads


@then('it shuts down gracefully without aborting a request')
def step_shut_down(context: Any) -> None:

    async def stop() -> dict[str, Any]:
        context.child.send_signal(signal.SIGTERM)
        line = await context.child.stdout.readline()
        await context.child.wait()
        found: dict[str, Any] = json.loads(line)
        return found

    stopped = scenario.run(context, stop())
    assert stopped == {
        'event': 'stopped',
        'cut': 0,
        'cut_requests': []
    }, stopped
