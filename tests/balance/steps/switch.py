"""Steps for map switches over real processes."""

import signal
from typing import Any

from behave import given, then, when

from tests import scenario
from tests.fakes import rank_system

_STEPS = 20


def _until_map(context: Any, version: int) -> None:

    async def runs() -> bool:
        group = await context.ranks.group()
        return set(group['versions']) == {version}

    scenario.run(context, scenario.eventually(runs, 40.0))


@given('a rank group of {size:d} ranks that runs on map 1')
def step_group(context: Any, size: int) -> None:
    context.ranks = scenario.run(
        context,
        context.stack.enter_async_context(rank_system.RankSystem(size=size)))
    _until_map(context, 1)


@given('the weight store answers after {seconds:d} seconds')
def step_slow(context: Any, seconds: int) -> None:
    scenario.run(context, context.ranks.fault('weights', delay_s=seconds))


@given('the weight store fails for rank {index:d}')
def step_failing(context: Any, index: int) -> None:
    scenario.run(context, context.ranks.fault('weights', fail_ranks=[index]))


@when('the weight store is well again')
def step_well(context: Any) -> None:
    scenario.run(context, context.ranks.fault('weights'))


@when('map {version:d} is wanted')
def step_want(context: Any, version: int) -> None:
    scenario.run(context, context.ranks.set_wanted_map(version))


@given('{count:d} ranks are "{stage}"')
@when('{count:d} ranks are "{stage}"')
def step_stage(context: Any, count: int, stage: str) -> None:

    async def reached() -> bool:
        stages = (await context.ranks.group())['stages']
        return stages.count(stage) >= count

    scenario.run(context, scenario.eventually(reached, 40.0))


@given(
    'the agent of rank {index:d} is paused once it has loaded map {version:d}')
def step_pause_loaded(context: Any, index: int, version: int) -> None:
    """Ranks other than this one load slowly, so that it is prepared first."""
    ranks = context.ranks
    scenario.run(context, ranks.fault('weights', slow_others=index))
    scenario.run(context, ranks.set_wanted_map(version))

    async def loaded() -> bool:
        return (await ranks.group())['stages'][index] == 'prepared'

    scenario.run(context, scenario.eventually(loaded, 40.0))
    ranks.agent(index).signal(signal.SIGSTOP)
    scenario.run(context, ranks.fault('weights'))


@when('the agent of rank {index:d} is paused')
def step_pause(context: Any, index: int) -> None:
    context.paused = context.ranks.agent(index)
    context.paused.signal(signal.SIGSTOP)


@when('the agent of rank {index:d} goes on')
def step_go_on(context: Any, index: int) -> None:
    context.ranks.agent(index).signal(signal.SIGCONT)


@when('the first agent of rank 0 goes on')
def step_first_goes_on(context: Any) -> None:
    context.paused.signal(signal.SIGCONT)


@when('another agent of rank 0 is started')
def step_another(context: Any) -> None:
    scenario.run(context, context.ranks.start_agent(0))


@when('the {what} of rank {index:d} is killed and started again')
def step_kill(context: Any, what: str, index: int) -> None:
    ranks = context.ranks
    if what == 'engine':
        scenario.run(context, ranks.restart_rank(index))
    else:
        scenario.run(context, ranks.agent(index).kill())
        scenario.run(context, ranks.start_agent(index))


@when('the leader has given up a switch')
def step_given_up(context: Any) -> None:

    async def given_up() -> bool:
        status = await context.ranks.status(0)
        return status['switches']['aborted'] > 0

    scenario.run(context, scenario.eventually(given_up, 40.0))


@then('the group comes to run on map {version:d}')
def step_runs(context: Any, version: int) -> None:
    _until_map(context, version)


@then('the group makes steps on map {version:d}')
def step_makes_steps(context: Any, version: int) -> None:
    first = scenario.run(context, context.ranks.group())['completed']

    async def advanced() -> bool:
        group = await context.ranks.group()
        assert set(group['versions']) == {version}, group['versions']
        return group['completed'] > first + _STEPS

    scenario.run(context, scenario.eventually(advanced))


@then('the group makes no step')
def step_no_step(context: Any) -> None:

    async def stands() -> bool:
        group = await context.ranks.group()
        return group['waiting_s'] > 0.5

    scenario.run(context, scenario.eventually(stands))


@then('in every step all ranks used the same map')
def step_same_map(context: Any) -> None:
    group = scenario.run(context, context.ranks.group())
    assert group['completed'] > 0
    assert not group['violations'], group['violations']
