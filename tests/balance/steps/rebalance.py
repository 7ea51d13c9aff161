"""Steps for the planning of experts, with generated counts."""

import collections
import dataclasses
from typing import Any

from behave import given, then, when

from pollenthread.core import (expert_map, load_schedule, model_placement,
                               moves, placement, popularity, rebalance,
                               stragglers, targets)

_INTERVAL_S = 300.0
_TOKENS_PER_REPORT = 200_000


def _planner_config(context: Any) -> rebalance.PlannerConfig:
    return rebalance.PlannerConfig(context.group, context.balance,
                                   context.costs, _INTERVAL_S)


def _token_counts(context: Any) -> tuple[tuple[int, ...], ...]:
    total = sum(context.weights)
    row = tuple(
        int(_TOKENS_PER_REPORT * weight / total) for weight in context.weights)
    return (row,) * context.layers


def _expert_shares(context: Any) -> list[tuple[float, ...]]:
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
            estimate, popularity.TokenCounts(i, now_s, _token_counts(context)))
        state, plan = rebalance.plan_rebalance(_planner_config(context),
                                               state,
                                               estimate,
                                               now_s=now_s)
        plans.append(plan)
    return plans


def _plan_once(context: Any, **conditions: Any) -> None:
    state = rebalance.GroupState(current_map=context.first_map)
    estimate = popularity.empty_popularity(layers=context.layers,
                                           experts=context.group.experts,
                                           at_s=0.0)
    if conditions:
        estimate = popularity.add_counts(
            estimate, popularity.TokenCounts(1, 1.0, _token_counts(context)))
    _, context.plan = rebalance.plan_rebalance(_planner_config(context),
                                               state,
                                               estimate,
                                               now_s=1.0,
                                               **conditions)


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
    rows = _expert_shares(context)
    context.first_map = expert_map.build_map(
        [moves.optimize_layout(context.group, row) for row in rows], rows)


@given('the popularity of expert {expert:d} of each layer is multiplied by '
       '{factor:d}')
def step_multiply_popularity(context: Any, expert: int, factor: int) -> None:
    context.weights[expert] *= factor


@given('the weight store delivers 1 byte per second')
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


@when('a rank is missing')
def step_missing_rank(context: Any) -> None:
    _plan_once(context, missing_ranks=1)


@then('the plan is "{verdict}" and keeps the map')
def step_keeps_map(context: Any, verdict: str) -> None:
    assert context.plan.verdict == verdict, context.plan.verdict
    assert context.plan.target_map == context.first_map


@when('{count:d} plans are applied')
def step_plans(context: Any, count: int) -> None:
    context.plans = _run_plans(context, count)


@then('the skew is below {limit:g}')
def step_skew(context: Any, limit: float) -> None:
    skew = expert_map.skew(context.plans[-1].target_map,
                           _expert_shares(context))
    assert skew < limit, skew


@then('the skew is lower than with the first map')
def step_lower_skew(context: Any) -> None:
    after = expert_map.skew(context.plans[-1].target_map,
                            _expert_shares(context))
    before = expert_map.skew(context.first_map, _expert_shares(context))
    assert after < before, (after, before)


@then('the saving of every load exceeds its cost')
def step_saving_exceeds_cost(context: Any) -> None:
    layer_loads = [item for plan in context.plans for item in plan.layer_loads]
    assert layer_loads
    assert all(item.saving > item.cost for item in layer_loads)


@then('no expert was loaded')
def step_no_load(context: Any) -> None:
    assert not any(plan.experts for plan in context.plans)


@then('equal inputs give equal maps')
def step_deterministic(context: Any) -> None:
    assert _run_plans(context, len(context.plans)) == context.plans


@then('every expert with up to {most:d} replicas has each on a different host')
def step_different_hosts(context: Any, most: int) -> None:
    for layer in context.plans[-1].target_map:
        hosts = collections.defaultdict[int, list[str]](list)
        for host, experts in zip(context.group.host_by_rank, layer.layout):
            for expert in experts:
                hosts[expert].append(host)
        for expert, names in hosts.items():
            if len(names) <= most:
                assert len(set(names)) == len(names), (expert, names)


@when('report 3 arrives before report 2, and report 2 twice')
def step_late(context: Any) -> None:
    estimate = popularity.empty_popularity(layers=1, experts=2, at_s=0.0)
    for seq in (1, 3, 2, 2):
        tokens = ((0, 1000),) if seq == 2 else ((1000, 0),)
        estimate = popularity.add_counts(
            estimate, popularity.TokenCounts(seq, 10.0 * seq, tokens))
    context.estimate = estimate


@then('the estimate includes report 2 once and misses no report')
def step_once(context: Any) -> None:
    late_tokens = context.estimate.layers[0].weight[1]
    assert 0 < late_tokens <= 1000, late_tokens
    assert context.estimate.missed == 0


@when('report 9 arrives next')
def step_gap(context: Any) -> None:
    context.estimate = popularity.add_counts(
        context.estimate, popularity.TokenCounts(9, 90.0, ((1000, 0),)))


@then('the estimate misses {count:d} reports')
def step_missed(context: Any, count: int) -> None:
    assert context.estimate.missed == count, context.estimate.missed


@given('a rank that takes 30 percent longer for the same tokens')
def step_slow_rank(context: Any) -> None:
    context.seconds = [1.3, 1.0, 1.0, 1.0]
    context.tokens = [1000, 1000, 1000, 1000]


@given('a rank that has 30 percent more tokens')
def step_more_tokens(context: Any) -> None:
    context.seconds[1] *= 1.3
    context.tokens[1] = 1300


@then('only the first rank is reported as slow')
def step_only_slow(context: Any) -> None:
    window = stragglers.RankTimes(tuple(context.seconds), tuple(context.tokens))
    slow_ranks = stragglers.find_slow_ranks([window] * stragglers.MIN_WINDOWS)
    assert [item.rank for item in slow_ranks] == [0], slow_ranks


@given('groups that request loads from one store')
def step_requests(context: Any) -> None:
    context.requests = [
        load_schedule.LoadRequest('short', 100, 2.0, 12.0, 1.0),
        load_schedule.LoadRequest('best', 100, 5.0, 100.0, 1.0),
        load_schedule.LoadRequest('good', 100, 3.0, 100.0, 1.0)
    ]


@then('the best load is first and one that would wait too long is left out')
def step_schedule(context: Any) -> None:
    slots = load_schedule.schedule_loads(context.requests,
                                         store_bytes_per_s=10.0)
    assert [(slot.group, slot.start_s) for slot in slots] == [('best', 0.0),
                                                              ('good', 10.0)]


@given('two models, and demand that has shifted to the second')
def step_models(context: Any) -> None:
    context.models = [
        model_placement.GroupModel(f'group-{i}', model)
        for i, model in enumerate(('a', 'a', 'a', 'b'))
    ]


@then('one group changes its model if the demand lasts, otherwise none')
def step_model_changes(context: Any) -> None:
    for life_s, expected in ((3600.0, ['b']), (100.0, [])):
        demands = [
            model_placement.ModelDemand('a', 1.6, life_s),
            model_placement.ModelDemand('b', 2.0, life_s)
        ]
        changes = model_placement.plan_models(context.models,
                                              demands,
                                              load_s=120.0,
                                              budget=4)
        assert [change.model for change in changes] == expected, changes
