"""The host list over HTTP: `GET /hosts` answers with JSON.

The list is large and seldom changes, so a conditional request (RFC 9110) asks
for it by the entity tag of the last answer.
"""

import asyncio

import pydantic
import result

from pollenthread.adapters import http_client
from pollenthread.ports import host_list

__all__ = ['HttpHostList']

_NOT_MODIFIED = 304


class _HostModel(pydantic.BaseModel):
    """One host as the platform writes it."""

    name: str
    role: str
    data_centre: str
    region: str
    address: str
    callers: str = ''
    admin: str = ''
    serves: str = ''
    state: str = 'live'


_HOSTS = pydantic.TypeAdapter(list[_HostModel])


class HttpHostList(host_list.HostList):
    """A client of the host list."""

    def __init__(self,
                 *,
                 client: http_client.HttpClient,
                 address: str,
                 timeout_s: float = 1.0) -> None:
        self._client = client
        self._address = address
        self._timeout_s = timeout_s
        self._tag: str | None = None
        self._by_name: dict[str, host_list.ListedHost] = {}

    async def read(self) -> result.Result[dict[str, host_list.ListedHost], str]:
        headers = [] if self._tag is None else [('if-none-match', self._tag)]
        try:
            async with asyncio.timeout(self._timeout_s):
                async with self._client.request(self._address,
                                                'GET',
                                                '/hosts',
                                                headers=headers) as exchange:
                    body = await exchange.read_all()
            if exchange.status == _NOT_MODIFIED:
                return result.Ok(self._by_name)
            if exchange.status != 200:
                return result.Err(f'the host list answered {exchange.status}')
            hosts = _HOSTS.validate_json(body)
        except (ConnectionError, TimeoutError, ValueError) as error:
            return result.Err(f'the host list cannot be read: {error}')
        self._by_name = {model.name: _host(model) for model in hosts}
        self._tag = dict(exchange.headers).get('etag')
        return result.Ok(self._by_name)


def _host(model: _HostModel) -> host_list.ListedHost:
    return host_list.ListedHost(name=model.name,
                                role=model.role,
                                data_centre=model.data_centre,
                                region=model.region,
                                link_address=model.address,
                                caller_address=model.callers,
                                admin_address=model.admin,
                                service_group=model.serves,
                                is_terminating=model.state == 'leaving')
