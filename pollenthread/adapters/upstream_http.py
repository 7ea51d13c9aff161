"""The engine or plain service beside an agent, over HTTP on loopback."""

import contextlib
from collections.abc import AsyncIterator

from pollenthread.adapters import http_client
from pollenthread.core import http_headers
from pollenthread.ports import local_upstream

__all__ = ['HttpLocalUpstream']

_HOP_HEADERS = frozenset({
    'connection', 'keep-alive', 'transfer-encoding', 'content-length', 'te',
    'trailer', 'upgrade', 'proxy-authenticate', 'proxy-connection'
})


class _HttpExchange(local_upstream.LocalUpstreamResponse):
    """Adapts an exchange of the HTTP client."""

    def __init__(self, *, exchange: http_client.ClientResponse) -> None:
        self._exchange = exchange

    @property
    def status(self) -> int:
        return self._exchange.status

    @property
    def headers(self) -> tuple[http_headers.Header, ...]:
        return tuple((name, value)
                     for name, value in self._exchange.headers
                     if name not in _HOP_HEADERS)

    @property
    def is_delimited(self) -> bool:
        return self._exchange.is_delimited

    def read(self) -> AsyncIterator[bytes]:
        return self._exchange.read()


class HttpLocalUpstream(local_upstream.LocalUpstream):
    """Calls one address."""

    def __init__(self, *, client: http_client.HttpClient, address: str) -> None:
        self._client = client
        self._address = address

    @contextlib.asynccontextmanager
    async def _call(
        self, request: local_upstream.LocalUpstreamRequest
    ) -> AsyncIterator[local_upstream.LocalUpstreamResponse]:
        try:
            async with self._client.request(self._address,
                                            request.method,
                                            request.path,
                                            headers=request.headers,
                                            body=request.body) as exchange:
                yield _HttpExchange(exchange=exchange)
        except http_client.HttpConnectError as error:
            raise local_upstream.LocalUpstreamConnectError(
                str(error)) from error

    def call(
        self, request: local_upstream.LocalUpstreamRequest
    ) -> contextlib.AbstractAsyncContextManager[
            local_upstream.LocalUpstreamResponse]:
        return self._call(request)
