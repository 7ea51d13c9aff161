"""HTTP client of the engine or plain service on the same host as the agent."""

import contextlib
from collections.abc import AsyncIterator

from pollenthread.adapters import http_client
from pollenthread.core import http_headers
from pollenthread.ports import local_upstream

__all__ = ['HttpLocalUpstream']

_HOP_BY_HOP_HEADERS = frozenset({
    'connection', 'keep-alive', 'transfer-encoding', 'content-length', 'te',
    'trailer', 'upgrade', 'proxy-authenticate', 'proxy-connection'
})


class _HttpLocalUpstreamResponse(local_upstream.LocalUpstreamResponse):
    """Adapts a response of the HTTP client; drops hop-by-hop headers."""

    def __init__(self, *, response: http_client.ClientResponse) -> None:
        self._response = response

    @property
    def status(self) -> int:
        return self._response.status

    @property
    def headers(self) -> tuple[http_headers.Header, ...]:
        return tuple((name, value)
                     for name, value in self._response.headers
                     if name not in _HOP_BY_HOP_HEADERS)

    @property
    def is_delimited(self) -> bool:
        return self._response.is_delimited

    def read(self) -> AsyncIterator[bytes]:
        return self._response.read()


class HttpLocalUpstream(local_upstream.LocalUpstream):
    """Sends requests to one address."""

    def __init__(self, *, client: http_client.HttpClient, address: str) -> None:
        self._client = client
        self._address = address

    @contextlib.asynccontextmanager
    async def _send(
        self, request: local_upstream.LocalUpstreamRequest
    ) -> AsyncIterator[local_upstream.LocalUpstreamResponse]:
        try:
            async with self._client.request(self._address,
                                            request.method,
                                            request.path,
                                            headers=request.headers,
                                            body=request.body) as response:
                yield _HttpLocalUpstreamResponse(response=response)
        except http_client.HttpConnectError as error:
            raise local_upstream.LocalUpstreamConnectError(
                str(error)) from error

    def call(
        self, request: local_upstream.LocalUpstreamRequest
    ) -> contextlib.AbstractAsyncContextManager[
            local_upstream.LocalUpstreamResponse]:
        return self._send(request)
