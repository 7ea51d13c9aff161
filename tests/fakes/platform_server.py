"""Stand-in for a server of the users' platform.

The response to a path with `/stream/` is a stream of events, whose number is
the last part of the path. The response to a path with `/bytes/` has as many
bytes as the last part of the path says. Faults:

    break_after  aborts one stream within the event after this many events
    stale        responds with the ID of another request
    lose         executes the request, then closes the connection
    not_run      rejects the request without executing it
    other        responds that the address belongs to another server
    fail         responds with status 500
    pause_s      seconds between events
    delay_s      seconds before a response that is not a stream

The values of `stale`, `lose`, `not_run`, `other` and `fail` are counts: each
affected request uses up one.
"""

import asyncio
from typing import Any

from pollenthread.adapters import http_server
from tests.fakes import serving

__all__ = ['PlatformServerHandler']

_REQUEST_ID_HEADER = 'pollenthread-request-id'


class PlatformServerHandler(serving.FakeHandler):
    """Responds to requests and records them for `GET /seen`."""

    def __init__(self) -> None:
        super().__init__()
        self._received_requests: list[dict[str, Any]] = []
        self._cancelled_count = 0

    async def respond(self, request: http_server.HttpRequest,
                      response: http_server.HttpResponse) -> None:
        if request.path == '/seen':
            await response.send_json(
                200, {
                    'requests': self._received_requests,
                    'cancelled': self._cancelled_count
                })
            return
        request_id = request.header(_REQUEST_ID_HEADER) or ''
        headers = [(_REQUEST_ID_HEADER, request_id),
                   ('pollenthread-response-stamp', 'stamp')]
        if self.consume_fault('other'):
            await response.send(421, [(_REQUEST_ID_HEADER, request_id)], b'')
            return
        if self.consume_fault('not_run'):
            await response.send(503, [(_REQUEST_ID_HEADER, request_id),
                                      ('pollenthread-not-executed', '1')], b'')
            return
        self._received_requests.append({
            'id': request_id,
            'target': request.target,
            'headers': dict(request.headers)
        })
        if self.consume_fault('lose'):
            response.abort()
        elif self.consume_fault('fail'):
            await response.send(500, headers, b'failed')
        elif '/stream/' in request.path:
            await self._send_stream(request, response, headers)
        else:
            await self._send_whole(request, response, headers)

    async def _send_whole(self, request: http_server.HttpRequest,
                          response: http_server.HttpResponse,
                          headers: list[tuple[str, str]]) -> None:
        await asyncio.sleep(self.faults.get('delay_s', 0.0))
        if self.consume_fault('stale'):
            headers = [(_REQUEST_ID_HEADER, 'another'), *headers[1:]]
        body = b'whole ' + headers[0][1].encode()
        if '/bytes/' in request.path:
            body = b'x' * int(request.path.rpartition('/')[2])
        await response.send(200, headers, body)

    async def _send_stream(self, request: http_server.HttpRequest,
                           response: http_server.HttpResponse,
                           headers: list[tuple[str, str]]) -> None:
        event_count = int(request.path.rstrip('/').rpartition('/')[2])
        first_event = int(request.header('last-event-id') or 0) + 1
        await response.send_head(200, [
            *headers, ('content-type', 'text/event-stream'),
            ('transfer-encoding', 'chunked')
        ])
        break_after = self.faults.pop('break_after', None)
        try:
            for number in range(first_event, event_count + 1):
                event = f'id: {number}\ndata: piece {number}\n\n'.encode()
                if break_after is not None and number > break_after:
                    response.abort(event[:7])
                    return
                await response.write(event)
                await asyncio.sleep(self.faults.get('pause_s', 0.0))
        except (asyncio.CancelledError, OSError):
            self._cancelled_count += 1
            raise
        await response.finish()


if __name__ == '__main__':
    serving.run(PlatformServerHandler())
