"""Starts a rank group with one agent for each rank, on loopback."""

import asyncio
import contextlib
import json
import pathlib
import signal
import tempfile
import types
from typing import Any, Self

import yaml

from pollenthread.adapters import http_client, table_http
from pollenthread.app import group_coordinator
from tests.fakes import system as system_module

__all__ = ['GROUP', 'RankSystem']

GROUP = 'group-1'
_LOOPBACK = '127.0.0.1:0'
_STOP_TIMEOUT_S = 20.0
_STARTS_AT_ONCE = 4


class RankSystem:
    """Owns the processes of one group."""

    def __init__(self, *, size: int) -> None:
        self.size = size
        self.by_name: dict[str, system_module.Process] = {}
        self.client = http_client.HttpClient()
        self._old: list[system_module.Process] = []
        self._stack = contextlib.AsyncExitStack()
        self._folder = pathlib.Path()

    async def __aenter__(self) -> Self:
        self._folder = pathlib.Path(
            self._stack.enter_context(
                tempfile.TemporaryDirectory(prefix='pollenthread-')))
        await self._stack.enter_async_context(self.client)
        try:
            await self._start_all()
        except BaseException:
            await self.__aexit__(None, None, None)
            raise
        return self

    async def __aexit__(self, kind: type[BaseException] | None,
                        error: BaseException | None,
                        trace: types.TracebackType | None) -> None:
        processes = [*self.by_name.values(), *self._old]
        for process in processes:
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGTERM)
        for process in processes:
            process.signal(signal.SIGTERM)
        for process in processes:
            try:
                async with asyncio.timeout(_STOP_TIMEOUT_S):
                    await process.child.wait()
            except TimeoutError:
                await process.kill()
        await self._stack.aclose()

    @property
    def table(self) -> table_http.HttpTable:
        """A client of the table."""
        return table_http.HttpTable(client=self.client,
                                    address=self._address('table'))

    def agent(self, index: int) -> system_module.Process:
        """The agent of a rank."""
        return self.by_name[f'agent-{index}']

    def log_text(self, index: int) -> str:
        """What the agent of a rank has logged."""
        return (self._folder / f'agent-{index}.log').read_text('utf-8')

    async def start_agent(self, index: int) -> None:
        """Starts, or starts again, the agent of a rank.

        An agent that still runs goes on beside the new one.
        """
        host = f'agent-{index}'
        if host in self.by_name:
            self._old.append(self.by_name[host])
        path = self._folder / f'{host}.yaml'
        path.write_text(yaml.safe_dump(self._settings(host, index)), 'utf-8')
        self.by_name[host] = await system_module.Process.start(
            host, ['pollenthread', 'agent', str(path)],
            self._folder / f'{host}.log')

    async def group(self) -> dict[str, Any]:
        """What the group tells about its ranks."""
        document: dict[str, Any] = await self._call('group', 'GET', '/group')
        return document

    async def status(self, index: int) -> dict[str, Any]:
        """What an agent tells about its rank."""
        address = self.agent(index).ready['admin']
        async with self.client.request(address, 'GET', '/status') as exchange:
            document = json.loads(await exchange.read_all())
        rank: dict[str, Any] = document['rank']
        return rank

    async def restart_rank(self, index: int) -> None:
        """Makes a rank lose its memory."""
        await self._call('group', 'POST', f'/ranks/{index}/restart')

    async def fault(self, name: str, **faults: Any) -> None:
        """Orders faults from a stand-in; none ends them."""
        await self._call(name, 'POST', '/fault', faults)

    async def set_wanted_map(self, version: int) -> None:
        """Names the map that the group shall use."""
        key = group_coordinator.wanted_key(GROUP)
        row = (await self.table.get(key)).unwrap()
        value = json.dumps({'map_version': version}).encode()
        written = await self.table.put(
            key, value, expected_version=row.version if row else 0)
        written.expect('the table takes the wanted map')

    async def _start_all(self) -> None:
        await self._start_fake('table', 'tests.fakes.table')
        await self._start_fake('weights', 'tests.fakes.weight_store')
        await self._start_fake('group', 'tests.fakes.rank_group',
                               f'--size={self.size}',
                               f'--weight-store={self._address("weights")}')
        turns = asyncio.Semaphore(_STARTS_AT_ONCE)

        async def start(index: int) -> None:
            async with turns:
                await self.start_agent(index)

        await asyncio.gather(*(start(i) for i in range(self.size)))

    async def _start_fake(self, name: str, module: str, *args: str) -> None:
        self.by_name[name] = await system_module.Process.start(
            name, [module, *args], self._folder / f'{name}.log')

    def _address(self, name: str) -> str:
        address: str = self.by_name[name].ready['address']
        return address

    def _settings(self, host: str, index: int) -> dict[str, Any]:
        return {
            'role': 'agent',
            'host': host,
            'data_centre': 'dc-1',
            'region': 'region-1',
            'links': _LOOPBACK,
            'admin': _LOOPBACK,
            'platform': {
                'table': self._address('table'),
                'object_store': self._address('table'),
                'host_list': self._address('table')
            },
            'upstream': {
                'kind': 'engine',
                'name': GROUP,
                'address': self._address('group')
            },
            'rank': {
                'group': GROUP,
                'index': index,
                'size': self.size,
                'address': self._address('group')
            }
        }

    async def _call(self,
                    name: str,
                    method: str,
                    target: str,
                    document: Any = None) -> Any:
        body = b'' if document is None else json.dumps(document).encode()
        async with self.client.request(self._address(name),
                                       method,
                                       target,
                                       body=body) as exchange:
            return json.loads(await exchange.read_all())
