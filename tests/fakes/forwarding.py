"""A route, requests and responses for tests of the forwarder."""

import asyncio
import random
from collections.abc import Sequence

from pollenthread.app import (forwarder, graceful_shutdown, rate_permits,
                              serving_state)
from pollenthread.core import (caller_request, errors, http_headers,
                               routing_config, server_registry, store_version)
from pollenthread.ports import caller_response, clock, upstream
from tests.fakes import memory

__all__ = [
    'CONFIG', 'ENGINE_PROFILE', 'ROUTE', 'SHUTDOWN_PLAN', 'TARGET_S',
    'RecordingResponse', 'make_forwarder', 'make_request', 'make_server',
    'make_state'
]

TARGET_S = 0.403
SHUTDOWN_PLAN = graceful_shutdown.ShutdownPlan(8.0, 1.0)
ENGINE_PROFILE = routing_config.EngineProfile(slots=6,
                                              kv_cache_tokens=247_000,
                                              base_step_s=0.005,
                                              step_s_per_sequence=0.0,
                                              step_s_per_context_token=0.0,
                                              prefill_tokens_per_s=74_800.0,
                                              prefill_s_per_token_pair=0.0,
                                              prefill_chunk_tokens=512,
                                              steps_per_pass=6,
                                              mean_prompt_tokens=835.0,
                                              mean_output_tokens=159.0,
                                              link_bytes_per_s=0.0,
                                              sets=0,
                                              experts=0,
                                              expert_slots=0,
                                              spare_expert_slots=0,
                                              expert_bytes=0.0,
                                              expert_share=0.0)
ROUTE = routing_config.Route(name='chat',
                             host='h',
                             path_prefix='/',
                             kind=routing_config.RequestKind.STREAM,
                             timeout_s=8.0,
                             target_s=TARGET_S,
                             priority=1,
                             shares=(routing_config.ServiceShare('llm', 1.0),),
                             max_attempts=2,
                             is_public=True,
                             is_resumable=True,
                             max_gap_s=0.12)
CONFIG = routing_config.RoutingConfig(
    version=1,
    routes_by_host={'h': (ROUTE,)},
    services_by_name={
        'llm': routing_config.Service('llm', '/', 258, ENGINE_PROFILE)
    },
    limits=routing_config.CallerLimits(),
    workspaces_by_api_key=None)


class RecordingResponse(caller_response.CallerResponse):
    """Records when the first event arrived and how the response ended.

    Attributes:
        first_at: the time of the first event, in seconds; None before it.
        is_complete: whether the whole response arrived.
        is_aborted: whether the response was cut off after its start.
        failure: the failure sent instead of a response, or None.
        body: the bytes of the events so far.
    """

    def __init__(self) -> None:
        self.body = b''
        self.is_aborted = False
        self.first_at: float | None = None
        self.is_complete = False
        self.failure: errors.Failure | None = None

    @property
    def is_started(self) -> bool:
        return self.first_at is not None

    async def send_failure(self, failure: errors.Failure) -> None:
        self.failure = failure

    async def send_response(self, status: int,
                            headers: Sequence[http_headers.Header],
                            body: bytes) -> None:
        self.is_complete = True

    async def start_stream(self, status: int,
                           headers: Sequence[http_headers.Header]) -> None:
        self.first_at = asyncio.get_running_loop().time()

    async def write(self, data: bytes) -> None:
        self.body += data

    async def finish(self) -> None:
        self.is_complete = True

    def abort(self) -> None:
        self.is_aborted = True


def make_request(*, received_at: float,
                 timeout_s: float | None) -> caller_request.CallerRequest:
    """Returns a request for `ROUTE`.

    Args:
        received_at: monotonic seconds.
        timeout_s: the timeout that the caller sends, or None.
    """
    return caller_request.CallerRequest(id='r',
                                        method='POST',
                                        target='/x',
                                        host='h',
                                        headers=(),
                                        body=b'',
                                        api_key=None,
                                        timeout_s=timeout_s,
                                        last_event_id=None,
                                        prompt_tokens=835,
                                        max_output_tokens=159,
                                        prompt_parts=(),
                                        received_at=received_at)


def make_forwarder(
    *,
    state: serving_state.ServingState,
    upstream_client: upstream.UpstreamClient,
    time: clock.Clock,
    permits: rate_permits.RatePermits | None = None,
    shutdown_plan: graceful_shutdown.ShutdownPlan = SHUTDOWN_PLAN
) -> forwarder.Forwarder:
    """Returns a forwarder that logs nothing.

    Args:
        state: the state of its host.
        upstream_client: the servers.
        time: the clock.
        permits: permits for limited servers; by default those of a host that
            shares its servers with no other one.
        shutdown_plan: the times of a graceful shutdown.
    """
    log = memory.NullEventLog()
    return forwarder.Forwarder(
        state=state,
        upstream_client=upstream_client,
        permits=permits or
        rate_permits.LocalRatePermits(state=state, time=time, log=log),
        shutdown_plan=shutdown_plan,
        observe=lambda name, value: None,
        time=time,
        log=log)


def make_state(*,
               data_centre: str = 'a',
               seed: int = 1) -> serving_state.ServingState:
    """Returns the state of a host that knows no configuration and no server.

    It knows that no data centre is emptied.

    Args:
        data_centre: the data centre of the host.
        seed: the seed of its random numbers.
    """
    state = serving_state.ServingState(
        data_centre=data_centre,
        retry_settings=serving_state.RetryBudgetSettings(0.2, 94.0, 10.0),
        return_s=2.0,
        rng=random.Random(seed))
    state.evacuations.update((), store_version.StoreVersion(1, 1), 0.0)
    return state


def make_server(name: str,
                *,
                slots: int = 6,
                born_ms: int = 0,
                data_centre: str = 'a') -> server_registry.Server:
    """Returns a server of `ROUTE`'s service that accepts requests.

    Args:
        name: its id, which is a part of its address too.
        slots: requests that it processes concurrently.
        born_ms: its start time in Unix milliseconds; 0 if unknown.
        data_centre: the data centre that it runs in.
    """
    return server_registry.Server(id=name,
                                  service='llm',
                                  address=f'{name}:1',
                                  data_centre=data_centre,
                                  slots=slots,
                                  state=server_registry.ServerState.READY,
                                  born_ms=born_ms)
