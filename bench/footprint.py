"""Measures the unit costs that the formulas of docs/CAPACITY.md use.

    python -m bench.footprint --seed 1 [--quick]

Each row has the median, minimum and maximum of several rounds. The row
`reference_json_us` is the cost of a fixed operation, by which results from
two machines can be compared.
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
class _Extent:
    """Extent of each round.

    Attributes:
        calls: number of calls of a timed function.
        workspaces: number of workspaces in the targets document.
        messages: number of messages sent over a link.
    """

    calls: int
    workspaces: int
    messages: int


def _measured_row(name: str, unit: str, values: list[float]) -> dict[str, Any]:
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


def _timed_row(name: str, call: Callable[[], object],
               count: int) -> dict[str, Any]:
    return _measured_row(name, 'us',
                         [_cpu_us(call, count) for _ in range(_ROUNDS)])


def _constant_row(name: str, unit: str, value: float) -> dict[str, Any]:
    return _measured_row(name, unit, [value])


_PRINT_STATUS_SCRIPT = """
import pathlib, pollenthread.roles.entry
print(pathlib.Path('/proc/self/status').read_text('ascii'))
"""


def _imported_resident_mb() -> float:
    """Measures the memory of a process that has imported an entry host."""
    status = subprocess.run([sys.executable, '-c', _PRINT_STATUS_SCRIPT],
                            capture_output=True,
                            text=True,
                            check=True).stdout
    for line in status.splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1]) / 1024
    raise RuntimeError('/proc/self/status has no VmRSS line')


def _allocated_bytes(create: Callable[[], object]) -> float:
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    allocated = create()
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del allocated
    return after - before


def _begin_message() -> messages.Begin:
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


def _encode_and_decode(message: messages.Message) -> object:
    return wire.decode(wire.encode(message))


def _message_rows(extent: _Extent) -> list[dict[str, Any]]:
    samples: dict[str, messages.Message] = {
        'ping':
            messages.Ping(17, 42),
        'load':
            messages.Load(12, (0, 3, 0), 16, 4_000_000, 400_000, 30_000, 2, 99),
        'begin':
            _begin_message(),
        'chunk':
            messages.Chunk('entry-1-abcdef012345-123456.1', 9, 1, b'd' * 160),
    }
    rows = []
    for name, message in samples.items():
        data = wire.encode(message)
        rows.append(
            _constant_row(f'{name}_bytes', 'B',
                          len(data) + _FRAME_BYTES))
        rows.append(
            _timed_row(f'{name}_codec_us',
                       functools.partial(_encode_and_decode, message),
                       extent.calls))
    rows.append(_constant_row('packet_header_bytes', 'B', _TCP_HEADER_BYTES))
    return rows


class _ArrivalHandler(link_port.LinkHandler):
    """Sets events when the link opens and when a message arrives."""

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


async def _link_message_us(count: int,
                           tls_by_host: dict[str, link_tls.LinkTls]) -> float:
    """Measures messages that are sent one at a time over a link.

    The link itself replies to each ping.

    Args:
        count: number of messages.
        tls_by_host: TLS settings of both ends, or empty without TLS.

    Returns:
        Processor time of both ends for a message, in microseconds. A message
        is a ping or its reply.
    """
    near, far = _ArrivalHandler(), _ArrivalHandler()
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


def _link_rows(extent: _Extent) -> list[dict[str, Any]]:
    with tempfile.TemporaryDirectory() as folder:
        tls_by_host = _create_tls_settings(pathlib.Path(folder))
        plain_us, encrypted_us = [], []
        for _ in range(_ROUNDS):
            plain_us.append(asyncio.run(_link_message_us(extent.messages, {})))
            encrypted_us.append(
                asyncio.run(_link_message_us(extent.messages, tls_by_host)))
    ratios = [b / a for a, b in zip(plain_us, encrypted_us)]
    return [
        _measured_row('link_message_us', 'us', plain_us),
        _measured_row('link_message_tls_us', 'us', encrypted_us),
        _measured_row('link_tls_ratio', '', ratios)
    ]


def _create_tls_settings(folder: pathlib.Path) -> dict[str, link_tls.LinkTls]:
    authority = certificates.CertificateAuthority(folder=folder,
                                                  name='authority')
    tls_by_host = {}
    for host in ('near', 'far'):
        paths = authority.issue(host)
        tls_by_host[host] = link_tls.LinkTls(files=link_tls.LinkTlsFiles(
            certificate=pathlib.Path(paths['certificate_file']),
            key=pathlib.Path(paths['key_file']),
            authority=pathlib.Path(paths['authority_file'])))
    return tls_by_host


def _targets_document(workspaces: int, rng: random.Random) -> dict[str, Any]:
    classes = {
        f'class-{i}': {
            'latency': {
                'first_token_ms': rng.randint(500, 1800),
                'between_tokens_ms': 70
            },
            'retries': rng.randint(0, 3),
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


def _targets_rows(extent: _Extent, rng: random.Random) -> list[dict[str, Any]]:
    document = _targets_document(extent.workspaces, rng)
    text = json.dumps(document)

    def parse() -> object:
        model = targets_document.parse_targets(json.loads(text))
        return model.to_targets(1)

    parse_us = [_cpu_us(parse, 1) / extent.workspaces for _ in range(_ROUNDS)]
    return [
        _constant_row('workspace_document_bytes', 'B',
                      len(text) / extent.workspaces),
        _measured_row('workspace_adopt_us', 'us', parse_us),
        _constant_row('workspace_held_bytes', 'B',
                      _allocated_bytes(parse) / extent.workspaces)
    ]


def _listed_host(i: int) -> host_list.ListedHost:
    return host_list.ListedHost(name=f'agent-engine-{i}',
                                role='upstream',
                                link_address=f'10.0.{i % 250}.{i % 199}:9080',
                                caller_address='',
                                data_centre=f'dc-{i % 21}',
                                region=f'region-{i % 6}',
                                is_terminating=False)


def _state_rows(extent: _Extent) -> list[dict[str, Any]]:
    counter = account.RequestCounter()
    keys = [account.CountKey(f'workspace-{i}', 'caption') for i in range(1000)]

    def count() -> None:
        counter.accept(keys[17])
        counter.end(keys[17],
                    account.RequestOutcome.IN_TIME,
                    attempts=1,
                    repeat=False)

    hosts_bytes = _allocated_bytes(
        lambda: {host.name: host for host in map(_listed_host, range(1000))})
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
    encode_us = [
        _cpu_us(lambda: account_rows.encode(row), 20) / len(keys)
        for _ in range(_ROUNDS)
    ]
    return [
        _timed_row('tally_request_us', count, extent.calls),
        _measured_row('account_key_encode_us', 'us', encode_us),
        _constant_row('account_key_bytes', 'B',
                      len(account_rows.encode(row)) / len(keys)),
        _constant_row('listed_host_held_bytes', 'B', hosts_bytes / 1000)
    ]


def _reference_row(extent: _Extent) -> dict[str, Any]:
    document = _targets_document(1, random.Random(1))
    return _timed_row('reference_json_us', lambda: json.dumps(document),
                      extent.calls)


def main() -> None:
    """Runs the measurement and prints the result."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--quick', action='store_true')
    args = parser.parse_args()
    extent = _Extent(2000, 300, 500) if args.quick else _Extent(
        20_000, 2400, 5000)
    rows = [
        _constant_row('imported_resident_mb', 'MB', _imported_resident_mb())
    ]
    rows.append(_reference_row(extent))
    rows += _message_rows(extent)
    rows += _link_rows(extent)
    rows += _targets_rows(extent, random.Random(args.seed))
    rows += _state_rows(extent)
    for row in rows:
        print(f'{row["name"]:28} {row["value"]:12.2f} {row["unit"]:3} '
              f'({row["low"]:.2f} to {row["high"]:.2f})')
    common.emit(args.seed, rows, [])


if __name__ == '__main__':
    main()
