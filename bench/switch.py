"""Measures switches of the expert map of a rank group over loopback.

For each group size, it measures switches without a fault, with one agent
paused and with one rank restarted.

Run `python -m bench.switch --seed N [--quick]`.
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

_GROUP_SIZES = (4, 8, 16, 32)
_QUICK_GROUP_SIZES = (4, 8)
_SWITCHES_PER_CASE = 3
_PAUSE_S = 0.5
_POLL_INTERVAL_S = 0.01
_TIMEOUT_S = 60.0

_Row = dict[str, Any]


async def _wait_until_in_force(ranks: rank_system.RankSystem,
                               version: int) -> dict[str, Any]:
    """Waits until all ranks use a map and the coordinator is idle.

    Returns:
        The state of the group.
    """
    async with asyncio.timeout(_TIMEOUT_S):
        while True:
            group = await ranks.group()
            if set(group['versions']) == {version}:
                status = await ranks.status(0)
                if status['phase'] == 'idle':
                    return group
            await asyncio.sleep(_POLL_INTERVAL_S)


async def _wait_until_pending(ranks: rank_system.RankSystem,
                              index: int) -> None:
    """Waits until a rank participates in a switch."""
    async with asyncio.timeout(_TIMEOUT_S):
        while (await ranks.group())['stages'][index] is None:
            await asyncio.sleep(_POLL_INTERVAL_S)


async def _measure_switch(ranks: rank_system.RankSystem, case: str,
                          version: int, affected_rank: int) -> dict[str, float]:
    before = await ranks.group()
    started_s = time.time()
    await ranks.set_wanted_map(version)
    if case != 'well':
        await _wait_until_pending(ranks, affected_rank)
    if case == 'late':
        ranks.agent(affected_rank).signal(signal.SIGSTOP)
        await asyncio.sleep(_PAUSE_S)
        ranks.agent(affected_rank).signal(signal.SIGCONT)
    elif case == 'killed':
        await ranks.restart_rank(affected_rank)
    group = await _wait_until_in_force(ranks, version)
    status = await ranks.status(0)
    stalled_s = group['stalled_s'] - before['stalled_s']
    step_s = group['step_s'][str(version)]
    return {
        'stalled_steps': stalled_s / step_s,
        'in_force_s': group['in_force_at_s'][str(version)] - started_s,
        'decided_ms': status['switches']['last_ms'],
        'violations': len(group['violations'])
    }


async def _measure_size(size: int, rng: random.Random) -> list[_Row]:
    rows: list[_Row] = []
    async with rank_system.RankSystem(size=size) as ranks:
        await _wait_until_in_force(ranks, 1)
        version = 1
        for case in ('well', 'late', 'killed'):
            results = []
            for _ in range(_SWITCHES_PER_CASE):
                version += 1
                affected_rank = rng.randrange(1, size)
                results.append(await _measure_switch(ranks, case, version,
                                                     affected_rank))
            rows.append(_row(size, case, results))
            print(rows[-1], flush=True)
    return rows


def _row(size: int, case: str, results: list[dict[str, float]]) -> _Row:
    medians = {
        f'{key}_median': round(statistics.median(r[key] for r in results), 3)
        for key in ('stalled_steps', 'in_force_s', 'decided_ms')
    }
    max_stalled_steps = max(result['stalled_steps'] for result in results)
    return {
        'ranks': size,
        'case': case,
        'switches': len(results),
        **medians, 'stalled_steps_most': round(max_stalled_steps, 1),
        'violations': max(result['violations'] for result in results)
    }


async def _run(seed: int, is_quick: bool) -> None:
    rng = random.Random(seed)
    rows: list[_Row] = []
    for size in _QUICK_GROUP_SIZES if is_quick else _GROUP_SIZES:
        rows.extend(await _measure_size(size, rng))
    violations = sum(row['violations'] for row in rows)
    common.emit(seed, rows, [
        common.Target('steps with more than one map', 0, violations, violations
                      == 0)
    ])


def main() -> None:
    """Runs the measurement and prints the result."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--quick', action='store_true')
    args = parser.parse_args()
    asyncio.run(_run(args.seed, args.quick))


if __name__ == '__main__':
    main()
