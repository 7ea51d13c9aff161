"""Exports spans to an OTLP/HTTP collector from the event loop of the process.

The batch processor of the SDK would export from a separate thread. Spans are
therefore queued here, encoded by the SDK, and sent with the HTTP client of the
process. Spans that the collector does not accept in time are dropped and
counted.
"""

import asyncio
import collections

from opentelemetry import trace
from opentelemetry.exporter.otlp.proto.common import trace_encoder
from opentelemetry.sdk import resources, trace as sdk_trace

from pollenthread.adapters import http_client
from pollenthread.core import spans

__all__ = ['SpanExporter']

_MAX_QUEUED_SPANS = 2048
_MAX_BATCH_SPANS = 512
_EXPORT_INTERVAL_S = 1.0
_TIMEOUT_S = 5.0


class SpanExporter:
    """Queues spans and exports them in batches.

    Attributes:
        exported_count: the number of exported spans.
        dropped_count: the number of dropped spans.
    """

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

    def export(self, finished_spans: list[spans.Span]) -> None:
        """Queues spans; drops them if the queue is full."""
        for span in finished_spans:
            if len(self._queue) < _MAX_QUEUED_SPANS:
                self._queue.append(span)
            else:
                self.dropped_count += 1

    async def run(self) -> None:
        """Exports queued spans until cancelled."""
        while True:
            await asyncio.sleep(_EXPORT_INTERVAL_S)
            while self._queue:
                count = min(_MAX_BATCH_SPANS, len(self._queue))
                batch = [self._queue.popleft() for _ in range(count)]
                if await self._send(batch):
                    self.exported_count += count
                else:
                    self.dropped_count += count

    async def _send(self, batch: list[spans.Span]) -> bool:
        made = [self._to_sdk_span(span) for span in batch]
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
                                                body=body) as response:
                    await response.read_all()
                    return response.status == 200
        except (OSError, TimeoutError):
            return False

    def _to_sdk_span(self, span: spans.Span) -> sdk_trace.ReadableSpan:
        parent = _span_context(span, span.parent_id) if span.parent_id else None
        return sdk_trace.ReadableSpan(name=span.name,
                                      context=_span_context(span, span.span_id),
                                      parent=parent,
                                      resource=self._resource,
                                      attributes={
                                          'host.name': span.host,
                                          **span.attributes
                                      },
                                      start_time=span.began_ns,
                                      end_time=span.ended_ns)


def _span_context(span: spans.Span, span_id: str) -> trace.SpanContext:
    return trace.SpanContext(int(span.trace_id, 16),
                             int(span_id, 16),
                             is_remote=False,
                             trace_flags=trace.TraceFlags(
                                 trace.TraceFlags.SAMPLED))
