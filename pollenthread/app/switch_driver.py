"""Runs a map switch: sends orders to the ranks until it completes."""

import collections
import dataclasses
import math
from collections.abc import Sequence

from pollenthread.app import group_view, host_registry, order_sender
from pollenthread.core import (host_record, log_events, map_switch,
                               peer_messages)
from pollenthread.core.expert_maps import rank_speed
from pollenthread.ports import clock, event_log, peers, rank_server

__all__ = ['MapStats', 'SwitchDriver']

_PREPARE_TIMEOUT_S = 4.0
# The time to hold a pass and to arm all ranks for it, on slow links.
_ARMING_S = 0.1
_MAX_LEAD_PASSES = 4


@dataclasses.dataclass
class MapStats:
    """Statistics of rebalancing one group.

    Attributes:
        switches: completed map switches.
        abandoned: switches that were abandoned.
        copies: experts copied to ranks.
        orders: orders sent to ranks, by kind.
        skew: estimated load of the busiest rank relative to the mean, averaged
            over the expert sets.
        skew_seen: the same ratio, measured over the last window.
        slow_ranks: the slow ranks, the slowest first.
    """

    switches: int = 0
    abandoned: int = 0
    copies: int = 0
    orders: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter)
    skew: float = 0.0
    skew_seen: float = 0.0
    slow_ranks: Sequence[rank_speed.RankSlowdown] = ()


class _PhaseTimes:
    """Seconds that a switch has spent in each phase."""

    def __init__(self, now: float) -> None:
        self.began_at = now
        self._entered_at = now
        self._phase = map_switch.MapSwitchPhase.PREPARING
        self._seconds_by_phase: dict[map_switch.MapSwitchPhase, float] = {}

    def enter(self, phase: map_switch.MapSwitchPhase, now: float) -> None:
        """Records that the switch is in `phase` at time `now`."""
        if phase is self._phase:
            return
        spent_s = self._seconds_by_phase.get(self._phase, 0.0)
        self._seconds_by_phase[self._phase] = spent_s + now - self._entered_at
        self._phase = phase
        self._entered_at = now

    def fields(self) -> dict[str, float]:
        """Returns the log fields: seconds spent in each finished phase."""
        return {
            f'{phase.value}_s': round(seconds, 3)
            for phase, seconds in self._seconds_by_phase.items()
        }


class SwitchDriver:
    """Runs map switches of one group."""

    def __init__(self, *, host: str, hosts: host_registry.HostRegistry,
                 view: group_view.GroupView, network: peers.PeerNetwork,
                 make_server: order_sender.RankServerFactory,
                 link_bytes_per_s: float, time: clock.Clock,
                 log: event_log.EventLog) -> None:
        """Initializes a driver without a switch.

        Args:
            host: this agent's host.
            hosts: the hosts of the deployment.
            view: the known state of the group.
            network: sends messages to other agents.
            make_server: creates a client for the model server at an address.
            link_bytes_per_s: the bandwidth of an agent's link.
            time: the clock.
            log: the structured log.
        """
        self._host = host
        self._hosts = hosts
        self._view = view
        self._network = network
        self._make_server = make_server
        self._link_bytes_per_s = link_bytes_per_s
        self._clock = time
        self._log = log
        self.stats = MapStats()

    def _make_sender(self) -> order_sender.OrderSender:
        return order_sender.OrderSender(host=self._host,
                                        hosts=self._hosts,
                                        view=self._view,
                                        network=self._network,
                                        make_server=self._make_server,
                                        counts=self.stats.orders,
                                        link_bytes_per_s=self._link_bytes_per_s,
                                        time=self._clock,
                                        log=self._log)

    async def run(self, switch: map_switch.MapSwitch) -> map_switch.MapSwitch:
        """Sends orders until the switch is done or abandoned.

        Args:
            switch: the switch, in any phase.

        Returns:
            The switch in phase DONE or ABANDONED.
        """
        times = _PhaseTimes(self._clock.monotonic())
        orders_before = self.stats.orders.total()
        async with self._make_sender() as sender:
            while True:
                switch = dataclasses.replace(switch,
                                             lead_passes=_lead_passes(
                                                 self._view.pass_s,
                                                 self._view.next_pass_s))
                switch, orders = map_switch.advance_switch(
                    switch, self._view.states())
                now = self._clock.monotonic()
                times.enter(switch.phase, now)
                if switch.phase is map_switch.MapSwitchPhase.DONE:
                    order_count = self.stats.orders.total() - orders_before
                    self._record_done(switch, now, times, order_count)
                    return switch
                if (switch.phase is map_switch.MapSwitchPhase.ABANDONED or
                    (switch.phase is map_switch.MapSwitchPhase.PREPARING and
                     now - times.began_at > _PREPARE_TIMEOUT_S)):
                    self._record_abandoned(switch, orders, now - times.began_at)
                    return dataclasses.replace(
                        switch, phase=map_switch.MapSwitchPhase.ABANDONED)
                sender.send_due(orders)
                await sender.wait()

    async def query_rank(self, rank: int) -> peer_messages.RankState | None:
        """Queries a rank's server for its state directly, without its agent.

        Returns:
            The state, or None when the server does not respond.
        """
        record = self._host_record(rank)
        if record is None:
            return None
        try:
            status = await self._make_server(record.engine_address
                                            ).fetch_status()
        except rank_server.RankServerUnavailableError:
            return None
        state = dataclasses.replace(status.state, host=record.host)
        self._view.take(state)
        return state

    def agent_address(self, rank: int) -> str:
        """Returns the peer address of a rank's agent; empty when unknown."""
        record = self._host_record(rank)
        return record.peer_address if record else ''

    def _host_record(self, rank: int) -> host_record.HostRecord | None:
        state = self._view.states().get(rank)
        return self._hosts.records_by_host.get(state.host) if state else None

    def _record_done(self, switch: map_switch.MapSwitch, now: float,
                     times: _PhaseTimes, orders: int) -> None:
        self.stats.switches += 1
        self._log.write(log_events.LogEvent.MAP_SWITCHED,
                        important=False,
                        group=self._view.name,
                        version=switch.version,
                        step=switch.step,
                        took_s=round(now - times.began_at, 3),
                        orders=orders,
                        **times.fields())

    def _record_abandoned(self, switch: map_switch.MapSwitch,
                          orders: map_switch.RankOrders, took_s: float) -> None:
        self.stats.abandoned += 1
        self._log.write(log_events.LogEvent.ORDER_FAILED,
                        group=self._view.name,
                        version=switch.version,
                        abandoned_in=switch.phase.value,
                        open_ranks=sorted(orders),
                        took_s=round(took_s, 3))


def _lead_passes(pass_s: float, next_pass_s: float) -> int:
    """Returns how many passes ahead of the last known one the ranks switch.

    All ranks should be armed before that pass is due. If passes are long, the
    next one is delayed a little rather than the map by a whole pass.

    Args:
        pass_s: the duration of a pass in seconds; 0 while unknown.
        next_pass_s: the seconds until the next pass is due.
    """
    if not pass_s:
        return _MAX_LEAD_PASSES
    if pass_s >= 2 * _ARMING_S:
        return 1
    missing_s = max(0.0, _ARMING_S - next_pass_s)
    return min(_MAX_LEAD_PASSES, 1 + math.ceil(missing_s / pass_s))
