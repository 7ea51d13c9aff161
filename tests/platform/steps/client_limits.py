"""Steps for clients that stay inside the limits."""

import asyncio
import re
from collections.abc import AsyncIterator, Callable
from typing import Any

from behave import given, then, when

from tests import scenario
from tests.fakes import platform_site

# The smallest machines that the platform's examples name.
_SMALLEST = {'memory_mb': 168, 'max_fds': 1124}
_MAX_BODY_BYTES = 4 * 1024 * 1024
_SHORT_BODY_CHUNKS = 20_000
_HEAD_BYTES = 16_000
_MANY_FIELDS = 1_000
_MANY_PARTS = 1_000
_REQUESTS_AHEAD = 20
_LONG_ANSWER_BYTES = 4_000_000
_NUMBER_DIGITS = 5_000
_ANSWER_TIMEOUT_S = 30.0
_CHUNKED = ('transfer-encoding', 'chunked')
_NO_BODY = ('content-length', '0')
_LENGTH = re.compile(rb'content-length: (\d+)')

_Site = platform_site.PlatformSite
_Pieces = AsyncIterator[bytes]


async def _largest_body(site: _Site) -> _Pieces:
    yield site.raw_head('/pay/x', ('content-length', str(_MAX_BODY_BYTES)))
    yield b'x' * _MAX_BODY_BYTES


async def _largest_body_in_chunks(site: _Site) -> _Pieces:
    yield site.raw_head('/pay/x', _CHUNKED)
    for _ in range(_MAX_BODY_BYTES // 1024):
        yield b'400\r\n' + b'x' * 1024 + b'\r\n'
    yield b'0\r\n\r\n'


async def _body_in_short_chunks(site: _Site) -> _Pieces:
    yield site.raw_head('/pay/x', _CHUNKED)
    yield b'a\r\nxxxxxxxxxx\r\n' * _SHORT_BODY_CHUNKS + b'0\r\n\r\n'


async def _largest_head(site: _Site) -> _Pieces:
    yield site.raw_head('/pay/x', _NO_BODY, ('x-padding', 'x' * _HEAD_BYTES))


async def _head_of_many_fields(site: _Site) -> _Pieces:
    yield site.raw_head('/pay/x', _NO_BODY, *[('x-a', 'b')] * _MANY_FIELDS)


async def _many_prompt_parts(site: _Site) -> _Pieces:
    parts = ','.join(f'{i:08x}:800' for i in range(_MANY_PARTS))
    yield site.raw_head('/pay/x', _NO_BODY,
                        ('pollenthread-prompt-prefix', parts))


async def _head_in_pieces(site: _Site) -> _Pieces:
    head = site.raw_head('/pay/x', _NO_BODY)
    for i in range(5):
        yield head[i * len(head) // 5:(i + 1) * len(head) // 5]
        await asyncio.sleep(0.5)


async def _body_in_pieces(site: _Site) -> _Pieces:
    yield site.raw_head('/pay/x', ('content-length', '100000'))
    for _ in range(10):
        await asyncio.sleep(0.5)
        yield b'x' * 10_000


async def _request_after_pause(site: _Site) -> _Pieces:
    yield site.raw_head('/pay/x', _NO_BODY)
    await asyncio.sleep(12.0)
    yield site.raw_head('/pay/x', _NO_BODY)


async def _requests_ahead(site: _Site) -> _Pieces:
    yield site.raw_head('/pay/x', _NO_BODY) * _REQUESTS_AHEAD


async def _long_answer(site: _Site) -> _Pieces:
    yield site.raw_head(f'/pay/bytes/{_LONG_ANSWER_BYTES}', _NO_BODY)


async def _long_numbers(site: _Site) -> _Pieces:
    digits = '9' * _NUMBER_DIGITS
    head = site.raw_head('/pay/x', _NO_BODY,
                         ('pollenthread-token-count', f'{digits},1'),
                         ('pollenthread-prompt-prefix', f'a:{digits}'))
    yield head.replace(b'deadline-ms: 8000', b'deadline-ms: ' + digits.encode())


_PIECES_BY_REQUEST: dict[str, Callable[[_Site], _Pieces]] = {
    'the largest body in one piece': _largest_body,
    'the largest body in chunks': _largest_body_in_chunks,
    'a body in short chunks': _body_in_short_chunks,
    'the largest head': _largest_head,
    'a head of many fields': _head_of_many_fields,
    'many parts of a prompt': _many_prompt_parts,
    'a head in pieces within 2.5 s': _head_in_pieces,
    'a body in pieces within 5 s': _body_in_pieces,
    'a request after 12 s': _request_after_pause,
    '20 requests ahead': _requests_ahead,
    'a request for a long answer': _long_answer,
    'headers with numbers of 5000 digits': _long_numbers,
}


@given('a site whose hosts are the smallest machines')
def step_site(context: Any) -> None:
    context.site = scenario.run(
        context,
        context.stack.enter_async_context(
            platform_site.PlatformSite(entries=1, servers=1, limits=_SMALLEST)))


async def _open(
        context: Any) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    host, _, port = context.site.callers(1).rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    context.stack.callback(writer.close)
    return reader, writer


async def _read_status(reader: asyncio.StreamReader) -> int:
    """Reads one answer to its end and returns its status."""
    async with asyncio.timeout(_ANSWER_TIMEOUT_S):
        head = await reader.readuntil(b'\r\n\r\n')
        length = _LENGTH.search(head)
        assert length is not None, head
        await reader.readexactly(int(length.group(1)))
    return int(head.split(b' ')[1])


@when('a client sends {request}')
def step_send(context: Any, request: str) -> None:

    async def send() -> None:
        context.reader, writer = await _open(context)
        async for piece in _PIECES_BY_REQUEST[request](context.site):
            writer.write(piece)
            await writer.drain()

    scenario.run(context, send())


@then('it gets {count:d} answers with status {status:d}')
def step_answers(context: Any, count: int, status: int) -> None:
    for _ in range(count):
        found = scenario.run(context, _read_status(context.reader))
        assert found == status, found


@when('a client announces a body at a path without a route')
def step_announce(context: Any) -> None:

    async def announce() -> None:
        context.reader, writer = await _open(context)
        writer.write(
            context.site.raw_head('/nowhere/x',
                                  ('content-length', str(_MAX_BODY_BYTES))))

    scenario.run(context, announce())


@then('it gets an answer with status {status:d} before it sends the body')
def step_early_answer(context: Any, status: int) -> None:
    step_answers(context, 1, status)
