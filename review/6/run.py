"""Cuts the three hosts that follow the store off from it, silently."""

import asyncio
import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common_2'))
import stand_ins as s  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
ZONES = ('za', 'zb', 'zc')
SERVER_ZONES = ('za', 'zb', 'zc', 'za', 'za')
ENTRIES = 9
CUT = 3  # a share of 0.35 of nine machines
CUT_S = 8.0
DRAIN_S = 2.0
CONFIG_S = 2.0
SETTLE_S = 8.0
JOINED_S = 0.3
CUT_BEFORE_S = 0.1
RATE_PER_HOST_S = 20.0


async def send_requests(front, name, sent, record, until):
    """Sends requests to one host at a steady rate; notes each one."""
    number = 0
    pending = set()
    while time.monotonic() < until:
        number += 1
        for path in ('look', 'gone'):
            request_id = f'{name}-{path}-{number}'
            pending.add(asyncio.create_task(
                send_one(front, name, path, request_id, sent, record)))
        await asyncio.sleep(1 / RATE_PER_HOST_S)
    await asyncio.gather(*pending)


async def send_one(front, name, path, request_id, sent, record):
    at = time.monotonic()
    sent[request_id] = (at, name, path)
    status, _ = await s.call(front, 'GET', f'/{path}/x',
                             s.request_headers(request_id))
    sent[request_id] = (at, name, path, status)
    record.write(f'answered {request_id} {status}')


async def main():
    record = s.Record(FOLDER)
    store = s.Store()
    await store.start()
    servers = [s.Server(f'i-{n}', 'svc') for n in range(1, 6)]
    for server, zone in zip(servers, SERVER_ZONES):
        await server.start()
    for server, zone in zip(servers[:-1], SERVER_ZONES):
        await store.put('servers', server.id, server.entry(zone))
    routes = [s.route('look', 'svc'), s.route('gone', 'svc')]
    await store.put('op', 'config', s.manifest(3, routes, ['svc']))
    ips = [f'127.0.{n + 1}.1' for n in range(ENTRIES)]
    port = s.free_port(ips)
    fleet = s.Fleet()
    links = {}
    fronts = {}
    try:
        for n, ip in enumerate(ips):
            name = f'edge-{ZONES[n % 3]}-{n // 3 + 1}'
            links[name] = s.Link(store.address)
            await links[name].start()
            fronts[name] = f'{ip}:{port}'
            seeds = [f'{other}:{port + 2}' for other in ips[:3]]
            await fleet.start(name, 'entry', s.settings(
                name, 'entry', ip, port, ZONES[n % 3], ZONES, seeds,
                links[name].address))
        await s.wait_ready([f'{ip}:{port + 1}' for ip in ips])
        await asyncio.sleep(SETTLE_S)
        broken = await play(store, servers, links, fronts, record)
    finally:
        await fleet.stop()
    return broken


async def play(store, servers, links, fronts, record):
    now = time.monotonic()
    followers = [name for name, link in links.items()
                 if now - link.feeds_at < 3.0]
    record.write(f'hosts that follow the store: {followers}')
    if len(followers) > CUT:
        record.write('more hosts follow the store than may be cut')
        return None
    sent = {}
    until = now + CUT_S + 3.0
    traffic = [asyncio.create_task(
        send_requests(front, name, sent, record, until))
        for name, front in fronts.items()]
    await asyncio.sleep(1.0)
    # The first server is replaced: the new one starts first.
    await store.put('servers', servers[-1].id,
                    servers[-1].entry(SERVER_ZONES[-1]))
    record.write(f'the store acknowledges that {servers[-1].id} has joined')
    await asyncio.sleep(JOINED_S)
    if TROUBLE:
        for name in followers:
            links[name].cut()
        record.write(f'cut off from the store: {followers}')
    await asyncio.sleep(CUT_BEFORE_S)
    # A server that never reports that it drains leaves; it serves on.
    removed_at = await store.put('servers', servers[0].id, None)
    record.write(f'the store acknowledges that {servers[0].id} is gone')
    changed_at = await store.put('op', 'config', s.manifest(
        5, [s.route('look', 'svc')], ['svc']))
    record.write('the store acknowledges version 5 without route gone')
    await asyncio.sleep(CUT_S)
    for name in followers:
        links[name].heal()
    await asyncio.gather(*traffic)
    return judge(sent, servers, followers if TROUBLE else (), removed_at,
                 changed_at, record)


def judge(sent, servers, cut, removed_at, changed_at, record):
    late = [(at - removed_at, request_id)
            for at, request_id in servers[0].arrivals
            if at > removed_at + DRAIN_S and sent[request_id][1] not in cut]
    for after, request_id in late:
        record.write(f'DRAIN: {request_id} reached {servers[0].id} '
                     f'{after:.3f} s after it was gone')
    ran = {i for server in servers for _, i in server.arrivals}
    old = [(entry[0] - changed_at, request_id)
           for request_id, entry in sent.items()
           if entry[2] == 'gone' and entry[0] > changed_at + CONFIG_S and
           entry[1] not in cut and request_id in ran]
    for after, request_id in old:
        record.write(f'CONFIG: {request_id} sent {after:.3f} s after the '
                     'version that drops its route was acknowledged, ran')
    answered = sum(len(e) > 3 and e[3] == 200 for e in sent.values())
    last = max((a for a, _ in late), default=0), max(
        (a for a, _ in old), default=0)
    text = (f'{len(sent)} requests, {answered} with 200; DRAIN {len(late)} '
            f'(last {last[0]:.2f} s), CONFIG {len(old)} (last {last[1]:.2f} s)')
    record.write(text)
    print(text)
    return bool(late) if answered else None


if __name__ == '__main__':
    s.run(main)
