"""The host list over HTTP: `GET /hosts` answers with JSON."""

import asyncio

import pydantic
import result

from pollenthread.adapters import http_client
from pollenthread.ports import host_list

__all__ = ['HttpHostList']


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

    async def read(self) -> result.Result[dict[str, host_list.Host], str]:
        try:
            async with asyncio.timeout(self._timeout_s):
                async with self._client.request(self._address, 'GET',
                                                '/hosts') as exchange:
                    body = await exchange.read_all()
            if exchange.status != 200:
                return result.Err(f'the host list answered {exchange.status}')
            hosts = _HOSTS.validate_json(body)
        except (ConnectionError, TimeoutError, ValueError) as error:
            return result.Err(f'the host list cannot be read: {error}')
        return result.Ok({model.name: _host(model) for model in hosts})


def _host(model: _HostModel) -> host_list.Host:
    return host_list.Host(name=model.name,
                          role=model.role,
                          data_centre=model.data_centre,
                          region=model.region,
                          address=model.address,
                          callers=model.callers,
                          admin=model.admin,
                          serves=model.serves,
                          leaving=model.state == 'leaving')
