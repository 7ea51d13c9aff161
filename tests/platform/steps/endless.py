"""Steps for responses without end."""

import asyncio
from typing import Any

from behave import given, then, when

from pollenthread.adapters import http_client
from pollenthread.core import caller_request, resumable_events, server_registry
from pollenthread.platform import upstream_http
from pollenthread.ports import upstream
from tests import scenario

_REQUEST_ID = 'r1'
_BLOCK_BYTES = 16_384
_STATUS_LINE = b'HTTP/1.1 200 OK\r\n'
_OWN_ID_HEADER = b'pollenthread-request-id: r1\r\n'
_OTHER_ID_HEADER = b'pollenthread-request-id: r0\r\n'
_START_AND_REPEAT_BY_CASE: dict[str, tuple[bytes, bytes]] = {
    'bytes in the head': (b'', b'x' * _BLOCK_BYTES),
    'header lines': (_STATUS_LINE, b'a: b\r\n' * 2_000),
    'interim responses': (b'', b'HTTP/1.1 102 Processing\r\n\r\n' * 500),
    'a body': (_STATUS_LINE + _OWN_ID_HEADER + b'\r\n', b'x' * _BLOCK_BYTES),
    'chunks':
        (_STATUS_LINE + _OWN_ID_HEADER + b'transfer-encoding: chunked\r\n\r\n',
         b'4000\r\n' + b'x' * _BLOCK_BYTES + b'\r\n'),
    'a chunk head': (_STATUS_LINE + _OWN_ID_HEADER +
                     b'transfer-encoding: chunked\r\n\r\n4000;', b'x' * 4_096),
    'an event':
        (_STATUS_LINE + _OWN_ID_HEADER +
         b'content-type: text/event-stream\r\n\r\ndata: ', b'x' * _BLOCK_BYTES),
    "another request's response":
        (_STATUS_LINE + _OTHER_ID_HEADER + b'\r\n', b'x' * _BLOCK_BYTES),
}


class _EndlessServer:
    """Server that sends bytes until the connection is closed."""

    def __init__(self, start: bytes, repeat: bytes) -> None:
        self._start = start
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
            writer.write(self._start)
            while True:
                writer.write(self._repeat)
                await writer.drain()
        except ConnectionError:
            self.closed.set()


@given('a server that sends {case} without end')
def step_server(context: Any, case: str) -> None:
    context.is_stream = case == 'an event'
    context.server = scenario.run(
        context,
        context.stack.enter_async_context(
            _EndlessServer(*_START_AND_REPEAT_BY_CASE[case])))


def _attempt(address: str) -> upstream.UpstreamAttempt:
    request = caller_request.CallerRequest(id=_REQUEST_ID,
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


async def _send_request(context: Any) -> None:
    context.received_bytes = 0
    context.error = None
    splitter = resumable_events.ResumableEventSplitter()
    async with http_client.HttpClient() as client:
        servers = upstream_http.HttpUpstreamClient(client=client)
        try:
            async with asyncio.timeout(5.0):
                async with servers.send(_attempt(
                        context.server.address)) as response:
                    async for data in response.read():
                        context.received_bytes += len(data)
                        if context.is_stream:
                            splitter.feed(data)
        except (upstream.UpstreamDisconnectedError,
                resumable_events.EventTooLongError) as error:
            context.error = error


@when("an entry host's client sends it a request with a timeout of 5 s")
def step_send_request(context: Any) -> None:
    scenario.run(context, _send_request(context))


@then('the response is aborted as broken after less than {limit:d} bytes')
def step_aborted(context: Any, limit: int) -> None:
    assert context.error is not None
    assert context.received_bytes < limit, context.received_bytes


@then('the connection is closed')
def step_closed(context: Any) -> None:
    scenario.run(context, asyncio.wait_for(context.server.closed.wait(), 10.0))
