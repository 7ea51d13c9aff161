"""Measures switches of expert maps with agents over loopback.

Run `python -m bench.switch --seed N [--quick]`. Each size makes switches with
all ranks well, then with one agent paused, then with one rank restarted.
"""

import argparse
import asyncio
import random
import signal
import statistics
import time
from typing import Any

from bench import common
from tests.fakes import rank_system

__all__: list[str] = []

_SIZES = (4, 8, 16, 32)
_QUICK_SIZES = (4, 8)
_SWITCHES = 3
_PAUSE_S = 0.5
_POLL_S = 0.01
_LIMIT_S = 60.0

_Row = dict[str, Any]


async def _until(ranks: rank_system.RankSystem, version: int) -> dict[str, Any]:
    """Waits until a map is in force and the leader is free."""
    async with asyncio.timeout(_LIMIT_S):
        while True:
            group = await ranks.group()
            if set(group['versions']) == {version}:
                status = await ranks.status(0)
                if status['phase'] == 'idle':
                    return group
            await asyncio.sleep(_POLL_S)


async def _until_pending(ranks: rank_system.RankSystem, index: int) -> None:
    """Waits until a rank takes part in a switch."""
    async with asyncio.timeout(_LIMIT_S):
        while (await ranks.group())['stages'][index] is None:
            await asyncio.sleep(_POLL_S)


async def _switch(ranks: rank_system.RankSystem, case: str, version: int,
                  victim: int) -> dict[str, float]:
    before = await ranks.group()
    began_s = time.time()
    await ranks.set_wanted_map(version)
    if case != 'well':
        await _until_pending(ranks, victim)
    if case == 'late':
        ranks.agent(victim).signal(signal.SIGSTOP)
        await asyncio.sleep(_PAUSE_S)
        ranks.agent(victim).signal(signal.SIGCONT)
    elif case == 'killed':
        await ranks.restart_rank(victim)
    group = await _until(ranks, version)
    status = await ranks.status(0)
    stalled_s = group['stalled_s'] - before['stalled_s']
    step_s = group['step_s'][str(version)]
    return {
        'stalled_steps': stalled_s / step_s,
        'in_force_s': group['in_force_at_s'][str(version)] - began_s,
        'decided_ms': status['switches']['last_ms'],
        'violations': len(group['violations'])
    }


async def _measure(size: int, draw: random.Random) -> list[_Row]:
    rows: list[_Row] = []
    async with rank_system.RankSystem(size=size) as ranks:
        await _until(ranks, 1)
        version = 1
        for case in ('well', 'late', 'killed'):
            results = []
            for _ in range(_SWITCHES):
                version += 1
                victim = draw.randrange(1, size)
                results.append(await _switch(ranks, case, version, victim))
            rows.append(_row(size, case, results))
            print(rows[-1], flush=True)
    return rows


def _row(size: int, case: str, results: list[dict[str, float]]) -> _Row:
    medians = {
        f'{key}_median': round(statistics.median(r[key] for r in results), 3)
        for key in ('stalled_steps', 'in_force_s', 'decided_ms')
    }
    most = max(result['stalled_steps'] for result in results)
    return {
        'ranks': size,
        'case': case,
        'switches': len(results),
        **medians, 'stalled_steps_most': round(most, 1),
        'violations': max(result['violations'] for result in results)
    }


async def _run(seed: int, is_quick: bool) -> None:
    draw = random.Random(seed)
    rows: list[_Row] = []
    for size in _QUICK_SIZES if is_quick else _SIZES:
        rows.extend(await _measure(size, draw))
    violations = sum(row['violations'] for row in rows)
    common.emit(seed, rows, [
        common.Target('steps with more than one map', 0, violations, violations
                      == 0)
    ])


def main() -> None:
    """Measures all sizes and prints the rows."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--quick', action='store_true')
    args = parser.parse_args()
    asyncio.run(_run(args.seed, args.quick))


if __name__ == '__main__':
    main()
