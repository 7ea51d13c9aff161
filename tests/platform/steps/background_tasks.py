"""Steps for failures in background tasks, in virtual time."""

import asyncio
import contextlib
import dataclasses
from collections.abc import AsyncIterator
from typing import Any

from behave import given, then, when

from pollenthread.app.background import supervision
from pollenthread.core import (log_events, peer_messages, routing_config,
                               server_load, server_registry, store_version)
from pollenthread.platform import process_settings
from pollenthread.ports import clock, upstream
from pollenthread.roles import platform_agent, platform_entry, platform_role
from tests.fakes import forwarding, memory, virtual_time

_SEARCH_DELAY_S = 0.1
# An attempt at an idempotent request is abandoned after 0.6 of its time, here
# just after the fifth search for silent servers begins, in the same turn of the
# event loop.
_REQUEST_TIME_S = (_SEARCH_DELAY_S + 5 * 0.2 + 5e-10) / 0.6
_SILENT_BEFORE_S = 5.0
_TASK_TIME_S = 3.0
_SETTINGS = process_settings.ProcessSettings(
    host='host-1',
    ip='127.0.0.1',
    data_centre='a',
    region='r',
    region_by_data_centre={'a': 'r'},
    peer_ports=(1, 2),
    seeds=(),
    caller_address='127.0.0.1:0',
    ready_address='127.0.0.1:0',
    directory_address='127.0.0.1:0',
    control_address='',
    engine_address='127.0.0.1:1',
    engine_service='llm',
    # Nothing listens there, so each call to the store fails at once.
    store_address='127.0.0.1:1',
    drain_s=2.0,
    grace_s=8.0,
    config_s=2.0,
    max_ttl_s=5.0,
    retry_ratio=0.2,
    retry_window_s=10.0,
    retry_extra=94.0,
    stall_s=1.5,
    link_bytes_per_s=1e6,
    warm_up_factor=1.5,
    warm_up_extra=5.0,
    memory_bytes=300_000_000,
    max_descriptors=4_100)

_NEWS = peer_messages.EntryBeat(host='entry-1',
                                is_ready=True,
                                is_leaving=False,
                                config_version=1,
                                store_age_ms=0)


class _SilentServers(upstream.UpstreamClient):
    """Servers that never answer."""

    @contextlib.asynccontextmanager
    async def send(  # pylint: disable=invalid-overridden-method
        self, attempt: upstream.UpstreamAttempt
    ) -> AsyncIterator[upstream.UpstreamResponse]:
        await asyncio.Event().wait()
        raise AssertionError
        yield  # pylint: disable=unreachable

    async def is_refusing(self, server: server_registry.Server) -> bool:
        return False


class _FailingClock(clock.Clock):
    """A clock that fails once in the loop; without a loop its time is 0."""

    def __init__(self) -> None:
        self._has_failed = False

    def _fail_once(self) -> None:
        if not self._has_failed:
            self._has_failed = True
            raise RuntimeError('the clock failed')

    def monotonic(self) -> float:
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            return 0.0
        self._fail_once()
        return loop.time()

    async def sleep(self, seconds: float) -> None:
        self._fail_once()
        await asyncio.sleep(seconds)


@given('a server that never answers, beside an agent that has fallen silent')
def step_silent_server(context: Any) -> None:
    context.servers = _SilentServers()


@when('an idempotent request times out as its server is found to be silent')
def step_time_out(context: Any) -> None:
    virtual_time.run(_time_out(context))


async def _time_out(context: Any) -> None:
    time = virtual_time.LoopClock()
    route = dataclasses.replace(forwarding.ROUTE,
                                kind=routing_config.RequestKind.IDEMPOTENT)
    state = forwarding.make_state()
    state.config = dataclasses.replace(forwarding.CONFIG,
                                       routes_by_host={'h': (route,)})
    state.server_registry.put(forwarding.make_server('s1'))
    state.server_loads.record_report(
        's1', server_load.ServerLoadReport(1, 0, 6, group='g'),
        time.monotonic())
    await time.sleep(_SILENT_BEFORE_S)
    request_forwarder = forwarding.make_forwarder(
        state=state, upstream_client=context.servers, time=time)
    context.response = forwarding.RecordingResponse()
    request = asyncio.create_task(
        request_forwarder.serve(
            forwarding.make_request(received_at=time.monotonic(),
                                    timeout_s=_REQUEST_TIME_S),
            context.response))
    await time.sleep(_SEARCH_DELAY_S)
    search = asyncio.create_task(request_forwarder.watch_silent_servers())
    await request
    await time.sleep(1.0)
    context.search_error = search.exception() if search.done() else None
    search.cancel()


@then('the search for silent servers goes on')
def step_search_goes_on(context: Any) -> None:
    assert context.search_error is None, context.search_error


@then('the request has got one answer')
def step_answered(context: Any) -> None:
    assert context.response.failure is not None


def _fail_each(context: Any, make_role: Any) -> None:
    context.failures_by_task = {}
    context.is_running_by_task = {}
    for name in make_role().background_work():
        role = make_role()
        if isinstance(role, platform_agent.PlatformAgent):
            role.watch.on_heartbeat(_NEWS)
        virtual_time.run(_fail(context, role, name))


async def _fail(context: Any, role: platform_role.PlatformRole,
                name: str) -> None:
    log = memory.CountingEventLog()
    supervisor = supervision.TaskSupervisor(log=log)
    work = role.background_work()[name]
    if name == 'apply configuration':
        role.config_listener.offer_document(b'{}',
                                            store_version.START,
                                            source='store')
    async with supervisor:
        supervisor.start(name, work)
        await asyncio.sleep(_TASK_TIME_S)
        context.failures_by_task[name] = supervisor.failures
        context.is_running_by_task[name] = supervisor.running == {name}


@when('the clock fails once in each background task of an entry host')
def step_entry_clock_fails(context: Any) -> None:
    _fail_each(
        context, lambda: platform_entry.PlatformEntry(settings=_SETTINGS,
                                                      time=_FailingClock()))


@when('the clock fails once in each background task of an agent')
def step_agent_clock_fails(context: Any) -> None:
    _fail_each(
        context, lambda: platform_agent.PlatformAgent(settings=_SETTINGS,
                                                      time=_FailingClock()))


@then('each task has failed once and runs again')
def step_all_run(context: Any) -> None:
    assert context.failures_by_task
    assert set(context.failures_by_task.values()) == {1
                                                     }, context.failures_by_task
    assert all(context.is_running_by_task.values()), context.is_running_by_task


@when('a task fails each time for {seconds:d} s')
def step_fails_each_time(context: Any, seconds: int) -> None:
    context.log = memory.CountingEventLog()
    context.supervisor = supervision.TaskSupervisor(log=context.log)
    context.starts = 0

    async def work() -> None:
        context.starts += 1
        raise ValueError('no')

    async def run() -> None:
        async with context.supervisor:
            context.supervisor.start('broken', work)
            await asyncio.sleep(seconds)

    virtual_time.run(run())


@then('it was started at most {count:d} times')
def step_started(context: Any, count: int) -> None:
    assert 1 < context.starts <= count, context.starts


@then('each failure is counted and logged')
def step_counted(context: Any) -> None:
    assert context.supervisor.failures_by_task == {'broken': context.starts}
    logged = context.log.counts[log_events.LogEvent.TASK_FAILED]
    assert logged == context.starts, logged
