"""Steps for patches of documents."""

import dataclasses
import random
from typing import Any

from behave import given, then, when

from pollenthread.adapters import peer_codec
from pollenthread.app import (config_listeners, document_history, host_registry,
                              snapshot_exchange)
from pollenthread.core import document_patch, peer_messages, store_version
from tests.fakes import config_versions, forwarding, memory, virtual_time

_SEED = 11
_PIECES = [b'{', b'}', b'{"a":1}', b'{"b":2},', b'x', b'{"c":{"d":3}}', b'[]']
_ROW_VERSION = store_version.StoreVersion(1, 9)


def _random_document(rng: random.Random) -> bytes:
    return b''.join(rng.choices(_PIECES, k=rng.randrange(40)))


def _patch(pair: tuple[bytes, bytes]) -> document_patch.DocumentPatch:
    return document_patch.make_patch(pair[0], pair[1], base=1, version=2)


@given('{count:d} pairs of random documents')
def step_pairs(context: Any, count: int) -> None:
    rng = random.Random(_SEED)
    context.pairs = [
        (_random_document(rng), _random_document(rng)) for _ in range(count)
    ]


@then('the patch of each pair leads from the first to the second')
def step_leads(context: Any) -> None:
    for pair in context.pairs:
        assert _patch(pair).apply(pair[0]) == pair[1], pair


def _is_rejected(patch: document_patch.DocumentPatch, document: bytes) -> bool:
    try:
        patch.apply(document)
    except document_patch.PatchError:
        return True
    return False


@then('a patch that is cut, changed or applied to another document is rejected')
def step_rejected(context: Any) -> None:
    rng = random.Random(_SEED)
    for before, after in context.pairs:
        patch = _patch((before, after))
        cut = patch.content[:rng.randrange(len(patch.content))]
        assert _is_rejected(dataclasses.replace(patch, content=cut), before)
        position = rng.randrange(len(patch.content))
        changed = bytearray(patch.content)
        changed[position] ^= 1 << rng.randrange(8)
        damaged = dataclasses.replace(patch, content=bytes(changed))
        assert _is_rejected(damaged, before) or damaged.apply(before) == after
        other = b'other' + before
        assert _is_rejected(patch, other) or patch.apply(other) == after


def _routes(rng: random.Random, count: int) -> list[bytes]:
    return [
        b'{"name":"r-%x","path_prefix":"/%x/","timeout_ms":8000}' %
        (rng.getrandbits(40), rng.getrandbits(40)) for _ in range(count)
    ]


def _document(version: int, routes: list[bytes]) -> bytes:
    return b'%d{"routes":[%s]}' % (version, b','.join(routes))


@given('a document of {count:d} routes and one with another route')
def step_large_pair(context: Any, count: int) -> None:
    rng = random.Random(_SEED)
    routes = _routes(rng, count)
    before = _document(1, routes)
    routes[count // 2:count // 2] = _routes(rng, 1)
    context.pair = (before, _document(2, routes))


@then('the patch between them has at most {limit:d} bytes')
def step_small(context: Any, limit: int) -> None:
    patch = _patch(context.pair)
    assert patch.apply(context.pair[0]) == context.pair[1]
    assert len(patch.content) <= limit, len(patch.content)


@given('a history of {count:d} versions of a document')
def step_history(context: Any, count: int) -> None:
    rng = random.Random(_SEED)
    routes = _routes(rng, 200)
    context.history = document_history.DocumentHistory()
    context.document_by_version = {0: b''}
    # The versions in between were never seen by this host.
    for version in range(1, 2 * count, 2):
        routes[rng.randrange(len(routes))] = _routes(rng, 1)[0]
        document = _document(version, routes)
        context.history.record(document, version)
        context.document_by_version[version] = document


@then('it leads from each version that it knows to the newest')
def step_leads_from_each(context: Any) -> None:
    history = context.history
    for version, document in context.document_by_version.items():
        for patch in history.patches_after(version):
            document = patch.apply(b'' if patch.is_whole else document)
        assert document == history.document, version


@then('it gives the whole document to a host with an unknown version')
def step_whole(context: Any) -> None:
    patches = context.history.patches_after(context.history.version - 1)
    assert [patch.base for patch in patches] == [0]


@then('it gives nothing to a host with the newest version')
def step_nothing(context: Any) -> None:
    assert not context.history.patches_after(context.history.version)


# Hosts.


class _OnePeer:
    """A network in which all requests go to one exchange."""

    def __init__(self) -> None:
        self.peer: snapshot_exchange.SnapshotExchange

    async def fetch_snapshot(
            self, _: str,
            known: peer_messages.SnapshotRequest) -> peer_messages.Snapshot:
        """Returns the rows of the peer, encoded and decoded."""
        known = peer_codec.decode(peer_messages.SnapshotRequest,
                                  peer_codec.encode(known))
        return peer_codec.decode(
            peer_messages.Snapshot,
            peer_codec.encode(self.peer.make_snapshot(known)))


class _Host:
    """A host with a configuration and an exchange."""

    def __init__(self, network: _OnePeer) -> None:
        common: dict[str, Any] = {
            'time': virtual_time.LoopClock(),
            'log': memory.NullEventLog()
        }
        self.listener = config_listeners.ConfigListener(
            state=forwarding.make_state(data_centre='dc'),
            table='op',
            key='config',
            decoder=config_versions.VersionDecoder(),
            **common)
        any_network: Any = network
        self.exchange = snapshot_exchange.SnapshotExchange(
            network=any_network,
            hosts=host_registry.HostRegistry(),
            config_listener=self.listener,
            server_listener=None,
            **common)

    async def apply(self, document: bytes) -> None:
        """Applies a document as from the store."""
        async with config_versions.applying(self.listener):
            self.listener.offer_document(document, _ROW_VERSION, source='store')


async def _make_hosts(versions: list[bytes]) -> tuple[_Host, _Host]:
    network = _OnePeer()
    host, peer = _Host(network), _Host(network)
    network.peer = peer.exchange
    for document in versions:
        await peer.apply(document)
    return host, peer


@given('a host with version 5 of the configuration')
def step_host(context: Any) -> None:
    context.own = _document(5, _routes(random.Random(1), 50))


@given('a peer with another version 5 that has been changed to version 6')
def step_other_peer(context: Any) -> None:
    routes = _routes(random.Random(2), 50)
    context.others = [_document(5, routes), _document(6, routes)]


@given('a peer with version 6 of the configuration')
def step_peer(context: Any) -> None:
    context.others = [_document(6, _routes(random.Random(2), 50))]


@when('the host fetches from the peer twice')
def step_fetch_twice(context: Any) -> None:

    async def fetch() -> config_listeners.ConfigListener:
        host, _ = await _make_hosts(context.others)
        await host.apply(context.own)
        for _ in range(2):
            async with config_versions.applying(host.listener):
                assert await host.exchange.fetch('peer:1')
        return host.listener

    context.listener = virtual_time.run(fetch())


@then('it has version 6 of the peer')
def step_has_version(context: Any) -> None:
    assert context.listener.version == 6
    assert context.listener.history.document == context.others[-1]


@when('a host of an earlier release asks it')
def step_earlier_release(context: Any) -> None:

    async def ask() -> peer_messages.Snapshot:
        _, peer = await _make_hosts(context.others)
        return peer.exchange.make_snapshot(peer_messages.SnapshotRequest())

    context.snapshot = virtual_time.run(ask())


@then('it gets the row with that document')
def step_gets_row(context: Any) -> None:
    snapshot = context.snapshot
    assert not snapshot.config_patches
    assert [row.value for row in snapshot.rows] == context.others
