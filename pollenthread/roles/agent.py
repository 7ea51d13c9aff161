"""Agent process, which runs beside an upstream on the same host."""

import asyncio
import contextlib
from collections.abc import Mapping
from typing import Any

from pollenthread.adapters import (absl_log, admin_http, clock, http_client,
                                   http_server, link as link_module, order_http,
                                   rank_engine_http, settings, table_http,
                                   upstream_http)
from pollenthread.app import (attempt_manager, group_member, link_router,
                              order_dispatcher)
from pollenthread.app.background import supervision
from pollenthread.core import messages
from pollenthread.roles import process

__all__ = ['run']

_REPORT_INTERVAL_S = 0.25
# Time for entry hosts to stop sending attempts to this agent.
_DRAIN_NOTICE_S = 2.0
_IDLE_CHECK_INTERVAL_S = 0.05


async def run(config: settings.AgentSettings) -> None:
    """Runs an agent until a stop signal has been handled."""
    agent_process = _AgentProcess(config=config)
    async with contextlib.AsyncExitStack() as stack:
        await agent_process.start(stack)
        await agent_process.stop_on_signal()


class _AgentProcess:
    """Assembles and owns the components of an agent."""

    def __init__(self, *, config: settings.AgentSettings) -> None:
        self._config = config
        self._stop_signal = process.StopSignal()
        self._hello = messages.Hello(host=config.host,
                                     role='agent',
                                     incarnation=process.new_incarnation(),
                                     data_centre=config.data_centre,
                                     region=config.region,
                                     kind=config.upstream.kind,
                                     name=config.upstream.name,
                                     models=tuple(config.upstream.models))
        self._client = http_client.HttpClient()
        self._order_dispatcher = order_dispatcher.OrderDispatcher(
            host=config.host,
            incarnation=self._hello.incarnation,
            table_service=table_http.HttpTable(client=self._client,
                                               address=config.platform.table),
            executor=order_http.HttpOrderExecutor(
                client=self._client, address=config.upstream.address),
            keys=config.key_ring)
        self._attempt_manager = attempt_manager.AttemptManager(
            upstream=upstream_http.HttpLocalUpstream(
                client=self._client, address=config.upstream.address),
            on_order=self._order_dispatcher.on_order)
        self._group_member = (None if config.rank is None else
                              self._make_group_member(config.rank))
        router = link_router.LinkRouter(attempt_handler=self._attempt_manager,
                                        group=self._group_member)
        self._rank_dialers = link_module.DialerSet(hello=self._hello,
                                                   handler=router)
        host, port = process.split_address(config.links)
        self._tls = config.load_link_tls()
        self._link_server = link_module.LinkServer(hello=self._hello,
                                                   handler=router,
                                                   host=host,
                                                   port=port,
                                                   tls=self._tls)
        host, port = process.split_address(config.admin)
        self._admin_server = http_server.HttpServer(
            handler=admin_http.AdminRouter(
                document_sources_by_path={'/status': self._build_status}),
            host=host,
            port=port)

    def _make_group_member(
            self, rank: settings.RankSettings) -> group_member.GroupMember:
        identity = group_member.RankIdentity(group=rank.group,
                                             index=rank.index,
                                             size=rank.size,
                                             host=self._config.host)
        return group_member.GroupMember(
            identity=identity,
            engine=rank_engine_http.HttpRankEngine(client=self._client,
                                                   address=rank.address,
                                                   index=rank.index),
            table_service=table_http.HttpTable(
                client=self._client, address=self._config.platform.table),
            time=clock.SystemClock(),
            keep_links=self._connect_ranks)

    async def _connect_ranks(self, address_by_host: Mapping[str, str]) -> None:
        await self._rank_dialers.set_addresses(address_by_host)

    async def start(self, stack: contextlib.AsyncExitStack) -> None:
        """Starts the components and prints the addresses they listen on.

        Args:
            stack: exit stack that stops the components again.
        """
        for resource in (self._client, self._link_server, self._admin_server,
                         self._rank_dialers):
            await stack.enter_async_context(resource)
        if self._group_member is not None:
            await stack.enter_async_context(self._group_member)
            registration = self._group_member.publish_address(
                self._link_server.address)
            stack.callback(asyncio.create_task(registration).cancel)
        supervisor = await stack.enter_async_context(
            supervision.TaskSupervisor(log=absl_log.AbslLog()))
        supervisor.start('report load', self._report_periodically)
        if self._tls is not None:
            supervisor.start('watch certificates', self._tls.watch_files)
        process.print_event({
            'event': 'ready',
            'role': 'agent',
            'host': self._config.host,
            'links': self._link_server.address,
            'admin': self._admin_server.address
        })

    async def _report_periodically(self) -> None:
        while True:
            await asyncio.sleep(_REPORT_INTERVAL_S)
            self._attempt_manager.broadcast_load()
            self._attempt_manager.report_unconfirmed()

    def _build_status(self) -> dict[str, Any]:
        return {
            'host': self._config.host,
            'role': 'agent',
            'incarnation': self._hello.incarnation,
            'leaving': self._stop_signal.graceful.is_set(),
            'running': self._attempt_manager.running,
            'queued': self._attempt_manager.queued,
            'limit': self._attempt_manager.concurrency_limit,
            'begun': self._attempt_manager.started_count,
            'unconfirmed': self._attempt_manager.unconfirmed,
            'rank': self._group_member.status() if self._group_member else None,
            'orders_running': self._order_dispatcher.running_count,
            'orders_refused': self._order_dispatcher.rejected_count
        }

    async def stop_on_signal(self) -> None:
        """Waits for a stop signal, then shuts down gracefully.

        Rejects new attempts, and waits until running attempts and orders are
        done and their results are confirmed. A second signal ends the wait.
        """
        await self._stop_signal.graceful.wait()
        self._attempt_manager.start_shutdown(self._config.host)
        if not await self._stop_signal.wait_immediate(_DRAIN_NOTICE_S):
            while (self._attempt_manager.unfinished or
                   self._attempt_manager.unconfirmed or
                   self._order_dispatcher.running_count):
                if await self._stop_signal.wait_immediate(_IDLE_CHECK_INTERVAL_S
                                                         ):
                    break
        cancelled = await self._attempt_manager.cancel_all()
        process.print_event({
            'event': 'stopped',
            'cut': len(cancelled),
            'cut_attempts': cancelled
        })
