"""Steps that feed random bytes to the parsers of this project."""

from collections.abc import Callable
from typing import Any

import hypothesis
from behave import then, when
from hypothesis import strategies

from pollenthread.adapters import wire
from pollenthread.app import account_rows
from pollenthread.core import event_splitter, ids, messages, spans

_SAMPLES = [
    wire.encode(messages.Ping(1, 2)),
    wire.encode(messages.Chunk('a.1', 0, 1, b'data')),
    wire.encode(messages.Leaving('entry-1')),
]


def _parse_message(data: bytes) -> None:
    for sample in _SAMPLES:
        cut = data[0] % len(sample) if data else 0
        for mutated in (data, sample[:cut] + data,
                        sample[:cut] + data[:8] + sample[cut + 8:]):
            try:
                wire.decode(mutated)
            except wire.LinkMessageDecodeError:
                pass


def _parse_events(data: bytes) -> None:
    splitter = event_splitter.CountingEventSplitter(max_event_bytes=64)
    try:
        for i in range(0, len(data), 7):
            splitter.feed(data[i:i + 7])
    except event_splitter.EventTooLargeError:
        pass


def _parse_trace(data: bytes) -> None:
    spans.parse_traceparent([('traceparent', data.decode('latin-1'))])


def _parse_row(data: bytes) -> None:
    try:
        account_rows.decode(data)
    except ValueError:
        pass


def _parse_attempt(data: bytes) -> None:
    try:
        ids.AttemptId.parse(data.decode('latin-1'))
    except ValueError:
        pass


_PARSERS: dict[str, Callable[[bytes], None]] = {
    'link messages': _parse_message,
    'event streams': _parse_events,
    'trace headers': _parse_trace,
    'account rows': _parse_row,
    'attempt ids': _parse_attempt,
}


def _check(read: Callable[[Any], None], inputs: Any, count: int,
           seed: int) -> None:

    @hypothesis.seed(seed)
    @hypothesis.settings(max_examples=count, database=None, deadline=None)
    @hypothesis.given(inputs)
    def check(data: Any) -> None:
        read(data)

    # Hypothesis passes the argument.
    check()  # pylint: disable=no-value-for-parameter


@when('the parser of {parser} reads {count:d} random inputs with seed {seed:d}')
def step_parse(context: Any, parser: str, count: int, seed: int) -> None:
    context.check = lambda: _check(_PARSERS[parser],
                                   strategies.binary(max_size=200), count, seed)


@then("each input is parsed or rejected with the parser's own error")
def step_parsed_or_rejected(context: Any) -> None:
    context.check()


def _check_reassembly(parts: list[bytes]) -> None:
    """Checks a stream in chunks; part lengths determine the chunk sizes."""
    stream = b''.join(b'data: ' + part.hex().encode() + b'\n\n'
                      for part in parts) + event_splitter.DONE_EVENT + b'\n\n'
    splitter = event_splitter.CountingEventSplitter()
    count, out, at = 0, b'', 0
    sizes = [1 + len(part) * 3 for part in parts] or [5]
    while at < len(stream):
        size = sizes[count % len(sizes)]
        found, data = splitter.feed(stream[at:at + size])
        count, out, at = count + found, out + data, at + size
    assert (count, out, splitter.done) == (len(parts) + 1, stream, True)


@when('{count:d} event streams are split into random chunks with seed {seed:d}')
def step_split(context: Any, count: int, seed: int) -> None:
    inputs = strategies.lists(strategies.binary(max_size=20), max_size=8)
    context.check = lambda: _check(_check_reassembly, inputs, count, seed)


@then('every stream is reassembled completely')
def step_reassembled(context: Any) -> None:
    context.check()
