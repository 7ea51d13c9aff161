"""Starts entry hosts and stand-ins as the users' platform does.

Each host has its own loopback address, and all use the same ports.
"""

import asyncio
import asyncio.subprocess as aio_subprocess
import contextlib
import json
import os
import pathlib
import signal
import sys
import tempfile
import types
from collections.abc import Mapping, Sequence
from typing import Any, Self

from pollenthread.adapters import http_client
from tests.fakes import system

__all__ = ['CONFIG', 'KEY', 'PlatformSite']

KEY = 'key-of-buna'
_HOST_NAME = 'site.example'
_CALLERS_PORT = 18081
_READY_PORT = 18082
_DIRECTORY_PORT = 18083
_CONTROL_PORT = 18084
_PEER_PORT = 18090
_STOP_TIMEOUT_S = 12.0
_OCTET_VALUES = 250
_AGENT_OCTET = 100

CONFIG: dict[str, Any] = {
    'version': 1,
    'routes': [{
        'name': route,
        'host': _HOST_NAME,
        'path_prefix': f'/{route}/',
        'kind': kind,
        'timeout_ms': timeout_ms,
        'target_latency_ms': 400,
        'priority': 1,
        'service': 'svc',
        'max_attempts': attempts,
        'can_resume': route == 'text',
        'gap_aim_ms': 120
    } for route, kind, timeout_ms, attempts in (('text', 'streaming', 8000, 2),
                                                ('pay', 'non_idempotent', 1500,
                                                 1), ('look', 'idempotent',
                                                      1500, 2))],
    'services': [{
        'name': 'svc',
        'health_path': '/healthz',
        'max_connections': 100
    }],
    'tenants': [{
        'name': 'buna',
        'api_keys': [KEY],
        'priority': 1
    }]
}


class PlatformSite:
    """Starts and stops the processes of one site.

    Attributes:
        folder: the directory of the settings and log files.
        client: an HTTP client for calls to the processes.
        by_name: the processes of the stand-ins by name.
        child_by_entry: the process of each entry host by host name.
        child_by_agent: the process of each agent by host name.
    """

    def __init__(self,
                 *,
                 entries: int = 2,
                 servers: int = 2,
                 limits: Mapping[str, int] | None = None) -> None:
        """Initializes the site without starting it.

        Args:
            entries: the number of entry hosts.
            servers: the number of servers.
            limits: the limits of a host by their names in its settings.
        """
        self._limits = dict(limits or {})
        self._entries = entries
        self._servers = servers
        self._exit_stack = contextlib.AsyncExitStack()
        self.folder = pathlib.Path()
        self.client = http_client.HttpClient()
        self.by_name: dict[str, system.Process] = {}
        self.child_by_entry: dict[str, aio_subprocess.Process] = {}
        self.child_by_agent: dict[str, aio_subprocess.Process] = {}
        process_id = os.getpid()
        self._network_prefix = (
            f'127.{1 + process_id // _OCTET_VALUES % _OCTET_VALUES}.'
            f'{1 + process_id % _OCTET_VALUES}')

    async def __aenter__(self) -> Self:
        folder = self._exit_stack.enter_context(
            tempfile.TemporaryDirectory(prefix='pollenthread-site-'))
        self.folder = pathlib.Path(folder)
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
        for child in (*self.child_by_entry.values(),
                      *self.child_by_agent.values()):
            if child.returncode is None:
                child.kill()
                await child.wait()
        for process in self.by_name.values():
            process.signal(signal.SIGTERM)
            try:
                async with asyncio.timeout(_STOP_TIMEOUT_S):
                    await process.child.wait()
            except TimeoutError:
                await process.kill()
        await self._exit_stack.aclose()

    async def _start_all(self) -> None:
        for name in ('store', 'store-2'):
            await self._start_stand_in(name, 'tests.fakes.platform_store')
        for i in range(1, self._servers + 1):
            await self._start_stand_in(f'server-{i}',
                                       'tests.fakes.platform_server')
        await self.put_config(CONFIG)
        for i in range(1, self._servers + 1):
            await self.put_server(i)
        for i in range(1, self._entries + 1):
            await self.start_entry(i)
        await self.wait_ready()

    async def _start_stand_in(self, name: str, module: str) -> None:
        self.by_name[name] = await system.Process.start(
            name, [module], self.folder / f'{name}.log')

    def address(self, name: str) -> str:
        """Returns the address of a stand-in."""
        address: str = self.by_name[name].ready['address']
        return address

    def _ip(self, number: int) -> str:
        return f'{self._network_prefix}.{number}'

    def callers(self, number: int) -> str:
        """Returns the address of an entry host for callers."""
        return f'{self._ip(number)}:{_CALLERS_PORT}'

    def _agent_ip(self, number: int) -> str:
        return self._ip(_AGENT_OCTET + number)

    def ready_address(self, number: int) -> str:
        """Returns the address of an entry host's readiness check."""
        return f'{self._ip(number)}:{_READY_PORT}'

    def directory_address(self, number: int) -> str:
        """Returns the address at which an entry host lists entry hosts."""
        return f'{self._ip(number)}:{_DIRECTORY_PORT}'

    def control_address(self, number: int) -> str:
        """Returns the additional address of an entry host for peers."""
        return f'{self._ip(number)}:{_CONTROL_PORT}'

    def peer_address(self, number: int) -> str:
        """Returns the address of an entry host for peers."""
        return f'{self._ip(number)}:{_PEER_PORT}'

    def agent_address(self, number: int) -> str:
        """Returns the address of an agent for peers."""
        return f'{self._agent_ip(number)}:{_PEER_PORT}'

    async def start_entry(self, number: int, *, store: str = 'store') -> None:
        """Starts or restarts an entry host.

        Args:
            number: the number of the host, from 1.
            store: the name of the store stand-in that the host uses.
        """
        name = f'entry-{number}'
        listen = (f'front = "{self._ip(number)}:{_CALLERS_PORT}"',
                  f'ready = "{self._ip(number)}:{_READY_PORT}"',
                  f'directory = "{self._ip(number)}:{_DIRECTORY_PORT}"',
                  f'control = "{self._ip(number)}:{_CONTROL_PORT}"')
        settings = self._settings(name, self._ip(number), listen, store)
        self.child_by_entry[name] = await self._start_host(
            'entry', name, settings)

    async def start_agent(self, number: int) -> None:
        """Starts an agent of a server, on an address of its own.

        Args:
            number: the number of the server, from 1.
        """
        name = f'agent-{number}'
        settings = self._settings(name, self._agent_ip(number), (), 'store')
        server = self.address(f'server-{number}')
        self.child_by_agent[name] = await self._start_host(
            'agent', name, f'app = "{server}"\nservice = "svc"\n{settings}')

    async def _start_host(self, role: str, name: str,
                          settings: str) -> aio_subprocess.Process:
        path = self.folder / f'{name}.toml'
        path.write_text(settings, 'utf-8')
        with (self.folder / f'{name}.out').open('ab') as log:
            return await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'pollenthread',
                'platform',
                role,
                stdout=log,
                stderr=log,
                env={
                    **os.environ, 'POLLENTHREAD_CONFIG': str(path)
                })

    def _settings(self, name: str, ip: str, listen: Sequence[str],
                  store: str) -> str:
        return '\n'.join((
            f'node_name = "{name}"',
            f'ip = "{ip}"',
            'zone = "dc-1"',
            f'internal_ports = [{_PEER_PORT}, {_PEER_PORT + 5}]',
            f'seeds = ["{self._ip(1)}:{_CONTROL_PORT}"]',
            'an_unknown_field = true',
            '[listen]',
            *listen,
            '[limits]',
            *(f'{key} = {value}' for key, value in self._limits.items()),
            '[bounds]',
            'budget_extra_tries = 94',
            '[platform]',
            f'address = "{self.address(store)}"',
        ))

    async def put_row(self, table: str, key: str, value: str | None) -> None:
        """Writes a row to all stores, as the operator or a server does.

        Args:
            table: the table of the row.
            key: the key of the row.
            value: the value; None removes the row.
        """
        body = json.dumps({'table': table, 'key': key, 'value': value})
        for name in ('store', 'store-2'):
            async with self.client.request(self.address(name),
                                           'POST',
                                           '/operator',
                                           body=body.encode()) as response:
                await response.read_all()

    async def put_config(self, config: dict[str, Any]) -> None:
        """Writes a configuration to all stores."""
        await self.put_row('op', 'config', json.dumps(config))

    async def put_server(self, number: int, **changes: Any) -> None:
        """Writes the entry of a server to all stores.

        Args:
            number: the number of the server, from 1.
            **changes: fields that differ from the default entry.
        """
        entry = {
            'service': 'svc',
            'address': self.address(f'server-{number}'),
            'zone': 'dc-1',
            'slots': 6,
            'state': 'ready',
            **changes
        }
        await self.put_row('servers', f'i-{number}', json.dumps(entry))

    async def fault(self, name: str, **faults: Any) -> None:
        """Replaces the faults of a stand-in; no arguments clear them."""
        await self.call(self.address(name), 'POST', '/fault',
                        json.dumps(faults).encode())

    async def call(
        self,
        address: str,
        method: str,
        target: str,
        body: bytes = b'',
        headers: Sequence[tuple[str, str]] = ()
    ) -> tuple[int, bytes]:
        """Sends a request; returns status 0 if the connection failed."""
        try:
            async with self.client.request(address,
                                           method,
                                           target,
                                           headers=headers,
                                           body=body) as response:
                return response.status, await response.read_all()
        except OSError:
            return 0, b''

    async def request(self,
                      number: int,
                      target: str,
                      *,
                      method: str = 'POST',
                      request_id: str = 'r-1',
                      key: str = KEY) -> tuple[int, bytes]:
        """Sends a request to an entry host as a caller.

        The request has a forged tenant header, which the host must replace.

        Args:
            number: the number of the entry host, from 1.
            target: the path and query.
            method: the HTTP method.
            request_id: the request ID.
            key: the caller's API key.

        Returns:
            The status, 0 if the connection failed, and the body.
        """
        headers = [('host', _HOST_NAME),
                   ('pollenthread-request-id', request_id),
                   ('pollenthread-deadline-ms', '8000'),
                   ('authorization', f'Bearer {key}'),
                   ('pollenthread-tenant', 'forged')]
        return await self.call(self.callers(number),
                               method,
                               target,
                               headers=headers)

    def raw_head(self,
                 target: str,
                 *headers: tuple[str, str],
                 method: str = 'POST',
                 request_id: str = 'r-1') -> bytes:
        """Returns the head of a valid request of a caller.

        Args:
            target: the path and query.
            *headers: further headers; without any, the body is empty.
            method: the HTTP method.
            request_id: the request ID.
        """
        all_headers = [('host', _HOST_NAME),
                       ('pollenthread-request-id', request_id),
                       ('pollenthread-deadline-ms', '8000'),
                       ('authorization', f'Bearer {KEY}'),
                       *(headers or [('content-length', '0')])]
        lines = [f'{method} {target} HTTP/1.1']
        lines += [f'{name}: {value}' for name, value in all_headers]
        return '\r\n'.join(lines).encode('ascii') + b'\r\n\r\n'

    async def is_ready(self, number: int) -> bool:
        """Returns whether an entry host reports that it is ready."""
        status, _ = await self.call(self.ready_address(number), 'GET',
                                    '/pollenthread/readyz')
        return status == 200

    async def metrics(self, number: int) -> tuple[int, bytes]:
        """Returns the status and body of an entry host's metrics page."""
        return await self.call(self.peer_address(number), 'GET', '/metrics')

    async def directory(self, number: int) -> list[str]:
        """Returns the addresses that an entry host resolves for callers."""
        status, body = await self.call(
            self.directory_address(number), 'GET',
            '/pollenthread/resolve?name=site.example&region=r&zone=dc-1')
        return json.loads(body)['addresses'] if status == 200 else []

    async def seen(self, number: int) -> dict[str, Any]:
        """Returns the requests that a server has received."""
        _, body = await self.call(self.address(f'server-{number}'), 'GET',
                                  '/seen')
        report: dict[str, Any] = json.loads(body)
        return report

    async def wait_ready(self) -> None:
        """Waits until all entry hosts are ready and resolve to each other."""
        async with asyncio.timeout(_STOP_TIMEOUT_S):
            for i in range(1, self._entries + 1):
                while not await self.is_ready(i):
                    await asyncio.sleep(0.05)
                while len(await self.directory(i)) < self._entries:
                    await asyncio.sleep(0.05)

    def logs(self, number: int) -> list[dict[str, Any]]:
        """Returns the entries of an entry host's structured log."""
        text = (self.folder / f'entry-{number}.out').read_text('utf-8')
        return [
            json.loads(line)
            for line in text.splitlines()
            if line.startswith('{')
        ]
