"""Steps for tracing."""

import asyncio
import json
from typing import Any

from behave import given, then, when
from opentelemetry.proto.collector.trace.v1 import trace_service_pb2

from pollenthread.adapters import http_client, http_server, otlp
from pollenthread.core import spans
from tests import scenario
from tests.fakes import system as system_module

_TRACE_ID_PREFIX = '4bf92f3577b34da6a3ce929d0e0e47'
_CALLER_SPAN_ID = '00f067aa0ba902b7'


class _Collector(http_server.RequestHandler):
    """Collector that records the names of the spans it receives."""

    def __init__(self) -> None:
        self.span_names: list[str] = []

    async def handle(self, request: http_server.HttpRequest,
                     response: http_server.HttpResponse) -> None:
        message = trace_service_pb2.ExportTraceServiceRequest.FromString(
            request.body)
        for resource in message.resource_spans:
            for scope in resource.scope_spans:
                self.span_names += [span.name for span in scope.spans]
        await response.send(200, [], b'')


async def _send(context: Any, work_class: str) -> None:
    context.trace_id = _TRACE_ID_PREFIX + ('aa'
                                           if work_class == 'caption' else 'bb')
    header = f'00-{context.trace_id}-{_CALLER_SPAN_ID}-01'
    address = context.system.by_name['entry-1'].ready['callers']
    if work_class == 'caption':
        document = {
            'model': system_module.MODEL,
            'stream': True,
            'max_tokens': 3,
            'messages': [{
                'role': 'user',
                'content': 'x'
            }]
        }
        response = await context.caller.chat(address,
                                             work_class,
                                             document,
                                             traceparent=header)
    else:
        response = await context.caller.post(address,
                                             work_class,
                                             '/services/orders/payments',
                                             b'{}',
                                             idempotency_key='traced',
                                             traceparent=header)
    assert response.status == 200, response


@when('a caller sends a {kind} request with its own trace id')
def step_send(context: Any, kind: str) -> None:
    scenario.run(
        context,
        _send(context,
              'caption' if kind == 'caption' else 'payment-confirmation'))


async def _fetch_trace(context: Any) -> list[dict[str, Any]]:
    admin = context.system.by_name['entry-1'].ready['admin']
    key = ('authorization', f'Bearer {system_module.ON_CALL_KEY}')
    async with context.system.client.request(admin,
                                             'GET',
                                             f'/v1/traces/{context.trace_id}',
                                             headers=[key]) as exchange:
        found = json.loads(await exchange.read_all())
    return found if exchange.status == 200 else []


@when('"on-call" fetches that trace')
def step_fetch(context: Any) -> None:

    async def is_available() -> bool:
        context.spans = await _fetch_trace(context)
        return bool(context.spans)

    scenario.run(context, scenario.eventually(is_available))


@then('it has the nested spans entry, link, agent queue and engine')
def step_spans(context: Any) -> None:
    by_name = {span['name']: span for span in context.spans}
    assert set(by_name) == {'entry', 'link', 'agent queue', 'engine'}, by_name
    entry, link = by_name['entry'], by_name['link']
    assert entry['parent_id'] == _CALLER_SPAN_ID, entry
    assert link['parent_id'] == entry['span_id'], link
    for name in ('agent queue', 'engine'):
        span = by_name[name]
        assert span['parent_id'] == link['span_id'], span
        assert span['host'].startswith('agent-'), span
        assert span['began_ms'] >= link['began_ms'], (span, link)


def _spans(count: int) -> list[spans.Span]:
    return [
        spans.Span(f'{i + 1:032x}', f'{i + 1:016x}', '', 'entry', 'entry-1', i,
                   i + 1, {'request_id': str(i)}) for i in range(count)
    ]


async def _make_exporter(context: Any, collector: str) -> None:
    client = await context.stack.enter_async_context(http_client.HttpClient())
    context.exporter = otlp.SpanExporter(client=client,
                                         collector=collector,
                                         host='entry-1')


@given('a collector')
def step_collector(context: Any) -> None:
    context.collector = _Collector()
    limits = http_server.ServerLimits(max_body_bytes=8 * 1024 * 1024)
    context.server = scenario.run(
        context,
        context.stack.enter_async_context(
            http_server.HttpServer(handler=context.collector, limits=limits)))
    scenario.run(context, _make_exporter(context, context.server.address))


async def _export(context: Any, count: int, expected_count: int) -> None:
    exporter = context.exporter
    exporter.export(_spans(count))
    exporting = asyncio.create_task(exporter.run())

    async def is_done() -> bool:
        return bool(exporter.exported_count +
                    exporter.dropped_count >= expected_count)

    await scenario.eventually(is_done)
    exporting.cancel()


@when('{count:d} spans are exported')
def step_export(context: Any, count: int) -> None:
    scenario.run(context, _export(context, count, count))


@then('the collector has {count:d} spans')
def step_collected(context: Any, count: int) -> None:
    assert len(context.collector.span_names) == count
    assert context.exporter.dropped_count == 0


@when('the collector is unreachable and {count:d} spans are exported')
def step_unreachable(context: Any, count: int) -> None:
    scenario.run(context, _make_exporter(context, '127.0.0.1:1'))
    expected_count = count
    scenario.run(context, _export(context, count, expected_count))


@then('{count:d} spans are counted as dropped')
def step_dropped(context: Any, count: int) -> None:
    assert context.exporter.dropped_count == count
