"""Steps for requests at a host that stops, in virtual time."""

import asyncio
import contextlib
import copy
import dataclasses
import itertools
import math
import signal
import socket
from collections.abc import AsyncIterator
from typing import Any

from behave import given, then, when

from pollenthread.app import graceful_shutdown
from pollenthread.core import (errors, http_headers, routing_config,
                               server_registry)
from pollenthread.ports import upstream
from tests import scenario
from tests.fakes import (forwarding, platform_site, raw_client, virtual_time)

_OK = 200
_MAX_REJECTION_S = 0.01
_RESPONSE_BYTES = 300_000
_FLOAT_TOLERANCE = 1e-9
_SMALL_WINDOW_BYTES = 8 * 1024
_READ_BYTES = 1_000
_HEAD_END = b'\r\n\r\n'


@dataclasses.dataclass
class _Sent:
    """A request.

    Attributes:
        after_s: seconds from the begin of the stop to its arrival.
        response: what its caller received.
        ended_after_s: seconds from the begin of the stop to its end.
    """

    after_s: float
    response: forwarding.RecordingResponse
    ended_after_s: float = math.inf

    @property
    def is_rejected(self) -> bool:
        """Whether the host says that the request has not run."""
        failure = self.response.failure
        return failure is not None and failure.executed is errors.Executed.NO


class _Response(upstream.UpstreamResponse):
    """A complete response."""

    def __init__(self) -> None:
        self.status = _OK
        self.headers: tuple[http_headers.Header, ...] = ()
        self.may_have_executed = True
        self.is_misdirected = False
        self.load = None
        self.limit_per_s = math.inf
        self.closes_connection = False

    async def read(self) -> AsyncIterator[bytes]:  # pylint: disable=invalid-overridden-method
        yield b'x'


class _SlowServers(upstream.UpstreamClient):
    """Servers that respond after some time.

    Attributes:
        run_ids: the ids of the requests that have reached a server.
    """

    def __init__(self, work_s: float) -> None:
        self._work_s = work_s
        self.run_ids: set[str] = set()

    @contextlib.asynccontextmanager
    async def send(  # pylint: disable=invalid-overridden-method
        self, attempt: upstream.UpstreamAttempt
    ) -> AsyncIterator[upstream.UpstreamResponse]:
        self.run_ids.add(attempt.request.id)
        await asyncio.sleep(self._work_s)
        yield _Response()

    async def is_refusing(self, server: server_registry.Server) -> bool:
        return False


@given('a host that has begun to stop, with a grace period of {grace:g} s')
def step_stopping(context: Any, grace: float) -> None:
    context.plan = graceful_shutdown.ShutdownPlan(grace_s=grace,
                                                  discovery_cache_s=3.0)


@given('a route of kind "{kind}" with a timeout of {timeout:g} s, whose '
       'servers take {work:g} s')
def step_route(context: Any, kind: str, timeout: float, work: float) -> None:
    route = dataclasses.replace(forwarding.ROUTE,
                                kind=routing_config.RequestKind(kind),
                                timeout_s=timeout,
                                is_resumable=False)
    context.configuration = dataclasses.replace(forwarding.CONFIG,
                                                routes_by_host={'h': (route,)})
    context.servers = _SlowServers(work)


@when('a request arrives every {interval:g} s until the host exits')
def step_run(context: Any, interval: float) -> None:
    context.sent = []
    virtual_time.run(_run(context, interval))


async def _run(context: Any, interval_s: float) -> None:
    time = virtual_time.LoopClock()
    state = forwarding.make_state()
    state.config = context.configuration
    for name in ('s1', 's2'):
        state.server_registry.put(forwarding.make_server(name, slots=100))
    host = forwarding.make_forwarder(state=state,
                                     upstream_client=context.servers,
                                     time=time,
                                     shutdown_plan=context.plan)
    began_at = time.monotonic()
    state.shutdown_began_at = began_at

    async def serve(sent: _Sent, number: int) -> None:
        request = dataclasses.replace(forwarding.make_request(
            received_at=time.monotonic(), timeout_s=None),
                                      id=str(number))
        await host.serve(request, sent.response)
        sent.ended_after_s = time.monotonic() - began_at

    tasks = []
    while True:
        after_s = time.monotonic() - began_at
        running = sum(math.isinf(s.ended_after_s) for s in context.sent)
        if after_s > 3.0 and graceful_shutdown.may_exit(context.plan, after_s,
                                                        max(1, running)):
            break
        sent = _Sent(after_s, forwarding.RecordingResponse())
        context.sent.append(sent)
        tasks.append(asyncio.create_task(serve(sent, len(context.sent))))
        await asyncio.sleep(interval_s)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


@then('each of them has an answer or a rejection before that')
def step_all_ended(context: Any) -> None:
    cut = [s.after_s for s in context.sent if math.isinf(s.ended_after_s)]
    assert not cut, cut


@then('rejected requests have not waited and have not run')
def step_rejected(context: Any) -> None:
    for number, sent in enumerate(context.sent, start=1):
        if sent.is_rejected:
            waited_s = sent.ended_after_s - sent.after_s
            assert waited_s < _MAX_REJECTION_S, (sent.after_s, waited_s)
            assert str(number) not in context.servers.run_ids, sent.after_s


@then('requests are accepted until second {seconds:g}')
def step_accepted_until(context: Any, seconds: float) -> None:
    early = [s.after_s for s in context.sent if s.after_s < seconds]
    rejected = [
        s.after_s for s in context.sent if s.is_rejected and s.after_s < seconds
    ]
    assert not rejected, (rejected, early)


@given('a response of which a caller reads {share:d} of a hundred in each '
       'second')
def step_response_share(context: Any, share: int) -> None:
    context.read_share_per_s = share / 100


@when('the host checks every {interval:g} s whether it may exit')
def step_check_exit(context: Any, interval: float) -> None:
    unsent_responses = graceful_shutdown.UnsentResponses()
    for i in itertools.count():
        context.exit_s = i * interval
        unsent_share = 1 - context.read_share_per_s * context.exit_s
        unsent_bytes_by_id = {}
        if unsent_share > _FLOAT_TOLERANCE:
            unsent_bytes_by_id[1] = math.ceil(_RESPONSE_BYTES * unsent_share)
        in_progress = unsent_responses.update(context.exit_s,
                                              unsent_bytes_by_id)
        if graceful_shutdown.may_exit(context.plan, context.exit_s,
                                      in_progress):
            return


@then('it exits {seconds:g} s after it has begun to stop')
def step_exits_after(context: Any, seconds: float) -> None:
    assert math.isclose(context.exit_s, seconds), context.exit_s


@given('a site with one entry host and a timeout of {seconds:g} s')
def step_one_entry(context: Any, seconds: float) -> None:
    context.site = scenario.run(
        context,
        context.stack.enter_async_context(
            platform_site.PlatformSite(entries=1, servers=1)))
    config = copy.deepcopy(platform_site.CONFIG)
    config['version'] = 2
    for route in config['routes']:
        route['timeout_ms'] = seconds * 1000
    scenario.run(context, context.site.put_config(config))
    scenario.run(context, scenario.eventually(lambda: _is_applied(context)))


async def _is_applied(context: Any) -> bool:
    _, page = await context.site.metrics(1)
    return b'pollenthread_config_version 2' in page


@when('it gets SIGTERM and callers ask {delay:g} s later for {sizes} bytes, '
      'which they read in {seconds:d} s')
def step_slow_read(context: Any, delay: float, sizes: str,
                   seconds: int) -> None:
    context.response_sizes = [int(size) for size in sizes.split(', ')]
    context.site.child_by_entry['entry-1'].send_signal(signal.SIGTERM)

    async def read_all() -> list[int]:
        await asyncio.sleep(delay)
        return await asyncio.gather(*(_read_slowly(context.site, size, seconds)
                                      for size in context.response_sizes))

    context.received_sizes = scenario.run(context, read_all())


async def _receive(sock: socket.socket) -> bytes:
    """Receives data; none if the connection was closed or reset."""
    try:
        return await asyncio.get_running_loop().sock_recv(sock, _READ_BYTES)
    except OSError:
        return b''


async def _read_slowly(site: platform_site.PlatformSite, size: int,
                       seconds: int) -> int:
    """Reads a response at a steady rate; returns the size of its body."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    data = b''
    body_begin = -1
    with raw_client.connect(site.callers(1),
                            receive_buffer_bytes=_SMALL_WINDOW_BYTES) as sock:
        await loop.sock_sendall(sock, site.raw_head(f'/pay/bytes/{size}'))
        while part := await _receive(sock):
            data += part
            if body_begin < 0 and _HEAD_END in data:
                body_begin = data.index(_HEAD_END) + len(_HEAD_END)
            if 0 <= body_begin <= len(data) - size:
                break
            next_read_at = started_at + seconds * len(data) / size
            await asyncio.sleep(next_read_at - loop.time())
    assert body_begin >= 0, (data, site.logs(1)[-5:])
    return len(data) - body_begin


@then('the callers have received the whole responses')
def step_whole_responses(context: Any) -> None:
    assert context.received_sizes == context.response_sizes, (
        context.received_sizes)
