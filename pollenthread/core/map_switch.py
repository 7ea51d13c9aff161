"""Switches the expert map of all ranks of a group in the same pass.

The agents of the ranks execute orders and report rank states; the module
`switch` has the protocol for ranks that exchange messages themselves.

A switch prepares the map on every rank, makes one rank hold back a future
pass, arms every rank for that pass, and releases the pass once every rank has
reported itself armed. An order without a response may still be executed
seconds later, so the logic relies on reported rank states alone.

No pass runs with two maps, even with several coordinators at once:

- A held pass is released only after all ranks have reported themselves armed
  for it with the same version. Armed ranks accept no other version.
- A version is used by one coordinator only, so it identifies one map.
- A rank is disarmed only if another rank has prepared a newer version. That
  rank can no longer be armed with the older version, so no coordinator can
  see all ranks armed with it.
- A rank rejects an order to arm for a pass that has begun.
"""

import dataclasses
import enum
from collections.abc import Mapping

from pollenthread.core import peer_messages

__all__ = [
    'MapSwitch', 'MapSwitchPhase', 'advance_switch', 'needs_recovery',
    'recovery_switch', 'resumable_switch'
]

# The index of the rank that holds a pass back for the whole group.
HOLDING_RANK = 0
_MIN_LEAD_PASSES = 2
_FIRST_STEP = 1

RankStates = Mapping[int, peer_messages.RankState]
RankOrders = dict[int, peer_messages.RankOrder]


class MapSwitchPhase(enum.Enum):
    """The progress of a switch."""

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
        version: the version of the map, used by no other coordinator.
        epoch: the epoch of the group.
        layouts: the experts by set and rank.
        phase: the progress of the switch.
        step: the pass at which the ranks switch; 0 until chosen.
        lead_passes: the distance from the current pass to the held one, in
            passes. No pass is delayed if all ranks are armed before the held
            pass is due.
    """

    version: int
    epoch: int
    layouts: tuple[tuple[tuple[int, ...], ...], ...]
    phase: MapSwitchPhase = MapSwitchPhase.PREPARING
    step: int = 0
    lead_passes: int = _MIN_LEAD_PASSES


def advance_switch(switch: MapSwitch,
                   states: RankStates) -> tuple[MapSwitch, RankOrders]:
    """Advances a switch as far as the states of the ranks allow.

    Args:
        switch: the switch.
        states: the latest state of every rank, by rank index.

    Returns:
        The updated switch, and the order to send to each rank now, by rank
        index. An order is repeated until a rank state shows its effect.
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
            # Another coordinator has taken over.
            return dataclasses.replace(switch,
                                       phase=MapSwitchPhase.ABANDONED), {}
        if state.prepared_version == switch.version:
            continue
        if state.armed_version:
            if _is_superseded(state.armed_version, states):
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


def _is_superseded(version: int, states: RankStates) -> bool:
    """Returns whether some rank can no longer be armed with a version."""
    return any(state.prepared_version > version for state in states.values())


def _hold(switch: MapSwitch,
          states: RankStates) -> tuple[MapSwitch, RankOrders]:
    held_step = states[HOLDING_RANK].held_step
    if held_step:
        return _arm(
            dataclasses.replace(switch,
                                phase=MapSwitchPhase.ARMING,
                                step=held_step), states)
    step = max(state.step for state in states.values())
    if switch.step <= step:
        switch_step = max(_FIRST_STEP, step) + switch.lead_passes
        switch = dataclasses.replace(switch, step=switch_step)
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
    """Returns whether an earlier coordinator has left a pass held back.

    Ranks are armed only while a pass is held, and the pass is released only
    once all ranks are armed. Armed ranks without a held pass therefore switch
    without further orders.
    """
    return bool(states[HOLDING_RANK].held_step)


def resumable_switch(states: RankStates) -> MapSwitch | None:
    """Returns an earlier coordinator's switch if it can be completed, or None.

    It can be completed if every rank is armed for the held pass with the same
    version or has prepared that version.
    """
    held_step = states[HOLDING_RANK].held_step
    versions = {
        state.armed_version or state.prepared_version
        for state in states.values()
    }
    steps = {
        state.armed_step for state in states.values() if state.armed_version
    }
    if not held_step or len(
            versions) != 1 or 0 in versions or not steps <= {held_step}:
        return None
    epoch = states[HOLDING_RANK].epoch
    return MapSwitch(versions.pop(), epoch, (), MapSwitchPhase.ARMING,
                     held_step)


def recovery_switch(states: RankStates, layouts: tuple[tuple[tuple[int, ...],
                                                             ...], ...],
                    version: int) -> MapSwitch:
    """Returns the switch that replaces or completes an unfinished one.

    If every rank is armed with the same version, or can be, that switch is
    continued. Otherwise the result switches to the map in use, prepared again
    under a new version. Once prepared, no rank can be armed with the
    unfinished version.

    Args:
        states: the latest state of every rank, by rank index.
        layouts: the map in use, by set and rank.
        version: a version that no coordinator has used.
    """
    epoch = states[HOLDING_RANK].epoch
    return resumable_switch(states) or MapSwitch(version, epoch, layouts)
