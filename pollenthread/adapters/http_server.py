"""An HTTP/1.1 server on h11 with bounded input."""

import abc
import asyncio
import contextlib
import dataclasses
import json
import types
from collections.abc import AsyncIterator, Iterable
from typing import Any, Self

import h11

from pollenthread.core import errors, messages

__all__ = ['Handler', 'HttpServer', 'Limits', 'Request', 'Response']

_READ_BYTES = 64 * 1024
_BACKLOG = 1024


@dataclasses.dataclass(frozen=True)
class Limits:
    """What one connection may take."""

    max_head_bytes: int = 16 * 1024
    max_body_bytes: int = 1024 * 1024
    head_timeout_s: float = 10.0
    body_timeout_s: float = 20.0
    idle_timeout_s: float = 75.0
    max_unsent_bytes: int = 64 * 1024


@dataclasses.dataclass(frozen=True)
class Request:
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
    headers: tuple[messages.Header, ...]
    body: bytes
    peer: str

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


class Response:
    """Writes one answer."""

    def __init__(self, *, connection: '_Connection') -> None:
        self._connection = connection
        self._head_sent = False
        self._finished = False

    @property
    def head_sent(self) -> bool:
        """Whether the status line has left."""
        return self._head_sent

    @property
    def finished(self) -> bool:
        """Whether the answer is whole."""
        return self._finished

    async def send_head(self, status: int,
                        headers: Iterable[messages.Header]) -> None:
        """Sends the status line and headers."""
        self._head_sent = True
        all_headers = list(headers)
        if self._connection.closing:
            all_headers.append(('connection', 'close'))
        self._connection.emit(
            h11.Response(status_code=status, headers=all_headers))
        await self._connection.drain()

    async def write(self, data: bytes) -> None:
        """Sends a part of the body; waits while the caller is slow."""
        self._connection.emit(h11.Data(data=data))
        await self._connection.drain()

    async def finish(self) -> None:
        """Ends the answer."""
        self._finished = True
        self._connection.emit(h11.EndOfMessage())
        await self._connection.drain()

    async def send(self, status: int, headers: Iterable[messages.Header],
                   body: bytes) -> None:
        """Sends a whole answer."""
        length = ('content-length', str(len(body)))
        await self.send_head(status, [*headers, length])
        if body:
            await self.write(body)
        await self.finish()

    async def send_json(
        self, status: int, value: Any,
        headers: Iterable[messages.Header] = ()) -> None:
        """Sends a whole JSON answer."""
        body = json.dumps(value).encode() + b'\n'
        await self.send(status,
                        [('content-type', 'application/json'), *headers], body)

    async def send_problem(
        self, problem: errors.Failure,
        headers: Iterable[messages.Header] = ()) -> None:
        """Sends a failure as RFC 9457 problem details."""
        answer = problem.answer
        extra = [('content-type', 'application/problem+json'), *headers]
        if problem.retry_after_s is not None:
            extra.append(('retry-after', str(problem.retry_after_s)))
        if answer.close:
            self._connection.closing = True
        body = json.dumps(problem_body(problem)).encode() + b'\n'
        await self.send(answer.status, extra, body)

    def abort(self) -> None:
        """Breaks the connection, so that no short answer looks whole."""
        self._connection.abort()


def problem_body(problem: errors.Failure) -> dict[str, Any]:
    """The members of the problem document for a failure."""
    return {
        'type': f'urn:pollenthread:{problem.kind.value}',
        'title': problem.answer.title,
        'status': problem.answer.status,
        'detail': problem.detail,
        'kind': problem.kind.value,
        'ran': problem.ran.value,
    }


class Handler(abc.ABC):
    """Answers requests."""

    @abc.abstractmethod
    async def handle(self, request: Request, response: Response) -> None:
        """Answers one request; cancelled when the caller leaves."""


class HttpServer:
    """Listens and serves connections until it is left."""

    def __init__(self,
                 *,
                 handler: Handler,
                 host: str = '127.0.0.1',
                 port: int = 0,
                 limits: Limits = Limits()) -> None:
        self._handler = handler
        self._host = host
        self._port = port
        self._limits = limits
        self._server: asyncio.Server | None = None
        self._open: set[_Connection] = set()
        self._stopping = False

    @property
    def address(self) -> str:
        """The bound `ip:port`."""
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()[:2]
        return f'{host}:{port}'

    @property
    def open_connections(self) -> int:
        """Connections that callers hold."""
        return len(self._open)

    @property
    def busy(self) -> int:
        """Connections with a request in progress."""
        return sum(1 for connection in self._open if connection.busy)

    async def __aenter__(self) -> Self:
        self._server = await asyncio.start_server(self._serve,
                                                  self._host,
                                                  self._port,
                                                  limit=_READ_BYTES,
                                                  backlog=_BACKLOG)
        return self

    async def __aexit__(self, kind: type[BaseException] | None,
                        error: BaseException | None,
                        trace: types.TracebackType | None) -> None:
        self.stop_listening()
        for connection in list(self._open):
            connection.abort()
            if connection.task is not None:
                connection.task.cancel()
        tasks = [c.task for c in self._open if c.task is not None]
        await asyncio.gather(*tasks, return_exceptions=True)

    def stop_listening(self) -> None:
        """Takes no new connections and closes the idle ones."""
        self._stopping = True
        if self._server is not None:
            self._server.close()
        for connection in list(self._open):
            connection.closing = True
            if not connection.busy:
                connection.abort()

    async def wait_idle(self) -> None:
        """Waits until no request is in progress."""
        while self.busy:
            await asyncio.sleep(0.02)

    async def _serve(self, reader: asyncio.StreamReader,
                     writer: asyncio.StreamWriter) -> None:
        connection = _Connection(reader=reader,
                                 writer=writer,
                                 limits=self._limits)
        connection.closing = self._stopping
        connection.task = asyncio.current_task()
        self._open.add(connection)
        try:
            await connection.serve(self._handler)
        except (ConnectionError, TimeoutError, asyncio.CancelledError):
            pass
        finally:
            self._open.discard(connection)
            connection.abort()


class _BadRequest(Exception):
    """A request that is refused before a handler sees it."""

    def __init__(self, problem: errors.Failure) -> None:
        super().__init__(problem.detail)
        self.problem = problem


class _Connection:
    """One caller's connection."""

    def __init__(self, *, reader: asyncio.StreamReader,
                 writer: asyncio.StreamWriter, limits: Limits) -> None:
        self._reader = reader
        self._writer = writer
        self._limits = limits
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.max_head_bytes)
        writer.transport.set_write_buffer_limits(high=limits.max_unsent_bytes)
        peer = writer.get_extra_info('peername')
        self._peer = peer[0] if peer else ''
        self.task: asyncio.Task[Any] | None = None
        self.busy = False
        self.closing = False

    def emit(self, event: h11.Event) -> None:
        """Writes one h11 event."""
        data = self._http.send(event)
        if data:
            self._writer.write(data)

    async def drain(self) -> None:
        """Waits while too many bytes are unsent."""
        await self._writer.drain()

    def abort(self) -> None:
        """Closes the connection at once."""
        self._writer.close()

    async def serve(self, handler: Handler) -> None:
        """Serves requests until the connection ends."""
        while True:
            try:
                request = await self._read_request()
            except _BadRequest as refused:
                await self._refuse(refused.problem)
                return
            if request is None:
                return
            response = Response(connection=self)
            await self._run(handler, request, response)
            self.busy = False
            if not response.finished or self.closing:
                return
            if self._http.our_state is not h11.DONE:
                return
            self._http.start_next_cycle()

    async def _run(self, handler: Handler, request: Request,
                   response: Response) -> None:
        current = asyncio.current_task()
        assert current is not None
        async with self._watch_for_leaving(current):
            await handler.handle(request, response)

    @contextlib.asynccontextmanager
    async def _watch_for_leaving(
            self, serving: asyncio.Task[Any]) -> AsyncIterator[None]:
        watch = asyncio.create_task(self._watch(serving))
        try:
            yield
        finally:
            watch.cancel()
            await asyncio.wait({watch})

    async def _watch(self, serving: asyncio.Task[Any]) -> None:
        """Cancels the handler when the caller closes its end."""
        try:
            data = await self._reader.read(_READ_BYTES)
        except ConnectionError:
            data = b''
        if data:
            self._http.receive_data(data)
            return
        serving.cancel()

    async def _refuse(self, problem: errors.Failure) -> None:
        self.closing = True
        if self._http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        await Response(connection=self).send_problem(problem)
        await self._linger()

    async def _linger(self) -> None:
        """Reads on briefly, so that the refusal is not lost to a reset."""
        self._writer.write_eof()
        budget = self._limits.max_body_bytes
        with contextlib.suppress(TimeoutError, ConnectionError):
            async with asyncio.timeout(1.0):
                while budget > 0:
                    data = await self._reader.read(_READ_BYTES)
                    if not data:
                        return
                    budget -= len(data)

    async def _read_request(self) -> Request | None:
        first = await self._first_bytes()
        if not first:
            return None
        self.busy = True
        try:
            async with asyncio.timeout(self._limits.head_timeout_s):
                head = await self._next_event()
            if not isinstance(head, h11.Request):
                return None
            async with asyncio.timeout(self._limits.body_timeout_s):
                body = await self._read_body(head)
        except TimeoutError as late:
            raise _BadRequest(errors.failure(
                errors.Kind.SLOW_REQUEST)) from late
        except h11.RemoteProtocolError as bad:
            raise _BadRequest(_framing_failure(bad)) from bad
        return Request(method=head.method.decode('ascii'),
                       target=head.target.decode('ascii', 'replace'),
                       headers=tuple(
                           (name.decode('ascii'), value.decode('latin-1'))
                           for name, value in head.headers),
                       body=body,
                       peer=self._peer)

    async def _first_bytes(self) -> bool:
        """Waits, idle, for the start of the next request."""
        if self._http.trailing_data[0]:
            return True
        try:
            async with asyncio.timeout(self._limits.idle_timeout_s):
                data = await self._reader.read(_READ_BYTES)
        except TimeoutError:
            return False
        self._http.receive_data(data)
        return bool(data)

    async def _next_event(self) -> Any:
        while True:
            event = self._http.next_event()
            if event is not h11.NEED_DATA:
                return event
            if self._http.they_are_waiting_for_100_continue:
                self.emit(h11.InformationalResponse(status_code=100,
                                                    headers=[]))
            self._http.receive_data(await self._reader.read(_READ_BYTES))

    async def _read_body(self, head: h11.Request) -> bytes:
        limit = self._limits.max_body_bytes
        for name, value in head.headers:
            if name == b'content-length' and int(value) > limit:
                raise _BadRequest(_too_large(limit))
        parts: list[bytes] = []
        size = 0
        while True:
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                return b''.join(parts)
            if not isinstance(event, h11.Data):
                raise ConnectionError('the caller left before its body ended')
            size += len(event.data)
            if size > limit:
                raise _BadRequest(_too_large(limit))
            parts.append(bytes(event.data))


def _too_large(limit: int) -> errors.Failure:
    return errors.failure(errors.Kind.BODY_TOO_LARGE,
                          f'The body may have {limit} bytes at most.')


def _framing_failure(bad: h11.RemoteProtocolError) -> errors.Failure:
    if bad.error_status_hint == 431:
        return errors.failure(errors.Kind.HEAD_TOO_LARGE)
    return errors.failure(errors.Kind.BAD_FRAMING, str(bad))
