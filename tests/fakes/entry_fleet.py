"""Emulates entry hosts that share a store, in virtual time.

Datagrams between hosts that reach each other arrive after a short delay, or
when the links have transmitted them if the fleet has links. Each host has the
parts that follow the store and exchange its content. Agents have those that get
the configuration and the hosts.
"""

import asyncio
import collections
import dataclasses
import random
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

import result

from pollenthread.adapters import peer_codec
from pollenthread.app import (config_listeners, entry_liveness, entry_peers,
                              evidence_exchange, evidence_store, host_registry,
                              rate_permits, serving_state, snapshot_exchange,
                              store_follower, store_listeners, store_watch)
from pollenthread.app.store import listener_group
from pollenthread.app.data_centres import evacuation_listener
from pollenthread.core import host_record, peer_messages, server_registry
from pollenthread.platform import evacuation_row
from pollenthread.ports import peers
from tests.fakes import (config_versions, fleet_links, fleet_store, memory,
                         virtual_time)

__all__ = ['AgentHost', 'EntryFleet', 'EntryHost']

SERVERS_TABLE = 'servers'
CONFIG_TABLE = 'op'
CONFIG_KEY = 'config'
_DATAGRAM_DELAY_S = 0.001
_CALL_DURATION_S = 0.004
_CALL_TIMEOUT_S = 1.0
_RESPONSE_TIMEOUT_S = 0.8


class _Network(peers.PeerNetwork):
    """Delivers datagrams and snapshots between hosts that are not frozen."""

    def __init__(self, fleet: 'EntryFleet', address: str) -> None:
        self._fleet = fleet
        self._address = address
        self.handler_by_type: dict[type[Any], Callable[[Any], None]] = {}
        self.provider: peers.SnapshotProvider | None = None

    def set_datagram_handler(self, message_type: type[Any],
                             handler: Callable[[Any], None]) -> None:
        self.handler_by_type[message_type] = handler

    def send_all(self, addresses: Iterable[str], message: Any) -> bool:
        data = peer_codec.encode_datagram(message)
        for address in addresses:
            self._fleet.deliver(self._address, address, data)
        return True

    def set_snapshot_provider(self, provider: peers.SnapshotProvider) -> None:
        self.provider = provider

    async def fetch_snapshot(
            self, address: str, known: peer_messages.SnapshotRequest
    ) -> peer_messages.Snapshot | None:
        await asyncio.sleep(_CALL_DURATION_S)
        receiver = self._fleet.network_at(address)
        if receiver is None or receiver.provider is None:
            await asyncio.sleep(_CALL_TIMEOUT_S)
            return None
        known = peer_codec.decode(peer_messages.SnapshotRequest,
                                  peer_codec.encode(known))
        snapshot = receiver.provider(known)
        if snapshot is None:
            return None
        data = peer_codec.encode(snapshot)
        self._fleet.count_fetch(self._address, address)
        if self._fleet.links is not None:
            try:
                await self._fleet.links.transfer(
                    address,
                    self._address,
                    len(data),
                    stall_timeout_s=_RESPONSE_TIMEOUT_S)
            except TimeoutError:
                return None
        return peer_codec.decode(peer_messages.Snapshot, data)

    def set_rank_state_provider(
        self,
        provider: Callable[[],
                           Awaitable[peer_messages.RankState | None]]) -> None:
        return

    async def fetch_rank_state(self,
                               address: str) -> peer_messages.RankState | None:
        return None

    def set_rank_layout_provider(
        self,
        provider: Callable[[],
                           Awaitable[peer_messages.RankLayout | None]]) -> None:
        return

    async def fetch_rank_layout(
            self, address: str) -> peer_messages.RankLayout | None:
        return None


def _decode_server(key: str,
                   data: bytes) -> result.Result[server_registry.Server, str]:
    """Decodes a server whose entry is its state and, after '@', its start."""
    state, _, born_ms = data.decode().partition('@')
    return result.Ok(
        server_registry.Server(id=key,
                               service='llm',
                               address=f'{key}:1',
                               data_centre='dc-0',
                               slots=6,
                               state=server_registry.ServerState(state),
                               born_ms=int(born_ms or 0)))


@dataclasses.dataclass
class EntryHost:
    """One emulated entry host.

    Attributes:
        record: its registration.
        state: configuration and servers that it knows.
        watch: its part in following the store.
        liveness: the entry hosts that it knows.
        permits: permits for servers that limit their request rate.
        tasks: the tasks of the host.
    """

    record: host_record.HostRecord
    state: serving_state.ServingState
    watch: store_watch.EntryStoreWatch
    liveness: entry_liveness.EntryLiveness
    permits: rate_permits.RatePermits
    tasks: list[asyncio.Task[None]]


@dataclasses.dataclass
class AgentHost:
    """One emulated agent.

    Attributes:
        record: its registration.
        state: the configuration that it knows.
        tasks: the tasks of the agent.
    """

    record: host_record.HostRecord
    state: serving_state.ServingState
    tasks: list[asyncio.Task[None]]


class EntryFleet:
    """Entry hosts in several data centres of one region, and agents.

    Attributes:
        store: the store that they share.
        host_by_name: the entry hosts.
        agent_by_name: the agents.
        links: the links of all hosts; None if data arrives at once.
        lost_every: the inverse share of datagrams that are lost; 0 for none.
        datagrams: the number of delivered datagrams.
        fetches: the number of snapshots, by whether they came from the own data
            centre.
        log: the events of the entry hosts.
    """

    def __init__(self,
                 *,
                 data_centres: int,
                 hosts_per_data_centre: int,
                 seed: int,
                 links: fleet_links.FleetLinks | None = None) -> None:
        self.store = fleet_store.FleetStore()
        self.host_by_name: dict[str, EntryHost] = {}
        self.agent_by_name: dict[str, AgentHost] = {}
        self.links = links
        self.lost_every = 0
        self.datagrams = 0
        self.fetches: collections.Counter[bool] = collections.Counter()
        self.log = memory.CountingEventLog()
        self._frozen_addresses: set[str] = set()
        self._network_by_address: dict[str, _Network] = {}
        self._rng = random.Random(seed)
        self._records = [
            host_record.HostRecord(host=f'edge-{centre}-{number}',
                                   role=host_record.Role.ENTRY,
                                   data_centre=f'dc-{centre}',
                                   peer_address=f'10.{centre}.0.{number}:1',
                                   caller_address=f'10.{centre}.0.{number}:2')
            for centre in range(data_centres)
            for number in range(hosts_per_data_centre)
        ]

    def start(self) -> None:
        """Starts all hosts."""
        for record in self._records:
            self.start_host(record)

    def start_host(self, record: host_record.HostRecord) -> None:
        """Starts a host that knows nothing yet; replaces one of its name."""
        time = virtual_time.LoopClock()
        log = self.log
        rng = random.Random(self._rng.random())
        network = _Network(self, record.peer_address)
        self._network_by_address[record.peer_address] = network
        state = serving_state.ServingState(
            data_centre=record.data_centre,
            retry_settings=serving_state.RetryBudgetSettings(0.2, 94.0, 10.0),
            return_s=2.2,
            rng=rng)
        hosts = host_registry.HostRegistry()
        config = config_listeners.ConfigListener(
            state=state,
            time=time,
            log=log,
            table=CONFIG_TABLE,
            key=CONFIG_KEY,
            decoder=config_versions.VersionDecoder())
        servers = store_listeners.ServerListener(state=state,
                                                 time=time,
                                                 log=log,
                                                 table=SERVERS_TABLE,
                                                 decode=_decode_server)
        evacuations = evacuation_listener.EvacuationListener(
            state=state,
            time=time,
            log=log,
            decode_key=evacuation_row.decode_key)
        operator = listener_group.ListenerGroup(listeners=(config, evacuations))
        liveness = entry_liveness.EntryLiveness(own=record,
                                                hosts=hosts,
                                                state=state,
                                                time=time,
                                                log=log)
        exchange = snapshot_exchange.SnapshotExchange(network=network,
                                                      hosts=hosts,
                                                      config_listener=config,
                                                      server_listener=servers,
                                                      time=time,
                                                      log=log)
        watch = store_watch.EntryStoreWatch(
            own=record,
            liveness=liveness,
            hosts=hosts,
            seeds=[r.peer_address for r in self._records[:3]],
            exchange=exchange,
            state=state,
            config_listener=config,
            server_listener=servers,
            time=time,
            rng=rng)
        entry = entry_peers.EntryPeers(own=record,
                                       hosts=hosts,
                                       liveness=liveness,
                                       watch=watch,
                                       exchange=exchange,
                                       network=network,
                                       state=state,
                                       config_listener=config,
                                       server_listener=servers,
                                       evacuation_listener=evacuations,
                                       region_by_data_centre={},
                                       time=time,
                                       rng=rng)
        permits = rate_permits.SharedRatePermits(own=record,
                                                 liveness=liveness,
                                                 network=network,
                                                 state=state,
                                                 time=time,
                                                 log=log)
        store = self.store.client(record.host)
        followers = [
            store_follower.StoreFollower(store=store,
                                         table=table,
                                         listener=listener,
                                         time=time,
                                         wait_s=wait_s,
                                         pause_s=0.2,
                                         rng=rng,
                                         is_needed=lambda: watch.is_watcher)
            for table, listener, wait_s in ((CONFIG_TABLE, operator, 8.0),
                                            (SERVERS_TABLE, servers,
                                             1.5), (host_registry.HOSTS_TABLE,
                                                    hosts, 20.0))
        ]
        coroutines = [follower.run() for follower in followers]
        coroutines += [
            config.run(),
            watch.run(),
            entry.run(),
            evidence_exchange.EvidenceExchange(own=record,
                                               liveness=liveness,
                                               network=network,
                                               evidence=state.evidence_log,
                                               time=time,
                                               rng=rng).run(),
            evidence_store.EvidenceStore(store=store,
                                         evidence=state.evidence_log,
                                         is_watcher=lambda: watch.is_watcher,
                                         store_era=lambda: servers.version.era,
                                         time=time).run(),
            host_registry.keep_registered(store=store,
                                          time=time,
                                          registry=hosts,
                                          record=record)
        ]
        self.host_by_name[record.host] = EntryHost(
            record, state, watch, liveness, permits,
            [asyncio.create_task(coroutine) for coroutine in coroutines])

    def start_agent(self, record: host_record.HostRecord) -> None:
        """Starts an agent that knows nothing yet."""
        time = virtual_time.LoopClock()
        rng = random.Random(self._rng.random())
        network = _Network(self, record.peer_address)
        self._network_by_address[record.peer_address] = network
        state = serving_state.ServingState(
            data_centre=record.data_centre,
            retry_settings=serving_state.RetryBudgetSettings(0.0, 0.0, 1.0),
            return_s=0.0,
            rng=rng)
        hosts = host_registry.HostRegistry()
        config = config_listeners.ConfigListener(
            state=state,
            time=time,
            log=memory.NullEventLog(),
            table=CONFIG_TABLE,
            key=CONFIG_KEY,
            decoder=config_versions.VersionDecoder())
        watch = store_watch.AgentStoreWatch(
            hosts=hosts,
            exchange=snapshot_exchange.SnapshotExchange(
                network=network,
                hosts=hosts,
                config_listener=config,
                server_listener=None,
                time=time,
                log=memory.NullEventLog(),
                config_form=peer_messages.ConfigForm.SERVICES),
            config_listener=config,
            time=time,
            rng=rng)
        network.set_datagram_handler(peer_messages.EntryBeat,
                                     watch.on_heartbeat)
        store = self.store.client(record.host)
        coroutines = [
            store_follower.StoreFollower(
                store=store,
                table=table,
                listener=listener,
                time=time,
                wait_s=20.0,
                pause_s=0.5,
                rng=rng,
                is_needed=lambda: watch.is_watcher).run()
            for table, listener in ((CONFIG_TABLE, config),
                                    (host_registry.HOSTS_TABLE, hosts))
        ]
        coroutines += [
            config.run(),
            watch.run(),
            host_registry.keep_registered(store=store,
                                          time=time,
                                          registry=hosts,
                                          record=record)
        ]
        self.agent_by_name[record.host] = AgentHost(
            record, state,
            [asyncio.create_task(coroutine) for coroutine in coroutines])

    async def stop_agent(self, name: str) -> None:
        """Ends an agent's process."""
        agent = self.agent_by_name.pop(name)
        for task in agent.tasks:
            task.cancel()
        await asyncio.gather(*agent.tasks, return_exceptions=True)
        del self._network_by_address[agent.record.peer_address]

    async def stop_host(self, name: str) -> None:
        """Ends a host's process."""
        host = self.host_by_name.pop(name)
        for task in host.tasks:
            task.cancel()
        await asyncio.gather(*host.tasks, return_exceptions=True)
        del self._network_by_address[host.record.peer_address]

    def cut_off(self, name: str) -> None:
        """Cuts a host off from the store and from all other hosts."""
        self.store.rejected_hosts.add(name)
        self._frozen_addresses.add(self.host_by_name[name].record.peer_address)

    def watchers(self) -> list[str]:
        """Returns the names of the hosts that follow the store."""
        return [
            name for name, host in self.host_by_name.items()
            if host.watch.is_watcher
        ]

    def network_at(self, address: str) -> _Network | None:
        """Returns the network of a reachable host, or None."""
        if address in self._frozen_addresses:
            return None
        return self._network_by_address.get(address)

    def count_fetch(self, receiver: str, provider: str) -> None:
        """Counts a snapshot that a host gets from another one."""
        records = [host.record for host in self.host_by_name.values()]
        records += [agent.record for agent in self.agent_by_name.values()]
        data_centres = {
            record.data_centre
            for record in records
            if record.peer_address in (receiver, provider)
        }
        self.fetches[len(data_centres) == 1] += 1

    def deliver(self, source: str, target: str, data: bytes) -> None:
        """Delivers a datagram after a short delay."""
        if source in self._frozen_addresses:
            return
        if self.lost_every and not self._rng.randrange(self.lost_every):
            return
        delay_s = _DATAGRAM_DELAY_S
        if self.links is not None:
            delay_s = self.links.transmit(source, target, len(data))
        asyncio.get_running_loop().call_later(delay_s, self._receive, target,
                                              data)

    def _receive(self, target: str, data: bytes) -> None:
        network = self.network_at(target)
        if network is None:
            return
        self.datagrams += 1
        message = peer_codec.decode_datagram(data)
        handler = network.handler_by_type.get(type(message))
        if handler is not None:
            handler(message)
