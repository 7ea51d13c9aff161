"""Gives ranks the orders of a switch until it is done."""

import collections
import dataclasses

from pollenthread.app import group_view, order_sender, roster
from pollenthread.core import (host_record, log_events, map_switch,
                               peer_messages)
from pollenthread.ports import clock, event_log, peers, rank_server

__all__ = ['MapAccount', 'SwitchDriver']

_MAX_PREPARE_S = 4.0


@dataclasses.dataclass
class MapAccount:
    """What keeping ranks even has cost and brought.

    Attributes:
        switches: maps that came into use.
        abandoned: switches that did not.
        copies: experts copied.
        orders: orders given to ranks, by kind.
        skew: the mean over sets of the greatest load, as last estimated.
        skew_seen: the same, from the choices of the last window.
    """

    switches: int = 0
    abandoned: int = 0
    copies: int = 0
    orders: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter)
    skew: float = 0.0
    skew_seen: float = 0.0


class _PhaseTimes:
    """How long a switch has spent in each phase."""

    def __init__(self, now: float) -> None:
        self.began_at = now
        self._entered_at = now
        self._phase = map_switch.Phase.PREPARING
        self._seconds_by_phase: dict[map_switch.Phase, float] = {}

    def note(self, phase: map_switch.Phase, now: float) -> None:
        """The switch is in a phase now."""
        if phase is self._phase:
            return
        spent_s = self._seconds_by_phase.get(self._phase, 0.0)
        self._seconds_by_phase[self._phase] = spent_s + now - self._entered_at
        self._phase = phase
        self._entered_at = now

    def fields(self) -> dict[str, float]:
        """What a line of the log tells."""
        return {
            f'{phase.value}_s': round(seconds, 3)
            for phase, seconds in self._seconds_by_phase.items()
        }


class SwitchDriver:
    """Carries out switches of one group."""

    def __init__(self, *, host: str, hosts: roster.Roster,
                 view: group_view.GroupView, network: peers.PeerNetwork,
                 make_server: order_sender.ServerMaker, time: clock.Clock,
                 log: event_log.EventLog) -> None:
        self._host = host
        self._hosts = hosts
        self._view = view
        self._network = network
        self._make_server = make_server
        self._clock = time
        self._log = log
        self.account = MapAccount()

    def _sender(self) -> order_sender.OrderSender:
        return order_sender.OrderSender(host=self._host,
                                        hosts=self._hosts,
                                        view=self._view,
                                        network=self._network,
                                        make_server=self._make_server,
                                        counts=self.account.orders,
                                        time=self._clock,
                                        log=self._log)

    async def drive(self, switch: map_switch.Switch) -> map_switch.Switch:
        """Gives orders until the switch is done or abandoned."""
        times = _PhaseTimes(self._clock.monotonic())
        given = self.account.orders.total()
        async with self._sender() as sender:
            while True:
                switch, orders = map_switch.advance(switch, self._view.states())
                now = self._clock.monotonic()
                times.note(switch.phase, now)
                if switch.phase is map_switch.Phase.DONE:
                    count = self.account.orders.total() - given
                    self._note_done(switch, now, times, count)
                    return switch
                if (switch.phase is map_switch.Phase.ABANDONED or
                    (switch.phase is map_switch.Phase.PREPARING and
                     now - times.began_at > _MAX_PREPARE_S)):
                    self._note_abandoned(switch, now - times.began_at)
                    return dataclasses.replace(switch,
                                               phase=map_switch.Phase.ABANDONED)
                sender.send_due(orders)
                await sender.wait()

    async def look(self, rank: int) -> peer_messages.RankState | None:
        """Asks a rank's server for its state, past its agent."""
        record = self._record(rank)
        if record is None:
            return None
        try:
            report = await self._make_server(record.engine_address
                                            ).fetch_status()
        except rank_server.RankServerUnavailableError:
            return None
        state = dataclasses.replace(report.state, host=record.host)
        self._view.take(state)
        return state

    def address(self, rank: int) -> str:
        """The peer address of a rank's agent; empty when unknown."""
        record = self._record(rank)
        return record.peer_address if record else ''

    def _record(self, rank: int) -> host_record.HostRecord | None:
        state = self._view.states().get(rank)
        return self._hosts.records_by_host.get(state.host) if state else None

    def _note_done(self, switch: map_switch.Switch, now: float,
                   times: _PhaseTimes, orders: int) -> None:
        self.account.switches += 1
        self._log.write(log_events.LogEvent.MAP_SWITCHED,
                        important=False,
                        group=self._view.name,
                        version=switch.version,
                        step=switch.step,
                        took_s=round(now - times.began_at, 3),
                        orders=orders,
                        **times.fields())

    def _note_abandoned(self, switch: map_switch.Switch, took_s: float) -> None:
        self.account.abandoned += 1
        self._log.write(log_events.LogEvent.ORDER_FAILED,
                        group=self._view.name,
                        version=switch.version,
                        abandoned_in=switch.phase.value,
                        took_s=round(took_s, 3))
