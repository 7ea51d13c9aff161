"""HTTP interface for callers: addresses, chat completions, plain services."""

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
                               response_timing, spans, targets)
from pollenthread.ports import clock

__all__ = ['ADDRESS_TTL_S', 'GatewayHandler']

ADDRESS_TTL_S = 5
_DEFAULT_STREAM_TIMEOUT_S = 120.0
_DEFAULT_TIMEOUT_S = 30.0
_MAX_KEY_CHARS = 255
_MAX_TIMEOUT_MS = 600_000
_CHAT_PATH = '/v1/chat/completions'
_SERVICES_PREFIX = '/services/'
_GENERATED_HEADERS = frozenset({'x-request-id', 'x-attempts', 'date', 'server'})
_TRACEPARENT = re.compile(r'^00-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}$')
_FORWARDED_HEADERS = ('accept', 'content-type', 'traceparent')


class _RequestRejected(Exception):
    """The request is rejected before it is passed to the gateway."""

    def __init__(self, failure: errors.Failure) -> None:
        super().__init__(failure.detail)
        self.failure = failure


def _rejection(kind: errors.ErrorKind, detail: str = '') -> _RequestRejected:
    return _RequestRejected(
        errors.make_failure(kind, detail, executed=errors.Executed.NO))


@dataclasses.dataclass(frozen=True)
class _RequestTarget:
    """The upstream that a request is for, and the requested operation.

    Attributes:
        kind: 'engine' or 'service'.
        name: the name of the model or of the service.
        path: the path of the request to the upstream.
        stream: whether the caller requested a streamed response.
    """

    kind: str
    name: str
    path: str
    stream: bool


class GatewayHandler(http_server.RequestHandler):
    """Validates requests of callers and passes them to the gateway.

    Attributes:
        open_requests: the ids of requests in progress.
    """

    def __init__(self, *, request_gateway: gateway.Gateway,
                 store: config_store.ConfigStore,
                 host_directory: directory.HostDirectory,
                 request_ids: ids.RequestIdGenerator, time: clock.Clock,
                 request_counter: account.RequestCounter,
                 is_rejecting: Callable[[], bool], observe_latency: Callable[
                     [response_timing.ResponseTiming, float],
                     None], tracer: tracer_module.Tracer) -> None:
        self._gateway = request_gateway
        self._store = store
        self._host_directory = host_directory
        self._ids = request_ids
        self._clock = time
        self._request_counter = request_counter
        self._is_rejecting = is_rejecting
        self._observe = observe_latency
        self._tracer = tracer
        self.open_requests: set[str] = set()

    async def handle(self, request: http_server.HttpRequest,
                     response: http_server.HttpResponse) -> None:
        request_id = self._ids.next_id()
        try:
            if request.path == '/v1/addresses':
                await self._send_addresses(request, response)
                return
            gateway_request = self._validate(request, request_id)
        except _RequestRejected as rejected:
            await response.send_problem(rejected.failure,
                                        [('x-request-id', request_id)])
            return
        await self._serve(gateway_request, response)

    async def _send_addresses(self, request: http_server.HttpRequest,
                              response: http_server.HttpResponse) -> None:
        if request.method != 'GET':
            raise _rejection(errors.ErrorKind.METHOD_NOT_ALLOWED, 'Use GET.')
        caller = request.header('x-caller') or request.client_ip
        hosts = addresses.rank_entry_hosts(
            self._host_directory.usable_entries(), caller)
        await response.send_json(200, {
            'addresses': [host.address for host in hosts],
            'ttl_s': ADDRESS_TTL_S
        }, [('cache-control', f'max-age={ADDRESS_TTL_S}')])

    def _validate(self, request: http_server.HttpRequest,
                  request_id: str) -> gateway.GatewayRequest:
        if self._is_rejecting():
            raise _rejection(errors.ErrorKind.LEAVING)
        current = self._store.usable_targets
        if current is None:
            raise _rejection(errors.ErrorKind.STALE_CONFIGURATION)
        if not _is_served_path(request.path):
            raise _rejection(errors.ErrorKind.NOT_FOUND)
        workspace = _find_workspace(request, current)
        work_class = _find_work_class(request, workspace)
        target = _parse_target(request, workspace)
        key = _idempotency_key(request, work_class)
        return gateway.GatewayRequest(request_id=request_id,
                                      workspace=workspace.name,
                                      work_class=work_class,
                                      key=key,
                                      kind=target.kind,
                                      name=target.name,
                                      deadline=self._clock.monotonic() +
                                      _parse_timeout_s(request, target.stream),
                                      stream=target.stream,
                                      method=request.method,
                                      path=target.path,
                                      headers=_forwarded_headers(request, key),
                                      body=request.body)

    async def _serve(self, gateway_request: gateway.GatewayRequest,
                     response: http_server.HttpResponse) -> None:
        started_at = self._clock.monotonic()
        self._request_counter.accept(gateway_request.count_key)
        self.open_requests.add(gateway_request.request_id)
        sink = _ResponseSink(response=response,
                             request_id=gateway_request.request_id)
        report = gateway.RequestReport(started_at=started_at)
        trace = self._tracer.start(gateway_request.headers)
        if trace is not None:
            gateway_request = _with_trace_header(gateway_request, trace)
        try:
            await self._gateway.serve(gateway_request, sink, report)
        except BaseException:
            report.failure = errors.make_failure(
                errors.ErrorKind.CALLER_GONE,
                executed=errors.Executed.UNKNOWN
                if report.attempts else errors.Executed.NO)
            raise
        finally:
            self.open_requests.discard(gateway_request.request_id)
            self._request_counter.end(
                gateway_request.count_key,
                _classify_outcome(gateway_request.work_class, report,
                                  started_at, self._clock.monotonic()),
                attempts=report.attempts,
                repeat=report.is_replayed,
                retries_allowed=gateway_request.work_class.retries)
            if trace is not None:
                self._finish_trace(trace, gateway_request, report)
        if report.failure is None:
            self._observe(report.response_timing,
                          self._clock.monotonic() - started_at)
        else:
            await sink.fail(report.failure, report.attempts)

    def _finish_trace(self, trace: spans.TraceContext,
                      gateway_request: gateway.GatewayRequest,
                      report: gateway.RequestReport) -> None:
        failure = report.failure
        self._tracer.finish(
            trace, gateway_request.request_id, report.started_at,
            self._clock.monotonic(), report.attempt_traces, {
                'workspace': gateway_request.workspace,
                'class': gateway_request.work_class.name,
                'result': 'whole' if failure is None else failure.kind.value
            })


def _with_trace_header(gateway_request: gateway.GatewayRequest,
                       trace: spans.TraceContext) -> gateway.GatewayRequest:
    headers = tuple(header for header in gateway_request.headers
                    if header[0] != spans.TRACEPARENT)
    return dataclasses.replace(gateway_request,
                               headers=(*headers, trace.header))


class _ResponseSink(gateway.ResponseSink):
    """Writes a response of an upstream to the caller."""

    def __init__(self, *, response: http_server.HttpResponse,
                 request_id: str) -> None:
        self._response = response
        self._request_id = request_id
        self._is_event_stream = False

    def _generated_headers(self, attempts: int) -> list[http_headers.Header]:
        return [('x-request-id', self._request_id),
                ('x-attempts', str(attempts))]

    async def write_head(self, status: int, headers: tuple[http_headers.Header,
                                                           ...],
                         attempts: int) -> None:
        forwarded = [(name, value)
                     for name, value in headers
                     if name not in _GENERATED_HEADERS]
        self._is_event_stream = any(
            name == 'content-type' and value.startswith('text/event-stream')
            for name, value in forwarded)
        await self._response.send_head(
            status, [*forwarded, *self._generated_headers(attempts)])

    async def write_data(self, data: bytes) -> None:
        await self._response.write(data)

    def try_write_data(self, data: bytes) -> bool:
        return self._response.try_write(data)

    async def write_end(self) -> None:
        await self._response.finish()

    async def fail(self, failure: errors.Failure, attempts: int) -> None:
        """Reports a failure to the caller.

        After the headers were sent, the response is aborted, so that the caller
        detects the truncation; an event stream first gets an error event.
        """
        if not self._response.is_head_sent:
            await self._response.send_problem(failure,
                                              self._generated_headers(attempts))
            return
        last_chunk = b''
        if self._is_event_stream:
            event = json.dumps(http_server.problem_body(failure))
            last_chunk = f'event: error\ndata: {event}\n\n'.encode()
        self._response.abort(last_chunk)


def _is_served_path(path: str) -> bool:
    return path == _CHAT_PATH or path.startswith(_SERVICES_PREFIX)


def _single_header(request: http_server.HttpRequest, name: str) -> str:
    if request.header_count(name) != 1:
        raise _rejection(errors.ErrorKind.BAD_HEADER,
                         f'Give the {name} header exactly once.')
    return request.header(name) or ''


def _optional_header(request: http_server.HttpRequest, name: str) -> str | None:
    if request.header_count(name) > 1:
        raise _rejection(errors.ErrorKind.BAD_HEADER,
                         f'Give the {name} header at most once.')
    return request.header(name)


def _find_workspace(request: http_server.HttpRequest,
                    current: targets.Targets) -> targets.WorkspaceTargets:
    name = _single_header(request, 'x-workspace')
    workspace = current.workspace_by_name.get(name)
    if workspace is None:
        raise _rejection(errors.ErrorKind.UNKNOWN_WORKSPACE)
    return workspace


def _find_work_class(request: http_server.HttpRequest,
                     workspace: targets.WorkspaceTargets) -> targets.WorkClass:
    name = _single_header(request, 'x-class')
    work_class = workspace.class_by_name.get(name)
    if work_class is None:
        raise _rejection(errors.ErrorKind.UNKNOWN_CLASS)
    return work_class


def _parse_target(request: http_server.HttpRequest,
                  workspace: targets.WorkspaceTargets) -> _RequestTarget:
    if request.path == _CHAT_PATH:
        return _parse_chat_target(request, workspace)
    path_after_prefix = request.target[len(_SERVICES_PREFIX):]
    name, separator, path = path_after_prefix.partition('/')
    if parse.unquote(name) not in workspace.services:
        raise _rejection(errors.ErrorKind.UNKNOWN_SERVICE)
    return _RequestTarget(kind='service',
                          name=name,
                          path='/' + path if separator else '/',
                          stream=False)


def _parse_chat_target(request: http_server.HttpRequest,
                       workspace: targets.WorkspaceTargets) -> _RequestTarget:
    if request.method != 'POST':
        raise _rejection(errors.ErrorKind.METHOD_NOT_ALLOWED, 'Use POST.')
    document = _parse_json_object(request.body)
    model = document.get('model')
    if not isinstance(model, str) or model not in workspace.models:
        raise _rejection(errors.ErrorKind.UNKNOWN_MODEL)
    stream = document.get('stream', False)
    if not isinstance(stream, bool):
        raise _rejection(errors.ErrorKind.BAD_JSON,
                         '"stream" must be true or false.')
    return _RequestTarget(kind='engine',
                          name=model,
                          path=_CHAT_PATH,
                          stream=stream)


def _parse_json_object(body: bytes) -> dict[str, Any]:
    try:
        document = json.loads(body.decode('utf-8'))
    except (UnicodeDecodeError, ValueError, RecursionError) as error:
        raise _rejection(errors.ErrorKind.BAD_JSON,
                         f'The body is not JSON: {error}') from error
    if not isinstance(document, dict):
        raise _rejection(errors.ErrorKind.BAD_JSON,
                         'The body must be an object.')
    return document


def _idempotency_key(request: http_server.HttpRequest,
                     work_class: targets.WorkClass) -> str:
    key = _optional_header(request, 'idempotency-key') or ''
    if not work_class.repeatable and not key:
        raise _rejection(errors.ErrorKind.KEY_MISSING)
    if len(key) > _MAX_KEY_CHARS or not (key.isascii() or not key):
        raise _rejection(
            errors.ErrorKind.BAD_HEADER,
            f'An idempotency-key has {_MAX_KEY_CHARS} ASCII '
            'characters at most.')
    return key


def _parse_timeout_s(request: http_server.HttpRequest, stream: bool) -> float:
    text = _optional_header(request, 'x-timeout-ms')
    if text is None:
        return _DEFAULT_STREAM_TIMEOUT_S if stream else _DEFAULT_TIMEOUT_S
    if not text.isdecimal() or not 1 <= int(text) <= _MAX_TIMEOUT_MS:
        raise _rejection(errors.ErrorKind.BAD_HEADER,
                         f'x-timeout-ms takes 1 to {_MAX_TIMEOUT_MS}.')
    return int(text) / 1000


def _forwarded_headers(request: http_server.HttpRequest,
                       key: str) -> tuple[http_headers.Header, ...]:
    forwarded = []
    for name in _FORWARDED_HEADERS:
        value = _optional_header(request, name)
        if value is None or (name == 'traceparent' and
                             not _TRACEPARENT.match(value)):
            continue
        if not value.isascii():
            raise _rejection(errors.ErrorKind.BAD_HEADER,
                             f'{name} must be ASCII.')
        forwarded.append((name, value))
    if key:
        forwarded.append(('idempotency-key', key))
    return tuple(forwarded)


def _classify_outcome(work_class: targets.WorkClass,
                      report: gateway.RequestReport, started_at: float,
                      ended_at: float) -> account.RequestOutcome:
    failure = report.failure
    if failure is not None:
        if failure.executed is errors.Executed.NO:
            return account.RequestOutcome.REFUSED_NOT_RUN
        if (failure.executed is errors.Executed.UNKNOWN and
                not work_class.repeatable):
            return account.RequestOutcome.UNKNOWN
        return account.RequestOutcome.FAILED
    if response_timing.meets_target(work_class.latency, report.response_timing,
                                    ended_at - started_at):
        return account.RequestOutcome.IN_TIME
    return account.RequestOutcome.LATE
