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
_VALID_REQUEST = b'GET /v1/addresses HTTP/1.1\r\nhost: a\r\n\r\n'
_RESPONSE_TIMEOUT_S = 30.0


def _decode_request(text: str) -> bytes:
    """Returns the bytes of a request that a feature writes with escapes."""
    text = text.replace('{service}', _SERVICE).replace('{chat}', _CHAT)
    raw = text.encode('ascii').decode('unicode_escape').encode('latin-1')
    return raw.replace(b'{many bytes}', _MANY_BYTES)


class _RawConnection:
    """A connection that sends bytes unchanged."""

    def __init__(self, reader: asyncio.StreamReader,
                 writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer

    @classmethod
    async def open(cls, context: Any) -> '_RawConnection':
        """Connects to the first entry host."""
        host, _, port = context.system.entry_addresses[0].rpartition(':')
        connection = cls(*await asyncio.open_connection(host, int(port)))
        context.stack.callback(connection.close)
        return connection

    def close(self) -> None:
        """Closes the connection."""
        self._writer.close()

    def send(self, data: bytes) -> None:

        self._writer.write(data)

    async def receive(self, with_body: bool = True) -> tuple[int, bytes]:
        """Reads one response and returns its status and body."""
        head = await self._reader.readuntil(b'\r\n\r\n')
        status = int(head.split(b' ')[1])
        length = re.search(rb'content-length: (\d+)', head)
        if not with_body or length is None:
            return status, b''
        return status, await self._reader.readexactly(int(length.group(1)))

    async def is_closed(self) -> bool:
        """Waits until the peer closes; returns whether it sent no data."""
        try:
            return await self._reader.read() == b''
        except ConnectionError:
            return True


async def _check_row(context: Any, row: Any, stays_open: bool) -> None:
    connection = await _RawConnection.open(context)
    connection.send(_decode_request(row['request']))
    status, body = await connection.receive()
    error = json.loads(body)
    found = (error['kind'], status, error['ran'])
    assert found == (row['kind'], int(row['status']), 'no'), (row, error)
    if not stays_open:
        assert await connection.is_closed(), row
        return
    connection.send(_VALID_REQUEST)
    status, _ = await connection.receive()
    assert status == 200, (row, status)


def _check_rows(context: Any, stays_open: bool) -> None:
    for row in context.table:
        scenario.run(context, _check_row(context, row, stays_open),
                     _RESPONSE_TIMEOUT_S)


@then('these raw requests get error responses and the connection stays open')
def step_stays_open(context: Any) -> None:
    _check_rows(context, stays_open=True)


@then('these raw requests get error responses and the connection is closed')
def step_closed(context: Any) -> None:
    _check_rows(context, stays_open=False)


@when('the raw request "{request}" is sent')
def step_send(context: Any, request: str) -> None:

    async def send() -> _RawConnection:
        connection = await _RawConnection.open(context)
        connection.send(_decode_request(request))
        return connection

    context.connection = scenario.run(context, send())
    context.with_body = not request.startswith('HEAD')


@then('the raw response has status {status:d}')
def step_status(context: Any, status: int) -> None:
    found, _ = scenario.run(context, context.connection.receive())
    assert found == status, found


@then('the raw responses have statuses {first:d} and {second:d}')
def step_statuses(context: Any, first: int, second: int) -> None:
    found, _ = scenario.run(context,
                            context.connection.receive(context.with_body))
    assert found == first, found
    found, _ = scenario.run(context, context.connection.receive())
    assert found == second, found
