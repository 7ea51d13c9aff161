"""Steps for a store that comes back from an older copy, in virtual time."""

import asyncio
from typing import Any

from behave import then, when

from tests.fakes import entry_fleet

_CHECK_INTERVAL_S = 0.02


async def _put_server(context: Any, server: str, state: bytes | None) -> None:
    await context.script.fleet.store.put(entry_fleet.SERVERS_TABLE, server,
                                         state)


@when('the store is copied')
def step_copy(context: Any) -> None:

    async def copy() -> None:
        context.copy = context.script.fleet.store.copy()

    context.script.add(copy)


@when('the store is away for {seconds:g} s and comes back from the copy')
def step_restore(context: Any, seconds: float) -> None:

    async def restore() -> None:
        store = context.script.fleet.store
        store.rejected_hosts.update(context.script.fleet.host_by_name)
        await asyncio.sleep(seconds)
        store.restore(context.copy)

    context.script.add(restore)


@when('the configuration is written again as version {first:d} and then '
      '{second:d}')
def step_config_again(context: Any, first: int, second: int) -> None:
    for version in (first, second):
        context.script.add(
            lambda version=version: context.script.change_config(version))


@when('the servers write their entries again')
def step_servers_again(context: Any) -> None:

    async def write() -> None:
        for server in ('s-1', 's-2', 's-3'):
            await _put_server(context, server, b'ready')

    context.script.add(write)


@when('the store answers every host')
def step_answer(context: Any) -> None:

    async def answer() -> None:
        context.script.fleet.store.rejected_hosts.clear()

    context.script.add(answer)


@when('server "{server}" joins')
def step_join(context: Any, server: str) -> None:
    context.script.add(lambda: _put_server(context, server, b'ready'))


@when('{seconds:g} s later server "{server}" is listed again')
def step_listed_again(context: Any, seconds: float, server: str) -> None:

    async def put_later() -> None:
        await asyncio.sleep(seconds)
        await _put_server(context, server, b'ready')

    async def start() -> None:
        context.listing = asyncio.create_task(put_later())

    context.script.add(start)


async def _check_for(context: Any, seconds: float, used: set[str],
                     unused: set[str]) -> None:
    """Checks for some time which servers all hosts use."""
    script = context.script
    for _ in range(round(seconds / _CHECK_INTERVAL_S)):
        for host in script.fleet.host_by_name.values():
            found = script.used_servers(host)
            assert used <= found and not unused & found, (host.record.host,
                                                          found)
        await asyncio.sleep(_CHECK_INTERVAL_S)


@then('for {seconds:g} s no host uses "{first}" or "{second}"')
def step_never_used(context: Any, seconds: float, first: str,
                    second: str) -> None:
    context.script.run(
        lambda: _check_for(context, seconds, set(), {first, second}))


@then('for {seconds:g} s every host uses "{server}"')
def step_always_used(context: Any, seconds: float, server: str) -> None:
    context.script.run(lambda: _check_for(context, seconds, {server}, set()))
