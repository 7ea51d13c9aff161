"""Trace spans of a request: entry, link, agent queue and engine.

Trace context is propagated by the W3C `traceparent` header.
"""

import dataclasses
import re
from collections.abc import Callable, Iterable, Mapping

from pollenthread.core import http_headers, messages

__all__ = [
    'TRACEPARENT', 'TraceContext', 'AttemptTrace', 'Span', 'is_sampled',
    'parse_traceparent', 'build_spans'
]

TRACEPARENT = 'traceparent'
_TRACEPARENT_PATTERN = re.compile(
    '^00-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})$')
_SAMPLED_FLAG = 0x01
_US_PER_S = 1_000_000
_NS_PER_S = 1_000_000_000
_NS_PER_US = 1000


@dataclasses.dataclass(frozen=True)
class TraceContext:
    """The trace context of a request.

    Attributes:
        trace_id: 32 hexadecimal digits.
        span_id: 16 hexadecimal digits; the parent of the spans of attempts.
        parent_id: id of the caller's span; empty if there is none.
    """

    trace_id: str
    span_id: str
    parent_id: str = ''

    @property
    def header(self) -> http_headers.Header:
        """The header that is sent to the agent and the upstream."""
        return (TRACEPARENT, f'00-{self.trace_id}-{self.span_id}-01')


@dataclasses.dataclass(frozen=True)
class Span:
    """A span of a trace.

    Attributes:
        trace_id: 32 hexadecimal digits.
        span_id: 16 hexadecimal digits.
        parent_id: id of the parent span; empty if there is none.
        name: the span's name.
        host: the host on which the operation ran.
        began_ns: start of the span in Unix nanoseconds.
        ended_ns: end of the span in Unix nanoseconds.
        attributes: the span's attributes.
    """

    trace_id: str
    span_id: str
    parent_id: str
    name: str
    host: str
    began_ns: int
    ended_ns: int
    attributes: Mapping[str, str]


@dataclasses.dataclass
class AttemptTrace:
    """The trace data of one attempt.

    Attributes:
        attempt: the attempt's id.
        host: the agent's host.
        sent_at: monotonic seconds at which the entry host sent it.
        ended_at: monotonic seconds at which the entry host was notified of its
            end, or None.
        served: the durations reported by the agent, or None.
    """

    attempt: str
    host: str
    sent_at: float
    ended_at: float | None = None
    served: messages.Served | None = None

    def record_end(self, served: messages.Served, now: float) -> None:
        """Records the durations reported by the agent at the end."""
        self.served = served
        self.ended_at = now


def parse_traceparent(
        headers: Iterable[http_headers.Header]) -> tuple[str, str, bool] | None:
    """Parses the first valid `traceparent` header.

    Returns:
        The trace id, the parent span id and whether the trace is sampled, or
        None if there is no valid header.
    """
    for name, value in headers:
        found = _TRACEPARENT_PATTERN.match(
            value) if name == TRACEPARENT else None
        if found is not None:
            trace, span, flags = found.groups()
            return trace, span, bool(int(flags, 16) & _SAMPLED_FLAG)
    return None


def is_sampled(headers: Iterable[http_headers.Header]) -> bool:
    """Returns whether the headers of a request ask for a sampled trace."""
    found = parse_traceparent(headers)
    return found is not None and found[2]


def build_spans(*, context: TraceContext, host: str, began_at: float,
                ended_at: float, wall_offset_s: float,
                attempts: Iterable[AttemptTrace], attributes: Mapping[str, str],
                new_id: Callable[[], str]) -> list[Span]:
    """Builds the spans of one request.

    The agent reports only durations, so that clocks of different hosts are not
    compared; its spans are centred within the link span.

    Args:
        context: the trace context, with the id of the entry host's span.
        host: the entry host.
        began_at: monotonic seconds at which the request began.
        ended_at: monotonic seconds at which the request ended.
        wall_offset_s: Unix time minus monotonic time, in seconds.
        attempts: the trace data of the attempts.
        attributes: the attributes of the entry host's span.
        new_id: returns a new span id.
    """

    def unix_ns(at: float) -> int:
        return round((at + wall_offset_s) * _NS_PER_S)

    built = [
        Span(context.trace_id, context.span_id, context.parent_id, 'entry',
             host, unix_ns(began_at), unix_ns(ended_at), attributes)
    ]
    for attempt_trace in attempts:
        attempt_ended_at = (ended_at if attempt_trace.ended_at is None else
                            attempt_trace.ended_at)
        link_span = Span(context.trace_id, new_id(), context.span_id, 'link',
                         host, unix_ns(attempt_trace.sent_at),
                         unix_ns(attempt_ended_at),
                         {'attempt': attempt_trace.attempt})
        built.append(link_span)
        if attempt_trace.served is not None:
            built += _agent_spans(link_span, attempt_trace.host,
                                  attempt_trace.served, new_id)
    return built


def _agent_spans(link_span: Span, host: str, served: messages.Served,
                 new_id: Callable[[], str]) -> list[Span]:
    queued_ns = served.queued_us * _NS_PER_US
    upstream_ns = served.upstream_us * _NS_PER_US
    network_ns = (link_span.ended_ns - link_span.began_ns - queued_ns -
                  upstream_ns)
    began_ns = link_span.began_ns + max(0, network_ns) // 2
    began_upstream_ns = began_ns + queued_ns
    return [
        Span(link_span.trace_id, new_id(), link_span.span_id, 'agent queue',
             host, began_ns, began_upstream_ns, {}),
        Span(link_span.trace_id, new_id(), link_span.span_id, 'engine', host,
             began_upstream_ns, began_upstream_ns + upstream_ns, {})
    ]
