"""Steps for large configurations in a fleet with slow links."""

import asyncio
import json
import random
from collections.abc import Awaitable, Callable
from typing import Any

from behave import given, then, when

from pollenthread.app import config_listeners
from pollenthread.core import (host_record, log_events, peer_messages,
                               store_version)
from pollenthread.platform import config_document
from tests.fakes import (config_versions, entry_fleet, fleet_links, forwarding,
                         memory, virtual_time)

_SEED = 7
_DATA_CENTRES = 3
_ENTRY_HOSTS_PER_DATA_CENTRE = 14
_AGENTS_PER_DATA_CENTRE = 21
_ENTRY_MEGABITS_PER_S = 20.0
_AGENT_MEGABITS_PER_S = 4.0
_START_S = 8.0
_CHECK_INTERVAL_S = 0.05
_ROUTES_AT_START = 5
_ROUTE = (b'{"name":"r-%x","host":"%x.example","path_prefix":"/%x/",'
          b'"kind":"streaming","timeout_ms":8000,"target_latency_ms":407,'
          b'"priority":1,"service":"llm","max_attempts":2,"public":false,'
          b'"sticky":true,"can_resume":true,"gap_aim_ms":120}')


class _Script:
    """The steps of a scenario, which run in one event loop at its end."""

    def __init__(self) -> None:
        self._actions: list[Callable[[], Awaitable[None]]] = []
        self._rng = random.Random(_SEED)
        self._routes = [self._make_route() for _ in range(_ROUTES_AT_START)]
        self.fleet: entry_fleet.EntryFleet
        self.links: fleet_links.FleetLinks
        self._bytes_before: dict[str, int] = {}
        self._changed_at = 0.0

    def _make_route(self) -> bytes:
        return _ROUTE % tuple(self._rng.getrandbits(40) for _ in range(3))

    def add(self, action: Callable[[], Awaitable[None]]) -> None:
        """Adds an action."""
        self._actions.append(action)

    def run(self, check: Callable[[], Awaitable[None]]) -> None:
        """Runs all actions and then a check."""
        virtual_time.run(self._run(check))

    async def _run(self, check: Callable[[], Awaitable[None]]) -> None:
        self.links = fleet_links.FleetLinks(
            megabits_per_s=_ENTRY_MEGABITS_PER_S)
        self.fleet = entry_fleet.EntryFleet(
            data_centres=_DATA_CENTRES,
            hosts_per_data_centre=_ENTRY_HOSTS_PER_DATA_CENTRE,
            seed=_SEED,
            links=self.links)
        await self._write(1)
        self.fleet.start()
        for number in range(_DATA_CENTRES * _AGENTS_PER_DATA_CENTRE):
            self._start_agent(number)
        await asyncio.sleep(_START_S)
        self.fleet.log.counts.clear()
        self._bytes_before = dict(self.links.received_bytes)
        try:
            for action in self._actions:
                await action()
            await check()
        finally:
            for name in list(self.fleet.host_by_name):
                await self.fleet.stop_host(name)
            for name in list(self.fleet.agent_by_name):
                await self.fleet.stop_agent(name)

    def _start_agent(self, number: int) -> None:
        address = f'10.100.0.{number}:1'
        self.links.set_rate(address, _AGENT_MEGABITS_PER_S)
        self.fleet.start_agent(
            host_record.HostRecord(host=f'side-{number}',
                                   role=host_record.Role.AGENT,
                                   data_centre=f'dc-{number % _DATA_CENTRES}',
                                   peer_address=address,
                                   engine_address='',
                                   service='llm'))

    async def _write(self, version: int) -> None:
        document = b'%d' % version + b','.join(self._routes)
        await self.fleet.store.put(entry_fleet.CONFIG_TABLE,
                                   entry_fleet.CONFIG_KEY, document)
        self._changed_at = asyncio.get_running_loop().time()

    async def add_routes(self, count: int, version: int) -> None:
        """Adds routes."""
        self._routes += [self._make_route() for _ in range(count)]
        await self._write(version)

    async def change_route(self, version: int) -> None:
        """Replaces one route."""
        self._routes[self._rng.randrange(len(
            self._routes))] = self._make_route()
        await self._write(version)

    async def change_often(self, count: int, interval_s: float,
                           version: int) -> None:
        """Replaces one route after the other."""
        for number in range(count):
            await self.change_route(version - count + 1 + number)
            await asyncio.sleep(interval_s)

    async def cut_watchers(self, data_centre: int) -> None:
        """Cuts off the watchers of a data centre."""
        for name in self.fleet.watchers():
            record = self.fleet.host_by_name[name].record
            if record.data_centre == f'dc-{data_centre}':
                self.fleet.cut_off(name)

    async def restart(self, name: str) -> None:
        """Replaces the process of an entry host by a new one."""
        record = self.fleet.host_by_name[name].record
        await self.fleet.stop_host(name)
        self.fleet.start_host(record)

    async def check_version(self, version: int, within_s: float) -> None:
        """Checks that all reachable entry hosts get a version in time."""
        loop = asyncio.get_running_loop()
        while late := [
                host.record.host for host in self.fleet.host_by_name.values() if
                self.fleet.network_at(host.record.peer_address) is not None and
            (host.state.config is None or host.state.config.version != version)
        ]:
            assert loop.time() - self._changed_at < within_s, late
            await asyncio.sleep(_CHECK_INTERVAL_S)

    async def check_no_missed_heartbeats(self) -> None:
        """Checks that no host has taken another one for dead."""
        missed = self.fleet.log.counts[log_events.LogEvent.PEER_SILENT]
        assert not missed, missed

    async def check_agents(self, version: int, bytes_per_s: float) -> None:
        """Checks what agents have received since the large change."""
        seconds = asyncio.get_running_loop().time() - self._changed_at
        for agent in self.fleet.agent_by_name.values():
            address = agent.record.peer_address
            received = (self.links.received_bytes[address] -
                        self._bytes_before[address])
            assert agent.state.config is not None
            assert agent.state.config.version == version, agent.record.host
            assert received <= bytes_per_s * seconds, received


@given('a fleet with links and the configuration version 1')
def step_fleet(context: Any) -> None:
    context.script = _Script()


@when('the operator adds {count:d} routes as version {version:d}')
def step_add_routes(context: Any, count: int, version: int) -> None:
    context.script.add(lambda: context.script.add_routes(count, version))


@when('the operator changes one route as version {version:d}')
def step_change_route(context: Any, version: int) -> None:
    context.script.add(lambda: context.script.change_route(version))


@when('the operator changes one route {count:d} times, each {interval_s:g} s, '
      'up to version {version:d}')
def step_change_often(context: Any, count: int, interval_s: float,
                      version: int) -> None:
    context.script.add(
        lambda: context.script.change_often(count, interval_s, version))


@when('{seconds:d} s pass')
def step_pass(context: Any, seconds: int) -> None:
    context.script.add(lambda: asyncio.sleep(seconds))


@when('entry host "{name}" restarts')
def step_restart(context: Any, name: str) -> None:
    context.script.add(lambda: context.script.restart(name))


@then('within {seconds:g} s every entry host has version {version:d}')
@then('within {seconds:g} s every reachable entry host has version {version:d}')
def step_in_force(context: Any, seconds: float, version: int) -> None:
    script = context.script
    script.run(lambda: script.check_version(version, seconds))


@then('no heartbeats of a host were missed')
def step_no_missed(context: Any) -> None:
    context.script.run(context.script.check_no_missed_heartbeats)


@then('every agent has version {version:d} and received at most {kilobytes:d} '
      'kB per second')
def step_agents(context: Any, version: int, kilobytes: int) -> None:
    script = context.script
    script.run(lambda: script.check_agents(version, kilobytes * 1000))


@given('a document with 3 routes, 2 services and 2 workspaces')
def step_document(context: Any) -> None:
    context.document = json.dumps({
        'version':
            7,
        'routes': [{
            'name': f'r-{number}',
            'host': 'a.example',
            'path_prefix': f'/{number}/',
            'kind': 'idempotent',
            'timeout_ms': 500,
            'service': 'llm'
        } for number in range(3)],
        'services': [{
            'name': 'llm',
            'engine': {
                'slots': 5,
                'experts': 128
            }
        }, {
            'name': 'shop'
        }],
        'tenants': [{
            'name': f'w-{number}',
            'api_keys': [f'key-{number}']
        } for number in range(2)]
    }).encode()


@when('an agent fetches it from an entry host')
def step_agent_fetches(context: Any) -> None:
    context.configs = []

    async def fetch() -> None:
        listeners = [
            config_listeners.ConfigListener(
                state=forwarding.make_state(data_centre='dc'),
                time=virtual_time.LoopClock(),
                log=memory.NullEventLog(),
                table='op',
                key='config',
                decoder=config_document.ConfigDocumentDecoder())
            for _ in range(2)
        ]
        for listener in listeners:
            listener.applied_callbacks.append(context.configs.append)
        version = store_version.StoreVersion(1, 1)
        async with config_versions.applying(listeners[0]):
            listeners[0].offer_document(context.document,
                                        version,
                                        source='store')
        async with config_versions.applying(listeners[1]):
            listeners[1].offer_patches(
                listeners[0].patches_for(0, peer_messages.ConfigForm.SERVICES),
                version)

    virtual_time.run(fetch())


@then('it has version 7 with the services, and neither routes nor workspaces')
def step_services_only(context: Any) -> None:
    whole, found = context.configs
    assert whole.version == found.version == 7
    assert found.services_by_name == whole.services_by_name
    assert whole.routes_by_host and whole.workspaces_by_api_key
    assert not found.routes_by_host and found.workspaces_by_api_key is None
