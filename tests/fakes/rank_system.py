"""Starts a rank group and one agent per rank on loopback."""

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
_MAX_CONCURRENT_STARTS = 4


class RankSystem:
    """Starts and stops the processes of one rank group.

    Attributes:
        size: the number of ranks.
        by_name: the running processes by name.
        client: an HTTP client for calls to the processes.
    """

    def __init__(self, *, size: int) -> None:
        self.size = size
        self.by_name: dict[str, system_module.Process] = {}
        self.client = http_client.HttpClient()
        self._replaced_processes: list[system_module.Process] = []
        self._exit_stack = contextlib.AsyncExitStack()
        self._directory = pathlib.Path()

    async def __aenter__(self) -> Self:
        self._directory = pathlib.Path(
            self._exit_stack.enter_context(
                tempfile.TemporaryDirectory(prefix='pollenthread-')))
        await self._exit_stack.enter_async_context(self.client)
        try:
            await self._start_all()
        except BaseException:
            await self.__aexit__(None, None, None)
            raise
        return self

    async def __aexit__(self, kind: type[BaseException] | None,
                        error: BaseException | None,
                        trace: types.TracebackType | None) -> None:
        processes = [*self.by_name.values(), *self._replaced_processes]
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
        await self._exit_stack.aclose()

    @property
    def table(self) -> table_http.HttpTable:
        """A client of the table stand-in."""
        return table_http.HttpTable(client=self.client,
                                    address=self._address('table'))

    def agent(self, index: int) -> system_module.Process:
        """Returns the process of a rank's agent."""
        return self.by_name[f'agent-{index}']

    def log_text(self, index: int) -> str:
        """Returns the log of a rank's agent."""
        return (self._directory / f'agent-{index}.log').read_text('utf-8')

    async def start_agent(self, index: int) -> None:
        """Starts or restarts the agent of a rank.

        An agent of the rank that is still running is not stopped.
        """
        host = f'agent-{index}'
        if host in self.by_name:
            self._replaced_processes.append(self.by_name[host])
        path = self._directory / f'{host}.yaml'
        path.write_text(yaml.safe_dump(self._settings(host, index)), 'utf-8')
        self.by_name[host] = await system_module.Process.start(
            host, ['pollenthread', 'agent', str(path)],
            self._directory / f'{host}.log')

    async def group(self) -> dict[str, Any]:
        """Returns the state of the group that the stand-in reports."""
        document: dict[str, Any] = await self._call('group', 'GET', '/group')
        return document

    async def status(self, index: int) -> dict[str, Any]:
        """Returns the state of a rank that its agent reports."""
        address = self.agent(index).ready['admin']
        async with self.client.request(address, 'GET', '/status') as response:
            document = json.loads(await response.read_all())
        rank: dict[str, Any] = document['rank']
        return rank

    async def restart_rank(self, index: int) -> None:
        """Restarts a rank, which loses its state."""
        await self._call('group', 'POST', f'/ranks/{index}/restart')

    async def fault(self, name: str, **faults: Any) -> None:
        """Replaces the faults of a stand-in; no arguments clear them."""
        await self._call(name, 'POST', '/fault', faults)

    async def set_wanted_map(self, version: int) -> None:
        """Writes the version of the map that the group is to use."""
        key = group_coordinator.wanted_key(GROUP)
        row = (await self.table.get(key)).unwrap()
        value = json.dumps({'map_version': version}).encode()
        written = await self.table.put(
            key, value, expected_version=row.version if row else 0)
        written.expect('cannot store the wanted map version')

    async def _start_all(self) -> None:
        await self._start_stand_in('table', 'tests.fakes.table')
        await self._start_stand_in('weights', 'tests.fakes.weight_store')
        await self._start_stand_in(
            'group', 'tests.fakes.rank_group', f'--size={self.size}',
            f'--weight-store={self._address("weights")}')
        semaphore = asyncio.Semaphore(_MAX_CONCURRENT_STARTS)

        async def start(index: int) -> None:
            async with semaphore:
                await self.start_agent(index)

        await asyncio.gather(*(start(i) for i in range(self.size)))

    async def _start_stand_in(self, name: str, module: str, *args: str) -> None:
        self.by_name[name] = await system_module.Process.start(
            name, [module, *args], self._directory / f'{name}.log')

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
                                       body=body) as response:
            return json.loads(await response.read_all())
