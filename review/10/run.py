"""The 17th part of long prompts crashes each server that begins to answer."""

import asyncio
import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common_2'))
import stand_ins as s  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
POSITION = int(os.environ.get('POSITION', '17'))
ENTRIES = 3
SERVERS = 8
DOWN_S = 2.0
STABLE_WINDOW_S = 3.0
FIRST_CRASHES = 5
MAX_REQUESTS = 3
LENGTH_S = 40.0
SOUND_PER_S = 8.0
DEADLY_GAP_S = 1.0
PARTS = 18  # before the last one, which is the request's own
DEADLY = 'dead0001'


def prefix(number, deadly):
    parts = [f'{0xab0000 + n:06x}' for n in range(1, PARTS + 1)]
    if deadly:
        parts[POSITION - 1] = DEADLY
    parts.append(f'{0xe0000000 + number:08x}')
    return ','.join(f'{part}:40' for part in parts)


async def send(front, number, deadly, results, record):
    request_id = f'{"deadly" if deadly else "sound"}-{number}'
    at = time.monotonic()
    status, events, whole = await s.stream_call(front, f'/chat/{number}', [
        *s.request_headers(request_id, timeout_ms=8000),
        ('Pollenthread-Model', 'm'), ('Pollenthread-Token-Count', '760,30'),
        ('Pollenthread-Prompt-Prefix', prefix(number, deadly))])
    results.append((at, deadly, status, whole))
    record.write(f'{request_id} answered {status}, {events} events, '
                 f'{"whole" if whole else "broken off"}')


async def clients(fronts, gap_s, deadly, base, results, record, until):
    pending = set()
    number = base
    while time.monotonic() < until:
        number += 1
        pending.add(asyncio.create_task(send(
            fronts[number % len(fronts)], number, deadly, results, record)))
        await asyncio.sleep(gap_s)
    await asyncio.gather(*pending)


async def main():
    record = s.Record(FOLDER)
    store = s.Store()
    await store.start()
    deadly = {DEADLY} if TROUBLE else set()
    servers = [s.ModelServer(f'm-{n}', 'svc', store, 'za', deadly, DOWN_S,
                             record) for n in range(1, SERVERS + 1)]
    for server in servers:
        await server.start()
        await server.list()
    chat = s.route('chat', 'svc', 'streaming', 1)
    chat.update(timeout_ms=8000, sticky=True, can_resume=False, gap_aim_ms=120)
    await store.put('op', 'config', s.manifest(3, [chat], ['svc']))
    ips = [f'127.0.{n + 1}.1' for n in range(ENTRIES)]
    port = s.free_port(ips)
    fleet = s.Fleet()
    results = []
    try:
        for n, ip in enumerate(ips):
            name = f'edge-za-{n + 1}'
            await fleet.start(name, 'entry', s.settings(
                name, 'entry', ip, port, 'za', ('za',),
                [f'{ips[0]}:{port + 2}'], store.address))
        await s.wait_ready([f'{ip}:{port + 1}' for ip in ips])
        await asyncio.sleep(4.0)
        fronts = [f'{ip}:{port}' for ip in ips]
        until = time.monotonic() + LENGTH_S
        sound = asyncio.create_task(clients(
            fronts, 1 / SOUND_PER_S, False, 0, results, record, until))
        await asyncio.sleep(3.0)
        await clients(fronts, DEADLY_GAP_S, True, 10_000, results, record,
                      until)
        await sound
    finally:
        await fleet.stop()
    return judge(servers, results, record)


def judge(servers, results, record):
    crashes = sorted(at for server in servers for at in server.crashes)
    reached = sorted(at for server in servers for at, _, parts in server.runs
                     if DEADLY in parts)
    late = []
    if len(crashes) >= FIRST_CRASHES:
        since = crashes[FIRST_CRASHES - 1] + STABLE_WINDOW_S
        late = [at for at in reached if at > since]
    sound = [(status, whole) for _, deadly, status, whole in results
             if not deadly]
    ok = sound.count((200, True))
    text = (f'{len(crashes)} crashes, {len(reached)} deadly requests reached '
            f'servers, {len(late)} of them later than {STABLE_WINDOW_S} s '
            f'after crash {FIRST_CRASHES}; {ok} of {len(sound)} sound served')
    record.write(text)
    print(text)
    return len(late) > MAX_REQUESTS if ok else None


if __name__ == '__main__':
    s.run(main)
