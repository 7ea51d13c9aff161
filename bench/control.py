"""Cost and speed of what is agreed and kept.

    python -m bench.control --seed 1 [--quick]

Starts systems of several sizes on loopback. For each size: the time from the
acceptance of a version to its being in force at every entry host, and what an
idle system spends on control. The cost of a node at full size needs all sizes
and is left out with --quick. Then: the time for a duty to move, payments a
second against the write budget, and a restart of all entry hosts at once.
"""

import argparse
import asyncio
import datetime
import os
import pathlib
import random
import re
import signal
import statistics
import subprocess
import time
from typing import Any

import numpy

from bench import common
from tests.fakes import (caller as caller_module, operator, system as
                         system_module)

__all__: list[str] = []

_SIZES_QUICK = (3, 9)
_SIZES_FOR_FIT = 4
_SIZES_FULL = (3, 9, 27, 81)
_IN_FORCE_BOUND_S = 15.0
_CPU_BOUND = 0.027
_MEMORY_BOUND_MB = 64.0
_BYTES_BOUND_PER_S = 30_000.0
_WRITES_BOUND_PER_S = 400.0
_READS_BOUND_PER_S = 2000.0
_FAILOVER_BOUND_S = 10.0
_LINKS_AT_SIZE = 26 + 48
_ENTRIES_AT_SIZE = 400
_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
_PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
_SETTLE_S = 3.0
_LOG_TIME = re.compile(
    r'^I(\d{4} \d\d:\d\d:\d\d\.\d{6}).*targets in force version=(\d+)')
_SOCKET_BYTES = re.compile(r'bytes_(?:sent|received):(\d+)')
_SOCKET_PID = re.compile(r'pid=(\d+)')
_PAYMENT_PATH = '/services/orders/payments'
_PAYERS = 16
_REFUSED_PAUSE_S = 0.05
_PACED_PAUSE_S = 0.25

Row = dict[str, Any]


def _cpu_s(pid: int) -> float:
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text('utf-8').split()
    return (int(fields[13]) + int(fields[14])) / _TICKS_PER_S


def _memory_mb(pid: int) -> float:
    fields = pathlib.Path(f'/proc/{pid}/statm').read_text('utf-8').split()
    return int(fields[1]) * _PAGE_BYTES / 1e6


def _bytes_by_pid() -> dict[int, int]:
    """Bytes sent and received on the open sockets of each process."""
    done = subprocess.run(['ss', '-tinpH'],
                          capture_output=True,
                          text=True,
                          check=True)
    totals: dict[int, int] = {}
    pid = 0
    for line in done.stdout.splitlines():
        found = _SOCKET_PID.search(line)
        if found:
            pid = int(found.group(1))
        elif pid and line.startswith(('\t', ' ')):
            size = sum(map(int, _SOCKET_BYTES.findall(line)))
            totals[pid] = totals.get(pid, 0) + size
    return totals


async def _counts(system: system_module.System) -> dict[str, int]:
    found: dict[str, int] = await system.call(system.address('table'), 'GET',
                                              '/counts')
    return found


def _adopted_at(system: system_module.System) -> dict[int, list[float]]:
    """When each version came into force at each entry host, by its log."""
    year = datetime.date.today().year
    times: dict[int, list[float]] = {}
    for process in system.named('entry-'):
        for line in system.log_text(process.name).splitlines():
            found = _LOG_TIME.match(line)
            if found:
                at = datetime.datetime.strptime(f'{year}{found.group(1)}',
                                                '%Y%m%d %H:%M:%S.%f')
                times.setdefault(int(found.group(2)), []).append(at.timestamp())
    return times


async def _spread(system: system_module.System, size: int, changes: int,
                  draw: random.Random) -> Row:
    """Publishes and measures until the last entry host has each version."""
    own = operator.Operator(system=system)
    accepted_at: dict[int, float] = {}
    for base in range(1, changes + 1):
        done = await own.publish(base, draw.randrange(1, 10), 'bench')
        version = done.expect('the table takes the version')
        accepted_at[version] = time.time()
        await asyncio.sleep(draw.uniform(0.2, 1.2))
    await asyncio.sleep(_SETTLE_S)
    adopted = _adopted_at(system)
    last_s = sorted(
        max(0.0,
            max(adopted[version]) - at)
        for version, at in accepted_at.items()
        if len(adopted.get(version, [])) >= size)
    skipped = len(accepted_at) - len(last_s)
    return {
        'name': 'in_force',
        'entries': size,
        'changes': changes,
        'overtaken': skipped,
        'p50_s': round(statistics.median(last_s), 3),
        'p99_s': round(last_s[int(len(last_s) * 0.99)], 3),
        'max_s': round(last_s[-1], 3)
    }


async def _idle(system: system_module.System, size: int, seconds: float) -> Row:
    """What an idle system spends."""
    entries = system.named('entry-')
    pids = [process.pid for process in entries]
    own = operator.Operator(system=system)
    links = []
    for process in entries:
        status = await own.status(process.name)
        links.append(len(status['peers']) + len(status['upstreams']))
    cpu = sum(map(_cpu_s, pids))
    sent = _bytes_by_pid()
    before = await _counts(system)
    started_at = time.monotonic()
    await asyncio.sleep(seconds)
    lasted_s = time.monotonic() - started_at
    after = await _counts(system)
    now_sent = _bytes_by_pid()
    moved = [now_sent.get(pid, 0) - sent.get(pid, 0) for pid in pids]
    return {
        'name': 'idle',
        'entries': size,
        'seconds': round(lasted_s, 1),
        'links_per_entry': statistics.mean(links),
        'reads_per_s': (after['reads'] - before['reads']) / lasted_s,
        'writes_per_s': (after['writes'] - before['writes']) / lasted_s,
        'cpu_per_entry': (sum(map(_cpu_s, pids)) - cpu) / lasted_s / size,
        'bytes_per_s_per_entry': statistics.mean(moved) / lasted_s,
        'memory_mb_max': max(map(_memory_mb, pids))
    }


async def _failover(system: system_module.System, rounds: int) -> Row:
    """Kills the holder of a duty and waits until another holds it."""
    own = operator.Operator(system=system)
    times = []
    for _ in range(rounds):
        lease = await own.lease()
        assert lease is not None
        holder = lease.holder.partition(':')[0]
        await system.by_name[holder].kill()
        killed_at = time.monotonic()
        while True:
            now = await own.lease()
            if now is not None and now.fencing > lease.fencing:
                break
            await asyncio.sleep(0.05)
        times.append(time.monotonic() - killed_at)
        await system.start_entry(int(holder.rpartition('-')[2]))
        await asyncio.sleep(_SETTLE_S)
    return {
        'name': 'failover',
        'rounds': rounds,
        'median_s': round(statistics.median(times), 2),
        'max_s': round(max(times), 2)
    }


async def _restart_all(system: system_module.System, size: int) -> Row:
    """Kills all entry hosts at once and starts them again."""
    await asyncio.gather(*(p.kill() for p in system.named('entry-')))
    before = await _counts(system)
    started_at = time.monotonic()
    await asyncio.gather(*(system.start_entry(i + 1) for i in range(size)))
    await system.wait_until_linked()
    ready_s = time.monotonic() - started_at
    after = await _counts(system)
    reads = after['reads'] - before['reads']
    return {
        'name': 'restart_all',
        'entries': size,
        'ready_s': round(ready_s, 2),
        'reads': reads,
        'reads_per_entry_per_s': reads / size / ready_s
    }


async def _drive(system: system_module.System,
                 work_class: str,
                 seconds: float,
                 prefix: str,
                 pause_s: float = 0.0) -> tuple[list[float], int]:
    """Sends requests in closed loops with a pause after each.

    Returns:
        Seconds of each whole answer, and how many were refused.
    """
    caller = caller_module.Caller(client=system.client, workspace='buna')
    times: list[float] = []
    refused = 0
    ends_at = time.monotonic() + seconds

    async def pay(payer: int) -> None:
        nonlocal refused
        number = 0
        while time.monotonic() < ends_at:
            number += 1
            address = system.entry_addresses[payer %
                                             len(system.entry_addresses)]
            started_at = time.monotonic()
            answer = await caller.post(
                address,
                work_class,
                _PAYMENT_PATH,
                b'cup',
                idempotency_key=f'{prefix}-{payer}-{number}')
            if answer.status == 200:
                times.append(time.monotonic() - started_at)
            else:
                refused += 1
                await asyncio.sleep(_REFUSED_PAUSE_S)
            await asyncio.sleep(pause_s)

    await asyncio.gather(*(pay(i) for i in range(_PAYERS)))
    return times, refused


def _p95_ms(times: list[float]) -> float:
    return sorted(times)[int(len(times) * 0.95)] * 1000


async def _claims(system: system_module.System, seconds: float,
                  pause_s: float) -> Row:
    """Payments with claims beside the same calls without."""
    name = 'claims_paced' if pause_s else 'claims'
    plain, _ = await _drive(system, 'status-check', seconds, f'{name}-plain',
                            pause_s)
    before = await _counts(system)
    claimed, refused = await _drive(system, 'payment-confirmation', seconds,
                                    name, pause_s)
    after = await _counts(system)
    writes = after['writes'] - before['writes']
    transactions = after['transactions'] - before['transactions']
    return {
        'name': name,
        'payers': _PAYERS,
        'seconds': seconds,
        'plain_per_s': len(plain) / seconds,
        'claimed_per_s': len(claimed) / seconds,
        'refused_not_run': refused,
        'writes_per_s': writes / seconds,
        'transactions_per_s': transactions / seconds,
        'plain_p95_ms': _p95_ms(plain),
        'claimed_p95_ms': _p95_ms(claimed)
    }


def _growth(rows: list[Row], key: str) -> float:
    """The value at full size by the line through the two largest sizes."""
    first, last = rows[-2], rows[-1]
    slope = (last[key] - first[key]) / (last['entries'] - first['entries'])
    return last[key] + slope * (_ENTRIES_AT_SIZE - last['entries'])


def _calls_per_entry(row: Row) -> float:
    return (row['reads_per_s'] + row['writes_per_s']) / row['entries']


def _per_node(rows: list[Row], key: str) -> tuple[float, float, float]:
    """The fixed cost, that of a call of the table, and that of a link.

    By least squares over the sizes; a cost that comes out negative counts 0.
    """
    parts = [
        (1.0, _calls_per_entry(row), row['links_per_entry']) for row in rows
    ]
    costs, *_ = numpy.linalg.lstsq(numpy.array(parts),
                                   numpy.array([row[key] for row in rows]),
                                   rcond=None)
    fixed, call, link = (max(0.0, float(cost)) for cost in costs)
    return fixed, call, link


def _at_full_size(rows: list[Row], key: str) -> float:
    """The cost of a node with the links and calls of the full size."""
    fixed, a_call, a_link = _per_node(rows, key)
    calls = (_growth(rows, 'reads_per_s') +
             _growth(rows, 'writes_per_s')) / _ENTRIES_AT_SIZE
    return fixed + a_call * calls + a_link * _LINKS_AT_SIZE


def _holds(name: str, bound: float, value: float) -> common.Target:
    return common.Target(name, bound, round(value, 4), value <= bound)


def _targets(rows: list[Row]) -> list[common.Target]:
    by_name: dict[str, list[Row]] = {}
    for row in rows:
        by_name.setdefault(row['name'], []).append(row)
    idle = by_name['idle']
    claims = by_name['claims'][0]
    restart = by_name['restart_all'][0]
    reads = _growth(idle, 'reads_per_s')
    writes = _growth(idle, 'writes_per_s')
    targets = [
        _holds('in_force_max_s', _IN_FORCE_BOUND_S,
               max(row['max_s'] for row in by_name['in_force'])),
        _holds('reads_per_s_at_400', _READS_BOUND_PER_S, reads),
        _holds('writes_per_s_at_400', _WRITES_BOUND_PER_S, writes),
        _holds('memory_mb_max', _MEMORY_BOUND_MB,
               max(row['memory_mb_max'] for row in idle)),
        _holds('failover_max_s', _FAILOVER_BOUND_S,
               by_name['failover'][0]['max_s']),
        _holds('claim_writes_per_s', _WRITES_BOUND_PER_S,
               claims['writes_per_s']),
        _holds('restart_reads_per_s_at_400', _READS_BOUND_PER_S,
               restart['reads_per_entry_per_s'] * _ENTRIES_AT_SIZE),
    ]
    if len(idle) >= _SIZES_FOR_FIT:
        targets += [
            _holds('cpu_share_at_74_links', _CPU_BOUND,
                   _at_full_size(idle, 'cpu_per_entry')),
            _holds('bytes_per_s_at_74_links', _BYTES_BOUND_PER_S,
                   _at_full_size(idle, 'bytes_per_s_per_entry')),
        ]
    return targets


async def _measure(args: argparse.Namespace) -> list[Row]:
    draw = random.Random(args.seed)
    rows: list[Row] = []
    sizes = _SIZES_QUICK if args.quick else _SIZES_FULL
    changes, seconds = (3, 4.0) if args.quick else (20, 15.0)
    for size in sizes:
        async with system_module.System(entries=size, engines=1,
                                        services=1) as system:
            await asyncio.sleep(_SETTLE_S)
            rows.append(await _idle(system, size, seconds))
            rows.append(await _spread(system, size, changes, draw))
            if size == sizes[0]:
                rows.append(await _claims(system, seconds / 2, 0.0))
                rows.append(await _claims(system, seconds / 2, _PACED_PAUSE_S))
            if size == sizes[1]:
                rows.append(await _failover(system, 1 if args.quick else 5))
                rows.append(await _restart_all(system, size))
            for process in system.named('entry-'):
                process.signal(signal.SIGKILL)
    return rows


def main() -> None:
    """Measures and prints the result."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--quick', action='store_true')
    args = parser.parse_args()
    rows = asyncio.run(_measure(args))
    for row in rows:
        print(row)
    common.emit(args.seed, rows, _targets(rows))


if __name__ == '__main__':
    main()
