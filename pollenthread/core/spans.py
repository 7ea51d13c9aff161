"""Spans of a request: entry, link, agent queue, engine."""

import dataclasses
import re
from collections.abc import Callable, Iterable, Mapping

from pollenthread.core import http_headers, messages

__all__ = [
    'TRACEPARENT', 'TraceContext', 'AttemptTrace', 'Span', 'is_sampled', 'parse_traceparent', 'build_spans'
]

TRACEPARENT = 'traceparent'
_FORM = re.compile('^00-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})$')
_SAMPLED = 0x01
_US_PER_S = 1_000_000
_NS_PER_S = 1_000_000_000
_NS_PER_US = 1000


@dataclasses.dataclass(frozen=True)
class TraceContext:
    """Which trace a request belongs to.

    Attributes:
        trace_id: 32 hexadecimal digits.
        span_id: 16 hexadecimal digits: the span that others hang below.
        parent_id: the caller's span, or empty.
    """

    trace_id: str
    span_id: str
    parent_id: str = ''

    @property
    def header(self) -> http_headers.Header:
        """What the agent and the upstream are told."""
        return (TRACEPARENT, f'00-{self.trace_id}-{self.span_id}-01')


@dataclasses.dataclass(frozen=True)
class Span:
    """One part of a request's way.

    Attributes:
        trace_id: 32 hexadecimal digits.
        span_id: 16 hexadecimal digits.
        parent_id: the span above, or empty.
        name: which part.
        host: where it was.
        began_ns: Unix nanoseconds.
        ended_ns: Unix nanoseconds.
        attributes: what is known about it.
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
    """One attempt's way to an agent and back.

    Attributes:
        attempt: the attempt's id.
        host: the agent's host.
        sent_at: monotonic seconds at which it left the entry host.
        ended_at: monotonic seconds at which its end was known, or None.
        served: what the agent says, or None.
    """

    attempt: str
    host: str
    sent_at: float
    ended_at: float | None = None
    served: messages.Served | None = None

    def settle(self, served: messages.Served, now: float) -> None:
        """Takes what the agent says."""
        self.served = served
        self.ended_at = now


def parse_traceparent(
        headers: Iterable[http_headers.Header]) -> tuple[str, str, bool] | None:
    """Trace, span and whether it is sampled, from a valid header; or None."""
    for name, value in headers:
        found = _FORM.match(value) if name == TRACEPARENT else None
        if found is not None:
            trace, span, mask = found.groups()
            return trace, span, bool(int(mask, 16) & _SAMPLED)
    return None


def is_sampled(headers: Iterable[http_headers.Header]) -> bool:
    """Whether a request is traced."""
    found = parse_traceparent(headers)
    return found is not None and found[2]


def build_spans(*, context: TraceContext, host: str, began_at: float, ended_at: float,
             wall_offset_s: float, attempts: Iterable[AttemptTrace],
             attributes: Mapping[str,
                                 str], new_id: Callable[[], str]) -> list[Span]:
    """The spans of one request.

    The agent tells durations only, so no clocks are compared: its time is
    placed in the middle of the link's.

    Args:
        context: the trace, and the id of the entry host's span.
        host: the entry host.
        began_at: monotonic seconds.
        ended_at: monotonic seconds.
        wall_offset_s: Unix seconds less monotonic seconds.
        hops: where the attempts went.
        attributes: what is known about the request.
        new_id: makes an id of a span.
    """

    def unix_ns(at: float) -> int:
        return round((at + wall_offset_s) * _NS_PER_S)

    made = [
        Span(context.trace_id, context.span_id, context.parent_id, 'entry',
             host, unix_ns(began_at), unix_ns(ended_at), attributes)
    ]
    for hop in attempts:
        hop_ended_at = ended_at if hop.ended_at is None else hop.ended_at
        link = Span(context.trace_id, new_id(), context.span_id, 'link', host,
                    unix_ns(hop.sent_at), unix_ns(hop_ended_at),
                    {'attempt': hop.attempt})
        made.append(link)
        if hop.served is not None:
            made += _agent_spans(link, hop.host, hop.served, new_id)
    return made


def _agent_spans(link: Span, host: str, served: messages.Served,
                 new_id: Callable[[], str]) -> list[Span]:
    queued_ns = served.queued_us * _NS_PER_US
    upstream_ns = served.upstream_us * _NS_PER_US
    slack_ns = link.ended_ns - link.began_ns - queued_ns - upstream_ns
    began_ns = link.began_ns + max(0, slack_ns) // 2
    began_upstream_ns = began_ns + queued_ns
    return [
        Span(link.trace_id, new_id(), link.span_id, 'agent queue', host,
             began_ns, began_upstream_ns, {}),
        Span(link.trace_id, new_id(), link.span_id, 'engine', host,
             began_upstream_ns, began_upstream_ns + upstream_ns, {})
    ]
