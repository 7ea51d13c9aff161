"""Steps for servers that send what they should not, over real connections."""

import asyncio
import contextlib
import dataclasses
import logging
import re
import socket
import struct
from collections.abc import Iterator
from typing import Any

from behave import given, then, when

from pollenthread.adapters import clock, http_client, http_server
from pollenthread.app import serving_state
from pollenthread.core import routing_config, server_registry
from pollenthread.platform import upstream_http
from pollenthread.roles import platform_handlers
from tests import scenario
from tests.fakes import forwarding

_OK_LINE = b'HTTP/1.1 200 OK\r\n'
_EVENT = re.compile(rb'id: (\d+)\ndata: x\n\n')
_CHUNK = re.compile(rb'([0-9a-f]+)\r\n')
_REPLY_TIMEOUT_S = 10.0
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)


@dataclasses.dataclass
class _Reply:
    """What a server sends for one request, `%` being the request's id.

    Attributes:
        data: the bytes.
        ends: 'keeps', 'closes' or 'resets' the connection afterwards.
    """

    data: bytes
    ends: str = 'keeps'


def _framed(status: bytes, body: bytes, *headers: bytes) -> bytes:
    lines = [
        b'HTTP/1.1 ' + status, *headers,
        b'content-length: %d' % len(body), b'', body
    ]
    return b'\r\n'.join(lines)


def _refusal(has_id: bool) -> bytes:
    own_id = [b'pollenthread-request-id: %'] if has_id else []
    return _framed(b'503 Busy', b'full', b'pollenthread-not-executed: 1',
                   *own_id)


def _answer() -> bytes:
    return _framed(b'200 OK', b'done', b'pollenthread-request-id: %')


def _events(first: int, last: int) -> bytes:
    return b''.join(
        b'id: %d\ndata: x\n\n' % number for number in range(first, last + 1))


def _stream(events: bytes, *, is_complete: bool) -> bytes:
    end = b'0\r\n\r\n' if is_complete else b''
    return (_OK_LINE + b'content-type: text/event-stream\r\n'
            b'pollenthread-request-id: %\r\n'
            b'transfer-encoding: chunked\r\n\r\n' + b'%x\r\n' % len(events) +
            events + b'\r\n' + end)


class _Exchange:
    """An entry host before two addresses whose servers follow one script.

    Attributes:
        replies: what the servers send, request by request.
        ids: the ids of the requests that reached a server.
        answers: what the caller received, request by request.
        kind: the kind of the route.
    """

    def __init__(self) -> None:
        self.replies: list[_Reply] = []
        self.ids: list[str] = []
        self.answers: list[bytes] = []
        self.kind = routing_config.RequestKind.NON_IDEMPOTENT

    async def run(self, requests: int) -> None:
        """Sends requests one after the other."""
        async with asyncio.TaskGroup() as group:
            servers = [
                await asyncio.start_server(self._serve, '127.0.0.1', 0)
                for _ in range(1 if requests > 1 else 2)
            ]
            state = self._state(servers)
            async with http_client.HttpClient() as client:
                request_forwarder = forwarding.make_forwarder(
                    state=state,
                    upstream_client=upstream_http.HttpUpstreamClient(
                        client=client),
                    time=clock.SystemClock())
                handler = platform_handlers.ForwardingHandler(
                    request_forwarder=request_forwarder, state=state)
                async with http_server.HttpServer(handler=handler) as entry:
                    for number in range(requests):
                        call = group.create_task(
                            _call(entry.address, f'r{number + 1}'))
                        self.answers.append(await call)
            for server in servers:
                server.close()

    def _state(self,
               servers: list[asyncio.Server]) -> serving_state.ServingState:
        state = forwarding.make_state()
        is_stream = self.kind is routing_config.RequestKind.STREAM
        route = dataclasses.replace(forwarding.ROUTE,
                                    kind=self.kind,
                                    is_resumable=is_stream)
        state.config = dataclasses.replace(forwarding.CONFIG,
                                           routes_by_host={'h': (route,)})
        for number, server in enumerate(servers):
            host, port = server.sockets[0].getsockname()
            state.server_registry.put(
                server_registry.Server(id=f's{number}',
                                       service='llm',
                                       address=f'{host}:{port}',
                                       data_centre='a',
                                       slots=6,
                                       state=server_registry.ServerState.READY))
        return state

    async def _serve(self, reader: asyncio.StreamReader,
                     writer: asyncio.StreamWriter) -> None:
        """Reads requests of one connection and sends the next replies."""
        while True:
            try:
                head = await reader.readuntil(b'\r\n\r\n')
            except (OSError, asyncio.IncompleteReadError):
                return
            found = re.search(rb'pollenthread-request-id: (\w+)', head)
            request_id = found.group(1) if found else b''
            self.ids.append(request_id.decode())
            reply = self.replies.pop(0) if self.replies else _Reply(_answer())
            writer.write(reply.data.replace(b'%', request_id))
            if reply.ends == 'resets':
                await writer.drain()
                sock = writer.get_extra_info('socket')
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                _RESET_ON_CLOSE)
            if reply.ends != 'keeps':
                writer.close()
                return


async def _call(address: str, request_id: str) -> bytes:
    """Sends a request and returns all bytes up to the end of the connection."""
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(b'POST /x HTTP/1.1\r\nhost: h\r\nconnection: close\r\n'
                 b'content-length: 0\r\npollenthread-deadline-ms: 4000\r\n'
                 b'pollenthread-request-id: ' + request_id.encode() +
                 b'\r\n\r\n')
    data = await asyncio.wait_for(reader.read(-1), _REPLY_TIMEOUT_S)
    writer.close()
    return data


class _FailureRecorder(logging.Handler):
    """Keeps the messages that are logged as errors."""

    def __init__(self) -> None:
        super().__init__(logging.ERROR)
        self.messages: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        self.messages.append(record.getMessage())


@contextlib.contextmanager
def _recorded_failures() -> Iterator[list[str]]:
    recorder = _FailureRecorder()
    logging.getLogger().addHandler(recorder)
    try:
        yield recorder.messages
    finally:
        logging.getLogger().removeHandler(recorder)


def _exchange(context: Any) -> _Exchange:
    if not hasattr(context, 'exchange'):
        context.exchange = _Exchange()
    exchange: _Exchange = context.exchange
    return exchange


def _run(context: Any, requests: int) -> None:
    with _recorded_failures() as failures:
        scenario.run(context, _exchange(context).run(requests))
    context.failures = failures


@given('a server that refuses a request {kind} its id and {ends} the '
       'connection')
def step_refuses(context: Any, kind: str, ends: str) -> None:
    context.refusal = _refusal(kind == 'with')
    _exchange(context).replies.append(_Reply(context.refusal, ends))


@given('it answers the next request')
def step_answers(context: Any) -> None:
    _exchange(context).replies.append(_Reply(_answer()))


@given('it writes the refusal once more when another comes, and {what} that '
       'one')
def step_refuses_again(context: Any, what: str) -> None:
    repeated = context.refusal.replace(b'%', b'r1')
    _exchange(context).replies.append(
        _Reply(repeated +
               _answer()) if what == 'answers' else _Reply(repeated, 'closes'))


@given('a server that breaks off a stream after {count:d} events')
def step_breaks_off(context: Any, count: int) -> None:
    exchange = _exchange(context)
    exchange.kind = routing_config.RequestKind.STREAM
    exchange.replies.append(
        _Reply(_stream(_events(1, count), is_complete=False), 'closes'))


@given('a server that sends an unframed stream of {count:d} events and half of '
       'one')
def step_unframed(context: Any, count: int) -> None:
    exchange = _exchange(context)
    exchange.kind = routing_config.RequestKind.STREAM
    head = (_OK_LINE + b'content-type: text/event-stream\r\n'
            b'pollenthread-request-id: %\r\n\r\n')
    exchange.replies.append(
        _Reply(head + _events(1, count) + b'id: 3\nda', 'closes'))


_OWN_ID = b'pollenthread-request-id: %'
_REPLY_BY_NAME = {
    'status 500 and a text':
        _Reply(_framed(b'500 Oops', b'no such step', _OWN_ID)),
    'status 404 and a text':
        _Reply(_framed(b'404 Gone', b'no such step', _OWN_ID)),
    'status 200 and a text':
        _Reply(
            _framed(b'200 OK', b'no such step\n\n', _OWN_ID,
                    b'content-type: text/plain')),
    'status 200 and events to begin':
        _Reply(_stream(_events(1, 5), is_complete=True)),
    'half of a head':
        _Reply(_OK_LINE + b'content-type: text/ev', 'closes'),
}


@given('the next server answers {name}')
def step_next_server(context: Any, name: str) -> None:
    found = re.fullmatch(r'with events from (\d+) to (\d+)', name)
    if found:
        reply = _Reply(
            _stream(_events(int(found[1]), int(found[2])), is_complete=True))
    else:
        reply = _REPLY_BY_NAME[name]
    _exchange(context).replies.append(reply)


@given('a server that sends {what} and then {ends}')
def step_sends(context: Any, what: str, ends: str) -> None:
    own_id = b'pollenthread-request-id: %\r\n'
    data = {
        'a status line': _OK_LINE,
        'half of a status line': _OK_LINE[:9],
        'a head without its empty line': _OK_LINE + own_id,
        'half of a header': _OK_LINE + own_id + b'content-le',
        'a head and half of its body': _answer()[:-2],
        'an unframed body': _OK_LINE + own_id + b'\r\ndone',
    }[what]
    _exchange(context).replies.append(_Reply(data, ends))


@when('three requests that must not run twice are sent one after the other')
def step_three_requests(context: Any) -> None:
    _run(context, 3)


@when('a request that must not run twice is sent')
def step_request(context: Any) -> None:
    _run(context, 1)


@when('a stream is requested of faulty servers')
def step_stream(context: Any) -> None:
    _run(context, 1)


@then('the caller receives status {status:d}')
def step_status(context: Any, status: int) -> None:
    answer = context.exchange.answers[-1]
    assert answer.startswith(b'HTTP/1.1 %d ' % status), answer
    if status == 200:
        assert answer.endswith(b'\r\n\r\ndone'), answer


@then('the third one reached one server')
def step_reached_once(context: Any) -> None:
    assert context.exchange.ids == ['r1', 'r2', 'r3'], context.exchange.ids


@then('the request reached two servers')
def step_reached_twice(context: Any) -> None:
    assert context.exchange.ids == ['r1', 'r1'], context.exchange.ids


def _chunks(answer: bytes) -> tuple[bytes, bool]:
    """Returns the chunks of a body, and whether it ends as complete."""
    _, _, rest = answer.partition(b'\r\n\r\n')
    body = b''
    while (found := _CHUNK.match(rest)) is not None:
        size = int(found.group(1), 16)
        if not size:
            return body, rest[found.end():] == b'\r\n'
        body += rest[found.end():found.end() + size]
        rest = rest[found.end() + size + 2:]
    return body + rest, False


@then('the caller has received {count:d} events and nothing else')
def step_events(context: Any, count: int) -> None:
    answer = context.exchange.answers[-1]
    body, _ = _chunks(answer)
    assert body == _events(1, count), answer


@then('the stream does not look complete')
def step_incomplete(context: Any) -> None:
    assert not _chunks(context.exchange.answers[-1])[1]


@then('the stream looks complete')
def step_complete(context: Any) -> None:
    assert _chunks(context.exchange.answers[-1])[1]


@then('no request handler has failed')
def step_no_failure(context: Any) -> None:
    assert not context.failures, context.failures
