"""Steps for decisions with a fake clock, without processes."""

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


@then('for clock rates within the bound no two hosts act on one lease')
def step_drift(_: Any) -> None:
    draw = random.Random(_SEED)
    lease = leases.Lease('duty', 'a', 1, _DURATION_S)
    for _ in range(_ROUNDS):
        rates = [
            1 + draw.uniform(-leases.MAX_CLOCK_DRIFT, leases.MAX_CLOCK_DRIFT)
            for _ in range(2)
        ]
        sent_at = draw.uniform(0, 100)
        seen_at = sent_at + draw.uniform(0, 2)
        until = leases.safe_until(sent_at * rates[0], _DURATION_S) / rates[0]
        known = leases.update_observation(None, lease, seen_at * rates[1])
        taken = leases.lease_to_acquire(known,
                                        duty='duty',
                                        holder='b',
                                        duration_s=_DURATION_S,
                                        now=until * rates[1])
        assert taken is None, (rates, sent_at, seen_at)


@given('three configuration stores on one table and a fake clock')
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


@when('the table is down for {seconds:d} seconds and an operator tries each '
      '{step:d} seconds')
def step_outage(context: Any, seconds: int, step: int) -> None:
    context.memory.is_down = True
    context.tried = []
    context.seen = []
    for _ in range(seconds // step):
        context.clock.now += step
        _refresh(context)
        context.tried.append(_publish(context, 1))
        context.seen.extend(
            (store.version, store.permission) for store in context.stores)


@then('no publication was accepted meanwhile')
def step_none_accepted(context: Any) -> None:
    unavailable = result.Err(table.TableError.UNAVAILABLE)
    assert all(item == unavailable for item in context.tried)


@then('each store went on unproved and none went back')
def step_went_on(context: Any) -> None:
    allowed = {
        (1, config_freshness.ServingPermission.SERVE),
        (1, config_freshness.ServingPermission.SERVE_UNPROVED),
    }
    assert set(context.seen) == allowed, set(context.seen)


@when('the table is up again')
def step_up_again(context: Any) -> None:
    context.memory.is_down = False


@then('the next publication is in force at each store')
def step_in_force(context: Any) -> None:
    assert _publish(context, 1) == result.Ok(2)
    _refresh(context)
    for store in context.stores:
        assert store.version == 2
        assert store.permission is config_freshness.ServingPermission.SERVE


@then('a late copy of a settled order is refused')
def step_late_copy(_: Any) -> None:
    first = orders.Order('load-1', 'duty', 1, 'agent', 'load', '{}', 1, 'x')
    fence = orders.record_fencing(orders.AgentOrderState('x'), 'duty', 1)
    fence, verdict = orders.handle_order(fence, first)
    assert verdict is orders.AgentAction.BEGIN
    fence = orders.record_result(fence, 'load-1', orders.Result(True, ''))
    fence, verdict = orders.handle_order(fence, first)
    assert verdict is orders.AgentAction.REPEAT
    second = dataclasses.replace(first, id='load-2', number=2, settled_below=2)
    fence, verdict = orders.handle_order(fence, second)
    assert verdict is orders.AgentAction.BEGIN
    assert set(fence.result_by_id) == {'load-2'}
    fence, verdict = orders.handle_order(fence, first)
    assert verdict is orders.AgentAction.REJECT_SETTLED


@then('the difference of two documents names the changed keys only')
def step_difference(_: Any) -> None:
    found = document_diff.diff_documents(system_module.TARGETS,
                                         operator.changed_targets(7))
    assert found == (document_diff.DocumentChange(
        'workspaces/buna/classes/caption/retries', 2, 7),), found
