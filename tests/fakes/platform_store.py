"""Stand-in for the row store of the users' platform.

Faults: `down` responds with status 503 to all calls; `forget` is the number of
feed calls that get status 410, which means that their history is lost.
`POST /operator` writes the tables of the operator. `POST /copy` copies the
store, and `POST /restore` lets it come back from the copy in a new era.
"""

import asyncio
import base64
import json
from typing import Any
from urllib import parse

from pollenthread.adapters import http_server
from tests.fakes import serving

__all__ = ['PlatformStoreHandler']

_FEED_POLL_INTERVAL_S = 0.02


class PlatformStoreHandler(serving.FakeHandler):
    """Holds rows in memory, including removed ones."""

    def __init__(self) -> None:
        super().__init__()
        self._version = 0
        self._era = 1
        self._row_by_id: dict[tuple[str, str], dict[str, Any]] = {}
        self._copy: tuple[int, dict[tuple[str, str], dict[str, Any]]] = (0, {})

    @property
    def _era_header(self) -> tuple[str, str]:
        return 'store-era', str(self._era)

    async def respond(self, request: http_server.HttpRequest,
                      response: http_server.HttpResponse) -> None:
        query = dict(parse.parse_qsl(request.target.partition('?')[2]))
        if request.path == '/operator':
            self._write(json.loads(request.body))
            await response.send_json(200, {})
        elif request.path == '/copy':
            self._copy = (self._version, dict(self._row_by_id))
            await response.send_json(200, {})
        elif request.path == '/restore':
            self._era += 1
            self._version, self._row_by_id = self._copy
            await response.send_json(200, {})
        elif self.faults.get('down'):
            await response.send(503, [], b'')
        elif request.path == '/pollenthread/rows-get':
            await self._send_rows(response, query['table'], 0)
        elif request.path == '/pollenthread/rows-feed':
            await self._send_feed(response, query)
        elif request.path == '/pollenthread/rows-tx':
            await self._transact(json.loads(request.body), response)
        else:
            await response.send(404, [], b'')

    def _write(self, row: dict[str, Any]) -> None:
        """Writes a row whose value is text; the value None removes it."""
        self._version += 1
        row_id = (row['table'], row['key'])
        value = row['value']
        self._row_by_id[row_id] = {
            'table': row['table'],
            'part': '',
            'key': row['key'],
            'ver': self._version,
            'removed': value is None,
            'value': base64.b64encode((value or '').encode()).decode()
        }

    def _changed_rows(self, table: str, after: int) -> list[dict[str, Any]]:
        rows = [
            row for (row_table, _), row in self._row_by_id.items()
            if row_table == table and row['ver'] > after and
            (after or not row['removed'])
        ]
        return sorted(rows, key=lambda row: row['ver'])

    async def _send_rows(self, response: http_server.HttpResponse, table: str,
                         after: int) -> None:
        await response.send_json(
            200, {
                'rows': self._changed_rows(table, after),
                'ver': self._version,
                'now_ms': 0,
                'has_more': False
            }, [self._era_header])

    async def _send_feed(self, response: http_server.HttpResponse,
                         query: dict[str, str]) -> None:
        after, era = int(query['after']), self._era
        if self.consume_fault('forget') or after > self._version:
            await response.send(410, [self._era_header], b'')
            return
        loop = asyncio.get_running_loop()
        deadline = loop.time() + int(query['wait_ms']) / 1000
        while (not self._changed_rows(query['table'], after) and
               loop.time() < deadline and not self.faults.get('down') and
               self._era == era):
            await asyncio.sleep(_FEED_POLL_INTERVAL_S)
        if self.faults.get('down') or self._era != era:
            await response.send(503, [self._era_header], b'')
            return
        await self._send_rows(response, query['table'], after)

    async def _transact(self, transaction: dict[str, Any],
                        response: http_server.HttpResponse) -> None:
        for expected in transaction['expected_revision']:
            row_id = (expected['table'], expected['key'])
            row = self._row_by_id.get(row_id)
            current_version = row['ver'] if row and not row['removed'] else 0
            if current_version != expected['ver']:
                await response.send_json(412, {'rows': []}, [self._era_header])
                return
        for row in transaction['puts']:
            value = base64.b64decode(row['value']).decode()
            self._write({**row, 'value': value})
        await response.send_json(200, {
            'ver': self._version,
            'now_ms': 0
        }, [self._era_header])


if __name__ == '__main__':
    serving.run(PlatformStoreHandler())
