"""Steps for loads that leave too little room, in virtual time."""

import collections
import dataclasses
from typing import Any

from behave import given, then, when

from tests.fakes import busy_fleet, virtual_time

_ROUTES = (busy_fleet.make_route('captions', 0, 0.406),
           busy_fleet.make_route('listings', 1, 0.407),
           busy_fleet.make_route('texts', 2, 1.007))
_USUAL_PER_S = {'captions': 40.0, 'listings': 18.0, 'texts': 52.0}
_END_S = 11.0
# The seconds for which results count: the burst has filled the servers.
_BEGIN_S, _COUNTED_END_S = 3.0, 9.0
_ORACLE = busy_fleet.FleetShape(hosts=1, min_report_s=0.01, max_report_s=0.02)
_OLD_NEWS = busy_fleet.FleetShape(min_report_s=0.25, max_report_s=0.6)
_LARGE = 'large'


def _begin(context: Any) -> None:
    context.groups = []
    context.events = {}
    context.shape = busy_fleet.FleetShape()
    context.workspace_by_key = None


@given('captions, listings and texts at their usual rates')
def step_usual(context: Any) -> None:
    _begin(context)
    context.groups = [
        busy_fleet.CallerGroup(route, per_s, end_s=_END_S)
        for route, per_s in _USUAL_PER_S.items()
    ]


@given('{route} arrive at {factor:g} times their rate from second {begin:d} to '
       '{end:d}')
def step_burst(context: Any, route: str, factor: float, begin: int,
               end: int) -> None:
    context.groups.append(
        busy_fleet.CallerGroup(route,
                               _USUAL_PER_S[route] * (factor - 1),
                               begin_s=begin,
                               end_s=end))


def _add_workspaces(context: Any, count: int, per_s: float) -> None:
    _begin(context)
    names = [f'w{number}' for number in range(count)]
    context.workspace_by_key = {name: name for name in (*names, _LARGE)}
    context.groups = [
        busy_fleet.CallerGroup('texts',
                               per_s / count,
                               end_s=_END_S,
                               api_key=name) for name in names
    ]


@given(
    '{count:d} workspaces that send {per_s:d} texts per second, and one that '
    'sends as many')
def step_large_workspace(context: Any, count: int, per_s: int) -> None:
    _add_workspaces(context, count, per_s)
    context.groups.append(
        busy_fleet.CallerGroup('texts', per_s, end_s=_END_S, api_key=_LARGE))


@given('{count:d} workspaces that send {per_s:d} texts per second, and one of '
       'them repeats at once')
def step_repeating_workspace(context: Any, count: int, per_s: int) -> None:
    _add_workspaces(context, count, per_s)
    context.groups.append(
        busy_fleet.CallerGroup('texts',
                               per_s / count,
                               end_s=_END_S,
                               api_key=_LARGE,
                               retries=3,
                               repeats_at_once=True))


@given('load reports are up to 0.6 s old')
def step_old_reports(context: Any) -> None:
    context.shape = _OLD_NEWS


@given('one host hears nothing')
def step_deaf_host(context: Any) -> None:
    context.events[0.0] = lambda fleet: fleet.silence_reports(0)


@given('one host restarts at second {at:d}')
def step_restart(context: Any, at: int) -> None:
    context.events[at] = lambda fleet: fleet.restart_host(0)


@given('all servers take twice as long from second {at:d}')
def step_slow(context: Any, at: int) -> None:

    def slow_down(fleet: busy_fleet.BusyFleet) -> None:
        pace = fleet.servers.profile
        fleet.servers.profile = dataclasses.replace(
            pace,
            base_interval_s=2 * pace.base_interval_s,
            interval_per_request_s=2 * pace.interval_per_request_s)

    context.events[at] = slow_down


@given('all servers are down from second {begin:g} to {end:g}')
def step_outage(context: Any, begin: float, end: float) -> None:
    context.events[begin] = lambda fleet: setattr(fleet.servers, 'is_open',
                                                  False)
    context.events[end] = lambda fleet: setattr(fleet.servers, 'is_open', True)


def _play(context: Any, shape: busy_fleet.FleetShape) -> busy_fleet.BusyFleet:
    fleet = busy_fleet.BusyFleet(routes=_ROUTES,
                                 shape=shape,
                                 workspace_by_key=context.workspace_by_key)
    events = {
        at: lambda event=event: event(fleet)
        for at, event in context.events.items()
    }
    virtual_time.run(fleet.run(context.groups, events))
    return fleet


@when('the callers are played against the fleet')
def step_play(context: Any) -> None:
    context.fleet = _play(context, context.shape)


@when('the callers are played against the fleet and the oracle')
def step_play_both(context: Any) -> None:
    step_play(context)
    context.oracle = _play(context, _ORACLE)


@then('captions are in time at least {share:g} as often as with the oracle')
def step_near_oracle(context: Any, share: float) -> None:
    _check_near_oracle(context, share, _BEGIN_S)


@then('from second {begin:d} on captions are in time at least {share:g} as '
      'often as with the oracle')
def step_near_oracle_later(context: Any, begin: int, share: float) -> None:
    _check_near_oracle(context, share, begin)


def _check_near_oracle(context: Any, share: float, begin_s: float) -> None:
    found, possible = (fleet.shares('is_in_time', begin_s,
                                    _COUNTED_END_S)['captions']
                       for fleet in (context.fleet, context.oracle))
    assert found >= share * possible, (found, possible)


@then('no level is served less often than a less important one by over 5 in '
      '100')
def step_no_inversion(context: Any) -> None:
    served = context.fleet.shares('is_served', _BEGIN_S, _COUNTED_END_S)
    in_order = [served[route] for route in _USUAL_PER_S]
    for position, share in enumerate(in_order):
        assert share >= max(in_order[position:]) - 0.05, served


@then('all levels are served at least a quarter as often as all callers')
def step_none_starved(context: Any) -> None:
    served = context.fleet.shares('is_served', _BEGIN_S, _COUNTED_END_S)
    of_all = sum(c.is_served for c in context.fleet.callers) / len(
        context.fleet.callers)
    assert min(served.values()) >= of_all / 4, (served, of_all)


@then('no other workspace is served or in time less than half as often as all')
def step_fair(context: Any) -> None:
    for attribute in ('is_served', 'is_in_time'):
        results = collections.defaultdict(list)
        for caller in context.fleet.callers:
            if _BEGIN_S <= caller.arrived_at < _COUNTED_END_S:
                results[caller.group.api_key].append(getattr(caller, attribute))
        everyone = [value for found in results.values() for value in found]
        mean = sum(everyone) / len(everyone)
        del results[_LARGE]
        least = min(sum(found) / len(found) for found in results.values())
        assert least >= mean / 2, (attribute, least, mean)


@then('captions are in time at least as often as texts less 5 in 100')
def step_captions_first(context: Any) -> None:
    in_time = context.fleet.shares('is_in_time', _BEGIN_S, _COUNTED_END_S)
    assert in_time['captions'] >= in_time['texts'] - 0.05, in_time


@then('at least {percent:d} in 100 of all callers are served')
def step_served(context: Any, percent: int) -> None:
    callers = context.fleet.callers
    served = sum(caller.is_served for caller in callers)
    assert served >= len(callers) * percent / 100, (served, len(callers))


@then('no request has waited at a host')
def step_no_wait(context: Any) -> None:
    assert not context.fleet.waits, context.fleet.waits
