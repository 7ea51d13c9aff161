"""Servers over HTTP."""

import contextlib
from collections.abc import AsyncIterator

from pollenthread.adapters import http_client
from pollenthread.core import http_headers
from pollenthread.platform import names
from pollenthread.ports import upstream

__all__ = ['HttpUpstream']

_MS_PER_S = 1000
_MAX_STALE_ANSWERS = 4
_MISDIRECTED = 421
_MAX_ANSWER_BYTES = 16 * 1024 * 1024
# Headers that concern one connection, or that the product writes anew.
_NOT_PASSED_ON = frozenset({
    'connection', 'keep-alive', 'proxy-connection', 'te', 'trailer',
    'transfer-encoding', 'upgrade', 'content-length', names.Header.NOT_RUN
})


class HttpUpstream(upstream.UpstreamClient):
    """Sends requests over kept connections."""

    def __init__(self, *, client: http_client.HttpClient) -> None:
        self._client = client
        self.stale_answers = 0

    # A decorated generator is the context manager that the port asks for.
    @contextlib.asynccontextmanager
    async def send(  # pylint: disable=invalid-overridden-method
        self, attempt: upstream.UpstreamAttempt
    ) -> AsyncIterator[upstream.UpstreamResponse]:
        request = attempt.request
        try:
            async with self._client.request(attempt.server.address,
                                            request.method,
                                            request.target,
                                            headers=_headers(attempt),
                                            body=request.body) as exchange:
                await self._skip_stale(exchange, request.id)
                yield _Answer(exchange)
        except http_client.HttpConnectError as error:
            raise upstream.UpstreamConnectError(str(error)) from error
        except OSError as error:
            raise upstream.UpstreamDisconnectedError(str(error)) from error

    async def _skip_stale(self, exchange: http_client.ClientResponse,
                          request_id: str) -> None:
        """Reads on to the answer that bears this request's id."""
        for _ in range(_MAX_STALE_ANSWERS):
            echoed = exchange.header(names.Header.REQUEST_ID)
            if echoed is None or echoed == request_id:
                return
            self.stale_answers += 1
            await exchange.skip_to_next_response()
        raise ConnectionError('only answers to other requests came')


def _headers(attempt: upstream.UpstreamAttempt) -> list[http_headers.Header]:
    request = attempt.request
    time_left_ms = max(1, int(attempt.time_left_s * _MS_PER_S))
    headers = [('host', request.host), *request.headers,
               (names.Header.DEADLINE_MS, str(time_left_ms)),
               (names.Header.TARGET_SERVER, attempt.server.id),
               (names.Header.URGENCY, str(attempt.priority))]
    if attempt.workspace is not None:
        headers.append((names.Header.WORKSPACE, attempt.workspace))
    if attempt.last_event_id is not None:
        headers.append((names.Header.LAST_EVENT_ID, attempt.last_event_id))
    return headers


class _Answer(upstream.UpstreamResponse):
    """An answer over HTTP."""

    def __init__(self, exchange: http_client.ClientResponse) -> None:
        self._exchange = exchange
        self.status = exchange.status
        self.headers = tuple((name, value)
                             for name, value in exchange.headers
                             if name not in _NOT_PASSED_ON)
        not_run = exchange.header(names.Header.NOT_RUN) is not None
        self.is_misdirected = self.status == _MISDIRECTED
        self.may_have_executed = not (not_run or self.is_misdirected)
        self.load = _load(exchange.header(names.Header.SERVER_LOAD))
        connection = exchange.header('connection') or ''
        self.closes_connection = 'close' in connection.lower()

    # An async generator is the iterator that the port asks for.
    # pylint: disable-next=invalid-overridden-method
    async def read(self) -> AsyncIterator[bytes]:
        size = 0
        try:
            async for data in self._exchange.read():
                size += len(data)
                if size > _MAX_ANSWER_BYTES:
                    raise upstream.UpstreamDisconnectedError(
                        f'the answer exceeds {_MAX_ANSWER_BYTES} bytes')
                yield data
        except OSError as error:
            raise upstream.UpstreamDisconnectedError(str(error)) from error


def _load(value: str | None) -> upstream.ReportedServerLoad | None:
    try:
        running, waiting, slots = (value or '').split(',')
        return upstream.ReportedServerLoad(int(running), int(waiting),
                                           int(slots))
    except ValueError:
        return None
