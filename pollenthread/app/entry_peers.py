"""Exchanges heartbeats between entry hosts, and receives load from agents.

A heartbeat goes to the entry hosts of the own data centre, so that its cost
does not grow with the deployment. A watcher of the store also sends its
heartbeat to all entry hosts of its region, to the watchers of other regions and
to the agents of its data centre.
"""

import asyncio
import random
from collections.abc import Iterator, Mapping

from pollenthread.app import (config_listeners, entry_liveness, host_registry,
                              serving_state, snapshot_exchange, store_listeners,
                              store_watch)
from pollenthread.app.data_centres import (evacuation_listener as
                                           evacuation_listeners)
from pollenthread.core import (host_record, membership, peer_messages,
                               report_throttle, server_load)
from pollenthread.ports import clock, peers

__all__ = ['EntryPeers']

_HEARTBEAT_INTERVAL_S = 0.4
# Changes of the store within this time are told together.
_NEWS_DELAY_S = 0.02
_AGENT_HEARTBEAT_INTERVAL_S = 1.0
_USABLE_HOSTS_INTERVAL_S = 1.5
_MS_PER_S = 1000
_US_PER_S = 1e6


class EntryPeers:
    """Sends and receives the datagrams of an entry host."""

    def __init__(self, *, own: host_record.HostRecord,
                 hosts: host_registry.HostRegistry,
                 liveness: entry_liveness.EntryLiveness,
                 watch: store_watch.EntryStoreWatch,
                 exchange: snapshot_exchange.SnapshotExchange,
                 network: peers.PeerNetwork, state: serving_state.ServingState,
                 config_listener: config_listeners.ConfigListener,
                 server_listener: store_listeners.ServerListener,
                 evacuation_listener: evacuation_listeners.EvacuationListener,
                 region_by_data_centre: Mapping[str, str], time: clock.Clock,
                 rng: random.Random) -> None:
        self._own = own
        self._hosts = hosts
        self._liveness = liveness
        self._watch = watch
        self._exchange = exchange
        self._network = network
        self._state = state
        self._server_listener = server_listener
        self._evacuation_listener = evacuation_listener
        self._region_by_data_centre = region_by_data_centre
        self._clock = time
        self._rng = rng
        self._news = asyncio.Event()
        self._agents_throttle = report_throttle.ReportThrottle()
        self._usable_throttle = report_throttle.ReportThrottle()
        network.set_datagram_handler(peer_messages.EntryBeat,
                                     self._on_heartbeat)
        network.set_datagram_handler(peer_messages.UsableHosts,
                                     liveness.record_usable_hosts)
        network.set_datagram_handler(peer_messages.ServerLoad,
                                     self._on_server_load)
        network.set_snapshot_provider(exchange.make_snapshot)
        config_listener.applied_callbacks.append(lambda _: self._news.set())
        server_listener.changed_callbacks.append(self._news.set)
        evacuation_listener.changed_callbacks.append(lambda _: self._news.set())

    async def run(self) -> None:
        """Sends heartbeats until cancelled; at once when the store changed."""
        while True:
            self._liveness.drop_silent_hosts()
            self._watch.update()
            self._evacuation_listener.drop_expired()
            self.send_heartbeat()
            self._send_usable_hosts()
            try:
                async with asyncio.timeout(_HEARTBEAT_INTERVAL_S *
                                           self._rng.uniform(0.9, 1.1)):
                    await self._news.wait()
                    await self._clock.sleep(_NEWS_DELAY_S)
            except TimeoutError:
                pass
            self._news.clear()

    def _on_heartbeat(self, heartbeat: peer_messages.EntryBeat) -> None:
        self._liveness.record_heartbeat(heartbeat)
        self._evacuation_listener.record_heartbeat(heartbeat)
        self._watch.on_heartbeat(heartbeat)
        self._state.demand.record_heartbeat(heartbeat, self._clock.monotonic())

    def send_heartbeat(self) -> None:
        """Sends a heartbeat to the hosts that listen to this one."""
        heartbeat = self._evacuation_listener.add_to_heartbeat(
            self._make_heartbeat())
        self._network.send_all(
            (record.peer_address for record in self._listeners()), heartbeat)
        content = (heartbeat.config_version, heartbeat.hosts_era,
                   heartbeat.hosts_changed, heartbeat.evacuated)
        if self._watch.is_watcher and self._agents_throttle.is_due(
                content,
                self._clock.monotonic(),
                same_s=_AGENT_HEARTBEAT_INTERVAL_S,
                changed_s=0.0):
            self._network.send_all(
                (record.peer_address
                 for record in self._hosts.with_role(host_record.Role.AGENT)
                 if record.data_centre == self._own.data_centre), heartbeat)

    def _make_heartbeat(self) -> peer_messages.EntryBeat:
        config = self._state.config
        servers_version = self._server_listener.cache.changed_version
        hosts_version = self._hosts.cache.changed_version
        return peer_messages.EntryBeat(
            host=self._own.host,
            is_ready=self._state.is_ready,
            is_leaving=self._state.shutdown_began_at is not None,
            config_version=config.version if config else 0,
            store_age_ms=self._exchange.store_age_ms(),
            servers_changed=servers_version.counter,
            hosts_changed=hosts_version.counter,
            is_watcher=self._watch.is_watcher,
            is_store_up=self._watch.is_store_up,
            peer_address=self._own.peer_address,
            servers_era=servers_version.era,
            hosts_era=hosts_version.era,
            demand=self._state.demand.own_demand(self._clock.monotonic()))

    def _listeners(self) -> Iterator[host_record.HostRecord]:
        """Yields the entry hosts that get the heartbeats of this one."""
        is_watcher = self._watch.is_watcher
        far_watchers = self._far_watchers() if is_watcher else set()
        for record in self._liveness.other_records():
            if record.data_centre == self._own.data_centre or (
                    is_watcher and
                (self._is_in_own_region(record.data_centre) or
                 record.host in far_watchers)):
                yield record

    def _is_in_own_region(self, data_centre: str) -> bool:
        regions = self._region_by_data_centre
        return (regions.get(data_centre,
                            '') == regions.get(self._own.data_centre, ''))

    def _far_watchers(self) -> set[str]:
        """Returns the hosts of other regions that are or may be watchers."""
        members_by_data_centre: dict[str, list[membership.Member]] = {}
        for record in self._liveness.other_records():
            if not self._is_in_own_region(record.data_centre):
                members_by_data_centre.setdefault(
                    record.data_centre,
                    []).append(store_watch.to_member(record))
        found = {h.host for h in self._liveness.heartbeats() if h.is_watcher}
        for data_centre, members in members_by_data_centre.items():
            found |= membership.select_pollers(members, data_centre)
        return found

    def _send_usable_hosts(self) -> None:
        """Tells other data centres which hosts of this one callers can use."""
        if not self._watch.is_watcher:
            return
        usable = self._liveness.usable_hosts()
        if self._usable_throttle.is_due(usable,
                                        self._clock.monotonic(),
                                        same_s=_USABLE_HOSTS_INTERVAL_S,
                                        changed_s=0.0):
            self._network.send_all(
                (record.peer_address
                 for record in self._listeners()
                 if record.data_centre != self._own.data_centre), usable)

    def _on_server_load(self, load: peer_messages.ServerLoad) -> None:
        server = self._state.server_registry.record_start(
            load.address, load.born_ms)
        if server is None:
            return
        report = server_load.ServerLoadReport(
            running=load.running,
            waiting=load.waiting,
            slots=load.slots,
            stalled_s=load.stalled_ms / _MS_PER_S,
            accepts_requests=load.is_open,
            group=load.group,
            pass_s=load.pass_us / _US_PER_S,
            kv_tokens=load.kv_tokens,
            kv_capacity_tokens=load.kv_capacity_tokens,
            pace_percent=load.pace_percent)
        self._state.server_loads.record_report(server.id, report,
                                               self._clock.monotonic())
