"""HTTP client of the platform's store of table rows."""

import asyncio
import base64
import binascii
import contextlib
import dataclasses
import json
from collections.abc import Sequence
from typing import Any
from urllib import parse

import result

from pollenthread.adapters import http_client
from pollenthread.core import log_events, store_version
from pollenthread.platform import wire_names
from pollenthread.ports import event_log, row_store

__all__ = ['HttpRowStore']

# Until a response begins, and between its parts: slow links take their time.
_RESPONSE_TIMEOUT_S = 1.0
_ERROR_BY_STATUS = {
    410: row_store.StoreError.HISTORY_LOST,
    412: row_store.StoreError.CONFLICT,
    429: row_store.StoreError.LIMITED,
    503: row_store.StoreError.UNAVAILABLE,
}
_JSON_HEADERS = (('content-type', 'application/json'),)


@dataclasses.dataclass(frozen=True, slots=True)
class _Page:
    """Decoded response of the store.

    Attributes:
        changes: rows of the response.
        version: version of the store.
        has_more: whether the table has rows after these.
    """

    changes: tuple[row_store.RowChange, ...]
    version: store_version.StoreVersion
    has_more: bool


class HttpRowStore(row_store.RowStore):
    """Client of the store.

    Attributes:
        calls_by_outcome: number of calls by outcome: 'ok' or the value of the
            error.
    """

    def __init__(self, *, client: http_client.HttpClient, address: str,
                 log: event_log.EventLog) -> None:
        self._client = client
        self._address = address
        self._log = log
        self._newest_era = 0
        self.calls_by_outcome: dict[str, int] = {}

    async def read(
        self, table: str
    ) -> result.Result[row_store.RowChanges, row_store.StoreError]:
        changes: list[row_store.RowChange] = []
        first_key = ''
        # Changes between two calls are read again, as changes after this one.
        version: store_version.StoreVersion | None = None
        while True:
            query = {'table': table, 'part': ''}
            if first_key:
                query['from'] = first_key
            response = await self._get(wire_names.UrlPath.READ_ROWS, query, 0.0)
            if isinstance(response, result.Err):
                return result.Err(response.err_value)
            page = response.ok_value
            version = version or page.version
            if version.era != page.version.era:
                return result.Err(row_store.StoreError.HISTORY_LOST)
            changes += page.changes
            if not page.has_more or not page.changes:
                return result.Ok(row_store.RowChanges(tuple(changes), version))
            first_key = page.changes[-1].key + '\0'

    async def watch(
        self, table: str, after_version: store_version.StoreVersion,
        wait_s: float
    ) -> result.Result[row_store.RowChanges, row_store.StoreError]:
        query = {
            'table': table,
            'after': str(after_version.counter),
            'wait_ms': str(round(wait_s * 1000))
        }
        response = await self._get(wire_names.UrlPath.WATCH_ROWS, query, wait_s)
        if response.err() is row_store.StoreError.HISTORY_LOST:
            self._log.write(log_events.LogEvent.STORE_HISTORY_LOST,
                            table=table,
                            after=after_version.counter,
                            after_era=after_version.era,
                            era=self._newest_era)
        return response.map(
            lambda page: row_store.RowChanges(page.changes, page.version))

    async def write(
        self, writes: Sequence[row_store.RowWrite]
    ) -> result.Result[store_version.StoreVersion, row_store.StoreError]:
        body = json.dumps(_encode_transaction(writes)).encode()
        response = await self._call('POST', wire_names.UrlPath.WRITE_ROWS, body,
                                    0.0)
        return response.map(lambda page: page.version)

    async def _get(self, path: str, query: dict[str, str],
                   wait_s: float) -> result.Result[_Page, row_store.StoreError]:
        return await self._call('GET', f'{path}?{parse.urlencode(query)}', b'',
                                wait_s)

    async def _call(
            self, method: str, target: str, body: bytes,
            wait_s: float) -> result.Result[_Page, row_store.StoreError]:
        response = await self._send(method, target, body, wait_s)
        outcome = 'ok' if response.is_ok() else response.unwrap_err().value
        self.calls_by_outcome[outcome] = self.calls_by_outcome.get(outcome,
                                                                   0) + 1
        return response

    def _record_era(self, value: str | None) -> int:
        """Records the era of a response; returns it.

        A response that does not tell it is taken to be of the newest one.
        """
        era = _parse_era(value)
        if era is None:
            return self._newest_era
        if era > self._newest_era:
            if self._newest_era:
                self._log.write(log_events.LogEvent.STORE_RESTORED, era=era)
            self._newest_era = era
        return era

    async def _send(
            self, method: str, target: str, body: bytes,
            wait_s: float) -> result.Result[_Page, row_store.StoreError]:
        try:
            async with contextlib.AsyncExitStack() as stack:
                async with asyncio.timeout(wait_s + _RESPONSE_TIMEOUT_S):
                    response = await stack.enter_async_context(
                        self._client.request(self._address,
                                             method,
                                             target,
                                             headers=_JSON_HEADERS,
                                             body=body))
                era = self._record_era(
                    response.header(wire_names.HeaderName.STORE_ERA))
                data = await response.read_all(
                    stall_timeout_s=_RESPONSE_TIMEOUT_S)
                if response.status != 200:
                    return result.Err(
                        _ERROR_BY_STATUS.get(response.status,
                                             row_store.StoreError.UNAVAILABLE))
                return result.Ok(_decode_page(json.loads(data), era))
        except http_client.HttpConnectError:
            return result.Err(row_store.StoreError.UNAVAILABLE)
        except (OSError, TimeoutError, ValueError, KeyError, TypeError,
                AttributeError):
            return result.Err(row_store.StoreError.UNKNOWN)


def _parse_era(value: str | None) -> int | None:
    if value is None or not (value.isascii() and value.isdecimal()):
        return None
    return int(value)


def _decode_page(document: Any, era: int) -> _Page:
    """Decodes a response.

    Raises:
        ValueError, KeyError, TypeError, AttributeError: the response is
            malformed.
    """
    return _Page(changes=tuple(_decode_changes(document, era)),
                 version=store_version.StoreVersion(era, int(document['ver'])),
                 has_more=bool(document.get('has_more')))


def _is_valid_text(text: str) -> bool:
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def _decode_changes(page: dict[str, Any],
                    era: int) -> list[row_store.RowChange]:
    """Decodes rows; a value that is not valid base64 becomes empty bytes.

    Rows whose keys are no valid text are left out: no peer could be told of
    them.

    The value of a removed row is None.
    """
    changes = []
    for row in page.get('rows') or ():
        key = str(row.get('key', ''))
        if not _is_valid_text(key):
            continue
        value: bytes | None = None
        if not row.get('removed'):
            try:
                value = base64.b64decode(row.get('value') or '')
            except (binascii.Error, ValueError):
                value = b''
        changes.append(
            row_store.RowChange(
                key, value,
                store_version.StoreVersion(era, int(row.get('ver', 0)))))
    return changes


def _encode_transaction(writes: Sequence[row_store.RowWrite]) -> dict[str, Any]:
    row_names = [{
        'table': write.table,
        'part': '',
        'key': write.key
    } for write in writes]
    return {
        # Despite its name, this field is a list: the rows that must have the
        # given version for the transaction to be applied.
        'expected_revision': [{
            **row_name, 'ver': write.expected_version.counter
        }
                              for row_name, write in zip(row_names, writes)
                              if write.expected_version is not None],
        'puts': [{
            **row_name, 'value': base64.b64encode(write.value).decode()
        }
                 for row_name, write in zip(row_names, writes)
                 if write.value is not None],
        'deletes': [
            row_name for row_name, write in zip(row_names, writes)
            if write.value is None
        ]
    }
