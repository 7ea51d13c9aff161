"""A rank group, its agents and its coordinator in virtual time.

The agents and the coordinator are those of the program; they exchange messages
over slow links.
"""

import asyncio
import dataclasses
import itertools
import random
from collections.abc import Callable
from typing import Any

import result

from pollenthread.app import (group_view, host_registry, map_coordinator,
                              rank_agent, switch_driver)
from pollenthread.app.expert_maps import silent_rank_query
from pollenthread.core import (host_record, log_events, membership,
                               routing_config, store_version)
from pollenthread.core.routing import evacuations
from pollenthread.ports import event_log, row_store
from tests.fakes import emulated_group, thin_links, virtual_time

__all__ = ['GroupSimulation', 'LogLine']

_GROUP = 'wide'
_OUTSIDE = 'outside'
_SERVICE = 'llm'
_STREAMS_PER_RANK = 3.0
_ENTRY_HOSTS = 8
_SEED = 3


class _Store(row_store.RowStore):
    """Accepts every write and stores nothing."""

    def __init__(self) -> None:
        self._version = store_version.StoreVersion(1, 0)

    async def read(
        self, table: str
    ) -> result.Result[row_store.RowChanges, row_store.StoreError]:
        return result.Ok(row_store.RowChanges((), self._version))

    async def watch(
        self, table: str, after_version: store_version.StoreVersion,
        wait_s: float
    ) -> result.Result[row_store.RowChanges, row_store.StoreError]:
        return await self.read(table)

    async def write(
        self, writes: Any
    ) -> result.Result[store_version.StoreVersion, row_store.StoreError]:
        self._version = dataclasses.replace(self._version,
                                            counter=self._version.counter + 1)
        return result.Ok(self._version)


@dataclasses.dataclass(frozen=True)
class LogLine:
    """A line in the log of an agent.

    Attributes:
        at: the virtual time in seconds.
        host: the host of the agent.
        event: the kind of event.
        fields: the fields of the line.
    """

    at: float
    host: str
    event: log_events.LogEvent
    fields: dict[str, Any]


class _RecordingLog(event_log.EventLog):
    """The log of one agent."""

    def __init__(self, host: str, add_line: Callable[[LogLine], None]) -> None:
        self._host = host
        self._add_line = add_line

    def write(self,
              event: log_events.LogEvent,
              *,
              important: bool = True,
              **fields: Any) -> None:
        now = asyncio.get_running_loop().time()
        self._add_line(LogLine(now, self._host, event, fields))


class GroupSimulation:
    """Agents beside one group, and the coordinator of its maps.

    Attributes:
        agents: the number of agents beside the group.
        figures: the speed and memory of the engine.
        fabric: the links of the hosts.
        group: the group; set when the simulation runs.
        log_lines: the lines in the logs of all agents.
        coordinator_ended_at: the virtual time at which the coordinator was
            ended.
    """

    def __init__(self,
                 *,
                 agents: int,
                 megabits_per_s: float,
                 figures: routing_config.EngineProfile,
                 has_outside_agent: bool = True) -> None:
        """Initializes the simulation without starting it.

        Args:
            agents: the number of agents beside the group.
            megabits_per_s: the rate of each link in each direction.
            figures: the speed and memory of the engine.
            has_outside_agent: whether an agent that is not beside the group
                coordinates it.
        """
        self.agents = agents
        self.figures = figures
        self.fabric = thin_links.Fabric(megabits_per_s=megabits_per_s)
        self.group: emulated_group.EmulatedGroup
        self.log_lines: list[LogLine] = []
        self.coordinator_ended_at = 0.0
        self._on_line: Callable[[LogLine], None] = lambda line: None
        self._has_outside_agent = has_outside_agent
        self._time = virtual_time.LoopClock()
        self._link_bytes_per_s = megabits_per_s * 1e6 / 8
        self._actions: list[tuple[float, Callable[[], None]]] = []
        self._tasks_by_host: dict[str, list[asyncio.Task[None]]] = {}
        self._records: list[host_record.HostRecord] = []
        self._store = _Store()

    def _add_line(self, line: LogLine) -> None:
        self.log_lines.append(line)
        self._on_line(line)

    def schedule(self, at_s: float, action: Callable[[], None]) -> None:
        """Schedules an action, in seconds from the start of the simulation."""
        self._actions.append((at_s, action))

    async def run(self, change_s: float, seconds: float) -> None:
        """Runs the group and its agents for a number of seconds.

        Args:
            change_s: the time between two changes of the demand.
            seconds: the duration of the simulation.
        """
        loop = asyncio.get_running_loop()
        self.group = emulated_group.EmulatedGroup(
            name=_GROUP,
            ranks=self.agents,
            profile=self.figures,
            streams_per_rank=_STREAMS_PER_RANK,
            demand_change_interval_s=change_s,
            seed=_SEED)
        self._records = self._make_records()
        for at_s, action in self._actions:
            loop.call_later(at_s, action)
        tasks = [asyncio.create_task(self.group.run())]
        for record in self._records:
            if record.role is host_record.Role.AGENT:
                self.start_agent(record)
        for started in self._tasks_by_host.values():
            tasks += started
        await asyncio.wait(tasks,
                           timeout=seconds,
                           return_when=asyncio.FIRST_EXCEPTION)
        for task in tasks:
            if task.done() and not task.cancelled():
                task.result()
        await self._stop(tasks)

    async def _stop(self, tasks: list[asyncio.Task[None]]) -> None:
        for started in self._tasks_by_host.values():
            tasks += started
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _make_records(self) -> list[host_record.HostRecord]:
        agents = self.agents + self._has_outside_agent
        return [
            *(self._record(i) for i in range(agents)),
            *(host_record.HostRecord(host=f'entry-{i}',
                                     role=host_record.Role.ENTRY,
                                     data_centre='dc',
                                     peer_address=f'10.1.0.{i}:1')
              for i in range(_ENTRY_HOSTS))
        ]

    def _record(self, number: int) -> host_record.HostRecord:
        host = (self._outside_name()
                if number == self.agents else f'side-{number}')
        return host_record.HostRecord(host=host,
                                      role=host_record.Role.AGENT,
                                      data_centre='dc',
                                      peer_address=f'10.0.0.{number}:1',
                                      engine_address=f'10.0.0.{number}:2',
                                      service=_SERVICE)

    def _outside_name(self) -> str:
        """Returns a name that is the first candidate for the group's duty."""
        agents = [f'side-{i}' for i in range(self.agents)]
        names = (f'other-{i}' for i in itertools.count())
        return next(name for name in names
                    if membership.rank_by_rendezvous_hash((
                        *agents, name), f'duty\0{_GROUP}')[0] == name)

    # Agents.

    def start_agent(self, own: host_record.HostRecord) -> None:
        """Starts the agent of a host, which knows nothing of the group."""
        number = int(own.peer_address.partition(':')[0].rpartition('.')[2])
        network = thin_links.FabricNetwork(fabric=self.fabric,
                                           address=own.peer_address)
        hosts = host_registry.HostRegistry()
        for record in self._records:
            hosts.put(record)
        registry = group_view.GroupRegistry(network=network, time=self._time)
        is_outside = number == self.agents
        coroutines = []
        if is_outside:
            registry.own_state = dataclasses.replace(self.group.states[0],
                                                     group=_OUTSIDE)
        else:
            agent = self._make_agent(own, number, network, hosts, registry)
            coroutines.append(agent.run())
        candidates = hosts.duty_candidates(_GROUP)
        if is_outside or (not self._has_outside_agent and own in candidates):
            coordinator = self._make_coordinator(own, network, hosts, registry)
            coroutines.append(coordinator.run())
        self._tasks_by_host[own.host] = [
            asyncio.create_task(coroutine) for coroutine in coroutines
        ]

    def _make_agent(self, own: host_record.HostRecord, number: int,
                    network: thin_links.FabricNetwork,
                    hosts: host_registry.HostRegistry,
                    registry: group_view.GroupRegistry) -> rank_agent.RankAgent:
        agent = rank_agent.RankAgent(own=own,
                                     slots=self.figures.slots,
                                     server=self._server(own.engine_address),
                                     hosts=hosts,
                                     evacuations=evacuations.Evacuations(),
                                     registry=registry,
                                     network=network,
                                     link_bytes_per_s=self._link_bytes_per_s,
                                     time=self._time,
                                     log=_RecordingLog(own.host,
                                                       self._add_line),
                                     rng=random.Random(number))
        agent.experts_per_set = self.figures.experts
        return agent

    def _server(self, address: str) -> emulated_group.EmulatedRankServer:
        rank = int(address.partition(':')[0].rpartition('.')[2])
        return emulated_group.EmulatedRankServer(group=self.group,
                                                 rank=rank,
                                                 running=int(_STREAMS_PER_RANK))

    def _make_coordinator(
            self, own: host_record.HostRecord,
            network: thin_links.FabricNetwork,
            hosts: host_registry.HostRegistry,
            registry: group_view.GroupRegistry
    ) -> map_coordinator.MapCoordinator:
        view = registry.view(_GROUP)
        driver = switch_driver.SwitchDriver(
            host=own.host,
            hosts=hosts,
            view=view,
            network=network,
            make_server=self._server,
            link_bytes_per_s=self._link_bytes_per_s,
            time=self._time,
            log=_RecordingLog(own.host, self._add_line))
        return map_coordinator.MapCoordinator(
            host=own.host,
            incarnation='1',
            store=self._store,
            hosts=hosts,
            registry=registry,
            view=view,
            driver=driver,
            silent_ranks=silent_rank_query.SilentRankQuery(
                view=view,
                hosts=hosts,
                make_server=self._server,
                time=self._time),
            network=network,
            lookup_engine_profile=lambda service: self.figures,
            time=self._time,
            log=_RecordingLog(own.host, self._add_line))

    # Failures.

    def stop_agent(self, host: str) -> None:
        """Ends the agent of a host; what is sent to it is lost."""
        for task in self._tasks_by_host.pop(host):
            task.cancel()
        record = next(r for r in self._records if r.host == host)
        self.fabric.host_by_address.pop(record.peer_address)

    def stop_all_agents(self) -> None:
        """Ends all agents."""
        for host in list(self._tasks_by_host):
            self.stop_agent(host)

    def start_all_agents(self) -> None:
        """Starts all agents again."""
        for record in self._records:
            if record.role is host_record.Role.AGENT:
                self.start_agent(record)

    def stop_coordinator_after(self, event: log_events.LogEvent, count: int,
                               delay_s: float) -> None:
        """Ends the coordinator some seconds after a line in its log.

        Args:
            event: the kind of line.
            count: how many lines of that kind to wait for.
            delay_s: the time from that line on.
        """
        loop = asyncio.get_running_loop

        def on_line(line: LogLine) -> None:
            nonlocal count
            count -= line.event is event
            if not count:
                count = -1
                loop().call_later(delay_s, self.stop_coordinator)

        self._on_line = on_line

    def stop_coordinator(self) -> None:
        """Ends the agent that took the duty last."""
        self.coordinator_ended_at = asyncio.get_running_loop().time()
        self.stop_agent(
            next(line.host
                 for line in reversed(self.log_lines)
                 if line.event is log_events.LogEvent.DUTY_TAKEN))
