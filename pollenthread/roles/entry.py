"""The process of an entry host."""

import asyncio
import contextlib
import random
import time as wall_time
from typing import Any

from pollenthread.adapters import (admin_http, caller_http, clock,
                                   host_list_http, http_client, http_server,
                                   link as link_module, settings, table_http)
from pollenthread.app import (account_keeper, claim_keeper, config_store,
                              directory, gateway, peers as peers_module, pool as
                              pool_module)
from pollenthread.core import account, ids, messages
from pollenthread.ports import link as link_port
from pollenthread.roles import process

__all__ = ['run']

_DIAL_INTERVAL_S = 0.2
_LEAVE_NOTICE_S = caller_http.ADDRESS_TTL_S + 1.0
_IDLE_CHECK_S = 0.05
_ACCOUNT_TIMEOUT_S = 5.0


async def run(config: settings.EntrySettings) -> None:
    """Runs until a stop is done."""
    entry = _Entry(config=config)
    async with contextlib.AsyncExitStack() as stack:
        await entry.start(stack)
        await entry.stop_when_asked()


class _Entry:
    """Owns the parts of an entry host."""

    def __init__(self, *, config: settings.EntrySettings) -> None:
        self._config = config
        self._signal = process.StopSignal()
        self._refusing = False
        self._hello = messages.Hello(host=config.host,
                                     role='entry',
                                     incarnation=process.new_incarnation(),
                                     data_centre=config.data_centre,
                                     region=config.region)
        self._tally = account.Tally()
        self._build_services()
        self._build_borders()

    def _build_services(self) -> None:
        time = clock.SystemClock()
        self._client = http_client.HttpClient()
        table = table_http.HttpTable(client=self._client,
                                     address=self._config.platform.table)
        self._targets = config_store.ConfigStore(table_service=table, time=time)
        self._directory = directory.Directory(hosts=host_list_http.HttpHostList(
            client=self._client, address=self._config.platform.host_list),
                                              time=time,
                                              own_host=self._config.host)
        self._pool = pool_module.Pool(data_centre=self._config.data_centre,
                                      region=self._config.region)
        self._peers = peers_module.Peers()
        self._peers.subscribe(messages.Leaving, self._on_peer_leaving)
        self._account = account_keeper.AccountKeeper(
            table_service=table,
            tally=self._tally,
            host=self._config.host,
            incarnation=self._hello.incarnation,
            time=time,
            wall=wall_time.time,
            interval_s=self._config.account_interval_s)
        keeper = claim_keeper.ClaimKeeper(table_service=table, pool=self._pool)
        self._gateway = gateway.Gateway(pool=self._pool,
                                        keeper=keeper,
                                        time=time,
                                        draw=random.Random())
        self._caller_handler = caller_http.CallerHandler(
            gate=self._gateway,
            config=self._targets,
            hosts=self._directory,
            request_ids=ids.IdSource(host=self._config.host,
                                     incarnation=self._hello.incarnation),
            time=time,
            tally=self._tally,
            is_refusing=lambda: self._refusing)

    def _build_borders(self) -> None:
        config = self._config
        host, port = process.split_address(config.callers)
        self._callers = http_server.HttpServer(handler=self._caller_handler,
                                               host=host,
                                               port=port)
        host, port = process.split_address(config.admin)
        self._admin = http_server.HttpServer(handler=admin_http.AdminHandler(
            documents_by_path={
                '/status': self._status,
                '/account': lambda: admin_http.account_rows(self._tally)
            }),
                                             host=host,
                                             port=port)
        host, port = process.split_address(config.links)
        self._links = link_module.LinkServer(hello=self._hello,
                                             handler=self._peers,
                                             host=host,
                                             port=port,
                                             config_version=self._version)
        self._upstream_dialers = link_module.DialerSet(
            hello=self._hello, handler=self._pool, config_version=self._version)
        self._peer_dialers = link_module.DialerSet(hello=self._hello,
                                                   handler=self._peers,
                                                   config_version=self._version)

    def _version(self) -> int:
        return self._targets.version

    async def start(self, stack: contextlib.AsyncExitStack) -> None:
        """Starts the parts and says where they listen."""
        for owner in (self._client, self._callers, self._admin, self._links,
                      self._upstream_dialers, self._peer_dialers):
            await stack.enter_async_context(owner)
        for work in (self._targets.poll(), self._directory.poll(),
                     self._keep_links(), self._account.run()):
            stack.callback(asyncio.create_task(work).cancel)
        process.announce({
            'event': 'ready',
            'role': 'entry',
            'host': self._config.host,
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
            await asyncio.sleep(_DIAL_INTERVAL_S)

    def _on_peer_leaving(self, _: link_port.Link,
                         message: messages.Leaving) -> None:
        self._directory.mark_leaving(message.host)

    def _status(self) -> dict[str, Any]:
        return {
            'host': self._config.host,
            'role': 'entry',
            'incarnation': self._hello.incarnation,
            'leaving': self._signal.planned.is_set(),
            'targets_version': self._targets.version,
            'targets_age_s': self._targets.age_s,
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
        await self._signal.planned.wait()
        self._directory.mark_leaving(self._config.host)
        self._peers.broadcast(messages.Leaving(self._config.host))
        if not await self._signal.wait_now(_LEAVE_NOTICE_S):
            self._refusing = True
            self._callers.stop_listening()
            while self._callers.busy or self._gateway.recordings:
                if await self._signal.wait_now(_IDLE_CHECK_S):
                    break
        await self._account.finish(_ACCOUNT_TIMEOUT_S)
        process.announce({'event': 'stopped', 'cut': self._callers.busy})
