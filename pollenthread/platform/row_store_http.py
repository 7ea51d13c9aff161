"""The platform's store over HTTP."""

import asyncio
import base64
import binascii
import dataclasses
import json
from collections.abc import Sequence
from typing import Any
from urllib import parse

import result

from pollenthread.adapters import http_client
from pollenthread.platform import wire_names
from pollenthread.ports import row_store

__all__ = ['HttpRowStore']

_ANSWER_TIMEOUT_S = 1.0
_FAULT_BY_STATUS = {
    410: row_store.StoreFault.HISTORY_LOST,
    412: row_store.StoreFault.CONFLICT,
    429: row_store.StoreFault.LIMITED,
    503: row_store.StoreFault.UNAVAILABLE,
}
_JSON = (('content-type', 'application/json'),)


@dataclasses.dataclass(frozen=True, slots=True)
class _Page:
    """One answer of the store.

    Attributes:
        changes: the rows.
        version: the store's counter.
        has_more: whether the table goes on.
    """

    changes: tuple[row_store.Change, ...]
    version: int
    has_more: bool


class HttpRowStore(row_store.RowStore):
    """Calls the store; counts calls by path and outcome."""

    def __init__(self, *, client: http_client.HttpClient, address: str) -> None:
        self._client = client
        self._address = address
        self.calls_by_outcome: dict[str, int] = {}

    async def read(
            self, table: str
    ) -> result.Result[row_store.Changes, row_store.StoreFault]:
        changes: list[row_store.Change] = []
        start = ''
        while True:
            query = {'table': table, 'part': ''}
            if start:
                query['from'] = start
            answer = await self._get(wire_names.UrlPath.READ_ROWS, query, 0.0)
            if isinstance(answer, result.Err):
                return result.Err(answer.err_value)
            page = answer.ok_value
            changes += page.changes
            if not page.has_more or not page.changes:
                return result.Ok(row_store.Changes(tuple(changes),
                                                   page.version))
            start = page.changes[-1].key + '\0'

    async def watch(
        self, table: str, after: int, wait_s: float
    ) -> result.Result[row_store.Changes, row_store.StoreFault]:
        query = {
            'table': table,
            'after': str(after),
            'wait_ms': str(round(wait_s * 1000))
        }
        answer = await self._get(wire_names.UrlPath.WATCH_ROWS, query, wait_s)
        return answer.map(
            lambda page: row_store.Changes(page.changes, page.version))

    async def write(
        self, writes: Sequence[row_store.RowWrite]
    ) -> result.Result[int, row_store.StoreFault]:
        body = json.dumps(_transaction(writes)).encode()
        answer = await self._call('POST', wire_names.UrlPath.WRITE_ROWS, body, 0.0)
        return answer.map(lambda page: page.version)

    async def _get(self, path: str, query: dict[str, str],
                   wait_s: float) -> result.Result[_Page, row_store.StoreFault]:
        return await self._call('GET', f'{path}?{parse.urlencode(query)}', b'',
                                wait_s)

    async def _call(
            self, method: str, target: str, body: bytes,
            wait_s: float) -> result.Result[_Page, row_store.StoreFault]:
        answer = await self._exchange(method, target, body, wait_s)
        outcome = 'ok' if answer.is_ok() else answer.unwrap_err().value
        self.calls_by_outcome[outcome] = self.calls_by_outcome.get(outcome,
                                                                   0) + 1
        return answer

    async def _exchange(
            self, method: str, target: str, body: bytes,
            wait_s: float) -> result.Result[_Page, row_store.StoreFault]:
        try:
            async with asyncio.timeout(wait_s + _ANSWER_TIMEOUT_S):
                async with self._client.request(self._address,
                                                method,
                                                target,
                                                headers=_JSON,
                                                body=body) as exchange:
                    data = await exchange.read_all()
                    if exchange.status != 200:
                        return result.Err(
                            _FAULT_BY_STATUS.get(
                                exchange.status,
                                row_store.StoreFault.UNAVAILABLE))
                    return result.Ok(_page(json.loads(data)))
        except http_client.ConnectFailed:
            return result.Err(row_store.StoreFault.UNAVAILABLE)
        except (OSError, TimeoutError, ValueError, KeyError, TypeError,
                AttributeError):
            return result.Err(row_store.StoreFault.UNKNOWN)


def _page(found: Any) -> _Page:
    """Checks an answer.

    Raises:
        ValueError, KeyError, TypeError, AttributeError: it is no answer.
    """
    return _Page(changes=tuple(_changes(found)),
                 version=int(found['ver']),
                 has_more=bool(found.get('has_more')))


def _changes(page: dict[str, Any]) -> list[row_store.Change]:
    """The rows of an answer; a row that cannot be read has empty bytes."""
    changes = []
    for row in page.get('rows') or ():
        value: bytes | None = None
        if not row.get('removed'):
            try:
                value = base64.b64decode(row.get('value') or '')
            except (binascii.Error, ValueError):
                value = b''
        changes.append(
            row_store.Change(str(row.get('key', '')), value,
                             int(row.get('ver', 0))))
    return changes


def _transaction(writes: Sequence[row_store.RowWrite]) -> dict[str, Any]:
    names_of = [{'table': w.table, 'part': '', 'key': w.key} for w in writes]
    return {
        # Here this field holds the rows that must have a given version.
        'expected_revision': [{
            **name, 'ver': w.expect
        } for name, w in zip(names_of, writes) if w.expect is not None],
        'puts': [{
            **name, 'value': base64.b64encode(w.value).decode()
        } for name, w in zip(names_of, writes) if w.value is not None],
        'deletes': [
            name for name, w in zip(names_of, writes) if w.value is None
        ]
    }
