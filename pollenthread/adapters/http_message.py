"""Requests and answers of the HTTP server."""

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
    """What connections may take.

    Attributes:
        max_head_bytes: size of a request's head.
        max_body_bytes: size of a request's body.
        max_buffered_bytes: unfinished bodies of all connections together.
        max_connections: connections open at once.
        head_timeout_s: seconds from a request's first byte to its head's end.
        body_timeout_s: seconds from the head's end to the body's end.
        idle_timeout_s: seconds between requests.
        linger_s: seconds that a refused connection is still read.
        max_unsent_bytes: bytes that a slow caller leaves unsent.
    """

    max_head_bytes: int = 16 * 1024
    max_body_bytes: int = 1024 * 1024
    max_buffered_bytes: int = 64 * 1024 * 1024
    max_connections: int = 8192
    head_timeout_s: float = 10.0
    body_timeout_s: float = 20.0
    idle_timeout_s: float = 75.0
    lingering_close_s: float = 1.0
    max_unsent_bytes: int = 64 * 1024


@dataclasses.dataclass(frozen=True)
class HttpRequest:
    """One whole request.

    Attributes:
        method: the HTTP method.
        target: the path with its query.
        headers: names in lower case, values as sent.
        body: the whole body.
        peer: the caller's IP address.
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
        """The value of the first header with this name."""
        for key, value in self.headers:
            if key == name:
                return value
        return None

    def header_count(self, name: str) -> int:
        """How often the header is given."""
        return sum(1 for key, _ in self.headers if key == name)


class ResponseTransport(abc.ABC):
    """The connection that an answer is written to."""

    should_close: bool
    request_method: str

    @property
    @abc.abstractmethod
    def is_writable(self) -> bool:
        """Whether the connection is open and few bytes are unsent."""

    @abc.abstractmethod
    def send_events(self, *events: h11.Event) -> None:
        """Writes events in one go.

        Raises:
            ConnectionError: the connection is closed.
        """

    @abc.abstractmethod
    async def drain(self) -> None:
        """Waits while too many bytes are unsent."""

    @abc.abstractmethod
    def abort(self) -> None:
        """Closes the connection once what was written has left.

        A caller that does not read has a short time for it.
        """


class HttpResponse:
    """Writes one answer."""

    def __init__(self, *, connection: ResponseTransport) -> None:
        self._connection = connection
        self._head_sent = False
        self._finished = False

    @property
    def is_head_sent(self) -> bool:
        """Whether the status line has left."""
        return self._head_sent

    @property
    def is_finished(self) -> bool:
        """Whether the answer is whole."""
        return self._finished

    def _head(self, status: int,
              headers: Iterable[http_headers.Header]) -> h11.Response:
        self._head_sent = True
        encoded = [(name.encode('ascii'), value.encode('latin-1', 'replace'))
                   for name, value in headers]
        if self._connection.should_close:
            encoded.append((b'connection', b'close'))
        return h11.Response(status_code=status, headers=encoded)

    def _data(self, data: bytes) -> list[h11.Event]:
        """The event for a part of the body; none in an answer to HEAD."""
        if not data or self._connection.request_method == 'HEAD':
            return []
        return [h11.Data(data=data)]

    async def send_head(self, status: int,
                        headers: Iterable[http_headers.Header]) -> None:
        """Sends the status line and headers."""
        self._connection.send_events(self._head(status, headers))
        await self._connection.drain()

    async def write(self, data: bytes) -> None:
        """Sends a part of the body; waits while the caller is slow."""
        self._connection.send_events(*self._data(data))
        await self._connection.drain()

    def try_write(self, data: bytes) -> bool:
        """Sends a part of the body unless the caller is slow or gone."""
        if not self._connection.is_writable:
            return False
        self._connection.send_events(*self._data(data))
        return True

    async def finish(self, data: bytes = b'') -> None:
        """Sends the last part, if any, and ends the answer."""
        self._finished = True
        self._connection.send_events(*self._data(data), h11.EndOfMessage())
        await self._connection.drain()

    async def send(self, status: int, headers: Iterable[http_headers.Header],
                   body: bytes) -> None:
        """Sends a whole answer."""
        length = ('content-length', str(len(body)))
        head = self._head(status, [*headers, length])
        self._finished = True
        self._connection.send_events(head, *self._data(body),
                                     h11.EndOfMessage())
        await self._connection.drain()

    async def send_json(
        self,
        status: int,
        value: Any,
        headers: Iterable[http_headers.Header] = ()) -> None:
        """Sends a whole JSON answer."""
        body = json.dumps(value).encode() + b'\n'
        await self.send(status,
                        [('content-type', 'application/json'), *headers], body)

    async def send_problem(
        self,
        failure: errors.Failure,
        headers: Iterable[http_headers.Header] = ()
    ) -> None:
        """Sends a failure as RFC 9457 problem details."""
        answer = failure.answer
        extra = [('content-type', 'application/problem+json'), *headers]
        if failure.retry_after_s is not None:
            extra.append(('retry-after', str(failure.retry_after_s)))
        if answer.close:
            self._connection.should_close = True
        body = json.dumps(problem_body(failure)).encode() + b'\n'
        await self.send(answer.status, extra, body)

    def abort(self, last: bytes = b'') -> None:
        """Breaks the connection, so that no short answer looks whole.

        Args:
            last: a part that the caller still gets if it reads.
        """
        with contextlib.suppress(OSError):
            self._connection.send_events(*self._data(last))
        self._connection.abort()


def problem_body(failure: errors.Failure) -> dict[str, Any]:
    """The members of the problem document for a failure."""
    return {
        'type': f'urn:pollenthread:{failure.kind.value}',
        'title': failure.answer.title,
        'status': failure.answer.status,
        'detail': failure.detail,
        'kind': failure.kind.value,
        'ran': failure.ran.value,
    }


class RequestHandler(abc.ABC):
    """Answers requests."""

    @abc.abstractmethod
    async def handle(self, request: HttpRequest,
                     response: HttpResponse) -> None:
        """Answers one request; cancelled when the caller leaves."""
