"""Steps for decoding and applying successive configurations."""

import asyncio
import copy
import json
from typing import Any

import result
from behave import given, then, when

from pollenthread.app import config_listeners
from pollenthread.core import document_patch, routing_config, store_version
from pollenthread.platform import config_document
from tests.fakes import config_versions, forwarding, memory, virtual_time


def _document(routes: int) -> dict[str, Any]:
    return {
        'version': 1,
        'routes': [{
            'name': f'r-{number}',
            'host': 'a.example',
            'path_prefix': f'/{number}/',
            'kind': 'idempotent',
            'timeout_ms': 500,
            'priority': 1,
            'service': 'llm'
        } for number in range(routes)],
        'services': [{
            'name': 'llm'
        }]
    }


async def _decode(
    *documents: dict[str, Any]
) -> list[result.Result[routing_config.RoutingConfig, str]]:
    decoder = config_document.ConfigDocumentDecoder()
    return [
        await decoder.decode(json.dumps(document).encode())
        for document in documents
    ]


def _routes(
    decoded: result.Result[routing_config.RoutingConfig, str]
) -> dict[str, routing_config.Route]:
    return {
        route.name: route
        for route in decoded.unwrap().routes_by_host['a.example']
    }


@given('a document with {count:d} routes')
def step_document(context: Any, count: int) -> None:
    context.document = _document(count)


@when('it is decoded')
def step_decode(context: Any) -> None:

    async def decode() -> int:
        runs = 0

        async def run() -> None:
            nonlocal runs
            while True:
                runs += 1
                await asyncio.sleep(0)

        other = asyncio.create_task(run())
        await _decode(context.document)
        other.cancel()
        return runs

    context.runs = virtual_time.run(decode())


@then('another task has run at least {count:d} times meanwhile')
def step_ran(context: Any, count: int) -> None:
    assert context.runs >= count, context.runs


@when('it is decoded, and again with another timeout of one route')
def step_decode_twice(context: Any) -> None:
    changed = copy.deepcopy(context.document)
    changed['routes'][7]['timeout_ms'] = 700
    context.decoded = virtual_time.run(_decode(context.document, changed))


@then('only that route is another object')
def step_one_object(context: Any) -> None:
    before, after = map(_routes, context.decoded)
    other = [name for name, route in after.items() if route is not before[name]]
    assert other == ['r-7'], other
    assert after['r-7'].timeout_s == 0.7


@when('it is decoded, and again with the priority true instead of 1')
def step_decode_type(context: Any) -> None:
    changed = copy.deepcopy(context.document)
    changed['routes'][1]['priority'] = True
    context.decoded = virtual_time.run(_decode(context.document, changed))


@then('the second document is rejected')
def step_rejected(context: Any) -> None:
    first, second = context.decoded
    assert first.is_ok() and second.is_err(), second


class _Offers:
    """A listener, what it is offered, and what it applies."""

    def __init__(self) -> None:
        self.applied: list[int] = []
        self.listener = config_listeners.ConfigListener(
            state=forwarding.make_state(data_centre='dc'),
            time=virtual_time.LoopClock(),
            log=memory.NullEventLog(),
            table='op',
            key='config',
            decoder=config_versions.VersionDecoder())
        self.listener.applied_callbacks.append(
            lambda config: self.applied.append(config.version))

    def from_store(self, version: int, era: int = 1) -> None:
        """Offers a version as the store does."""
        self.listener.offer_document(b'%d' % version,
                                     store_version.StoreVersion(era, version),
                                     source='store')

    def from_peer(self, version: int) -> None:
        """Offers a version as a peer does."""
        patch = document_patch.make_patch(b'',
                                          b'%d' % version,
                                          base=0,
                                          version=version)
        self.listener.offer_patches([patch],
                                    store_version.StoreVersion(1, version))


def _run_offers(context: Any, *offers: Any) -> None:

    async def run() -> list[int]:
        found = _Offers()
        async with config_versions.applying(found.listener):
            for version in context.versions:
                found.from_store(version)
            for offer in offers:
                offer(found)
        return found.applied

    context.applied = virtual_time.run(run())


@given('a listener that is offered versions 2 to 9 by the store at once')
def step_offers(context: Any) -> None:
    context.versions = range(2, 10)


@when('a peer offers version 7 and then the store version 10')
def step_peer_then_store(context: Any) -> None:
    _run_offers(context, lambda found: found.from_peer(7),
                lambda found: found.from_store(10))


@when('the store is restored and offers version 5, and a peer version 10')
def step_restored(context: Any) -> None:
    _run_offers(context, lambda found: found.from_store(5, era=2),
                lambda found: found.from_peer(10))


@then('version {version:d} is in force, and at most {most:d} versions were '
      'applied')
def step_newest(context: Any, version: int, most: int) -> None:
    assert context.applied[-1] == version, context.applied
    assert sorted(context.applied) == context.applied
    assert len(context.applied) <= most, context.applied
