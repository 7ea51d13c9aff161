"""Steps for decisions that run without processes, on a fake clock."""

import dataclasses
import random
from typing import Any

import result
from behave import given, then, when

from pollenthread.app import config_store
from pollenthread.core import config_freshness, document_diff, leases, orders
from pollenthread.ports import table
from tests import scenario
from tests.fakes import memory, operator, system as system_module

_SEED = 5
_ROUNDS = 2000
_DURATION_S = 5.0


@then('no two hosts hold one lease at any clock drift within the bound')
def step_clock_drift(_: Any) -> None:
    generator = random.Random(_SEED)
    lease = leases.Lease('duty', 'a', 1, _DURATION_S)
    for _ in range(_ROUNDS):
        rates = [
            1 +
            generator.uniform(-leases.MAX_CLOCK_DRIFT, leases.MAX_CLOCK_DRIFT)
            for _ in range(2)
        ]
        sent_at = generator.uniform(0, 100)
        seen_at = sent_at + generator.uniform(0, 2)
        until = leases.safe_until(sent_at * rates[0], _DURATION_S) / rates[0]
        observation = leases.update_observation(None, lease, seen_at * rates[1])
        acquired = leases.lease_to_acquire(observation,
                                           duty='duty',
                                           holder='b',
                                           duration_s=_DURATION_S,
                                           now=until * rates[1])
        assert acquired is None, (rates, sent_at, seen_at)


@given('three configuration stores that share a table and a fake clock')
def step_stores(context: Any) -> None:
    context.clock = memory.MemoryClock()
    context.memory = memory.MemoryTable()
    context.stores = [
        config_store.ConfigStore(
            table_service=context.memory,
            time=context.clock,
            reachable=lambda: config_freshness.RegionReachability(3, 3))
        for _ in range(3)
    ]
    scenario.run(
        context, context.stores[0].publish(system_module.TARGETS,
                                           author='abebe',
                                           base=0))
    _refresh(context)


def _refresh(context: Any) -> None:
    for store in context.stores:
        scenario.run(context, store.refresh())


def _publish(context: Any, base: int) -> Any:
    return scenario.run(
        context, context.stores[1].publish(operator.changed_targets(4),
                                           author='dawn',
                                           base=base))


@when('the table is unavailable for {seconds:d} seconds and an operator '
      'publishes every {step:d} seconds')
def step_outage(context: Any, seconds: int, step: int) -> None:
    context.memory.is_down = True
    context.publications = []
    context.observed = []
    for _ in range(seconds // step):
        context.clock.now += step
        _refresh(context)
        context.publications.append(_publish(context, 1))
        context.observed.extend(
            (store.version, store.permission) for store in context.stores)


@then('no publication was accepted during the outage')
def step_none_accepted(context: Any) -> None:
    unavailable = result.Err(table.TableError.UNAVAILABLE)
    assert all(item == unavailable for item in context.publications)


@then('each store permitted unproved serving and kept its version')
def step_kept_version(context: Any) -> None:
    allowed = {
        (1, config_freshness.ServingPermission.SERVE),
        (1, config_freshness.ServingPermission.SERVE_UNPROVED),
    }
    assert set(context.observed) == allowed, set(context.observed)


@when('the table recovers')
def step_table_recovers(context: Any) -> None:
    context.memory.is_down = False


@then('each store applies the next publication')
def step_applies_next(context: Any) -> None:
    assert _publish(context, 1) == result.Ok(2)
    _refresh(context)
    for store in context.stores:
        assert store.version == 2
        assert store.permission is config_freshness.ServingPermission.SERVE


@then('a late copy of a settled order is rejected')
def step_late_copy(_: Any) -> None:
    first = orders.Order('load-1', 'duty', 1, 'agent', 'load', '{}', 1, 'x')
    state = orders.record_fencing(orders.AgentOrderState('x'), 'duty', 1)
    state, action = orders.handle_order(state, first)
    assert action is orders.AgentAction.BEGIN
    state = orders.record_result(state, 'load-1', orders.Result(True, ''))
    state, action = orders.handle_order(state, first)
    assert action is orders.AgentAction.REPEAT
    second = dataclasses.replace(first, id='load-2', number=2, settled_below=2)
    state, action = orders.handle_order(state, second)
    assert action is orders.AgentAction.BEGIN
    assert set(state.result_by_id) == {'load-2'}
    state, action = orders.handle_order(state, first)
    assert action is orders.AgentAction.REJECT_SETTLED


@then('the difference of two documents lists only the changed keys')
def step_difference(_: Any) -> None:
    found = document_diff.diff_documents(system_module.TARGETS,
                                         operator.changed_targets(7))
    assert found == (document_diff.DocumentChange(
        'workspaces/buna/classes/caption/retries', 2, 7),), found
