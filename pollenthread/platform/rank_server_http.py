"""HTTP client for the status, expert counts and orders of a model server."""

import asyncio
import json
from typing import Any

from pollenthread.adapters import http_client
from pollenthread.core import peer_messages
from pollenthread.platform import wire_names
from pollenthread.ports import rank_server

__all__ = ['HttpRankServer']

_RESPONSE_TIMEOUT_S = 0.08
# The body crosses the links of two hosts, on which other data may be queued.
_TRANSFER_FACTOR = 4
_JSON_HEADERS = (('content-type', 'application/json'),)
_PERCENT = 100
_COMPACT_SEPARATORS = (',', ':')
_DECODE_ERRORS = (KeyError, TypeError, ValueError, AttributeError)


class HttpRankServer(rank_server.RankServer):
    """Client of one model server that is a rank of a group."""

    def __init__(self, *, client: http_client.HttpClient, address: str,
                 link_bytes_per_s: float) -> None:
        """Initializes a client.

        Args:
            client: sends the requests.
            address: `ip:port` of the server.
            link_bytes_per_s: bandwidth of the link to the server.
        """
        self._client = client
        self._address = address
        self._link_bytes_per_s = link_bytes_per_s

    async def fetch_status(self) -> rank_server.RankServerStatus:
        _, document = await self._call('GET', wire_names.UrlPath.RANK_STATUS)
        try:
            return _decode_status(document)
        except _DECODE_ERRORS as error:
            raise rank_server.RankServerUnavailableError(repr(error)) from error

    async def fetch_choice_counts(self) -> rank_server.ExpertChoiceCounts:
        _, document = await self._call('GET', wire_names.UrlPath.EXPERT_COUNTS)
        try:
            return rank_server.ExpertChoiceCounts(
                step=int(document['step']),
                epoch=int(document['epoch']),
                counts=tuple(map(int, document['counts'])))
        except _DECODE_ERRORS as error:
            raise rank_server.RankServerUnavailableError(repr(error)) from error

    async def fetch_layout(self) -> peer_messages.RankLayout:
        _, document = await self._call(
            'GET', f'{wire_names.UrlPath.EXPERT_COUNTS}?lists=1')
        try:
            return peer_messages.RankLayout(
                epoch=int(document['epoch']),
                version=int(document['map']['version']),
                experts=tuple(
                    tuple(map(int, experts))
                    for experts in document['map']['experts']))
        except _DECODE_ERRORS as error:
            raise rank_server.RankServerUnavailableError(repr(error)) from error

    async def send_order(self, order: peer_messages.RankOrder) -> int:
        body: dict[str, Any] = {
            'operation': order.kind.value,
            'epoch': order.epoch
        }
        if order.kind in (peer_messages.OrderKind.PREPARE,
                          peer_messages.OrderKind.ARM,
                          peer_messages.OrderKind.DISARM):
            body['version'] = order.version
        if order.kind is peer_messages.OrderKind.PREPARE:
            body['map'] = order.layouts
        if order.kind in (peer_messages.OrderKind.ARM,
                          peer_messages.OrderKind.HOLD,
                          peer_messages.OrderKind.GO):
            body['step'] = order.step
        status, _ = await self._call(
            'POST', wire_names.UrlPath.RANK_ORDER,
            json.dumps(body, separators=_COMPACT_SEPARATORS).encode())
        return status

    async def _call(self,
                    method: str,
                    target: str,
                    body: bytes = b'') -> tuple[int, Any]:
        try:
            async with asyncio.timeout(self._timeout_s(len(body))):
                try:
                    return await self._send(method, target, body)
                except ConnectionError:
                    # Servers close idle connections without notice. All
                    # requests of this client are idempotent and can be retried.
                    return await self._send(method, target, body)
        except (OSError, TimeoutError, ValueError) as error:
            raise rank_server.RankServerUnavailableError(repr(error)) from error

    def _timeout_s(self, body_bytes: int) -> float:
        """Returns the time limit of a call; a map takes a thin link a while."""
        return (_RESPONSE_TIMEOUT_S +
                _TRANSFER_FACTOR * body_bytes / self._link_bytes_per_s)

    async def _send(self, method: str, target: str,
                    body: bytes) -> tuple[int, Any]:
        async with self._client.request(self._address,
                                        method,
                                        target,
                                        headers=_JSON_HEADERS,
                                        body=body) as response:
            data = await response.read_all()
            return response.status, json.loads(data or b'null')


def _decode_status(document: dict[str, Any]) -> rank_server.RankServerStatus:
    group = document.get('group') or {}
    armed = document.get('armed') or {}
    state = peer_messages.RankState(
        group=str(group.get('name', '')),
        host='',
        rank=int(group.get('rank', 0)),
        size=int(document.get('size', 1)),
        epoch=int(group.get('epoch', 0)),
        is_open=group.get('state') == 'open',
        born_ms=int(document.get('born', 0)),
        step=int(document.get('step') or 0),
        map_version=int(document.get('map') or 0),
        prepared_version=_decode_version(document.get('prepared')),
        armed_version=_decode_version(armed),
        armed_step=int(armed.get('step', 0)) if isinstance(armed, dict) else 0,
        held_step=_decode_step(document.get('held')),
        is_busy=bool(document.get('busy')),
        pace_percent=int(float(document.get('pace', 1.0)) * _PERCENT))
    return rank_server.RankServerStatus(
        state=state,
        running=int(document['running']),
        waiting=int(document['waiting']),
        is_group_member=bool(group.get('name')),
        kv_tokens=int(document.get('kv_used') or 0),
        kv_capacity_tokens=int(document.get('kv_total') or 0))


def _decode_version(value: Any) -> int:
    """Decodes a version, given as a number or as an object with a version."""
    if isinstance(value, dict):
        value = value.get('version')
    return int(value or 0)


def _decode_step(value: Any) -> int:
    """Decodes the number of a pass, given as a number or in an object."""
    if isinstance(value, dict):
        value = value.get('step')
    return int(value or 0)
