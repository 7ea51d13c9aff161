"""Stand-in for the transactional table of the platform.

Faults: `down` responds with status 503, `limited` with status 429; `delay_s`
delays each call; `lost_answers` is the number of transactions that are applied
without a response; `old_reads` is the number of reads that return the previous
version of a row.
"""

import asyncio
import base64
import json
from typing import Any
from urllib import parse

from pollenthread.adapters import http_server
from tests.fakes import serving

__all__ = ['TableHandler']


class TableHandler(serving.FakeHandler):
    """Holds rows in memory; transactions are conditional on row versions."""

    def __init__(self) -> None:
        super().__init__()
        self._rows_by_key: dict[str, tuple[bytes, int]] = {}
        self._previous_rows_by_key: dict[str, tuple[bytes, int]] = {}
        self._last_version = 0
        self._counts = {'reads': 0, 'writes': 0, 'transactions': 0}

    async def respond(self, request: http_server.HttpRequest,
                      response: http_server.HttpResponse) -> None:
        if request.path == '/counts':
            await response.send_json(200, self._counts)
            return
        if self.faults.get('down'):
            await response.send(503, [], b'')
            return
        if self.faults.get('limited'):
            await response.send(429, [('retry-after', '1')], b'')
            return
        await asyncio.sleep(self.faults.get('delay_s', 0))
        if request.path == '/transactions' and request.method == 'POST':
            await self._transact(request, response)
        elif request.path == '/rows' and request.method == 'GET':
            await self._scan(request, response)
        elif request.path.startswith('/rows/') and request.method == 'GET':
            await self._get(request, response)
        else:
            await response.send(404, [], b'')

    async def _get(self, request: http_server.HttpRequest,
                   response: http_server.HttpResponse) -> None:
        self._counts['reads'] += 1
        key = parse.unquote(request.path[len('/rows/'):])
        rows = self._rows_by_key
        if self.consume_fault('old_reads'):
            rows = {**rows, **self._previous_rows_by_key}
        if key not in rows:
            await response.send(404, [], b'')
            return
        row = _encode_row(key, rows[key])
        await response.send_json(200, row, [('etag', f'"{row["version"]}"')])

    async def _scan(self, request: http_server.HttpRequest,
                    response: http_server.HttpResponse) -> None:
        query = parse.parse_qs(request.target.partition('?')[2])
        prefix = query.get('prefix', [''])[0]
        matching_rows = [
            _encode_row(key, row)
            for key, row in sorted(self._rows_by_key.items())
            if key.startswith(prefix)
        ]
        self._counts['reads'] += max(1, len(matching_rows))
        await response.send_json(200, matching_rows)

    async def _transact(self, request: http_server.HttpRequest,
                        response: http_server.HttpResponse) -> None:
        writes = json.loads(request.body)
        self._counts['transactions'] += 1
        self._counts['writes'] += len(writes)
        if any(self._version(w['key']) != w['expect'] for w in writes):
            await response.send(409, [], b'')
            return
        versions = [self._apply(write) for write in writes]
        if self.consume_fault('lost_answers'):
            response.abort()
            return
        await response.send_json(200, {'versions': versions})

    def _version(self, key: str) -> int:
        row = self._rows_by_key.get(key)
        return 0 if row is None else row[1]

    def _apply(self, write: dict[str, Any]) -> int:
        key = write['key']
        if key in self._rows_by_key:
            self._previous_rows_by_key[key] = self._rows_by_key.pop(key)
        self._last_version += 1
        if write['value'] is not None:
            self._rows_by_key[key] = (base64.b64decode(write['value']),
                                      self._last_version)
        return self._last_version


def _encode_row(key: str, row: tuple[bytes, int]) -> dict[str, Any]:
    return {
        'key': key,
        'value': base64.b64encode(row[0]).decode(),
        'version': row[1]
    }


if __name__ == '__main__':
    serving.run(TableHandler())
