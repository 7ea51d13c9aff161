"""Steps for a store that comes back from an older copy, in virtual time."""

import asyncio
import itertools
import random
from collections.abc import Sequence
from typing import Any

import result
from behave import given, then, when

from pollenthread.app import host_registry, map_coordinator, store_follower
from pollenthread.core import store_version
from pollenthread.ports import row_store
from tests.fakes import entry_fleet, store_history, virtual_time

_CHECK_INTERVAL_S = 0.02
_FOLLOW_S = 5.0


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
        await store.break_calls()
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


@then('within {seconds:g} s the store has the registrations of all hosts')
def step_registered(context: Any, seconds: float) -> None:
    script = context.script

    async def check() -> None:
        await asyncio.sleep(seconds)
        rows = script.fleet.store.changes(host_registry.HOSTS_TABLE, -1).changes
        assert {row.key for row in rows} == set(script.fleet.host_by_name), rows

    script.run(check)


# Versions.


@given(
    'versions {first:d} of era 1, {second:d} of era 2 and {third:d} of era 2')
def step_versions(context: Any, first: int, second: int, third: int) -> None:
    context.versions = [
        store_version.START,
        store_version.StoreVersion(1, first),
        store_version.StoreVersion(2, second),
        store_version.StoreVersion(2, third)
    ]


@then('each is greater than the one before, and so are their tokens')
def step_greater(context: Any) -> None:
    for earlier, later in itertools.pairwise(context.versions):
        assert earlier < later and earlier.token < later.token, (earlier, later)


@then('a peer that tells no era is taken to be in the known one')
def step_no_era(context: Any) -> None:
    known = context.versions[-1]
    assert store_version.told_version(0, known.counter, known) == known


class _Listener(store_follower.TableListener):
    """Records what a follower gives to it.

    Attributes:
        received: the versions of all reads and changes.
    """

    def __init__(self, known: store_version.StoreVersion) -> None:
        self._known = known
        self.received: list[object] = []

    def on_full_read(self, rows: Sequence[row_store.RowChange],
                     version: store_version.StoreVersion) -> None:
        self.received.append(version)

    def on_changes(self, rows: Sequence[row_store.RowChange]) -> None:
        self.received.append(rows)

    def on_error(self, error: row_store.StoreError) -> None:
        self.received.append(error)

    def on_contact(self, version: store_version.StoreVersion) -> None:
        self.received.append(version)

    @property
    def known_version(self) -> store_version.StoreVersion:
        return self._known


class _LateStore(row_store.RowStore):
    """Responds with the content of one version."""

    def __init__(self, version: store_version.StoreVersion) -> None:
        self._version = version

    async def read(
        self, table: str
    ) -> result.Result[row_store.RowChanges, row_store.StoreError]:
        row = row_store.RowChange('k', b'v', self._version)
        return result.Ok(row_store.RowChanges((row,), self._version))

    async def watch(
        self, table: str, after_version: store_version.StoreVersion,
        wait_s: float
    ) -> result.Result[row_store.RowChanges, row_store.StoreError]:
        return await self.read(table)

    async def write(
        self, writes: Sequence[row_store.RowWrite]
    ) -> result.Result[store_version.StoreVersion, row_store.StoreError]:
        return result.Ok(self._version)


@given('a follower whose listener knows version {counter:d} of era {era:d}')
def step_follower(context: Any, counter: int, era: int) -> None:
    context.listener = _Listener(store_version.StoreVersion(era, counter))


@when('the store responds with version {counter:d} of era {era:d}')
def step_late_response(context: Any, counter: int, era: int) -> None:
    follower = store_follower.StoreFollower(store=_LateStore(
        store_version.StoreVersion(era, counter)),
                                            table='t',
                                            listener=context.listener,
                                            time=virtual_time.LoopClock(),
                                            wait_s=1.0,
                                            pause_s=0.1,
                                            rng=random.Random(1))

    async def follow() -> None:
        try:
            async with asyncio.timeout(_FOLLOW_S):
                await follower.run()
        except TimeoutError:
            pass

    virtual_time.run(follow())


@then('the listener receives nothing')
def step_nothing_received(context: Any) -> None:
    assert not context.listener.received, context.listener.received


@given('a duty that was acquired at version {counter:d} of era {era:d}')
def step_first_duty(context: Any, counter: int, era: int) -> None:
    context.terms = [store_version.StoreVersion(era, counter).token]


@when('another agent acquires it at version {counter:d} of era {era:d}')
def step_second_duty(context: Any, counter: int, era: int) -> None:
    context.terms.append(store_version.StoreVersion(era, counter).token)


@then('its term is greater than the first one')
def step_greater_term(context: Any) -> None:
    first, second = context.terms
    assert second > first, context.terms


@then('maps of the first one have lower versions')
def step_lower_maps(context: Any) -> None:
    first, second = context.terms
    last_of_first = map_coordinator.map_version(
        first, map_coordinator.VERSIONS_PER_TERM - 1)
    assert last_of_first < map_coordinator.map_version(second, 1)
    assert map_coordinator.map_version(second, 1) < 1 << 64


# Random histories.


@when('the histories with seeds {first:d} to {last:d} are run')
def step_histories(context: Any, first: int, last: int) -> None:
    context.problems_by_seed = {}
    for seed in range(first, last + 1):
        virtual_time.run(_run_history(context, seed))


@when('the histories with evacuations and seeds {first:d} to {last:d} are run')
def step_evacuation_histories(context: Any, first: int, last: int) -> None:
    context.problems_by_seed = {}
    for seed in range(first, last + 1):
        virtual_time.run(_run_history(context, seed, with_evacuations=True))


async def _run_history(context: Any,
                       seed: int,
                       *,
                       with_evacuations: bool = False) -> None:
    history = store_history.StoreHistory(seed=seed,
                                         with_evacuations=with_evacuations)
    await history.run()
    if history.problems:
        context.problems_by_seed[seed] = history.problems


@then('no host goes back and all know the truth at their ends')
def step_no_problems(context: Any) -> None:
    assert not context.problems_by_seed, context.problems_by_seed
