"""Entry host process."""

import asyncio
import contextlib
import random
import time as wall_time
from typing import Any

from pollenthread.adapters import (absl_log, admin_http, caller_http,
                                   client_budget, clock, host_list_http,
                                   http_client, http_server, link as
                                   link_module, orders_admin, settings,
                                   table_http)
from pollenthread.app import (claim_store, claim_sweeper, config_distributor,
                              config_store, directory, gateway, lease_manager,
                              liveness, order_issuer, order_journal, peer_links
                              as peers_module, upstream_pool as pool_module,
                              write_batcher)
from pollenthread.app.background import supervision
from pollenthread.core import ids, membership, messages, orders
from pollenthread.roles import entry_telemetry, process

__all__ = ['run']

_CONNECT_INTERVAL_S = 0.2
# Callers cache the address list for its time to live.
_DRAIN_NOTICE_S = caller_http.ADDRESS_TTL_S + 1.0
# New requests are rejected for this time before the port is closed.
_REJECT_NOTICE_S = 1.0
_IDLE_CHECK_INTERVAL_S = 0.05
# Limit for all entry hosts together.
_CLAIM_ROWS_PER_S = 300.0


async def run(config: settings.EntrySettings) -> None:
    """Runs an entry host until a stop signal has been handled."""
    entry_process = _EntryProcess(config=config)
    async with contextlib.AsyncExitStack() as stack:
        await entry_process.start(stack)
        await entry_process.stop_on_signal()


class _EntryProcess:
    """Assembles and owns the components of an entry host."""

    def __init__(self, *, config: settings.EntrySettings) -> None:
        self._config = config
        self._stop_signal = process.StopSignal()
        self._is_rejecting = False
        self._hello = messages.Hello(host=config.host,
                                     role='entry',
                                     incarnation=process.new_incarnation(),
                                     data_centre=config.data_centre,
                                     region=config.region)
        self._tls = config.load_link_tls()
        self._build_services()
        self._build_servers()

    def _build_services(self) -> None:
        time = clock.SystemClock()
        self._client = http_client.HttpClient()
        table = table_http.HttpTable(client=self._client,
                                     address=self._config.platform.table)
        rng = random.Random()
        self._peer_links = peers_module.PeerLinks()
        self._liveness_tracker = liveness.LivenessTracker(
            own=self._hello, peers=self._peer_links, time=time)
        self._host_directory = directory.HostDirectory(
            hosts=host_list_http.HttpHostList(
                client=self._client, address=self._config.platform.host_list),
            time=time,
            own=self._make_own_member(),
            liveness_tracker=self._liveness_tracker)
        self._config_store = config_store.ConfigStore(
            table_service=table,
            time=time,
            reachable=self._host_directory.reachability)
        self._config_distributor = config_distributor.ConfigDistributor(
            store=self._config_store,
            peers=self._peer_links,
            directory=self._host_directory,
            time=time,
            rng=rng)
        self._upstream_pool = pool_module.UpstreamPool(
            data_centre=self._config.data_centre, region=self._config.region)
        self._lease_manager = lease_manager.LeaseManager(
            table_service=table,
            directory=self._host_directory,
            time=time,
            host=self._config.host,
            incarnation=self._hello.incarnation,
            duties=(*orders.order_duties(), claim_sweeper.SWEEP_DUTY))
        self._order_journal = order_journal.OrderJournal(table_service=table)
        self._order_issuer = order_issuer.OrderIssuer(
            leases=self._lease_manager,
            journal=self._order_journal,
            pool=self._upstream_pool,
            peers=self._peer_links,
            directory=self._host_directory,
            keys=self._config.key_ring)
        self._telemetry = entry_telemetry.EntryTelemetry(
            config=self._config,
            incarnation=self._hello.incarnation,
            client=self._client,
            table_service=table,
            time=time,
            store=self._config_store,
            status=self._build_status,
            gauges=self._collect_gauges)
        self._write_batcher = write_batcher.WriteBatcher(
            table_service=table, time=time, rows_per_s=self._claim_rows_per_s)
        self._claim_sweeper = claim_sweeper.ClaimSweeper(
            table_service=table,
            holds_duty=self._holds_duty,
            wall_clock=wall_time.time)
        claims = claim_store.ClaimStore(
            table_service=self._write_batcher,
            pool=self._upstream_pool,
            request_link=self._host_directory.request_upstream_link,
            wall_clock=wall_time.time)
        self._gateway = gateway.Gateway(pool=self._upstream_pool,
                                        store=claims,
                                        time=time,
                                        rng=rng)
        self._caller_handler = caller_http.GatewayHandler(
            request_gateway=self._gateway,
            store=self._config_store,
            host_directory=self._host_directory,
            request_ids=ids.RequestIdGenerator(
                host=self._config.host, incarnation=self._hello.incarnation),
            time=time,
            request_counter=self._telemetry.request_counter,
            is_rejecting=lambda: self._is_rejecting,
            observe_latency=self._telemetry.latencies.observe,
            tracer=self._telemetry.tracer)

    def _make_own_member(self) -> membership.Member:
        return membership.Member(host=self._config.host,
                                 data_centre=self._config.data_centre,
                                 region=self._config.region)

    def _holds_duty(self, duty: str) -> bool:
        return self._lease_manager.held_lease(duty) is not None

    def _claim_rows_per_s(self) -> float:
        """Returns this host's share of the limit on claim writes."""
        return _CLAIM_ROWS_PER_S / max(
            1, len(self._host_directory.usable_entries()))

    def _build_servers(self) -> None:
        config = self._config
        host, port = process.split_address(config.callers)
        budget = client_budget.ClientBudget()
        self._caller_server = http_server.HttpServer(
            handler=self._caller_handler, host=host, port=port, budget=budget)
        host, port = process.split_address(config.admin)
        self._admin_server = http_server.HttpServer(
            handler=admin_http.AdminRouter(
                document_sources_by_path={
                    '/status':
                        self._build_status,
                    '/account':
                        lambda: admin_http.account_rows(self._telemetry.
                                                        request_counter)
                },
                handlers_by_root={
                    **self._telemetry.handlers_by_root, 'orders':
                        self._telemetry.require_operator(
                            orders_admin.OrdersHandler(
                                journal=self._order_journal,
                                issuer=self._order_issuer,
                                peers=self._peer_links))
                }),
            host=host,
            port=port,
            budget=budget)
        host, port = process.split_address(config.links)
        self._link_server = link_module.LinkServer(
            hello=self._hello,
            handler=self._peer_links,
            host=host,
            port=port,
            config_version=self._get_config_version,
            tls=self._tls)
        self._upstream_dialers = link_module.DialerSet(
            hello=self._hello,
            handler=self._upstream_pool,
            config_version=self._get_config_version,
            tls=self._tls)
        self._peer_dialers = link_module.DialerSet(
            hello=self._hello,
            handler=self._peer_links,
            config_version=self._get_config_version,
            tls=self._tls)

    def _collect_gauges(self) -> dict[str, float]:
        return {
            'targets_version': self._config_store.version,
            'targets_age_s': self._config_store.age_s or 0.0,
            'upstream_links': len(self._upstream_pool.by_host),
            'peer_links': len(self._peer_links.links_by_host),
            'caller_connections': self._caller_server.open_connections,
        }

    def _get_config_version(self) -> int:
        return self._config_store.version

    def _background_work(self) -> dict[str, supervision.BackgroundWork]:
        work: dict[str, supervision.BackgroundWork] = {
            'distribute targets': self._config_distributor.run,
            'poll host list': self._host_directory.poll,
            'maintain links': self._maintain_links,
            'renew leases': self._lease_manager.run,
            'issue orders': self._order_issuer.run,
            'sweep claims': self._claim_sweeper.run,
            **self._telemetry.background_work()
        }
        if self._tls is not None:
            work['watch certificates'] = self._tls.watch_files
        return work

    async def start(self, stack: contextlib.AsyncExitStack) -> None:
        """Starts the components and prints the addresses they listen on.

        Args:
            stack: exit stack that stops the components again.
        """
        for resource in (self._client, self._write_batcher, self._caller_server,
                         self._admin_server, self._link_server,
                         self._upstream_dialers, self._peer_dialers):
            await stack.enter_async_context(resource)
        supervisor = await stack.enter_async_context(
            supervision.TaskSupervisor(log=absl_log.AbslLog()))
        for name, work in self._background_work().items():
            supervisor.start(name, work)
        process.print_event({
            'event': 'ready',
            'role': 'entry',
            'host': self._config.host,
            'callers': self._caller_server.address,
            'links': self._link_server.address,
            'admin': self._admin_server.address
        })

    async def _maintain_links(self) -> None:
        """Connects to the listed upstreams and entry hosts periodically."""
        while True:
            await self._upstream_dialers.set_addresses(
                self._host_directory.upstream_addresses())
            await self._peer_dialers.set_addresses(
                self._host_directory.peers_to_dial())
            for name, upstream in self._upstream_pool.by_host.items():
                if self._host_directory.is_leaving(name):
                    upstream.is_leaving = True
            self._apply_drained_hosts()
            await asyncio.sleep(_CONNECT_INTERVAL_S)

    def _apply_drained_hosts(self) -> None:
        current = self._config_store.current
        if current is not None:
            self._upstream_pool.draining = current.draining
            self._upstream_pool.emptied_data_centres = (
                current.emptied_data_centres)
            self._host_directory.draining = current.draining

    def _build_status(self) -> dict[str, Any]:
        return {
            'host':
                self._config.host,
            'role':
                'entry',
            'incarnation':
                self._hello.incarnation,
            'leaving':
                self._stop_signal.graceful.is_set(),
            'targets_version':
                self._config_store.version,
            'targets_age_s':
                self._config_store.age_s,
            'targets_permission':
                self._config_store.permission,
            'is_poller':
                self._host_directory.is_poller,
            'entries':
                self._host_directory.membership_view.state_by_host,
            'claim_rows':
                self._write_batcher.rows_count,
            'claim_transactions':
                self._write_batcher.transactions_count,
            'claims_refused':
                self._write_batcher.rejected_count,
            'duties':
                self._lease_manager.held_duties(),
            'duties_acquired':
                self._lease_manager.acquired_count,
            'duties_lost':
                self._lease_manager.lost_count,
            'membership_panic':
                self._host_directory.membership_view.is_panic,
            'peers':
                sorted(self._peer_links.links_by_host),
            'emptied_data_centres':
                sorted(self._upstream_pool.emptied_data_centres),
            'upstreams': {
                name: {
                    'running': upstream.load_report.load.running,
                    'queued': sum(upstream.load_report.load.queued),
                    'leaving': upstream.is_leaving
                } for name, upstream in self._upstream_pool.by_host.items()
            }
        }

    async def stop_on_signal(self) -> None:
        """Waits for a stop signal, then shuts down gracefully.

        Releases the leases, withdraws this host from the address list of
        callers, and finishes the running requests.
        """
        await self._stop_signal.graceful.wait()
        await self._lease_manager.release_all()
        self._liveness_tracker.announce_shutdown()
        self._host_directory.update_states()
        self._caller_server.disable_keep_alive()
        await self._finish_requests()
        await self._telemetry.flush()
        cancelled = sorted(self._caller_handler.open_requests)
        process.print_event({
            'event': 'stopped',
            'cut': len(cancelled),
            'cut_requests': cancelled
        })

    async def _finish_requests(self) -> None:
        """Waits until the running requests are done.

        Accepts requests until callers' cached addresses have expired, rejects
        new requests after that, and stops listening. A second stop signal ends
        the wait.
        """
        if await self._stop_signal.wait_immediate(_DRAIN_NOTICE_S):
            return
        self._is_rejecting = True
        if await self._stop_signal.wait_immediate(_REJECT_NOTICE_S):
            return
        self._caller_server.stop_listening()
        while (self._caller_server.busy_connections or
               self._gateway.pending_recordings):
            if await self._stop_signal.wait_immediate(_IDLE_CHECK_INTERVAL_S):
                return
