"""HTTP client of the table service, with conditional writes.

`GET /rows/KEY` returns a row with an `etag` (RFC 9110). `POST /transactions`
accepts a list of conditional writes and returns 200 with the new versions, or
409 if a row does not have its expected version.
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
    """HTTP client of the table.

    If the response to a write is lost, the error is `TableError.UNKNOWN`.
    """

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
        response = await self._get(target)
        if isinstance(response, result.Err):
            return response
        status, body = response.ok_value
        if status == 404:
            return result.Ok(None)
        return result.Ok(_decode_row(json.loads(body)))

    async def scan(
            self, prefix: str
    ) -> result.Result[list[table.TableRow], table.TableError]:
        response = await self._get(
            f'/rows?{parse.urlencode({"prefix": prefix})}')
        if isinstance(response, result.Err):
            return response
        return result.Ok(
            [_decode_row(item) for item in json.loads(response.ok_value[1])])

    async def commit(
        self, writes: Sequence[table.TableWrite]
    ) -> result.Result[list[int], table.TableError]:
        body = json.dumps([_encode_write(write) for write in writes]).encode()
        try:
            async with asyncio.timeout(self._timeout_s):
                status, response = await self._request('POST', '/transactions',
                                                       body)
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
        return result.Ok(json.loads(response)['versions'])

    async def _get(
            self,
            target: str) -> result.Result[tuple[int, bytes], table.TableError]:
        """Sends a GET request; retries it once on failure.

        Returns:
            The status, 200 or 404, and the body.
        """
        error = table.TableError.UNAVAILABLE
        for _ in range(_READ_ATTEMPTS):
            try:
                async with asyncio.timeout(self._timeout_s):
                    status, body = await self._request('GET', target, b'')
            except (ConnectionError, TimeoutError):
                continue
            if status in (200, 404):
                return result.Ok((status, body))
            if status == 429:
                error = table.TableError.LIMITED
        return result.Err(error)

    async def _request(self, method: str, target: str,
                       body: bytes) -> tuple[int, bytes]:
        async with self._client.request(self._address,
                                        method,
                                        target,
                                        body=body) as response:
            return response.status, await response.read_all()


def _decode_row(item: dict[str, Any]) -> table.TableRow:
    return table.TableRow(key=item['key'],
                          value=base64.b64decode(item['value']),
                          version=item['version'])


def _encode_write(write: table.TableWrite) -> dict[str, Any]:
    value = write.value
    return {
        'key': write.key,
        'value': None if value is None else base64.b64encode(value).decode(),
        'expect': write.expected_version,
    }
