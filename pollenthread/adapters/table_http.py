"""The table service over HTTP with conditional requests (RFC 9110).

`GET /rows/KEY` answers with an `etag`; `POST /transactions` takes a list of
conditional writes and answers 200 with the new versions, or 409.
"""

import asyncio
import base64
import json
from collections.abc import Sequence
from typing import Any
from urllib import parse

import result

from pollenthread.adapters import http_client
from pollenthread.ports import table

__all__ = ['HttpTable']

_READ_ATTEMPTS = 2


class HttpTable(table.TableService):
    """A client that treats a lost answer to a write as unknown."""

    def __init__(self,
                 *,
                 client: http_client.HttpClient,
                 address: str,
                 timeout_s: float = 1.0) -> None:
        self._client = client
        self._address = address
        self._timeout_s = timeout_s

    async def get(
            self,
            key: str) -> result.Result[table.TableRow | None, table.TableError]:
        target = f'/rows/{parse.quote(key, safe="")}'
        answer = await self._read(target)
        if isinstance(answer, result.Err):
            return answer
        status, body = answer.ok_value
        if status == 404:
            return result.Ok(None)
        return result.Ok(_row(json.loads(body)))

    async def scan(
            self, prefix: str
    ) -> result.Result[list[table.TableRow], table.TableError]:
        answer = await self._read(f'/rows?{parse.urlencode({"prefix": prefix})}'
                                 )
        if isinstance(answer, result.Err):
            return answer
        return result.Ok(
            [_row(item) for item in json.loads(answer.ok_value[1])])

    async def commit(
        self, writes: Sequence[table.TableWrite]
    ) -> result.Result[list[int], table.TableError]:
        body = json.dumps([_write(write) for write in writes]).encode()
        try:
            async with asyncio.timeout(self._timeout_s):
                status, answer = await self._call('POST', '/transactions', body)
        except http_client.HttpConnectError:
            return result.Err(table.TableError.UNAVAILABLE)
        except (ConnectionError, TimeoutError):
            return result.Err(table.TableError.UNKNOWN)
        if status == 409:
            return result.Err(table.TableError.CONFLICT)
        if status == 429:
            return result.Err(table.TableError.LIMITED)
        if status == 503:
            return result.Err(table.TableError.UNAVAILABLE)
        if status != 200:
            return result.Err(table.TableError.UNKNOWN)
        return result.Ok(json.loads(answer)['versions'])

    async def _read(
            self,
            target: str) -> result.Result[tuple[int, bytes], table.TableError]:
        """Reads with a bounded number of attempts."""
        fault = table.TableError.UNAVAILABLE
        for _ in range(_READ_ATTEMPTS):
            try:
                async with asyncio.timeout(self._timeout_s):
                    status, body = await self._call('GET', target, b'')
            except (ConnectionError, TimeoutError):
                continue
            if status in (200, 404):
                return result.Ok((status, body))
            if status == 429:
                fault = table.TableError.LIMITED
        return result.Err(fault)

    async def _call(self, method: str, target: str,
                    body: bytes) -> tuple[int, bytes]:
        async with self._client.request(self._address,
                                        method,
                                        target,
                                        body=body) as exchange:
            return exchange.status, await exchange.read_all()


def _row(item: dict[str, Any]) -> table.TableRow:
    return table.TableRow(key=item['key'],
                          value=base64.b64decode(item['value']),
                          version=item['version'])


def _write(write: table.TableWrite) -> dict[str, Any]:
    value = write.value
    return {
        'key': write.key,
        'value': None if value is None else base64.b64encode(value).decode(),
        'expect': write.expected_version,
    }
