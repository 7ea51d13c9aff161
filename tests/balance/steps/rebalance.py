"""Steps for decisions about experts, with made-up counts."""

import collections
import dataclasses
from typing import Any

from behave import given, then, when

from pollenthread.core import (expert_map, load_schedule, model_placement,
                               moves, placement, popularity, rebalance,
                               stragglers, targets)

_INTERVAL_S = 300.0
_TOKENS = 200_000


def _planner(context: Any) -> rebalance.PlannerConfig:
    return rebalance.PlannerConfig(context.group, context.balance,
                                   context.costs, _INTERVAL_S)


def _tokens(context: Any) -> tuple[tuple[int, ...], ...]:
    total = sum(context.weights)
    row = tuple(int(_TOKENS * weight / total) for weight in context.weights)
    return (row,) * context.layers


def _shares(context: Any) -> list[tuple[float, ...]]:
    total = sum(context.weights)
    return [tuple(weight / total for weight in context.weights)
           ] * context.layers


def _run_plans(context: Any, count: int) -> list[rebalance.RebalancePlan]:
    state = rebalance.GroupState(current_map=context.first_map)
    estimate = popularity.empty_popularity(layers=context.layers,
                                           experts=context.group.experts,
                                           at_s=0.0)
    plans = []
    for i in range(1, count + 1):
        now_s = i * _INTERVAL_S
        estimate = popularity.add_counts(
            estimate, popularity.TokenCounts(i, now_s, _tokens(context)))
        state, plan = rebalance.plan_rebalance(_planner(context),
                                               state,
                                               estimate,
                                               now_s=now_s)
        plans.append(plan)
    return plans


def _plan_once(context: Any, **circumstances: Any) -> None:
    state = rebalance.GroupState(current_map=context.first_map)
    estimate = popularity.empty_popularity(layers=context.layers,
                                           experts=context.group.experts,
                                           at_s=0.0)
    if circumstances:
        estimate = popularity.add_counts(
            estimate, popularity.TokenCounts(1, 1.0, _tokens(context)))
    _, context.plan = rebalance.plan_rebalance(_planner(context),
                                               state,
                                               estimate,
                                               now_s=1.0,
                                               **circumstances)


@given('a group of {ranks:d} ranks on {hosts:d} hosts with {experts:d} experts '
       'in {layers:d} layers')
def step_group(context: Any, ranks: int, hosts: int, experts: int,
               layers: int) -> None:
    names = tuple(f'host-{i * hosts // ranks}' for i in range(ranks))
    context.group = placement.GroupShape(experts,
                                         (experts // ranks + 1,) * ranks, names)
    context.layers = layers
    context.weights = [1 / (i + 1) for i in range(experts)]
    context.balance = targets.RankBalance(skew=1.02, budget_share=0.05)
    context.costs = rebalance.LoadCosts(expert_bytes=44_000_000,
                                        store_bytes_per_s=33e6,
                                        slowdown=0.2,
                                        stall_s=0.05)
    rows = _shares(context)
    context.first_map = expert_map.build_map(
        [moves.optimize_layout(context.group, row) for row in rows], rows)


@given('expert {expert:d} of each layer becomes {factor:d} times as popular')
def step_popular(context: Any, expert: int, factor: int) -> None:
    context.weights[expert] *= factor


@given('the weight store gives 1 byte a second')
def step_slow_store(context: Any) -> None:
    context.costs = dataclasses.replace(context.costs, store_bytes_per_s=1.0)


@given('a rebalancing budget of 0 percent')
def step_no_budget(context: Any) -> None:
    context.balance = dataclasses.replace(context.balance, budget_share=0.0)


@when('no counts arrive')
def step_no_counts(context: Any) -> None:
    _plan_once(context)


@when('the group is drained')
def step_drained(context: Any) -> None:
    _plan_once(context, draining=True)


@when('a rank does not answer')
def step_short(context: Any) -> None:
    _plan_once(context, missing_ranks=1)


@then('the plan is "{verdict}" and moves nothing')
def step_verdict(context: Any, verdict: str) -> None:
    assert context.plan.verdict == verdict, context.plan.verdict
    assert context.plan.target_map == context.first_map


@when('{count:d} plans are carried out')
def step_plans(context: Any, count: int) -> None:
    context.plans = _run_plans(context, count)


@then('the skew is below {limit:g}')
def step_skew(context: Any, limit: float) -> None:
    skew = expert_map.skew(context.plans[-1].target_map, _shares(context))
    assert skew < limit, skew


@then('the skew is lower than with the first map')
def step_lower(context: Any) -> None:
    after = expert_map.skew(context.plans[-1].target_map, _shares(context))
    before = expert_map.skew(context.first_map, _shares(context))
    assert after < before, (after, before)


@then('every load was paid by its saving')
def step_paid(context: Any) -> None:
    layer_loads = [item for plan in context.plans for item in plan.layer_loads]
    assert layer_loads
    assert all(item.saving > item.cost for item in layer_loads)


@then('no expert was loaded')
def step_no_load(context: Any) -> None:
    assert not any(plan.experts for plan in context.plans)


@then('the same input gives the same maps')
def step_deterministic(context: Any) -> None:
    assert _run_plans(context, len(context.plans)) == context.plans


@then('every expert with up to {most:d} replicas has each on a host of its own')
def step_hosts(context: Any, most: int) -> None:
    for layer in context.plans[-1].target_map:
        hosts = collections.defaultdict[int, list[str]](list)
        for host, experts in zip(context.group.host_by_rank, layer.layout):
            for expert in experts:
                hosts[expert].append(host)
        for expert, names in hosts.items():
            if len(names) <= most:
                assert len(set(names)) == len(names), (expert, names)


@when('report 3 comes before report 2, and report 2 twice')
def step_late(context: Any) -> None:
    estimate = popularity.empty_popularity(layers=1, experts=2, at_s=0.0)
    for seq in (1, 3, 2, 2):
        tokens = ((0, 1000),) if seq == 2 else ((1000, 0),)
        estimate = popularity.add_counts(
            estimate, popularity.TokenCounts(seq, 10.0 * seq, tokens))
    context.estimate = estimate


@then('the estimate counts report 2 once and misses none')
def step_once(context: Any) -> None:
    late = context.estimate.layers[0].weight[1]
    assert 0 < late <= 1000, late
    assert context.estimate.missed == 0


@when('report 9 comes next')
def step_gap(context: Any) -> None:
    context.estimate = popularity.add_counts(
        context.estimate, popularity.TokenCounts(9, 90.0, ((1000, 0),)))


@then('the estimate misses {count:d} reports')
def step_missed(context: Any, count: int) -> None:
    assert context.estimate.missed == count, context.estimate.missed


@given('a rank that takes 30 percent longer for its tokens')
def step_slow_rank(context: Any) -> None:
    context.seconds = [1.3, 1.0, 1.0, 1.0]
    context.tokens = [1000, 1000, 1000, 1000]


@given('a rank with 30 percent more tokens')
def step_more_tokens(context: Any) -> None:
    context.seconds[1] *= 1.3
    context.tokens[1] = 1300


@then('only the first is reported as slow')
def step_only_slow(context: Any) -> None:
    window = stragglers.RankTimes(tuple(context.seconds), tuple(context.tokens))
    slow = stragglers.find_slow_ranks([window] * stragglers.MIN_WINDOWS)
    assert [item.rank for item in slow] == [0], slow


@given('groups that want to load from one store')
def step_requests(context: Any) -> None:
    context.requests = [
        load_schedule.LoadRequest('short', 100, 2.0, 12.0, 1.0),
        load_schedule.LoadRequest('best', 100, 5.0, 100.0, 1.0),
        load_schedule.LoadRequest('good', 100, 3.0, 100.0, 1.0)
    ]


@then('the best goes first and one that would wait too long does not load')
def step_turns(context: Any) -> None:
    turns = load_schedule.schedule_loads(context.requests,
                                         store_bytes_per_s=10.0)
    assert [(turn.group, turn.start_s) for turn in turns] == [('best', 0.0),
                                                              ('good', 10.0)]


@given('two models, and demand that has moved to the second')
def step_models(context: Any) -> None:
    context.models = [
        model_placement.GroupModel(f'group-{i}', model)
        for i, model in enumerate(('a', 'a', 'a', 'b'))
    ]


@then('one group changes if the demand lasts, and none if it does not')
def step_changes(context: Any) -> None:
    for life_s, wanted in ((3600.0, ['b']), (100.0, [])):
        demands = [
            model_placement.ModelDemand('a', 1.6, life_s),
            model_placement.ModelDemand('b', 2.0, life_s)
        ]
        changes = model_placement.plan_models(context.models,
                                              demands,
                                              load_s=120.0,
                                              budget=4)
        assert [change.model for change in changes] == wanted, changes
