"""An entry host on the prepared platform."""

import asyncio
import contextlib
import random

import result

from pollenthread.adapters import (clock, http_client, http_message,
                                   http_server, json_log)
from pollenthread.app import (forwarder, knowledge, serving_state,
                              store_follower)
from pollenthread.core import errors, log_events, routing_config
from pollenthread.platform import (caller_border, config_document, names,
                                   process_settings, row_store_http,
                                   server_entry, upstream_http)
from pollenthread.roles import process

__all__ = ['run']

_CONFIG_WAIT_S = 20.0
_CONFIG_PAUSE_S = 0.05
_SERVERS_PAUSE_S = 0.4
_RETURN_S = 2.2
_TTL_S = 2
_CONNECT_TIMEOUT_S = 0.4
_STORE_CONNECT_TIMEOUT_S = 0.5


def _decode_config(
        data: bytes) -> result.Result[routing_config.RoutingConfig, str]:
    try:
        return result.Ok(config_document.decode(data))
    except config_document.InvalidConfig as error:
        return result.Err(str(error))


class _CallerHandler(http_message.Handler):
    """Serves callers."""

    def __init__(self, *, service: forwarder.Forwarder) -> None:
        self._service = service

    async def handle(self, request: http_message.Request,
                     response: http_message.Response) -> None:
        found = caller_border.decode(request)
        answer = caller_border.HttpReply(response=response,
                                         request_id=found.id)
        await self._service.serve(found, answer)


class _ReadyHandler(http_message.Handler):
    """Says whether the host is ready."""

    def __init__(self, *, state: serving_state.ServingState) -> None:
        self._state = state

    async def handle(self, request: http_message.Request,
                     response: http_message.Response) -> None:
        if request.path != names.Path.READY:
            await response.send_problem(errors.failure(errors.Kind.NOT_FOUND))
            return
        await response.send(200 if self._state.is_ready else 503, [], b'')


class _DirectoryHandler(http_message.Handler):
    """Tells callers which entry hosts to use."""

    def __init__(self, *, settings: process_settings.ProcessSettings) -> None:
        self._settings = settings

    async def handle(self, request: http_message.Request,
                     response: http_message.Response) -> None:
        if request.path != names.Path.RESOLVE:
            await response.send_problem(errors.failure(errors.Kind.NOT_FOUND))
            return
        await response.send_json(
            200, {
                'addresses': [self._settings.caller_address],
                'ttl_s': _TTL_S
            })


async def run() -> None:
    """Serves until SIGTERM."""
    settings = process_settings.load()
    log = json_log.JsonLog(host=settings.host)
    rng = random.Random(settings.host)
    time = clock.SystemClock()
    stop = process.StopSignal()
    state = serving_state.ServingState(
        data_centre=settings.data_centre,
        retry_bounds=serving_state.RetryBounds(settings.retry_ratio,
                                               settings.retry_extra,
                                               settings.retry_window_s),
        return_s=_RETURN_S,
        rng=rng)
    async with contextlib.AsyncExitStack() as stack:
        store_client = await stack.enter_async_context(
            http_client.HttpClient(connect_timeout_s=_STORE_CONNECT_TIMEOUT_S))
        server_client = await stack.enter_async_context(
            http_client.HttpClient(connect_timeout_s=_CONNECT_TIMEOUT_S))
        store = row_store_http.HttpRowStore(client=store_client,
                                            address=settings.store_address)
        config = knowledge.ConfigListener(state=state,
                                          time=time,
                                          log=log,
                                          table=names.Table.OPERATOR,
                                          key=names.Table.CONFIG_KEY,
                                          decode=_decode_config)
        servers = knowledge.ServerListener(state=state,
                                           time=time,
                                           log=log,
                                           table=names.Table.SERVERS,
                                           decode=server_entry.decode)
        followers = [
            store_follower.StoreFollower(store=store,
                                         table=names.Table.OPERATOR,
                                         listener=config,
                                         time=time,
                                         wait_s=_CONFIG_WAIT_S,
                                         pause_s=_CONFIG_PAUSE_S,
                                         rng=rng),
            store_follower.StoreFollower(store=store,
                                         table=names.Table.SERVERS,
                                         listener=servers,
                                         time=time,
                                         wait_s=0.0,
                                         pause_s=_SERVERS_PAUSE_S,
                                         rng=rng)
        ]
        forward = forwarder.Forwarder(
            state=state,
            servers=upstream_http.HttpUpstream(client=server_client),
            time=time,
            log=log)
        for address, handler in (
            (settings.caller_address, _CallerHandler(service=forward)),
            (settings.ready_address, _ReadyHandler(state=state)),
            (settings.directory_address, _DirectoryHandler(settings=settings))):
            host, port = process.split_address(address)
            await stack.enter_async_context(
                http_server.HttpServer(handler=handler, host=host, port=port))
        log.write(log_events.LogEvent.STARTED, address=settings.caller_address)
        tasks = asyncio.create_task(store_follower.run_all(followers))
        await stop.planned.wait()
        tasks.cancel()
        log.write(log_events.LogEvent.STOPPED)
