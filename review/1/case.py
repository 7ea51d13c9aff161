"""LOST: agents of model servers are killed; entry hosts must go on."""

import asyncio
import collections
import itertools
import pathlib
import random
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import lab  # noqa: E402

ENTRIES = 3
SERVERS = 2
SLOTS = 96
# The longest dose of `herd_kill` in the site file: .55 of the machines, 2 s.
DOWN_S = 2.0
KILL_EVERY_S = 4.5
LENGTH_S = 75.0
# The case ends so long after an entry host has ended by itself.
AFTERWARDS_S = 1.0
WARM_UP_S = 4.0
REQUESTS_PER_S = 40  # at each entry host
DEADLINE_MS = 1800
WORK_S = (0.3, 1.7)
# RULES: more than three times break LOST.
MOST_LOST = 3


class Clients:
    """Sends requests to one entry host over kept channels."""

    def __init__(self, site, number, record):
        self._address = site.address(number, 'front')
        self._number = number
        self._record = record
        self._idle = []
        self._ids = itertools.count(1)
        self.lost = []
        self.answers = collections.Counter()

    async def send(self):
        channel = self._idle.pop() if self._idle else lab.Channel(
            self._address)
        is_kept = channel.is_open and channel.used > 0
        request_id = f'{self._number:02d}{next(self._ids):014x}'
        self._record.write('sent', f'entry-{self._number}', request_id,
                           'kept' if is_kept else 'new')
        answer = await channel.request(
            'GET', f'/score/{request_id}',
            lab.request_headers(request_id, DEADLINE_MS), patience_s=4.0)
        if answer is None:
            self._record.write('channel closed without an answer', request_id)
            self.answers['no answer'] += 1
            if is_kept:
                self.lost.append((time.monotonic(), request_id))
            return
        self._record.write('answered', request_id, answer.status)
        self.answers[answer.status] += 1
        if channel.is_open:
            self._idle.append(channel)

    async def run(self, has_ended, tasks):
        while not has_ended():
            tasks.append(asyncio.create_task(self.send()))
            await asyncio.sleep(1 / REQUESTS_PER_S)


async def kill_agents(site, record, has_ended):
    """Kills the agents at the same moment, again and again."""
    while not has_ended():
        record.write('SIGKILL of the agents')
        for agent in site.agents:
            agent.signal(signal.SIGKILL)
        await asyncio.sleep(DOWN_S)
        for agent in site.agents:
            await agent.start()
        await asyncio.sleep(KILL_EVERY_S - DOWN_S)


async def case(record):
    site = lab.Site(entries=ENTRIES, agents=SERVERS)
    try:
        return await play(site, record)
    finally:
        await site.stop()
        for program in site.entries:
            if program.ended_by_itself:
                log = program.log.read_text('utf-8')
                record.note(program.name, 'ended:', log.splitlines()[-2])
        site.close()


async def play(site, record):
    rng = random.Random(1)
    await site.store.start()
    servers = []
    for rank in range(SERVERS):
        number = 100 + rank
        server = lab.Server(site.ip(number), f'i-{rank}', 'llm', record,
                            work_s=lambda: rng.uniform(*WORK_S), slots=SLOTS,
                            group='g0', rank=rank, size=SERVERS)
        await server.start()
        server.register(site.store)
        servers.append(server)
        site.add_agent(number, server.address, 'llm')
    site.put_config([lab.route('score', 'idempotent', 'llm')],
                    [{
                        'name': 'llm', 'health_path': '/healthz',
                        'max_connections': 258
                    }])
    for number in range(1, ENTRIES + 1):
        site.add_entry(number)
    for program in (*site.entries, *site.agents):
        await program.start()
    await site.wait_ready()
    await asyncio.sleep(WARM_UP_S)
    until = time.monotonic() + LENGTH_S
    clients = [
        Clients(site, number, record) for number in range(1, ENTRIES + 1)
    ]
    tasks = []

    def has_ended():
        ends = [at for e in site.entries for at, _ in e.ended_by_itself]
        return time.monotonic() > min([until, *(a + AFTERWARDS_S for a in ends)])

    runs = [asyncio.create_task(c.run(has_ended, tasks)) for c in clients]
    if lab.has_trouble():
        runs.append(asyncio.create_task(kill_agents(site, record, has_ended)))
    await asyncio.gather(*runs)
    await asyncio.gather(*tasks)
    ran = set().union(*(server.arrived for server in servers))
    broken = False
    for program, client in zip(site.entries, clients):
        lost = [i for _, i in client.lost if i in ran]
        record.note(program.name, 'answers', dict(client.answers),
                    'ended by itself', len(program.ended_by_itself),
                    'passed on from kept channels and lost', len(lost))
        broken = broken or len(lost) > MOST_LOST
    record.note('LOST', 'broken' if broken else 'held')
    return lab.FAILED if broken else lab.HELD


if __name__ == '__main__':
    lab.run(FOLDER, case)
