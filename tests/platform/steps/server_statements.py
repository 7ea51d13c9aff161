"""Steps for what servers say about the requests that they want."""

import asyncio
import dataclasses
import math
from typing import Any

from behave import given, then, when

from pollenthread.adapters import http_client
from pollenthread.app import forwarder, serving_state
from pollenthread.core import errors, routing_config, server_registry
from pollenthread.platform import upstream_http
from pollenthread.ports import upstream
from tests import scenario
from tests.fakes import (forwarding, outspoken_servers, slow_server,
                         virtual_time)

_CALLER_TIMEOUT_S = 2.0
_TOLD_AFTER_S = 0.5


@dataclasses.dataclass
class _Host:
    """A host with servers, and what its callers received.

    Attributes:
        count: the number of servers.
        servers: the servers.
        responses: the responses to all requests.
        said_at: when the servers began to say something.
    """

    count: int
    servers: outspoken_servers.OutspokenServers = dataclasses.field(
        default_factory=outspoken_servers.OutspokenServers)
    responses: list[forwarding.RecordingResponse] = dataclasses.field(
        default_factory=list)
    said_at: float = math.inf
    listed_at: float = math.inf
    state: serving_state.ServingState = dataclasses.field(
        default_factory=forwarding.make_state)

    def start(self) -> forwarder.Forwarder:
        """Lists the servers; returns the host's forwarder."""
        route = dataclasses.replace(forwarding.ROUTE,
                                    kind=routing_config.RequestKind.IDEMPOTENT)
        self.state.config = dataclasses.replace(
            forwarding.CONFIG,
            routes_by_host={route.host: (route,)},
            services_by_name={
                'llm': routing_config.Service('llm', '/', 258, None)
            })
        for number in range(self.count):
            self.state.server_registry.put(
                forwarding.make_server(f's-{number}', born_ms=1))
        return forwarding.make_forwarder(state=self.state,
                                         upstream_client=self.servers,
                                         time=virtual_time.LoopClock())

    async def send(self, serving: forwarder.Forwarder) -> None:
        """Sends a request."""
        response = forwarding.RecordingResponse()
        self.responses.append(response)
        await serving.serve(
            forwarding.make_request(received_at=_now(),
                                    timeout_s=_CALLER_TIMEOUT_S), response)

    async def send_many(self, serving: forwarder.Forwarder, per_s: int,
                        seconds: float) -> None:
        """Sends requests at a steady rate and waits for the responses."""
        async with asyncio.TaskGroup() as group:
            for _ in range(round(per_s * seconds)):
                group.create_task(self.send(serving))
                await asyncio.sleep(1 / per_s)


def _now() -> float:
    return asyncio.get_running_loop().time()


@given('a host and {count:d} servers')
def step_host(context: Any, count: int) -> None:
    context.host = _Host(count)


@when('{per_s:d} requests a second come for {seconds:d} s, and "{name}" leaves '
      'after {after:d} s')
def step_leave(context: Any, per_s: int, seconds: int, name: str,
               after: int) -> None:
    host = context.host
    context.follow_up = (per_s, name)

    async def run() -> None:
        serving = host.start()
        await host.send_many(serving, per_s, after)
        host.said_at = _now()
        host.servers.leaving.add(name)
        await host.send_many(serving, per_s, seconds - after)

    virtual_time.run(run())


@when('it is listed with a later start, and {per_s:d} requests a second come '
      'for {seconds:d} s')
def step_listed_again(context: Any, per_s: int, seconds: int) -> None:
    host = context.host
    _, name = context.follow_up

    async def run() -> None:
        serving = host.start()
        host.servers.leaving.clear()
        host.servers.arrivals_by_server.clear()
        host.state.server_registry.put(forwarding.make_server(name, born_ms=2))
        await host.send_many(serving, per_s, seconds)

    virtual_time.run(run())


@then('"{name}" gets requests')
def step_gets(context: Any, name: str) -> None:
    assert context.host.servers.arrivals_by_server[name]


@then('from {seconds:g} s after that "{name}" gets no request')
def step_gets_none(context: Any, seconds: float, name: str) -> None:
    host = context.host
    arrivals = host.servers.arrivals_by_server[name]
    assert arrivals
    late = [at for at in arrivals if at > host.said_at + seconds]
    # The first one after it began to leave is answered with the news.
    assert len(late) <= 1 and len([at for at in arrivals if at > host.said_at
                                  ]) <= 2, late


@then('all requests are answered')
def step_all_answered(context: Any) -> None:
    failures = [r.failure for r in context.host.responses if not r.is_complete]
    assert not failures, failures


@when('{per_s:d} requests a second come for {seconds:d} s, and "{name}" wants '
      'nothing for {pause:g} s after {after:d} s')
def step_pause(context: Any, per_s: int, seconds: int, name: str, pause: float,
               after: int) -> None:
    host = context.host

    async def run() -> None:
        serving = host.start()
        await host.send_many(serving, per_s, after)
        host.servers.pause_by_server[name] = pause
        host.said_at = _now()
        await host.send_many(serving, per_s, seconds - after)

    virtual_time.run(run())


@then('in each {pause:g} s after it has said so "{name}" gets at most {most:d} '
      'requests')
def step_left_alone(context: Any, pause: float, name: str, most: int) -> None:
    host = context.host
    rejected = [
        at for at in host.servers.arrivals_by_server[name] if at > host.said_at
    ]
    assert rejected
    for at in rejected:
        found = [a for a in rejected if at + _TOLD_AFTER_S < a < at + pause]
        assert len(found) <= most, found
    # The first requests may be on their way together.
    gaps = [b - a for a, b in zip(rejected, rejected[1:]) if b - a > 0.1]
    assert all(gap >= pause for gap in gaps), gaps


@then('"{name}" gets a request within {seconds:g} s after that')
def step_returns(context: Any, name: str, seconds: float) -> None:
    host = context.host
    rejected = [
        at for at in host.servers.arrivals_by_server[name] if at > host.said_at
    ]
    pause = host.servers.pause_by_server[name]
    gaps = [b - a for a, b in zip(rejected, rejected[1:]) if b - a > 0.1]
    assert gaps and max(gaps) <= pause + seconds, gaps


@when('all servers want nothing for {pause:g} s')
def step_all_pause(context: Any, pause: float) -> None:
    host = context.host
    host.servers.pause_by_server = {
        f's-{number}': pause for number in range(host.count)
    }
    _run_last(context, 4)


@when('all servers leave')
def step_all_leave(context: Any) -> None:
    host = context.host
    host.servers.leaving = {f's-{number}' for number in range(host.count)}
    _run_last(context, 6)


def _run_last(context: Any, requests_before: int) -> None:
    """Sends some requests and then one, whose duration is kept."""
    host = context.host

    async def run() -> None:
        serving = host.start()
        for _ in range(requests_before):
            await host.send(serving)
        began_at = _now()
        await host.send(serving)
        context.waited_s = _now() - began_at

    virtual_time.run(run())


@then('a request is rejected at once, as not run, with a delay of {least:g} to '
      '{most:g} s')
def step_rejected_with_delay(context: Any, least: float, most: float) -> None:
    failure = _check_rejected(context)
    assert failure.retry_after_s is not None
    assert least <= failure.retry_after_s <= most, failure.retry_after_s


@then('a request is rejected at once, as not run')
def step_rejected(context: Any) -> None:
    _check_rejected(context)


def _check_rejected(context: Any) -> errors.Failure:
    failure = context.host.responses[-1].failure
    assert failure is not None and failure.executed is errors.Executed.NO
    assert not context.waited_s, context.waited_s
    found: errors.Failure = failure
    return found


@when('{per_s:d} requests a second come for {seconds:d} s, and another server '
      'is at the address of "{name}"')
def step_other(context: Any, per_s: int, seconds: int, name: str) -> None:
    host = context.host
    host.servers.other_at_address.add(name)

    async def run() -> None:
        await host.send_many(host.start(), per_s, seconds)

    virtual_time.run(run())


@then('"{name}" has not said that it leaves')
def step_has_not_said(context: Any, name: str) -> None:
    host = context.host
    assert host.servers.arrivals_by_server[name]
    server = host.state.server_registry.get(name)
    assert server is not None
    assert host.state.server_statements.paused_until(server) == -math.inf


# Headers.


@when('a server rejects a request with the header "{header}" as "{value}"')
def step_header(context: Any, header: str, value: str) -> None:

    async def send() -> tuple[float | None, bool]:
        async with (slow_server.SlowServer(
                body=b'',
                parts=1,
                pause_s=0.0,
                sent_parts=None,
                status=503,
                headers=((header, value), ('pollenthread-not-executed', '1')))
                    as server, http_client.HttpClient() as client):
            target = server_registry.Server(
                id='s',
                service='llm',
                address=server.address,
                data_centre='a',
                slots=1,
                state=server_registry.ServerState.READY)
            attempt = upstream.UpstreamAttempt(server=target,
                                               request=forwarding.make_request(
                                                   received_at=0.0,
                                                   timeout_s=1.0),
                                               time_left_s=1.0,
                                               workspace=None,
                                               last_event_id=None,
                                               priority=5)
            async with upstream_http.HttpUpstreamClient(
                    client=client).send(attempt) as response:
                return response.pause_s, response.is_leaving

    context.said = scenario.run(context, send())


@then('it is taken to want nothing for {pause}, and to {stay}')
def step_taken(context: Any, pause: str, stay: str) -> None:
    expected = None if pause == 'no time' else float(pause.split()[0])
    assert context.said == (expected, stay == 'leave'), context.said
