"""Measures the overhead of the entry host and the agent on streamed responses.

It compares requests sent directly to a fake engine with the same requests sent
through an entry host and an agent, alternating between both. Then it applies
the load that one entry host must sustain.
"""

import argparse
import asyncio
import dataclasses
import random
import socket
import sys
import time
from typing import Any

from bench import common, processes, stream_client
from tests.fakes import caller, system as system_module

__all__: list[str] = []

_REQUESTS_PER_S = 14.3
_TOKENS_PER_S = 4250.0
_TOKENS_PER_REQUEST = round(_TOKENS_PER_S / _REQUESTS_PER_S)
_ENGINES = 4
_TOKEN_S = 0.02
_PAIR_TOKENS = 20
_PAIR_TOKEN_S = 0.005
_SHORT_REQUESTS = 300
_IDLE_DURATION_S = 3.0
_SOCKET_WRITES = 20000
_SOCKET_WRITE_DATA = bytes(100)
_MAX_ENTRY_CORE_SHARE = 0.1
_MAX_FIRST_TOKEN_MS = 1800.0
_MAX_TOKEN_GAP_MS = 70.0


@dataclasses.dataclass(frozen=True)
class _Plan:
    """Extent of the measurements.

    Attributes:
        pairs: number of pairs of a direct and a forwarded request.
        load_s: duration of the load in seconds.
    """

    pairs: int
    load_s: float


_QUICK = _Plan(pairs=40, load_s=10.0)
_FULL = _Plan(pairs=200, load_s=40.0)


def _total_cpu_us(system_processes: list[system_module.Process]) -> float:
    """Returns the processor time of processes so far, in microseconds."""
    return sum(processes.cpu_us(process.pid) for process in system_processes)


def _document(tokens: int,
              nonce: int,
              has_time_stamps: bool = True) -> dict[str, Any]:
    return {
        **caller.chat_document(tokens), 'nonce': nonce,
        'stamp': has_time_stamps
    }


class _PathBenchmark:
    """The measurements of one run, with one system."""

    def __init__(self, *, system: system_module.System, plan: _Plan,
                 seed: int) -> None:
        self._system = system
        self._plan = plan
        self._random = random.Random(seed)
        self._entry = system.entry_addresses[0]
        self._engine = system.address('engine-1')

    async def measure_pairs(self) -> list[dict[str, Any]]:
        """Measures direct and forwarded requests in turn.

        Returns:
            The rows for the first token and for every token.
        """
        await self._set_token_s(_PAIR_TOKEN_S)
        first_token = {'direct': stream_client.create_histogram()}
        first_token['through'] = stream_client.create_histogram()
        token = {'direct': stream_client.create_histogram()}
        token['through'] = stream_client.create_histogram()
        for request_number in range(self._plan.pairs):
            request = stream_client.request_bytes(
                _document(_PAIR_TOKENS, request_number))
            for route, address in (('direct', self._engine), ('through',
                                                              self._entry)):
                stream = await stream_client.Stream.run(address, request,
                                                        token[route])
                assert stream.is_complete, route
                first_token[route].record_value(stream.first_event_us)
        return [
            _pair_row('first_token', first_token),
            _pair_row('per_token', token)
        ]

    async def _set_token_s(self, token_s: float) -> None:
        for process in self._system.named('engine-'):
            await self._system.fault(process.name, token_s=token_s)

    async def measure_short_requests(self) -> dict[str, float]:
        """Measures the processor time of a request with one token.

        Returns:
            Microseconds for each request, by role, without the processor time
            of an idle system.
        """
        await self._set_token_s(0)
        idle_by_role = await self._idle_us_per_s()
        before = self._cpu_us_by_role()
        started = time.monotonic()
        for request_number in range(_SHORT_REQUESTS):
            request = stream_client.request_bytes(
                _document(1, request_number, False))
            stream = await stream_client.Stream.run(self._entry, request)
            assert stream.is_complete
        elapsed_s = time.monotonic() - started
        return {
            role: (after - before[role] - idle_by_role[role] * elapsed_s) /
                  _SHORT_REQUESTS
            for role, after in self._cpu_us_by_role().items()
        }

    async def _idle_us_per_s(self) -> dict[str, float]:
        """Measures the processor time of an idle system, by role."""
        before = self._cpu_us_by_role()
        await asyncio.sleep(_IDLE_DURATION_S)
        return {
            role: (after - before[role]) / _IDLE_DURATION_S
            for role, after in self._cpu_us_by_role().items()
        }

    def _cpu_us_by_role(self) -> dict[str, float]:
        return {
            'entry': _total_cpu_us(self._system.named('entry-')),
            'agent': _total_cpu_us(self._system.named('agent-engine-'))
        }

    async def measure_load(self) -> dict[str, Any]:
        """Measures one entry host under the load that it must sustain.

        Returns:
            Counts, processor time by role and latency percentiles.
        """
        await self._set_token_s(_TOKEN_S)
        transit = stream_client.create_histogram()
        gaps = stream_client.create_histogram()
        tasks: list[asyncio.Task[stream_client.Stream]] = []
        before = self._cpu_us_by_role()
        started = time.monotonic()
        while time.monotonic() - started < self._plan.load_s:
            request = stream_client.request_bytes(
                _document(_TOKENS_PER_REQUEST, len(tasks)))
            tasks.append(
                asyncio.create_task(
                    stream_client.Stream.run(self._entry, request, transit,
                                             gaps)))
            await asyncio.sleep(self._random.expovariate(_REQUESTS_PER_S))
        streams = await asyncio.gather(*tasks)
        first_token = stream_client.create_histogram()
        for stream in streams:
            first_token.record_value(max(1, stream.first_event_us))
        used_by_role = {
            role: cpu_us - before[role]
            for role, cpu_us in self._cpu_us_by_role().items()
        }
        return {
            'requests': len(streams),
            'whole': sum(stream.is_complete for stream in streams),
            'tokens': len(streams) * _TOKENS_PER_REQUEST,
            'cpu_us': used_by_role,
            'first_token': stream_client.percentiles_ms(first_token),
            'transit': stream_client.percentiles_ms(transit),
            'between_tokens': stream_client.percentiles_ms(gaps)
        }


def _measure_socket_write_us() -> float:
    """Measures a socket write of the size of a token over loopback.

    Returns:
        Processor time of one write, in microseconds.
    """
    with socket.create_server(('127.0.0.1', 0)) as server:
        client = socket.create_connection(server.getsockname())
        server_side, _ = server.accept()
    used_ns = 0
    with client, server_side:
        for _ in range(_SOCKET_WRITES):
            started = time.thread_time_ns()
            client.send(_SOCKET_WRITE_DATA)
            used_ns += time.thread_time_ns() - started
            server_side.recv(len(_SOCKET_WRITE_DATA))
    return used_ns / _SOCKET_WRITES / 1000


def _pair_row(name: str, histogram_by_route: dict[str, Any]) -> dict[str, Any]:
    direct = stream_client.percentiles_ms(histogram_by_route['direct'])
    through = stream_client.percentiles_ms(histogram_by_route['through'])
    return {
        'name': name,
        'direct': direct,
        'through': through,
        'added': {
            key: round(through[key] - direct[key], 3) for key in direct
        }
    }


def _cost_rows(short_request_us: dict[str, float], load: dict[str, Any],
               socket_write_us: float) -> list[dict[str, Any]]:
    """Splits the processor time of each role into requests and tokens."""
    rows = []
    for role, total_us in load['cpu_us'].items():
        request_us = short_request_us[role]
        token_us = (total_us - request_us * load['requests']) / load['tokens']
        total_token_us = total_us / load['tokens']
        rows.append({
            'name':
                f'cost_{role}',
            'us_per_request':
                round(request_us, 1),
            'us_per_token':
                round(token_us, 2),
            'core_share_at_size':
                round(total_token_us * _TOKENS_PER_S / 1e6, 4),
            'bare_writes_per_token':
                round(token_us / socket_write_us, 2),
            'tokens_per_s_of_one_core':
                round(1e6 / total_token_us)
        })
    return [{'name': 'bare_write', 'us': round(socket_write_us, 2)}, *rows]


async def _run(plan: _Plan,
               seed: int) -> tuple[list[dict[str, Any]], list[common.Target]]:
    async with system_module.System(entries=1, engines=_ENGINES,
                                    services=1) as system:
        benchmark = _PathBenchmark(system=system, plan=plan, seed=seed)
        rows = await benchmark.measure_pairs()
        short_request_us = await benchmark.measure_short_requests()
        load = await benchmark.measure_load()
        socket_write_us = _measure_socket_write_us()
    costs = _cost_rows(short_request_us, load, socket_write_us)
    rows += costs
    rows.append({'name': 'load', **load})
    entry_share = costs[1]['core_share_at_size']
    first_ms = load['first_token']['p95_ms']
    gap_ms = load['between_tokens']['p95_ms']
    return rows, [
        common.Target('entry core share at 4,250 tokens/s',
                      _MAX_ENTRY_CORE_SHARE, entry_share, entry_share
                      <= _MAX_ENTRY_CORE_SHARE),
        common.Target('first token p95 ms', _MAX_FIRST_TOKEN_MS, first_ms,
                      first_ms <= _MAX_FIRST_TOKEN_MS),
        common.Target('between tokens p95 ms', _MAX_TOKEN_GAP_MS, gap_ms, gap_ms
                      <= _MAX_TOKEN_GAP_MS),
        common.Target('answers not whole', 0, load['requests'] - load['whole'],
                      load['requests'] == load['whole'])
    ]


def main() -> int:
    """Runs the measurement and prints the result.

    Returns:
        Exit status, always 0.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--quick', action='store_true')
    args = parser.parse_args()
    plan = _QUICK if args.quick else _FULL
    rows, targets = asyncio.run(_run(plan, args.seed))
    common.emit(args.seed, rows, targets)
    return 0


if __name__ == '__main__':
    sys.exit(main())
