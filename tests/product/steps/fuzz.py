"""Steps that feed made-up bytes to the parsers of this project."""

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


def _read_message(data: bytes) -> None:
    for sample in _SAMPLES:
        cut = data[0] % len(sample) if data else 0
        for mixed in (data, sample[:cut] + data,
                      sample[:cut] + data[:8] + sample[cut + 8:]):
            try:
                wire.decode(mixed)
            except wire.LinkMessageDecodeError:
                pass


def _read_events(data: bytes) -> None:
    splitter = event_splitter.CountingEventSplitter(max_event_bytes=64)
    try:
        for i in range(0, len(data), 7):
            splitter.feed(data[i:i + 7])
    except event_splitter.EventTooLargeError:
        pass


def _read_trace(data: bytes) -> None:
    spans.parse_traceparent([('traceparent', data.decode('latin-1'))])


def _read_row(data: bytes) -> None:
    try:
        account_rows.decode(data)
    except ValueError:
        pass


def _read_attempt(data: bytes) -> None:
    try:
        ids.AttemptId.parse(data.decode('latin-1'))
    except ValueError:
        pass


_READERS: dict[str, Callable[[bytes], None]] = {
    'link messages': _read_message,
    'event streams': _read_events,
    'trace headers': _read_trace,
    'account rows': _read_row,
    'attempt ids': _read_attempt,
}


def _check(read: Callable[[Any], None], inputs: Any, count: int,
           seed: int) -> None:

    @hypothesis.seed(seed)
    @hypothesis.settings(max_examples=count, database=None, deadline=None)
    @hypothesis.given(inputs)
    def check(data: Any) -> None:
        read(data)

    check()


@when('{parser} reads {count:d} made-up inputs with seed {seed:d}')
def step_read(context: Any, parser: str, count: int, seed: int) -> None:
    context.check = lambda: _check(_READERS[parser],
                                   strategies.binary(max_size=200), count, seed)


@then('each is read or refused in its own words')
def step_refused(context: Any) -> None:
    context.check()


def _put_together(parts: list[bytes]) -> None:
    """Parts are events' texts and, by their lengths, the places of cuts."""
    whole = b''.join(b'data: ' + part.hex().encode() + b'\n\n'
                     for part in parts) + event_splitter.DONE_EVENT + b'\n\n'
    splitter = event_splitter.CountingEventSplitter()
    count, out, at = 0, b'', 0
    sizes = [1 + len(part) * 3 for part in parts] or [5]
    while at < len(whole):
        size = sizes[count % len(sizes)]
        found, data = splitter.feed(whole[at:at + size])
        count, out, at = count + found, out + data, at + size
    assert (count, out, splitter.done) == (len(parts) + 1, whole, True)


@when('{count:d} event streams are cut at random places with seed {seed:d}')
def step_cut(context: Any, count: int, seed: int) -> None:
    inputs = strategies.lists(strategies.binary(max_size=20), max_size=8)
    context.check = lambda: _check(_put_together, inputs, count, seed)


@then('every stream comes out whole')
def step_whole(context: Any) -> None:
    context.check()
