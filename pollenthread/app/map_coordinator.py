"""Plans the expert maps of a rank group and runs the map switches.

One agent at a time coordinates a group. An agent of another group is preferred:
if its host fails during a switch, all ranks of the group are still reachable.

Coordinators are elected by a conditional write of one row per group in the
store. The store's version at that write is the fencing token (the term). It is
the high part of every map version, so ranks reject maps of a coordinator that
has been replaced. The version begins with the era of the store: after it has
come back from an older copy, its counter would give a term out twice.
"""

import asyncio
from collections.abc import Callable, Sequence

import result

from pollenthread.app import group_view, host_registry, switch_driver
from pollenthread.app.expert_maps import (map_in_use, silent_rank_query,
                                          slow_rank_watch)
from pollenthread.core import (expert_choices, expert_demand, host_record,
                               log_events, map_switch, peer_messages,
                               replication, routing_config, step_limits,
                               store_version)
from pollenthread.ports import clock, event_log, peers, row_store

__all__ = ['MapCoordinator', 'VERSIONS_PER_TERM', 'map_version']

VERSIONS_PER_TERM = 1 << 16
"""Map versions that a coordinator can give out in one term."""

TABLE = 'pollenthread_duties'
_PLAN_INTERVAL_S = 0.03
_WATCH_INTERVAL_S = 0.06
_HEARTBEAT_INTERVAL_S = 0.25
_ELECTION_STAGGER_S = 0.15
# Agents of the group itself wait longer for the candidates outside it.
_MEMBER_ELECTION_DELAY_S = 3.0
_ELECTION_RETRY_S = 0.5
_SKEW_LOG_INTERVAL_S = 0.5

EngineProfileLookup = Callable[[str], routing_config.EngineProfile | None]


def map_version(term: int, number: int) -> int:
    """Returns the version of a map.

    Args:
        term: the fencing token of the coordinator.
        number: the number of the map in this term, from 1.
    """
    return term * VERSIONS_PER_TERM + number


class MapCoordinator:
    """Coordinates the expert maps of one group while it holds the group's duty.

    A duty is a role that one process holds at a time.
    """

    def __init__(self, *, host: str, incarnation: str,
                 store: row_store.RowStore, hosts: host_registry.HostRegistry,
                 registry: group_view.GroupRegistry, view: group_view.GroupView,
                 driver: switch_driver.SwitchDriver,
                 silent_ranks: silent_rank_query.SilentRankQuery,
                 network: peers.PeerNetwork,
                 lookup_engine_profile: EngineProfileLookup, time: clock.Clock,
                 log: event_log.EventLog) -> None:
        """Initializes a coordinator that does not hold the duty.

        Args:
            host: this agent's host.
            incarnation: identifies this start of the agent process.
            store: the platform's store, which holds the row of the duty.
            hosts: the hosts of the deployment.
            registry: the known state of all groups.
            view: the known state of the coordinated group.
            driver: runs map switches of the group.
            silent_ranks: asks the servers of ranks whose agents are silent.
            network: sends messages to other agents.
            lookup_engine_profile: returns the engine profile of a service, or
                None when it is not known.
            time: the clock.
            log: the structured log.
        """
        self._host = host
        self._incarnation = incarnation
        self._store = store
        self._hosts = hosts
        self._registry = registry
        self._view = view
        self._driver = driver
        self._silent_ranks = silent_ranks
        self._network = network
        self._lookup_engine_profile = lookup_engine_profile
        self._clock = time
        self._log = log
        self._term = 0
        self._was_complete = False
        self._versions_used = 0
        self._demand: expert_demand.ExpertDemand | None = None
        self._skew_logged_at = time.monotonic()
        self._map = map_in_use.MapInUse(view=view,
                                        driver=driver,
                                        silent_ranks=silent_ranks,
                                        network=network)
        self._planned_inputs: tuple[int, int, int, list[float]] | None
        self._planned_inputs = None
        self._slow_ranks = slow_rank_watch.SlowRankWatch(group=view.name,
                                                         time=time,
                                                         log=log)
        view.subscribe_choices(self._on_choices)
        view.subscribe_states(self._on_state)

    @property
    def stats(self) -> switch_driver.MapStats:
        """Statistics of rebalancing this group."""
        return self._driver.stats

    # Election.

    async def run(self) -> None:
        """Runs for election and performs the duty, until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._send_heartbeats())
            tasks.create_task(self._run_duty())
            tasks.create_task(self._follow_silent_ranks())

    async def _follow_silent_ranks(self) -> None:
        while True:
            await self._clock.sleep(_WATCH_INTERVAL_S)
            if self._term and self._view.has_quorum():
                await self._silent_ranks.query_due(self._service())

    async def _send_heartbeats(self) -> None:
        while True:
            if self._term:
                self._announce_duty()
            await self._clock.sleep(_HEARTBEAT_INTERVAL_S)

    def _announce_duty(self) -> None:
        """Sends a heartbeat to the group and to those who may take over."""
        heartbeat = peer_messages.DutyBeat(self._view.name, self._host,
                                           self._term)
        self._registry.update_holder(heartbeat)
        members = {state.host for state in self._view.states().values()}
        candidates = self._hosts.duty_candidates(self._view.name)
        listeners = (members | {record.host
                                for record in candidates}) - {self._host}
        self._network.send_all(
            (record.peer_address
             for host in listeners
             if (record := self._hosts.records_by_host.get(host)) is not None),
            heartbeat)

    def _on_state(self, state: peer_messages.RankState) -> None:
        """Names the holder to an agent that asks the candidates for one."""
        heartbeat = self._view.recent_heartbeat()
        record = self._hosts.records_by_host.get(state.host)
        if heartbeat is None or record is None or heartbeat.host in (
                self._host, state.host):
            return
        candidates = self._hosts.duty_candidates(self._view.name)
        if any(candidate.host == self._host for candidate in candidates):
            self._network.send(record.peer_address, heartbeat)

    async def _run_duty(self) -> None:
        while True:
            await self._clock.sleep(
                _PLAN_INTERVAL_S if self._term else _WATCH_INTERVAL_S)
            is_complete = self._log_completeness(self._view.is_complete())
            if not is_complete and not self._view.has_quorum():
                continue
            engine = self._lookup_engine_profile(self._service())
            if engine is None or not engine.sets:
                continue
            if not self._holds_duty():
                if self._may_take_duty():
                    await self._acquire_duty(engine)
            elif is_complete:
                await self._plan_and_switch(engine)

    def _log_completeness(self, is_complete: bool) -> bool:
        """Logs a change of completeness while the duty is held here.

        Returns:
            The argument, unchanged.
        """
        if is_complete != self._was_complete and self._term:
            states = self._view.states().values()
            epoch = max((state.epoch for state in states), default=0)
            self._log.write(log_events.LogEvent.GROUP_WHOLE if is_complete else
                            log_events.LogEvent.GROUP_BROKEN,
                            group=self._view.name,
                            epoch=epoch,
                            missing=self._view.missing_ranks())
        self._was_complete = is_complete
        return is_complete

    def _service(self) -> str:
        """Returns the service of the group's servers; empty when unknown."""
        for state in self._view.states().values():
            record = self._hosts.records_by_host.get(state.host)
            if record is not None:
                return record.service
        return ''

    def _holds_duty(self) -> bool:
        if not self._term:
            return False
        newest_version = max(
            max(state.map_version, state.prepared_version)
            for state in self._view.states().values())
        if (newest_version >= (self._term + 1) * VERSIONS_PER_TERM or
                self._view.newest_term > self._term):
            self._log.write(log_events.LogEvent.DUTY_LOST,
                            group=self._view.name,
                            term=self._term,
                            newer_term=self._view.newest_term,
                            newest_version=newest_version)
            self._term = 0
            self._driver.stats.slow_ranks = ()
            return False
        return True

    def _may_take_duty(self) -> bool:
        own = self._registry.own_state
        candidates = [
            record.host
            for record in self._hosts.duty_candidates(self._view.name)
        ]
        if (own is None or self._host not in candidates or
                self._view.holder() is not None):
            return False
        delay_s = (1 + candidates.index(self._host)) * _ELECTION_STAGGER_S
        agents = self._hosts.with_role(host_record.Role.AGENT)
        if own.group == self._view.name and len(agents) > own.size:
            delay_s += _MEMBER_ELECTION_DELAY_S
        return self._view.holder_silence_s() > group_view.HOLDER_TIMEOUT_S + (
            delay_s)

    async def _acquire_duty(self, engine: routing_config.EngineProfile) -> None:
        group = self._view.name
        name = f'{self._host} {self._incarnation}'.encode()
        known = await self._store.read(TABLE)
        if isinstance(known, result.Err):
            await self._clock.sleep(_ELECTION_RETRY_S)
            return
        if not self._may_take_duty():
            # Another agent acquired the duty in the meantime.
            return
        row = next((r for r in known.ok_value.changes if r.key == group), None)
        write = row_store.RowWrite(TABLE, group, name,
                                   row.version if row else store_version.START)
        finished = await self._store.write([write])
        if isinstance(finished, result.Err):
            # If the response was lost, the write may have succeeded. That term
            # is then never used, and the next one is higher.
            await self._clock.sleep(_ELECTION_RETRY_S)
            return
        if finished.ok_value.era != known.ok_value.version.era:
            # The condition was met by another row than the one that was read.
            return
        self._term = finished.ok_value.token
        self._versions_used = 0
        self._map.forget()
        self._planned_inputs = None
        size = next(iter(self._view.states().values())).size
        self._demand = expert_demand.ExpertDemand(sets=engine.sets,
                                                  experts=engine.experts,
                                                  ranks=size)
        self._announce_duty()
        self._log.write(log_events.LogEvent.DUTY_TAKEN,
                        group=group,
                        term=self._term)

    def _on_choices(self, choices: peer_messages.ExpertChoices) -> None:
        if self._demand is not None and self._term:
            self._demand.add(
                choices.rank, choices.first_set * choices.experts,
                expert_choices.unpack_choices(choices.unit, choices.packed))
            self._demand.close_window()

    # Planning.

    async def _plan_and_switch(self,
                               engine: routing_config.EngineProfile) -> None:
        states = self._view.states()
        layouts = await self._map.find()
        if layouts is None:
            return
        assert self._demand is not None
        if map_switch.needs_recovery(states):
            await self._recover(states, layouts)
            return
        if any(state.armed_version for state in states.values()):
            return
        slowdowns = self._slow_ranks.update(states, engine.expert_share)
        self._driver.stats.slow_ranks = self._slow_ranks.slow_ranks
        self._log_skew(layouts, slowdowns)
        if not self._demand.is_complete or self._demand.is_moving:
            return
        inputs = (self._demand.windows, self._map.epoch, self._map.version,
                  slowdowns)
        if inputs == self._planned_inputs:
            return
        self._planned_inputs = inputs
        limits = step_limits.limits_for(engine, len(states))
        step = replication.plan_replication_step(layouts,
                                                 self._demand.shares_by_set,
                                                 limits.replication_limits,
                                                 slowdowns)
        self._driver.stats.skew = step.before
        if not limits.is_worthwhile(step):
            self._slow_ranks.check_relief(
                replication.mean_rank_loads(layouts, self._demand.shares_by_set,
                                            slowdowns))
            return
        self._log.write(log_events.LogEvent.MAP_PLANNED,
                        important=False,
                        group=self._view.name,
                        copies=step.copies,
                        busiest=step.max_copies_per_rank,
                        before=round(step.before, 3),
                        after=round(step.after, 3))
        await self._switch(step.layouts, step.copies)

    def _log_skew(self, layouts: Sequence[replication.SetLayout],
                  slowdowns: Sequence[float]) -> None:
        """Logs the measured skew of the last window, not the planned one."""
        now = self._clock.monotonic()
        window_s = now - self._skew_logged_at
        if window_s < _SKEW_LOG_INTERVAL_S:
            return
        assert self._demand is not None
        seen = self._demand.take_observed_choices()
        self._skew_logged_at = now
        if not all(map(any, seen)):
            return
        skew = replication.mean_max_rank_load(layouts, seen, slowdowns)
        datagrams, self._demand.datagrams = self._demand.datagrams, 0
        self._driver.stats.skew_seen = skew
        self._log.write(log_events.LogEvent.SKEW_SEEN,
                        important=False,
                        group=self._view.name,
                        skew=round(skew, 3),
                        window_s=round(window_s, 2),
                        choices=int(sum(map(sum, seen))),
                        datagrams=datagrams,
                        demand_changes=self._demand.changes,
                        map=self._map.version)

    def _next_version(self) -> int:
        self._versions_used += 1
        return map_version(self._term, self._versions_used)

    # Switching.

    async def _switch(self, layouts: tuple[replication.SetLayout, ...],
                      copies: int) -> None:
        epoch = next(iter(self._view.states().values())).epoch
        switch = map_switch.MapSwitch(self._next_version(), epoch,
                                      _encode_layouts(layouts))
        finished = await self._driver.run(switch)
        if finished.phase is map_switch.MapSwitchPhase.DONE:
            self._map.set(layouts, epoch, finished.version)
            self._driver.stats.copies += copies
        else:
            self._map.forget()
            self._planned_inputs = None

    async def _recover(self, states: map_switch.RankStates,
                       layouts: tuple[replication.SetLayout, ...]) -> None:
        switch = map_switch.recovery_switch(states, _encode_layouts(layouts),
                                            self._next_version())
        self._log.write(log_events.LogEvent.MAP_RECOVERED,
                        group=self._view.name,
                        version=switch.version,
                        phase=switch.phase.value,
                        held=states[map_switch.HOLDING_RANK].held_step)
        self._map.forget()
        await self._driver.run(switch)


def _encode_layouts(
    layouts: tuple[replication.SetLayout, ...]
) -> tuple[tuple[tuple[int, ...], ...], ...]:
    return tuple(
        tuple(tuple(sorted(experts))
              for experts in layout)
        for layout in layouts)
