"""What the path through entry host and agent costs a streamed answer.

A direct call to the stand-in engine is compared with the same call through
entry host and agent, in turn and in one run; then one entry host is given the
load that a node has to carry.
"""

import argparse
import asyncio
import dataclasses
import random
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
_IDLE_S = 3.0
_ENTRY_SHARE_BOUND = 0.1
_FIRST_TOKEN_BOUND_MS = 1800.0
_GAP_BOUND_MS = 70.0


@dataclasses.dataclass(frozen=True)
class _Plan:
    """How long each part lasts."""

    pairs: int
    load_s: float


_QUICK = _Plan(pairs=40, load_s=10.0)
_FULL = _Plan(pairs=200, load_s=40.0)


def _cpu_us(found: list[system_module.Process]) -> float:
    """Processor time of processes so far, in microseconds."""
    return sum(processes.cpu_us(process.pid) for process in found)


def _document(tokens: int, nonce: int, stamped: bool = True) -> dict[str, Any]:
    return {**caller.chat_document(tokens), 'nonce': nonce, 'stamp': stamped}


class _Bench:
    """One run against one system."""

    def __init__(self, *, system: system_module.System, plan: _Plan,
                 seed: int) -> None:
        self._system = system
        self._plan = plan
        self._random = random.Random(seed)
        self._entry = system.entry_addresses[0]
        self._engine = system.address('engine-1')

    async def pairs(self) -> list[dict[str, Any]]:
        """Direct calls and calls through the system, in turn."""
        await self._set_token_s(_PAIR_TOKEN_S)
        first = {'direct': stream_client.latencies()}
        first['through'] = stream_client.latencies()
        token = {'direct': stream_client.latencies()}
        token['through'] = stream_client.latencies()
        for number in range(self._plan.pairs):
            request = stream_client.request_bytes(
                _document(_PAIR_TOKENS, number))
            for way, address in (('direct', self._engine), ('through',
                                                            self._entry)):
                stream = await stream_client.Stream.run(address, request,
                                                        token[way])
                assert stream.whole, way
                first[way].record_value(stream.first_us)
        return [_pair_row('first_token', first), _pair_row('per_token', token)]

    async def _set_token_s(self, token_s: float) -> None:
        for process in self._system.named('engine-'):
            await self._system.fault(process.name, token_s=token_s)

    async def short_requests(self) -> dict[str, float]:
        """Processor time of a request with a single token, by role.

        What the roles use without requests is taken off.
        """
        await self._set_token_s(0)
        idle_by_role = await self._idle_us_per_s()
        before = self._cpu()
        started = time.monotonic()
        for number in range(_SHORT_REQUESTS):
            request = stream_client.request_bytes(_document(1, number, False))
            stream = await stream_client.Stream.run(self._entry, request)
            assert stream.whole
        elapsed_s = time.monotonic() - started
        return {
            role: (after - before[role] - idle_by_role[role] * elapsed_s) /
                  _SHORT_REQUESTS for role, after in self._cpu().items()
        }

    async def _idle_us_per_s(self) -> dict[str, float]:
        """Processor time that the roles use without requests."""
        before = self._cpu()
        await asyncio.sleep(_IDLE_S)
        return {
            role: (after - before[role]) / _IDLE_S
            for role, after in self._cpu().items()
        }

    def _cpu(self) -> dict[str, float]:
        return {
            'entry': _cpu_us(self._system.named('entry-')),
            'agent': _cpu_us(self._system.named('agent-engine-'))
        }

    async def load(self) -> dict[str, Any]:
        """One entry host under the load that a node has to carry."""
        await self._set_token_s(_TOKEN_S)
        transit = stream_client.latencies()
        gaps = stream_client.latencies()
        tasks: list[asyncio.Task[stream_client.Stream]] = []
        before = self._cpu()
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
        first = stream_client.latencies()
        for stream in streams:
            first.record_value(max(1, stream.first_us))
        used = {role: at - before[role] for role, at in self._cpu().items()}
        return {
            'requests': len(streams),
            'whole': sum(stream.whole for stream in streams),
            'tokens': len(streams) * _TOKENS_PER_REQUEST,
            'cpu_us': used,
            'first_token': stream_client.milliseconds(first),
            'transit': stream_client.milliseconds(transit),
            'between_tokens': stream_client.milliseconds(gaps)
        }


def _pair_row(name: str, by_way: dict[str, Any]) -> dict[str, Any]:
    direct = stream_client.milliseconds(by_way['direct'])
    through = stream_client.milliseconds(by_way['through'])
    return {
        'name': name,
        'direct': direct,
        'through': through,
        'added': {
            key: round(through[key] - direct[key], 3) for key in direct
        }
    }


def _cost_rows(short: dict[str, float],
               load: dict[str, Any]) -> list[dict[str, Any]]:
    """Processor time by role, split into what requests and tokens cost."""
    rows = []
    for role, total_us in load['cpu_us'].items():
        request_us = short[role]
        token_us = (total_us - request_us * load['requests']) / load['tokens']
        whole_us = total_us / load['tokens']
        rows.append({
            'name': f'cost_{role}',
            'us_per_request': round(request_us, 1),
            'us_per_token': round(token_us, 2),
            'core_share_at_size': round(whole_us * _TOKENS_PER_S / 1e6, 4),
            'tokens_per_s_of_one_core': round(1e6 / whole_us)
        })
    return rows


async def _run(plan: _Plan,
               seed: int) -> tuple[list[dict[str, Any]], list[common.Target]]:
    async with system_module.System(entries=1, engines=_ENGINES,
                                    services=1) as system:
        bench = _Bench(system=system, plan=plan, seed=seed)
        rows = await bench.pairs()
        short = await bench.short_requests()
        load = await bench.load()
    costs = _cost_rows(short, load)
    rows += costs
    rows.append({'name': 'load', **load})
    share = costs[0]['core_share_at_size']
    first_ms = load['first_token']['p95_ms']
    gap_ms = load['between_tokens']['p95_ms']
    return rows, [
        common.Target('entry core share at 4,250 tokens/s', _ENTRY_SHARE_BOUND,
                      share, share <= _ENTRY_SHARE_BOUND),
        common.Target('first token p95 ms', _FIRST_TOKEN_BOUND_MS, first_ms,
                      first_ms <= _FIRST_TOKEN_BOUND_MS),
        common.Target('between tokens p95 ms', _GAP_BOUND_MS, gap_ms, gap_ms
                      <= _GAP_BOUND_MS),
        common.Target('answers not whole', 0, load['requests'] - load['whole'],
                      load['requests'] == load['whole'])
    ]


def main() -> int:
    """Runs the measurement.

    Returns:
        The exit status: 0 when every answer was whole.
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
