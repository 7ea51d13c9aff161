"""Steps for entry hosts that follow the store for others, in virtual time."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from behave import given, then, when

from pollenthread.core import host_record
from tests.fakes import entry_fleet, virtual_time

_SERVERS = ('s-1', 's-2', 's-3')
_SEED = 4
_CHECK_INTERVAL_S = 0.02
_OUTAGE_END_S = 0.1


class _Script:
    """The steps of a scenario, which run in one event loop at its end.

    Attributes:
        fleet: the entry hosts; set when the script runs.
    """

    def __init__(self, centres: int, hosts: int) -> None:
        self._centres = centres
        self._hosts = hosts
        self._actions: list[Callable[[], Awaitable[None]]] = []
        self.fleet: entry_fleet.EntryFleet
        self.calls = 0
        self.datagrams = 0
        self.seconds = 0.0
        self.restarted: str = ''
        self._stopped: host_record.HostRecord

    def add(self, action: Callable[[], Awaitable[None]]) -> None:
        """Adds an action."""
        self._actions.append(action)

    def run(self, check: Callable[[], Awaitable[None]]) -> None:
        """Runs all actions and then a check."""
        virtual_time.run(self._run(check))

    async def _run(self, check: Callable[[], Awaitable[None]]) -> None:
        self.fleet = entry_fleet.EntryFleet(data_centres=self._centres,
                                            hosts_per_data_centre=self._hosts,
                                            seed=_SEED)
        await self._put_config(1)
        for server in _SERVERS:
            await self._put_server(server, b'ready')
        self.fleet.start()
        try:
            for action in self._actions:
                await action()
            await check()
        finally:
            for name in list(self.fleet.host_by_name):
                await self.fleet.stop_host(name)

    async def _put_config(self, version: int) -> None:
        await self.fleet.store.put(entry_fleet.CONFIG_TABLE,
                                   entry_fleet.CONFIG_KEY,
                                   str(version).encode())

    async def _put_server(self, server: str, state: bytes | None) -> None:
        await self.fleet.store.put(entry_fleet.SERVERS_TABLE, server, state)

    async def idle(self, seconds: float) -> None:
        """Lets the hosts run; counts calls and datagrams in the second half."""
        await asyncio.sleep(seconds / 2)
        calls = self.fleet.store.calls.total()
        datagrams = self.fleet.datagrams
        await asyncio.sleep(seconds / 2)
        self.calls = self.fleet.store.calls.total() - calls
        self.datagrams = self.fleet.datagrams - datagrams
        self.seconds = seconds / 2

    async def change_config(self, version: int) -> None:
        """Writes a configuration."""
        await self._put_config(version)

    async def change_config_often(self, first: int, last: int,
                                  interval_s: float) -> None:
        """Writes one configuration after the other; counts the fetches."""
        self.fleet.fetches.clear()
        for version in range(first, last + 1):
            await self._put_config(version)
            await asyncio.sleep(interval_s)

    async def drain(self, server: str) -> None:
        """Marks a server as draining."""
        await self._put_server(server, b'draining')

    async def remove(self, server: str) -> None:
        """Removes the entry of a server."""
        await self._put_server(server, None)

    async def cut_watchers(self, centre: int) -> None:
        """Cuts off the watchers of a data centre."""
        for name in self.fleet.watchers():
            host = self.fleet.host_by_name[name]
            if host.record.data_centre == f'dc-{centre}':
                self.fleet.cut_off(name)

    async def reject_watchers(self) -> None:
        """Makes the store reject the present watchers."""
        self.fleet.store.rejected_hosts.update(self.fleet.watchers())

    async def reject_all(self, seconds: float) -> None:
        """Makes the store reject all hosts for some time."""
        self.fleet.store.rejected_hosts.update(self.fleet.host_by_name)
        await asyncio.sleep(seconds - _OUTAGE_END_S)

    async def remove_and_answer(self, server: str) -> None:
        """Removes a server and lets the store answer again."""
        await self._put_server(server, None)
        await asyncio.sleep(_OUTAGE_END_S)
        self.fleet.store.rejected_hosts.clear()

    async def stop(self, name: str) -> None:
        """Stops a host."""
        self._stopped = self.fleet.host_by_name[name].record
        await self.fleet.stop_host(name)

    async def restart_rejected(self, name: str) -> None:
        """Starts the stopped host; the store rejects it."""
        self.fleet.store.rejected_hosts.add(name)
        self.restarted = name
        self.fleet.start_host(self._stopped)

    def is_up_to_date(self, host: entry_fleet.EntryHost, version: int,
                      server: str) -> bool:
        """Returns whether a host knows a version and does not use a server."""
        config = host.state.config
        return (config is not None and config.version == version and
                server not in self.used_servers(host))

    def used_servers(self, host: entry_fleet.EntryHost) -> set[str]:
        """Returns the ids of the servers that a host uses."""
        return {s.id for s in host.state.server_registry.ready('llm')}

    def reachable_hosts(self) -> list[entry_fleet.EntryHost]:
        """Returns the hosts that are not cut off."""
        return [
            host for host in self.fleet.host_by_name.values()
            if self.fleet.network_at(host.record.peer_address) is not None
        ]


@given('{centres:d} data centres with {hosts:d} entry hosts each')
def step_fleet(context: Any, centres: int, hosts: int) -> None:
    context.script = _Script(centres, hosts)


@when('the hosts have run for {seconds:d} s without a change')
def step_idle(context: Any, seconds: int) -> None:
    context.script.add(lambda: context.script.idle(seconds))


@when('server "{server}" begins to drain')
def step_drain(context: Any, server: str) -> None:
    context.script.add(lambda: context.script.drain(server))


@when('server "{server}" is removed')
def step_remove(context: Any, server: str) -> None:
    context.script.add(lambda: context.script.remove(server))


@when('the configuration changes to version {version:d}')
def step_config(context: Any, version: int) -> None:
    context.script.add(lambda: context.script.change_config(version))


@when(
    'the configuration changes to version {first:d} and, each {interval:g} s, '
    'up to version {last:d}')
def step_config_often(context: Any, first: int, interval: float,
                      last: int) -> None:
    context.script.add(
        lambda: context.script.change_config_often(first, last, interval))


@when('the watchers of data centre {centre:d} are cut off')
def step_cut(context: Any, centre: int) -> None:
    context.script.add(lambda: context.script.cut_watchers(centre))


@when('the store rejects all present watchers')
def step_reject_watchers(context: Any) -> None:
    context.script.add(context.script.reject_watchers)


@when('the store rejects every host for {seconds:d} s')
def step_reject_all(context: Any, seconds: int) -> None:
    context.script.add(lambda: context.script.reject_all(seconds))


@when('server "{server}" is removed before it answers again')
def step_lapse(context: Any, server: str) -> None:
    context.script.add(lambda: context.script.remove_and_answer(server))


@when('host "{name}" stops')
def step_stop(context: Any, name: str) -> None:
    context.script.add(lambda: context.script.stop(name))


@when('host "{name}" starts while the store rejects it')
def step_restart(context: Any, name: str) -> None:
    context.script.add(lambda: context.script.restart_rejected(name))


@then('they call the store at most {limit:d} times per second')
def step_call_rate(context: Any, limit: int) -> None:
    script = context.script

    async def check() -> None:
        assert script.calls <= limit * script.seconds, script.calls
        context.watcher_centres = [
            script.fleet.host_by_name[name].record.data_centre
            for name in script.fleet.watchers()
        ]
        context.centres = {
            h.record.data_centre for h in script.fleet.host_by_name.values()
        }

    script.run(check)


@then('at least one host of each data centre and {count:d} in all follow the '
      'store')
def step_watchers(context: Any, count: int) -> None:
    assert set(context.watcher_centres) == context.centres
    assert count <= len(context.watcher_centres) <= max(
        count, len(context.centres)), context.watcher_centres


@then('a host receives at most {limit:d} datagrams per second')
def step_datagram_rate(context: Any, limit: int) -> None:
    script = context.script

    async def check() -> None:
        hosts = len(script.fleet.host_by_name)
        rate = script.datagrams / script.seconds / hosts
        assert rate <= limit, rate

    script.run(check)


@then('within {seconds:g} s every host knows version {version:d} and does not '
      'use "{server}"')
@then('within {seconds:g} s every reachable host knows version {version:d} and '
      'does not use "{server}"')
def step_up_to_date(context: Any, seconds: float, version: int,
                    server: str) -> None:
    script = context.script

    async def check() -> None:
        waited_s = 0.0
        while not all(
                script.is_up_to_date(host, version, server)
                for host in script.reachable_hosts()):
            assert waited_s < seconds, [
                host.record.host
                for host in script.reachable_hosts()
                if not script.is_up_to_date(host, version, server)
            ]
            await asyncio.sleep(_CHECK_INTERVAL_S)
            waited_s += _CHECK_INTERVAL_S

    script.run(check)


@then('it never used "{server}", "{other}" or a version before {version:d}')
def step_never_used(context: Any, server: str, other: str,
                    version: int) -> None:
    script = context.script

    async def check() -> None:
        for _ in range(round(3.0 / _CHECK_INTERVAL_S)):
            host = script.fleet.host_by_name[script.restarted]
            assert not script.used_servers(host) & {server, other}
            config = host.state.config
            assert config is None or config.version >= version, config
            await asyncio.sleep(_CHECK_INTERVAL_S)

    script.run(check)


async def _check_use(script: _Script, server: str, seconds: float, *,
                     is_used: bool) -> None:
    await asyncio.sleep(seconds)
    wrong = [
        host.record.host
        for host in script.fleet.host_by_name.values()
        if (server in script.used_servers(host)) is not is_used
    ]
    assert not wrong, wrong


@then('{seconds:g} s after that every host still uses "{server}"')
def step_still_used(context: Any, seconds: float, server: str) -> None:
    script = context.script
    script.run(lambda: _check_use(script, server, seconds, is_used=True))


@then('{seconds:g} s after that no host uses "{server}"')
def step_unused(context: Any, seconds: float, server: str) -> None:
    script = context.script
    script.run(lambda: _check_use(script, server, seconds, is_used=False))


@then("every host gives callers of each data centre its {count:d} addresses")
def step_addresses(context: Any, count: int) -> None:
    script = context.script

    async def check() -> None:
        for host in script.fleet.host_by_name.values():
            for other in script.fleet.host_by_name.values():
                found = host.liveness.usable_addresses(other.record.data_centre)
                assert len(found) == count, (host.record.host, found)

    script.run(check)


@then('at most 1 in {share:d} fetches were from another data centre')
def step_far_fetches(context: Any, share: int) -> None:
    script = context.script

    async def check() -> None:
        fetches = script.fleet.fetches
        assert fetches[False] * share <= fetches.total(), fetches

    script.run(check)


@when('every server is removed')
def step_remove_all(context: Any) -> None:
    for server in _SERVERS:
        context.script.add(lambda server=server: context.script.remove(server))


@when('the hosts of data centre {centre} end except for {left:d}')
def step_end(context: Any, centre: str, left: int) -> None:
    script = context.script

    async def end() -> None:
        ending = [
            name for name, host in script.fleet.host_by_name.items()
            if centre in ('any', host.record.data_centre[-1])
        ]
        for name in ending[left:]:
            await script.fleet.stop_host(name)

    script.add(end)


@then('no host names one that has ended')
def step_none_ended(context: Any) -> None:
    script = context.script

    async def check() -> None:
        hosts = script.fleet.host_by_name.values()
        running = {host.record.caller_address for host in hosts}
        for host in hosts:
            for centre in range(3):
                found = host.liveness.usable_addresses(f'dc-{centre}')
                assert set(found) <= running, (host.record.host, found)

    script.run(check)
