"""A model group in lockstep whose ranks are polled and report their load."""

import dataclasses
import random
from collections.abc import Callable

from pollenthread.core import server_load, server_registry
from pollenthread.core.routing import pass_meter

__all__ = ['PolledGroup']

_POLL_S = 0.14


@dataclasses.dataclass
class _Agent:
    server: server_registry.Server
    meter: pass_meter.PassMeter
    polls_at: float
    reports_at: float


class PolledGroup:
    """Emulates the passes of a group and the reports of its agents.

    Attributes:
        now: the time in seconds.
        servers: the ranks.
        pass_s: the true duration of a pass in seconds; infinite while stopped.
        running: requests that each rank runs.
        waiting: requests in the queue of each rank.
        epoch: increases each time the group is formed.
        is_open: whether the group accepts requests.
        reports: whether agents report.
    """

    def __init__(self,
                 *,
                 ranks: int,
                 slots: int,
                 running: int,
                 pass_s: float,
                 report_interval_s: float,
                 record: Callable[[str, server_load.ServerLoadReport, float],
                                  None],
                 name: str = 'g') -> None:
        self.now = 0.0
        self.name = name
        self.pass_s = pass_s
        self.running = running
        self.waiting = 0
        self.epoch = 1
        self.is_open = True
        self.reports = True
        self._step = 1
        self._pass_began_at = 0.0
        self._slots = slots
        self._interval_s = report_interval_s
        self._record = record
        rng = random.Random(1)
        self.servers = [
            server_registry.Server(id=f'{name}-{i}',
                                   service='llm',
                                   address=f'10.0.0.{i}:1',
                                   data_centre='a',
                                   slots=slots,
                                   state=server_registry.ServerState.READY)
            for i in range(ranks)
        ]
        self._agents = [
            _Agent(server,
                   pass_meter.PassMeter(now=0.0), rng.uniform(0, _POLL_S),
                   rng.uniform(0, report_interval_s)) for server in self.servers
        ]

    def run_until(self, until: float) -> None:
        """Runs passes, polls and reports up to a time."""
        while (at := min(agent.polls_at for agent in self._agents)) <= until:
            self._advance(at)
            for agent in self._agents:
                if agent.polls_at <= at:
                    self._poll(agent)
        self._advance(until)

    def _advance(self, to: float) -> None:
        while self._pass_began_at + self.pass_s <= to:
            self._pass_began_at += self.pass_s
            self._step += 1
        self.now = to

    def resume(self, pass_s: float) -> None:
        """Lets a stopped group run passes again from now on."""
        self.pass_s = pass_s
        self._pass_began_at = self.now

    def _poll(self, agent: _Agent) -> None:
        agent.polls_at += _POLL_S
        agent.meter.record(step=self._step,
                           epoch=self.epoch,
                           has_work=self.running > 0,
                           now=self.now)
        if not self.reports or self.now < agent.reports_at:
            return
        agent.reports_at = self.now + self._interval_s
        self._record(
            agent.server.id,
            server_load.ServerLoadReport(running=self.running,
                                         waiting=self.waiting,
                                         slots=self._slots,
                                         stalled_s=agent.meter.stalled_s(
                                             self.now),
                                         accepts_requests=self.is_open,
                                         group=self.name,
                                         pass_s=agent.meter.pass_s), self.now)
