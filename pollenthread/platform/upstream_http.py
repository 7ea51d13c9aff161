"""HTTP client that sends request attempts to servers."""

import contextlib
import math
from collections.abc import AsyncIterator

from pollenthread.adapters import http_client
from pollenthread.core import http_headers, server_registry
from pollenthread.platform import wire_names
from pollenthread.ports import upstream

__all__ = ['HttpUpstreamClient']

_MS_PER_S = 1000
_MAX_STALE_RESPONSES = 4
_MISDIRECTED_REQUEST_STATUS = 421
_UNAVAILABLE_STATUS = 503
_IS_LEAVING = '1'
_MAX_RESPONSE_BYTES = 16 * 1024 * 1024
# Hop-by-hop headers, and headers that are set again for the caller.
_HEADERS_NOT_FORWARDED = frozenset({
    'connection', 'keep-alive', 'proxy-connection', 'te', 'trailer',
    'transfer-encoding', 'upgrade', 'content-length',
    wire_names.HeaderName.NOT_EXECUTED
})


class HttpUpstreamClient(upstream.UpstreamClient):
    """Sends attempts over persistent connections.

    Attributes:
        stale_responses: number of skipped responses to other requests.
    """

    def __init__(self, *, client: http_client.HttpClient) -> None:
        self._client = client
        self.stale_responses = 0

    # The decorated generator implements the context manager of the port.
    @contextlib.asynccontextmanager
    async def send(  # pylint: disable=invalid-overridden-method
        self, attempt: upstream.UpstreamAttempt
    ) -> AsyncIterator[upstream.UpstreamResponse]:
        request = attempt.request
        try:
            async with self._client.request(attempt.server.address,
                                            request.method,
                                            request.target,
                                            headers=_build_headers(attempt),
                                            body=request.body) as response:
                await self._skip_stale_responses(response, request.id)
                yield _HttpUpstreamResponse(response)
        except http_client.HttpConnectError as error:
            raise upstream.UpstreamConnectError(str(error)) from error
        except OSError as error:
            raise upstream.UpstreamDisconnectedError(str(error)) from error

    async def is_refusing(self, server: server_registry.Server) -> bool:
        return await self._client.is_refusing(server.address)

    async def _skip_stale_responses(self, response: http_client.ClientResponse,
                                    request_id: str) -> None:
        """Skips responses whose request id belongs to another request.

        Raises:
            ConnectionError: too many responses in a row were skipped, or a
                response has no id and may belong to an earlier request.
        """
        for _ in range(_MAX_STALE_RESPONSES):
            echoed_id = response.header(wire_names.HeaderName.REQUEST_ID)
            if echoed_id is None and request_id and (
                    response.is_on_reused_connection):
                raise ConnectionError('the response names no request')
            if echoed_id is None or echoed_id == request_id:
                return
            self.stale_responses += 1
            await response.skip_to_next_response()
        raise ConnectionError('only answers to other requests came')


def _build_headers(
        attempt: upstream.UpstreamAttempt) -> list[http_headers.Header]:
    request = attempt.request
    time_left_ms = max(1, int(attempt.time_left_s * _MS_PER_S))
    headers = [('host', request.host), *request.headers,
               (wire_names.HeaderName.DEADLINE_MS, str(time_left_ms)),
               (wire_names.HeaderName.TARGET_SERVER, attempt.server.id),
               (wire_names.HeaderName.PRIORITY, str(attempt.priority))]
    if attempt.workspace is not None:
        headers.append((wire_names.HeaderName.WORKSPACE, attempt.workspace))
    if attempt.last_event_id is not None:
        headers.append(
            (wire_names.HeaderName.LAST_EVENT_ID, attempt.last_event_id))
    return headers


class _HttpUpstreamResponse(upstream.UpstreamResponse):
    """HTTP response of a server."""

    def __init__(self, response: http_client.ClientResponse) -> None:
        self._response = response
        self.status = response.status
        self.headers = tuple((name, value)
                             for name, value in response.headers
                             if name not in _HEADERS_NOT_FORWARDED)
        not_executed = response.header(
            wire_names.HeaderName.NOT_EXECUTED) is not None
        self.is_misdirected = self.status == _MISDIRECTED_REQUEST_STATUS
        self.may_have_executed = not (not_executed or self.is_misdirected)
        self.load = _parse_load(
            response.header(wire_names.HeaderName.SERVER_LOAD))
        self.limit_per_s = _parse_limit(
            response.header(wire_names.HeaderName.SERVER_LIMIT),
            may_have_executed=self.may_have_executed)
        self.is_leaving = (response.header(
            wire_names.HeaderName.SERVER_LEAVING) == _IS_LEAVING)
        if self.status == _UNAVAILABLE_STATUS:
            self.pause_s = _parse_pause(
                response.header(wire_names.HeaderName.RETRY_AFTER))
        connection = response.header('connection') or ''
        self.closes_connection = 'close' in connection.lower()

    # The async generator implements the iterator of the port.
    # pylint: disable-next=invalid-overridden-method
    async def read(self) -> AsyncIterator[bytes]:
        size_bytes = 0
        try:
            async for data in self._response.read():
                size_bytes += len(data)
                if size_bytes > _MAX_RESPONSE_BYTES:
                    raise upstream.UpstreamDisconnectedError(
                        f'the answer exceeds {_MAX_RESPONSE_BYTES} bytes')
                yield data
        except OSError as error:
            raise upstream.UpstreamDisconnectedError(str(error)) from error


def _parse_load(value: str | None) -> upstream.ReportedServerLoad | None:
    try:
        running, waiting, slots = (value or '').split(',')
        return upstream.ReportedServerLoad(int(running), int(waiting),
                                           int(slots))
    except ValueError:
        return None


def _parse_limit(value: str | None, *, may_have_executed: bool) -> float | None:
    """Returns the limit of a server, in requests per second.

    Rejections do not always name it, so one without it tells nothing.
    """
    if value is None:
        return math.inf if may_have_executed else None
    try:
        limit_per_s = float(value)
    except ValueError:
        return None
    return limit_per_s if 0 <= limit_per_s < math.inf else None


def _parse_pause(value: str | None) -> float | None:
    """Returns a pause in seconds; None if there is none or it is malformed."""
    try:
        pause_s = float(value or '')
    except ValueError:
        return None
    return pause_s if 0 < pause_s < math.inf else None
