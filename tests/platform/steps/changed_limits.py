"""Steps for limits that change while connections are open."""

import asyncio
import contextlib
import dataclasses
from typing import Any

from behave import given, then, when

from pollenthread.adapters import http_server
from tests import scenario

_HEAD = 'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: {length}\r\n'
_CHECK_DELAY_S = 1.0


class _OkHandler(http_server.RequestHandler):

    async def handle(self, request: http_server.HttpRequest,
                     response: http_server.HttpResponse) -> None:
        await response.send(200, [], b'')


async def _read_status(context: Any) -> int:
    head = await context.reader.readuntil(b'\r\n\r\n')
    return int(head.split(b' ')[1])


async def _send(context: Any,
                *,
                padding_bytes: int = 0,
                body_bytes: int = 0) -> int:
    """Sends a request on the kept connection and returns the status."""
    head = _HEAD.format(length=body_bytes)
    head += f'x-padding: {"x" * padding_bytes}\r\n\r\n'
    context.writer.write(head.encode() + b'x' * body_bytes)
    return await _read_status(context)


async def _open(context: Any, limits: http_server.ServerLimits) -> None:
    context.server = await context.stack.enter_async_context(
        http_server.HttpServer(handler=_OkHandler(), limits=limits))
    host, _, port = context.server.address.rpartition(':')
    context.reader, context.writer = await asyncio.open_connection(
        host, int(port))
    context.stack.callback(context.writer.close)
    assert await _send(context) == 200


@given('a server whose callers keep their connections, with {limit} {value:g}')
def step_server(context: Any, limit: str, value: float) -> None:
    scenario.run(context, _open(context, _make_limits(limit, value)))


def _make_limits(name: str, value: float) -> http_server.ServerLimits:
    changes: dict[str, Any] = {
        name: int(value) if value.is_integer() else value
    }
    return dataclasses.replace(http_server.ServerLimits(), **changes)


@given('a connection that is {state}')
def step_connection(context: Any, state: str) -> None:

    async def begin() -> None:
        if state == 'sending a head':
            context.writer.write(b'GET / HTTP/1.1\r\nhost')
            await asyncio.sleep(0.1)

    scenario.run(context, begin())


@when('the limit {limit} becomes {value:g}')
def step_change(context: Any, limit: str, value: float) -> None:

    async def change() -> None:
        context.server.set_limits(_make_limits(limit, value))

    scenario.run(context, change())


@then('a request with {size:d} bytes of {part} has status {status:d}')
def step_status(context: Any, size: int, part: str, status: int) -> None:
    if part == 'body':
        found = scenario.run(context, _send(context, body_bytes=size))
    else:
        found = scenario.run(context, _send(context, padding_bytes=size))
    assert found == status, found


@then('the connection is {result} after a second')
def step_result(context: Any, result: str) -> None:

    async def closes() -> bool:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_CHECK_DELAY_S):
                await context.reader.read()
                return True
        return False

    assert scenario.run(context, closes()) is (result == 'closed')
