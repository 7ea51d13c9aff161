"""Base class and main function of the processes on the users' platform."""

import abc
import asyncio
import contextlib
import functools
import random
import signal
import types
from typing import Any, Self

from pollenthread.adapters import (client_budget, http_client, json_log,
                                   peer_network)
from pollenthread.app import (config_listeners, host_registry, serving_state,
                              store_follower)
from pollenthread.app.store import listener_group
from pollenthread.app.background import supervision
from pollenthread.app.data_centres import evacuation_listener
from pollenthread.core import host_record, log_events
from pollenthread.core.clients import client_eviction
from pollenthread.platform import (config_document, evacuation_row,
                                   process_settings, row_store_http, wire_names)
from pollenthread.ports import clock as clock_port
from pollenthread.roles import process, reload_signal

__all__ = ['PlatformRole', 'peer_address', 'serve']

_HOSTS_WATCH_TIMEOUT_S = 20.0
_HOSTS_WATCH_PAUSE_S = 0.5
_PEER_CONNECT_TIMEOUT_S = 0.4
_STORE_CONNECT_TIMEOUT_S = 0.5


def peer_address(settings: process_settings.ProcessSettings) -> str:
    """Returns the address at which peers connect to a process."""
    return f'{settings.ip}:{settings.peer_ports[0]}'


class PlatformRole(abc.ABC):
    """Assembles a process; a context manager that owns clients and servers.

    Attributes:
        state: configuration, servers and load that the process has learned.
        log: structured log of the process.
        config_listener: applies the configuration.
    """

    def __init__(self, *, settings: process_settings.ProcessSettings,
                 own_record: host_record.HostRecord,
                 state: serving_state.ServingState, rng: random.Random,
                 time: clock_port.Clock) -> None:
        """Initializes the components; entering the context starts them.

        Args:
            settings: settings of the process.
            own_record: record under which this host is registered.
            state: serving state that configuration changes update.
            rng: random number generator, for example for retry delays.
            time: the clock.
        """
        self._settings = settings
        self._own_record = own_record
        self.state = state
        self._rng = rng
        self._exit_stack = contextlib.AsyncExitStack()
        self._clock = time
        self.log = json_log.JsonLog(host=settings.host)
        self._supervisor = supervision.TaskSupervisor(log=self.log)
        self._store_client = http_client.HttpClient(
            connect_timeout_s=_STORE_CONNECT_TIMEOUT_S)
        self._peer_client = http_client.HttpClient(
            connect_timeout_s=_PEER_CONNECT_TIMEOUT_S)
        self._server_client = http_client.HttpClient(
            connect_timeout_s=_PEER_CONNECT_TIMEOUT_S)
        self._store = row_store_http.HttpRowStore(
            client=self._store_client,
            address=settings.store_address,
            log=self.log)
        self._client_budget = client_budget.ClientBudget(
            client_eviction.derive_limits(int(settings.memory_bytes),
                                          settings.max_descriptors))
        self._network = peer_network.HttpPeerNetwork(
            client=self._peer_client,
            host=settings.ip,
            port=settings.peer_ports[0],
            budget=self._client_budget)
        self._host_registry = host_registry.HostRegistry()
        self.config_listener = config_listeners.ConfigListener(
            state=state,
            time=self._clock,
            log=self.log,
            table=wire_names.StoreTable.OPERATOR,
            key=wire_names.StoreTable.CONFIG_KEY,
            decoder=config_document.ConfigDocumentDecoder())
        self._evacuation_listener = evacuation_listener.EvacuationListener(
            state=state,
            time=self._clock,
            log=self.log,
            decode_key=evacuation_row.decode_key)
        self._operator_listener = listener_group.ListenerGroup(
            listeners=(self.config_listener, self._evacuation_listener))

    async def __aenter__(self) -> Self:
        await self._exit_stack.__aenter__()
        for client in (self._store_client, self._peer_client,
                       self._server_client):
            await self._exit_stack.enter_async_context(client)
        await self._exit_stack.enter_async_context(self._network)
        return self

    async def __aexit__(self, kind: type[BaseException] | None,
                        error: BaseException | None,
                        trace: types.TracebackType | None) -> None:
        await self._exit_stack.__aexit__(kind, error, trace)

    @property
    @abc.abstractmethod
    def _is_watcher(self) -> bool:
        """Whether this process follows the store itself now."""

    def _make_follower(self, table: str, listener: store_follower.TableListener,
                       wait_s: float,
                       pause_s: float) -> store_follower.StoreFollower:
        return store_follower.StoreFollower(
            store=self._store,
            table=table,
            listener=listener,
            time=self._clock,
            wait_s=wait_s,
            pause_s=pause_s,
            rng=self._rng,
            is_needed=lambda: self._must_follow(table))

    def _must_follow(self, table: str) -> bool:
        """Returns whether this host has to follow a table itself now."""
        del table
        return self._is_watcher

    def _host_work(self) -> dict[str, supervision.BackgroundWork]:
        """Returns the work that registers this host and follows the others."""
        follower = self._make_follower(host_registry.HOSTS_TABLE,
                                       self._host_registry,
                                       _HOSTS_WATCH_TIMEOUT_S,
                                       _HOSTS_WATCH_PAUSE_S)
        return {
            'follow hosts':
                follower.run,
            'register':
                functools.partial(host_registry.keep_registered,
                                  store=self._store,
                                  time=self._clock,
                                  registry=self._host_registry,
                                  record=self._own_record)
        }

    def _collect_peer_counters(self) -> dict[str, float]:
        """Returns the bytes sent to and received from peers by message kind."""
        return {
            f'peer_bytes_{direction}_'
            f'{kind.strip("/").replace("/", "_").lower()}':
                float(count)
            for direction, counts in (('sent',
                                       self._network.sent_bytes_by_kind),
                                      ('received',
                                       self._network.received_bytes_by_kind))
            for kind, count in counts.items()
        }

    def _collect_client_gauges(self) -> dict[str, float]:
        """Returns what the clients of this process hold."""
        return {
            'client_connections': self._client_budget.connections,
            'client_bytes': self._client_budget.total_bytes
        }

    def _collect_client_counters(self) -> dict[str, float]:
        """Returns the clients that had to release something, by what it was."""
        evictions = self._client_budget.evictions
        return {
            f'client_evictions_{name}': evictions[name]
            for name in ('connections', 'memory')
        }

    @abc.abstractmethod
    def background_work(self) -> dict[str, supervision.BackgroundWork]:
        """Returns the background tasks of the process, by name."""

    async def run(self) -> None:
        """Runs the background tasks until cancelled."""
        async with self._supervisor:
            for name, work in self.background_work().items():
                self._supervisor.start(name, work)
            await self._supervisor.wait()

    @abc.abstractmethod
    async def shut_down(self) -> None:
        """Shuts down gracefully, before the tasks are cancelled."""

    @abc.abstractmethod
    def reload(self) -> None:
        """Reloads the settings that can change while the process runs."""


async def serve(role: PlatformRole, **started_fields: Any) -> None:
    """Runs a process until SIGTERM or SIGINT; SIGHUP reloads its settings.

    Args:
        role: process to run; its context must not have been entered.
        **started_fields: fields of the log event for the start.
    """
    stop_signal = process.StopSignal()
    async with role:
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, role.reload)
        role.log.write(log_events.LogEvent.STARTED, **started_fields)
        if reload_signal.PENDING.take():
            role.reload()
        run_task = asyncio.create_task(role.run())
        stop_task = asyncio.create_task(stop_signal.graceful.wait())
        await asyncio.wait((run_task, stop_task),
                           return_when=asyncio.FIRST_COMPLETED)
        if run_task.done():
            run_task.result()
        await role.shut_down()
        run_task.cancel()
