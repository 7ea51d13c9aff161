"""Steps for server lists fetched from peers, in virtual time."""

import asyncio
import random
from typing import Any

from behave import given, then, when
import result

from pollenthread.app import (config_listeners, entry_liveness, host_registry,
                              snapshot_exchange, store_listeners, store_watch)
from pollenthread.core import (host_record, peer_messages, routing_config,
                               store_version)
from tests.fakes import config_versions, forwarding, memory, virtual_time

_KNOWN_VERSION = 100
_HEARTBEAT_INTERVAL_S = 0.2


class _Network:
    """Records the peers asked for snapshots."""

    def __init__(self) -> None:
        self.fetched: list[str] = []

    async def fetch_snapshot(self, address: str, known: Any) -> None:
        del known
        self.fetched.append(address)


def _record(name: str) -> host_record.HostRecord:
    return host_record.HostRecord(host=name,
                                  role=host_record.Role.ENTRY,
                                  data_centre='dc',
                                  peer_address=f'{name}:1')


def _heartbeat(version: int) -> peer_messages.EntryBeat:
    return peer_messages.EntryBeat(host='other',
                                   is_ready=True,
                                   is_leaving=False,
                                   config_version=0,
                                   store_age_ms=0,
                                   servers_changed=version)


@given('an entry host that has just read from the store')
def step_read_host(context: Any) -> None:
    context.network = _Network()


@when('heartbeats of a peer carry a newer change of the servers for '
      '{seconds:f} s')
def step_newer_change(context: Any, seconds: float) -> None:
    virtual_time.run(_run_host(context.network, _KNOWN_VERSION + 5, seconds))


@when('heartbeats of a peer carry no newer change of the servers for '
      '{seconds:f} s')
def step_no_newer_change(context: Any, seconds: float) -> None:
    virtual_time.run(_run_host(context.network, _KNOWN_VERSION, seconds))


async def _run_host(network: _Network, version: int, seconds: float) -> None:
    time = virtual_time.LoopClock()
    state = forwarding.make_state(data_centre='dc')
    common: dict[str, Any] = {
        'state': state,
        'time': time,
        'log': memory.NullEventLog()
    }
    config = config_listeners.ConfigListener(
        table='op',
        key='config',
        decoder=config_versions.VersionDecoder(),
        **common)
    servers = store_listeners.ServerListener(
        table='servers', decode=lambda *_: result.Err('none'), **common)
    state.config = routing_config.RoutingConfig(
        version=1,
        routes_by_host={},
        services_by_name={},
        limits=routing_config.CallerLimits(),
        workspaces_by_api_key=None)
    for listener in (config, servers):
        listener.on_contact(store_version.StoreVersion(1, _KNOWN_VERSION))
    hosts = host_registry.HostRegistry()
    for name in ('own', 'other'):
        hosts.records_by_host[name] = _record(name)
    peer_network: Any = network
    liveness = entry_liveness.EntryLiveness(own=_record('own'),
                                            hosts=hosts,
                                            state=state,
                                            time=time,
                                            log=memory.NullEventLog())
    exchange = snapshot_exchange.SnapshotExchange(network=peer_network,
                                                  hosts=hosts,
                                                  config_listener=config,
                                                  server_listener=servers,
                                                  time=time,
                                                  log=memory.NullEventLog())
    watch = store_watch.EntryStoreWatch(own=_record('own'),
                                        hosts=hosts,
                                        liveness=liveness,
                                        seeds=(),
                                        exchange=exchange,
                                        state=state,
                                        config_listener=config,
                                        server_listener=servers,
                                        time=time,
                                        rng=random.Random(1))
    fetching = asyncio.create_task(watch.run())
    for _ in range(round(seconds / _HEARTBEAT_INTERVAL_S)):
        liveness.record_heartbeat(_heartbeat(version))
        watch.on_heartbeat(_heartbeat(version))
        await asyncio.sleep(_HEARTBEAT_INTERVAL_S)
    assert not fetching.done(), fetching
    fetching.cancel()


@then('the host fetched a snapshot from the peer')
def step_fetched(context: Any) -> None:
    assert 'other:1' in context.network.fetched, context.network.fetched


@then('the host fetched no snapshot')
def step_not_fetched(context: Any) -> None:
    assert not context.network.fetched, context.network.fetched
