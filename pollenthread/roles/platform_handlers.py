"""What an entry host answers on its addresses of the prepared platform."""

from urllib import parse

from pollenthread.adapters import http_message
from pollenthread.app import entry_peers, forwarder, serving_state
from pollenthread.core import errors
from pollenthread.platform import caller_border, names

__all__ = ['CallerHandler', 'DirectoryHandler', 'ReadyHandler']


class CallerHandler(http_message.RequestHandler):
    """Serves callers."""

    def __init__(self, *, forward: forwarder.Forwarder) -> None:
        self._forward = forward
        self.in_progress = 0

    async def handle(self, request: http_message.HttpRequest,
                     response: http_message.HttpResponse) -> None:
        found = caller_border.decode(request)
        answer = caller_border.HttpReply(response=response, request_id=found.id)
        self.in_progress += 1
        try:
            await self._forward.serve(found, answer)
        finally:
            self.in_progress -= 1


class ReadyHandler(http_message.RequestHandler):
    """Says whether the host is ready."""

    def __init__(self, *, state: serving_state.ServingState) -> None:
        self._state = state

    async def handle(self, request: http_message.HttpRequest,
                     response: http_message.HttpResponse) -> None:
        if request.path != names.Path.READY:
            await response.send_problem(errors.failure(errors.Kind.NOT_FOUND))
            return
        await response.send(200 if self._state.is_ready else 503, [], b'')


class DirectoryHandler(http_message.RequestHandler):
    """Tells callers which entry hosts to use."""

    def __init__(self, *, peers: entry_peers.EntryPeers, ttl_s: float) -> None:
        self._peers = peers
        self._ttl_s = ttl_s

    async def handle(self, request: http_message.HttpRequest,
                     response: http_message.HttpResponse) -> None:
        if request.path != names.Path.RESOLVE:
            await response.send_problem(errors.failure(errors.Kind.NOT_FOUND))
            return
        query = parse.parse_qs(request.target.partition('?')[2])
        data_centre = query.get('zone', [''])[0]
        await response.send_json(200, {
            'addresses': self._peers.usable(data_centre),
            'ttl_s': self._ttl_s
        })
