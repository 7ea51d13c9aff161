"""Steps for the expected work of requests."""

import dataclasses
import math
import random
import statistics
from typing import Any

from behave import given, then, when

from pollenthread.core import (caller_request, server_load, server_registry,
                               service_estimate)
from pollenthread.core.routing import work_estimate
from tests.fakes import forwarding

_ENGINE = dataclasses.replace(forwarding.ENGINE_PROFILE,
                              slots=5,
                              mean_output_tokens=150.0)
_MAX_TOKENS = 390
_REQUEST = dataclasses.replace(forwarding.make_request(received_at=0.0,
                                                       timeout_s=8.0),
                               max_output_tokens=0)


def _estimator(context: Any) -> work_estimate.WorkEstimator:
    if not hasattr(context, 'estimator'):
        context.estimator = work_estimate.WorkEstimator()
    estimator: work_estimate.WorkEstimator = context.estimator
    return estimator


def _hinted(hint: float) -> caller_request.CallerRequest:
    return dataclasses.replace(_REQUEST, output_tokens_hint=max(1, round(hint)))


def _estimate(context: Any,
              request: caller_request.CallerRequest,
              route: str = 'r') -> work_estimate.WorkEstimate:
    return _estimator(context).estimate(request, route, _ENGINE)


@then('a request without a hint takes {passes:d} passes')
def step_no_hint(context: Any, passes: int) -> None:
    assert _estimate(context, _REQUEST).passes == passes


@then('a request without a hint for at most {tokens:d} tokens takes {passes:d} '
      'passes')
def step_capped(context: Any, tokens: int, passes: int) -> None:
    request = dataclasses.replace(_REQUEST, max_output_tokens=tokens)
    assert _estimate(context, request).passes == passes


@when('{count:d} responses of heavy-tailed length have hints wrong by a factor '
      'of {factor:g}')
def step_learn(context: Any, count: int, factor: float) -> None:
    rng = random.Random(1)
    mean = _ENGINE.mean_output_tokens
    context.tokens_by_hint = []
    for _ in range(count):
        tokens = min(_MAX_TOKENS, 1 + rng.lognormvariate(math.log(mean / 2), 1))
        hint = tokens * math.exp(rng.gauss(0, math.log(factor)))
        context.tokens_by_hint.append((hint, tokens))
        _estimator(context).record(_hinted(hint), 'r', _ENGINE, tokens)


def _samples(context: Any, size: str) -> list[tuple[float, float]]:
    """Returns hint and true length of the small or the large hints."""
    mean = _ENGINE.mean_output_tokens
    return [(hint, tokens)
            for hint, tokens in context.tokens_by_hint
            if (hint < mean / 2 if size == 'small' else hint > 2 * mean)]


@then('the expected passes of {size} hints are within {percent:d}% of their '
      'true mean')
def step_mean(context: Any, size: str, percent: int) -> None:
    samples = _samples(context, size)
    found = statistics.fmean(
        _estimate(context, _hinted(hint)).passes for hint, _ in samples)
    true = statistics.fmean(
        tokens / _ENGINE.steps_per_pass for _, tokens in samples)
    assert abs(found / true - 1) < percent / 100, (found, true)


@then('over {percent:d}% of responses with {size} hints take more than the low '
      'estimate')
def step_low(context: Any, percent: int, size: str) -> None:
    samples = _samples(context, size)
    longer = sum(
        tokens /
        _ENGINE.steps_per_pass > _estimate(context, _hinted(hint)).low_passes
        for hint, tokens in samples)
    assert longer > percent / 100 * len(samples), (longer, len(samples))


@when('responses of {count:d} routes are twice as long as their hints')
def step_many_routes(context: Any, count: int) -> None:
    for number in range(count):
        _estimator(context).record(_hinted(60), f'route-{number}', _ENGINE, 120)


@then('a request of another route with a hint of {hint:d} tokens takes '
      '{passes:d} passes')
def step_other_route(context: Any, hint: int, passes: int) -> None:
    assert _estimate(context, _hinted(hint)).passes == passes


@then('at most {count:d} routes are kept')
def step_kept(context: Any, count: int) -> None:
    kept = [
        number for number in range(1000)
        if _estimate(context, _hinted(60), f'route-{number}').passes > 10
    ]
    assert 0 < len(kept) <= count, len(kept)


def _report(context: Any, server: server_registry.Server,
            free_tokens: int) -> None:
    context.loads.record_report(
        server.id,
        server_load.ServerLoadReport(
            running=min(server.slots, context.requests),
            waiting=max(0, context.requests - server.slots),
            slots=server.slots,
            group='g',
            pass_s=context.pass_s,
            kv_tokens=_ENGINE.kv_cache_tokens - free_tokens,
            kv_capacity_tokens=_ENGINE.kv_cache_tokens), context.now)


@given('{count:d} servers with passes of {pass_ms:d} ms and {requests:d} '
       'requests at each')
def step_servers(context: Any, count: int, pass_ms: int, requests: int) -> None:
    context.now = 100.0
    context.requests, context.pass_s = requests, pass_ms / 1000
    context.loads = server_load.ServerLoadTracker(rng=random.Random(1))
    context.servers = [
        forwarding.make_server(f's{i}', slots=_ENGINE.slots)
        for i in range(count)
    ]
    for server in context.servers:
        _report(context, server, _ENGINE.kv_cache_tokens)


@given('memory for {tokens:d} more tokens at all but one of them')
def step_memory(context: Any, tokens: int) -> None:
    for server in context.servers[1:]:
        _report(context, server, tokens)


def _select(context: Any,
            passes: float,
            kv_tokens: float = 0.0) -> server_registry.Server | None:
    found: server_registry.Server | None = context.loads.select(
        context.servers,
        excluded=(),
        data_centre='a',
        requirements=service_estimate.RequestRequirements(time_left_s=8.0,
                                                          max_gap_s=0.12,
                                                          target_left_s=0.4,
                                                          passes=passes,
                                                          low_passes=passes,
                                                          others_passes=25.0,
                                                          kv_tokens=kv_tokens),
        hosts=1,
        now=context.now)
    return found


@then('a stream of {few:d} passes and one of {many:d} are both refused, or '
      'neither')
def step_alike(context: Any, few: int, many: int) -> None:
    assert (_select(context, few) is None) == (_select(context, many) is None)


@then('a stream of {passes:d} passes is sent to a server')
def step_sent(context: Any, passes: int) -> None:
    assert _select(context, passes) is not None


@then('a stream of {passes:d} passes is refused')
def step_refused(context: Any, passes: int) -> None:
    assert _select(context, passes) is None


@then('{count:d} streams with {tokens:d} tokens go to the one with memory')
def step_one_with_memory(context: Any, count: int, tokens: int) -> None:
    found = {_select(context, 25.0, tokens) for _ in range(count)}
    assert found == {context.servers[0]}, found
