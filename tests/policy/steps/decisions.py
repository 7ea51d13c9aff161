"""Steps for the policy's pure decisions."""

import random
from typing import Any

from behave import given, then, when

from pollenthread.core import (admission_control, admission_queue, errors,
                               load_estimate, outlier_detection, retries,
                               targets, upstream_selection)

_LIMIT = 50


def _ticket(name: str, workspace: str, importance: int, now: float,
            due_at: float) -> admission_queue.AdmissionRequest:
    return admission_queue.AdmissionRequest(attempt=name,
                                            workspace=workspace,
                                            work_class='question',
                                            importance=importance,
                                            arrived_at=now,
                                            due_at=due_at,
                                            between_tokens_s=0.07)


@given('a queue with {large:d} tickets of "large", then {small:d} of "small", '
       'then {important:d} important of "large"')
def step_queue(context: Any, large: int, small: int, important: int) -> None:
    queue = admission_queue.AdmissionQueue()
    plan = [('large', 1)] * large + [('small', 1)] * small
    plan += [('large', 2)] * important
    for i, (workspace, importance) in enumerate(plan):
        queue.push(_ticket(str(i), workspace, importance, 0.0, 9.0))
    context.turns = []
    while (ticket := queue.pop()) is not None:
        context.turns.append(ticket)


@then('the turns go to "{workspaces}"')
def step_turns(context: Any, workspaces: str) -> None:
    found = ' '.join(ticket.workspace for ticket in context.turns)
    assert found == workspaces, found


@then('the first turn goes to the important ticket')
def step_first(context: Any) -> None:
    assert context.turns[0].importance == 2


@given('slots whose {count:d} turns are taken for {hold_s:d} s each')
def step_slots(context: Any, count: int, hold_s: int) -> None:
    context.now = 0.0
    context.slots = admission_control.AdmissionController(now=0.0)
    for i in range(40):
        context.slots.admit(_ticket(f'past-{i}', 'a', 1, context.now, 1e9),
                            context.now)
        context.slots.record_progress(f'past-{i}', context.now)
        context.now += hold_s
        context.slots.release(f'past-{i}', context.now)
    context.held = [f'held-{i}' for i in range(count)]
    for name in context.held:
        ticket = _ticket(name, 'a', 1, context.now, context.now + 2)
        decision, _ = context.slots.admit(ticket, context.now)
        assert decision is admission_control.AdmissionDecision.RUN, decision
        context.slots.record_progress(name, context.now)


def _offer(context: Any, name: str, target_s: float) -> None:
    ticket = _ticket(name, 'a', 1, context.now, context.now + target_s)
    context.decision, context.kind = context.slots.admit(ticket, context.now)


@when('an attempt with a target of {target_ms:d} ms comes')
def step_offer(context: Any, target_ms: int) -> None:
    _offer(context, f'new-{target_ms}', target_ms / 1000)


@when('no part comes for {silent_s:d} s')
def step_silent(context: Any, silent_s: int) -> None:
    context.now += silent_s
    _offer(context, 'stalled', 60.0)


@then('it is refused with "{kind}"')
@then('an attempt is refused with "{kind}"')
def step_refused(context: Any, kind: str) -> None:
    assert context.decision is admission_control.AdmissionDecision.REJECT, context.decision
    assert context.kind is errors.ErrorKind(kind), context.kind


@then('it waits')
def step_waits(context: Any) -> None:
    assert context.decision is admission_control.AdmissionDecision.WAIT, context.decision


@when('all {count:d} attempts are given up')
def step_give_up(context: Any, count: int) -> None:
    for name in context.held[:count]:
        context.slots.release(name, context.now)


@then('of {count:d} attempts {begun:d} begins')
def step_probe(context: Any, count: int, begun: int) -> None:
    decisions = []
    for i in range(count):
        _offer(context, f'probe-{i}', 60.0)
        decisions.append(context.decision)
    assert decisions.count(
        admission_control.AdmissionDecision.RUN) == begun, decisions


def _reading(running: int,
             limit: int = _LIMIT) -> admission_control.UpstreamLoad:
    return admission_control.UpstreamLoad(running, (0, 0, 0), limit, 4.0, 0.1,
                                          0.03)


@given('a report of {others:d} attempts of others against a mean of {mean:d}')
def step_report(context: Any, others: int, mean: int) -> None:
    context.mean = load_estimate.MeanOtherLoad()
    for _ in range(200):
        context.mean.record(
            load_estimate.UpstreamLoadReport(_reading(mean), 0, 0.0))
    context.report = load_estimate.UpstreamLoadReport(_reading(others), 0, 0.0)


@then('after {age_s:d} s the expected load is about {load:d}')
def step_expected(context: Any, age_s: int, load: int) -> None:
    found = load_estimate.expected_load(context.report,
                                        own=0,
                                        mean=context.mean,
                                        now=float(age_s))
    assert abs(found - load) < 1.0, found


@when('the upstream refuses an attempt')
def step_refusal(context: Any) -> None:
    context.report = load_estimate.report_after_rejection(context.report,
                                                          own=0,
                                                          now=0.0)


@then('it is expected to be full')
def step_full(context: Any) -> None:
    load = load_estimate.expected_load(context.report,
                                       own=0,
                                       mean=context.mean,
                                       now=0.0)
    assert load >= _LIMIT, load


@given('a health book of {count:d} hosts with answers of all of them')
def step_health(context: Any, count: int) -> None:
    context.health = outlier_detection.OutlierDetector()
    context.hosts = [f'host-{i}' for i in range(count)]
    for host in context.hosts:
        context.health.add(host)
    for _ in range(20):
        for host in context.hosts:
            context.health.record_result(host, succeeded=True, now=0.0)


@when('{count:d} of them fail {times:d} times each')
def step_fail(context: Any, count: int, times: int) -> None:
    for i in range(times):
        for number, host in enumerate(context.hosts):
            context.health.record_result(host,
                                         succeeded=number >= count,
                                         now=i * 0.01)


@when('an ejected one answers a probe well')
def step_probe_well(context: Any) -> None:
    context.health.record_result(context.health.ejected[0],
                                 succeeded=True,
                                 now=9.0)


@then('{count:d} of them are ejected')
def step_ejected(context: Any, count: int) -> None:
    assert len(context.health.ejected) == count, context.health.ejected


@given('a retry budget without savings')
def step_budget(context: Any) -> None:
    context.budget = retries.RetryTokenBucket()
    while context.budget.try_acquire(targets.Importance.HIGH):
        pass


@when('{count:d} requests succeed')
def step_succeed(context: Any, count: int) -> None:
    for _ in range(count):
        context.budget.record_success()


@then('{count:d} retries of {importance} importance are allowed')
def step_allowed(context: Any, count: int, importance: str) -> None:
    level = targets.Importance[importance.upper()]
    allowed = 0
    while context.budget.try_acquire(level):
        allowed += 1
    assert allowed == count, allowed


class _Upstream(upstream_selection.Candidate):
    """An upstream that counts how often it is looked at."""

    def __init__(self,
                 name: str,
                 load: int,
                 limit: int,
                 *,
                 usable: bool = True) -> None:
        self._name = name
        self._view = upstream_selection.UpstreamEstimate(
            _reading(load, limit), load)
        self._usable = usable
        self.looks = 0

    @property
    def host(self) -> str:
        return self._name

    @property
    def estimate(self) -> upstream_selection.UpstreamEstimate:
        self.looks += 1
        return self._view

    @property
    def is_usable(self) -> bool:
        return self._usable


@given('{count:d} upstreams of which only the last is usable')
def step_one_usable(context: Any, count: int) -> None:
    context.upstreams = [
        _Upstream(f'u-{i}', 0, 10, usable=i == count - 1) for i in range(count)
    ]


@then('each of {count:d} choices finds it')
def step_found(context: Any, count: int) -> None:
    draw = random.Random(1)
    chosen = [
        upstream_selection.select(
            [context.upstreams],
            upstream_selection.AttemptRequirements(importance=1),
            random_unit=draw.random) for _ in range(count)
    ]
    assert None not in chosen, f'{chosen.count(None)} of {count} found none'


@then('a choice looks at as many of {many:d} upstreams as of {few:d}')
def step_looks(_: Any, many: int, few: int) -> None:
    looks = []
    for count in (many, few):
        upstreams = [_Upstream(f'u-{i}', 5, 10) for i in range(count)]
        draw = random.Random(1)
        for _ in range(100):
            upstream_selection.select(
                [upstreams],
                upstream_selection.AttemptRequirements(importance=1),
                random_unit=draw.random)
        looks.append(sum(upstream.looks for upstream in upstreams))
    assert looks[0] <= looks[1], looks


@given('{near:d} near upstreams with load {near_load:d} of {limit:d} and '
       '{far:d} far ones with load {far_load:d} of 10')
def step_places(context: Any, near: int, near_load: int, limit: int, far: int,
                far_load: int) -> None:
    context.near = [
        _Upstream(f'near-{i}', near_load, limit) for i in range(near)
    ]
    context.far = [_Upstream(f'far-{i}', far_load, limit) for i in range(far)]


@then('all of {count:d} choices are {place}')
def step_place(context: Any, count: int, place: str) -> None:
    draw = random.Random(1)
    tiers = [context.near, [*context.near, *context.far]]
    found = set()
    for _ in range(count):
        chosen = upstream_selection.select(
            tiers,
            upstream_selection.AttemptRequirements(importance=1,
                                                   time_left_s=1.8),
            random_unit=draw.random)
        assert chosen is not None
        found.add(chosen.host.split('-')[0])
    assert place in found, found
    if place == 'near':
        assert found == {'near'}, found
