"""Steps for requests that crash servers, in virtual time."""

import asyncio
import dataclasses
import random
from typing import Any

from behave import given, then, when

from pollenthread.app import forwarder
from pollenthread.core import caller_request, crash_evidence, server_load
from tests.fakes import (crashing_servers, entry_fleet, forwarding,
                         virtual_time)

_REPORT_INTERVAL_S = 0.25
_SETTLING_S = 3.0
_DRAINING_S = 10.0
_SHARED_PARTS = 20
_CALLER_TIMEOUT_S = 8.0
_DEADLY_PARENT = 'f0'


@dataclasses.dataclass(frozen=True)
class _DeadlySpan:
    """Seconds between which a request each `interval_s` has a deadly part."""

    part: str
    start_s: float
    end_s: float
    interval_s: float = 1.0


@dataclasses.dataclass
class _Sent:
    """A request of a caller.

    Attributes:
        at: the second in which it came.
        parts: the ids of its prompt parts.
        response: what its caller received.
    """

    at: float
    parts: tuple[str, ...]
    response: forwarding.RecordingResponse


class _Simulation:
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
        sent: all requests.
        started_at: the time at which second 0 began.
    """

    servers: crashing_servers.CrashingServers

    def __init__(self, hosts: int, groups: int, size: int) -> None:
        self._hosts = hosts
        self._groups = groups
        self._size = size
        self.spans: list[_DeadlySpan] = []
        self.crash_at: list[float] = []
        self.rolling_restart_at: float | None = None
        self.restart_at: float | None = None
        self.outage_at: float | None = None
        self.parent_from = 0.0
        self.crashes_while_reading = False
        self.sent: list[_Sent] = []
        self.started_at = 0.0
        self._rng = random.Random(5)
        self._forwarder_by_host: dict[str, forwarder.Forwarder] = {}
        self._tasks: list[asyncio.Task[None]] = []
        self._fleet: entry_fleet.EntryFleet

    async def run(self, per_s: float, seconds: float) -> None:
        """Sends requests for some seconds and waits for their responses."""
        self.servers = crashing_servers.CrashingServers(
            groups=self._groups, servers_per_group=self._size)
        self.servers.deadly_parts.update(span.part for span in self.spans)
        self.servers.crashes_while_reading = self.crashes_while_reading
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
        host.state.config = forwarding.CONFIG
        self._forwarder_by_host[name] = forwarding.make_forwarder(
            state=host.state,
            upstream_client=self.servers.client(name),
            time=virtual_time.LoopClock(),
            permits=host.permits)

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
            self._send(f'f{self._rng.randrange(first, _SHARED_PARTS)}',
                       f'own-{number}')

    async def _send_deadly(self, span: _DeadlySpan) -> None:
        await asyncio.sleep(span.start_s)
        for number in range(int((span.end_s - span.start_s) / span.interval_s)):
            self._send(_DEADLY_PARENT, span.part, f'{span.part}-{number}')
            await asyncio.sleep(span.interval_s)

    def _send(self, *parts: str) -> None:
        """Sends a request through a random host."""
        response = forwarding.RecordingResponse()
        self.sent.append(_Sent(_now() - self.started_at, parts, response))
        request = dataclasses.replace(
            forwarding.make_request(received_at=_now(),
                                    timeout_s=_CALLER_TIMEOUT_S),
            prompt_parts=tuple(
                caller_request.PromptPart(part, 100) for part in parts))
        if not self._forwarder_by_host:
            return
        name = self._rng.choice(list(self._forwarder_by_host))
        task = asyncio.create_task(self._forwarder_by_host[name].serve(
            request, response))
        self._tasks.append(task)

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

    def late_arrivals(self, part: str, crashes: int, seconds: float) -> int:
        """Counts requests with a part at servers some time after a crash."""
        times = self.crash_times_of(part)
        if len(times) < crashes:
            return 0
        return sum(arrival.at > times[crashes - 1] + seconds
                   for arrival in self.servers.arrivals
                   if any(p.id == part for p in arrival.request.prompt_parts))


def _now() -> float:
    return asyncio.get_running_loop().time()


@given('{hosts:d} entry hosts and {groups:d} groups of {size:d} servers')
def step_fleet(context: Any, hosts: int, groups: int, size: int) -> None:
    context.simulation = _Simulation(hosts, groups, size)


@given('from second {start:g} to {end:g} a request each second has the deadly '
       'part "{part}"')
def step_deadly(context: Any, start: float, end: float, part: str) -> None:
    context.simulation.spans.append(_DeadlySpan(part, start, end))


@given('from second {start:g} on each entry host restarts in turn')
def step_rolling_restart(context: Any, start: float) -> None:
    context.simulation.rolling_restart_at = start


@given('at second {at:g} all entry hosts restart at once')
def step_restart(context: Any, at: float) -> None:
    context.simulation.restart_at = at


@given('servers crash for another reason at second {times}')
def step_other_crashes(context: Any, times: str) -> None:
    context.simulation.crash_at = [
        float(at) for at in times.replace(' and', ',').split(',')
    ]


@given(
    'sound requests have the first part of "{part}" from second {start:g} on '
    'only')
def step_new_parent(context: Any, part: str, start: float) -> None:
    del part
    context.simulation.parent_from = start


@given("all servers' entries expire in an outage of the store at second "
       '{at:g}')
def step_outage(context: Any, at: float) -> None:
    context.simulation.outage_at = at


@given('servers crash before they send the head of a response')
def step_reading(context: Any) -> None:
    context.simulation.crashes_while_reading = True


@when('{per_s:g} requests a second come for {seconds:g} s')
def step_run(context: Any, per_s: float, seconds: float) -> None:
    virtual_time.run(context.simulation.run(per_s, seconds))


@then('at most {most:d} requests with "{part}" reach servers later than '
      '{seconds:g} s after its fifth crash')
def step_late_arrivals(context: Any, most: int, part: str,
                       seconds: float) -> None:
    found = context.simulation.late_arrivals(part, 5, seconds)
    assert found <= most, found


@then('"{part}" crashes at most {most:d} servers')
def step_crashes(context: Any, part: str, most: int) -> None:
    times = context.simulation.crash_times_of(part)
    assert 1 <= len(times) <= most, times


@then('"{part}" crashes no server after second {after:g}')
def step_no_crash_after(context: Any, part: str, after: float) -> None:
    times = [
        at - context.simulation.started_at
        for at in context.simulation.crash_times_of(part)
    ]
    assert times and times[-1] <= after, times


@then('of all requests after second {after:g}, {percent:d} in 100 are answered')
def step_all_answered(context: Any, after: float, percent: int) -> None:
    sent = [s for s in context.simulation.sent if s.at > after]
    answered = sum(s.response.is_complete for s in sent)
    assert sent and answered * 100 >= percent * len(sent), (answered, len(sent))


@then('of the requests that share a part with "{part}" after second {after:g}, '
      '{percent:d} in 100 are answered at the first attempt')
def step_sound(context: Any, part: str, after: float, percent: int) -> None:
    del part
    sound = [
        sent for sent in context.simulation.sent
        if sent.at > after and sent.parts[0] == _DEADLY_PARENT and
        context.simulation.servers.deadly_parts.isdisjoint(sent.parts)
    ]
    answered = sum(sent.response.is_complete for sent in sound)
    assert len(sound) >= 20, len(sound)
    assert answered * 100 >= percent * len(sound), (answered, len(sound))


# Merging of evidence.


@given('evidence of {crashes:d} crashes and {answers:d} answers at {hosts:d} '
       'hosts')
def step_evidence(context: Any, crashes: int, answers: int, hosts: int) -> None:
    rng = random.Random(7)
    parts = [f'p{number}' for number in range(8)]
    context.facts = []
    for number in range(crashes):
        for _ in range(2):
            context.facts.append(
                crash_evidence.Crash(f's{number}', 10.0 * number,
                                     frozenset(rng.sample(parts, 2)),
                                     frozenset(rng.sample(parts, 3))))
    for _ in range(answers):
        context.facts.append((rng.choice(parts[2:]), rng.uniform(-5.0, 60.0)))
    context.hosts = [crash_evidence.CrashEvidence() for _ in range(hosts)]


@when('each host learns all of it in another order, some of it twice')
def step_learn(context: Any) -> None:
    rng = random.Random(8)
    for evidence in context.hosts:
        facts = context.facts + rng.sample(context.facts, 10)
        rng.shuffle(facts)
        for fact in facts:
            if isinstance(fact, crash_evidence.Crash):
                evidence.record_crash(fact)
            else:
                evidence.record_cleared(*fact)


@then('all hosts suspect the same parts with the same weight')
def step_same_suspicions(context: Any) -> None:
    found = [{
        part: suspicion.weight
        for part, suspicion in evidence.suspicion_by_part().items()
    }
             for evidence in context.hosts]
    assert found[0] and all(other == found[0] for other in found), found
