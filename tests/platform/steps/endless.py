"""Steps for servers that send bytes without end."""

import asyncio
from typing import Any

from behave import given, then, when

from pollenthread.adapters import http_client
from pollenthread.core import caller_request, resumable_events, server_registry
from pollenthread.platform import upstream_http
from pollenthread.ports import upstream
from tests import scenario

_ID = 'r1'
_BLOCK_BYTES = 16_384
_OK = b'HTTP/1.1 200 OK\r\n'
_OWN = b'pollenthread-request-id: r1\r\n'
_OTHER = b'pollenthread-request-id: r0\r\n'
_BEGIN_AND_REPEAT: dict[str, tuple[bytes, bytes]] = {
    'bytes in the head': (b'', b'x' * _BLOCK_BYTES),
    'header lines': (_OK, b'a: b\r\n' * 2_000),
    'interim answers': (b'', b'HTTP/1.1 102 Processing\r\n\r\n' * 500),
    'a body': (_OK + _OWN + b'\r\n', b'x' * _BLOCK_BYTES),
    'chunks': (_OK + _OWN + b'transfer-encoding: chunked\r\n\r\n',
               b'4000\r\n' + b'x' * _BLOCK_BYTES + b'\r\n'),
    'a chunk head':
        (_OK + _OWN + b'transfer-encoding: chunked\r\n\r\n4000;', b'x' * 4_096),
    'an event': (_OK + _OWN + b'content-type: text/event-stream\r\n\r\ndata: ',
                 b'x' * _BLOCK_BYTES),
    'an answer to somebody else': (_OK + _OTHER + b'\r\n', b'x' * _BLOCK_BYTES),
}


class _EndlessServer:
    """Sends until the connection is closed."""

    def __init__(self, begin: bytes, repeat: bytes) -> None:
        self._begin = begin
        self._repeat = repeat
        self.closed = asyncio.Event()
        self.address = ''
        self._server: asyncio.Server | None = None

    async def __aenter__(self) -> '_EndlessServer':
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f'{host}:{port}'
        return self

    async def __aexit__(self, *error: object) -> None:
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader,
                     writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b'\r\n\r\n')
        try:
            writer.write(self._begin)
            while True:
                writer.write(self._repeat)
                await writer.drain()
        except ConnectionError:
            self.closed.set()


@given('a server that answers with {what} without end')
def step_server(context: Any, what: str) -> None:
    context.is_stream = what == 'an event'
    context.server = scenario.run(
        context,
        context.stack.enter_async_context(
            _EndlessServer(*_BEGIN_AND_REPEAT[what])))


def _attempt(address: str) -> upstream.UpstreamAttempt:
    request = caller_request.CallerRequest(id=_ID,
                                           method='POST',
                                           target='/x',
                                           host='h',
                                           headers=(),
                                           body=b'',
                                           api_key=None,
                                           timeout_s=5.0,
                                           last_event_id=None,
                                           prompt_tokens=0,
                                           max_output_tokens=0,
                                           prompt_parts=(),
                                           received_at=0.0)
    server = server_registry.Server(id='s',
                                    service='llm',
                                    address=address,
                                    data_centre='a',
                                    slots=1,
                                    state=server_registry.ServerState.READY)
    return upstream.UpstreamAttempt(server=server,
                                    request=request,
                                    time_left_s=5.0,
                                    workspace=None,
                                    last_event_id=None,
                                    priority=5)


async def _ask(context: Any) -> None:
    context.taken_bytes = 0
    context.broken = None
    splitter = resumable_events.ResumableEventSplitter()
    async with http_client.HttpClient() as client:
        servers = upstream_http.HttpUpstreamClient(client=client)
        try:
            async with asyncio.timeout(5.0):
                async with servers.send(_attempt(
                        context.server.address)) as found:
                    async for data in found.read():
                        context.taken_bytes += len(data)
                        if context.is_stream:
                            splitter.feed(data)
        except (upstream.UpstreamDisconnectedError,
                resumable_events.EventTooLongError) as error:
            context.broken = error


@when('it is asked with 5 s of patience, as by an entry host')
def step_ask(context: Any) -> None:
    scenario.run(context, _ask(context))


@then('it is given up as broken after less than {limit:d} bytes')
def step_broken(context: Any, limit: int) -> None:
    assert context.broken is not None
    assert context.taken_bytes < limit, context.taken_bytes


@then('the connection is closed')
def step_closed(context: Any) -> None:
    scenario.run(context, asyncio.wait_for(context.server.closed.wait(), 10.0))
