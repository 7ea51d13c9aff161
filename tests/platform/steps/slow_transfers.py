"""Steps for responses that arrive in parts over loopback."""

import base64
import json
from typing import Any

from behave import given, then, when

from pollenthread.adapters import http_client, peer_codec, peer_network
from pollenthread.core import peer_messages
from pollenthread.platform import row_store_http
from pollenthread.ports import row_store
from tests import scenario
from tests.fakes import memory, slow_server

_KEY = 'a-key'
_VALUE = bytes(range(256)) * 4
_SNAPSHOT = peer_messages.Snapshot(servers_version=7,
                                   store_age_ms=0,
                                   rows=(peer_messages.Row(
                                       'servers', _KEY, _VALUE, 7),))
_PAGE = json.dumps({
    'rows': [{
        'key': _KEY,
        'value': base64.b64encode(_VALUE).decode(),
        'ver': 7
    }],
    'ver': 7
}).encode()


def _start(context: Any, body: bytes, parts: int, pause_s: float,
           sent_parts: int | None) -> None:
    context.server = slow_server.SlowServer(body=body,
                                            parts=parts,
                                            pause_s=pause_s,
                                            sent_parts=sent_parts)


@given('a peer that sends its rows in {parts:d} parts, one each {pause:g} s')
def step_slow_peer(context: Any, parts: int, pause: float) -> None:
    _start(context, peer_codec.encode(_SNAPSHOT), parts, pause, None)


@given('a peer that sends its rows in {parts:d} parts, one each {pause:g} s, '
       'and stops after {sent:d}')
def step_stopping_peer(context: Any, parts: int, pause: float,
                       sent: int) -> None:
    _start(context, peer_codec.encode(_SNAPSHOT), parts, pause, sent)


@given('a store that sends a page in {parts:d} parts, one each {pause:g} s')
def step_slow_store(context: Any, parts: int, pause: float) -> None:
    _start(context, _PAGE, parts, pause, None)


@given('a store that sends a page in {parts:d} parts, one each {pause:g} s, '
       'and stops after {sent:d}')
def step_stopping_store(context: Any, parts: int, pause: float,
                        sent: int) -> None:
    _start(context, _PAGE, parts, pause, sent)


@when('a host fetches them')
def step_fetch(context: Any) -> None:

    async def fetch() -> peer_messages.Snapshot | None:
        async with (context.server as server, http_client.HttpClient() as
                    client):
            network = peer_network.HttpPeerNetwork(client=client,
                                                   host='127.0.0.1',
                                                   port=0)
            return await network.fetch_snapshot(server.address,
                                                peer_messages.SnapshotRequest())

    context.found = scenario.run(context, fetch())


@when('a host reads the table')
def step_read(context: Any) -> None:

    async def read() -> Any:
        async with (context.server as server, http_client.HttpClient() as
                    client):
            store = row_store_http.HttpRowStore(client=client,
                                                address=server.address,
                                                log=memory.NullEventLog())
            return await store.read('servers')

    context.found = scenario.run(context, read())


@then('it got the rows')
def step_got_rows(context: Any) -> None:
    assert context.found is not None and context.found.rows == _SNAPSHOT.rows


@then('it got the page')
def step_got_page(context: Any) -> None:
    changes = context.found.unwrap().changes
    assert [(row.key, row.value) for row in changes] == [(_KEY, _VALUE)]


@then('it got nothing')
def step_got_nothing(context: Any) -> None:
    assert context.found is None


@then('it got an error')
def step_got_error(context: Any) -> None:
    assert context.found.err() is row_store.StoreError.UNKNOWN, context.found
