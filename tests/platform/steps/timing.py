"""Steps for the causes of late streams and the skew in the log."""

from typing import Any

from behave import given, then, when

from pollenthread.core import stream_timing

_MS_PER_S = 1000


@given('a stream that was sent to a server after {sent_ms:d} ms')
def step_sent(context: Any, sent_ms: int) -> None:
    context.timing = stream_timing.StreamTiming(100.0)
    context.timing.record_sent(100.0 + sent_ms / _MS_PER_S)


@when('its events arrive after "{times_ms}" ms')
def step_events(context: Any, times_ms: str) -> None:
    for time_ms in times_ms.split():
        context.timing.record_events(100.0 + int(time_ms) / _MS_PER_S)


@when('its events arrive after "" ms')
def step_no_events(context: Any) -> None:
    del context


@then('with a target of {target_ms:d} ms and a maximum gap of {max_gap_ms:d} '
      'ms the cause is {cause}')
def step_lateness_cause(context: Any, target_ms: int, max_gap_ms: int,
                        cause: str) -> None:
    found = context.timing.lateness_cause(target_ms / _MS_PER_S,
                                          max_gap_ms / _MS_PER_S)
    assert found.value == cause, found


@when('the choices observed since then are taken twice')
def step_take_choices(context: Any) -> None:
    observed = context.demand.take_observed_choices()
    assert all(map(any, observed)), observed
    context.observed = context.demand.take_observed_choices()


@then('the second time there are none')
def step_none_left(context: Any) -> None:
    assert not any(map(any, context.observed)), context.observed
