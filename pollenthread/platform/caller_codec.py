"""Decodes HTTP requests of callers and writes the HTTP responses."""

import asyncio
from collections.abc import Sequence

from pollenthread.adapters import http_message
from pollenthread.core import caller_request, errors, http_headers
from pollenthread.platform import wire_names
from pollenthread.ports import caller_response

__all__ = ['HttpCallerResponse', 'decode_request']

_MS_PER_S = 1000.0
_BEARER_PREFIX = 'bearer '
_MAX_NUMBER_DIGITS = 9
# Hop-by-hop headers, and headers that are decoded into fields of the request
# and set again for each attempt.
_HEADERS_NOT_FORWARDED = frozenset({
    'connection', 'keep-alive', 'proxy-connection', 'te', 'trailer',
    'transfer-encoding', 'upgrade', 'content-length', 'expect', 'host',
    wire_names.HeaderName.AUTHORIZATION, wire_names.HeaderName.DEADLINE_MS,
    wire_names.HeaderName.TARGET_SERVER, wire_names.HeaderName.WORKSPACE,
    wire_names.HeaderName.LAST_EVENT_ID, wire_names.HeaderName.PRIORITY
})


def decode_request(
        request: http_message.HttpRequest) -> caller_request.CallerRequest:
    """Decodes a request; malformed optional headers count as missing.

    Must be called in a running event loop, whose time is the receive time.
    """
    connection_headers = set()
    for part in (request.header('connection') or '').split(','):
        connection_headers.add(part.strip().lower())
    host = request.header('host') or ''
    prompt_tokens, output_tokens = _parse_token_counts(
        request.header(wire_names.HeaderName.TOKEN_COUNT))
    return caller_request.CallerRequest(
        id=request.header(wire_names.HeaderName.REQUEST_ID) or '',
        method=request.method,
        target=request.target,
        host=host.partition(':')[0].lower(),
        headers=tuple((name, value)
                      for name, value in request.headers
                      if name not in _HEADERS_NOT_FORWARDED and
                      name not in connection_headers),
        body=request.body,
        api_key=_parse_api_key(
            request.header(wire_names.HeaderName.AUTHORIZATION)),
        timeout_s=_parse_timeout_s(
            request.header(wire_names.HeaderName.DEADLINE_MS)),
        last_event_id=request.header(wire_names.HeaderName.LAST_EVENT_ID),
        prompt_tokens=prompt_tokens,
        max_output_tokens=output_tokens,
        prompt_parts=_parse_prompt_parts(
            request.header(wire_names.HeaderName.PROMPT_PREFIX)),
        received_at=asyncio.get_running_loop().time(),
        output_tokens_hint=_parse_length_hint(
            request.header(wire_names.HeaderName.LENGTH_HINT)))


def _parse_api_key(value: str | None) -> str | None:
    if value is None or value[:len(_BEARER_PREFIX)].lower() != _BEARER_PREFIX:
        return None
    return value[len(_BEARER_PREFIX):].strip()


def _parse_timeout_s(value: str | None) -> float | None:
    if value is None or not _is_number(value.strip()):
        return None
    return int(value) / _MS_PER_S


def _is_number(value: str) -> bool:
    """Whether a value is a number that is not unreasonably long."""
    return len(value) <= _MAX_NUMBER_DIGITS and value.isdecimal()


def _parse_token_counts(value: str | None) -> tuple[int, int]:
    prompt, _, output = (value or '').partition(',')
    prompt, output = prompt.strip(), output.strip()
    if not (_is_number(prompt) and _is_number(output)):
        return 0, 0
    return int(prompt), int(output)


def _parse_length_hint(value: str | None) -> int:
    if value is None or not _is_number(value):
        return 0
    return int(value)


def _parse_prompt_parts(
        value: str | None) -> tuple[caller_request.PromptPart, ...]:
    parts = []
    for item in (value or '').split(','):
        part_id, _, tokens = item.strip().partition(':')
        if part_id and _is_number(tokens):
            parts.append(caller_request.PromptPart(part_id, int(tokens)))
    return tuple(parts)


class HttpCallerResponse(caller_response.CallerResponse):
    """Response that is written to a caller's HTTP connection."""

    def __init__(self, *, response: http_message.HttpResponse,
                 request_id: str) -> None:
        self._response = response
        self._request_id = request_id

    @property
    def is_started(self) -> bool:
        return self._response.is_head_sent

    async def send_failure(self, failure: errors.Failure) -> None:
        headers = []
        if self._request_id:
            headers.append((wire_names.HeaderName.REQUEST_ID, self._request_id))
        await self._response.send_problem(failure, headers)

    def hold(self, size_bytes: int) -> None:
        self._response.hold(size_bytes)

    async def send_response(self, status: int,
                            headers: Sequence[http_headers.Header],
                            body: bytes) -> None:
        await self._response.send(status, headers, body)

    async def start_stream(self, status: int,
                           headers: Sequence[http_headers.Header]) -> None:
        await self._response.send_head(
            status, [*headers, ('transfer-encoding', 'chunked')])

    async def write(self, data: bytes) -> None:
        await self._response.write(data)

    async def finish(self) -> None:
        await self._response.finish()

    def abort(self) -> None:
        self._response.abort()
