"""HTTP client of the host list: `GET /hosts` returns JSON.

The list is large and seldom changes, so it is requested conditionally (RFC
9110), with the entity tag of the last response.
"""

import asyncio

import pydantic
import result

from pollenthread.adapters import http_client
from pollenthread.ports import host_list

__all__ = ['HttpHostList']

_NOT_MODIFIED = 304


class _HostModel(pydantic.BaseModel):
    """A host in the JSON format of the platform."""

    name: str
    role: str
    data_centre: str
    region: str
    address: str
    callers: str = ''
    admin: str = ''
    serves: str = ''
    state: str = 'live'


_HOSTS_ADAPTER = pydantic.TypeAdapter(list[_HostModel])


class HttpHostList(host_list.HostList):
    """HTTP client of the host list; caches the last list."""

    def __init__(self,
                 *,
                 client: http_client.HttpClient,
                 address: str,
                 timeout_s: float = 1.0) -> None:
        self._client = client
        self._address = address
        self._timeout_s = timeout_s
        self._etag: str | None = None
        self._hosts: dict[str, host_list.ListedHost] = {}

    async def read(self) -> result.Result[dict[str, host_list.ListedHost], str]:
        headers = [] if self._etag is None else [('if-none-match', self._etag)]
        try:
            async with asyncio.timeout(self._timeout_s):
                async with self._client.request(self._address,
                                                'GET',
                                                '/hosts',
                                                headers=headers) as response:
                    body = await response.read_all()
            if response.status == _NOT_MODIFIED:
                return result.Ok(self._hosts)
            if response.status != 200:
                return result.Err(
                    f'the host list responded with status {response.status}')
            hosts = _HOSTS_ADAPTER.validate_json(body)
        except (ConnectionError, TimeoutError, ValueError) as error:
            return result.Err(f'cannot read the host list: {error}')
        self._hosts = {model.name: _listed_host(model) for model in hosts}
        self._etag = dict(response.headers).get('etag')
        return result.Ok(self._hosts)


def _listed_host(model: _HostModel) -> host_list.ListedHost:
    return host_list.ListedHost(name=model.name,
                                role=model.role,
                                data_centre=model.data_centre,
                                region=model.region,
                                link_address=model.address,
                                caller_address=model.callers,
                                admin_address=model.admin,
                                service_group=model.serves,
                                is_terminating=model.state == 'leaving')
