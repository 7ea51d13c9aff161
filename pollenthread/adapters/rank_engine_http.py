"""HTTP client of the engine of a rank, over loopback."""

import asyncio
import base64
import json
from typing import Any

from pollenthread.adapters import http_client
from pollenthread.ports import rank_engine

__all__ = ['HttpRankEngine']

_TIMEOUT_S = 2.0
_LOAD_TIMEOUT_S = 600.0


class HttpRankEngine(rank_engine.RankEngine):
    """Sends the requests for one rank to one address."""

    def __init__(self, *, client: http_client.HttpClient, address: str,
                 index: int) -> None:
        self._client = client
        self._address = address
        self._path = f'/ranks/{index}'

    async def read_status(self) -> rank_engine.RankEngineStatus:
        _, body = await self._request('GET', '', None, _TIMEOUT_S)
        return rank_engine.RankEngineStatus(incarnation=body['incarnation'],
                                            step=body['step'],
                                            state=base64.b64decode(
                                                body['state']))

    async def write_state(self, state: bytes, *, incarnation: int) -> bool:
        status, _ = await self._request('PUT', '/state', {
            'state': base64.b64encode(state).decode(),
            'incarnation': incarnation
        }, _TIMEOUT_S)
        return status == 200

    async def load_weights(self, map_version: int) -> bool:
        status, _ = await self._request('POST', '/load',
                                        {'version': map_version},
                                        _LOAD_TIMEOUT_S)
        return status == 200

    async def _request(self, method: str, path: str, document: Any,
                       timeout_s: float) -> tuple[int, Any]:
        body = b'' if document is None else json.dumps(document).encode()
        try:
            async with asyncio.timeout(timeout_s):
                async with self._client.request(self._address,
                                                method,
                                                self._path + path,
                                                body=body) as response:
                    data = await response.read_all()
                    return response.status, json.loads(data)
        except (OSError, TimeoutError, ValueError) as error:
            raise rank_engine.RankEngineUnavailableError(str(error)) from error
