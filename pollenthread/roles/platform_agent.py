"""The agent beside a model server on the prepared platform."""

import asyncio
import contextlib
import random
import signal
import types
from typing import Self

from pollenthread.adapters import (clock, http_client, json_log, peer_network,
                                   platform_metrics)
from pollenthread.app import (group_view, knowledge, map_duty, rank_agent,
                              roster, serving_state, stall_watch,
                              store_follower, switch_driver)
from pollenthread.core import host_record, log_events, routing_config
from pollenthread.platform import (config_document, names, process_settings,
                                   rank_server_http, row_store_http)
from pollenthread.roles import process

__all__ = ['run']

_CONFIG_WAIT_S = 20.0
_CONFIG_PAUSE_S = 0.5
_HOSTS_WAIT_S = 20.0
_HOSTS_PAUSE_S = 0.5
_FIGURES_CHECK_S = 0.25
_CONNECT_TIMEOUT_S = 0.4


class _Agent:
    """Wires an agent; a context manager that owns its servers."""

    def __init__(self, *, settings: process_settings.ProcessSettings) -> None:
        self._settings = settings
        self._stack = contextlib.AsyncExitStack()
        self._rng = random.Random(settings.host)
        self._clock = clock.SystemClock()
        self.log = json_log.JsonLog(host=settings.host)
        self._clients = {
            name: http_client.HttpClient(connect_timeout_s=_CONNECT_TIMEOUT_S)
            for name in ('store', 'peers', 'engine')
        }
        self._store = row_store_http.HttpRowStore(
            client=self._clients['store'], address=settings.store_address)
        self._network = peer_network.HttpPeerNetwork(
            client=self._clients['peers'],
            host=settings.ip,
            port=settings.peer_ports[0])
        self._own = host_record.HostRecord(
            host=settings.host,
            role=host_record.Role.AGENT,
            data_centre=settings.data_centre,
            peer_address=f'{settings.ip}:{settings.peer_ports[0]}',
            engine_address=settings.engine_address,
            service=settings.engine_service)
        self._hosts = roster.Roster()
        self._state = serving_state.ServingState(
            data_centre=settings.data_centre,
            retry_bounds=serving_state.RetryBounds(0.0, 0.0, 1.0),
            return_s=0.0,
            rng=self._rng)
        self._config = knowledge.ConfigListener(
            state=self._state,
            time=self._clock,
            log=self.log,
            table=names.Table.OPERATOR,
            key=names.Table.CONFIG_KEY,
            decode=config_document.decode_result)
        self._book = group_view.GroupBook(network=self._network,
                                          time=self._clock)
        self._agent = rank_agent.RankAgent(own=self._own,
                                           slots=1,
                                           server=self._server_at(
                                               settings.engine_address),
                                           hosts=self._hosts,
                                           book=self._book,
                                           network=self._network,
                                           time=self._clock)
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
        found: dict[str, float] = {'log_lines_dropped': self.log.dropped}
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
        return {
            f'skew_{group.replace("-", "_")}': duty.account.skew
            for group, duty in self._duties_by_group.items()
        }

    def _make_driver(self,
                     view: group_view.GroupView) -> switch_driver.SwitchDriver:
        return switch_driver.SwitchDriver(hosts=self._hosts,
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
                                hosts=self._hosts,
                                book=self._book,
                                view=view,
                                driver=self._make_driver(view),
                                network=self._network,
                                figures=self._figures,
                                time=self._clock,
                                log=self.log)

    def _figures(self, service: str) -> routing_config.EngineFigures | None:
        """The figures of a service by the newest configuration."""
        config = self._state.config
        found = config.services_by_name.get(service) if config else None
        return found.engine if found is not None else None

    def _server_at(self, address: str) -> rank_server_http.HttpRankServer:
        return rank_server_http.HttpRankServer(client=self._clients['engine'],
                                               address=address)

    async def __aenter__(self) -> Self:
        await self._stack.__aenter__()
        for client in self._clients.values():
            await self._stack.enter_async_context(client)
        await self._stack.enter_async_context(self._network)
        return self

    async def __aexit__(self, kind: type[BaseException] | None,
                        error: BaseException | None,
                        trace: types.TracebackType | None) -> None:
        await self._stack.__aexit__(kind, error, trace)

    def _follower(self, table: str, listener: store_follower.TableListener,
                  wait_s: float,
                  pause_s: float) -> store_follower.StoreFollower:
        return store_follower.StoreFollower(store=self._store,
                                            table=table,
                                            listener=listener,
                                            time=self._clock,
                                            wait_s=wait_s,
                                            pause_s=pause_s,
                                            rng=self._rng)

    def reload(self) -> None:
        """Says that nothing an agent uses can change while it runs."""
        self.log.write(log_events.LogEvent.RELOADED, changed=[])

    async def work(self) -> None:
        """Watches the server and does the group's duty until cancelled."""
        config = self._follower(names.Table.OPERATOR, self._config,
                                _CONFIG_WAIT_S, _CONFIG_PAUSE_S)
        hosts = self._follower(roster.TABLE, self._hosts, _HOSTS_WAIT_S,
                               _HOSTS_PAUSE_S)
        async with asyncio.TaskGroup() as group:
            group.create_task(config.run())
            group.create_task(hosts.run())
            group.create_task(
                roster.register(store=self._store,
                                time=self._clock,
                                roster=self._hosts,
                                record=self._own))
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
    stop = process.StopSignal()
    async with _Agent(settings=settings) as agent:
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, agent.reload)
        agent.log.write(log_events.LogEvent.STARTED,
                        engine=settings.engine_address,
                        service=settings.engine_service)
        work = asyncio.create_task(agent.work())
        stopped = asyncio.create_task(stop.planned.wait())
        await asyncio.wait((work, stopped), return_when=asyncio.FIRST_COMPLETED)
        if work.done():
            work.result()
        work.cancel()
        agent.log.write(log_events.LogEvent.STOPPED)
