"""Monitors the model server on an agent's host.

The agent polls the server, reports its load to the entry hosts and its rank's
state to the coordinator of its group, and passes orders to the server.
"""

import asyncio
import dataclasses
import random

from pollenthread.app import (choice_reporter, group_view, host_registry,
                              load_reporter, map_relay, order_receiver)
from pollenthread.core import (host_record, log_events, peer_messages,
                               report_throttle)
from pollenthread.core.routing import (evacuations as evacuations_module,
                                       pass_meter)
from pollenthread.ports import clock, event_log, peers, rank_server

__all__ = ['RankAgent']

_POLL_S = 0.14
_IDLE_POLL_S = 0.3
_SWITCHING_POLL_S = 0.05
_UNGROUPED_POLL_S = 1.0
_SAME_STATE_INTERVAL_S = 0.25
_STALL_BROADCAST_S = 0.25
_BROADCAST_INTERVAL_S = 1.0
_MS_PER_S = 1000
_US_PER_S = 1_000_000
_PASSES_LOG_INTERVAL_S = 1.0
_MIN_SLOW_PERCENT = 115


@dataclasses.dataclass(slots=True)
class _PassStats:
    """Statistics of passes for the next log line.

    Attributes:
        began_at: the start of the window, in monotonic seconds.
        passes: number of passes that began.
        seconds: their total duration.
        longest_s: the longest pass, in seconds. Passes between two polls are
            taken to be equally long.
    """

    began_at: float
    passes: int = 0
    seconds: float = 0.0
    longest_s: float = 0.0

    def add(self, passes: int, pass_s: float) -> None:
        """Adds passes that each lasted `pass_s` seconds."""
        self.passes += passes
        self.seconds += passes * pass_s
        self.longest_s = max(self.longest_s, pass_s)


class RankAgent:
    """Monitors one model server and reports to other hosts.

    Attributes:
        slots: requests that the server works on at once.
        experts_per_set: experts in a set; 0 until it is known.
    """

    def __init__(self, *, own: host_record.HostRecord, slots: int,
                 server: rank_server.RankServer,
                 hosts: host_registry.HostRegistry,
                 registry: group_view.GroupRegistry,
                 evacuations: evacuations_module.Evacuations,
                 network: peers.PeerNetwork, link_bytes_per_s: float,
                 time: clock.Clock, log: event_log.EventLog,
                 rng: random.Random) -> None:
        """Initializes an agent that has not polled the server.

        Args:
            own: the record of this agent's host.
            slots: requests that the server works on at once.
            server: the client of the model server on this host.
            hosts: the hosts of the deployment.
            registry: the known state of all groups.
            evacuations: the data centres that operators have emptied.
            network: sends messages to other hosts and serves their queries.
            link_bytes_per_s: the bandwidth of this host's link.
            time: the clock.
            log: the structured log.
            rng: the source of randomness for reports of expert choices.
        """
        self._own = own
        self.slots = slots
        self._server = server
        self._hosts = hosts
        self._registry = registry
        self._network = network
        self._clock = time
        self._pass_meter = pass_meter.PassMeter(now=time.monotonic())
        self._pass_stats = _PassStats(began_at=time.monotonic())
        self._log = log
        self.experts_per_set = 0
        self._load_reporter = load_reporter.LoadReporter(
            own=own,
            hosts=hosts,
            evacuations=evacuations,
            network=network,
            time=time)
        self._state_throttle = report_throttle.ReportThrottle()
        self._broadcast_throttle = report_throttle.ReportThrottle()
        self._choice_reporter = choice_reporter.ChoiceReporter(
            host=own.host,
            server=server,
            hosts=hosts,
            registry=registry,
            network=network,
            link_bytes_per_s=link_bytes_per_s,
            time=time,
            rng=rng)
        self._order_receiver = order_receiver.OrderReceiver(
            host=own.host,
            server=server,
            handle_status=self._record_status,
            hosts=hosts,
            registry=registry,
            network=network,
            relay=map_relay.MapRelay(network=network,
                                     link_bytes_per_s=link_bytes_per_s,
                                     time=time),
            time=time,
            log=log)
        network.set_rank_layout_provider(self._serve_layout)
        network.set_rank_state_provider(self._serve_state)

    async def run(self) -> None:
        """Polls the server and carries out orders until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._order_receiver.run())
            tasks.create_task(self._poll_server())

    async def _poll_server(self) -> None:
        while True:
            await self._clock.sleep(await self._poll_once())

    async def _poll_once(self) -> float:
        try:
            status = await self._server.fetch_status()
        except rank_server.RankServerUnavailableError:
            return _POLL_S
        state = self._record_status(status)
        self._report_load(status)
        if not status.is_group_member:
            return _UNGROUPED_POLL_S if not status.running else _POLL_S
        self._report_state(state)
        await self._choice_reporter.report_if_due(state, self.experts_per_set)
        if state.is_busy or state.armed_version or state.held_step:
            return _SWITCHING_POLL_S
        return _POLL_S if status.running else _IDLE_POLL_S

    def _record_status(
            self,
            status: rank_server.RankServerStatus) -> peer_messages.RankState:
        now = self._clock.monotonic()
        state = dataclasses.replace(status.state, host=self._own.host)
        sample = self._pass_meter.record(step=state.step,
                                         epoch=state.epoch,
                                         has_work=status.running > 0,
                                         now=now)
        if sample is not None:
            self._pass_stats.add(sample.passes, sample.pass_s)
        self._registry.update_own_state(state)
        self._log_passes(status, now)
        return state

    def _log_passes(self, status: rank_server.RankServerStatus,
                    now: float) -> None:
        """Logs the passes of the last window.

        All ranks of a group run the same passes, so only rank 0 logs them.
        """
        window_s = now - self._pass_stats.began_at
        if window_s < _PASSES_LOG_INTERVAL_S:
            return
        stats, self._pass_stats = self._pass_stats, _PassStats(began_at=now)
        if status.state.rank == 0 and stats.passes:
            self._log.write(log_events.LogEvent.PASSES,
                            important=False,
                            group=status.state.group,
                            passes=stats.passes,
                            mean_s=round(stats.seconds / stats.passes, 4),
                            longest_s=round(stats.longest_s, 4),
                            running=status.running,
                            waiting=status.waiting,
                            map=status.state.map_version)

    def stalled_s(self) -> float:
        """Returns the seconds since the last pass began; 0 without requests."""
        return self._pass_meter.stalled_s(self._clock.monotonic())

    def _report_load(self, status: rank_server.RankServerStatus) -> None:
        state = status.state
        # Reports are frequent and links thin, so only what matters is in them.
        is_cache_filling = 2 * status.kv_tokens > status.kv_capacity_tokens
        is_slow = state.pace_percent >= _MIN_SLOW_PERCENT
        self._load_reporter.report(
            peer_messages.ServerLoad(
                address=self._own.engine_address,
                running=status.running,
                waiting=status.waiting,
                slots=self.slots,
                stalled_ms=int(self.stalled_s() * _MS_PER_S),
                is_open=state.is_open or not status.is_group_member,
                group=state.group,
                pass_us=int(self._pass_meter.pass_s * _US_PER_S),
                born_ms=state.born_ms,
                kv_tokens=status.kv_tokens if is_cache_filling else 0,
                kv_capacity_tokens=status.kv_capacity_tokens
                if is_cache_filling else 0,
                pace_percent=state.pace_percent if is_slow else 0))

    def _report_state(self, state: peer_messages.RankState) -> None:
        """Reports the state to the group's coordinator.

        While none is known, those who may become one get it. If the group is
        stalled meanwhile, all agents get it now and then, since any agent of
        the group may have to complete the switch that stalls it.
        """
        now = self._clock.monotonic()
        content = dataclasses.replace(state, step=0)
        if not self._state_throttle.is_due(
                content, now, same_s=_SAME_STATE_INTERVAL_S, changed_s=0.0):
            return
        holder = self._registry.view(state.group).holder()
        record = self._hosts.records_by_host.get(holder or '')
        if record is not None:
            self._network.send(record.peer_address, state)
            return
        candidates = self._hosts.duty_candidates(state.group)
        self._network.send_all((record.peer_address
                                for record in candidates
                                if record.host != self._own.host), state)
        if (self.stalled_s() > _STALL_BROADCAST_S and
                self._broadcast_throttle.is_due(
                    None, now, same_s=_BROADCAST_INTERVAL_S, changed_s=0.0)):
            self._network.send_all(
                self._hosts.other_agent_addresses(self._own.host), state)

    # Queries of other hosts.

    async def _serve_state(self) -> peer_messages.RankState | None:
        try:
            return self._record_status(await self._server.fetch_status())
        except rank_server.RankServerUnavailableError:
            return None

    async def _serve_layout(self) -> peer_messages.RankLayout | None:
        try:
            return await self._server.fetch_layout()
        except rank_server.RankServerUnavailableError:
            return None
