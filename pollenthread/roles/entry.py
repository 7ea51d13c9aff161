"""The process of an entry host."""

import asyncio
import contextlib
import random
import time as wall_time
from typing import Any

from pollenthread.adapters import (admin_http, caller_http, clock,
                                   host_list_http, http_client, http_server,
                                   link as link_module, orders_admin, settings,
                                   table_http)
from pollenthread.app import (claim_keeper, claim_sweeper, config_spread,
                              config_store, directory, gateway, heartbeats,
                              lease_keeper, order_desk, order_journal, peers as
                              peers_module, pool as pool_module, write_batcher)
from pollenthread.core import ids, membership, messages, orders
from pollenthread.roles import entry_telemetry, process

__all__ = ['run']

_DIAL_INTERVAL_S = 0.2
_LEAVE_NOTICE_S = caller_http.ADDRESS_TTL_S + 1.0
_REFUSE_NOTICE_S = 1.0
_IDLE_CHECK_S = 0.05
_CLAIM_ROWS_PER_S = 300.0


async def run(config: settings.EntrySettings) -> None:
    """Runs until a stop is done."""
    entry = _EntryProcess(config=config)
    async with contextlib.AsyncExitStack() as stack:
        await entry.start(stack)
        await entry.stop_when_asked()


class _EntryProcess:
    """Owns the parts of an entry host."""

    def __init__(self, *, config: settings.EntrySettings) -> None:
        self._config_listener = config
        self._signal = process.StopSignal()
        self._refusing = False
        self._hello = messages.Hello(host=config.host,
                                     role='entry',
                                     incarnation=process.new_incarnation(),
                                     data_centre=config.data_centre,
                                     region=config.region)
        self._tls = config.link_tls()
        self._build_services()
        self._build_borders()

    def _build_services(self) -> None:
        time = clock.SystemClock()
        self._client = http_client.HttpClient()
        table = table_http.HttpTable(client=self._client,
                                     address=self._config_listener.platform.table)
        draw = random.Random()
        self._peers = peers_module.Peers()
        self._heartbeats = heartbeats.Heartbeats(own=self._hello,
                                                 peers=self._peers,
                                                 time=time)
        self._directory = directory.Directory(hosts=host_list_http.HttpHostList(
            client=self._client, address=self._config_listener.platform.host_list),
                                              time=time,
                                              own=self._member(),
                                              heartbeats=self._heartbeats)
        self._targets = config_store.ConfigStore(
            table_service=table, time=time, reachable=self._directory.reachable)
        self._spread = config_spread.ConfigSpread(store=self._targets,
                                                  peers=self._peers,
                                                  directory=self._directory,
                                                  time=time,
                                                  draw=draw)
        self._pool = pool_module.Pool(data_centre=self._config_listener.data_centre,
                                      region=self._config_listener.region)
        self._leases = lease_keeper.LeaseKeeper(
            table_service=table,
            directory=self._directory,
            time=time,
            host=self._config_listener.host,
            incarnation=self._hello.incarnation,
            duties=(*orders.all_duties(), claim_sweeper.SWEEP_DUTY))
        self._journal = order_journal.OrderJournal(table_service=table)
        self._desk = order_desk.OrderDesk(keeper=self._leases,
                                          journal=self._journal,
                                          pool=self._pool,
                                          peers=self._peers,
                                          directory=self._directory,
                                          keys=self._config_listener.key_ring)
        self._books = entry_telemetry.EntryTelemetry(
            config=self._config_listener,
            incarnation=self._hello.incarnation,
            client=self._client,
            table_service=table,
            time=time,
            store=self._targets,
            status=self._status,
            gauges=self._gauges)
        self._batcher = write_batcher.WriteBatcher(
            table_service=table, time=time, rows_per_s=self._claim_rows_per_s)
        self._sweeper = claim_sweeper.ClaimSweeper(table_service=table,
                                                   holds=self._holds,
                                                   wall=wall_time.time)
        keeper = claim_keeper.ClaimKeeper(
            table_service=self._batcher,
            pool=self._pool,
            want_upstream=self._directory.want_upstream,
            wall=wall_time.time)
        self._gateway = gateway.Gateway(pool=self._pool,
                                        keeper=keeper,
                                        time=time,
                                        draw=draw)
        self._caller_handler = caller_http.CallerHandler(
            gate=self._gateway,
            config=self._targets,
            hosts=self._directory,
            request_ids=ids.IdSource(host=self._config_listener.host,
                                     incarnation=self._hello.incarnation),
            time=time,
            tally=self._books.request_counter,
            is_refusing=lambda: self._refusing,
            observe=self._books.latencies.observe,
            tracer=self._books.tracer)

    def _member(self) -> membership.Member:
        return membership.Member(host=self._config_listener.host,
                                 data_centre=self._config_listener.data_centre,
                                 region=self._config_listener.region)

    def _holds(self, duty: str) -> bool:
        return self._leases.held(duty) is not None

    def _claim_rows_per_s(self) -> float:
        """This host's part of the writes that claims may use."""
        return _CLAIM_ROWS_PER_S / max(1, len(self._directory.entries()))

    def _build_borders(self) -> None:
        config = self._config_listener
        host, port = process.split_address(config.callers)
        self._callers = http_server.HttpServer(handler=self._caller_handler,
                                               host=host,
                                               port=port)
        host, port = process.split_address(config.admin)
        self._admin = http_server.HttpServer(handler=admin_http.AdminHandler(
            documents_by_path={
                '/status': self._status,
                '/account': lambda: admin_http.account_rows(self._books.request_counter)
            },
            handlers_by_root={
                **self._books.handlers_by_root, 'orders':
                    self._books.require_operator(
                        orders_admin.OrdersHandler(journal=self._journal,
                                                   desk=self._desk,
                                                   peers=self._peers))
            }),
                                             host=host,
                                             port=port)
        host, port = process.split_address(config.links)
        self._links = link_module.LinkServer(hello=self._hello,
                                             handler=self._peers,
                                             host=host,
                                             port=port,
                                             config_version=self._version,
                                             tls=self._tls)
        self._upstream_dialers = link_module.DialerSet(
            hello=self._hello,
            handler=self._pool,
            config_version=self._version,
            tls=self._tls)
        self._peer_dialers = link_module.DialerSet(hello=self._hello,
                                                   handler=self._peers,
                                                   config_version=self._version,
                                                   tls=self._tls)

    def _gauges(self) -> dict[str, float]:
        return {
            'targets_version': self._targets.version,
            'targets_age_s': self._targets.age_s or 0.0,
            'upstream_links': len(self._pool.by_host),
            'peer_links': len(self._peers.links_by_host),
            'caller_connections': self._callers.open_connections,
        }

    def _version(self) -> int:
        return self._targets.version

    async def start(self, stack: contextlib.AsyncExitStack) -> None:
        """Starts the parts and says where they listen."""
        for owner in (self._client, self._batcher, self._callers, self._admin,
                      self._links, self._upstream_dialers, self._peer_dialers):
            await stack.enter_async_context(owner)
        for work in (self._spread.run(), self._directory.poll(),
                     self._keep_links(), self._leases.run(), self._desk.run(),
                     self._sweeper.run(), self._books.run()):
            stack.callback(asyncio.create_task(work).cancel)
        if self._tls is not None:
            stack.callback(asyncio.create_task(self._tls.follow()).cancel)
        process.print_event({
            'event': 'ready',
            'role': 'entry',
            'host': self._config_listener.host,
            'callers': self._callers.address,
            'links': self._links.address,
            'admin': self._admin.address
        })

    async def _keep_links(self) -> None:
        """Keeps links to the listed upstreams and entry hosts."""
        while True:
            await self._upstream_dialers.keep(self._directory.upstreams())
            await self._peer_dialers.keep(self._directory.peers_to_dial())
            for name, upstream in self._pool.by_host.items():
                if self._directory.is_leaving(name):
                    upstream.leaving = True
            self._apply_draining()
            await asyncio.sleep(_DIAL_INTERVAL_S)

    def _apply_draining(self) -> None:
        current = self._targets.current
        if current is not None:
            self._pool.draining = current.draining
            self._directory.draining = current.draining

    def _status(self) -> dict[str, Any]:
        return {
            'host': self._config_listener.host,
            'role': 'entry',
            'incarnation': self._hello.incarnation,
            'leaving': self._signal.graceful.is_set(),
            'targets_version': self._targets.version,
            'targets_age_s': self._targets.age_s,
            'targets_permission': self._targets.permission,
            'is_poller': self._directory.is_poller,
            'entries': self._directory.view.state_by_host,
            'claim_rows': self._batcher.rows_count,
            'claim_transactions': self._batcher.transactions_count,
            'claims_refused': self._batcher.refused_count,
            'duties': self._leases.duties(),
            'duties_acquired': self._leases.acquired_count,
            'duties_lost': self._leases.lost_count,
            'membership_panic': self._directory.view.is_panic,
            'peers': sorted(self._peers.links_by_host),
            'upstreams': {
                name: {
                    'running': upstream.report.reading.running,
                    'queued': sum(upstream.report.reading.queued),
                    'leaving': upstream.leaving
                } for name, upstream in self._pool.by_host.items()
            }
        }

    async def stop_when_asked(self) -> None:
        """Stops by plan: leave the addresses, finish the work, then go."""
        await self._signal.graceful.wait()
        await self._leases.release_all()
        self._heartbeats.tell_own_leaving()
        self._directory.judge()
        self._callers.announce_leaving()
        await self._finish_requests()
        await self._books.flush()
        cut = sorted(self._caller_handler.open_requests)
        process.print_event({
            'event': 'stopped',
            'cut': len(cut),
            'cut_requests': cut
        })

    async def _finish_requests(self) -> None:
        """Waits out cached addresses, refuses, and finishes what runs."""
        if await self._signal.wait_immediate(_LEAVE_NOTICE_S):
            return
        self._refusing = True
        if await self._signal.wait_immediate(_REFUSE_NOTICE_S):
            return
        self._callers.stop_listening()
        while self._callers.busy or self._gateway.recordings:
            if await self._signal.wait_immediate(_IDLE_CHECK_S):
                return
