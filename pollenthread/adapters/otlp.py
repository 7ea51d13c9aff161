"""Exports spans to an OTLP/HTTP collector from the process's own loop.

The SDK's batch processor would export from a thread of its own. Spans are
therefore queued here, encoded by the library, and sent by this process's HTTP
client; what the collector does not take in time is dropped and counted.
"""

import asyncio
import collections

from opentelemetry import trace
from opentelemetry.exporter.otlp.proto.common import trace_encoder
from opentelemetry.sdk import resources, trace as sdk_trace

from pollenthread.adapters import http_client
from pollenthread.core import spans

__all__ = ['SpanExporter']

_MAX_QUEUED = 2048
_MAX_BATCH = 512
_INTERVAL_S = 1.0
_TIMEOUT_S = 5.0


class SpanExporter:
    """Sends spans in batches; never waits for room."""

    def __init__(self, *, client: http_client.HttpClient, collector: str,
                 host: str) -> None:
        self._client = client
        self._collector = collector
        self._resource = resources.Resource({
            'service.name': 'pollenthread',
            'host.name': host
        })
        self._queue = collections.deque[spans.Span]()
        self.exported_count = 0
        self.dropped_count = 0

    def export(self, made: list[spans.Span]) -> None:
        """Queues spans, or drops them when the queue is full."""
        for span in made:
            if len(self._queue) < _MAX_QUEUED:
                self._queue.append(span)
            else:
                self.dropped_count += 1

    async def run(self) -> None:
        """Sends until cancelled."""
        while True:
            await asyncio.sleep(_INTERVAL_S)
            while self._queue:
                count = min(_MAX_BATCH, len(self._queue))
                batch = [self._queue.popleft() for _ in range(count)]
                if await self._send(batch):
                    self.exported_count += count
                else:
                    self.dropped_count += count

    async def _send(self, batch: list[spans.Span]) -> bool:
        made = [self._readable(span) for span in batch]
        body = trace_encoder.encode_spans(made).SerializeToString()
        try:
            async with asyncio.timeout(_TIMEOUT_S):
                async with self._client.request(self._collector,
                                                'POST',
                                                '/v1/traces',
                                                headers=[
                                                    ('content-type',
                                                     'application/x-protobuf')
                                                ],
                                                body=body) as exchange:
                    await exchange.read_all()
                    return exchange.status == 200
        except (OSError, TimeoutError):
            return False

    def _readable(self, span: spans.Span) -> sdk_trace.ReadableSpan:
        parent = _context(span, span.parent_id) if span.parent_id else None
        return sdk_trace.ReadableSpan(name=span.name,
                                      context=_context(span, span.span_id),
                                      parent=parent,
                                      resource=self._resource,
                                      attributes={
                                          'host.name': span.host,
                                          **span.attributes
                                      },
                                      start_time=span.began_ns,
                                      end_time=span.ended_ns)


def _context(span: spans.Span, span_id: str) -> trace.SpanContext:
    return trace.SpanContext(int(span.trace_id, 16),
                             int(span_id, 16),
                             is_remote=False,
                             trace_flags=trace.TraceFlags(
                                 trace.TraceFlags.SAMPLED))
