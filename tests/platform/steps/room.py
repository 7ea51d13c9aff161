"""Steps for the room of a group whose passes change."""

import dataclasses
import random
from typing import Any

from behave import given, then, when

from pollenthread.app.routing import pace_watch
from pollenthread.core import log_events, server_load, service_estimate
from pollenthread.core.routing import pass_model, room_forecast
from tests.fakes import forwarding, memory, polled_group

_ENGINE = dataclasses.replace(forwarding.ENGINE_PROFILE,
                              slots=5,
                              step_s_per_sequence=0.0009)
_PASSES = 25.0
_MAX_GAP_S = 0.12
_REQUIREMENTS = service_estimate.RequestRequirements(time_left_s=8.0,
                                                     max_gap_s=_MAX_GAP_S,
                                                     passes=_PASSES)


def _true_pass_s(running: float, factor: float = 1.0) -> float:
    return factor * pass_model.predict_pass_s(_ENGINE, running)


def _make_group(context: Any, name: str, ranks: int, running: int, slots: int,
                interval_s: float) -> polled_group.PolledGroup:
    return polled_group.PolledGroup(ranks=ranks,
                                    slots=slots,
                                    running=running,
                                    pass_s=_true_pass_s(running),
                                    report_interval_s=interval_s,
                                    record=context.loads.record_report,
                                    name=name)


def _forecast(context: Any) -> room_forecast.RoomForecast:
    forecast: room_forecast.RoomForecast = context.loads.forecast(
        context.group.servers,
        passes=_PASSES,
        max_gap_s=_MAX_GAP_S,
        engine=_ENGINE,
        now=context.group.now)
    return forecast


def _advance_to(context: Any, second: float) -> None:
    """Runs the group, which changes at the scenario's times."""
    while context.changes and context.changes[0][0] <= second:
        at, change = context.changes.pop(0)
        context.group.run_until(at)
        change()
    context.group.run_until(second)


@given('a group of {ranks:d} ranks with {running:d} of {slots:d} slots in use '
       'that report every {interval_s:g} s')
def step_group(context: Any, ranks: int, running: int, slots: int,
               interval_s: float) -> None:
    context.loads = server_load.ServerLoadTracker(rng=random.Random(1))
    context.group = _make_group(context, 'first', ranks, running, slots,
                                interval_s)
    context.interval_s = interval_s
    context.factor = 1.0
    context.changes = []


@given('another such group with {running:d} of {slots:d} slots in use')
def step_other_group(context: Any, running: int, slots: int) -> None:
    context.other = _make_group(context, 'other', len(context.group.servers),
                                running, slots, context.interval_s)


@when('its passes take {factor:g} times as long from second {start:d} to '
      '{end:d}')
def step_slower(context: Any, factor: float, start: int, end: int) -> None:

    def set_factor(value: float) -> None:
        context.factor = value
        context.group.pass_s = _true_pass_s(context.group.running, value)

    context.changes = [(start, lambda: set_factor(factor)),
                       (end, lambda: set_factor(1.0))]


@when('it makes no pass for {stop_s:g} s from second {start:d}')
@when('the first makes no pass for {stop_s:g} s from second {start:d}')
def step_stop(context: Any, stop_s: float, start: int) -> None:
    pass_s = context.group.pass_s
    context.stopped_at, context.resumed_at = start, start + stop_s
    context.changes = [(start,
                        lambda: setattr(context.group, 'pass_s', float('inf'))),
                       (start + stop_s, lambda: context.group.resume(pass_s))]


@when('it closes at second {closed:d} and opens in a new epoch at second '
      '{opened:d}')
def step_formed_anew(context: Any, closed: int, opened: int) -> None:

    def open_again() -> None:
        context.group.epoch += 1
        context.group.is_open = True

    context.changes += [(closed,
                         lambda: setattr(context.group, 'is_open', False)),
                        (opened, open_again)]


@when('its agents stop reporting at second {second:d}')
def step_reports_stop(context: Any, second: int) -> None:
    context.changes = [(second,
                        lambda: setattr(context.group, 'reports', False))]


def _assert_pass_known(context: Any, percent: int) -> None:
    forecast = _forecast(context)
    running = context.group.running * len(context.group.servers)
    pass_s = running / (_PASSES * forecast.frees_per_s)
    error = abs(pass_s / context.group.pass_s - 1)
    assert error < percent / 100, (pass_s, context.group.pass_s)


@then('at second {second:d} a pass of the forecast differs by under '
      '{percent:d}% from the true one')
def step_pass_at(context: Any, second: int, percent: int) -> None:
    _advance_to(context, second)
    _assert_pass_known(context, percent)


@then('{seconds:g} s after it runs again a pass of the forecast differs by '
      'under {percent:d}% from the true one')
def step_pass_after_stop(context: Any, seconds: float, percent: int) -> None:
    _advance_to(context, context.resumed_at + seconds)
    _assert_pass_known(context, percent)


@then('at second {second:d} passes at the forecast slots keep a gap of '
      '{gap_ms:d} ms, or all slots count')
def step_slots_keep_gap(context: Any, second: int, gap_ms: int) -> None:
    assert context.group.now == second
    slots = _forecast(context).slots / len(context.group.servers)
    pass_s = _true_pass_s(slots, context.factor)
    assert slots == _ENGINE.slots or pass_s <= gap_ms / 1000, (slots, pass_s)


@then('at second {second:d} the forecast has all {slots:d} slots')
def step_all_slots(context: Any, second: int, slots: int) -> None:
    _advance_to(context, second)
    assert _forecast(context).slots == slots, _forecast(context)


@then('the forecast has no free slot from {seconds:g} s after its last pass')
def step_no_room(context: Any, seconds: float) -> None:
    second = context.stopped_at + seconds
    while second < context.resumed_at:
        _advance_to(context, second)
        forecast = _forecast(context)
        assert forecast.free_slots == forecast.frees_per_s == 0, forecast
        second += 0.05


@then('{seconds:g} s after it runs again the forecast has {slots:d} free '
      'slots')
def step_room_again(context: Any, seconds: float, slots: int) -> None:
    assert context.group.now == context.resumed_at + seconds
    assert abs(_forecast(context).free_slots - slots) < 1e-6, _forecast(context)


@then('{seconds:g} s after its last pass {count:d} requests all go to the '
      'other one')
def step_other_selected(context: Any, seconds: float, count: int) -> None:
    _advance_to(context, context.stopped_at + seconds)
    context.other.run_until(context.group.now)
    for _ in range(count):
        server = context.loads.select(context.group.servers +
                                      context.other.servers,
                                      excluded=(),
                                      data_centre='a',
                                      requirements=_REQUIREMENTS,
                                      hosts=1,
                                      now=context.group.now)
        assert server in context.other.servers, server


@when('its pace is watched every {interval_s:g} s from second {start:d} to '
      '{end:d}')
def step_watch(context: Any, interval_s: float, start: int, end: int) -> None:
    state = forwarding.make_state()
    state.server_loads = context.loads
    context.log = memory.CountingEventLog()
    time = memory.MemoryClock()
    context.watch = pace_watch.PaceWatch(state=state,
                                         time=time,
                                         log=context.log)
    for number in range(round((end - start) / interval_s)):
        time.now = start + number * interval_s
        _advance_to(context, time.now)
        context.watch.check()


@then('{count:d} stop is counted')
def step_stops(context: Any, count: int) -> None:
    assert context.watch.stops == count, context.watch.stops


@then('the log has {count:d} lines about its pace, the first for its usual '
      'pace')
def step_lines(context: Any, count: int) -> None:
    found = context.log.counts[log_events.LogEvent.GROUP_PACE]
    assert found == count, found


@then('at second {second:d} nothing is known of its room')
def step_unknown(context: Any, second: int) -> None:
    _advance_to(context, second)
    assert _forecast(context).known_share == 0, _forecast(context)


@then('at second {second:d} the reports are at most {age_s:g} s old on '
      'average')
def step_age(context: Any, second: int, age_s: float) -> None:
    _advance_to(context, second)
    forecast = _forecast(context)
    assert forecast.known_share == 1 and forecast.age_s <= age_s, forecast
