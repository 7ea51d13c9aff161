"""Steps for entries of the store's tables that cannot be used."""

import asyncio
import json
from typing import Any

from behave import given, then, when

from pollenthread.adapters import (http_client, http_server, peer_codec,
                                   peer_network)
from pollenthread.app import (config_listeners, evidence_log, evidence_store,
                              host_registry, snapshot_exchange, store_listeners)
from pollenthread.core import (peer_messages, service_estimate, store_version)
from pollenthread.platform import (config_document, row_store_http, server_row)
from pollenthread.ports import row_store
from tests.fakes import (fleet_store, forwarding, memory, serving, virtual_time)

_NESTED = b'[' * 100_000
_SURROGATE = '\ud800'
_SOUND = {
    'service': 'llm',
    'address': '10.0.0.1:80',
    'zone': 'dc-0',
    'slots': 6,
    'state': 'ready',
    'born': 1_700_000_000_000
}
_ODD_SERVER_BY_NAME: dict[str, dict[str, Any]] = {
    'whose slots are a number of 400 digits': {
        'slots': 10**400
    },
    'whose slots are 70000000': {
        'slots': 70_000_000
    },
    'whose slots are -1': {
        'slots': -1
    },
    'whose start time is 2^70': {
        'born': 2**70,
        'address': _SOUND['address']
    },
    'whose start time is -10^30': {
        'born': -10**30
    },
    'whose service is a lone surrogate': {
        'service': _SURROGATE
    },
    'whose zone is a lone surrogate': {
        'zone': _SURROGATE
    },
    'whose port is 8_0': {
        'address': '10.0.0.2:8_0'
    },
    'whose port is 65536': {
        'address': '10.0.0.2:65536'
    },
    'whose port is in Arabic digits': {
        'address': '10.0.0.2:\u0663'
    },
    'whose address is a name': {
        'address': 'server:80'
    },
}
_HOST = {
    'host': 'odd',
    'role': 'entry',
    'data_centre': 'dc-0',
    'peer_address': '10.9.0.1:1',
    'caller_address': '10.9.0.1:2',
    'engine_address': '',
    'service': ''
}
_ODD_HOST_BY_NAME: dict[str, dict[str, str]] = {
    'whose port is 65536': {
        'peer_address': '10.9.0.1:65536'
    },
    'whose port is in Arabic digits': {
        'peer_address': '10.9.0.1:\u0663'
    },
    'whose address is a name': {
        'peer_address': 'odd:1'
    },
    'whose data centre is a lone surrogate': {
        'data_centre': _SURROGATE
    },
    'whose name is another one': {
        'host': 'edge-0-0'
    },
}
_VALID_CONFIG: dict[str, Any] = {
    'version': 1,
    'routes': [{
        'host': 'h',
        'path_prefix': '/',
        'kind': 'idempotent',
        'timeout_ms': 1000,
        'target_latency_ms': 500,
        'priority': 1,
        'service': 's'
    }],
    'services': [{
        'name': 's'
    }]
}
_NUMBER_BY_NAME = {'10^400': 10**400, '10^30': 10**30}


def _change(key: str, value: bytes, counter: int) -> row_store.RowChange:
    return row_store.RowChange(key, value,
                               store_version.StoreVersion(1, counter))


# Servers.


@given('a host that uses a sound server')
def step_host(context: Any) -> None:
    context.state = forwarding.make_state(data_centre='dc-0')
    context.servers = store_listeners.ServerListener(
        state=context.state,
        time=virtual_time.LoopClock(),
        log=memory.NullEventLog(),
        table='servers',
        decode=server_row.decode)
    virtual_time.run(
        _apply(context, _change('sound',
                                json.dumps(_SOUND).encode(), 1)))


async def _apply(context: Any, row: row_store.RowChange) -> None:
    context.servers.on_changes((row,))
    context.servers.on_contact(row.version)


@when('the store lists a server {entry}')
def step_odd_server(context: Any, entry: str) -> None:
    value = _NESTED
    if entry != 'that is very deeply nested':
        odd = {'address': '10.0.0.2:80', **_ODD_SERVER_BY_NAME.get(entry, {})}
        value = json.dumps({**_SOUND, **odd}).encode()
    virtual_time.run(_apply(context, _change('odd', value, 2)))


@then('only the sound server is used, and it gets the reports of its agent')
def step_only_sound(context: Any) -> None:
    registry = context.state.server_registry
    assert [s.id for s in registry.ready('llm')] == ['sound']
    found = registry.record_start(_SOUND['address'], _SOUND['born'])
    assert found is not None and found.id == 'sound', found


@then('requests are sent, and peers get the list')
def step_sent(context: Any) -> None:
    server = context.state.server_loads.select(
        context.state.server_registry.ready('llm'),
        excluded=(),
        data_centre='dc-0',
        requirements=service_estimate.RequestRequirements(time_left_s=8.0,
                                                          passes=20.0),
        hosts=3,
        now=0.0)
    assert server is not None and server.id == 'sound'
    exchange = snapshot_exchange.SnapshotExchange(
        network=_no_network(),
        hosts=host_registry.HostRegistry(),
        config_listener=config_listeners.ConfigListener(
            state=context.state,
            time=virtual_time.LoopClock(),
            log=memory.NullEventLog(),
            table='op',
            key='config',
            decoder=config_document.ConfigDocumentDecoder()),
        server_listener=context.servers,
        time=virtual_time.LoopClock(),
        log=memory.NullEventLog())

    async def encode() -> bytes:
        return peer_codec.encode(
            exchange.make_snapshot(peer_messages.SnapshotRequest()))

    snapshot = peer_codec.decode(peer_messages.Snapshot,
                                 virtual_time.run(encode()))
    assert 'sound' in {row.key for row in snapshot.rows}, snapshot


def _no_network() -> Any:
    return None


# Hosts.


@when('a host is registered {entry}')
def step_odd_host(context: Any, entry: str) -> None:
    value = _NESTED
    if entry != 'that is very deeply nested':
        value = json.dumps({**_HOST, **_ODD_HOST_BY_NAME[entry]}).encode()
    context.script.add(lambda: context.script.fleet.store.put(
        host_registry.HOSTS_TABLE, 'odd', value))


@then('no host knows a host named "odd" and all tasks run')
def step_no_odd_host(context: Any) -> None:
    script = context.script

    async def check() -> None:
        await asyncio.sleep(1.0)
        addresses = {
            host.record.peer_address
            for host in script.fleet.host_by_name.values()
        }
        for host in script.fleet.host_by_name.values():
            known = {r.peer_address for r in host.liveness.other_records()}
            assert known < addresses and len(known) == len(addresses) - 1, known
            assert not any(task.done() for task in host.tasks)

    script.run(check)


# Configurations.


@given('a valid configuration whose "{field}" is {value}')
def step_odd_config(context: Any, field: str, value: str) -> None:
    assert config_document.try_decode(
        json.dumps(_VALID_CONFIG).encode()).is_ok()
    document = json.loads(json.dumps(_VALID_CONFIG))
    target = document if field in document else document['routes'][0]
    target[field] = _NUMBER_BY_NAME[value]
    context.document = json.dumps(document).encode()


@then('it is rejected with a description')
def step_config_rejected(context: Any) -> None:
    found = config_document.try_decode(context.document)
    assert found.is_err() and found.unwrap_err(), found


# Messages.


@given('a peer network')
def step_network(context: Any) -> None:
    context.received = []


@when('a load with {first:d} running requests is sent, and then one with '
      '{second:d}')
def step_send_loads(context: Any, first: int, second: int) -> None:

    async def send() -> None:
        async with http_client.HttpClient() as client:
            async with peer_network.HttpPeerNetwork(client=client,
                                                    host='127.0.0.1',
                                                    port=0) as network:
                network.set_datagram_handler(peer_messages.ServerLoad,
                                             context.received.append)
                address = network.address
                for running in (first, second):
                    network.send_all((address,), _load(running))
                while not context.received:
                    await asyncio.sleep(0.01)
                context.malformed = network.malformed_count

    asyncio.run(send())


def _load(running: int) -> peer_messages.ServerLoad:
    return peer_messages.ServerLoad(address='a:1',
                                    running=running,
                                    waiting=0,
                                    slots=6,
                                    stalled_ms=0,
                                    is_open=True,
                                    group='g',
                                    pass_us=0)


@then('the first one is counted as malformed and the second one arrives')
def step_second_arrives(context: Any) -> None:
    assert context.malformed == 1, context.malformed
    assert [load.running for load in context.received] == [7], context.received


# Evidence.


@given('evidence in the store that is very deeply nested')
def step_odd_evidence(context: Any) -> None:
    context.value = _NESTED


@when('a host reads the evidence')
def step_read_evidence(context: Any) -> None:

    async def read() -> None:
        store = fleet_store.FleetStore()
        await store.put(evidence_store.CRASHES_TABLE, 's', context.value)
        stored = evidence_store.EvidenceStore(
            store=store.client('edge'),
            evidence=evidence_log.EvidenceLog(patience=1.0),
            is_watcher=lambda: True,
            store_era=lambda: 1,
            time=virtual_time.LoopClock())
        try:
            async with asyncio.timeout(3.0):
                await stored.run()
        except TimeoutError:
            pass
        context.rejected = stored.rejected_count

    virtual_time.run(read())


@then('it is counted as rejected')
def step_evidence_rejected(context: Any) -> None:
    assert context.rejected == 1, context.rejected


# Keys.


class _OddKeys(serving.FakeHandler):
    """Responds with a page of two rows, one of which has no valid key."""

    async def respond(self, request: http_server.HttpRequest,
                      response: http_server.HttpResponse) -> None:
        rows = [{'key': key, 'ver': 1} for key in (_SURROGATE, 'sound')]
        await response.send_json(200, {'rows': rows, 'ver': 1})


@given('a store whose table has a row with a lone surrogate as its key')
def step_odd_key(context: Any) -> None:
    context.handler = _OddKeys()


@when('the table is read')
def step_read_table(context: Any) -> None:

    async def read() -> None:
        async with http_server.HttpServer(handler=context.handler) as server:
            async with http_client.HttpClient() as client:
                store = row_store_http.HttpRowStore(client=client,
                                                    address=server.address,
                                                    log=memory.NullEventLog())
                context.read = await store.read('t')

    asyncio.run(read())


@then('only the other rows are returned')
def step_other_rows(context: Any) -> None:
    rows = context.read.unwrap().changes
    assert [row.key for row in rows] == ['sound'], rows
