"""What callers see: addresses, chat completions and plain services."""

import dataclasses
import json
import re
from collections.abc import Callable
from typing import Any
from urllib import parse

from pollenthread.adapters import http_server
from pollenthread.app import (config_store, directory, gateway, tracer as
                              tracer_module)
from pollenthread.core import (account, addresses, errors, http_headers, ids,
                               pace, spans, targets)
from pollenthread.ports import clock

__all__ = ['ADDRESS_TTL_S', 'GatewayHandler']

ADDRESS_TTL_S = 5
_STREAM_TIMEOUT_S = 120.0
_ANSWER_TIMEOUT_S = 30.0
_MAX_KEY_CHARS = 255
_MAX_TIMEOUT_MS = 600_000
_CHAT_PATH = '/v1/chat/completions'
_SERVICES_PREFIX = '/services/'
_OWN_HEADERS = frozenset({'x-request-id', 'x-attempts', 'date', 'server'})
_TRACEPARENT = re.compile(r'^00-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}$')
_PASSED_HEADERS = ('accept', 'content-type', 'traceparent')


class _Refused(Exception):
    """The request is refused before anything is handed over."""

    def __init__(self, problem: errors.Failure) -> None:
        super().__init__(problem.detail)
        self.problem = problem


def _refuse(kind: errors.Kind, detail: str = '') -> _Refused:
    return _Refused(errors.failure(kind, detail, ran=errors.Ran.NO))


@dataclasses.dataclass(frozen=True)
class _Target:
    """Where a request goes and what was asked of it."""

    kind: str
    name: str
    path: str
    stream: bool


class GatewayHandler(http_server.RequestHandler):
    """Checks callers' requests and serves them through the gateway."""

    def __init__(self, *, gate: gateway.Gateway,
                 config: config_store.ConfigStore, hosts: directory.Directory,
                 request_ids: ids.IdSource, time: clock.Clock,
                 tally: account.Tally, is_refusing: Callable[[], bool],
                 observe_latency: Callable[[pace.Pace, float], None],
                 tracer: tracer_module.Tracer) -> None:
        self._gateway = gate
        self._config = config
        self._hosts = hosts
        self._ids = request_ids
        self._time = time
        self._tally = tally
        self._is_refusing = is_refusing
        self._observe = observe_latency
        self._tracer = tracer
        self.open_requests: set[str] = set()

    async def handle(self, request: http_server.HttpRequest,
                     response: http_server.HttpResponse) -> None:
        request_id = self._ids.acquire()
        try:
            if request.path == '/v1/addresses':
                await self._answer_addresses(request, response)
                return
            call = self._check(request, request_id)
        except _Refused as refused:
            await response.send_problem(refused.problem,
                                        [('x-request-id', request_id)])
            return
        await self._serve(call, response)

    async def _answer_addresses(self, request: http_server.HttpRequest,
                                response: http_server.HttpResponse) -> None:
        if request.method != 'GET':
            raise _refuse(errors.Kind.METHOD_NOT_ALLOWED, 'Use GET.')
        caller = request.header('x-caller') or request.client_ip
        hosts = addresses.order(self._hosts.entries(), caller)
        await response.send_json(200, {
            'addresses': [host.address for host in hosts],
            'ttl_s': ADDRESS_TTL_S
        }, [('cache-control', f'max-age={ADDRESS_TTL_S}')])

    def _check(self, request: http_server.HttpRequest,
               request_id: str) -> gateway.Call:
        if self._is_refusing():
            raise _refuse(errors.Kind.LEAVING)
        current = self._config.usable
        if current is None:
            raise _refuse(errors.Kind.STALE_CONFIGURATION)
        if not _is_served_path(request.path):
            raise _refuse(errors.Kind.NOT_FOUND)
        workspace = _workspace(request, current)
        work_class = _work_class(request, workspace)
        target = _target(request, workspace)
        key = _key(request, work_class)
        return gateway.Call(request_id=request_id,
                            workspace=workspace.name,
                            work_class=work_class,
                            key=key,
                            kind=target.kind,
                            name=target.name,
                            deadline=self._time.monotonic() +
                            _timeout_s(request, target.stream),
                            stream=target.stream,
                            method=request.method,
                            path=target.path,
                            headers=_passed_headers(request, key),
                            body=request.body)

    async def _serve(self, call: gateway.Call,
                     response: http_server.HttpResponse) -> None:
        started_at = self._time.monotonic()
        self._tally.accept(call.tally_key)
        self.open_requests.add(call.request_id)
        sink = _ResponseSink(response=response, request_id=call.request_id)
        report = gateway.Report(started_at=started_at)
        trace = self._tracer.start(call.headers)
        if trace is not None:
            call = _traced(call, trace)
        try:
            await self._gateway.serve(call, sink, report)
        except BaseException:
            report.failure = errors.failure(
                errors.Kind.CALLER_GONE,
                ran=errors.Ran.UNKNOWN if report.attempts else errors.Ran.NO)
            raise
        finally:
            self.open_requests.discard(call.request_id)
            self._tally.end(call.tally_key,
                            _outcome(call.work_class, report, started_at,
                                     self._time.monotonic()),
                            attempts=report.attempts,
                            repeat=report.repeat,
                            retries_allowed=call.work_class.retries)
            if trace is not None:
                self._finish_trace(trace, call, report)
        if report.failure is None:
            self._observe(report.pace, self._time.monotonic() - started_at)
        else:
            await sink.fail(report.failure, report.attempts)

    def _finish_trace(self, trace: spans.Context, call: gateway.Call,
                      report: gateway.Report) -> None:
        failure = report.failure
        self._tracer.finish(
            trace, call.request_id, report.started_at, self._time.monotonic(),
            report.hops, {
                'workspace': call.workspace,
                'class': call.work_class.name,
                'result': 'whole' if failure is None else failure.kind.value
            })


def _traced(call: gateway.Call, trace: spans.Context) -> gateway.Call:
    headers = tuple(
        header for header in call.headers if header[0] != spans.TRACEPARENT)
    return dataclasses.replace(call, headers=(*headers, trace.header))


class _ResponseSink(gateway.Sink):
    """Writes an answer to the caller."""

    def __init__(self, *, response: http_server.HttpResponse,
                 request_id: str) -> None:
        self._response = response
        self._request_id = request_id
        self._is_stream = False

    def _own_headers(self, attempts: int) -> list[http_headers.Header]:
        return [('x-request-id', self._request_id),
                ('x-attempts', str(attempts))]

    async def head(self, status: int, headers: tuple[http_headers.Header, ...],
                   attempts: int) -> None:
        passed = [
            (name, value) for name, value in headers if name not in _OWN_HEADERS
        ]
        self._is_stream = any(
            name == 'content-type' and value.startswith('text/event-stream')
            for name, value in passed)
        await self._response.send_head(status,
                                       [*passed, *self._own_headers(attempts)])

    async def data(self, data: bytes) -> None:
        await self._response.write(data)

    def data_at_once(self, data: bytes) -> bool:
        return self._response.try_write(data)

    async def end(self) -> None:
        await self._response.finish()

    async def fail(self, problem: errors.Failure, attempts: int) -> None:
        """Reports a failure; never as a short answer that looks whole."""
        if not self._response.is_head_sent:
            await self._response.send_problem(problem,
                                              self._own_headers(attempts))
            return
        last = b''
        if self._is_stream:
            event = json.dumps(http_server.problem_body(problem))
            last = f'event: error\ndata: {event}\n\n'.encode()
        self._response.abort(last)


def _is_served_path(path: str) -> bool:
    return path == _CHAT_PATH or path.startswith(_SERVICES_PREFIX)


def _single_header(request: http_server.HttpRequest, name: str) -> str:
    if request.header_count(name) != 1:
        raise _refuse(errors.Kind.BAD_HEADER,
                      f'Give the {name} header exactly once.')
    return request.header(name) or ''


def _optional_header(request: http_server.HttpRequest, name: str) -> str | None:
    if request.header_count(name) > 1:
        raise _refuse(errors.Kind.BAD_HEADER,
                      f'Give the {name} header at most once.')
    return request.header(name)


def _workspace(request: http_server.HttpRequest,
               current: targets.Targets) -> targets.Workspace:
    name = _single_header(request, 'x-workspace')
    workspace = current.workspace_by_name.get(name)
    if workspace is None:
        raise _refuse(errors.Kind.UNKNOWN_WORKSPACE)
    return workspace


def _work_class(request: http_server.HttpRequest,
                workspace: targets.Workspace) -> targets.WorkClass:
    name = _single_header(request, 'x-class')
    work_class = workspace.class_by_name.get(name)
    if work_class is None:
        raise _refuse(errors.Kind.UNKNOWN_CLASS)
    return work_class


def _target(request: http_server.HttpRequest,
            workspace: targets.Workspace) -> _Target:
    if request.path == _CHAT_PATH:
        return _chat_target(request, workspace)
    rest = request.target[len(_SERVICES_PREFIX):]
    name, slash, path = rest.partition('/')
    if parse.unquote(name) not in workspace.services:
        raise _refuse(errors.Kind.UNKNOWN_SERVICE)
    return _Target(kind='service',
                   name=name,
                   path='/' + path if slash else '/',
                   stream=False)


def _chat_target(request: http_server.HttpRequest,
                 workspace: targets.Workspace) -> _Target:
    if request.method != 'POST':
        raise _refuse(errors.Kind.METHOD_NOT_ALLOWED, 'Use POST.')
    document = _json_object(request.body)
    model = document.get('model')
    if not isinstance(model, str) or model not in workspace.models:
        raise _refuse(errors.Kind.UNKNOWN_MODEL)
    stream = document.get('stream', False)
    if not isinstance(stream, bool):
        raise _refuse(errors.Kind.BAD_JSON, '"stream" must be true or false.')
    return _Target(kind='engine', name=model, path=_CHAT_PATH, stream=stream)


def _json_object(body: bytes) -> dict[str, Any]:
    try:
        document = json.loads(body.decode('utf-8'))
    except (UnicodeDecodeError, ValueError, RecursionError) as error:
        raise _refuse(errors.Kind.BAD_JSON,
                      f'The body is not JSON: {error}') from error
    if not isinstance(document, dict):
        raise _refuse(errors.Kind.BAD_JSON, 'The body must be an object.')
    return document


def _key(request: http_server.HttpRequest,
         work_class: targets.WorkClass) -> str:
    key = _optional_header(request, 'idempotency-key') or ''
    if not work_class.repeatable and not key:
        raise _refuse(errors.Kind.KEY_MISSING)
    if len(key) > _MAX_KEY_CHARS or not (key.isascii() or not key):
        raise _refuse(
            errors.Kind.BAD_HEADER,
            f'An idempotency-key has {_MAX_KEY_CHARS} ASCII '
            'characters at most.')
    return key


def _timeout_s(request: http_server.HttpRequest, stream: bool) -> float:
    text = _optional_header(request, 'x-timeout-ms')
    if text is None:
        return _STREAM_TIMEOUT_S if stream else _ANSWER_TIMEOUT_S
    if not text.isdecimal() or not 1 <= int(text) <= _MAX_TIMEOUT_MS:
        raise _refuse(errors.Kind.BAD_HEADER,
                      f'x-timeout-ms takes 1 to {_MAX_TIMEOUT_MS}.')
    return int(text) / 1000


def _passed_headers(request: http_server.HttpRequest,
                    key: str) -> tuple[http_headers.Header, ...]:
    passed = []
    for name in _PASSED_HEADERS:
        value = _optional_header(request, name)
        if value is None or (name == 'traceparent' and
                             not _TRACEPARENT.match(value)):
            continue
        if not value.isascii():
            raise _refuse(errors.Kind.BAD_HEADER, f'{name} must be ASCII.')
        passed.append((name, value))
    if key:
        passed.append(('idempotency-key', key))
    return tuple(passed)


def _outcome(work_class: targets.WorkClass, report: gateway.Report,
             started_at: float, ended_at: float) -> account.Outcome:
    failure = report.failure
    if failure is not None:
        if failure.ran is errors.Ran.NO:
            return account.Outcome.REFUSED
        if failure.ran is errors.Ran.UNKNOWN and not work_class.repeatable:
            return account.Outcome.UNKNOWN
        return account.Outcome.FAILED
    if pace.is_in_time(work_class.latency, report.pace, ended_at - started_at):
        return account.Outcome.IN_TIME
    return account.Outcome.LATE
