"""Steps that send raw bytes to an entry host."""

import asyncio
import json
import re
from typing import Any

from behave import then, when

from tests import scenario

_SERVICE = ('GET /services/orders/ HTTP/1.1\\r\\nhost: a\\r\\n'
            'x-workspace: buna\\r\\nx-class: caption\\r\\n')
_CHAT = ('POST /v1/chat/completions HTTP/1.1\\r\\nhost: a\\r\\n'
         'x-workspace: buna\\r\\nx-class: caption\\r\\n')
_MANY_BYTES = b'x' * 2_000_000
_GOOD = b'GET /v1/addresses HTTP/1.1\r\nhost: a\r\n\r\n'
_ANSWER_TIMEOUT_S = 30.0


def _bytes(text: str) -> bytes:
    """The bytes that a feature writes with escapes."""
    text = text.replace('{service}', _SERVICE).replace('{chat}', _CHAT)
    raw = text.encode('ascii').decode('unicode_escape').encode('latin-1')
    return raw.replace(b'{many bytes}', _MANY_BYTES)


class _Raw:
    """One connection on which bytes are sent as they are."""

    def __init__(self, reader: asyncio.StreamReader,
                 writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer

    @classmethod
    async def open(cls, context: Any) -> '_Raw':
        """Connects to the first entry host."""
        host, _, port = context.system.entry_addresses[0].rpartition(':')
        raw = cls(*await asyncio.open_connection(host, int(port)))
        context.stack.callback(raw.close)
        return raw

    def close(self) -> None:
        """Closes the connection."""
        self._writer.close()

    def send(self, data: bytes) -> None:
        """Sends bytes."""
        self._writer.write(data)

    async def receive(self, with_body: bool = True) -> tuple[int, bytes]:
        """Reads one answer; its status and body."""
        head = await self._reader.readuntil(b'\r\n\r\n')
        status = int(head.split(b' ')[1])
        length = re.search(rb'content-length: (\d+)', head)
        if not with_body or length is None:
            return status, b''
        return status, await self._reader.readexactly(int(length.group(1)))

    async def is_closed(self) -> bool:
        """Waits until the other end closes."""
        try:
            return await self._reader.read() == b''
        except ConnectionError:
            return True


async def _check_row(context: Any, row: Any, usable: bool) -> None:
    raw = await _Raw.open(context)
    raw.send(_bytes(row['request']))
    status, body = await raw.receive()
    problem = json.loads(body)
    found = (problem['kind'], status, problem['ran'])
    assert found == (row['kind'], int(row['status']), 'no'), (row, problem)
    if not usable:
        assert await raw.is_closed(), row
        return
    raw.send(_GOOD)
    status, _ = await raw.receive()
    assert status == 200, (row, status)


def _check_rows(context: Any, usable: bool) -> None:
    for row in context.table:
        scenario.run(context, _check_row(context, row, usable),
                     _ANSWER_TIMEOUT_S)


@then('these raw requests are answered and the connection stays usable')
def step_usable(context: Any) -> None:
    _check_rows(context, usable=True)


@then('these raw requests are answered and the connection is closed')
def step_closed(context: Any) -> None:
    _check_rows(context, usable=False)


@when('the raw request "{request}" is sent')
def step_send(context: Any, request: str) -> None:

    async def send() -> _Raw:
        raw = await _Raw.open(context)
        raw.send(_bytes(request))
        return raw

    context.raw = scenario.run(context, send())
    context.with_body = not request.startswith('HEAD')


@then('the raw answer has status {status:d}')
def step_status(context: Any, status: int) -> None:
    found, _ = scenario.run(context, context.raw.receive())
    assert found == status, found


@then('the raw answers have statuses {first:d} and {second:d}')
def step_statuses(context: Any, first: int, second: int) -> None:
    found, _ = scenario.run(context, context.raw.receive(context.with_body))
    assert found == first, found
    found, _ = scenario.run(context, context.raw.receive())
    assert found == second, found
