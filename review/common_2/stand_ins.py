"""Stand-ins for the platform's store, servers and clients, and helpers.

They use the standard library only. Every address is a loopback address.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = 'site.example'
KEY = 'key-0123456789abcdef'
MAX_CASE_S = 110.0


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self._file = open(folder / 'record.txt', 'w', encoding='utf-8')
        self._began = time.monotonic()

    def write(self, text):
        self._file.write(f'{time.monotonic() - self._began:9.3f} {text}\n')
        self._file.flush()


async def read_message(reader):
    """Reads one HTTP message with a length; None at the end."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines:
        name, colon, value = line.partition(':')
        if colon:
            headers[name.strip().lower()] = value.strip()
    try:
        body = await reader.readexactly(int(headers.get('content-length', 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return first, headers, body


def answer(status, body=b'', headers=()):
    lines = [f'HTTP/1.1 {status} X', f'Content-Length: {len(body)}']
    lines += [f'{name}: {value}' for name, value in headers]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1') + body


class HttpServer:
    """Serves one request at a time on each connection."""

    def __init__(self):
        self.address = ''
        self._server = None
        self._writers = set()

    async def start(self, ip='127.0.0.1', port=0):
        self._server = await asyncio.start_server(self._serve, ip, port)
        name = self._server.sockets[0].getsockname()
        self.address = f'{name[0]}:{name[1]}'

    async def stop(self):
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                first, headers, body = message
                method, target, _ = first.split(' ', 2)
                await self.handle(method, target, headers, body, writer)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def handle(self, method, target, headers, body, writer):
        raise NotImplementedError


class Store(HttpServer):
    """The platform's store: rows, transactions and the feed."""

    def __init__(self):
        super().__init__()
        self.ver = 0
        self.rows = {}
        self._changed = asyncio.Condition()

    async def put(self, table, key, value):
        """Writes as the operator or a server does; None removes the row."""
        async with self._changed:
            self._put(table, key, None if value is None else
                      base64.b64encode(json.dumps(value).encode()).decode())
            self._changed.notify_all()
        return time.monotonic()

    def _put(self, table, key, value):
        self.ver += 1
        row = {'table': table, 'part': '', 'key': key, 'ver': self.ver}
        row.update({'removed': True} if value is None else {'value': value})
        self.rows[table, key] = row

    def _reply(self, writer, status, **fields):
        fields.update(ver=self.ver, now_ms=int(time.monotonic() * 1000))
        writer.write(answer(status, json.dumps(fields).encode(),
                            [('Content-Type', 'application/json'),
                             ('Store-Era', '1')]))

    async def handle(self, method, target, headers, body, writer):
        path, _, query = target.partition('?')
        args = dict(urllib.parse.parse_qsl(query))
        await asyncio.sleep(0.004)
        if path == '/pollenthread/rows-get':
            rows = [r for (table, key), r in sorted(self.rows.items())
                    if table == args['table'] and 'removed' not in r and
                    key >= args.get('from', '')]
            self._reply(writer, 200, rows=rows[:500], has_more=len(rows) > 500)
        elif path == '/pollenthread/rows-feed':
            await self._feed(args, writer)
        elif path == '/pollenthread/rows-tx':
            await self._transact(json.loads(body), writer)
        else:
            self._reply(writer, 404)

    async def _feed(self, args, writer):
        after = int(args['after'])

        def found():
            return [r for (table, _), r in self.rows.items()
                    if table == args['table'] and r['ver'] > after]

        if after > self.ver:
            self._reply(writer, 410)
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(args['wait_ms']) / 1000):
                async with self._changed:
                    await self._changed.wait_for(found)
        self._reply(writer, 200,
                    rows=sorted(found(), key=lambda r: r['ver']))

    async def _transact(self, call, writer):
        for wanted in call.get('expected_revision', ()):
            row = self.rows.get((wanted['table'], wanted['key']))
            ver = row['ver'] if row and 'removed' not in row else 0
            if ver != wanted['ver']:
                self._reply(writer, 412, rows=[row] if row else [])
                return
        async with self._changed:
            for row in call.get('puts', ()):
                self._put(row['table'], row['key'], row['value'])
            for row in call.get('deletes', ()):
                self._put(row['table'], row['key'], None)
            self._changed.notify_all()
        self._reply(writer, 200)


class Link:
    """A path from one machine to the store, which can be cut silently."""

    def __init__(self, target):
        self._target = target
        self._open = asyncio.Event()
        self._open.set()
        self.feeds_at = 0.0
        self.address = ''
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._accept, '127.0.0.1', 0)
        name = self._server.sockets[0].getsockname()
        self.address = f'{name[0]}:{name[1]}'

    def cut(self):
        self._open.clear()

    def heal(self):
        self._open.set()

    async def _accept(self, reader, writer):
        host, _, port = self._target.partition(':')
        await self._open.wait()
        try:
            far_reader, far_writer = await asyncio.open_connection(host, port)
        except OSError:
            writer.close()
            return
        await asyncio.gather(self._pump(reader, far_writer, True),
                             self._pump(far_reader, writer, False))

    async def _pump(self, reader, writer, is_request):
        try:
            while data := await reader.read(65536):
                await self._open.wait()
                if is_request and b'rows-feed?table=servers' in data:
                    self.feeds_at = time.monotonic()
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()


class Server(HttpServer):
    """A sound server of a plain service."""

    def __init__(self, name, service, work_s=0.02):
        super().__init__()
        self.id = name
        self.service = service
        self.work_s = work_s
        self.weights = 1
        self.born = int(time.time() * 1000)
        self.arrivals = []

    def entry(self, zone, state='ready'):
        return {'service': self.service, 'address': self.address,
                'zone': zone, 'version': '1', 'slots': 6, 'state': state,
                'cold_remaining_ms': 0, 'sequence': 1, 'born': self.born}

    async def handle(self, method, target, headers, body, writer):
        request_id = headers.get('pollenthread-request-id', '')
        echo = [('Pollenthread-Request-Id', request_id)]
        wanted = headers.get('pollenthread-target-instance', self.id)
        if wanted != self.id:
            writer.write(answer(421, b'', echo))
            return
        pinned = headers.get('pollenthread-expected-version')
        if pinned is not None and pinned != str(self.weights):
            writer.write(answer(421, b'', [
                *echo, ('Pollenthread-Not-Executed', '1'),
                ('At-Server', self.id)]))
            return
        self.arrivals.append((time.monotonic(), request_id))
        await asyncio.sleep(self.work_s)
        writer.write(answer(200, f'ran {request_id}'.encode(), [
            *echo, ('Pollenthread-Response-Stamp', f's.{request_id}'),
            ('Pollenthread-Weight-Versions', str(self.weights)),
            ('Pollenthread-Server-Load', '1,0,6')]))


class ModelServer(HttpServer):
    """A model server that answers with a stream of events.

    It crashes when it begins to write an answer on a deadly part of a prompt,
    and starts again under its id some seconds later.
    """

    EVENTS = 5

    def __init__(self, name, service, store, zone, deadly, down_s, record):
        super().__init__()
        self.id = name
        self.service = service
        self.runs = []
        self.crashes = []
        self._store = store
        self._zone = zone
        self._deadly = deadly
        self._down_s = down_s
        self._record = record
        self._born = 0
        self.failing_share = 0.0
        self._rng = random.Random(name)

    async def list(self):
        """Writes the server's entry."""
        self._born = int(time.time() * 1000)
        await self._store.put('servers', self.id, {
            'service': self.service, 'address': self.address,
            'zone': self._zone, 'version': '1', 'slots': 6, 'state': 'ready',
            'cold_remaining_ms': 0, 'sequence': 1, 'born': self._born})

    async def handle(self, method, target, headers, body, writer):
        request_id = headers.get('pollenthread-request-id', '')
        echo = [('Pollenthread-Request-Id', request_id)]
        if headers.get('pollenthread-target-instance', self.id) != self.id:
            writer.write(answer(421, b'',
                                [*echo, ('Pollenthread-Not-Executed', '1')]))
            return
        parts = [item.partition(':')[0].strip() for item in headers.get(
            'pollenthread-prompt-prefix', '').split(',')]
        self.runs.append((time.monotonic(), request_id, parts))
        if self._rng.random() < self.failing_share:
            writer.write(answer(500, b'failed', [
                *echo, ('Pollenthread-Response-Stamp', f's.{request_id}')]))
            return
        await asyncio.sleep(0.05)
        lines = ['HTTP/1.1 200 OK', 'Content-Type: text/event-stream',
                 'Transfer-Encoding: chunked',
                 f'Pollenthread-Response-Stamp: s.{request_id}',
                 *(f'{name}: {value}' for name, value in echo)]
        writer.write(('\r\n'.join(lines) + '\r\n\r\n').encode())
        await writer.drain()
        if any(part in self._deadly for part in parts):
            await asyncio.sleep(0.005)
            await self._crash(request_id)
            raise ConnectionResetError('crashed')
        for number in range(1, self.EVENTS + 1):
            event = f'id: {number}\ndata: piece {number}\n\n'.encode()
            writer.write(b'%x\r\n%s\r\n' % (len(event), event))
            await writer.drain()
            await asyncio.sleep(0.02)
        writer.write(b'0\r\n\r\n')

    async def _crash(self, request_id):
        if not self._server.is_serving():
            return
        self.crashes.append(time.monotonic())
        self._record.write(f'{self.id} crashes under {request_id}')
        await self.stop()
        asyncio.create_task(self._restart())

    async def _restart(self):
        await asyncio.sleep(self._down_s)
        ip, _, port = self.address.partition(':')
        await self.start(ip, int(port))
        await self.list()
        self._record.write(f'{self.id} is back')


def free_port(ips):
    """Returns the first of 40 successive ports that are free on all ips."""
    for _ in range(200):
        port = random.randrange(20000, 50000)
        if all(_is_free(ip, port + n) for ip in ips for n in range(40)):
            return port
    raise OSError('no free ports')


def _is_free(ip, port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind((ip, port))
            except OSError:
                return False
    return True


def settings(name, role, ip, port, zone, zones, seeds, store):
    """Returns a settings file like that of a small deployment."""
    listen = '\n'.join(f'{what} = "{ip}:{port + n}"' for n, what in enumerate(
        ('front', 'ready', 'control', 'directory')))
    return f'''node_name = "{name}"
role = "{role}"
machine_class = "edge"
serves = ["edge","directory","control_plane"]
ip = "{ip}"
zone = "{zone}"
region = "r"
internal_ports = [{port + 10}, {port + 25}]
seeds = {json.dumps(seeds)}
bootstrap = true
counts_toward_loss = false
discovery = "platform"
entry = "directory"
heartbeat_ms = 1200
[zones]
{chr(10).join(f'{z} = "r"' for z in zones)}
[listen]
{listen}
[limits]
cpu_share = 0.537
cores = 2
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[bounds]
stable_window_ms = 3000
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_ms = 2000
budget_ratio = 0.2
budget_window_s = 10
budget_extra_tries = 94
recover_s = 12
ttl_max_s = 5
[platform]
address = "{store}"
form = "table"
writes_per_s = 400
reads_per_s = 2000
tx_ms = 6.0
row_bytes = 65536
history_s = 20
'''


class Fleet:
    """The project's own processes, started as the deploy file says."""

    def __init__(self):
        self.folder = tempfile.TemporaryDirectory(prefix='review-')
        self.processes = {}

    def command(self, role):
        import tomllib
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        words = deploy['roles'][role]['run'].split()
        return [sys.executable if words[0] == 'python3' else words[0],
                *words[1:]]

    async def start(self, name, role, text):
        path = pathlib.Path(self.folder.name) / f'{name}.toml'
        path.write_text(text, 'utf-8')
        log = open(pathlib.Path(self.folder.name) / f'{name}.log', 'ab')
        self.processes[name] = await asyncio.create_subprocess_exec(
            *self.command(role), cwd=ROOT, stdout=log, stderr=log,
            stdin=asyncio.subprocess.DEVNULL,
            env={'PATH': os.environ.get('PATH', ''),
                 'HOME': os.environ.get('HOME', ''),
                 'PYTHONPATH': f'{ROOT}:{ROOT / "target/deps"}',
                 'PYTHONDONTWRITEBYTECODE': '1',
                 'POLLENTHREAD_CONFIG': str(path)})

    async def stop(self):
        for process in self.processes.values():
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                await process.wait()
        self.folder.cleanup()


async def call(address, method, target, headers=(), body=b'', timeout_s=3.0):
    """Sends one request on a new connection; returns status and body."""
    host, _, port = address.partition(':')
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
            try:
                lines = [f'{method} {target} HTTP/1.1',
                         f'Content-Length: {len(body)}']
                if not any(name == 'Host' for name, _ in headers):
                    lines.append(f'Host: {address}')
                lines += [
                    f'{name}: {value}' for name, value in headers]
                writer.write(('\r\n'.join(lines) + '\r\n\r\n').encode() + body)
                message = await read_message(reader)
            finally:
                writer.close()
    except (OSError, TimeoutError):
        return 0, b''
    return (0, b'') if message is None else (int(message[0].split()[1]),
                                             message[2])


async def wait_ready(addresses):
    """Waits until the entry hosts say at their ready addresses that they are."""
    async with asyncio.timeout(20):
        for address in addresses:
            while (await call(address, 'GET',
                              '/pollenthread/readyz'))[0] != 200:
                await asyncio.sleep(0.1)


async def stream_call(address, target, headers, timeout_s=8.0):
    """Sends a request; returns the status, the events, and if it was whole."""
    host, _, port = address.partition(':')
    data = b''
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
            try:
                lines = [f'POST {target} HTTP/1.1', 'Content-Length: 0',
                         *(f'{name}: {value}' for name, value in headers)]
                writer.write(('\r\n'.join(lines) + '\r\n\r\n').encode())
                head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
                status = int(head.split()[1])
                if 'chunked' not in head.lower():
                    return status, 0, True
                while not data.endswith(b'0\r\n\r\n'):
                    more = await reader.read(65536)
                    if not more:
                        return status, data.count(b'data:'), False
                    data += more
                return status, data.count(b'data:'), True
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, 0, False


def request_headers(request_id, key=KEY, timeout_ms=1500):
    return [('Host', HOST), ('Pollenthread-Request-Id', request_id),
            ('Pollenthread-Deadline-Ms', str(timeout_ms)),
            ('Authorization', f'Bearer {key}')]


def route(name, service, kind='idempotent', attempts=2):
    return {'name': name, 'host': HOST, 'path_prefix': f'/{name}/',
            'kind': kind, 'timeout_ms': 1500, 'target_latency_ms': 400,
            'priority': 1, 'service': service, 'max_attempts': attempts}


def manifest(version, routes, services, keys=(KEY,)):
    return {'version': version, 'routes': routes,
            'services': [{'name': name, 'health_path': '/healthz',
                          'max_connections': 110} for name in services],
            'limits': {'max_header_bytes': 16384, 'max_body_bytes': 4194304,
                       'header_timeout_ms': 3000, 'idle_timeout_ms': 15000},
            'tenants': [{'name': 'buna', 'api_keys': list(keys),
                         'priority': 1}]}


async def _limited(main):
    """Runs a case, which ends its processes also when it is stopped."""
    task = asyncio.current_task()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    async with asyncio.timeout(MAX_CASE_S):
        return await main()


def run(main):
    """Runs a case; exits with 1 if the rule was broken, 2 if it can't run."""
    try:
        broken = asyncio.run(_limited(main))
    except (Exception, asyncio.CancelledError) as error:
        print(f'{type(error).__name__}: {error}')
        sys.exit(2)
    sys.exit(2 if broken is None else int(broken))
