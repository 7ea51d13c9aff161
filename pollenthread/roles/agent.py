"""The process in the slot of an upstream host."""

import asyncio
import contextlib
from collections.abc import Mapping
from typing import Any

from pollenthread.adapters import (admin_http, clock, http_client, http_server,
                                   link as link_module, order_http,
                                   rank_engine_http, settings, table_http,
                                   upstream_http)
from pollenthread.app import (gate as gate_module, group_member, link_router,
                              order_gate)
from pollenthread.core import messages
from pollenthread.roles import process

__all__ = ['run']

_REPORT_INTERVAL_S = 0.25
_LEAVE_NOTICE_S = 2.0
_IDLE_CHECK_S = 0.05


async def run(config: settings.AgentSettings) -> None:
    """Runs until a stop is done."""
    agent = _AgentProcess(config=config)
    async with contextlib.AsyncExitStack() as stack:
        await agent.start(stack)
        await agent.stop_when_asked()


class _AgentProcess:
    """Owns the parts of an agent."""

    def __init__(self, *, config: settings.AgentSettings) -> None:
        self._config_listener = config
        self._signal = process.StopSignal()
        self._hello = messages.Hello(host=config.host,
                                     role='agent',
                                     incarnation=process.new_incarnation(),
                                     data_centre=config.data_centre,
                                     region=config.region,
                                     kind=config.upstream.kind,
                                     name=config.upstream.name,
                                     models=tuple(config.upstream.models))
        self._client = http_client.HttpClient()
        self._orders = order_gate.OrderGate(
            host=config.host,
            incarnation=self._hello.incarnation,
            table_service=table_http.HttpTable(client=self._client,
                                               address=config.platform.table),
            executor=order_http.HttpOrderExecutor(
                client=self._client, address=config.upstream.address),
            keys=config.key_ring)
        self._gate = gate_module.Gate(upstream=upstream_http.HttpUpstream(
            client=self._client, address=config.upstream.address),
                                      on_order=self._orders.on_order)
        self._group = (None if config.rank is None else self._join_group(
            config.rank))
        router = link_router.LinkRouter(gate=self._gate, group=self._group)
        self._rank_dialers = link_module.DialerSet(hello=self._hello,
                                                   handler=router)
        host, port = process.split_address(config.links)
        self._tls = config.link_tls()
        self._links = link_module.LinkServer(hello=self._hello,
                                             handler=router,
                                             host=host,
                                             port=port,
                                             tls=self._tls)
        host, port = process.split_address(config.admin)
        self._admin = http_server.HttpServer(handler=admin_http.AdminHandler(
            documents_by_path={'/status': self._status}),
                                             host=host,
                                             port=port)

    def _join_group(self,
                    rank: settings.RankSettings) -> group_member.GroupMember:
        place = group_member.Place(group=rank.group,
                                   index=rank.index,
                                   size=rank.size,
                                   host=self._config_listener.host)
        return group_member.GroupMember(
            place=place,
            engine=rank_engine_http.HttpRankEngine(client=self._client,
                                                   address=rank.address,
                                                   index=rank.index),
            table_service=table_http.HttpTable(
                client=self._client, address=self._config_listener.platform.table),
            time=clock.SystemClock(),
            keep_links=self._dial_ranks)

    async def _dial_ranks(self, address_by_host: Mapping[str, str]) -> None:
        await self._rank_dialers.keep(address_by_host)

    async def start(self, stack: contextlib.AsyncExitStack) -> None:
        """Starts the parts and says where they listen."""
        for owner in (self._client, self._links, self._admin,
                      self._rank_dialers):
            await stack.enter_async_context(owner)
        if self._group is not None:
            await stack.enter_async_context(self._group)
            announcing = self._group.announce(self._links.address)
            stack.callback(asyncio.create_task(announcing).cancel)
        stack.callback(asyncio.create_task(self._report()).cancel)
        if self._tls is not None:
            stack.callback(asyncio.create_task(self._tls.follow()).cancel)
        process.print_event({
            'event': 'ready',
            'role': 'agent',
            'host': self._config_listener.host,
            'links': self._links.address,
            'admin': self._admin.address
        })

    async def _report(self) -> None:
        while True:
            await asyncio.sleep(_REPORT_INTERVAL_S)
            self._gate.report_load()
            self._gate.report_unconfirmed()

    def _status(self) -> dict[str, Any]:
        return {
            'host': self._config_listener.host,
            'role': 'agent',
            'incarnation': self._hello.incarnation,
            'leaving': self._signal.graceful.is_set(),
            'running': self._gate.running,
            'queued': self._gate.queued,
            'limit': self._gate.limit,
            'begun': self._gate.begun_count,
            'unconfirmed': self._gate.unconfirmed,
            'rank': self._group.status() if self._group else None,
            'orders_running': self._orders.busy,
            'orders_refused': self._orders.refused_count
        }

    async def stop_when_asked(self) -> None:
        """Stops by plan: refuse new work, finish the work, then go."""
        await self._signal.graceful.wait()
        self._gate.leave(self._config_listener.host)
        if not await self._signal.wait_immediate(_LEAVE_NOTICE_S):
            while (self._gate.unfinished or self._gate.unconfirmed or
                   self._orders.busy):
                if await self._signal.wait_immediate(_IDLE_CHECK_S):
                    break
        cut = await self._gate.cancel_all()
        process.print_event({
            'event': 'stopped',
            'cut': len(cut),
            'cut_attempts': cut
        })
