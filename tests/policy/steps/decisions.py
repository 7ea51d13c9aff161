"""Steps for the pure decisions of the request policy."""

import random
from typing import Any

from behave import given, then, when

from pollenthread.core import (admission_control, admission_queue, errors,
                               load_estimate, outlier_detection, retries,
                               targets, upstream_selection)

_CONCURRENCY_LIMIT = 50


def _request(name: str, workspace: str, importance: int, now: float,
             due_at: float) -> admission_queue.AdmissionRequest:
    return admission_queue.AdmissionRequest(attempt=name,
                                            workspace=workspace,
                                            work_class='question',
                                            importance=importance,
                                            arrived_at=now,
                                            due_at=due_at,
                                            between_tokens_s=0.07)


@given('a queue with {large:d} requests of "large", then {small:d} of "small", '
       'then {important:d} important of "large"')
def step_queue(context: Any, large: int, small: int, important: int) -> None:
    queue = admission_queue.AdmissionQueue()
    plan = [('large', 1)] * large + [('small', 1)] * small
    plan += [('large', 2)] * important
    for i, (workspace, importance) in enumerate(plan):
        queue.push(_request(str(i), workspace, importance, 0.0, 9.0))
    context.dequeued = []
    while (request := queue.pop()) is not None:
        context.dequeued.append(request)


@then('the requests leave the queue in the order "{workspaces}"')
def step_dequeued_order(context: Any, workspaces: str) -> None:
    order = ' '.join(request.workspace for request in context.dequeued)
    assert order == workspaces, order


@then('the important request leaves the queue first')
def step_first_dequeued(context: Any) -> None:
    assert context.dequeued[0].importance == 2


@given('an admission controller whose {count:d} slots are held for '
       '{hold_s:d} s each')
def step_full_controller(context: Any, count: int, hold_s: int) -> None:
    context.now = 0.0
    context.controller = admission_control.AdmissionController(now=0.0)
    for i in range(40):
        context.controller.admit(
            _request(f'past-{i}', 'a', 1, context.now, 1e9), context.now)
        context.controller.record_progress(f'past-{i}', context.now)
        context.now += hold_s
        context.controller.release(f'past-{i}', context.now)
    context.held = [f'held-{i}' for i in range(count)]
    for name in context.held:
        request = _request(name, 'a', 1, context.now, context.now + 2)
        decision, _ = context.controller.admit(request, context.now)
        assert decision is admission_control.AdmissionDecision.RUN, decision
        context.controller.record_progress(name, context.now)


def _admit(context: Any, name: str, target_s: float) -> None:
    request = _request(name, 'a', 1, context.now, context.now + target_s)
    context.decision, context.kind = context.controller.admit(
        request, context.now)


@when('an attempt with a target of {target_ms:d} ms arrives')
def step_attempt(context: Any, target_ms: int) -> None:
    _admit(context, f'new-{target_ms}', target_ms / 1000)


@when('no event arrives for {idle_s:d} s')
def step_no_event(context: Any, idle_s: int) -> None:
    context.now += idle_s
    _admit(context, 'stalled', 60.0)


@then('it is rejected with "{kind}"')
@then('an attempt is rejected with "{kind}"')
def step_rejected(context: Any, kind: str) -> None:
    assert (context.decision
            is admission_control.AdmissionDecision.REJECT), context.decision
    assert context.kind is errors.ErrorKind(kind), context.kind


@then('it is queued')
def step_queued(context: Any) -> None:
    assert (context.decision
            is admission_control.AdmissionDecision.WAIT), context.decision


@when('all {count:d} attempts are released')
def step_release(context: Any, count: int) -> None:
    for name in context.held[:count]:
        context.controller.release(name, context.now)


@then('{admitted:d} of {count:d} attempts is admitted')
def step_probes(context: Any, count: int, admitted: int) -> None:
    decisions = []
    for i in range(count):
        _admit(context, f'probe-{i}', 60.0)
        decisions.append(context.decision)
    assert decisions.count(
        admission_control.AdmissionDecision.RUN) == admitted, decisions


def _load(running: int,
          limit: int = _CONCURRENCY_LIMIT) -> admission_control.UpstreamLoad:
    return admission_control.UpstreamLoad(running, (0, 0, 0), limit, 4.0, 0.1,
                                          0.03)


@given('a report of {others:d} attempts of other hosts and a mean of {mean:d}')
def step_report(context: Any, others: int, mean: int) -> None:
    context.mean = load_estimate.MeanOtherLoad()
    for _ in range(200):
        context.mean.record(
            load_estimate.UpstreamLoadReport(_load(mean), 0, 0.0))
    context.report = load_estimate.UpstreamLoadReport(_load(others), 0, 0.0)


@then('after {age_s:d} s the expected load is about {load:d}')
def step_expected(context: Any, age_s: int, load: int) -> None:
    expected = load_estimate.expected_load(context.report,
                                           own=0,
                                           mean=context.mean,
                                           now=float(age_s))
    assert abs(expected - load) < 1.0, expected


@when('the upstream rejects an attempt')
def step_reject(context: Any) -> None:
    context.report = load_estimate.report_after_rejection(context.report,
                                                          own=0,
                                                          now=0.0)


@then('the expected load is at its limit')
def step_expected_full(context: Any) -> None:
    load = load_estimate.expected_load(context.report,
                                       own=0,
                                       mean=context.mean,
                                       now=0.0)
    assert load >= _CONCURRENCY_LIMIT, load


@given('an outlier detector with successful results from {count:d} hosts')
def step_detector(context: Any, count: int) -> None:
    context.detector = outlier_detection.OutlierDetector()
    context.hosts = [f'host-{i}' for i in range(count)]
    for host in context.hosts:
        context.detector.add(host)
    for _ in range(20):
        for host in context.hosts:
            context.detector.record_result(host, succeeded=True, now=0.0)


@when('{count:d} of them fail {times:d} times each')
def step_fail(context: Any, count: int, times: int) -> None:
    for i in range(times):
        for number, host in enumerate(context.hosts):
            context.detector.record_result(host,
                                           succeeded=number >= count,
                                           now=i * 0.01)


@when('a probe of an ejected host succeeds')
def step_probe_succeeds(context: Any) -> None:
    context.detector.record_result(context.detector.ejected[0],
                                   succeeded=True,
                                   now=9.0)


@then('{count:d} of them are ejected')
def step_ejected(context: Any, count: int) -> None:
    assert len(context.detector.ejected) == count, context.detector.ejected


@given('an empty retry budget')
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
    """An upstream that counts how often its estimate is read."""

    def __init__(self,
                 name: str,
                 load: int,
                 limit: int,
                 *,
                 usable: bool = True) -> None:
        self._name = name
        self._estimate = upstream_selection.UpstreamEstimate(
            _load(load, limit), load)
        self._usable = usable
        self.reads = 0

    @property
    def host(self) -> str:
        return self._name

    @property
    def estimate(self) -> upstream_selection.UpstreamEstimate:
        self.reads += 1
        return self._estimate

    @property
    def is_usable(self) -> bool:
        return self._usable


@given('{count:d} upstreams of which only the last is usable')
def step_one_usable(context: Any, count: int) -> None:
    context.upstreams = [
        _Upstream(f'u-{i}', 0, 10, usable=i == count - 1) for i in range(count)
    ]


@then('each of {count:d} selections finds it')
def step_selects_usable(context: Any, count: int) -> None:
    generator = random.Random(1)
    selected = [
        upstream_selection.select(
            [context.upstreams],
            upstream_selection.AttemptRequirements(importance=1),
            random_unit=generator.random) for _ in range(count)
    ]
    assert None not in selected, f'{selected.count(None)} of {count} found none'


@then('a selection examines no more of {many:d} upstreams than of {few:d}')
def step_reads(_: Any, many: int, few: int) -> None:
    reads = []
    for count in (many, few):
        upstreams = [_Upstream(f'u-{i}', 5, 10) for i in range(count)]
        generator = random.Random(1)
        for _ in range(100):
            upstream_selection.select(
                [upstreams],
                upstream_selection.AttemptRequirements(importance=1),
                random_unit=generator.random)
        reads.append(sum(upstream.reads for upstream in upstreams))
    assert reads[0] <= reads[1], reads


@given('{near:d} near upstreams with load {near_load:d} of {limit:d} and '
       '{far:d} far ones with load {far_load:d} of 10')
def step_near_and_far(context: Any, near: int, near_load: int, limit: int,
                      far: int, far_load: int) -> None:
    context.near = [
        _Upstream(f'near-{i}', near_load, limit) for i in range(near)
    ]
    context.far = [_Upstream(f'far-{i}', far_load, limit) for i in range(far)]


@then('all of {count:d} selections are {place}')
def step_selected_place(context: Any, count: int, place: str) -> None:
    generator = random.Random(1)
    tiers = [context.near, [*context.near, *context.far]]
    found = set()
    for _ in range(count):
        selected = upstream_selection.select(
            tiers,
            upstream_selection.AttemptRequirements(importance=1,
                                                   time_left_s=1.8),
            random_unit=generator.random)
        assert selected is not None
        found.add(selected.host.split('-')[0])
    assert place in found, found
    if place == 'near':
        assert found == {'near'}, found
