"""Stand-in for a service that counts its executions by idempotency key.

Each `POST` is executed, and counted under its `idempotency-key`; the service
does not detect repeated requests. `GET /tally` returns the counts.
"""

import asyncio
import hashlib
import json

from pollenthread.adapters import http_server
from tests.fakes import serving

__all__ = ['ServiceHandler', 'expected_receipt']


def expected_receipt(body: bytes) -> str:
    """Returns the receipt in the response to a request body."""
    return hashlib.sha256(body).hexdigest()[:16]


class ServiceHandler(serving.FakeHandler):
    """Counts the executed requests by idempotency key."""

    def __init__(self) -> None:
        super().__init__()
        self._effects_by_key: dict[str, int] = {}

    async def respond(self, request: http_server.HttpRequest,
                      response: http_server.HttpResponse) -> None:
        if request.path == '/tally':
            await response.send_json(200, self._effects_by_key)
            return
        await asyncio.sleep(self.faults.get('delay_s', 0))
        if request.method == 'POST':
            key = request.header('idempotency-key') or ''
            self._effects_by_key[key] = self._effects_by_key.get(key, 0) + 1
        if self.consume_fault('crash_after_effect'):
            response.abort()
            return
        await asyncio.sleep(self.faults.get('delay_after_effect_s', 0))
        request_id = request.header('x-request-id') or ''
        if self.consume_fault('crossed'):
            request_id = 'another-request'
        body = json.dumps({
            'receipt': expected_receipt(request.body),
            'path': request.target
        }).encode()
        headers = [('content-type', 'application/json'),
                   ('x-request-id', request_id)]
        if self.consume_fault('truncate'):
            await response.send_head(
                200, [*headers, ('content-length', str(len(body)))])
            await response.write(body[:-1])
            response.abort()
            return
        await response.send(200, headers, body)


if __name__ == '__main__':
    serving.run(ServiceHandler())
