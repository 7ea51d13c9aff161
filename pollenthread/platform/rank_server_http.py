"""Model servers' reports, counts and orders over HTTP."""

import asyncio
import json
from typing import Any

from pollenthread.adapters import http_client
from pollenthread.core import peer_messages
from pollenthread.platform import wire_names
from pollenthread.ports import rank_server

__all__ = ['HttpRankServer']

_ANSWER_TIMEOUT_S = 0.08
_JSON = (('content-type', 'application/json'),)
_PERCENT = 100
_COMPACT = (',', ':')
_MALFORMED = (KeyError, TypeError, ValueError, AttributeError)


class HttpRankServer(rank_server.RankServer):
    """Asks and orders one server."""

    def __init__(self, *, client: http_client.HttpClient, address: str) -> None:
        self._client = client
        self._address = address

    async def report(self) -> rank_server.RankReport:
        _, found = await self._call('GET', wire_names.UrlPath.RANK_STATUS)
        try:
            return _report(found)
        except _MALFORMED as error:
            raise rank_server.RankSilent(repr(error)) from error

    async def counts(self) -> rank_server.RankCounts:
        _, found = await self._call('GET', wire_names.UrlPath.EXPERT_COUNTS)
        try:
            return rank_server.RankCounts(step=int(found['step']),
                                          epoch=int(found['epoch']),
                                          counts=tuple(map(
                                              int, found['counts'])))
        except _MALFORMED as error:
            raise rank_server.RankSilent(repr(error)) from error

    async def layout(self) -> peer_messages.RankLayout:
        _, found = await self._call('GET',
                                    f'{wire_names.UrlPath.EXPERT_COUNTS}?lists=1')
        try:
            return peer_messages.RankLayout(
                epoch=int(found['epoch']),
                version=int(found['map']['version']),
                experts=tuple(
                    tuple(map(int, held)) for held in found['map']['experts']))
        except _MALFORMED as error:
            raise rank_server.RankSilent(repr(error)) from error

    async def order(self, order: peer_messages.RankOrder) -> int:
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
            json.dumps(body, separators=_COMPACT).encode())
        return status

    async def _call(self,
                    method: str,
                    target: str,
                    body: bytes = b'') -> tuple[int, Any]:
        try:
            async with asyncio.timeout(_ANSWER_TIMEOUT_S):
                try:
                    return await self._exchange(method, target, body)
                except ConnectionError:
                    # Servers drop idle connections without notice. Whatever is
                    # asked or ordered here may be repeated.
                    return await self._exchange(method, target, body)
        except (OSError, TimeoutError, ValueError) as error:
            raise rank_server.RankSilent(repr(error)) from error

    async def _exchange(self, method: str, target: str,
                        body: bytes) -> tuple[int, Any]:
        async with self._client.request(self._address,
                                        method,
                                        target,
                                        headers=_JSON,
                                        body=body) as exchange:
            data = await exchange.read_all()
            return exchange.status, json.loads(data or b'null')


def _report(found: dict[str, Any]) -> rank_server.RankReport:
    group = found.get('group') or {}
    armed = found.get('armed') or {}
    state = peer_messages.RankState(
        group=str(group.get('name', '')),
        host='',
        rank=int(group.get('rank', 0)),
        size=int(found.get('size', 1)),
        epoch=int(group.get('epoch', 0)),
        is_open=group.get('state') == 'open',
        born_ms=int(found.get('born', 0)),
        step=int(found.get('step') or 0),
        map_version=int(found.get('map') or 0),
        prepared_version=_version(found.get('prepared')),
        armed_version=_version(armed),
        armed_step=int(armed.get('step', 0)) if isinstance(armed, dict) else 0,
        held_step=_step(found.get('held')),
        is_busy=bool(found.get('busy')),
        pace_percent=int(float(found.get('pace', 1.0)) * _PERCENT))
    return rank_server.RankReport(state=state,
                                  running=int(found['running']),
                                  waiting=int(found['waiting']),
                                  is_in_group=bool(group.get('name')))


def _version(value: Any) -> int:
    """A version that stands bare or in an object."""
    if isinstance(value, dict):
        value = value.get('version')
    return int(value or 0)


def _step(value: Any) -> int:
    """A pass that stands bare or in an object."""
    if isinstance(value, dict):
        value = value.get('step')
    return int(value or 0)
