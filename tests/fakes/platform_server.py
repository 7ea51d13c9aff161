"""Stand-in for a server behind the prepared platform.

Requests to a path with `/stream/` are answered as a stream of events; the
number in the path is how many. Faults, each used up once for each count:
`break_after` breaks a stream off within the event that follows so many;
`stale` answers with the id of another request; `lose` runs the request and
closes; `not_run` refuses; `other` says that another server has the address;
`fail` answers 500. `pause_s` is the time between events.
"""

import asyncio
from typing import Any

from pollenthread.adapters import http_server
from tests.fakes import serving

__all__ = ['PlatformServerHandler']

_ID = 'pollenthread-request-id'


class PlatformServerHandler(serving.FakeHandler):
    """Answers requests and remembers them."""

    def __init__(self) -> None:
        super().__init__()
        self._seen: list[dict[str, Any]] = []
        self._cancelled = 0

    async def respond(self, request: http_server.HttpRequest,
                      response: http_server.HttpResponse) -> None:
        if request.path == '/seen':
            await response.send_json(200, {
                'requests': self._seen,
                'cancelled': self._cancelled
            })
            return
        request_id = request.header(_ID) or ''
        headers = [(_ID, request_id), ('pollenthread-response-stamp', 'stamp')]
        if self.consume_fault('other'):
            await response.send(421, [(_ID, request_id)], b'')
            return
        if self.consume_fault('not_run'):
            await response.send(503, [(_ID, request_id),
                                      ('pollenthread-not-executed', '1')], b'')
            return
        self._seen.append({
            'id': request_id,
            'target': request.target,
            'headers': dict(request.headers)
        })
        if self.consume_fault('lose'):
            response.abort()
        elif self.consume_fault('fail'):
            await response.send(500, headers, b'failed')
        elif '/stream/' in request.path:
            await self._stream(request, response, headers)
        else:
            await self._whole(response, headers)

    async def _whole(self, response: http_server.HttpResponse,
                     headers: list[tuple[str, str]]) -> None:
        if self.consume_fault('stale'):
            headers = [(_ID, 'another'), *headers[1:]]
        await response.send(200, headers, b'whole ' + headers[0][1].encode())

    async def _stream(self, request: http_server.HttpRequest,
                      response: http_server.HttpResponse,
                      headers: list[tuple[str, str]]) -> None:
        count = int(request.path.rstrip('/').rpartition('/')[2])
        first = int(request.header('last-event-id') or 0) + 1
        await response.send_head(200, [
            *headers, ('content-type', 'text/event-stream'),
            ('transfer-encoding', 'chunked')
        ])
        broken_after = self.faults.pop('break_after', None)
        try:
            for number in range(first, count + 1):
                event = f'id: {number}\ndata: piece {number}\n\n'.encode()
                if broken_after is not None and number > broken_after:
                    response.abort(event[:7])
                    return
                await response.write(event)
                await asyncio.sleep(self.faults.get('pause_s', 0.0))
        except (asyncio.CancelledError, OSError):
            self._cancelled += 1
            raise
        await response.finish()


if __name__ == '__main__':
    serving.run(PlatformServerHandler())
