"""Measures the resources of an entry host and an agent without load.

It measures processor time and memory when they are idle, and the memory for
open streams and for open connections.
"""

import argparse
import asyncio
import sys
from typing import Any

from bench import common, processes, stream_client
from tests.fakes import caller, system as system_module

__all__: list[str] = []

_ENGINES = 4
_STREAM_COUNT = 240
_CONNECTION_COUNT = 1000
_IDLE_S = 20.0
_QUICK_IDLE_S = 6.0
_MAX_MEMORY_MIB = 64.0
_MAX_CPU_SHARE = 0.027
_PROCESS_BY_ROLE = {'entry': 'entry-1', 'agent': 'agent-engine-1'}


async def _idle_row(system: system_module.System,
                    seconds: float) -> dict[str, Any]:
    """Measures processor time and memory of each role without requests."""
    pids = {
        role: system.by_name[name].pid
        for role, name in _PROCESS_BY_ROLE.items()
    }
    before = {role: processes.cpu_us(pid) for role, pid in pids.items()}
    await asyncio.sleep(seconds)
    row: dict[str, Any] = {'name': 'idle'}
    for role, pid in pids.items():
        used_us = processes.cpu_us(pid) - before[role]
        row[f'{role}_core_share'] = round(used_us / seconds / 1e6, 5)
        row[f'{role}_mib'] = round(processes.resident_kib(pid) / 1024, 1)
    return row


def _resident_kib(system: system_module.System) -> dict[str, float]:
    """Returns the resident KiB of the entry host and of all engine agents."""
    agents = system.named('agent-engine-')
    return {
        'entry': processes.resident_kib(system.by_name['entry-1'].pid),
        'agent': sum(processes.resident_kib(process.pid) for process in agents)
    }


def _growth_row(name: str, before: dict[str, float], after: dict[str, float],
                count: int) -> dict[str, Any]:
    row: dict[str, Any] = {'name': name, 'count': count}
    for role, kib in before.items():
        grown_mib = (after[role] - kib) / 1024
        row[f'{role}_mib_per_thousand'] = round(grown_mib / count * 1000, 2)
    return row


async def _streams_row(system: system_module.System,
                       seed: int) -> dict[str, Any]:
    """Measures memory for streams that have started and then stall."""
    for process in system.named('engine-'):
        await system.fault(process.name, stall_after_tokens=1)
    before = _resident_kib(system)
    tasks = []
    for request_number in range(_STREAM_COUNT):
        document = {
            **caller.chat_document(10), 'nonce': f'{seed}-{request_number}'
        }
        tasks.append(
            asyncio.create_task(
                stream_client.Stream.run(
                    system.entry_addresses[0],
                    stream_client.request_bytes(document))))
        await asyncio.sleep(0.01)
    while await _running_requests(system) < _STREAM_COUNT:
        await asyncio.sleep(0.1)
    row = _growth_row('open_streams', before, _resident_kib(system),
                      _STREAM_COUNT)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return row


async def _running_requests(system: system_module.System) -> int:
    total = 0
    for process in system.named('agent-engine-'):
        status = await system.call(process.ready['admin'], 'GET', '/status')
        total += status['running']
    return total


async def _connections_row(system: system_module.System) -> dict[str, Any]:
    """Measures memory for connections on which nothing has been sent."""
    before = _resident_kib(system)
    host, _, port = system.entry_addresses[0].rpartition(':')
    writers = []
    for _ in range(_CONNECTION_COUNT):
        _, writer = await asyncio.open_connection(host, int(port))
        writers.append(writer)
    await asyncio.sleep(1.0)
    row = _growth_row('idle_connections', before, _resident_kib(system),
                      _CONNECTION_COUNT)
    for writer in writers:
        writer.close()
    return row


async def _run(seconds: float,
               seed: int) -> tuple[list[dict[str, Any]], list[common.Target]]:
    async with system_module.System(entries=1, engines=_ENGINES,
                                    services=1) as system:
        idle = await _idle_row(system, seconds)
        rows = [idle, await _streams_row(system, seed)]
    async with system_module.System(entries=1, engines=1, services=1) as system:
        rows.append(await _connections_row(system))
    targets = []
    for role in _PROCESS_BY_ROLE:
        memory = idle[f'{role}_mib']
        share = idle[f'{role}_core_share']
        targets += [
            common.Target(f'idle {role} MiB', _MAX_MEMORY_MIB, memory, memory
                          <= _MAX_MEMORY_MIB),
            common.Target(f'idle {role} core share', _MAX_CPU_SHARE, share,
                          share <= _MAX_CPU_SHARE)
        ]
    return rows, targets


def main() -> int:
    """Runs the measurement and prints the result.

    Returns:
        Exit status, always 0.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--quick', action='store_true')
    args = parser.parse_args()
    seconds = _QUICK_IDLE_S if args.quick else _IDLE_S
    rows, targets = asyncio.run(_run(seconds, args.seed))
    common.emit(args.seed, rows, targets)
    return 0


if __name__ == '__main__':
    sys.exit(main())
