"""The agent beside a model server on the prepared platform."""

import asyncio
import random

from pollenthread.adapters import platform_metrics
from pollenthread.app import (group_view, map_duty, rank_agent, serving_state,
                              stall_watch, switch_driver)
from pollenthread.core import host_record, log_events, routing_config
from pollenthread.platform import wire_names, process_settings, rank_server_http
from pollenthread.roles import platform_role, process

__all__ = ['run']

_CONFIG_WAIT_S = 20.0
_CONFIG_PAUSE_S = 0.5
_FIGURES_CHECK_S = 0.25


class _PlatformAgent(platform_role.PlatformRole):
    """Wires an agent; a context manager that owns its servers."""

    def __init__(self, *, settings: process_settings.ProcessSettings) -> None:
        rng = random.Random(settings.host)
        super().__init__(settings=settings,
                         own_record=host_record.HostRecord(
                             host=settings.host,
                             role=host_record.Role.AGENT,
                             data_centre=settings.data_centre,
                             peer_address=platform_role.peer_address(settings),
                             engine_address=settings.engine_address,
                             service=settings.engine_service),
                         state=serving_state.ServingState(
                             data_centre=settings.data_centre,
                             retry_bounds=serving_state.RetryBounds(
                                 0.0, 0.0, 1.0),
                             return_s=0.0,
                             rng=rng),
                         rng=rng)
        self._book = group_view.GroupBook(network=self._network,
                                          time=self._clock)
        self._agent = rank_agent.RankAgent(
            own=self._own_record,
            slots=1,
            server=self._server_at(settings.engine_address),
            hosts=self._host_registry,
            book=self._book,
            network=self._network,
            link_bytes_per_s=settings.link_bytes_per_s,
            time=self._clock,
            log=self.log,
            rng=rng)
        self._stalls = stall_watch.StallWatch(agent=self._agent,
                                              book=self._book,
                                              make_driver=self._make_driver,
                                              time=self._clock,
                                              log=self.log)
        self._incarnation = process.new_incarnation()
        self._duties_by_group: dict[str, map_duty.MapDuty] = {}
        self._network.serve_metrics(
            platform_metrics.MetricsPage(
                counters=self._counters,
                gauges=self._gauges,
                latencies=platform_metrics.LatencyBook()))

    def _counters(self) -> dict[str, float]:
        """What keeping ranks even has cost, over all duties held here."""
        found = self._peer_counters()
        found['log_lines_dropped'] = self.log.dropped
        for duty in self._duties_by_group.values():
            account = duty.account
            for name, count in (('map_switches', account.switches),
                                ('map_switches_abandoned', account.abandoned),
                                ('experts_copied', account.copies)):
                found[name] = found.get(name, 0) + count
            for kind, count in account.orders.items():
                name = f'rank_orders_{kind}'
                found[name] = found.get(name, 0) + count
        return found

    def _gauges(self) -> dict[str, float]:
        found = {}
        for group, duty in self._duties_by_group.items():
            name = group.replace('-', '_')
            found[f'skew_{name}'] = duty.account.skew
            found[f'skew_seen_{name}'] = duty.account.skew_seen
        return found

    def _make_driver(self,
                     view: group_view.GroupView) -> switch_driver.SwitchDriver:
        return switch_driver.SwitchDriver(host=self._settings.host,
                                          hosts=self._host_registry,
                                          view=view,
                                          network=self._network,
                                          make_server=self._server_at,
                                          time=self._clock,
                                          log=self.log)

    def _make_duty(self, group: str) -> map_duty.MapDuty:
        view = self._book.view(group)
        return map_duty.MapDuty(host=self._settings.host,
                                incarnation=self._incarnation,
                                store=self._store,
                                hosts=self._host_registry,
                                book=self._book,
                                view=view,
                                driver=self._make_driver(view),
                                network=self._network,
                                figures=self._figures,
                                time=self._clock,
                                log=self.log)

    def _figures(self, service: str) -> routing_config.EngineFigures | None:
        """The figures of a service by the newest configuration."""
        config = self.state.config
        found = config.services_by_name.get(service) if config else None
        return found.engine if found is not None else None

    def _server_at(self, address: str) -> rank_server_http.HttpRankServer:
        return rank_server_http.HttpRankServer(client=self._server_client,
                                               address=address)

    def reload(self) -> None:
        """Says that nothing an agent uses can change while it runs."""
        self.log.write(log_events.LogEvent.RELOADED, changed=[])

    async def shut_down(self) -> None:
        self.log.write(log_events.LogEvent.STOPPED)

    async def run(self) -> None:
        """Watches the server and does the group's duty until cancelled."""
        config = self._make_follower(wire_names.StoreTable.OPERATOR, self._config_listener,
                                _CONFIG_WAIT_S, _CONFIG_PAUSE_S)
        async with asyncio.TaskGroup() as group:
            group.create_task(config.run())
            self._follow_hosts(group)
            group.create_task(self._agent.run())
            group.create_task(self._stalls.run())
            await self._follow_groups(group)

    async def _follow_groups(self, tasks: asyncio.TaskGroup) -> None:
        """Stands for the duty of each group that is heard of."""
        while True:
            await self._clock.sleep(_FIGURES_CHECK_S)
            engine = self._figures(self._settings.engine_service)
            if engine is not None:
                self._agent.slots = engine.slots
                self._agent.experts = engine.experts
            for name in self._book.groups:
                if name not in self._duties_by_group:
                    duty = self._make_duty(name)
                    self._duties_by_group[name] = duty
                    tasks.create_task(duty.run())


async def run() -> None:
    """Serves until SIGTERM."""
    settings = process_settings.load()
    await platform_role.serve(_PlatformAgent(settings=settings),
                              engine=settings.engine_address,
                              service=settings.engine_service)
