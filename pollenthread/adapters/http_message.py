"""Types of the HTTP server that its request handlers use."""

import abc
import contextlib
import dataclasses
import json
from collections.abc import Iterable
from typing import Any

import h11

from pollenthread.core import errors, http_headers

__all__ = [
    'RequestHandler', 'ServerLimits', 'HttpRequest', 'HttpResponse',
    'ResponseTransport', 'problem_body'
]


@dataclasses.dataclass(frozen=True)
class ServerLimits:
    """Limits of an HTTP server and its connections.

    Attributes:
        max_head_bytes: the size of a request's target and headers.
        max_body_bytes: the size of a request's body.
        max_head_fields: the number of a request's headers.
        head_timeout_s: seconds from a request's first byte to the end of its
            headers.
        body_timeout_s: seconds from the end of the headers to the end of the
            body.
        idle_timeout_s: seconds that a connection may be idle between requests.
        lingering_close_s: seconds for which data is still received and
            discarded after a request was rejected, or for which unsent data is
            still sent after the connection was closed.
        max_unsent_bytes: the size of the send buffer above which writing a
            response waits.
        send_stall_timeout_s: seconds without progress after which a connection
            is closed whose client does not read a response.
    """

    max_head_bytes: int = 16 * 1024
    max_body_bytes: int = 1024 * 1024
    max_head_fields: int = 1024
    head_timeout_s: float = 10.0
    body_timeout_s: float = 20.0
    idle_timeout_s: float = 75.0
    lingering_close_s: float = 1.0
    max_unsent_bytes: int = 64 * 1024
    send_stall_timeout_s: float = 20.0


@dataclasses.dataclass(frozen=True)
class HttpRequest:
    """A complete request.

    Attributes:
        method: the HTTP method.
        target: the path with its query.
        headers: names in lower case, values as sent.
        body: the complete body.
        client_ip: the caller's IP address.
    """

    method: str
    target: str
    headers: tuple[http_headers.Header, ...]
    body: bytes
    client_ip: str

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition('?')[0]

    def header(self, name: str) -> str | None:
        """Returns the value of the first header with a lower-case name."""
        for key, value in self.headers:
            if key == name:
                return value
        return None

    def header_count(self, name: str) -> int:
        """Returns the number of headers with a lower-case name."""
        return sum(1 for key, _ in self.headers if key == name)


class ResponseTransport(abc.ABC):
    """The connection through which a response is sent.

    Attributes:
        should_close: whether the connection closes after the current response.
        request_method: the HTTP method of the current request.
    """

    should_close: bool
    request_method: str

    @property
    @abc.abstractmethod
    def is_writable(self) -> bool:
        """Whether the connection is open and its send buffer is not full."""

    @abc.abstractmethod
    def send_events(self, *events: h11.Event) -> None:
        """Writes the encoded events with one call to the transport.

        Raises:
            ConnectionError: the connection is closed.
        """

    @abc.abstractmethod
    def hold_answer(self, size_bytes: int) -> None:
        """Records how much of a response is held until it is complete.

        Raises:
            ConnectionError: too much memory is in use; the connection is
                closed.
        """

    @abc.abstractmethod
    async def drain(self) -> None:
        """Waits while the send buffer is full.

        Raises:
            ConnectionError: the connection was closed meanwhile.
        """

    @abc.abstractmethod
    def abort(self) -> None:
        """Closes the connection once all written data has been sent.

        If the caller reads too slowly, the connection is aborted after
        `ServerLimits.lingering_close_s`.
        """


class HttpResponse:
    """Writes the response to one request."""

    def __init__(self, *, connection: ResponseTransport) -> None:
        self._connection = connection
        self._is_head_sent = False
        self._is_finished = False

    @property
    def is_head_sent(self) -> bool:
        """Whether the status line has been sent."""
        return self._is_head_sent

    @property
    def is_finished(self) -> bool:
        """Whether the complete response has been written."""
        return self._is_finished

    def _make_head(self, status: int,
                   headers: Iterable[http_headers.Header]) -> h11.Response:
        self._is_head_sent = True
        encoded = [(name.encode('ascii'), value.encode('latin-1', 'replace'))
                   for name, value in headers]
        if self._connection.should_close:
            encoded.append((b'connection', b'close'))
        return h11.Response(status_code=status, headers=encoded)

    def _data_events(self, data: bytes) -> list[h11.Event]:
        """Returns the event for a part of the body; none for HEAD requests."""
        if not data or self._connection.request_method == 'HEAD':
            return []
        return [h11.Data(data=data)]

    async def send_head(self, status: int,
                        headers: Iterable[http_headers.Header]) -> None:
        """Sends the status line and headers."""
        self._connection.send_events(self._make_head(status, headers))
        await self._connection.drain()

    async def write(self, data: bytes) -> None:
        """Sends a part of the body; waits while the send buffer is full."""
        self._connection.send_events(*self._data_events(data))
        await self._connection.drain()

    def try_write(self, data: bytes) -> bool:
        """Sends a part of the body if that is possible without waiting.

        Returns:
            Whether the part was sent.
        """
        if not self._connection.is_writable:
            return False
        self._connection.send_events(*self._data_events(data))
        return True

    async def finish(self, data: bytes = b'') -> None:
        """Sends the last part of the body, if any, and ends the response."""
        self._is_finished = True
        self._connection.send_events(*self._data_events(data),
                                     h11.EndOfMessage())
        await self._connection.drain()

    async def send(self, status: int, headers: Iterable[http_headers.Header],
                   body: bytes) -> None:
        """Sends a complete response."""
        length = ('content-length', str(len(body)))
        head = self._make_head(status, [*headers, length])
        self._is_finished = True
        self._connection.send_events(head, *self._data_events(body),
                                     h11.EndOfMessage())
        await self._connection.drain()

    async def send_json(
        self,
        status: int,
        value: Any,
        headers: Iterable[http_headers.Header] = ()) -> None:
        """Sends a complete response with a JSON body."""
        body = json.dumps(value).encode() + b'\n'
        await self.send(status,
                        [('content-type', 'application/json'), *headers], body)

    async def send_problem(
        self,
        failure: errors.Failure,
        headers: Iterable[http_headers.Header] = ()
    ) -> None:
        """Sends a failure as problem details (RFC 9457)."""
        error_response = failure.response
        all_headers = [('content-type', 'application/problem+json'), *headers]
        if failure.retry_after_s is not None:
            all_headers.append(('retry-after', str(failure.retry_after_s)))
        if error_response.close:
            self._connection.should_close = True
        body = json.dumps(problem_body(failure)).encode() + b'\n'
        await self.send(error_response.status, all_headers, body)

    def hold(self, size_bytes: int) -> None:
        """Records how much of the body is held until it is complete.

        Raises:
            ConnectionError: too much memory is in use; the connection is
                closed.
        """
        self._connection.hold_answer(size_bytes)

    def abort(self, last_chunk: bytes = b'') -> None:
        """Closes the connection, so that the caller detects the truncation.

        Args:
            last_chunk: a last part of the body, which is sent before the
                connection closes.
        """
        with contextlib.suppress(OSError):
            self._connection.send_events(*self._data_events(last_chunk))
        self._connection.abort()


def problem_body(failure: errors.Failure) -> dict[str, Any]:
    """Returns the problem details document (RFC 9457) of a failure."""
    return {
        'type': f'urn:pollenthread:{failure.kind.value}',
        'title': failure.response.title,
        'status': failure.response.status,
        'detail': failure.detail,
        'kind': failure.kind.value,
        'ran': failure.executed.value,
    }


class RequestHandler(abc.ABC):
    """Handles requests."""

    # pylint: disable-next=useless-return
    def check_head(self, request: HttpRequest) -> errors.Failure | None:
        """Checks a request before its body is received.

        Args:
            request: the request without its body.

        Returns:
            The failure with which it is rejected; None to receive the body.
        """
        del request
        return None

    @abc.abstractmethod
    async def handle(self, request: HttpRequest,
                     response: HttpResponse) -> None:
        """Handles one request.

        The task is cancelled when the caller closes its side of the connection.
        """
