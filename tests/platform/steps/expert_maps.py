"""Steps for expert maps on the prepared platform."""

import dataclasses
from typing import Any

from behave import given, then, when

from pollenthread.app import group_view
from pollenthread.core import (expert_choices, expert_demand, map_switch,
                               peer_messages, replication)
from tests.fakes import memory, running_group

_KIND = peer_messages.OrderKind
_EPOCH = 1
_LAYOUTS = (((0,), (1,), (2,)),)
_WINDOW_CHOICES = 60_000
_MAX_TICKS = 50
_PLACES = {8: 11, 32: 5}


@given('a group of {ranks:d} ranks with {experts:d} experts in {sets:d} sets, '
       'placed in turn')
def step_layout(context: Any, ranks: int, experts: int, sets: int) -> None:
    layout = tuple(
        frozenset(range(rank, experts, ranks)) for rank in range(ranks))
    context.layouts = (layout,) * sets
    context.experts = experts
    context.places = _PLACES[ranks]


@when('expert {hot:d} gets {percent:d} of 100 choices in every set')
def step_hot(context: Any, hot: int, percent: int) -> None:
    rest = (100 - percent) / (context.experts - 1)
    shares = [rest] * context.experts
    shares[hot] = percent
    context.shares = [shares] * len(context.layouts)
    context.first = _greatest(context)


@when('every expert gets the same')
def step_even(context: Any) -> None:
    context.shares = [[1.0] * context.experts] * len(context.layouts)


def _greatest(context: Any) -> float:
    return max(
        replication.max_rank_load(layout, shares)
        for layout, shares in zip(context.layouts, context.shares))


def _plan(context: Any, copies: int, min_gain: float = 0.01) -> None:
    shape = replication.ReplicationLimits(max_experts_per_rank=context.places,
                                          max_new_per_set=2,
                                          max_copies=copies,
                                          min_gain=min_gain)
    context.step = replication.plan_replication_step(context.layouts,
                                                     context.shares, shape)
    context.before = context.layouts
    context.layouts = context.step.layouts


@when('a step with {copies:d} copies a rank is planned')
def step_plan(context: Any, copies: int) -> None:
    _plan(context, copies)


@when('{count:d} steps with {copies:d} copies a rank are planned')
def step_plans(context: Any, count: int, copies: int) -> None:
    for _ in range(count):
        _plan(context, copies)


@when('{count:d} steps with {copies:d} copies a rank that take off '
      '{min_gain:f} each are planned')
def step_stingy_plans(context: Any, count: int, copies: int,
                      min_gain: float) -> None:
    first = context.layouts
    context.copied = []
    for least in (0.01, min_gain):
        context.layouts = first
        total = 0
        for _ in range(count):
            _plan(context, copies, least)
            total += context.step.copies
        context.copied.append(total)


@then('less than half as many experts were copied as without that bound')
def step_half_copied(context: Any) -> None:
    generous, stingy = context.copied
    assert stingy < generous / 2, context.copied


@then('no rank copies more than {copies:d} experts')
def step_copies(context: Any, copies: int) -> None:
    ranks = len(context.layouts[0])
    for rank in range(ranks):
        new = sum(
            len(after[rank] - before[rank])
            for before, after in zip(context.before, context.layouts))
        assert new <= copies, (rank, new)
    assert context.step.max_copies_per_rank <= copies


@then('the greatest load falls from more than {high:f} to less than {low:f}')
def step_falls(context: Any, high: float, low: float) -> None:
    assert context.first > high, context.first
    assert context.step.after < low, context.step.after


@then('the greatest load is less than {low:f}')
def step_low(context: Any, low: float) -> None:
    assert _greatest(context) < low, _greatest(context)


@then('the greatest load falls by more than half')
def step_half(context: Any) -> None:
    assert _greatest(context) < context.first / 2, _greatest(context)


@then('every expert is held, and no rank holds more than {places:d} of a set')
def step_held(context: Any, places: int) -> None:
    for layout in context.layouts:
        assert frozenset().union(*layout) == set(range(context.experts))
        assert max(map(len, layout)) <= places


@then('nothing is copied')
def step_nothing(context: Any) -> None:
    assert context.step.copies == 0, context.step


def _tell(context: Any, rank: int, life: tuple[int, int],
          counts: list[int]) -> None:
    """What a rank's agent tells of its server's counts."""
    choices = context.counters[rank].take(life, list(counts))
    if choices is not None:
        context.demand.add(rank, 0, choices)


def _window(context: Any, hot: int, share: float = 0.5) -> None:
    """Adds one window's choices of two ranks and closes it."""
    for rank in (0, 1):
        counts = context.counts[rank]
        for expert in range(context.experts):
            rest = (1 - share) / (context.experts - 1)
            part = share if expert == hot else rest
            counts[expert] += int(_WINDOW_CHOICES * part)
        _tell(context, rank, (1, 1), counts)
    context.demand.close_window()


@given('demand that was for expert {hot:d} in {windows:d} windows')
def step_demand(context: Any, hot: int, windows: int) -> None:
    context.experts = 16
    context.demand = expert_demand.ExpertDemand(sets=1, experts=context.experts)
    context.counters = [expert_choices.ChoiceCounter() for _ in (0, 1)]
    context.counts = {rank: [0] * context.experts for rank in (0, 1)}
    context.hot = hot
    for _ in range(windows):
        _window(context, hot)


@when('it is for expert {hot:d} in {windows:d} window')
def step_changed(context: Any, hot: int, windows: int) -> None:
    for _ in range(windows):
        _window(context, hot, 0.6)


@when('it wavers by a tenth in {windows:d} windows')
def step_wavers(context: Any, windows: int) -> None:
    for i in range(windows):
        _window(context, context.hot, 0.45 if i % 2 else 0.55)


@when('rank 0 restarts and counts from 0')
def step_restarts(context: Any) -> None:
    _tell(context, 0, (2, 1), [0] * context.experts)
    context.counts[0] = [0] * context.experts
    context.demand.close_window()


@then('expert {hot:d} has more than half of the estimate')
def step_estimate(context: Any, hot: int) -> None:
    shares = context.demand.shares_by_set[0]
    assert shares[hot] > sum(shares) / 2, shares


@then('the estimate did not begin anew')
def step_no_change(context: Any) -> None:
    assert context.demand.changes == 0


def _change(context: Any, rank: int, **changes: Any) -> None:
    context.states[rank] = dataclasses.replace(context.states[rank], **changes)


@given('a group of {ranks:d} ranks in pass {step:d}')
def step_group(context: Any, ranks: int, step: int) -> None:
    context.states = {
        rank: running_group.rank_state(rank, step=step) for rank in range(ranks)
    }
    context.given = []


@given('a group of {ranks:d} ranks whose pass {step:d} is held, all armed with '
       'version {version:d}')
def step_armed(context: Any, ranks: int, step: int, version: int) -> None:
    step_group(context, ranks, step - 1)
    for rank in range(ranks):
        _change(context,
                rank,
                prepared_version=version,
                armed_version=version,
                armed_step=step)
    _change(context, 0, held_step=step)


@given('a group of {ranks:d} ranks whose pass {step:d} is held, version '
       '{version:d} prepared')
def step_prepared(context: Any, ranks: int, step: int, version: int) -> None:
    step_group(context, ranks, step - 1)
    for rank in range(ranks):
        _change(context, rank, prepared_version=version)
    _change(context, 0, held_step=step)


@when('rank {rank:d} has prepared version {version:d} instead')
def step_instead(context: Any, rank: int, version: int) -> None:
    _change(context,
            rank,
            prepared_version=version,
            armed_version=0,
            armed_step=0)


def _carry_out(context: Any, rank: int, order: peer_messages.RankOrder) -> None:
    """What a server does with an order."""
    context.given.append((rank, order))
    state = context.states[rank]
    if order.kind is _KIND.PREPARE and not state.armed_version:
        _change(context, rank, prepared_version=order.version)
    elif order.kind is _KIND.HOLD:
        _change(context, rank, held_step=order.step)
    elif order.kind is _KIND.ARM and state.prepared_version == order.version:
        _change(context,
                rank,
                armed_version=order.version,
                armed_step=order.step)
    elif order.kind is _KIND.DISARM:
        _change(context, rank, armed_version=0, armed_step=0)
    elif order.kind is _KIND.GO:
        _release(context, order.step)


def _release(context: Any, step: int) -> None:
    """The group begins the pass that was held."""
    for rank, state in context.states.items():
        if state.armed_step == step:
            _change(context,
                    rank,
                    map_version=state.armed_version,
                    prepared_version=0,
                    armed_version=0,
                    armed_step=0)
        _change(context, rank, step=step, held_step=0)


def _drive(context: Any,
           switch: map_switch.MapSwitch,
           *,
           deaf_rank: int | None = None) -> None:
    for _ in range(_MAX_TICKS):
        switch, orders = map_switch.advance_switch(switch, context.states)
        for rank, order in orders.items():
            if rank == deaf_rank and order.kind is _KIND.ARM:
                continue
            _carry_out(context, rank, order)
    context.switch = switch


@when('a switch to version {version:d} is driven and every order takes effect')
def step_drive(context: Any, version: int) -> None:
    _drive(context, map_switch.MapSwitch(version, _EPOCH, _LAYOUTS))


@when('it is driven and every order takes effect')
def step_drive_it(context: Any) -> None:
    _drive(context, context.switch)


@when('a switch to version {version:d} is driven and rank {rank:d} takes no '
      'arming')
def step_drive_deaf(context: Any, version: int, rank: int) -> None:
    _drive(context,
           map_switch.MapSwitch(version, _EPOCH, _LAYOUTS),
           deaf_rank=rank)


@when('a newer decider prepares version {version:d}')
def step_newer(context: Any, version: int) -> None:
    switch = map_switch.MapSwitch(version, _EPOCH, _LAYOUTS)
    _, context.orders = map_switch.advance_switch(switch, context.states)


@when('the next holder recovers with version {version:d}')
def step_recover(context: Any, version: int) -> None:
    assert map_switch.needs_recovery(context.states)
    _drive(context, map_switch.recovery_switch(context.states, _LAYOUTS,
                                               version))


@when('a switch to version {version:d} is begun and the group gets a new epoch')
def step_new_epoch(context: Any, version: int) -> None:
    switch = map_switch.MapSwitch(version, _EPOCH, _LAYOUTS)
    switch, _ = map_switch.advance_switch(switch, context.states)
    for rank in context.states:
        _change(context, rank, epoch=_EPOCH + 1)
    context.switch, context.orders = map_switch.advance_switch(
        switch, context.states)


@then('all ranks use version {version:d} and no pass is held')
def step_all_use(context: Any, version: int) -> None:
    states = context.states.values()
    assert all(s.map_version == version for s in states), context.states
    assert not any(s.held_step for s in states)
    assert context.switch.phase is map_switch.MapSwitchPhase.DONE


@then('pass {step:d} is held and no release was ordered')
def step_held_back(context: Any, step: int) -> None:
    assert context.states[0].held_step == step
    assert not any(order.kind is _KIND.GO for _, order in context.given)


@then('no rank is told to disarm')
def step_no_disarm(context: Any) -> None:
    kinds = {order.kind for order in context.orders.values()}
    assert _KIND.DISARM not in kinds, context.orders


@then('ranks {first:d} and {second:d} are told to disarm version {version:d}')
def step_disarm(context: Any, first: int, second: int, version: int) -> None:
    found = {
        rank: order.version
        for rank, order in context.orders.items()
        if order.kind is _KIND.DISARM
    }
    assert found == {first: version, second: version}, context.orders


@then('the switch to version {version:d} can be completed by anybody')
def step_can_complete(context: Any, version: int) -> None:
    found = map_switch.resumable_switch(context.states)
    assert found is not None and found.version == version
    context.switch = found


@then('nobody can complete a switch')
def step_cannot(context: Any) -> None:
    assert map_switch.resumable_switch(context.states) is None


@then('the switch is abandoned')
def step_abandoned(context: Any) -> None:
    assert context.switch.phase is map_switch.MapSwitchPhase.ABANDONED
    assert not context.orders


@given('all {ranks:d} ranks of a group were heard')
def step_heard(context: Any, ranks: int) -> None:
    context.clock = memory.MemoryClock()
    context.view = group_view.GroupView(name='g', time=context.clock)
    context.heard = [
        dataclasses.replace(running_group.rank_state(rank, step=1), size=ranks)
        for rank in range(ranks)
    ]
    for state in context.heard:
        context.view.take(state)
    assert context.view.is_complete() and not context.view.missing_ranks()


@when('{seconds:d} s passes and all but rank {silent:d} are heard, rank '
      '{closed:d} as closed')
def step_heard_again(context: Any, seconds: int, silent: int,
                     closed: int) -> None:
    context.clock.now += seconds
    for state in context.heard:
        if state.rank != silent:
            context.view.take(
                dataclasses.replace(state, step=2, is_open=state.rank
                                    != closed))


@then('the group is not whole, and ranks "{ranks}" are missing')
def step_missing(context: Any, ranks: str) -> None:
    assert not context.view.is_complete()
    assert context.view.missing_ranks() == [int(r) for r in ranks.split()]
