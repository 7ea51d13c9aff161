"""Agent process for a model server on the users' platform."""

import random

from pollenthread.adapters import clock, platform_metrics
from pollenthread.app import (group_view, map_coordinator, rank_agent,
                              serving_state, snapshot_exchange, stall_recovery,
                              store_watch, switch_driver)
from pollenthread.app.background import supervision
from pollenthread.app.expert_maps import silent_rank_query
from pollenthread.core import (host_record, log_events, peer_messages,
                               routing_config)
from pollenthread.platform import process_settings, rank_server_http, wire_names
from pollenthread.ports import clock as clock_port
from pollenthread.roles import platform_role, process

__all__ = ['PlatformAgent', 'run']

_CONFIG_WATCH_TIMEOUT_S = 20.0
_CONFIG_WATCH_PAUSE_S = 0.5
_ENGINE_PROFILE_CHECK_S = 0.25


class PlatformAgent(platform_role.PlatformRole):
    """Assembles an agent; a context manager that owns its components.

    Attributes:
        watch: keeps the agent up to date with the store.
    """

    def __init__(self, *, settings: process_settings.ProcessSettings,
                 time: clock_port.Clock) -> None:
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
                             retry_settings=serving_state.RetryBudgetSettings(
                                 0.0, 0.0, 1.0),
                             return_s=0.0,
                             rng=rng),
                         rng=rng,
                         time=time)
        self.watch = store_watch.AgentStoreWatch(
            hosts=self._host_registry,
            exchange=snapshot_exchange.SnapshotExchange(
                network=self._network,
                hosts=self._host_registry,
                config_listener=self.config_listener,
                server_listener=None,
                time=self._clock,
                log=self.log,
                config_form=peer_messages.ConfigForm.SERVICES),
            config_listener=self.config_listener,
            time=self._clock,
            rng=rng)
        self._network.set_datagram_handler(peer_messages.EntryBeat,
                                           self._on_heartbeat)
        self._group_registry = group_view.GroupRegistry(network=self._network,
                                                        time=self._clock)
        self._rank_agent = rank_agent.RankAgent(
            own=self._own_record,
            slots=1,
            server=self._make_rank_server(settings.engine_address),
            hosts=self._host_registry,
            registry=self._group_registry,
            evacuations=self.state.evacuations,
            network=self._network,
            link_bytes_per_s=settings.link_bytes_per_s,
            time=self._clock,
            log=self.log,
            rng=rng)
        self._stall_recovery = stall_recovery.StallRecovery(
            agent=self._rank_agent,
            registry=self._group_registry,
            make_driver=self._make_driver,
            time=self._clock,
            log=self.log)
        self._incarnation = process.new_incarnation()
        self._coordinator_by_group: dict[str,
                                         map_coordinator.MapCoordinator] = {}
        self._network.set_metrics_provider(
            platform_metrics.MetricsPageRenderer(
                counters=self._collect_counters,
                gauges=self._collect_gauges,
                latencies=platform_metrics.LatencyHistogramSet()))

    @property
    def _is_watcher(self) -> bool:
        return self.watch.is_watcher

    def _on_heartbeat(self, heartbeat: peer_messages.EntryBeat) -> None:
        self._evacuation_listener.record_heartbeat(heartbeat)
        self.watch.on_heartbeat(heartbeat)

    def _collect_counters(self) -> dict[str, float]:
        """Returns the cost of load balancing between ranks, over all groups."""
        counters = self._collect_peer_counters()
        counters['log_lines_dropped'] = self.log.dropped
        counters['task_failures'] = self._supervisor.failures
        counters.update(self._collect_client_counters())
        for coordinator in self._coordinator_by_group.values():
            statistics = coordinator.stats
            for name, count in (('map_switches', statistics.switches),
                                ('map_switches_abandoned',
                                 statistics.abandoned), ('experts_copied',
                                                         statistics.copies)):
                counters[name] = counters.get(name, 0) + count
            for kind, count in statistics.orders.items():
                name = f'rank_orders_{kind}'
                counters[name] = counters.get(name, 0) + count
        return counters

    def _collect_gauges(self) -> dict[str, float]:
        gauges = self._collect_client_gauges()
        for group, coordinator in self._coordinator_by_group.items():
            name = group.replace('-', '_')
            gauges[f'skew_{name}'] = coordinator.stats.skew
            gauges[f'skew_seen_{name}'] = coordinator.stats.skew_seen
            slow_ranks = coordinator.stats.slow_ranks
            gauges[f'slow_ranks_{name}'] = len(slow_ranks)
            if slow_ranks:
                gauges[f'slowest_rank_{name}'] = slow_ranks[0].rank
                gauges[f'slowest_rank_slowdown_{name}'] = (
                    slow_ranks[0].slowdown)
        return gauges

    def _make_driver(self,
                     view: group_view.GroupView) -> switch_driver.SwitchDriver:
        return switch_driver.SwitchDriver(
            host=self._settings.host,
            hosts=self._host_registry,
            view=view,
            network=self._network,
            make_server=self._make_rank_server,
            link_bytes_per_s=self._settings.link_bytes_per_s,
            time=self._clock,
            log=self.log)

    def _make_coordinator(self, group: str) -> map_coordinator.MapCoordinator:
        view = self._group_registry.view(group)
        return map_coordinator.MapCoordinator(
            host=self._settings.host,
            incarnation=self._incarnation,
            store=self._store,
            hosts=self._host_registry,
            registry=self._group_registry,
            view=view,
            driver=self._make_driver(view),
            silent_ranks=silent_rank_query.SilentRankQuery(
                view=view,
                hosts=self._host_registry,
                make_server=self._make_rank_server,
                time=self._clock),
            network=self._network,
            lookup_engine_profile=self._engine_profile,
            time=self._clock,
            log=self.log)

    def _engine_profile(self,
                        service: str) -> routing_config.EngineProfile | None:
        """Returns the engine profile of a service, or None if not configured.
        """
        config = self.state.config
        service_config = config.services_by_name.get(
            service) if config else None
        return service_config.engine if service_config is not None else None

    def _make_rank_server(self,
                          address: str) -> rank_server_http.HttpRankServer:
        return rank_server_http.HttpRankServer(
            client=self._server_client,
            address=address,
            link_bytes_per_s=self._settings.link_bytes_per_s)

    def reload(self) -> None:
        """Logs the reload; no setting of an agent can change while it runs."""
        self.log.write(log_events.LogEvent.RELOADED, changed=[])

    async def shut_down(self) -> None:
        self.log.write(log_events.LogEvent.STOPPED)

    def background_work(self) -> dict[str, supervision.BackgroundWork]:
        config_follower = self._make_follower(wire_names.StoreTable.OPERATOR,
                                              self._operator_listener,
                                              _CONFIG_WATCH_TIMEOUT_S,
                                              _CONFIG_WATCH_PAUSE_S)
        return {
            'follow configuration': config_follower.run,
            'apply configuration': self.config_listener.run,
            'watch store': self.watch.run,
            **self._host_work(), 'monitor server': self._rank_agent.run,
            'watch stalls': self._stall_recovery.run,
            'coordinate groups': self._coordinate_groups
        }

    async def _coordinate_groups(self) -> None:
        """Starts a candidate coordinator for each known group.

        Also applies changes of the engine profile to the rank's agent.
        """
        while True:
            await self._clock.sleep(_ENGINE_PROFILE_CHECK_S)
            profile = self._engine_profile(self._settings.engine_service)
            if profile is not None:
                self._rank_agent.slots = profile.slots
                self._rank_agent.experts_per_set = profile.experts
            for group_name in self._group_registry.groups:
                if group_name not in self._coordinator_by_group:
                    coordinator = self._make_coordinator(group_name)
                    self._coordinator_by_group[group_name] = coordinator
                    self._supervisor.start(f'coordinate {group_name}',
                                           coordinator.run)


async def run() -> None:
    """Runs an agent until SIGTERM or SIGINT."""
    settings = process_settings.load()
    await platform_role.serve(PlatformAgent(settings=settings,
                                            time=clock.SystemClock()),
                              engine=settings.engine_address,
                              service=settings.engine_service)
