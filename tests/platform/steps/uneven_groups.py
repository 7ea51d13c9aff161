"""Steps for groups with slow ranks, lost agents and shifts of demand."""

import random
from typing import Any

from behave import given, then, when

from pollenthread.core import (log_events, replication, routing_config,
                               step_limits)
from pollenthread.core.expert_maps import rank_speed
from tests.fakes import emulated_group, group_simulation

_SEED = 1
_START_S = 1000.0
_PROFILE = routing_config.EngineProfile(slots=5,
                                        kv_cache_tokens=205_833,
                                        base_step_s=0.00484,
                                        step_s_per_sequence=0.00087,
                                        step_s_per_context_token=0.0,
                                        prefill_tokens_per_s=74_800.0,
                                        prefill_s_per_token_pair=0.0,
                                        prefill_chunk_tokens=512,
                                        steps_per_pass=6,
                                        mean_prompt_tokens=835.0,
                                        mean_output_tokens=158.0,
                                        link_bytes_per_s=22.5e9,
                                        sets=12,
                                        experts=144,
                                        expert_slots=3,
                                        spare_expert_slots=2,
                                        expert_bytes=110e6,
                                        expert_share=0.85)
_MEGABITS_PER_S = 4
# A load is even if the most loaded rank has at most this times what it has
# with a map planned for the true demand without limits on copies.
_EVEN_RATIO = 1.3
_CHECK_INTERVAL_S = 0.05

# Planning.


@given('a group of {ranks:d} ranks with {experts:d} experts in {sets:d} sets, '
       'balanced')
def step_balanced(context: Any, ranks: int, experts: int, sets: int) -> None:
    rng = random.Random(_SEED)
    context.shares = [
        emulated_group.zipf_shares(rng, experts) for _ in range(sets)
    ]
    context.limits = step_limits.limits_for(_PROFILE, ranks)
    context.layouts = _plan(context, _round_robin(context, ranks), ())


def _round_robin(context: Any, ranks: int) -> list[replication.SetLayout]:
    experts = len(context.shares[0])
    layout = tuple(
        frozenset(range(rank, experts, ranks)) for rank in range(ranks))
    return [layout] * len(context.shares)


def _plan(context: Any, layouts: Any, slowdowns: Any) -> Any:
    for _ in range(2):
        step = replication.plan_replication_step(
            layouts, context.shares, context.limits.replication_limits,
            slowdowns)
        if context.limits.is_worthwhile(step):
            layouts = step.layouts
    return layouts


@when('rank {rank:d} becomes {slowdown:f} times as slow as the others')
def step_becomes_slow(context: Any, rank: int, slowdown: float) -> None:
    context.slowdowns = [1.0] * len(context.layouts[0])
    context.slowdowns[rank] = slowdown


@when('at most 2 replication steps are planned that are worthwhile')
def step_plan_relief(context: Any) -> None:
    context.layouts = _plan(context, context.layouts, context.slowdowns)


@then('the maximum load is at most {ratio:f} times that of the group without '
      'rank {rank:d}')
def step_relieved(context: Any, ratio: float, rank: int) -> None:
    ranks = len(context.layouts[0])
    rest = _plan(context, _round_robin(context, ranks - 1), ())
    ideal = replication.mean_max_rank_load(rest, context.shares)
    found = replication.mean_max_rank_load(context.layouts, context.shares,
                                           context.slowdowns)
    # Loads are relative to the mean over the ranks, of which there is one more.
    bound = ratio * ideal * ranks / (ranks - 1)
    assert found <= bound, (rank, found, bound)


# Speeds.


@given('a rank that is {slowdown:f} times as slow for {slow_s:f} s and normal '
       'for {normal_s:f} s by turns')
def step_by_turns(context: Any, slowdown: float, slow_s: float,
                  normal_s: float) -> None:
    context.speeds = rank_speed.RankSpeeds()
    context.speed_at = lambda t: (slowdown
                                  if t % (slow_s + normal_s) < slow_s else 1.0)


@when('{seconds:d} s have passed')
def step_speeds_pass(context: Any, seconds: int) -> None:
    context.slow_at, context.recovered_at = [], []
    for i in range(round(seconds / _CHECK_INTERVAL_S)):
        now = i * _CHECK_INTERVAL_S
        slow, recovered = context.speeds.update({0: context.speed_at(now)}, now)
        context.slow_at += [now] * len(slow)
        context.recovered_at += [now] * len(recovered)


@then('it was found to be slow at once')
def step_slow_at_once(context: Any) -> None:
    assert context.slow_at[0] == 0.0, context.slow_at


@then('it was found to have recovered at most {count:d} times')
def step_recoveries(context: Any, count: int) -> None:
    assert len(context.recovered_at) <= count, context.recovered_at


@then('it counts as normal')
def step_counts_as_normal(context: Any) -> None:
    assert context.speeds.slowdowns(1) == [1.0]


# Groups in virtual time.


@given('a group of {ranks:d} ranks with few spare slots and agents of its own')
def step_own_agents(context: Any, ranks: int) -> None:
    context.simulation = group_simulation.GroupSimulation(
        agents=ranks,
        megabits_per_s=_MEGABITS_PER_S,
        figures=_PROFILE,
        has_outside_agent=False)
    context.link_bytes_per_s = _MEGABITS_PER_S * 1e6 / 8


@when('rank {rank:d} is {slowdown:f} times as slow from second {begin:f} to '
      'second {end:f}')
def step_slow_between(context: Any, rank: int, slowdown: float, begin: float,
                      end: float) -> None:
    simulation = context.simulation
    simulation.schedule(begin,
                        lambda: simulation.group.set_slowdown(rank, slowdown))
    simulation.schedule(end, lambda: simulation.group.set_slowdown(rank, 1.0))


@when('rank {rank:d} is lost from second {begin:f} to second {end:f}')
def step_lost_between(context: Any, rank: int, begin: float,
                      end: float) -> None:
    simulation = context.simulation
    simulation.schedule(begin,
                        lambda: simulation.group.lose_rank(rank, end - begin))


@when('all agents end at second {end:f} and start again at second {start:f}')
def step_restart_agents(context: Any, end: float, start: float) -> None:
    context.simulation.schedule(end, context.simulation.stop_all_agents)
    context.simulation.schedule(start, context.simulation.start_all_agents)


@when('the coordinator ends {after_s:f} s after it planned its map number '
      '{number:d}')
def step_stop_coordinator(context: Any, after_s: float, number: int) -> None:
    context.simulation.stop_coordinator_after(log_events.LogEvent.MAP_PLANNED,
                                              number, after_s)


def _is_even(skew: float, ideal: float) -> bool:
    return skew <= _EVEN_RATIO * ideal


@then('the load is even {limit_s:f} s after second {second:f}')
def step_even_after(context: Any, limit_s: float, second: float) -> None:
    _check_even_at(context, _START_S + second + limit_s)


@then('the load is even {limit_s:f} s after it formed')
def step_even_after_forming(context: Any, limit_s: float) -> None:
    _check_even_at(context, context.simulation.group.formed_at + limit_s)


def _check_even_at(context: Any, due_at: float) -> None:
    group = context.simulation.group
    passes = zip(group.began_at, group.skew_by_pass, group.ideal_skew_by_pass)
    skew, ideal = next(
        (skew, ideal) for at, skew, ideal in passes if at >= due_at)
    assert _is_even(skew, ideal), (skew, ideal)


@then('the load is even for at least half of the time from second {begin:d} on')
def step_even_share(context: Any, begin: int) -> None:
    group = context.simulation.group
    even_s = total_s = 0.0
    for index, at in enumerate(group.began_at[:-1]):
        if at < _START_S + begin:
            continue
        length_s = group.began_at[index + 1] - at
        total_s += length_s
        if _is_even(group.skew_by_pass[index], group.ideal_skew_by_pass[index]):
            even_s += length_s
    assert even_s >= total_s / 2, (even_s, total_s)


@then('the group forms again in epoch {epoch:d}')
def step_epoch(context: Any, epoch: int) -> None:
    found = {state.epoch for state in context.simulation.group.states}
    assert found == {epoch}, found


def _lines(context: Any, event: log_events.LogEvent) -> Any:
    return [
        line for line in context.simulation.log_lines if line.event is event
    ]


@then('the slow rank {rank:d} and its recovery were logged')
def step_slow_logged(context: Any, rank: int) -> None:
    for event in (log_events.LogEvent.RANK_SLOW,
                  log_events.LogEvent.RANK_RECOVERED):
        assert [line.fields['rank'] for line in _lines(context, event)
               ] == [rank], event


@then('another agent takes over within {limit_s:f} s')
def step_take_over(context: Any, limit_s: float) -> None:
    taken = _lines(context, log_events.LogEvent.DUTY_TAKEN)
    ended_at = context.simulation.coordinator_ended_at
    assert len(taken) == 2 and taken[0].host != taken[1].host, taken
    assert taken[1].at - ended_at <= limit_s, taken[1].at - ended_at


@then('its maps come into use')
def step_new_maps(context: Any) -> None:
    taken = _lines(context, log_events.LogEvent.DUTY_TAKEN)
    switched = _lines(context, log_events.LogEvent.MAP_SWITCHED)
    assert any(line.host == taken[-1].host for line in switched), switched
