"""Starts a whole system on loopback: stand-ins, entry hosts and agents.

Run as a program it prints one JSON object with every address, and stays up
until SIGTERM.
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
_SECOND_SIGNAL_S = 0.1
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
    """One child process that announces itself with a line of JSON."""

    def __init__(self, *, name: str, child: aio_subprocess.Process,
                 ready: dict[str, Any]) -> None:
        self.name = name
        self.child = child
        self.ready = ready

    @property
    def pid(self) -> int:
        """The process's id."""
        return self.child.pid

    @property
    def is_running(self) -> bool:
        """Whether it has not exited."""
        return self.child.returncode is None

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal if the process still runs."""
        if self.is_running:
            self.child.send_signal(number)

    async def kill(self) -> None:
        """Kills the process and waits for its end."""
        self.signal(signal.SIGKILL)
        await self.child.wait()

    async def read_line(self) -> dict[str, Any]:
        """Reads the next line that the process announces."""
        assert self.child.stdout is not None
        line = await self.child.stdout.readline()
        document: dict[str, Any] = json.loads(line)
        return document

    @classmethod
    async def start(cls, name: str, args: Sequence[str],
                    log_path: pathlib.Path) -> Self:
        """Starts a Python module and waits until it is ready.

        Raises:
            RuntimeError: it ended or was not ready in time.
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
    """Owns the processes of one system."""

    def __init__(
            self,
            *,
            entries: int = 2,
            engines: int = 4,
            services: int = 1,
            targets: Mapping[str, Any] | None = None,
            security: Callable[[str], dict[str, str]] | None = None) -> None:
        self._counts = {
            'entry': entries,
            'engine': engines,
            'service': services
        }
        self._targets = dict(targets or TARGETS)
        self._security = security
        self._stack = contextlib.AsyncExitStack()
        self.by_name: dict[str, Process] = {}
        self.client = http_client.HttpClient()
        self.order_keys = [{
            'id': f'key-{i}',
            'secret': f'order-secret-number-{i}'
        } for i in (1, 2)]
        self.folder: pathlib.Path

    async def __aenter__(self) -> Self:
        folder = self._stack.enter_context(
            tempfile.TemporaryDirectory(prefix='pollenthread-'))
        self.folder = pathlib.Path(folder)
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
        for process in self.by_name.values():
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGTERM)
        await asyncio.sleep(_SECOND_SIGNAL_S)
        for process in self.by_name.values():
            process.signal(signal.SIGTERM)
        for process in self.by_name.values():
            try:
                async with asyncio.timeout(_STOP_TIMEOUT_S):
                    await process.child.wait()
            except TimeoutError:
                await process.kill()
        await self._stack.aclose()

    def named(self, prefix: str) -> list[Process]:
        """Processes whose names begin with a prefix, in order of number."""
        names = [name for name in self.by_name if name.startswith(prefix)]
        names.sort(key=lambda name: (len(name), name))
        return [self.by_name[name] for name in names]

    @property
    def entry_addresses(self) -> list[str]:
        """Where callers reach the entry hosts."""
        return [process.ready['callers'] for process in self.named('entry-')]

    @property
    def table(self) -> table_http.HttpTable:
        """A client of the table."""
        return table_http.HttpTable(client=self.client,
                                    address=self.address('table'))

    def address(self, name: str) -> str:
        """The address of a stand-in."""
        address: str = self.by_name[name].ready['address']
        return address

    def describe(self) -> dict[str, Any]:
        """Every address, for people and programs that try the system."""
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
        """Calls a stand-in or an administration port; returns its JSON."""
        body = b'' if document is None else json.dumps(document).encode()
        async with self.client.request(address,
                                       method,
                                       target,
                                       headers=[('authorization',
                                                 f'Bearer {key}')],
                                       body=body) as exchange:
            data = await exchange.read_all()
        return json.loads(data) if data else None

    async def fault(self, name: str, **faults: Any) -> None:
        """Orders faults from a stand-in; none ends them."""
        await self.call(self.address(name), 'POST', '/fault', faults)

    async def _start_all(self) -> None:
        for name in ('table', 'object_store', 'host_list'):
            await self._start_fake(name, f'tests.fakes.{name}')
        store = config_store.ConfigStore(table_service=self.table,
                                         time=clock.SystemClock())
        published = await store.publish(self._targets, author='system', base=0)
        published.expect('the table takes the targets')
        starts: list[Awaitable[object]] = []
        for kind in ('engine', 'service'):
            for i in range(1, self._counts[kind] + 1):
                starts.append(self._start_upstream(kind, i))
        for i in range(1, self._counts['entry'] + 1):
            starts.append(self.start_entry(i))
        await asyncio.gather(*starts)
        await self.wait_until_linked()

    async def _start_fake(self, name: str, module: str) -> None:
        self.by_name[name] = await Process.start(name, [module],
                                                 self._log(name))

    async def _start_upstream(self, kind: str, number: int) -> None:
        await self._start_fake(f'{kind}-{number}', f'tests.fakes.{kind}')
        await self.start_agent(kind, number)

    async def start_agent(self, kind: str, number: int) -> Process:
        """Starts, or starts again, the agent of an upstream."""
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
        """Starts, or starts again, an entry host."""
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
        """Puts a host on the host list."""
        place = _DATA_CENTRES[number % len(_DATA_CENTRES)]
        await self.call(self.address('host_list'), 'PUT', f'/hosts/{host}', {
            'data_centre': place,
            'region': _REGION,
            'state': 'live',
            **fields
        })

    async def set_terminating(self, host: str) -> None:
        """Lists a host as leaving."""
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
        if self._security is not None:
            settings['link_security'] = self._security(host)
        path = self.folder / f'{host}.yaml'
        path.write_text(yaml.safe_dump(settings), 'utf-8')
        process = await Process.start(
            host, ['pollenthread', role, str(path)], self._log(host))
        self.by_name[host] = process
        return process

    def _log(self, name: str) -> pathlib.Path:
        return self.folder / f'{name}.log'

    def log_text(self, name: str) -> str:
        """What a process has logged."""
        return self._log(name).read_text('utf-8')

    async def wait_until_linked(self) -> None:
        """Waits until every entry host has targets and all its upstreams."""
        wanted = self._counts['engine'] + self._counts['service']
        async with asyncio.timeout(_READY_TIMEOUT_S):
            for process in self.named('entry-'):
                while True:
                    status = await self.call(process.ready['admin'], 'GET',
                                             '/status')
                    if (len(status['upstreams']) >= wanted and
                            status['targets_version']):
                        break
                    await asyncio.sleep(0.05)


async def _serve(args: argparse.Namespace) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
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
