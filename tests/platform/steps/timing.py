"""Steps for what the log tells of time and evenness."""

from typing import Any

from behave import given, then, when

from pollenthread.core import stream_timing

_MS_PER_S = 1000


@given('a stream that was placed after {placed:d} ms')
def step_placed(context: Any, placed: int) -> None:
    context.timing = stream_timing.StreamTiming(100.0)
    context.timing.record_sent(100.0 + placed / _MS_PER_S)


@when('its events come after "{moments}" ms')
def step_events(context: Any, moments: str) -> None:
    for moment in moments.split():
        context.timing.record_events(100.0 + int(moment) / _MS_PER_S)


@when('its events come after "" ms')
def step_no_events(context: Any) -> None:
    del context


@then('with an aim of {aim:d} ms and pauses of {pause:d} ms it is late by '
      '{cause}')
def step_late(context: Any, aim: int, pause: int, cause: str) -> None:
    found = context.timing.lateness_cause(aim / _MS_PER_S, pause / _MS_PER_S)
    assert found.value == cause, found


@when('the choices seen since then are taken')
def step_take(context: Any) -> None:
    seen = context.demand.take_observed_choices()
    assert all(map(any, seen)), seen
    context.seen = context.demand.take_observed_choices()


@then('they are none')
def step_none(context: Any) -> None:
    assert not any(map(any, context.seen)), context.seen
