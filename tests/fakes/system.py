"""Starts a complete system on loopback: stand-ins, entry hosts and agents.

As a program, it prints one JSON object with all addresses and runs until
SIGTERM.
"""

import argparse
import asyncio
import asyncio.subprocess as aio_subprocess

import contextlib
import json
import pathlib
import signal
import sys
import tempfile
import types
from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import Any, Self

import yaml

from pollenthread.adapters import clock, http_client, table_http
from pollenthread.app import config_store
from pollenthread.core import operators

__all__ = [
    'MODEL', 'ON_CALL_KEY', 'OTHER_KEY', 'Process', 'READER_KEY', 'SERVICE',
    'System', 'TARGETS', 'WORKSPACE_KEY'
]

MODEL = 'assistant-small'
SERVICE = 'orders'
_LOOPBACK = '127.0.0.1:0'
_READY_TIMEOUT_S = 30.0
_STOP_TIMEOUT_S = 20.0
_SECOND_SIGNAL_DELAY_S = 0.1  # the second SIGTERM stops a process at once
_DATA_CENTRES = ('dc-1', 'dc-2', 'dc-3')
_REGION = 'region-1'

ON_CALL_KEY = 'key-of-the-operator-on-call'
WORKSPACE_KEY = 'key-of-the-operator-of-buna'
OTHER_KEY = 'key-of-the-operator-of-another-workspace'
READER_KEY = 'key-of-the-accounts-department'

OPERATORS: list[dict[str, Any]] = [{
    'name': name,
    'key_sha256': operators.key_digest(key),
    'workspaces': workspaces,
    'may': may
} for name, key, workspaces, may in (
    ('on-call', ON_CALL_KEY, '*', 'change'),
    ('buna-operator', WORKSPACE_KEY, ['buna'], 'change'),
    ('other-operator', OTHER_KEY, ['other'], 'change'),
    ('accounts', READER_KEY, '*', 'read'),
)]

TARGETS: dict[str, Any] = {
    'workspaces': {
        'buna': {
            'models': [MODEL],
            'services': [SERVICE],
            'classes': {
                'caption': {
                    'latency': {
                        'first_token_ms': 1800,
                        'between_tokens_ms': 70
                    },
                    'retries': 2,
                    'repeatable': True
                },
                'payment-confirmation': {
                    'latency': {
                        'answer_ms': 2000
                    },
                    'retries': 2,
                    'repeatable': False,
                    'importance': 'high'
                },
                'status-check': {
                    'latency': {
                        'answer_ms': 1000
                    },
                    'retries': 2,
                    'repeatable': True
                }
            }
        }
    }
}


class Process:
    """A child process that reports its readiness with a line of JSON.

    Attributes:
        name: the name of the process within the system.
        child: the operating system process.
        ready: the JSON object that the process printed when it was ready.
    """

    def __init__(self, *, name: str, child: aio_subprocess.Process,
                 ready: dict[str, Any]) -> None:
        self.name = name
        self.child = child
        self.ready = ready

    @property
    def pid(self) -> int:
        """The process ID."""
        return self.child.pid

    @property
    def is_running(self) -> bool:
        """Whether the process has not exited."""
        return self.child.returncode is None

    def signal(self, signal_number: signal.Signals) -> None:
        """Sends a signal if the process is still running."""
        if self.is_running:
            self.child.send_signal(signal_number)

    async def kill(self) -> None:
        """Kills the process and waits until it has exited."""
        self.signal(signal.SIGKILL)
        await self.child.wait()

    async def read_line(self) -> dict[str, Any]:
        """Reads the next line of JSON from the standard output."""
        assert self.child.stdout is not None
        line = await self.child.stdout.readline()
        document: dict[str, Any] = json.loads(line)
        return document

    @classmethod
    async def start(cls, name: str, args: Sequence[str],
                    log_path: pathlib.Path) -> Self:
        """Starts a Python module and waits until it is ready.

        Args:
            name: the name of the process, for messages.
            args: the module and its arguments.
            log_path: the file to which standard error is appended.

        Returns:
            The running process.

        Raises:
            RuntimeError: the process exited or was not ready in time.
        """
        with log_path.open('ab') as log:
            child = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                *args,
                stdout=aio_subprocess.PIPE,
                stderr=log)
        assert child.stdout is not None
        try:
            async with asyncio.timeout(_READY_TIMEOUT_S):
                line = await child.stdout.readline()
        except TimeoutError:
            child.kill()
            line = b''
        if not line:
            await child.wait()
            raise RuntimeError(f'{name} did not start:\n'
                               f'{log_path.read_text("utf-8")[-2000:]}')
        return cls(name=name, child=child, ready=json.loads(line))


class System:
    """Starts and stops the processes of one system.

    Attributes:
        by_name: the running processes by name.
        client: an HTTP client for calls to the processes.
        order_keys: the keys that sign orders, as in the settings.
        folder: the directory of the settings and log files.
    """

    def __init__(
            self,
            *,
            entries: int = 2,
            engines: int = 4,
            services: int = 1,
            targets: Mapping[str, Any] | None = None,
            security: Callable[[str], dict[str, str]] | None = None) -> None:
        """Initializes the system without starting it.

        Args:
            entries: the number of entry hosts.
            engines: the number of engines, each with an agent.
            services: the number of services, each with an agent.
            targets: the targets document to publish; TARGETS by default.
            security: returns the `link_security` settings of a host; links
                are not secured by default.
        """
        self._count_by_kind = {
            'entry': entries,
            'engine': engines,
            'service': services
        }
        self._targets = dict(targets or TARGETS)
        self._make_link_security = security
        self._exit_stack = contextlib.AsyncExitStack()
        self.by_name: dict[str, Process] = {}
        self.client = http_client.HttpClient()
        self.order_keys = [{
            'id': f'key-{i}',
            'secret': f'order-secret-number-{i}'
        } for i in (1, 2)]
        self.folder: pathlib.Path

    async def __aenter__(self) -> Self:
        folder = self._exit_stack.enter_context(
            tempfile.TemporaryDirectory(prefix='pollenthread-'))
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
        for process in self.by_name.values():
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGTERM)
        await asyncio.sleep(_SECOND_SIGNAL_DELAY_S)
        for process in self.by_name.values():
            process.signal(signal.SIGTERM)
        for process in self.by_name.values():
            try:
                async with asyncio.timeout(_STOP_TIMEOUT_S):
                    await process.child.wait()
            except TimeoutError:
                await process.kill()
        await self._exit_stack.aclose()

    def named(self, prefix: str) -> list[Process]:
        """Returns the processes with a name prefix, ordered by number."""
        names = [name for name in self.by_name if name.startswith(prefix)]
        names.sort(key=lambda name: (len(name), name))
        return [self.by_name[name] for name in names]

    @property
    def entry_addresses(self) -> list[str]:
        """The addresses of the entry hosts for callers."""
        return [process.ready['callers'] for process in self.named('entry-')]

    @property
    def table(self) -> table_http.HttpTable:
        """A client of the table stand-in."""
        return table_http.HttpTable(client=self.client,
                                    address=self.address('table'))

    def address(self, name: str) -> str:
        """Returns the address of a stand-in."""
        address: str = self.by_name[name].ready['address']
        return address

    def describe(self) -> dict[str, Any]:
        """Returns the addresses and process IDs of all processes."""
        admin = {p.name: p.ready['admin'] for p in self.named('entry-')}
        return {
            'entries': self.entry_addresses,
            'administration': next(iter(admin.values())),
            'administration_by_entry': admin,
            'stand_ins': {
                name: {
                    'address': process.ready['address'],
                    'pid': process.pid
                }
                for name, process in self.by_name.items()
                if 'address' in process.ready
            },
            'agents': {
                process.name: {
                    'admin': process.ready['admin'],
                    'pid': process.pid
                } for process in self.named('agent-')
            },
            'pids': {
                name: p.pid for name, p in self.by_name.items()
            }
        }

    async def call(self,
                   address: str,
                   method: str,
                   target: str,
                   document: Any = None,
                   key: str = ON_CALL_KEY) -> Any:
        """Sends a request to a stand-in or an admin port.

        Args:
            address: the `ip:port` of the server.
            method: the HTTP method.
            target: the path and query.
            document: the JSON body; None sends no body.
            key: the operator's bearer token.

        Returns:
            The decoded JSON of the response, or None if it has no body.
        """
        body = b'' if document is None else json.dumps(document).encode()
        async with self.client.request(address,
                                       method,
                                       target,
                                       headers=[('authorization',
                                                 f'Bearer {key}')],
                                       body=body) as response:
            data = await response.read_all()
        return json.loads(data) if data else None

    async def fault(self, name: str, **faults: Any) -> None:
        """Replaces the faults of a stand-in; no arguments clear them."""
        await self.call(self.address(name), 'POST', '/fault', faults)

    async def _start_all(self) -> None:
        for name in ('table', 'object_store', 'host_list'):
            await self._start_stand_in(name, f'tests.fakes.{name}')
        store = config_store.ConfigStore(table_service=self.table,
                                         time=clock.SystemClock())
        published = await store.publish(self._targets, author='system', base=0)
        published.expect('cannot store the targets')
        start_calls: list[Awaitable[object]] = []
        for kind in ('engine', 'service'):
            for i in range(1, self._count_by_kind[kind] + 1):
                start_calls.append(self._start_upstream(kind, i))
        for i in range(1, self._count_by_kind['entry'] + 1):
            start_calls.append(self.start_entry(i))
        await asyncio.gather(*start_calls)
        await self.wait_until_linked()

    async def _start_stand_in(self, name: str, module: str) -> None:
        self.by_name[name] = await Process.start(name, [module],
                                                 self._log_path(name))

    async def _start_upstream(self, kind: str, number: int) -> None:
        await self._start_stand_in(f'{kind}-{number}', f'tests.fakes.{kind}')
        await self.start_agent(kind, number)

    async def start_agent(self, kind: str, number: int) -> Process:
        """Starts or restarts the agent of an upstream and lists its host."""
        host = f'agent-{kind}-{number}'
        upstream: dict[str, Any] = {
            'kind': kind,
            'name': SERVICE if kind == 'service' else f'group-{number}',
            'address': self.address(f'{kind}-{number}')
        }
        if kind == 'engine':
            upstream['models'] = [MODEL]
        settings = self._settings('agent', host, number)
        settings['upstream'] = upstream
        process = await self._start_role('agent', host, settings)
        await self.list_host(
            host, {
                'role': 'upstream',
                'address': process.ready['links'],
                'serves': SERVICE if kind == 'service' else MODEL
            }, number)
        return process

    async def start_entry(self, number: int) -> Process:
        """Starts or restarts an entry host and lists it."""
        host = f'entry-{number}'
        settings = self._settings('entry', host, number)
        settings['callers'] = _LOOPBACK
        settings['account_interval_s'] = 1
        settings['operators'] = OPERATORS
        process = await self._start_role('entry', host, settings)
        await self.list_host(
            host, {
                'role': 'entry',
                'address': process.ready.get('links', ''),
                'callers': process.ready['callers'],
                'admin': process.ready['admin']
            }, number)
        return process

    async def list_host(self, host: str, fields: dict[str, Any],
                        number: int) -> None:
        """Adds a host to the host list or updates its entry.

        Args:
            host: the name of the host.
            fields: the fields of the entry besides location and state.
            number: the number of the host, which selects its data centre.
        """
        data_centre = _DATA_CENTRES[number % len(_DATA_CENTRES)]
        await self.call(
            self.address('host_list'), 'PUT', f'/hosts/{host}', {
                'data_centre': data_centre,
                'region': _REGION,
                'state': 'live',
                **fields
            })

    async def set_terminating(self, host: str) -> None:
        """Lists a host as being removed by the platform."""
        await self.call(self.address('host_list'), 'PUT', f'/hosts/{host}',
                        {'state': 'leaving'})

    def _settings(self, role: str, host: str, number: int) -> dict[str, Any]:
        return {
            'role': role,
            'host': host,
            'data_centre': _DATA_CENTRES[number % len(_DATA_CENTRES)],
            'region': _REGION,
            'links': _LOOPBACK,
            'admin': _LOOPBACK,
            'order_keys': self.order_keys,
            'platform': {
                'table': self.address('table'),
                'object_store': self.address('object_store'),
                'host_list': self.address('host_list')
            }
        }

    async def _start_role(self, role: str, host: str,
                          settings: dict[str, Any]) -> Process:
        if self._make_link_security is not None:
            settings['link_security'] = self._make_link_security(host)
        path = self.folder / f'{host}.yaml'
        path.write_text(yaml.safe_dump(settings), 'utf-8')
        process = await Process.start(
            host, ['pollenthread', role, str(path)], self._log_path(host))
        self.by_name[host] = process
        return process

    def _log_path(self, name: str) -> pathlib.Path:
        return self.folder / f'{name}.log'

    def log_text(self, name: str) -> str:
        """Returns the log of a process."""
        return self._log_path(name).read_text('utf-8')

    async def wait_until_linked(self) -> None:
        """Waits until all entry hosts have targets and all upstreams."""
        expected_upstreams = self._count_by_kind[
            'engine'] + self._count_by_kind['service']
        async with asyncio.timeout(_READY_TIMEOUT_S):
            for process in self.named('entry-'):
                while True:
                    status = await self.call(process.ready['admin'], 'GET',
                                             '/status')
                    if (len(status['upstreams']) >= expected_upstreams and
                            status['targets_version']):
                        break
                    await asyncio.sleep(0.05)


async def _serve(args: argparse.Namespace) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    async with System(entries=args.entries,
                      engines=args.engines,
                      services=args.services) as system:
        print(json.dumps(system.describe()), flush=True)
        await stop.wait()


def _main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--entries', type=int, default=2)
    parser.add_argument('--engines', type=int, default=4)
    parser.add_argument('--services', type=int, default=1)
    asyncio.run(_serve(parser.parse_args()))


if __name__ == '__main__':
    _main()
