"""Emulates servers that read prompts within the passes of other requests."""

import dataclasses
import math
import random

from pollenthread.core import (routing_config, server_load, server_registry,
                               service_estimate)
from pollenthread.core.routing import work_estimate
from tests.fakes import forwarding

__all__ = ['ReadingServers', 'Stream']

_STEP_S = 0.005
_REPORT_S = 0.25
_MEAN_PASSES = 25.0
_HINT_FACTOR = 3.0


@dataclasses.dataclass(eq=False)
class Stream:
    """A request and the timing of its events.

    Attributes:
        is_long: whether its prompt is long.
        arrived_at: when it arrived, in seconds.
        first_s: seconds to its first event; infinite before it.
        longest_gap_s: the longest time between its events, in seconds.
    """

    is_long: bool
    arrived_at: float
    host: server_load.ServerLoadTracker
    work: work_estimate.WorkEstimate
    passes_left: int
    is_read: bool = False
    first_s: float = math.inf
    longest_gap_s: float = 0.0


@dataclasses.dataclass
class _Server:
    listed: server_registry.Server
    running: list[Stream] = dataclasses.field(default_factory=list)
    queue: list[Stream] = dataclasses.field(default_factory=list)


@dataclasses.dataclass
class _Group:
    """Servers that run their passes together."""

    name: str
    servers: list[_Server]
    began_at: float = 0.0
    ends_at: float = 0.0


class ReadingServers:
    """Servers in groups, and hosts that select between them.

    Attributes:
        streams: all streams that were sent.
    """

    def __init__(self, *, engine: routing_config.EngineProfile, groups: int,
                 ranks: int, hosts: int) -> None:
        self.streams: list[Stream] = []
        self._engine = engine
        self._rng = random.Random(3)
        self._estimator = work_estimate.WorkEstimator()
        self._hosts = [
            server_load.ServerLoadTracker(rng=random.Random(i))
            for i in range(hosts)
        ]
        self._groups = [
            _Group(f'g{g}', [
                _Server(forwarding.make_server(f'g{g}-{r}', slots=engine.slots))
                for r in range(ranks)
            ])
            for g in range(groups)
        ]

    def run(self, seconds: float, *, rate: float, long_share: float,
            long_tokens: int, short_tokens: int) -> None:
        """Serves arrivals for a time."""
        now = reports_at = 0.0
        while now < seconds:
            for group in self._groups:
                if now >= group.ends_at:
                    self._end_pass(group, now)
                    self._begin_pass(group, now)
            if now >= reports_at:
                reports_at += _REPORT_S
                self._report(now)
            if self._rng.random() < rate * _STEP_S:
                is_long = self._rng.random() < long_share
                self._send(is_long, long_tokens if is_long else short_tokens,
                           now)
            now += _STEP_S

    def _end_pass(self, group: _Group, now: float) -> None:
        for server in group.servers:
            for stream in list(server.running):
                if stream.is_read:
                    stream.longest_gap_s = max(stream.longest_gap_s,
                                               now - group.began_at)
                else:
                    stream.is_read = True
                    stream.first_s = now - stream.arrived_at
                    stream.host.record_prompt_read(server.listed.id,
                                                   stream.work.prompt_s)
                stream.passes_left -= 1
                if not stream.passes_left:
                    server.running.remove(stream)
                    stream.host.record_end(server.listed.id)

    def _begin_pass(self, group: _Group, now: float) -> None:
        reading_s = 0.0
        for server in group.servers:
            while server.queue and len(server.running) < server.listed.slots:
                server.running.append(server.queue.pop(0))
            reading_s = max(
                reading_s,
                sum(s.work.prompt_s for s in server.running if not s.is_read))
        group.began_at = now
        group.ends_at = now + reading_s + (self._engine.base_step_s *
                                           self._engine.steps_per_pass)

    def _report(self, now: float) -> None:
        for group in self._groups:
            for server in group.servers:
                report = server_load.ServerLoadReport(
                    running=len(server.running),
                    waiting=len(server.queue),
                    slots=server.listed.slots,
                    group=group.name,
                    pass_s=group.ends_at - group.began_at)
                for host in self._hosts:
                    host.record_report(server.listed.id, report, now)

    def _send(self, is_long: bool, tokens: int, now: float) -> None:
        """Sends a stream whose caller's hint is wrong by a factor."""
        passes = max(1, round(self._rng.expovariate(1 / _MEAN_PASSES)))
        hint = passes * self._engine.steps_per_pass * math.exp(
            self._rng.gauss(0, math.log(_HINT_FACTOR)))
        request = dataclasses.replace(forwarding.make_request(received_at=now,
                                                              timeout_s=8.0),
                                      prompt_tokens=tokens,
                                      max_output_tokens=0,
                                      output_tokens_hint=max(1, round(hint)))
        work = self._estimator.estimate(request, 'r', self._engine)
        self._estimator.record(request, 'r', self._engine,
                               passes * self._engine.steps_per_pass)
        host = self._rng.choice(self._hosts)
        server_by_id = {
            server.listed.id: server for group in self._groups
            for server in group.servers
        }
        listed = host.select(
            [server.listed for server in server_by_id.values()],
            excluded=(),
            data_centre='a',
            requirements=service_estimate.RequestRequirements(
                time_left_s=8.0,
                max_gap_s=0.12,
                passes=work.passes,
                others_passes=_MEAN_PASSES,
                prompt_s=work.prompt_s,
                kv_tokens=work.kv_tokens),
            hosts=len(self._hosts),
            now=now)
        if listed is None:
            return
        stream = Stream(is_long, now, host, work, passes)
        host.record_start(listed.id, now, work)
        server_by_id[listed.id].queue.append(stream)
        self.streams.append(stream)
