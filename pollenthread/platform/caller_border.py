"""Decodes callers' requests and encodes the answers to them."""

import asyncio
from collections.abc import Sequence

from pollenthread.adapters import http_message
from pollenthread.core import caller_request, errors, http_headers
from pollenthread.platform import names
from pollenthread.ports import caller_response

__all__ = ['HttpReply', 'decode']

_MS_PER_S = 1000.0
_SCHEME = 'bearer '
# Headers that concern one connection, or that the product sets itself.
_NOT_PASSED_ON = frozenset({
    'connection', 'keep-alive', 'proxy-connection', 'te', 'trailer',
    'transfer-encoding', 'upgrade', 'content-length', 'expect', 'host',
    names.Header.AUTHORIZATION, names.Header.DEADLINE_MS,
    names.Header.TARGET_SERVER, names.Header.WORKSPACE,
    names.Header.LAST_EVENT_ID, names.Header.URGENCY
})


def decode(request: http_message.HttpRequest) -> caller_request.CallerRequest:
    """Decodes a request; what is malformed counts as not given."""
    named = set()
    for part in (request.header('connection') or '').split(','):
        named.add(part.strip().lower())
    host = request.header('host') or ''
    prompt_tokens, output_tokens = _tokens(request.header(names.Header.TOKENS))
    return caller_request.CallerRequest(
        id=request.header(names.Header.REQUEST_ID) or '',
        method=request.method,
        target=request.target,
        host=host.partition(':')[0].lower(),
        headers=tuple((name, value)
                      for name, value in request.headers
                      if name not in _NOT_PASSED_ON and name not in named),
        body=request.body,
        key=_key(request.header(names.Header.AUTHORIZATION)),
        patience_s=_seconds(request.header(names.Header.DEADLINE_MS)),
        last_event_id=request.header(names.Header.LAST_EVENT_ID),
        prompt_tokens=prompt_tokens,
        max_output_tokens=output_tokens,
        prompt_parts=_parts(request.header(names.Header.PROMPT_PARTS)),
        received_at=asyncio.get_running_loop().time())


def _key(value: str | None) -> str | None:
    if value is None or value[:len(_SCHEME)].lower() != _SCHEME:
        return None
    return value[len(_SCHEME):].strip()


def _seconds(value: str | None) -> float | None:
    if value is None or not value.strip().isdecimal():
        return None
    return int(value) / _MS_PER_S


def _tokens(value: str | None) -> tuple[int, int]:
    try:
        prompt, output = (value or '').split(',')
        return int(prompt), int(output)
    except ValueError:
        return 0, 0


def _parts(value: str | None) -> tuple[caller_request.PromptPart, ...]:
    parts = []
    for item in (value or '').split(','):
        part_id, _, tokens = item.strip().partition(':')
        if part_id and tokens.isdecimal():
            parts.append(caller_request.PromptPart(part_id, int(tokens)))
    return tuple(parts)


class HttpReply(caller_response.CallerResponse):
    """Writes to a caller's HTTP connection."""

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
            headers.append((names.Header.REQUEST_ID, self._request_id))
        await self._response.send_problem(failure, headers)

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
