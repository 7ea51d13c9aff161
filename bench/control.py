"""Measures the cost and speed of the control plane.

    python -m bench.control --seed 1 [--quick]

Starts systems of several sizes on loopback. For each size, it measures the
time until an accepted configuration version is in force at every entry host,
and the resources that an idle system uses. The cost of an entry host at full
size is extrapolated from all sizes, so --quick omits it. It also measures
the time until another process takes over a duty, the rate of requests with
claims and their table writes, and a restart of all entry hosts at once.
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
_MIN_SIZES_FOR_FIT = 4
_SIZES_FULL = (3, 9, 27, 81)
_MAX_IN_FORCE_S = 15.0
_MAX_CPU_SHARE = 0.027
_MAX_MEMORY_MB = 64.0
_MAX_BYTES_PER_S = 30_000.0
_MAX_WRITES_PER_S = 400.0
_MAX_READS_PER_S = 2000.0
_MAX_FAILOVER_S = 10.0
_LINKS_AT_FULL_SIZE = 26 + 48
_ENTRIES_AT_FULL_SIZE = 400
_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
_PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
_SETTLE_S = 3.0
_LOG_TIME = re.compile(
    r'^I(\d{4} \d\d:\d\d:\d\d\.\d{6}).*targets in force version=(\d+)')
_SOCKET_BYTES = re.compile(r'bytes_(?:sent|received):(\d+)')
_SOCKET_PID = re.compile(r'pid=(\d+)')
_REQUEST_PATH = '/services/orders/payments'
_CALLER_COUNT = 16
_REJECTED_PAUSE_S = 0.05
_PACED_PAUSE_S = 0.25

Row = dict[str, Any]


def _process_cpu_s(pid: int) -> float:
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text('utf-8').split()
    return (int(fields[13]) + int(fields[14])) / _TICKS_PER_S


def _process_memory_mb(pid: int) -> float:
    fields = pathlib.Path(f'/proc/{pid}/statm').read_text('utf-8').split()
    return int(fields[1]) * _PAGE_BYTES / 1e6


def _socket_bytes_by_pid() -> dict[int, int]:
    """Returns the bytes sent and received on open sockets, by process ID."""
    completed = subprocess.run(['ss', '-tinpH'],
                               capture_output=True,
                               text=True,
                               check=True)
    totals: dict[int, int] = {}
    pid = 0
    for line in completed.stdout.splitlines():
        match = _SOCKET_PID.search(line)
        if match:
            pid = int(match.group(1))
        elif pid and line.startswith(('\t', ' ')):
            size = sum(map(int, _SOCKET_BYTES.findall(line)))
            totals[pid] = totals.get(pid, 0) + size
    return totals


async def _table_counts(system: system_module.System) -> dict[str, int]:
    counts: dict[str, int] = await system.call(system.address('table'), 'GET',
                                               '/counts')
    return counts


def _applied_at(system: system_module.System) -> dict[int, list[float]]:
    """Returns when each version came into force at the entry hosts.

    The times, in seconds since the epoch, are from the logs.
    """
    year = datetime.date.today().year
    times_by_version: dict[int, list[float]] = {}
    for process in system.named('entry-'):
        for line in system.log_text(process.name).splitlines():
            match = _LOG_TIME.match(line)
            if match:
                at = datetime.datetime.strptime(f'{year}{match.group(1)}',
                                                '%Y%m%d %H:%M:%S.%f')
                times_by_version.setdefault(int(match.group(2)),
                                            []).append(at.timestamp())
    return times_by_version


async def _measure_distribution(system: system_module.System, size: int,
                                changes: int, rng: random.Random) -> Row:
    """Measures the time until published versions are in force everywhere.

    A version that an entry host skips for a newer one is not measured.
    """
    operator_client = operator.Operator(system=system)
    accepted_at: dict[int, float] = {}
    for base in range(1, changes + 1):
        completed = await operator_client.publish(base, rng.randrange(1, 10),
                                                  'bench')
        version = completed.expect('the table accepts the version')
        accepted_at[version] = time.time()
        await asyncio.sleep(rng.uniform(0.2, 1.2))
    await asyncio.sleep(_SETTLE_S)
    applied_at = _applied_at(system)
    delays_s = sorted(
        max(0.0,
            max(applied_at[version]) - at)
        for version, at in accepted_at.items()
        if len(applied_at.get(version, [])) >= size)
    skipped = len(accepted_at) - len(delays_s)
    return {
        'name': 'in_force',
        'entries': size,
        'changes': changes,
        'overtaken': skipped,
        'p50_s': round(statistics.median(delays_s), 3),
        'p99_s': round(delays_s[int(len(delays_s) * 0.99)], 3),
        'max_s': round(delays_s[-1], 3)
    }


async def _measure_idle(system: system_module.System, size: int,
                        seconds: float) -> Row:
    """Measures the resources that an idle system uses."""
    entries = system.named('entry-')
    pids = [process.pid for process in entries]
    operator_client = operator.Operator(system=system)
    links = []
    for process in entries:
        status = await operator_client.status(process.name)
        links.append(len(status['peers']) + len(status['upstreams']))
    cpu = sum(map(_process_cpu_s, pids))
    before_bytes = _socket_bytes_by_pid()
    before = await _table_counts(system)
    started_at = time.monotonic()
    await asyncio.sleep(seconds)
    elapsed_s = time.monotonic() - started_at
    after = await _table_counts(system)
    after_bytes = _socket_bytes_by_pid()
    transferred = [
        after_bytes.get(pid, 0) - before_bytes.get(pid, 0) for pid in pids
    ]
    return {
        'name':
            'idle',
        'entries':
            size,
        'seconds':
            round(elapsed_s, 1),
        'links_per_entry':
            statistics.mean(links),
        'reads_per_s': (after['reads'] - before['reads']) / elapsed_s,
        'writes_per_s': (after['writes'] - before['writes']) / elapsed_s,
        'cpu_per_entry':
            (sum(map(_process_cpu_s, pids)) - cpu) / elapsed_s / size,
        'bytes_per_s_per_entry':
            statistics.mean(transferred) / elapsed_s,
        'memory_mb_max':
            max(map(_process_memory_mb, pids))
    }


async def _measure_failover(system: system_module.System, rounds: int) -> Row:
    """Measures the time from killing a holder of a duty to a new lease."""
    operator_client = operator.Operator(system=system)
    durations_s = []
    for _ in range(rounds):
        lease = await operator_client.lease()
        assert lease is not None
        holder = lease.holder.partition(':')[0]
        await system.by_name[holder].kill()
        killed_at = time.monotonic()
        while True:
            now = await operator_client.lease()
            if now is not None and now.fencing > lease.fencing:
                break
            await asyncio.sleep(0.05)
        durations_s.append(time.monotonic() - killed_at)
        await system.start_entry(int(holder.rpartition('-')[2]))
        await asyncio.sleep(_SETTLE_S)
    return {
        'name': 'failover',
        'rounds': rounds,
        'median_s': round(statistics.median(durations_s), 2),
        'max_s': round(max(durations_s), 2)
    }


async def _measure_restart(system: system_module.System, size: int) -> Row:
    """Measures a restart of all entry hosts at once."""
    await asyncio.gather(*(p.kill() for p in system.named('entry-')))
    before = await _table_counts(system)
    started_at = time.monotonic()
    await asyncio.gather(*(system.start_entry(i + 1) for i in range(size)))
    await system.wait_until_linked()
    ready_s = time.monotonic() - started_at
    after = await _table_counts(system)
    reads = after['reads'] - before['reads']
    return {
        'name': 'restart_all',
        'entries': size,
        'ready_s': round(ready_s, 2),
        'reads': reads,
        'reads_per_entry_per_s': reads / size / ready_s
    }


async def _run_callers(system: system_module.System,
                       work_class: str,
                       seconds: float,
                       prefix: str,
                       pause_s: float = 0.0) -> tuple[list[float], int]:
    """Sends requests from several callers, each one after the other.

    Args:
        system: the system.
        work_class: class of the requests.
        seconds: duration of the measurement.
        prefix: prefix of the idempotency keys.
        pause_s: pause after each request, in seconds.

    Returns:
        The duration of each successful request in seconds, and the number of
        other requests.
    """
    caller = caller_module.Caller(client=system.client, workspace='buna')
    durations_s: list[float] = []
    rejected = 0
    ends_at = time.monotonic() + seconds

    async def run_caller(caller_index: int) -> None:
        nonlocal rejected
        request_number = 0
        while time.monotonic() < ends_at:
            request_number += 1
            address = system.entry_addresses[caller_index %
                                             len(system.entry_addresses)]
            started_at = time.monotonic()
            response = await caller.post(
                address,
                work_class,
                _REQUEST_PATH,
                b'cup',
                idempotency_key=f'{prefix}-{caller_index}-{request_number}')
            if response.status == 200:
                durations_s.append(time.monotonic() - started_at)
            else:
                rejected += 1
                await asyncio.sleep(_REJECTED_PAUSE_S)
            await asyncio.sleep(pause_s)

    await asyncio.gather(*(run_caller(i) for i in range(_CALLER_COUNT)))
    return durations_s, rejected


def _p95_ms(durations_s: list[float]) -> float:
    return sorted(durations_s)[int(len(durations_s) * 0.95)] * 1000


async def _measure_claims(system: system_module.System, seconds: float,
                          pause_s: float) -> Row:
    """Measures requests that need a claim against requests that do not."""
    name = 'claims_paced' if pause_s else 'claims'
    without_claims, _ = await _run_callers(system, 'status-check', seconds,
                                           f'{name}-plain', pause_s)
    before = await _table_counts(system)
    with_claims, rejected = await _run_callers(system, 'payment-confirmation',
                                               seconds, name, pause_s)
    after = await _table_counts(system)
    writes = after['writes'] - before['writes']
    transactions = after['transactions'] - before['transactions']
    return {
        'name': name,
        'payers': _CALLER_COUNT,
        'seconds': seconds,
        'plain_per_s': len(without_claims) / seconds,
        'claimed_per_s': len(with_claims) / seconds,
        'refused_not_run': rejected,
        'writes_per_s': writes / seconds,
        'transactions_per_s': transactions / seconds,
        'plain_p95_ms': _p95_ms(without_claims),
        'claimed_p95_ms': _p95_ms(with_claims)
    }


def _extrapolate(rows: list[Row], key: str) -> float:
    """Returns the value at full size, by the line through the two largest."""
    second_largest, largest = rows[-2], rows[-1]
    slope = (largest[key] - second_largest[key]) / (largest['entries'] -
                                                    second_largest['entries'])
    return largest[key] + slope * (_ENTRIES_AT_FULL_SIZE - largest['entries'])


def _calls_per_entry(row: Row) -> float:
    return (row['reads_per_s'] + row['writes_per_s']) / row['entries']


def _fit_node_costs(rows: list[Row], key: str) -> tuple[float, float, float]:
    """Fits the costs of an entry host by least squares over all sizes.

    Returns:
        The fixed cost, the cost of a table call and the cost of a link. A
        negative cost is replaced by 0.
    """
    counts = [
        (1.0, _calls_per_entry(row), row['links_per_entry']) for row in rows
    ]
    costs, *_ = numpy.linalg.lstsq(numpy.array(counts),
                                   numpy.array([row[key] for row in rows]),
                                   rcond=None)
    fixed, call, link = (max(0.0, float(cost)) for cost in costs)
    return fixed, call, link


def _node_cost_at_full_size(rows: list[Row], key: str) -> float:
    """Returns the cost of an entry host at full size."""
    fixed, per_call, per_link = _fit_node_costs(rows, key)
    calls = (_extrapolate(rows, 'reads_per_s') +
             _extrapolate(rows, 'writes_per_s')) / _ENTRIES_AT_FULL_SIZE
    return fixed + per_call * calls + per_link * _LINKS_AT_FULL_SIZE


def _at_most(name: str, bound: float, value: float) -> common.Target:
    return common.Target(name, bound, round(value, 4), value <= bound)


def _targets(rows: list[Row]) -> list[common.Target]:
    by_name: dict[str, list[Row]] = {}
    for row in rows:
        by_name.setdefault(row['name'], []).append(row)
    idle = by_name['idle']
    claims = by_name['claims'][0]
    restart = by_name['restart_all'][0]
    reads = _extrapolate(idle, 'reads_per_s')
    writes = _extrapolate(idle, 'writes_per_s')
    targets = [
        _at_most('in_force_max_s', _MAX_IN_FORCE_S,
                 max(row['max_s'] for row in by_name['in_force'])),
        _at_most('reads_per_s_at_400', _MAX_READS_PER_S, reads),
        _at_most('writes_per_s_at_400', _MAX_WRITES_PER_S, writes),
        _at_most('memory_mb_max', _MAX_MEMORY_MB,
                 max(row['memory_mb_max'] for row in idle)),
        _at_most('failover_max_s', _MAX_FAILOVER_S,
                 by_name['failover'][0]['max_s']),
        _at_most('claim_writes_per_s', _MAX_WRITES_PER_S,
                 claims['writes_per_s']),
        _at_most('restart_reads_per_s_at_400', _MAX_READS_PER_S,
                 restart['reads_per_entry_per_s'] * _ENTRIES_AT_FULL_SIZE),
    ]
    if len(idle) >= _MIN_SIZES_FOR_FIT:
        targets += [
            _at_most('cpu_share_at_74_links', _MAX_CPU_SHARE,
                     _node_cost_at_full_size(idle, 'cpu_per_entry')),
            _at_most('bytes_per_s_at_74_links', _MAX_BYTES_PER_S,
                     _node_cost_at_full_size(idle, 'bytes_per_s_per_entry')),
        ]
    return targets


async def _run(args: argparse.Namespace) -> list[Row]:
    rng = random.Random(args.seed)
    rows: list[Row] = []
    sizes = _SIZES_QUICK if args.quick else _SIZES_FULL
    changes, seconds = (3, 4.0) if args.quick else (20, 15.0)
    for size in sizes:
        async with system_module.System(entries=size, engines=1,
                                        services=1) as system:
            await asyncio.sleep(_SETTLE_S)
            rows.append(await _measure_idle(system, size, seconds))
            rows.append(await _measure_distribution(system, size, changes, rng))
            if size == sizes[0]:
                rows.append(await _measure_claims(system, seconds / 2, 0.0))
                rows.append(await _measure_claims(system, seconds / 2,
                                                  _PACED_PAUSE_S))
            if size == sizes[1]:
                rows.append(await _measure_failover(system,
                                                    1 if args.quick else 5))
                rows.append(await _measure_restart(system, size))
            for process in system.named('entry-'):
                process.signal(signal.SIGKILL)
    return rows


def main() -> None:
    """Runs the measurement and prints the result."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--quick', action='store_true')
    args = parser.parse_args()
    rows = asyncio.run(_run(args))
    for row in rows:
        print(row)
    common.emit(args.seed, rows, _targets(rows))


if __name__ == '__main__':
    main()
