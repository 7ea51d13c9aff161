"""Entry host process on the users' platform."""

import dataclasses
import random
from typing import Self

from pollenthread.adapters import (clock, http_server, peer_network,
                                   platform_metrics)
from pollenthread.app import (entry_liveness, entry_peers, evidence_exchange,
                              evidence_store, forwarder, graceful_shutdown,
                              rate_permits, serving_state, snapshot_exchange,
                              store_listeners, store_watch)
from pollenthread.app.background import supervision
from pollenthread.app.data_centres import warm_up_watch
from pollenthread.app.routing import pace_watch, spill_planner, usable_servers
from pollenthread.core import host_record, log_events, routing_config
from pollenthread.platform import (process_settings, server_row, upstream_http,
                                   wire_names)
from pollenthread.ports import clock as clock_port
from pollenthread.roles import platform_handlers, platform_role, process

__all__ = ['PlatformEntry', 'run']

_CONFIG_WATCH_TIMEOUT_S = 8.0
_CONFIG_WATCH_PAUSE_S = 0.05
# A watch call without a response fails one second after this timeout. The total
# must be short enough for a draining server to stop receiving requests in time.
_SERVERS_WATCH_TIMEOUT_S = 1.5
_SERVERS_WATCH_PAUSE_S = 0.2
# Time after an outage of the store within which live servers are listed again.
_SERVER_RELIST_S = 2.2
# Time in which peers tell a host what operators have emptied.
_MAX_UNINFORMED_S = 1.0
_ADDRESS_TTL_S = 1.0
# Some callers cache the address list for three times its time to live.
_CALLER_CACHE_FACTOR = 3
_CLEAN_UP_INTERVAL_S = 0.5
_SHUTDOWN_CHECK_INTERVAL_S = 0.05
# For addresses whose requests need no body.
_BODILESS_LIMITS = http_server.ServerLimits(max_body_bytes=1024)


class PlatformEntry(platform_role.PlatformRole):
    """Assembles an entry host; a context manager that owns its components."""

    def __init__(self, *, settings: process_settings.ProcessSettings,
                 time: clock_port.Clock) -> None:
        rng = random.Random(settings.host)
        super().__init__(settings=settings,
                         own_record=host_record.HostRecord(
                             host=settings.host,
                             role=host_record.Role.ENTRY,
                             data_centre=settings.data_centre,
                             peer_address=platform_role.peer_address(settings),
                             caller_address=settings.caller_address),
                         state=serving_state.ServingState(
                             data_centre=settings.data_centre,
                             retry_settings=serving_state.RetryBudgetSettings(
                                 settings.retry_ratio, settings.retry_extra,
                                 settings.retry_window_s),
                             warm_up_settings=serving_state.WarmUpSettings(
                                 settings.warm_up_factor,
                                 settings.warm_up_extra),
                             return_s=_SERVER_RELIST_S,
                             rng=rng),
                         rng=rng,
                         time=time)
        self._server_listener = store_listeners.ServerListener(
            state=self.state,
            time=self._clock,
            log=self.log,
            table=wire_names.StoreTable.SERVERS,
            decode=server_row.decode)
        self._warm_up = warm_up_watch.WarmUpWatch(state=self.state,
                                                  time=self._clock,
                                                  log=self.log)
        self._server_listener.entry_callbacks.append(self._warm_up.on_entry)
        self._evacuation_listener.changed_callbacks.append(
            self._warm_up.on_evacuation)
        self._liveness = entry_liveness.EntryLiveness(own=self._own_record,
                                                      hosts=self._host_registry,
                                                      state=self.state,
                                                      time=self._clock,
                                                      log=self.log)
        self._exchange = snapshot_exchange.SnapshotExchange(
            network=self._network,
            hosts=self._host_registry,
            config_listener=self.config_listener,
            server_listener=self._server_listener,
            time=self._clock,
            log=self.log)
        self._started_at = self._clock.monotonic()
        self._watch = store_watch.EntryStoreWatch(
            own=self._own_record,
            hosts=self._host_registry,
            liveness=self._liveness,
            seeds=settings.seeds,
            exchange=self._exchange,
            state=self.state,
            config_listener=self.config_listener,
            server_listener=self._server_listener,
            time=self._clock,
            rng=self._rng)
        self._peers = entry_peers.EntryPeers(
            own=self._own_record,
            hosts=self._host_registry,
            liveness=self._liveness,
            watch=self._watch,
            exchange=self._exchange,
            network=self._network,
            state=self.state,
            config_listener=self.config_listener,
            server_listener=self._server_listener,
            evacuation_listener=self._evacuation_listener,
            region_by_data_centre=settings.region_by_data_centre,
            time=self._clock,
            rng=self._rng)
        self._evidence_exchange = evidence_exchange.EvidenceExchange(
            own=self._own_record,
            liveness=self._liveness,
            network=self._network,
            evidence=self.state.evidence_log,
            time=self._clock,
            rng=self._rng)
        self._evidence_store = evidence_store.EvidenceStore(
            store=self._store,
            evidence=self.state.evidence_log,
            is_watcher=lambda: self._watch.is_watcher,
            store_era=lambda: self._server_listener.version.era,
            time=self._clock)
        self._shutdown_plan = graceful_shutdown.ShutdownPlan(
            grace_s=settings.grace_s,
            discovery_cache_s=_ADDRESS_TTL_S * _CALLER_CACHE_FACTOR)
        self._permits = rate_permits.SharedRatePermits(own=self._own_record,
                                                       liveness=self._liveness,
                                                       network=self._network,
                                                       state=self.state,
                                                       time=self._clock,
                                                       log=self.log)
        self._pace_watch = pace_watch.PaceWatch(state=self.state,
                                                time=self._clock,
                                                log=self.log)
        self._spill_planner = spill_planner.SpillPlanner(
            own=self._own_record,
            state=self.state,
            usable=usable_servers.UsableServers(state=self.state,
                                                permits=self._permits,
                                                time=self._clock),
            hosts=self._host_registry,
            liveness=self._liveness,
            own_demand=self.state.demand.own_demand,
            region_by_data_centre=settings.region_by_data_centre,
            time=self._clock,
            log=self.log)
        self._latencies = platform_metrics.LatencyHistogramSet()
        request_forwarder = forwarder.Forwarder(
            state=self.state,
            upstream_client=upstream_http.HttpUpstreamClient(
                client=self._server_client),
            permits=self._permits,
            shutdown_plan=self._shutdown_plan,
            observe=self._latencies.observe,
            time=self._clock,
            log=self.log)
        self._forwarder = request_forwarder
        self._caller_handler = platform_handlers.ForwardingHandler(
            request_forwarder=request_forwarder, state=self.state)
        self._caller_server = self._make_server(settings.caller_address,
                                                self._caller_handler,
                                                http_server.ServerLimits())
        self.config_listener.applied_callbacks.append(self._apply_caller_limits)
        self._network.set_metrics_provider(
            platform_metrics.MetricsPageRenderer(
                counters=self._collect_counters,
                gauges=self._collect_gauges,
                latencies=self._latencies))

    @property
    def _is_watcher(self) -> bool:
        return self._watch.is_watcher

    def _must_follow(self, table: str) -> bool:
        # Peers of an earlier release do not tell what operators have emptied.
        is_uninformed = (not self.state.evacuations.is_known and
                         self._clock.monotonic() - self._started_at
                         > _MAX_UNINFORMED_S)
        return super()._must_follow(table) or (
            table == wire_names.StoreTable.OPERATOR and is_uninformed)

    def _collect_counters(self) -> dict[str, float]:
        counters: dict[str, float] = {
            f'requests_{name}': count
            for name, count in self._forwarder.counts.items()
        }
        for outcome, count in self._store.calls_by_outcome.items():
            counters[f'store_calls_{outcome}'] = count
        counters.update(self._collect_peer_counters())
        counters['server_connections'] = self._server_client.connections_opened
        counters['entries_rejected'] = self._server_listener.rejected_count
        counters['configs_rejected'] = self.config_listener.rejected_count
        counters['peer_snapshots'] = self._exchange.applied_count
        counters['log_lines_dropped'] = self.log.dropped
        counters['group_stops'] = self._pace_watch.stops
        counters['task_failures'] = self._supervisor.failures
        counters.update(self._collect_client_counters())
        return counters

    def _collect_gauges(self) -> dict[str, float]:
        config = self.state.config
        return {
            'in_progress':
                self._caller_handler.in_progress,
            'entry_hosts':
                self.state.entry_host_count,
            'servers':
                len(self.state.server_registry.listed_by_id),
            'config_version':
                config.version if config else 0,
            'crashes_known':
                len(self.state.evidence_log.known.crash_by_server),
            'parts_suspected':
                len(self.state.evidence_log.known.suspicion_by_part()),
            'servers_paused':
                self.state.server_statements.count_paused(
                    self._clock.monotonic()),
            'servers_warming':
                self.state.warming_servers.count,
            'data_centres_emptied':
                len(self.state.evacuations.data_centres),
            'hosts_that_know_evacuations':
                self._evacuation_listener.count_informed(
                    self._liveness.heartbeats()),
            'store_up':
                float(self._server_listener.contact.is_up),
            'ready':
                float(self.state.is_ready),
            'store_watcher':
                float(self._watch.is_watcher),
            **self._collect_client_gauges()
        }

    def _apply_caller_limits(self,
                             config: routing_config.RoutingConfig) -> None:
        limits = config.limits
        self._caller_server.set_limits(
            dataclasses.replace(self._caller_server.limits,
                                max_head_bytes=limits.max_header_bytes,
                                max_body_bytes=limits.max_body_bytes,
                                head_timeout_s=limits.header_timeout_s,
                                idle_timeout_s=limits.idle_timeout_s))

    def _make_server(
        self,
        address: str,
        handler: http_server.RequestHandler,
        limits: http_server.ServerLimits = _BODILESS_LIMITS
    ) -> http_server.HttpServer:
        host, port = process.split_address(address)
        return http_server.HttpServer(handler=handler,
                                      host=host,
                                      port=port,
                                      limits=limits,
                                      budget=self._client_budget)

    async def __aenter__(self) -> Self:
        settings = self._settings
        await super().__aenter__()
        ready = platform_handlers.ReadinessHandler(state=self.state)
        directory = platform_handlers.EntryAddressHandler(
            liveness=self._liveness, ttl_s=_ADDRESS_TTL_S)
        servers = [
            self._caller_server,
            self._make_server(settings.ready_address, ready),
            self._make_server(settings.directory_address, directory)
        ]
        if settings.control_address:
            servers.append(
                self._make_server(
                    settings.control_address, self._network,
                    http_server.ServerLimits(
                        max_body_bytes=peer_network.MAX_BODY_BYTES)))
        for server in servers:
            await self._exit_stack.enter_async_context(server)
        return self

    def background_work(self) -> dict[str, supervision.BackgroundWork]:
        config_follower = self._make_follower(wire_names.StoreTable.OPERATOR,
                                              self._operator_listener,
                                              _CONFIG_WATCH_TIMEOUT_S,
                                              _CONFIG_WATCH_PAUSE_S)
        server_follower = self._make_follower(wire_names.StoreTable.SERVERS,
                                              self._server_listener,
                                              _SERVERS_WATCH_TIMEOUT_S,
                                              _SERVERS_WATCH_PAUSE_S)
        return {
            'follow configuration':
                config_follower.run,
            'follow servers':
                server_follower.run,
            'apply configuration':
                self.config_listener.run,
            **self._host_work(), 'watch silent servers':
                self._forwarder.watch_silent_servers,
            'exchange heartbeats':
                self._peers.run,
            'watch store':
                self._watch.run,
            'exchange evidence':
                self._evidence_exchange.run,
            'watch groups':
                self._pace_watch.run,
            'plan spill':
                self._spill_planner.run,
            'store evidence':
                self._evidence_store.run,
            'clean up':
                self._clean_up
        }

    async def _clean_up(self) -> None:
        """Forgets what is over, until cancelled."""
        while True:
            await self._clock.sleep(_CLEAN_UP_INTERVAL_S)
            self._warm_up.drop_warm()
            self._permits.drop_idle()

    async def shut_down(self) -> None:
        """Announces the shutdown and waits until the responses are sent."""
        started_at = self._clock.monotonic()
        self.state.shutdown_began_at = started_at
        self._caller_server.disable_keep_alive()
        self._peers.send_heartbeat()
        self.log.write(log_events.LogEvent.STOPPING,
                       in_progress=self._caller_handler.in_progress)
        unsent_responses = graceful_shutdown.UnsentResponses()
        while not graceful_shutdown.may_exit(
                self._shutdown_plan,
                self._clock.monotonic() - started_at,
                self._caller_handler.in_progress + unsent_responses.update(
                    self._clock.monotonic(),
                    self._caller_server.unsent_bytes_by_id)):
            await self._clock.sleep(_SHUTDOWN_CHECK_INTERVAL_S)
        self.log.write(log_events.LogEvent.STOPPED,
                       cut=self._caller_handler.in_progress)

    def reload(self) -> None:
        """Reloads the settings; only the seeds take effect without a restart.

        Logs the names of the changed fields, or the error.
        """
        try:
            new_settings = process_settings.load()
        except process_settings.SettingsError as error:
            self.log.write(log_events.LogEvent.RELOADED, error=str(error))
            return
        changed = [
            field.name for field in dataclasses.fields(new_settings) if getattr(
                new_settings, field.name) != getattr(self._settings, field.name)
        ]
        self._settings = new_settings
        self._watch.seeds = new_settings.seeds
        self.log.write(log_events.LogEvent.RELOADED, changed=changed)


async def run() -> None:
    """Runs an entry host until SIGTERM or SIGINT."""
    settings = process_settings.load()
    await platform_role.serve(PlatformEntry(settings=settings,
                                            time=clock.SystemClock()),
                              callers=settings.caller_address,
                              data_centre=settings.data_centre)
