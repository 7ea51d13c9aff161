"""Simulates entry hosts before servers that crash, in virtual time."""

import asyncio
import dataclasses
import random

from pollenthread.app import forwarder
from pollenthread.core import (caller_request, errors, routing_config,
                               server_load)
from tests.fakes import (crashing_servers, entry_fleet, forwarding,
                         virtual_time)

__all__ = ['DEADLY_PARENT', 'DeadlySpan', 'PoisonSimulation', 'SentRequest']

_REPORT_INTERVAL_S = 0.25
_SETTLING_S = 3.0
_DRAINING_S = 10.0
_SHARED_PARTS = 20
_CALLER_TIMEOUT_S = 8.0
_PLAIN_TIMEOUT_S = 1.5
_CALLER_RETRY_S = 0.2
_MS_PER_S = 1000
DEADLY_PARENT = 'f0'


@dataclasses.dataclass(frozen=True)
class DeadlySpan:
    """A time in which deadly requests come.

    Attributes:
        part: what is deadly: a part of their prompts, or the body if all of
            them are the same request.
        start_s: the second of the first one.
        end_s: the second after the last one.
        interval_s: seconds between two of them.
        is_one_request: whether all of them are the same request.
    """

    part: str
    start_s: float
    end_s: float
    interval_s: float = 1.0
    is_one_request: bool = False


@dataclasses.dataclass
class SentRequest:
    """A request of a caller.

    Attributes:
        at: the second in which it came.
        parts: the ids of its prompt parts.
        response: what its caller received.
    """

    at: float
    parts: tuple[str, ...]
    response: forwarding.RecordingResponse


class PoisonSimulation:
    """Entry hosts that serve one service of crashing servers.

    Attributes:
        servers: the servers.
        spans: when requests with a deadly part come.
        crash_at: seconds at which a server crashes for another reason.
        rolling_restart_at: second at which the entry hosts begin to restart,
            one after the other; None for never.
        restart_at: second at which all entry hosts restart; None for never.
        outage_at: second at which the entries of all servers expire because
            the store is away; None for never.
        parent_from: second before which no sound request has the first part of
            the deadly ones.
        crashes_while_reading: whether servers crash before they respond.
        kind: the kind of the requests.
        caller_retries: how often a caller repeats a request that failed.
        single_requests: seconds and names of further requests; those of one
            name are the same request.
        unlucky_crashes: how many servers crash under such a request before one
            answers it, by name.
        sent: all requests.
        started_at: the time at which second 0 began.
    """

    servers: crashing_servers.CrashingServers

    def __init__(self, hosts: int, groups: int, size: int) -> None:
        self._hosts = hosts
        self._groups = groups
        self._size = size
        self.spans: list[DeadlySpan] = []
        self.crash_at: list[float] = []
        self.rolling_restart_at: float | None = None
        self.restart_at: float | None = None
        self.outage_at: float | None = None
        self.parent_from = 0.0
        self.crashes_while_reading = False
        self.kind = routing_config.RequestKind.STREAM
        self.caller_retries = 0
        self.single_requests: list[tuple[float, str]] = []
        self.unlucky_crashes: dict[str, int] = {}
        self.sent: list[SentRequest] = []
        self.started_at = 0.0
        self._rng = random.Random(5)
        self._forwarder_by_host: dict[str, forwarder.Forwarder] = {}
        self._tasks: list[asyncio.Task[None]] = []
        self._fleet: entry_fleet.EntryFleet

    async def run(self, per_s: float, seconds: float) -> None:
        """Sends requests for some seconds and waits for their responses."""
        self.servers = crashing_servers.CrashingServers(
            groups=self._groups, servers_per_group=self._size)
        self.servers.has_whole_responses = (
            self.kind is not routing_config.RequestKind.STREAM)
        self.servers.crashes_left_by_body.update(self.unlucky_crashes)
        for span in self.spans:
            deadly = (self.servers.deadly_bodies
                      if span.is_one_request else self.servers.deadly_parts)
            deadly.add(span.part)
        self.servers.crashes_while_reading = self.crashes_while_reading
        self.servers.crashed_callbacks.append(lambda name: self._tasks.append(
            asyncio.create_task(self._list_again(name))))
        self._fleet = entry_fleet.EntryFleet(
            data_centres=3, hosts_per_data_centre=self._hosts // 3, seed=3)
        self._fleet.start()
        for name in self.servers.group_by_server:
            await self._fleet.store.put(entry_fleet.SERVERS_TABLE, name,
                                        b'ready')
        await asyncio.sleep(_SETTLING_S)
        for name in self._fleet.host_by_name:
            self._start_forwarder(name)
        reports = asyncio.create_task(self._report())
        self.started_at = _now()
        tasks = [asyncio.create_task(self._send_sound(per_s, seconds))]
        tasks += [
            asyncio.create_task(self._send_deadly(span)) for span in self.spans
        ]
        tasks += [asyncio.create_task(self._crash(at)) for at in self.crash_at]
        tasks += [
            asyncio.create_task(self._send_single(at, name))
            for at, name in self.single_requests
        ]
        if self.rolling_restart_at is not None:
            tasks.append(
                asyncio.create_task(
                    self._restart_in_turn(self.rolling_restart_at)))
        if self.restart_at is not None:
            tasks.append(asyncio.create_task(self._restart_all(
                self.restart_at)))
        if self.outage_at is not None:
            tasks.append(asyncio.create_task(self._expire_all(self.outage_at)))
        await asyncio.gather(*tasks)
        await asyncio.sleep(_DRAINING_S)
        reports.cancel()
        # A request whose host fails is neither answered nor refused.
        await asyncio.gather(*self._tasks)
        for name in list(self._fleet.host_by_name):
            await self._fleet.stop_host(name)

    def _start_forwarder(self, name: str) -> None:
        host = self._fleet.host_by_name[name]
        host.state.config = self._config()
        self._forwarder_by_host[name] = forwarding.make_forwarder(
            state=host.state,
            upstream_client=self.servers.client(name),
            time=virtual_time.LoopClock(),
            permits=host.permits)

    def _config(self) -> routing_config.RoutingConfig:
        if self.kind is routing_config.RequestKind.STREAM:
            return forwarding.CONFIG
        route = dataclasses.replace(forwarding.ROUTE,
                                    kind=self.kind,
                                    is_resumable=False,
                                    timeout_s=_PLAIN_TIMEOUT_S)
        return dataclasses.replace(
            forwarding.CONFIG,
            routes_by_host={route.host: (route,)},
            services_by_name={
                'llm': routing_config.Service('llm', '/', 258, None)
            })

    async def _list_again(self, server: str) -> None:
        """Lists a crashed server with its new start when it is back."""
        await asyncio.sleep(crashing_servers.DOWN_S)
        born_ms = round(_now() * _MS_PER_S)
        await self._fleet.store.put(entry_fleet.SERVERS_TABLE, server,
                                    b'ready@%d' % born_ms)

    async def _report(self) -> None:
        """Reports the load of all servers to all hosts."""
        while True:
            for host in self._fleet.host_by_name.values():
                for name, group in self.servers.group_by_server.items():
                    if not self.servers.is_down(name):
                        host.state.server_loads.record_report(
                            name,
                            server_load.ServerLoadReport(
                                running=1,
                                waiting=0,
                                slots=6,
                                accepts_requests=self.servers.is_group_open(
                                    name),
                                group=str(group),
                                pass_s=0.05), _now())
            await asyncio.sleep(_REPORT_INTERVAL_S)

    async def _send_sound(self, per_s: float, seconds: float) -> None:
        for number in range(int(per_s * seconds)):
            await asyncio.sleep(1 / per_s)
            first = 0 if _now() - self.started_at > self.parent_from else 1
            self.send(f'f{self._rng.randrange(first, _SHARED_PARTS)}',
                      f'own-{number}')

    async def _send_deadly(self, span: DeadlySpan) -> None:
        await asyncio.sleep(span.start_s)
        for number in range(int((span.end_s - span.start_s) / span.interval_s)):
            if span.is_one_request:
                self.send(DEADLY_PARENT, span.part, body=span.part)
            else:
                self.send(DEADLY_PARENT, span.part, f'{span.part}-{number}')
            await asyncio.sleep(span.interval_s)

    async def _send_single(self, at: float, name: str) -> None:
        await asyncio.sleep(at)
        self.send(name, body=name)

    def send(self, *parts: str, body: str = '') -> SentRequest:
        """Sends a request through a random host.

        Args:
            *parts: the parts of its prompt; those of plain services have none.
            body: what it has in common with other requests that are the same;
                by default, no other one is.
        """
        sent = SentRequest(_now() - self.started_at, parts,
                           forwarding.RecordingResponse())
        self.sent.append(sent)
        self._tasks.append(
            asyncio.create_task(
                self._serve(sent, (body or ','.join(parts)).encode())))
        return sent

    async def _serve(self, sent: SentRequest, body: bytes) -> None:
        """Serves a request, and the repetitions of its caller."""
        for attempt in range(1 + self.caller_retries):
            if attempt:
                await asyncio.sleep(_CALLER_RETRY_S)
                sent.response = forwarding.RecordingResponse()
            if self._forwarder_by_host:
                await self._serve_once(sent, body)
            if sent.response.is_complete or not self._is_repeated(sent):
                return

    def _is_repeated(self, sent: SentRequest) -> bool:
        """Whether a caller repeats a request that failed."""
        failure = sent.response.failure
        return (self.kind is not routing_config.RequestKind.NON_IDEMPOTENT or
                (failure is not None and
                 failure.executed is errors.Executed.NO))

    async def _serve_once(self, sent: SentRequest, body: bytes) -> None:
        is_stream = self.kind is routing_config.RequestKind.STREAM
        timeout_s = _CALLER_TIMEOUT_S if is_stream else _PLAIN_TIMEOUT_S
        request = dataclasses.replace(
            forwarding.make_request(received_at=_now(), timeout_s=timeout_s),
            body=body,
            prompt_parts=tuple(
                caller_request.PromptPart(part, 100)
                for part in (sent.parts if is_stream else ())))
        name = self._rng.choice(list(self._forwarder_by_host))
        await self._forwarder_by_host[name].serve(request, sent.response)

    async def _crash(self, at: float) -> None:
        await asyncio.sleep(at)
        up = [
            name for name in self.servers.group_by_server
            if not self.servers.is_down(name)
        ]
        self.servers.crash(self._rng.choice(up))

    async def _expire_all(self, at: float) -> None:
        await asyncio.sleep(at)
        for host in self._fleet.host_by_name.values():
            host.state.server_registry.begin_outage()
            for name in self.servers.group_by_server:
                host.state.server_registry.remove(name, _now())

    async def _restart_all(self, at: float) -> None:
        await asyncio.sleep(at)
        records = [host.record for host in self._fleet.host_by_name.values()]
        self._forwarder_by_host.clear()
        for record in records:
            await self._fleet.stop_host(record.host)
        for record in records:
            self._fleet.start_host(record)
        await asyncio.sleep(_SETTLING_S)
        for record in records:
            self._start_forwarder(record.host)

    async def _restart_in_turn(self, at: float) -> None:
        await asyncio.sleep(at)
        for name in list(self._fleet.host_by_name):
            record = self._fleet.host_by_name[name].record
            del self._forwarder_by_host[name]
            await self._fleet.stop_host(name)
            await asyncio.sleep(0.3)
            self._fleet.start_host(record)
            await asyncio.sleep(0.7)
            self._start_forwarder(name)

    # Results.

    def crash_times_of(self, part: str) -> list[float]:
        """Returns the times of the crashes that a part caused."""
        return [
            at for at, cause in zip(self.servers.crash_times,
                                    self.servers.crash_parts) if cause == part
        ]

    def is_deadly(self, sent: SentRequest) -> bool:
        """Returns whether a request crashes servers."""
        return not (self.servers.deadly_parts |
                    self.servers.deadly_bodies).isdisjoint(sent.parts)

    def late_arrivals(self, part: str, crashes: int, seconds: float) -> int:
        """Counts requests with a part at servers some time after a crash."""
        times = self.crash_times_of(part)
        if len(times) < crashes:
            return 0
        return sum(arrival.at > times[crashes - 1] + seconds
                   for arrival in self.servers.arrivals
                   if arrival.request.body == part.encode() or any(
                       p.id == part for p in arrival.request.prompt_parts))


def _now() -> float:
    return asyncio.get_running_loop().time()
