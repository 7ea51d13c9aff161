"""Servers over HTTP."""

import contextlib
from collections.abc import AsyncIterator

from pollenthread.adapters import http_client
from pollenthread.core import http_headers
from pollenthread.platform import wire_names
from pollenthread.ports import upstream

__all__ = ['HttpUpstreamClient']

_MS_PER_S = 1000
_MAX_STALE_ANSWERS = 4
_MISDIRECTED = 421
_MAX_ANSWER_BYTES = 16 * 1024 * 1024
# Headers that concern one connection, or that the product writes anew.
_NOT_PASSED_ON = frozenset({
    'connection', 'keep-alive', 'proxy-connection', 'te', 'trailer',
    'transfer-encoding', 'upgrade', 'content-length', wire_names.HeaderName.NOT_EXECUTED
})


class HttpUpstreamClient(upstream.Upstream):
    """Sends requests over kept connections."""

    def __init__(self, *, client: http_client.HttpClient) -> None:
        self._client = client
        self.stale_responses = 0

    # A decorated generator is the context manager that the port asks for.
    @contextlib.asynccontextmanager
    async def send(  # pylint: disable=invalid-overridden-method
        self, attempt: upstream.UpstreamRequest
    ) -> AsyncIterator[upstream.UpstreamAnswer]:
        request = attempt.request
        try:
            async with self._client.request(attempt.server.address,
                                            request.method,
                                            request.target,
                                            headers=_headers(attempt),
                                            body=request.body) as exchange:
                await self._skip_stale(exchange, request.id)
                yield _Answer(exchange)
        except http_client.ConnectFailed as error:
            raise upstream.ConnectFailed(str(error)) from error
        except OSError as error:
            raise upstream.UpstreamBroken(str(error)) from error

    async def _skip_stale(self, exchange: http_client.ClientExchange,
                          request_id: str) -> None:
        """Reads on to the answer that bears this request's id."""
        for _ in range(_MAX_STALE_ANSWERS):
            echoed = exchange.header(wire_names.HeaderName.REQUEST_ID)
            if echoed is None or echoed == request_id:
                return
            self.stale_responses += 1
            await exchange.skip()
        raise ConnectionError('only answers to other requests came')


def _headers(attempt: upstream.UpstreamRequest) -> list[http_headers.Header]:
    request = attempt.request
    time_left_ms = max(1, int(attempt.time_left_s * _MS_PER_S))
    headers = [('host', request.host), *request.headers,
               (wire_names.HeaderName.DEADLINE_MS, str(time_left_ms)),
               (wire_names.HeaderName.TARGET_SERVER, attempt.server.id),
               (wire_names.HeaderName.PRIORITY, str(attempt.urgency))]
    if attempt.workspace is not None:
        headers.append((wire_names.HeaderName.WORKSPACE, attempt.workspace))
    if attempt.last_event_id is not None:
        headers.append((wire_names.HeaderName.LAST_EVENT_ID, attempt.last_event_id))
    return headers


class _Answer(upstream.UpstreamAnswer):
    """An answer over HTTP."""

    def __init__(self, exchange: http_client.ClientExchange) -> None:
        self._exchange = exchange
        self.status = exchange.status
        self.headers = tuple((name, value)
                             for name, value in exchange.headers
                             if name not in _NOT_PASSED_ON)
        not_run = exchange.header(wire_names.HeaderName.NOT_EXECUTED) is not None
        self.is_other_server = self.status == _MISDIRECTED
        self.has_run = not (not_run or self.is_other_server)
        self.load = _load(exchange.header(wire_names.HeaderName.SERVER_LOAD))
        connection = exchange.header('connection') or ''
        self.is_leaving = 'close' in connection.lower()

    # An async generator is the iterator that the port asks for.
    # pylint: disable-next=invalid-overridden-method
    async def read(self) -> AsyncIterator[bytes]:
        size = 0
        try:
            async for data in self._exchange.read():
                size += len(data)
                if size > _MAX_ANSWER_BYTES:
                    raise upstream.UpstreamBroken(
                        f'the answer exceeds {_MAX_ANSWER_BYTES} bytes')
                yield data
        except OSError as error:
            raise upstream.UpstreamBroken(str(error)) from error


def _load(value: str | None) -> upstream.ServerLoad | None:
    try:
        running, waiting, slots = (value or '').split(',')
        return upstream.ServerLoad(int(running), int(waiting), int(slots))
    except ValueError:
        return None
