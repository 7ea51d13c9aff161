"""Entries of another writer lack fields and name addresses of servers."""

import asyncio
import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common_2'))
import stand_ins as s  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
ENTRIES = 2
LENGTH_S = 30.0
RATE_PER_S = 10.0
CONFIG_S = 2.0
LATER_MS = 5000
MIN_REQUESTS = 20
MIN_RATIO = 0.25


async def send(front, path, request_id, sent, record):
    status, _ = await s.call(front, 'GET', f'/{path}/x',
                             s.request_headers(request_id))
    sent.append((path, status))
    record.write(f'{request_id} answered {status}')


async def ordinary_clients(fronts, paths, sent, record, until):
    number = 0
    pending = set()
    while time.monotonic() < until:
        number += 1
        front = fronts[number % len(fronts)]
        for path in paths:
            pending.add(asyncio.create_task(
                send(front, path, f'{path}-{number}', sent, record)))
        await asyncio.sleep(1 / RATE_PER_S)
    await asyncio.gather(*pending)


async def main():
    record = s.Record(FOLDER)
    store = s.Store()
    await store.start()
    servers = [s.Server(f'i-{n}', 'svc-a' if n <= 2 else 'svc-b')
               for n in range(1, 6)]
    for server in servers:
        await server.start()
        await store.put('servers', server.id, server.entry('za'))
    first = s.route('first', 'svc-a')
    services = ['svc-a', 'svc-b']
    await store.put('op', 'config', s.manifest(3, [first], services))
    ips = [f'127.0.{n + 1}.1' for n in range(ENTRIES)]
    port = s.free_port(ips)
    fleet = s.Fleet()
    try:
        for n, ip in enumerate(ips):
            name = f'edge-za-{n + 1}'
            await fleet.start(name, 'entry', s.settings(
                name, 'entry', ip, port, 'za', ('za',),
                [f'{ips[0]}:{port + 2}'], store.address))
        await s.wait_ready([f'{ip}:{port + 1}' for ip in ips])
        await asyncio.sleep(4.0)
        fronts = [f'{ip}:{port}' for ip in ips]
        broken = await play(store, first, services, fronts, servers, record)
    finally:
        await fleet.stop()
    return broken


async def play(store, first, services, fronts, servers, record):
    await store.put('op', 'config', s.manifest(
        5, [first, s.route('added', 'svc-b')], services))
    record.write('version 5 adds route added')
    await asyncio.sleep(CONFIG_S + 1.0)
    if TROUBLE:
        for server in servers[2:]:
            entry = server.entry('za')
            entry['born'] += LATER_MS
            del entry['slots'], entry['sequence']
            await store.put('servers', f'copy-{server.id}', entry)
        record.write('another writer has written entries without slots')
    sent = []
    await ordinary_clients(fronts, ('first', 'added'), sent, record,
                           time.monotonic() + LENGTH_S)
    return judge(sent, record)


def judge(sent, record):
    counts = {path: [status for p, status in sent if p == path]
              for path in ('first', 'added')}
    text = ', '.join(f'{path}: {found.count(200)} of {len(found)} served'
                     for path, found in counts.items())
    record.write(text)
    print(text)
    first, added = counts['first'], counts['added']
    if len(added) < MIN_REQUESTS or not first.count(200):
        return None
    return (added.count(200) / len(added) <
            MIN_RATIO * first.count(200) / len(first))


if __name__ == '__main__':
    s.run(main)
