"""One agent plans the maps of each group and has its ranks switch.

It is an agent of another group if there is one: when its host fails in the
middle of a switch, all ranks of the group can still be reached.

The duty is a row in the store that is taken with a conditional write. The
store's counter at that write is the fencing token: all versions of maps begin
with it, so ranks refuse the maps of a holder that was replaced.
"""

import asyncio
from collections.abc import Callable

import result

from pollenthread.app import group_view, roster, switch_driver
from pollenthread.core import (expert_choices, expert_demand, log_events,
                               map_switch, peer_messages, replication,
                               routing_config, step_limits)
from pollenthread.ports import clock, event_log, peers, row_store

__all__ = ['MapDuty']

TABLE = 'pollenthread_duties'
_VERSIONS_A_TERM = 1 << 16
_PLAN_TICK_S = 0.06
_BEAT_S = 0.25
_STAGGER_S = 0.15
# Agents of the group itself wait until no other has taken its duty.
_MEMBER_PATIENCE_S = 3.0
_RETRY_DUTY_S = 0.5
_SKEW_LINE_S = 0.5
# Arming all ranks takes up to two passes where links are thin, and a rank's
# step is known a pass late.
_LEAD_PASSES = 4
_PERCENT = 100
# A rank that takes only a little longer than others is not worth copies.
_SLOW_PACE = 1.2

Figures = Callable[[str], routing_config.EngineFigures | None]


class MapDuty:
    """Plans and carries out the maps of one group while it holds its duty."""

    def __init__(self, *, host: str, incarnation: str,
                 store: row_store.RowStore, hosts: roster.Roster,
                 book: group_view.GroupBook, view: group_view.GroupView,
                 driver: switch_driver.SwitchDriver, network: peers.PeerNetwork,
                 figures: Figures, time: clock.Clock,
                 log: event_log.EventLog) -> None:
        """Makes a duty that nobody holds.

        Args:
            host: this agent's host.
            incarnation: names this start of the agent.
            store: the platform's store.
            hosts: the hosts of the deployment.
            book: all groups.
            view: the group.
            driver: carries out switches of the group.
            network: reaches other agents.
            figures: the engine figures of a service.
            time: the clock.
            log: the log.
        """
        self._host = host
        self._incarnation = incarnation
        self._store = store
        self._hosts = hosts
        self._book = book
        self._view = view
        self._driver = driver
        self._network = network
        self._figures = figures
        self._clock = time
        self._log = log
        self._term = 0
        self._was_whole = False
        self._used_versions = 0
        self._demand: expert_demand.Demand | None = None
        self._skew_told_at = time.monotonic()
        self._layouts: tuple[replication.Layout, ...] | None = None
        self._layouts_of = (0, 0)
        view.on_choices(self._take_choices)

    @property
    def account(self) -> switch_driver.MapAccount:
        """What keeping the group's ranks even has cost and brought."""
        return self._driver.account

    # The duty.

    async def run(self) -> None:
        """Takes the duty when nobody has it, and does it; until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._beat())
            tasks.create_task(self._serve())

    async def _beat(self) -> None:
        while True:
            if self._term:
                self._tell_duty()
            await self._clock.sleep(_BEAT_S)

    def _tell_duty(self) -> None:
        beat = peer_messages.DutyBeat(self._view.name, self._host, self._term)
        self._book.take_duty(beat)
        self._network.send_all(self._hosts.agents_beside(self._host), beat)

    async def _serve(self) -> None:
        while True:
            await self._clock.sleep(_PLAN_TICK_S)
            if not self._note_whole(self._view.is_whole()):
                continue
            engine = self._figures(self._service())
            if engine is None or not engine.sets:
                continue
            if self._holds_duty():
                await self._work(engine)
            elif self._is_my_turn():
                await self._take_duty(engine)

    def _note_whole(self, is_whole: bool) -> bool:
        """Logs a change, if the duty is held here; returns what it is given."""
        if is_whole != self._was_whole and self._term:
            states = self._view.states().values()
            epoch = max((state.epoch for state in states), default=0)
            self._log.write(log_events.LogEvent.GROUP_WHOLE
                            if is_whole else log_events.LogEvent.GROUP_BROKEN,
                            group=self._view.name,
                            epoch=epoch,
                            missing=self._view.missing())
        self._was_whole = is_whole
        return is_whole

    def _service(self) -> str:
        """The service of the group's servers."""
        for state in self._view.states().values():
            record = self._hosts.records_by_host.get(state.host)
            if record is not None:
                return record.service
        return ''

    def _holds_duty(self) -> bool:
        if not self._term:
            return False
        newest = max(
            max(state.map_version, state.prepared_version)
            for state in self._view.states().values())
        if (newest >= (self._term + 1) * _VERSIONS_A_TERM or
                self._view.newest_term > self._term):
            self._log.write(log_events.LogEvent.DUTY_LOST,
                            group=self._view.name,
                            term=self._term,
                            newer_term=self._view.newest_term,
                            newest_version=newest)
            self._term = 0
            return False
        return True

    def _is_my_turn(self) -> bool:
        own = self._book.own_state
        if own is None or self._view.holder() is not None:
            return False
        patience_s = (1 + own.rank) * _STAGGER_S
        if own.group == self._view.name:
            patience_s += _MEMBER_PATIENCE_S
        return self._view.holder_silent_s() > group_view.HOLDER_SILENT_S + (
            patience_s)

    async def _take_duty(self, engine: routing_config.EngineFigures) -> None:
        group = self._view.name
        name = f'{self._host} {self._incarnation}'.encode()
        known = await self._store.read(TABLE)
        if isinstance(known, result.Err):
            await self._clock.sleep(_RETRY_DUTY_S)
            return
        if not self._is_my_turn():
            # Another agent has taken it meanwhile.
            return
        row = next((r for r in known.ok_value.changes if r.key == group), None)
        write = row_store.RowWrite(TABLE, group, name,
                                   row.version if row else 0)
        done = await self._store.write([write])
        if isinstance(done, result.Err):
            # After a lost answer the term may be taken without being known;
            # then it is never used, and the next one is higher.
            await self._clock.sleep(_RETRY_DUTY_S)
            return
        self._term = done.ok_value
        self._used_versions = 0
        self._layouts = None
        self._demand = expert_demand.Demand(sets=engine.sets,
                                            experts=engine.experts,
                                            ranks=len(self._view.states()))
        self._tell_duty()
        self._log.write(log_events.LogEvent.DUTY_TAKEN,
                        group=group,
                        term=self._term)

    def _take_choices(self, news: peer_messages.ExpertChoices) -> None:
        if self._demand is not None and self._term:
            self._demand.add(news.rank, news.first_set * news.experts,
                             expert_choices.unpack(news.unit, news.packed))

    # Planning.

    async def _work(self, engine: routing_config.EngineFigures) -> None:
        states = self._view.states()
        if not await self._know_layouts():
            return
        assert self._layouts is not None and self._demand is not None
        if map_switch.needs_recovery(states):
            await self._recover(states)
            return
        if any(state.armed_version for state in states.values()):
            return
        self._demand.close_window()
        self._tell_skew()
        if not self._demand.is_known:
            return
        limits = step_limits.limits_for(engine, len(states))
        step = replication.plan_step(self._layouts, self._demand.shares_by_set,
                                     limits.shape, _paces(states))
        self._driver.account.skew = step.before
        if not limits.is_worth(step):
            return
        self._log.write(log_events.LogEvent.MAP_PLANNED,
                        important=False,
                        group=self._view.name,
                        copies=step.copies,
                        busiest=step.copies_of_busiest,
                        before=round(step.before, 3),
                        after=round(step.after, 3))
        await self._switch(step.layouts, step.copies)

    def _tell_skew(self) -> None:
        """Logs how even the group was, not how even it was meant to be."""
        now = self._clock.monotonic()
        window_s = now - self._skew_told_at
        if window_s < _SKEW_LINE_S:
            return
        assert self._layouts is not None and self._demand is not None
        seen = self._demand.seen_by_set()
        self._skew_told_at = now
        if not all(map(any, seen)):
            return
        skew = replication.mean_greatest_load(self._layouts, seen,
                                              _paces(self._view.states()))
        datagrams, self._demand.datagrams = self._demand.datagrams, 0
        self._driver.account.skew_seen = skew
        self._log.write(log_events.LogEvent.SKEW_SEEN,
                        important=False,
                        group=self._view.name,
                        skew=round(skew, 3),
                        window_s=round(window_s, 2),
                        choices=int(sum(map(sum, seen))),
                        datagrams=datagrams,
                        demand_changes=self._demand.changes,
                        map=self._layouts_of[1])

    async def _know_layouts(self) -> bool:
        """Makes sure that the map in use is known."""
        states = self._view.states()
        versions = {(s.epoch, s.map_version) for s in states.values()}
        if len(versions) != 1:
            return False
        if self._layouts is not None and self._layouts_of in versions:
            return True
        found = await asyncio.gather(
            *(self._network.fetch_rank_layout(self._driver.address(rank))
              for rank in sorted(states)))
        held = [layout for layout in found if layout is not None]
        if len(held) < len(states) or {
            (layout.epoch, layout.version) for layout in held
        } != versions:
            return False
        self._layouts = tuple(
            tuple(frozenset(layout.experts[index])
                  for layout in held)
            for index in range(len(held[0].experts)))
        self._layouts_of = versions.pop()
        return True

    def _next_version(self) -> int:
        self._used_versions += 1
        return self._term * _VERSIONS_A_TERM + self._used_versions

    # Switching.

    async def _switch(self, layouts: tuple[replication.Layout, ...],
                      copies: int) -> None:
        epoch = next(iter(self._view.states().values())).epoch
        switch = map_switch.Switch(self._next_version(),
                                   epoch,
                                   _encoded(layouts),
                                   lead=_LEAD_PASSES)
        done = await self._driver.drive(switch)
        if done.phase is map_switch.Phase.DONE:
            self._layouts = layouts
            self._layouts_of = (epoch, done.version)
            self._driver.account.copies += copies
        else:
            self._layouts = None

    async def _recover(self, states: map_switch.States) -> None:
        assert self._layouts is not None
        switch = map_switch.recover(states, _encoded(self._layouts),
                                    self._next_version())
        self._log.write(log_events.LogEvent.MAP_RECOVERED,
                        group=self._view.name,
                        version=switch.version,
                        phase=switch.phase.value,
                        held=states[map_switch.HOLDING_RANK].held_step)
        self._layouts = None
        await self._driver.drive(switch)


def _paces(states: map_switch.States) -> list[float]:
    """How much longer than usual each rank takes, by its number."""
    paces = (states[rank].pace_percent / _PERCENT for rank in sorted(states))
    return [pace if pace >= _SLOW_PACE else 1.0 for pace in paces]


def _encoded(
    layouts: tuple[replication.Layout, ...]
) -> tuple[tuple[tuple[int, ...], ...], ...]:
    return tuple(
        tuple(tuple(sorted(experts))
              for experts in layout)
        for layout in layouts)
