"""HTTP handlers of an entry host on the users' platform."""

from urllib import parse

from pollenthread.adapters import http_message
from pollenthread.app import entry_liveness, forwarder, serving_state
from pollenthread.core import errors, routing_config
from pollenthread.platform import caller_codec, wire_names

__all__ = ['ForwardingHandler', 'EntryAddressHandler', 'ReadinessHandler']


class ForwardingHandler(http_message.RequestHandler):
    """Passes requests of callers to the forwarder.

    Attributes:
        in_progress: number of requests that are being served.
    """

    def __init__(self, *, request_forwarder: forwarder.Forwarder,
                 state: serving_state.ServingState) -> None:
        self._forwarder = request_forwarder
        self._state = state
        self.in_progress = 0

    def check_head(self,
                   request: http_message.HttpRequest) -> errors.Failure | None:
        config = self._state.config
        if config is None:
            return errors.make_failure(errors.ErrorKind.STALE_CONFIGURATION)
        caller_request = caller_codec.decode_request(request)
        if routing_config.find_route(config, caller_request.host,
                                     caller_request.path) is None:
            return errors.make_failure(errors.ErrorKind.NOT_FOUND)
        return None

    async def handle(self, request: http_message.HttpRequest,
                     response: http_message.HttpResponse) -> None:
        caller_request = caller_codec.decode_request(request)
        caller_response = caller_codec.HttpCallerResponse(
            response=response, request_id=caller_request.id)
        self.in_progress += 1
        try:
            await self._forwarder.serve(caller_request, caller_response)
        finally:
            self.in_progress -= 1


class ReadinessHandler(http_message.RequestHandler):
    """Serves the readiness check: status 200 if ready, otherwise 503."""

    def __init__(self, *, state: serving_state.ServingState) -> None:
        self._state = state

    async def handle(self, request: http_message.HttpRequest,
                     response: http_message.HttpResponse) -> None:
        if request.path != wire_names.UrlPath.READINESS:
            await response.send_problem(
                errors.make_failure(errors.ErrorKind.NOT_FOUND))
            return
        await response.send(200 if self._state.is_ready else 503, [], b'')


class EntryAddressHandler(http_message.RequestHandler):
    """Serves the addresses of the entry hosts that callers should use."""

    def __init__(self, *, liveness: entry_liveness.EntryLiveness,
                 ttl_s: float) -> None:
        self._liveness = liveness
        self._ttl_s = ttl_s

    async def handle(self, request: http_message.HttpRequest,
                     response: http_message.HttpResponse) -> None:
        if request.path != wire_names.UrlPath.ENTRY_ADDRESSES:
            await response.send_problem(
                errors.make_failure(errors.ErrorKind.NOT_FOUND))
            return
        query = parse.parse_qs(request.target.partition('?')[2])
        data_centre = query.get('zone', [''])[0]
        await response.send_json(
            200, {
                'addresses': self._liveness.usable_addresses(data_centre),
                'ttl_s': self._ttl_s
            })
