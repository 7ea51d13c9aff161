"""Steps for streams of stalled and slow servers, in virtual time."""

import asyncio
import contextlib
import dataclasses
import math
from collections.abc import AsyncIterator
from typing import Any

from behave import given, then, when

from pollenthread.app import serving_state
from pollenthread.core import http_headers, server_load, server_registry
from pollenthread.ports import upstream
from tests.fakes import forwarding, virtual_time

_OK = 200
_REPORT_INTERVAL_S = 0.25
_TRICKLE_INTERVAL_S = 0.5
_CALLER_TIMEOUT_S = 8.0


@dataclasses.dataclass
class _Script:
    """The behaviour of a server's first response.

    Attributes:
        interval_s: seconds between events.
        events: the number of events.
        silent_from: the number of the event from which it sends nothing, or 0.
        trickles_from: the number of the event from which it sends single bytes,
            or 0.
    """

    interval_s: float
    events: int
    silent_from: int = 0
    trickles_from: int = 0


class _ScriptedResponse(upstream.UpstreamResponse):
    """A stream; only the first one of a server follows its script."""

    def __init__(self, script: _Script, first_event: int,
                 event_times: list[float]) -> None:
        self.status = _OK
        self.headers: tuple[http_headers.Header, ...] = ()
        self.may_have_executed = True
        self.is_misdirected = False
        self.load = None
        self.closes_connection = False
        self.limit_per_s = math.inf
        self._script = script
        self._first_event = first_event
        self._event_times = event_times

    def read(self) -> AsyncIterator[bytes]:
        return self._events()

    async def _events(self) -> AsyncIterator[bytes]:
        script = self._script
        for number in range(self._first_event, script.events + 1):
            await asyncio.sleep(script.interval_s)
            if script.silent_from and number >= script.silent_from:
                await asyncio.Event().wait()
            while script.trickles_from and number >= script.trickles_from:
                yield b'x'
                await asyncio.sleep(_TRICKLE_INTERVAL_S)
            self._event_times.append(asyncio.get_running_loop().time())
            yield f'id: {number}\ndata: x\n\n'.encode()


class _ScriptedServers(upstream.UpstreamClient):
    """Servers whose first response follows a script; later ones are normal.

    Attributes:
        script: the behaviour of the first response.
        attempt_times: the times of the attempts, in seconds.
        event_times: the times of all events, in seconds.
        server_ids: the servers of the attempts.
    """

    def __init__(self, script: _Script) -> None:
        self.script = script
        self.attempt_times: list[float] = []
        self.event_times: list[float] = []
        self.server_ids: list[str] = []

    @contextlib.asynccontextmanager
    async def send(  # pylint: disable=invalid-overridden-method
        self, attempt: upstream.UpstreamAttempt
    ) -> AsyncIterator[upstream.UpstreamResponse]:
        script = (self.script
                  if not self.attempt_times else dataclasses.replace(
                      self.script, silent_from=0, trickles_from=0))
        self.attempt_times.append(asyncio.get_running_loop().time())
        self.server_ids.append(attempt.server.id)
        first_event = int(attempt.last_event_id or 0) + 1
        yield _ScriptedResponse(script, first_event, self.event_times)

    async def is_refusing(self, server: server_registry.Server) -> bool:
        return False


class _Simulation:
    """One entry host, two servers and one stream.

    Attributes:
        servers: the servers.
        response: what the caller receives.
        target_s: the latency target of the route, in seconds.
    """

    def __init__(self, script: _Script) -> None:
        self.servers = _ScriptedServers(script)
        self.response = forwarding.RecordingResponse()
        self.target_s = forwarding.TARGET_S

    async def run(self, reports_stop_after_s: float) -> None:
        """Serves one stream while agents report their load."""
        route = dataclasses.replace(forwarding.ROUTE, target_s=self.target_s)
        state = forwarding.make_state()
        state.config = dataclasses.replace(forwarding.CONFIG,
                                           routes_by_host={'h': (route,)})
        for name in ('s1', 's2'):
            state.server_registry.put(forwarding.make_server(name))
        clock = virtual_time.LoopClock()
        request_forwarder = forwarding.make_forwarder(
            state=state, upstream_client=self.servers, time=clock)
        tasks = [
            asyncio.create_task(request_forwarder.watch_silent_servers()),
            asyncio.create_task(self._report(state, clock,
                                             reports_stop_after_s))
        ]
        await asyncio.sleep(_REPORT_INTERVAL_S)
        await request_forwarder.serve(
            forwarding.make_request(received_at=clock.monotonic(),
                                    timeout_s=_CALLER_TIMEOUT_S), self.response)
        for task in tasks:
            task.cancel()

    async def _report(self, state: serving_state.ServingState,
                      clock: virtual_time.LoopClock,
                      stop_after_s: float) -> None:
        """Reports the load of both servers; at last only of the unused one."""
        while True:
            now = clock.monotonic()
            attempts = self.servers.attempt_times
            is_stopped = attempts and now - attempts[0] > stop_after_s
            for name in ('s1', 's2'):
                if is_stopped and name == self.servers.server_ids[0]:
                    continue
                state.server_loads.record_report(
                    name,
                    server_load.ServerLoadReport(running=1,
                                                 waiting=0,
                                                 slots=6,
                                                 group='g',
                                                 pass_s=0.06), now)
            await asyncio.sleep(_REPORT_INTERVAL_S)


@given('a server that sends an event every {interval_s:f} s, {events:d} in '
       'total')
def step_server(context: Any, interval_s: float, events: int) -> None:
    context.simulation = _Simulation(_Script(interval_s, events))


@given('it sends nothing from event {number:d} on')
def step_silent(context: Any, number: int) -> None:
    context.simulation.servers.script.silent_from = number


@given('it sends single bytes instead of event {number:d}')
def step_trickle(context: Any, number: int) -> None:
    context.simulation.servers.script.trickles_from = number


@given('a route with a target of {target_s:f} s')
def step_route(context: Any, target_s: float) -> None:
    context.simulation.target_s = target_s


@when('the reports of its agent stop {seconds:f} s after a stream began')
def step_reports_stop(context: Any, seconds: float) -> None:
    virtual_time.run(context.simulation.run(seconds))


@when('a stream is requested')
def step_stream(context: Any) -> None:
    virtual_time.run(context.simulation.run(float('inf')))


@then('the stream is complete after {attempts:d} attempt')
def step_complete(context: Any, attempts: int) -> None:
    simulation = context.simulation
    assert simulation.response.is_complete, simulation.response.failure
    assert len(simulation.servers.attempt_times) == attempts


@then('the second attempt began within {seconds:g} s of the last event')
def step_second_attempt(context: Any, seconds: float) -> None:
    servers = context.simulation.servers
    assert len(servers.attempt_times) == 2, servers.attempt_times
    second_at = servers.attempt_times[1]
    last_at = max(at for at in servers.event_times if at < second_at)
    assert second_at - last_at < seconds, (second_at, last_at)
    assert context.simulation.response.is_complete
