"""Samples requests for tracing and keeps the most recent traces."""

import collections
import random
from collections.abc import Callable
from typing import Any

from pollenthread.core import http_headers, spans

__all__ = ['Tracer']

_MAX_TRACES = 200
_PER_THOUSAND = 1000
_TRACE_BITS = 128
_SPAN_BITS = 64
_NS_PER_MS = 1_000_000

SpanExporter = Callable[[list[spans.Span]], None]


class Tracer:
    """Creates the spans of sampled requests at an entry host."""

    def __init__(self, *, host: str, sample_per_thousand: int,
                 rng: random.Random, wall_offset_s: Callable[[], float],
                 export: SpanExporter | None) -> None:
        self._host = host
        self._sample_per_thousand = sample_per_thousand
        self._rng = rng
        self._wall_offset_s = wall_offset_s
        self._export = export
        self._spans_by_trace = collections.OrderedDict[str, list[spans.Span]]()
        self._trace_by_request: dict[str, str] = {}

    def start(
            self, headers: tuple[http_headers.Header,
                                 ...]) -> spans.TraceContext | None:
        """Starts the trace of a request.

        A request that its caller has sampled is always traced.

        Args:
            headers: the request headers.

        Returns:
            The trace context, or None when the request is not sampled.
        """
        found = spans.parse_traceparent(headers)
        if found is not None and found[2]:
            return spans.TraceContext(found[0], self._new_id(), found[1])
        if self._rng.randrange(_PER_THOUSAND) >= self._sample_per_thousand:
            return None
        trace = f'{self._rng.getrandbits(_TRACE_BITS):032x}'
        return spans.TraceContext(trace, self._new_id())

    def _new_id(self) -> str:
        return f'{self._rng.getrandbits(_SPAN_BITS):016x}'

    def finish(self, context: spans.TraceContext, request_id: str,
               began_at: float, ended_at: float,
               attempt_traces: list[spans.AttemptTrace],
               attributes: dict[str, str]) -> None:
        """Stores and exports the spans of a request.

        Args:
            context: the trace context from `start`.
            request_id: the request's id.
            began_at: monotonic seconds at which the request arrived.
            ended_at: monotonic seconds at which it ended.
            attempt_traces: trace data of its attempts.
            attributes: further attributes of the spans.
        """
        new_spans = spans.build_spans(context=context,
                                      host=self._host,
                                      began_at=began_at,
                                      ended_at=ended_at,
                                      wall_offset_s=self._wall_offset_s(),
                                      attempts=attempt_traces,
                                      attributes={
                                          'request_id': request_id,
                                          **attributes
                                      },
                                      new_id=self._new_id)
        self._spans_by_trace.setdefault(context.trace_id, []).extend(new_spans)
        self._trace_by_request[request_id] = context.trace_id
        while len(self._spans_by_trace) > _MAX_TRACES:
            dropped, _ = self._spans_by_trace.popitem(last=False)
            self._trace_by_request = {
                request: trace
                for request, trace in self._trace_by_request.items()
                if trace != dropped
            }
        if self._export is not None:
            self._export(new_spans)

    def find_spans(self, name: str) -> list[dict[str, Any]] | None:
        """Returns the spans of a trace.

        Args:
            name: a trace id or request id.

        Returns:
            The spans, with times relative to the first one; None when the trace
            is not stored.
        """
        found = self._spans_by_trace.get(self._trace_by_request.get(name, name))
        if found is None:
            return None
        first_ns = min(span.began_ns for span in found)
        return [{
            'name': span.name,
            'host': span.host,
            'trace_id': span.trace_id,
            'span_id': span.span_id,
            'parent_id': span.parent_id,
            'began_ms': (span.began_ns - first_ns) / _NS_PER_MS,
            'took_ms': (span.ended_ns - span.began_ns) / _NS_PER_MS,
            'attributes': dict(span.attributes)
        } for span in found]
