"""Steps for map switches over real processes."""

import signal
from typing import Any

from behave import given, then, when

from tests import scenario
from tests.fakes import rank_system

_MIN_STEPS = 20


def _wait_for_map(context: Any, version: int) -> None:

    async def all_on_map() -> bool:
        group = await context.ranks.group()
        return set(group['versions']) == {version}

    scenario.run(context, scenario.eventually(all_on_map, 40.0))


@given('a rank group of {size:d} ranks that runs on map 1')
def step_group(context: Any, size: int) -> None:
    context.ranks = scenario.run(
        context,
        context.stack.enter_async_context(rank_system.RankSystem(size=size)))
    _wait_for_map(context, 1)


@given('the weight store responds after {seconds:d} seconds')
def step_slow_store(context: Any, seconds: int) -> None:
    scenario.run(context, context.ranks.fault('weights', delay_s=seconds))


@given('the weight store fails for rank {index:d}')
def step_failing_store(context: Any, index: int) -> None:
    scenario.run(context, context.ranks.fault('weights', fail_ranks=[index]))


@when('the weight store has no fault')
def step_clear_store_faults(context: Any) -> None:
    scenario.run(context, context.ranks.fault('weights'))


@when('map {version:d} is requested')
def step_request_map(context: Any, version: int) -> None:
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
    """Delays the loads of the other ranks, so that this one prepares first.

    The coordinator must know of it: an agent that is paused between the write
    of its state and its reply would keep the switch from being armed.
    """
    ranks = context.ranks
    scenario.run(context, ranks.fault('weights', slow_others=index))
    scenario.run(context, ranks.set_wanted_map(version))

    async def loaded() -> bool:
        coordinator = await ranks.status(0)
        return (coordinator['phase'] == 'preparing' and
                index in coordinator['acknowledged'])

    scenario.run(context, scenario.eventually(loaded, 40.0))
    ranks.agent(index).signal(signal.SIGSTOP)
    scenario.run(context, ranks.fault('weights'))


@when('the agent of rank {index:d} is paused')
def step_pause(context: Any, index: int) -> None:
    context.paused = context.ranks.agent(index)
    context.paused.signal(signal.SIGSTOP)


@when('the agent of rank {index:d} resumes')
def step_resume(context: Any, index: int) -> None:
    context.ranks.agent(index).signal(signal.SIGCONT)


@when('the first agent of rank 0 resumes')
def step_resume_first(context: Any) -> None:
    context.paused.signal(signal.SIGCONT)


@when('a second agent of rank 0 is started')
def step_second_agent(context: Any) -> None:
    scenario.run(context, context.ranks.start_agent(0))


@when('the {what} of rank {index:d} is killed and restarted')
def step_kill(context: Any, what: str, index: int) -> None:
    ranks = context.ranks
    if what == 'engine':
        scenario.run(context, ranks.restart_rank(index))
    else:
        scenario.run(context, ranks.agent(index).kill())
        scenario.run(context, ranks.start_agent(index))


@when('the coordinator has aborted a switch')
def step_aborted(context: Any) -> None:

    async def has_aborted() -> bool:
        status = await context.ranks.status(0)
        return status['switches']['aborted'] > 0

    scenario.run(context, scenario.eventually(has_aborted, 40.0))


@then('all ranks eventually use map {version:d}')
def step_use_map(context: Any, version: int) -> None:
    _wait_for_map(context, version)


@then('the group completes steps on map {version:d}')
def step_completes_steps(context: Any, version: int) -> None:
    first = scenario.run(context, context.ranks.group())['completed']

    async def advanced() -> bool:
        group = await context.ranks.group()
        assert set(group['versions']) == {version}, group['versions']
        return group['completed'] > first + _MIN_STEPS

    scenario.run(context, scenario.eventually(advanced))


@then('the group completes no step')
def step_no_step(context: Any) -> None:

    async def is_waiting() -> bool:
        group = await context.ranks.group()
        return group['waiting_s'] > 0.5

    scenario.run(context, scenario.eventually(is_waiting))


@then('all ranks used the same map in every step')
def step_same_map(context: Any) -> None:
    group = scenario.run(context, context.ranks.group())
    assert group['completed'] > 0
    assert not group['violations'], group['violations']
