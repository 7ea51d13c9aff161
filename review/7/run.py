"""Streams pause, within their clients' patience, around a planned stop."""

import asyncio
import os
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common_2'))
import stand_ins as s  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
STREAMS = 24
EVENTS = 12
GAP_S = 0.1
PAUSE_S = 1.85 if TROUBLE else GAP_S
PAUSE_AFTER = 6
PATIENCE_S = 2.0
GRACE_S = 8.0


class PausingServer(s.ModelServer):
    """Preempts each stream once in its middle, and then goes on."""

    async def handle(self, method, target, headers, body, writer):
        request_id = headers.get('pollenthread-request-id', '')
        lines = ['HTTP/1.1 200 OK', 'Content-Type: text/event-stream',
                 'Transfer-Encoding: chunked',
                 f'Pollenthread-Request-Id: {request_id}',
                 f'Pollenthread-Response-Stamp: s.{request_id}']
        writer.write(('\r\n'.join(lines) + '\r\n\r\n').encode())
        for number in range(1, EVENTS + 1):
            event = f'id: {number}\ndata: piece {number}\n\n'.encode()
            writer.write(b'%x\r\n%s\r\n' % (len(event), event))
            await writer.drain()
            await asyncio.sleep(PAUSE_S if number == PAUSE_AFTER else GAP_S)
        writer.write(b'0\r\n\r\n')


async def client(front, number, results, record):
    """Reads a stream; gives up after a gap of PATIENCE_S, as clients do."""
    request_id = f'chat-{number}'
    host, _, port = front.partition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    lines = ['POST /chat/x HTTP/1.1', 'Content-Length: 0',
             *(f'{name}: {value}' for name, value in s.request_headers(
                 request_id, timeout_ms=8000))]
    writer.write(('\r\n'.join(lines) + '\r\n\r\n').encode())
    data = b''
    outcome = 'whole'
    began = time.monotonic()
    try:
        while not data.endswith(b'0\r\n\r\n'):
            async with asyncio.timeout(PATIENCE_S):
                more = await reader.read(65536)
            if not more:
                outcome = 'cut'
                break
            data += more
    except TimeoutError:
        outcome = 'given up'
    except ConnectionError:
        outcome = 'cut'
    writer.close()
    results.append(outcome)
    record.write(f'{request_id} {outcome} after {data.count(b"data:")} events '
                 f'and {time.monotonic() - began:.2f} s')


async def main():
    record = s.Record(FOLDER)
    store = s.Store()
    await store.start()
    servers = [PausingServer(f'm-{n}', 'svc', store, 'za', set(), 0.0, record)
               for n in range(1, 5)]
    for server in servers:
        await server.start()
        await server.list()
    chat = s.route('chat', 'svc', 'streaming', 1)
    chat.update(timeout_ms=8000, can_resume=False, gap_aim_ms=120)
    await store.put('op', 'config', s.manifest(3, [chat], ['svc']))
    ips = ['127.0.1.1', '127.0.2.1']
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
        pending = []
        for number in range(STREAMS):
            pending.append(asyncio.create_task(client(
                f'{ips[0]}:{port}', number, results, record)))
            await asyncio.sleep(0.02)
        await asyncio.sleep(0.1)
        stopped = fleet.processes['edge-za-1']
        stopped.send_signal(signal.SIGTERM)
        at = time.monotonic()
        record.write('edge-za-1 gets SIGTERM')
        await asyncio.gather(*pending)
        async with asyncio.timeout(GRACE_S):
            await stopped.wait()
        record.write(f'it ends {time.monotonic() - at:.2f} s later')
    finally:
        await fleet.stop()
    cut = results.count('cut')
    text = (f'{len(results)} streams, {results.count("whole")} whole, {cut} cut '
            f'by the host, {results.count("given up")} given up')
    record.write(text)
    print(text)
    return cut > 0 if results else None


if __name__ == '__main__':
    s.run(main)
