"""Steps for expert maps: replication, demand estimates and map switches."""

import dataclasses
from typing import Any

from behave import given, then, when

from pollenthread.app import group_view
from pollenthread.core import (expert_choices, expert_demand, map_switch,
                               peer_messages, replication)
from tests.fakes import memory, running_group

_Kind = peer_messages.OrderKind
_EPOCH = 1
_LAYOUTS = (((0,), (1,), (2,)),)
_CHOICES_PER_WINDOW = 60_000
_MAX_ROUNDS = 50
_SLOTS_BY_RANKS = {8: 11, 32: 5}


@given('a group of {ranks:d} ranks with {experts:d} experts in {sets:d} sets, '
       'assigned round robin')
def step_layout(context: Any, ranks: int, experts: int, sets: int) -> None:
    layout = tuple(
        frozenset(range(rank, experts, ranks)) for rank in range(ranks))
    context.layouts = (layout,) * sets
    context.experts = experts
    context.expert_slots = _SLOTS_BY_RANKS[ranks]


@when('expert {hot:d} gets {percent:d}% of the choices in every set')
def step_hot(context: Any, hot: int, percent: int) -> None:
    rest = (100 - percent) / (context.experts - 1)
    shares = [rest] * context.experts
    shares[hot] = percent
    context.shares = [shares] * len(context.layouts)
    context.initial_load = _max_load(context)


@when('every expert gets the same number of choices')
def step_even_demand(context: Any) -> None:
    context.shares = [[1.0] * context.experts] * len(context.layouts)


def _max_load(context: Any) -> float:
    return max(
        replication.max_rank_load(layout, shares)
        for layout, shares in zip(context.layouts, context.shares))


def _plan(context: Any, copies: int, min_gain: float = 0.01) -> None:
    replication_limits = replication.ReplicationLimits(
        max_experts_per_rank=context.expert_slots,
        max_new_per_set=2,
        max_copies=copies,
        min_gain=min_gain)
    context.step = replication.plan_replication_step(context.layouts,
                                                     context.shares,
                                                     replication_limits)
    context.before = context.layouts
    context.layouts = context.step.layouts


@when('a replication step with up to {copies:d} copies per rank is planned')
def step_plan(context: Any, copies: int) -> None:
    _plan(context, copies)


@when('{count:d} replication steps with up to {copies:d} copies per rank are '
      'planned')
def step_plans(context: Any, count: int, copies: int) -> None:
    for _ in range(count):
        _plan(context, copies)


@when('{count:d} replication steps with up to {copies:d} copies per rank and '
      'a minimum gain of {min_gain:f} are planned')
def step_plans_with_gain(context: Any, count: int, copies: int,
                         min_gain: float) -> None:
    initial_layouts = context.layouts
    context.copied = []
    for gain in (0.01, min_gain):
        context.layouts = initial_layouts
        total = 0
        for _ in range(count):
            _plan(context, copies, gain)
            total += context.step.copies
        context.copied.append(total)


@then('less than half as many experts are copied as with the default minimum '
      'gain')
def step_fewer_copied(context: Any) -> None:
    copied_by_default, copied_at_min_gain = context.copied
    assert copied_at_min_gain < copied_by_default / 2, context.copied


@then('no rank copies more than {copies:d} experts')
def step_copies(context: Any, copies: int) -> None:
    ranks = len(context.layouts[0])
    for rank in range(ranks):
        new = sum(
            len(after[rank] - before[rank])
            for before, after in zip(context.before, context.layouts))
        assert new <= copies, (rank, new)
    assert context.step.max_copies_per_rank <= copies


@then('the maximum load falls from more than {high:f} to less than {low:f}')
def step_max_load_falls(context: Any, high: float, low: float) -> None:
    assert context.initial_load > high, context.initial_load
    assert context.step.after < low, context.step.after


@then('the maximum load is less than {low:f}')
def step_max_load_below(context: Any, low: float) -> None:
    assert _max_load(context) < low, _max_load(context)


@then('the maximum load falls by more than half')
def step_max_load_halved(context: Any) -> None:
    assert _max_load(context) < context.initial_load / 2, _max_load(context)


@then('every expert is held by a rank, and no rank holds more than '
      '{expert_slots:d} of a set')
def step_all_held(context: Any, expert_slots: int) -> None:
    for layout in context.layouts:
        assert frozenset().union(*layout) == set(range(context.experts))
        assert max(map(len, layout)) <= expert_slots


@then('nothing is copied')
def step_no_copies(context: Any) -> None:
    assert context.step.copies == 0, context.step


def _report_counts(context: Any, rank: int, incarnation: tuple[int, int],
                   counts: list[int]) -> None:
    """Records cumulative choice counts as the agent of a rank reports them."""
    choices = context.counters[rank].take(incarnation, list(counts))
    if choices is not None:
        context.demand.add(rank, 0, choices)


def _window(context: Any, hot: int, share: float = 0.5) -> None:
    """Adds the choices of two ranks in one window and closes it."""
    for rank in (0, 1):
        counts = context.counts[rank]
        for expert in range(context.experts):
            rest = (1 - share) / (context.experts - 1)
            expert_share = share if expert == hot else rest
            counts[expert] += int(_CHOICES_PER_WINDOW * expert_share)
        _report_counts(context, rank, (1, 1), counts)
    context.demand.close_window()


@given('demand for expert {hot:d} in {windows:d} windows')
def step_demand(context: Any, hot: int, windows: int) -> None:
    context.experts = 16
    context.demand = expert_demand.ExpertDemand(sets=1, experts=context.experts)
    context.counters = [expert_choices.ChoiceCounter() for _ in (0, 1)]
    context.counts = {rank: [0] * context.experts for rank in (0, 1)}
    context.hot = hot
    for _ in range(windows):
        _window(context, hot)


@when('the demand is for expert {hot:d} in {windows:d} window')
def step_demand_changes(context: Any, hot: int, windows: int) -> None:
    for _ in range(windows):
        _window(context, hot, 0.6)


@when('the demand varies by a tenth in {windows:d} windows')
def step_demand_varies(context: Any, windows: int) -> None:
    for i in range(windows):
        _window(context, context.hot, 0.45 if i % 2 else 0.55)


@when('rank 0 restarts and its counters start at 0')
def step_rank_restarts(context: Any) -> None:
    _report_counts(context, 0, (2, 1), [0] * context.experts)
    context.counts[0] = [0] * context.experts
    context.demand.close_window()


@then('the estimate gives expert {hot:d} more than half of the demand')
def step_estimate(context: Any, hot: int) -> None:
    shares = context.demand.shares_by_set[0]
    assert shares[hot] > sum(shares) / 2, shares


@then('the estimate was not reset')
def step_not_reset(context: Any) -> None:
    assert context.demand.changes == 0


def _update_state(context: Any, rank: int, **changes: Any) -> None:
    context.states[rank] = dataclasses.replace(context.states[rank], **changes)


@given('a group of {ranks:d} ranks in pass {step:d}')
def step_group(context: Any, ranks: int, step: int) -> None:
    context.states = {
        rank: running_group.rank_state(rank, step=step) for rank in range(ranks)
    }
    context.sent_orders = []


@given('a group of {ranks:d} ranks that holds pass {step:d}, all armed with '
       'version {version:d}')
def step_armed(context: Any, ranks: int, step: int, version: int) -> None:
    step_group(context, ranks, step - 1)
    for rank in range(ranks):
        _update_state(context,
                      rank,
                      prepared_version=version,
                      armed_version=version,
                      armed_step=step)
    _update_state(context, 0, held_step=step)


@given('a group of {ranks:d} ranks that holds pass {step:d} and has prepared '
       'version {version:d}')
def step_prepared(context: Any, ranks: int, step: int, version: int) -> None:
    step_group(context, ranks, step - 1)
    for rank in range(ranks):
        _update_state(context, rank, prepared_version=version)
    _update_state(context, 0, held_step=step)


@when('rank {rank:d} has prepared version {version:d} instead')
def step_prepare_other(context: Any, rank: int, version: int) -> None:
    _update_state(context,
                  rank,
                  prepared_version=version,
                  armed_version=0,
                  armed_step=0)


def _carry_out(context: Any, rank: int, order: peer_messages.RankOrder) -> None:
    """Applies an order to the state of a rank, as its server does."""
    context.sent_orders.append((rank, order))
    state = context.states[rank]
    if order.kind is _Kind.PREPARE and not state.armed_version:
        _update_state(context, rank, prepared_version=order.version)
    elif order.kind is _Kind.HOLD:
        _update_state(context, rank, held_step=order.step)
    elif order.kind is _Kind.ARM and state.prepared_version == order.version:
        _update_state(context,
                      rank,
                      armed_version=order.version,
                      armed_step=order.step)
    elif order.kind is _Kind.DISARM:
        _update_state(context, rank, armed_version=0, armed_step=0)
    elif order.kind is _Kind.GO:
        _release(context, order.step)


def _release(context: Any, step: int) -> None:
    """Begins the held pass and applies the armed map."""
    for rank, state in context.states.items():
        if state.armed_step == step:
            _update_state(context,
                          rank,
                          map_version=state.armed_version,
                          prepared_version=0,
                          armed_version=0,
                          armed_step=0)
        _update_state(context, rank, step=step, held_step=0)


def _run_switch(context: Any,
                switch: map_switch.MapSwitch,
                *,
                ignoring_rank: int | None = None) -> None:
    for _ in range(_MAX_ROUNDS):
        switch, orders = map_switch.advance_switch(switch, context.states)
        for rank, order in orders.items():
            if rank == ignoring_rank and order.kind is _Kind.ARM:
                continue
            _carry_out(context, rank, order)
    context.switch = switch


@when('a switch to version {version:d} is run and every order is carried out')
def step_run_switch(context: Any, version: int) -> None:
    _run_switch(context, map_switch.MapSwitch(version, _EPOCH, _LAYOUTS))


@when('it is run and every order is carried out')
def step_run_resumed(context: Any) -> None:
    _run_switch(context, context.switch)


@when('a switch to version {version:d} is run and rank {rank:d} ignores '
      'orders to arm')
def step_run_ignoring(context: Any, version: int, rank: int) -> None:
    _run_switch(context,
                map_switch.MapSwitch(version, _EPOCH, _LAYOUTS),
                ignoring_rank=rank)


@when('a newer coordinator prepares version {version:d}')
def step_newer_coordinator(context: Any, version: int) -> None:
    switch = map_switch.MapSwitch(version, _EPOCH, _LAYOUTS)
    _, context.orders = map_switch.advance_switch(switch, context.states)


@when('the next coordinator recovers with version {version:d}')
def step_recover(context: Any, version: int) -> None:
    assert map_switch.needs_recovery(context.states)
    _run_switch(context,
                map_switch.recovery_switch(context.states, _LAYOUTS, version))


@when('a switch to version {version:d} is started and the group gets a new '
      'epoch')
def step_new_epoch(context: Any, version: int) -> None:
    switch = map_switch.MapSwitch(version, _EPOCH, _LAYOUTS)
    switch, _ = map_switch.advance_switch(switch, context.states)
    for rank in context.states:
        _update_state(context, rank, epoch=_EPOCH + 1)
    context.switch, context.orders = map_switch.advance_switch(
        switch, context.states)


@then('all ranks use version {version:d} and no pass is held')
def step_all_use(context: Any, version: int) -> None:
    states = context.states.values()
    assert all(s.map_version == version for s in states), context.states
    assert not any(s.held_step for s in states)
    assert context.switch.phase is map_switch.MapSwitchPhase.DONE


@then('pass {step:d} is held and no order to release it was sent')
def step_not_released(context: Any, step: int) -> None:
    assert context.states[0].held_step == step
    assert not any(order.kind is _Kind.GO for _, order in context.sent_orders)


@then('no rank is ordered to disarm')
def step_no_disarm(context: Any) -> None:
    kinds = {order.kind for order in context.orders.values()}
    assert _Kind.DISARM not in kinds, context.orders


@then('ranks {first:d} and {second:d} are ordered to disarm version '
      '{version:d}')
def step_ranks_disarm(context: Any, first: int, second: int,
                      version: int) -> None:
    found = {
        rank: order.version
        for rank, order in context.orders.items()
        if order.kind is _Kind.DISARM
    }
    assert found == {first: version, second: version}, context.orders


@then('any coordinator can complete the switch to version {version:d}')
def step_can_complete(context: Any, version: int) -> None:
    found = map_switch.resumable_switch(context.states)
    assert found is not None and found.version == version
    context.switch = found


@then('no coordinator can complete a switch')
def step_cannot_complete(context: Any) -> None:
    assert map_switch.resumable_switch(context.states) is None


@then('the switch is abandoned')
def step_abandoned(context: Any) -> None:
    assert context.switch.phase is map_switch.MapSwitchPhase.ABANDONED
    assert not context.orders


@given('a view of a group that received the state of all {ranks:d} ranks')
def step_view(context: Any, ranks: int) -> None:
    context.clock = memory.MemoryClock()
    context.view = group_view.GroupView(name='g', time=context.clock)
    context.rank_states = [
        dataclasses.replace(running_group.rank_state(rank, step=1), size=ranks)
        for rank in range(ranks)
    ]
    for state in context.rank_states:
        context.view.take(state)
    assert context.view.is_complete() and not context.view.missing_ranks()


@when('{seconds:d} s later all ranks but rank {missing:d} report, rank '
      '{closed:d} as closed')
def step_report_later(context: Any, seconds: int, missing: int,
                      closed: int) -> None:
    context.clock.now += seconds
    for state in context.rank_states:
        if state.rank != missing:
            context.view.take(
                dataclasses.replace(state, step=2, is_open=state.rank
                                    != closed))


@then('the group is incomplete, and ranks "{ranks}" are missing')
def step_missing(context: Any, ranks: str) -> None:
    assert not context.view.is_complete()
    assert context.view.missing_ranks() == [int(r) for r in ranks.split()]
