"""Stand-in for a model engine with a chat completions endpoint.

The tokens of a response are a hash of the request document, so that a test can
compute the expected response with `expected_tokens`.
"""

import asyncio
import contextlib
import hashlib
import heapq
import json
import math
import re
import time
from collections.abc import AsyncIterator
from typing import Any

from pollenthread.adapters import http_server
from tests.fakes import serving

__all__ = ['EngineHandler', 'expected_text', 'expected_tokens']

_DEFAULT_TOKENS = 16
_DEFAULT_MAX_RUNNING = 1024
_DEFAULT_PRIORITY = 3
_PRIORITY_PATTERN = re.compile(r'\bu=([0-7])\b')


def expected_tokens(document: dict[str, Any]) -> list[str]:
    """Returns the tokens of the response to a request document."""
    canonical = json.dumps(document, sort_keys=True).encode()
    seed = hashlib.sha256(canonical).hexdigest()
    count = int(document.get('max_tokens', _DEFAULT_TOKENS))
    return [
        hashlib.sha256(f'{seed}{i}'.encode()).hexdigest()[:6] + ' '
        for i in range(count)
    ]


def expected_text(document: dict[str, Any]) -> str:
    """Returns the text of the response to a request document."""
    return ''.join(expected_tokens(document))


def _request_priority(request: http_server.HttpRequest) -> int:
    """Returns the RFC 9218 priority, from 0 (first) to 7 (last)."""
    match = _PRIORITY_PATTERN.search(request.header('priority') or '')
    return int(match.group(1)) if match else _DEFAULT_PRIORITY


class _SlotQueue:
    """Limits the running requests; the others wait in priority order."""

    def __init__(self) -> None:
        self._running = 0
        self._enqueued_count = 0
        self._waiting: list[tuple[int, int, asyncio.Future[None]]] = []

    @contextlib.asynccontextmanager
    async def acquire(self, priority: int, limit: int) -> AsyncIterator[None]:
        """Waits for a slot and holds it in the context."""
        if self._running >= limit:
            slot = asyncio.get_running_loop().create_future()
            self._enqueued_count += 1
            heapq.heappush(self._waiting,
                           (priority, self._enqueued_count, slot))
            await slot
        else:
            self._running += 1
        try:
            yield
        finally:
            self._release()

    def _release(self) -> None:
        while self._waiting:
            _, _, slot = heapq.heappop(self._waiting)
            if not slot.done():
                slot.set_result(None)
                return
        self._running -= 1


class EngineHandler(serving.FakeHandler):
    """Responds deterministically and counts requests and tokens."""

    def __init__(self) -> None:
        super().__init__()
        self._counts = {'begun': 0, 'finished': 0, 'cancelled': 0, 'tokens': 0}
        self._executed_orders: list[dict[str, Any]] = []
        self._highest_fencing_by_duty: dict[str, int] = {}
        self._slots = _SlotQueue()
        self._step_end: asyncio.Future[None] | None = None

    async def respond(self, request: http_server.HttpRequest,
                      response: http_server.HttpResponse) -> None:
        if request.path == '/counts':
            await response.send_json(200, self._counts)
            return
        if request.path == '/orders':
            await self._handle_order(request, response)
            return
        document = json.loads(request.body)
        self._counts['begun'] += 1
        try:
            limit = self.faults.get('max_running', _DEFAULT_MAX_RUNNING)
            async with self._slots.acquire(_request_priority(request), limit):
                await self._send_completion(request, response, document)
        except (asyncio.CancelledError, ConnectionError):
            self._counts['cancelled'] += 1
            raise
        self._counts['finished'] += 1

    async def _handle_order(self, request: http_server.HttpRequest,
                            response: http_server.HttpResponse) -> None:
        """Executes an order; `GET` lists the executed orders in sequence.

        Faults: `ignores_fencing` executes orders with an outdated fencing
        number; `order_s` is the delay in seconds before the execution;
        `lost_orders` is the number of orders that are executed without a
        response.
        """
        if request.method == 'GET':
            await response.send_json(200, self._executed_orders)
            return
        order = json.loads(request.body)
        await asyncio.sleep(self.faults.get('order_s', 0))
        highest = self._highest_fencing_by_duty.get(order['duty'], 0)
        if order['fencing'] < highest and not self.faults.get(
                'ignores_fencing'):
            await response.send_json(409, {'highest': highest})
            return
        self._highest_fencing_by_duty[order['duty']] = max(
            highest, order['fencing'])
        self._executed_orders.append(order)
        if self.consume_fault('lost_orders'):
            response.abort()
            return
        await response.send_json(200, {'done': order['kind']})

    async def _send_completion(self, request: http_server.HttpRequest,
                               response: http_server.HttpResponse,
                               document: dict[str, Any]) -> None:
        if self.consume_fault('crash'):
            response.abort()
            return
        request_id = request.header('x-request-id') or 'none'
        tokens = expected_tokens(document)
        if self.consume_fault('crossed'):
            request_id = 'another-request'
            tokens = expected_tokens({'another': 'request'})
        await asyncio.sleep(self.faults.get('delay_s', 0))
        headers = [('x-request-id', request_id)]
        if document.get('stream'):
            await self._send_stream(response, headers, tokens,
                                    bool(document.get('stamp')))
        else:
            await asyncio.sleep(self.faults.get('token_s', 0) * len(tokens))
            await response.send_json(
                200, {
                    'id':
                        request_id,
                    'object':
                        'chat.completion',
                    'choices': [{
                        'index': 0,
                        'finish_reason': 'stop',
                        'message': {
                            'role': 'assistant',
                            'content': ''.join(tokens)
                        }
                    }]
                }, headers)

    async def _wait_for_step(self) -> None:
        """Waits until the current step ends, which all streams share."""
        step_s = self.faults.get('token_s')
        if not step_s:
            return
        loop = asyncio.get_running_loop()
        if self._step_end is None or self._step_end.done():
            step_ends_at = (math.floor(loop.time() / step_s) + 1) * step_s
            self._step_end = loop.create_future()
            loop.call_at(step_ends_at, self._step_end.set_result, None)
        await asyncio.shield(self._step_end)

    async def _send_stream(self, response: http_server.HttpResponse,
                           headers: list[tuple[str, str]], tokens: list[str],
                           stamped: bool) -> None:
        await response.send_head(
            200, [('content-type', 'text/event-stream'), *headers])
        stall_after = self.faults.get('stall_after_tokens')
        truncate_after = self.faults.get('truncate_after_tokens')
        for i, token in enumerate(tokens):
            if i == truncate_after:
                response.abort()
                return
            if i == stall_after:
                await asyncio.sleep(3600)
            await self._wait_for_step()
            event: dict[str, Any] = {
                'choices': [{
                    'index': 0,
                    'delta': {
                        'content': token
                    }
                }]
            }
            if stamped:
                event['at_ns'] = time.monotonic_ns()
            await response.write(f'data: {json.dumps(event)}\n\n'.encode())
            self._counts['tokens'] += 1
        await response.write(b'data: [DONE]\n\n')
        await response.finish()


if __name__ == '__main__':
    serving.run(EngineHandler())
