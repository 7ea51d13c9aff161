"""Cost of the single parts that docs/CAPACITY.md multiplies.

    python -m bench.footprint --seed 1 [--quick]

Each row is the median of several rounds, with the spread over the rounds. The
row `reference_json_us` is the cost of a fixed piece of work, so that figures
from two machines can be compared.
"""

import argparse
import asyncio
import dataclasses
import functools
import gc
import json
import pathlib
import random
import statistics
import subprocess
import sys
import tempfile
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

from bench import common
from pollenthread.adapters import link as link_module, link_tls, wire
from pollenthread.app import account_rows, targets_document
from pollenthread.core import account, account_summary, messages
from pollenthread.ports import host_list, link as link_port
from tests.fakes import certificates

__all__: list[str] = []

_ROUNDS = 5
_TCP_HEADER_BYTES = 52
_FRAME_BYTES = 4


@dataclasses.dataclass(frozen=True)
class _Work:
    """How much is done in each round."""

    calls: int
    workspaces: int
    messages: int


def _row(name: str, unit: str, values: list[float]) -> dict[str, Any]:
    return {
        'name': name,
        'unit': unit,
        'value': statistics.median(values),
        'low': min(values),
        'high': max(values)
    }


def _cpu_us(call: Callable[[], object], count: int) -> float:
    started = time.process_time()
    for _ in range(count):
        call()
    return (time.process_time() - started) / count * 1e6


def _timed(name: str, call: Callable[[], object], count: int) -> dict[str, Any]:
    return _row(name, 'us', [_cpu_us(call, count) for _ in range(_ROUNDS)])


def _constant(name: str, unit: str, value: float) -> dict[str, Any]:
    return _row(name, unit, [value])


_PRINT_RESIDENT = """
import pathlib, pollenthread.roles.entry
print(pathlib.Path('/proc/self/status').read_text('ascii'))
"""


def _resident_mb() -> float:
    """Resident size of a process that has imported an entry host."""
    status = subprocess.run([sys.executable, '-c', _PRINT_RESIDENT],
                            capture_output=True,
                            text=True,
                            check=True).stdout
    for line in status.splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1]) / 1024
    raise RuntimeError('the resident size is not shown')


def _held_bytes(build: Callable[[], object]) -> float:
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    held = build()
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del held
    return after - before


def _begin() -> messages.Begin:
    return messages.Begin(attempt='entry-1-abcdef012345-123456.1',
                          session='abcdef012345:7',
                          workspace='workspace-17',
                          work_class='caption',
                          importance=1,
                          repeatable=True,
                          key='',
                          deadline_ms=120_000,
                          target_ms=1_800,
                          whole=False,
                          between_tokens_ms=70,
                          stream=True,
                          window=1024,
                          method='POST',
                          path='/v1/chat/completions',
                          headers=(('content-type', 'application/json'),),
                          body=b'x' * 1024)


def _there_and_back(message: messages.Message) -> object:
    return wire.decode(wire.encode(message))


def _message_rows(work: _Work) -> list[dict[str, Any]]:
    samples: dict[str, messages.Message] = {
        'ping':
            messages.Ping(17, 42),
        'load':
            messages.Load(12, (0, 3, 0), 16, 4_000_000, 400_000, 30_000, 2, 99),
        'begin':
            _begin(),
        'chunk':
            messages.Chunk('entry-1-abcdef012345-123456.1', 9, 1, b'd' * 160),
    }
    rows = []
    for name, message in samples.items():
        data = wire.encode(message)
        rows.append(_constant(f'{name}_bytes', 'B', len(data) + _FRAME_BYTES))
        rows.append(
            _timed(f'{name}_codec_us',
                   functools.partial(_there_and_back, message), work.calls))
    rows.append(_constant('packet_header_bytes', 'B', _TCP_HEADER_BYTES))
    return rows


class _Counting(link_port.LinkHandler):
    """Counts messages and answers each ping by the link itself."""

    def __init__(self) -> None:
        self.opened = asyncio.Event()
        self.link: link_port.Link | None = None
        self.arrived = asyncio.Event()

    def on_open(self, link: link_port.Link) -> None:
        self.link = link
        self.opened.set()

    def on_close(self, link: link_port.Link, reason: str) -> None:
        self.link = None

    def on_message(self, link: link_port.Link,
                   message: messages.Message) -> None:
        self.arrived.set()


def _hello(host: str) -> messages.Hello:
    return messages.Hello(host=host,
                          role='entry',
                          incarnation=host,
                          data_centre='dc-1',
                          region='region-1')


async def _link_us(count: int, tls_by_host: dict[str,
                                                 link_tls.LinkTls]) -> float:
    """CPU of both ends for one message that travels alone."""
    near, far = _Counting(), _Counting()
    server = link_module.LinkServer(hello=_hello('far'),
                                    handler=far,
                                    tls=tls_by_host.get('far'))
    dialers = link_module.DialerSet(hello=_hello('near'),
                                    handler=near,
                                    tls=tls_by_host.get('near'))
    async with server, dialers:
        await dialers.set_addresses({'far': server.address})
        async with asyncio.timeout(10):
            await near.opened.wait()
        assert near.link is not None
        started = time.process_time()
        for i in range(count):
            near.arrived.clear()
            near.link.send(messages.Ping(i, 1))
            await near.arrived.wait()
        return (time.process_time() - started) / (2 * count) * 1e6


def _link_rows(work: _Work) -> list[dict[str, Any]]:
    with tempfile.TemporaryDirectory() as folder:
        tls_by_host = _certificates(pathlib.Path(folder))
        plain, encrypted = [], []
        for _ in range(_ROUNDS):
            plain.append(asyncio.run(_link_us(work.messages, {})))
            encrypted.append(asyncio.run(_link_us(work.messages, tls_by_host)))
    ratios = [b / a for a, b in zip(plain, encrypted)]
    return [
        _row('link_message_us', 'us', plain),
        _row('link_message_tls_us', 'us', encrypted),
        _row('link_tls_ratio', '', ratios)
    ]


def _certificates(folder: pathlib.Path) -> dict[str, link_tls.LinkTls]:
    authority = certificates.CertificateAuthority(folder=folder,
                                                  name='authority')
    found = {}
    for host in ('near', 'far'):
        paths = authority.issue(host)
        found[host] = link_tls.LinkTls(files=link_tls.LinkTlsFiles(
            certificate=pathlib.Path(paths['certificate_file']),
            key=pathlib.Path(paths['key_file']),
            authority=pathlib.Path(paths['authority_file'])))
    return found


def _targets(workspaces: int, draw: random.Random) -> dict[str, Any]:
    classes = {
        f'class-{i}': {
            'latency': {
                'first_token_ms': draw.randint(500, 1800),
                'between_tokens_ms': 70
            },
            'retries': draw.randint(0, 3),
            'repeatable': True
        } for i in range(3)
    }
    return {
        'workspaces': {
            f'workspace-{i:04d}': {
                'models': [f'model-{i % 3}'],
                'services': ['orders'],
                'classes': classes
            } for i in range(workspaces)
        }
    }


def _targets_rows(work: _Work, draw: random.Random) -> list[dict[str, Any]]:
    document = _targets(work.workspaces, draw)
    text = json.dumps(document)

    def adopt() -> object:
        model = targets_document.parse_targets(json.loads(text))
        return model.to_targets(1)

    adopted = [_cpu_us(adopt, 1) / work.workspaces for _ in range(_ROUNDS)]
    return [
        _constant('workspace_document_bytes', 'B',
                  len(text) / work.workspaces),
        _row('workspace_adopt_us', 'us', adopted),
        _constant('workspace_held_bytes', 'B',
                  _held_bytes(adopt) / work.workspaces)
    ]


def _host(i: int) -> host_list.ListedHost:
    return host_list.ListedHost(name=f'agent-engine-{i}',
                                role='upstream',
                                link_address=f'10.0.{i % 250}.{i % 199}:9080',
                                caller_address='',
                                data_centre=f'dc-{i % 21}',
                                region=f'region-{i % 6}',
                                is_terminating=False)


def _state_rows(work: _Work) -> list[dict[str, Any]]:
    tally = account.RequestCounter()
    keys = [account.CountKey(f'workspace-{i}', 'caption') for i in range(1000)]

    def count() -> None:
        tally.accept(keys[17])
        tally.end(keys[17],
                  account.RequestOutcome.IN_TIME,
                  attempts=1,
                  repeat=False)

    hosts = _held_bytes(
        lambda: {host.name: host for host in map(_host, range(1000))})
    row = account_summary.AccountInterval(
        host='entry-1',
        incarnation='abcdef012345',
        first=17,
        last=17,
        began_s=1.7e9,
        ended_s=1.7e9 + 60,
        is_final=False,
        counts_by_key={
            key:
                account.RequestCounts(accepted=1,
                                      in_time=1,
                                      attempts=1,
                                      retries_allowed=2) for key in keys
        })
    encoded = [
        _cpu_us(lambda: account_rows.encode(row), 20) / len(keys)
        for _ in range(_ROUNDS)
    ]
    return [
        _timed('tally_request_us', count, work.calls),
        _row('account_key_encode_us', 'us', encoded),
        _constant('account_key_bytes', 'B',
                  len(account_rows.encode(row)) / len(keys)),
        _constant('listed_host_held_bytes', 'B', hosts / 1000)
    ]


def _reference_row(work: _Work) -> dict[str, Any]:
    document = _targets(1, random.Random(1))
    return _timed('reference_json_us', lambda: json.dumps(document), work.calls)


def main() -> None:
    """Runs the bench."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--quick', action='store_true')
    args = parser.parse_args()
    work = _Work(2000, 300, 500) if args.quick else _Work(20_000, 2400, 5000)
    rows = [_constant('imported_resident_mb', 'MB', _resident_mb())]
    rows.append(_reference_row(work))
    rows += _message_rows(work)
    rows += _link_rows(work)
    rows += _targets_rows(work, random.Random(args.seed))
    rows += _state_rows(work)
    for row in rows:
        print(f'{row["name"]:28} {row["value"]:12.2f} {row["unit"]:3} '
              f'({row["low"]:.2f} to {row["high"]:.2f})')
    common.emit(args.seed, rows, [])


if __name__ == '__main__':
    main()
