"""How all ranks of a group change their map with the same pass.

A switch prepares the map on every rank, has one rank hold a coming pass back,
arms every rank for that pass, and releases the pass only when every rank has
been seen armed. An order that gets no answer may be carried out seconds later,
so nothing is concluded from sending one.

Why no pass runs with two maps, also with several deciders at once:

- A held pass is released only after all ranks were seen armed for it with one
  version. Armed ranks take no other version, so that stays true.
- Versions are unique to a decider, so one version never means two maps.
- A rank is disarmed only if another rank holds a newer version, and so can
  never be armed with the older one: nobody has seen, or will see, all armed.
- An arming that arrives after its pass has begun is refused.
"""

import dataclasses
import enum
from collections.abc import Mapping

from pollenthread.core import peer_messages

__all__ = [
    'MapSwitchPhase', 'MapSwitch', 'advance_switch', 'resumable_switch',
    'needs_recovery', 'recovery_switch'
]

HOLDING_RANK = 0
_MIN_LEAD = 2
_MIN_STEP = 1

RankStates = Mapping[int, peer_messages.RankState]
RankOrders = dict[int, peer_messages.RankOrder]


class MapSwitchPhase(enum.Enum):
    """How far a switch has come."""

    PREPARING = 'preparing'
    HOLDING = 'holding'
    ARMING = 'arming'
    RELEASING = 'releasing'
    DONE = 'done'
    ABANDONED = 'abandoned'


@dataclasses.dataclass(frozen=True, slots=True)
class MapSwitch:
    """One change of a group's map.

    Attributes:
        version: the map's version, which no other decider uses.
        epoch: the epoch of the group.
        layouts: the experts by set and rank.
        phase: how far it has come.
        step: the pass at which the ranks switch; 0 while it is open.
        lead: how many passes ahead one is held. No pass waits if all ranks are
            seen armed before it would begin.
    """

    version: int
    epoch: int
    layouts: tuple[tuple[tuple[int, ...], ...], ...]
    phase: MapSwitchPhase = MapSwitchPhase.PREPARING
    step: int = 0
    lead_passes: int = _MIN_LEAD


def advance_switch(switch: MapSwitch,
                   states: RankStates) -> tuple[MapSwitch, RankOrders]:
    """Goes on with a switch as far as the ranks' states allow.

    Args:
        switch: the switch.
        states: the newest state of every rank.

    Returns:
        The switch, and the order that each rank should get now. An order is
        given again until its effect is seen.
    """
    if any(state.epoch != switch.epoch or not state.is_open
           for state in states.values()):
        return dataclasses.replace(switch, phase=MapSwitchPhase.ABANDONED), {}
    if switch.phase is MapSwitchPhase.PREPARING:
        return _prepare(switch, states)
    if switch.phase is MapSwitchPhase.HOLDING:
        return _hold(switch, states)
    if switch.phase is MapSwitchPhase.ARMING:
        return _arm(switch, states)
    if switch.phase is MapSwitchPhase.RELEASING:
        return _release(switch, states)
    return switch, {}


def _prepare(switch: MapSwitch,
             states: RankStates) -> tuple[MapSwitch, RankOrders]:
    orders: RankOrders = {}
    for rank, state in states.items():
        newest = max(state.map_version, state.prepared_version)
        if newest > switch.version:
            # Another decider has taken over.
            return dataclasses.replace(switch,
                                       phase=MapSwitchPhase.ABANDONED), {}
        if state.prepared_version == switch.version:
            continue
        if state.armed_version:
            if _is_overtaken(state.armed_version, states):
                orders[rank] = _order(switch,
                                      peer_messages.OrderKind.DISARM,
                                      version=state.armed_version)
        elif not state.is_busy:
            orders[rank] = _order(switch,
                                  peer_messages.OrderKind.PREPARE,
                                  layouts=switch.layouts)
    if all(state.prepared_version == switch.version and not state.armed_version
           for state in states.values()):
        return _hold(dataclasses.replace(switch, phase=MapSwitchPhase.HOLDING),
                     states)
    return switch, orders


def _is_overtaken(version: int, states: RankStates) -> bool:
    """Whether some rank can never be armed with a version again."""
    return any(state.prepared_version > version for state in states.values())


def _hold(switch: MapSwitch,
          states: RankStates) -> tuple[MapSwitch, RankOrders]:
    held = states[HOLDING_RANK].held_step
    if held:
        return _arm(
            dataclasses.replace(switch, phase=MapSwitchPhase.ARMING, step=held),
            states)
    step = max(state.step for state in states.values())
    if switch.step <= step:
        ahead = max(_MIN_STEP, step) + switch.lead_passes
        switch = dataclasses.replace(switch, step=ahead)
    order = _order(switch, peer_messages.OrderKind.HOLD)
    return switch, {HOLDING_RANK: order}


def _arm(switch: MapSwitch, states: RankStates) -> tuple[MapSwitch, RankOrders]:
    if all(state.map_version == switch.version for state in states.values()):
        return dataclasses.replace(switch, phase=MapSwitchPhase.DONE), {}
    armed = {
        rank for rank, state in states.items()
        if state.armed_version == switch.version and
        state.armed_step == switch.step
    }
    if len(armed) == len(states):
        return _release(
            dataclasses.replace(switch, phase=MapSwitchPhase.RELEASING), states)
    if any(state.prepared_version > switch.version
           for state in states.values()):
        return dataclasses.replace(switch, phase=MapSwitchPhase.ABANDONED), {}
    return switch, {
        rank: _order(switch, peer_messages.OrderKind.ARM)
        for rank in states
        if rank not in armed
    }


def _release(switch: MapSwitch,
             states: RankStates) -> tuple[MapSwitch, RankOrders]:
    if states[HOLDING_RANK].held_step != switch.step:
        return dataclasses.replace(switch, phase=MapSwitchPhase.DONE), {}
    order = _order(switch, peer_messages.OrderKind.GO)
    return switch, {HOLDING_RANK: order}


def _order(
    switch: MapSwitch,
    kind: peer_messages.OrderKind,
    *,
    version: int | None = None,
    layouts: tuple[tuple[tuple[int, ...], ...], ...] = ()
) -> peer_messages.RankOrder:
    return peer_messages.RankOrder(
        kind=kind,
        epoch=switch.epoch,
        version=switch.version if version is None else version,
        step=switch.step,
        layouts=layouts)


def needs_recovery(states: RankStates) -> bool:
    """Whether an earlier decider has left a pass held back.

    Ranks are armed only while a pass is held, and released only when all are:
    armed ranks without a held pass will switch by themselves.
    """
    return bool(states[HOLDING_RANK].held_step)


def resumable_switch(states: RankStates) -> MapSwitch | None:
    """The switch that an earlier decider began, if it can be completed.

    It can if every rank is armed for the held pass with one version or has
    that version prepared.
    """
    held = states[HOLDING_RANK].held_step
    versions = {
        state.armed_version or state.prepared_version
        for state in states.values()
    }
    steps = {
        state.armed_step for state in states.values() if state.armed_version
    }
    if not held or len(versions) != 1 or 0 in versions or not steps <= {held}:
        return None
    epoch = states[HOLDING_RANK].epoch
    return MapSwitch(versions.pop(), epoch, (), MapSwitchPhase.ARMING, held)


def recovery_switch(states: RankStates, layouts: tuple[tuple[tuple[int, ...],
                                                             ...], ...],
                    version: int) -> MapSwitch:
    """Takes over an unfinished switch.

    If every rank is armed with the same version, or can be, the switch goes
    on. Otherwise the map in use is prepared anew under a version of the
    caller's, after which nobody can arm what was left, and is switched to.

    Args:
        states: the newest state of every rank.
        layouts: the map in use.
        version: a version that no decider has used.
    """
    epoch = states[HOLDING_RANK].epoch
    return resumable_switch(states) or MapSwitch(version, epoch, layouts)
