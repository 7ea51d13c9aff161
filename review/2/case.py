"""RECOVER: all machines lose power; the servers return under their ids."""

import asyncio
import collections
import itertools
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import lab  # noqa: E402

ENTRIES = 2
SERVERS = 4
# As in the site file: closing = { kind = "power_off_all", down_s = 0.87 }.
DOWN_S = 0.87
# From power to the model server's open port, and from there to its first
# heartbeat; the next ones follow each 1.2 s.
LOADING_S = 1.6
FIRST_HEARTBEAT_S = 0.6
# The store removes an entry after three heartbeats of silence.
LAPSE_S = 3.6
RECOVER_S = 12.0
BEFORE_S = 8.0
JUDGED_S = 10.0
REQUESTS_PER_S = 10
DEADLINE_MS = 1500


class Heartbeats:
    """Keeps the entries of the servers in the store."""

    def __init__(self, store, record):
        self._store = store
        self._record = record
        self._written_at = {}
        self.is_listed = {}

    def write(self, server):
        self._written_at[server.id] = time.monotonic()
        self.is_listed[server.id] = True
        server.register(self._store)
        self._record.write('registered', server.id, 'born', server.born)

    def next_at(self):
        return max(self._written_at.values()) + lab.Server.HEARTBEAT_S

    async def expire(self):
        while True:
            await asyncio.sleep(0.05)
            for server_id, at in self._written_at.items():
                if (self.is_listed[server_id] and
                        time.monotonic() - at > LAPSE_S):
                    self.is_listed[server_id] = False
                    self._store.put('servers', server_id, None)
                    self._record.note('entry removed', server_id)


async def live(server, heartbeats, wait_s):
    """One life of a server: starts, then writes its entry again and again."""
    await asyncio.sleep(wait_s)
    await server.start()
    server.record.write('started', server.id, 'born', server.born)
    await asyncio.sleep(FIRST_HEARTBEAT_S if wait_s else 0)
    while True:
        heartbeats.write(server)
        await asyncio.sleep(server.HEARTBEAT_S)


class Clients:

    def __init__(self, site, record):
        self._site = site
        self._record = record
        self._ids = itertools.count(1)
        self.outcomes = []

    async def send(self, number):
        request_id = f'{next(self._ids):016x}'
        at = time.monotonic()
        channel = lab.Channel(self._site.address(number, 'front'))
        answer = await channel.request(
            'GET', f'/score/{request_id}',
            lab.request_headers(request_id, DEADLINE_MS), patience_s=2.0)
        channel.close()
        status = answer.status if answer else 'no answer'
        self._record.write('request', request_id, f'entry-{number}', status)
        self.outcomes.append((at, status))

    async def run(self):
        tasks = set()
        for count in itertools.count():
            task = asyncio.create_task(self.send(1 + count % ENTRIES))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(1 / REQUESTS_PER_S)

    def share(self, begin, end):
        """Returns the share of the requests of a time that were served."""
        found = [s for at, s in self.outcomes if begin <= at < end]
        self._record.note('requests', len(found), 'by status',
                          dict(collections.Counter(found)))
        return sum(s == 200 for s in found) / max(1, len(found))


async def case(record):
    site = lab.Site(entries=ENTRIES, agents=SERVERS)
    try:
        return await play(site, record)
    finally:
        await site.stop()
        site.close()


async def play(site, record):
    await site.store.start()
    heartbeats = Heartbeats(site.store, record)
    servers, lives = [], []
    for rank in range(SERVERS):
        number = 100 + rank
        server = lab.Server(site.ip(number), f'i-{rank}', 'llm', record,
                            group='g0', rank=rank, size=SERVERS)
        servers.append(server)
        lives.append(asyncio.create_task(live(server, heartbeats, 0)))
    await asyncio.sleep(0.2)
    for rank, server in enumerate(servers):
        site.add_agent(100 + rank, server.address, 'llm')
    site.put_config([lab.route('score', 'idempotent', 'llm')],
                    [{
                        'name': 'llm', 'health_path': '/healthz',
                        'max_connections': 258
                    }])
    for number in range(1, ENTRIES + 1):
        site.add_entry(number)
    programs = (*site.entries, *site.agents)
    for program in programs:
        await program.start()
    await site.wait_ready()
    expiry = asyncio.create_task(heartbeats.expire())
    await asyncio.sleep(3.0)
    clients = Clients(site, record)
    began = time.monotonic()
    traffic = asyncio.create_task(clients.run())
    await asyncio.sleep(BEFORE_S)
    # Soon after a heartbeat, so that the entries have not lapsed when the
    # servers are back.
    await asyncio.sleep(max(0.0, heartbeats.next_at() - time.monotonic()))
    await asyncio.sleep(0.1)
    fault_at = time.monotonic()
    if lab.has_trouble():
        record.note('all machines lose power')
        for task in lives:
            task.cancel()
        for server in servers:
            server.stop()
        for program in programs:
            program.signal(signal.SIGKILL)
        await asyncio.sleep(DOWN_S)
        record.note('all machines have power')
        lives[:] = [
            asyncio.create_task(live(server, heartbeats, LOADING_S))
            for server in servers
        ]
        for program in programs:
            await program.start()
    back_at = time.monotonic()
    await asyncio.sleep(RECOVER_S + JUDGED_S)
    traffic.cancel()
    expiry.cancel()
    for task in lives:
        task.cancel()
    before = clients.share(began + 1, fault_at - 2)
    after = clients.share(back_at + RECOVER_S, time.monotonic() - 2)
    record.note(f'served before {before:.2f}, later than {RECOVER_S} s after '
                f'the machines are back {after:.2f}')
    return lab.FAILED if before >= 0.25 > after else lab.HELD


if __name__ == '__main__':
    lab.run(FOLDER, case)
