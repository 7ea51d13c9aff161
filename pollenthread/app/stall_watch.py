"""Ends a hold that a lost decider has left behind.

A group whose pass is held makes no pass at all, and a hold does not expire. To
complete a switch whose map every rank has prepared needs no duty: its orders
are the same whoever gives them.
"""

import dataclasses

from pollenthread.app import group_view, rank_agent, switch_driver
from pollenthread.core import log_events, map_switch
from pollenthread.ports import clock, event_log

__all__ = ['StallWatch']

_CHECK_S = 0.1
_STALLED_S = 0.4
_STAGGER_S = 0.12
_PAUSE_S = 0.5
_MAX_HELP_S = 3.0


class StallWatch:
    """Watches for a group that stands still behind a held pass."""

    def __init__(self, *, agent: rank_agent.RankAgent,
                 view: group_view.GroupView, driver: switch_driver.SwitchDriver,
                 time: clock.Clock, log: event_log.EventLog) -> None:
        self._agent = agent
        self._view = view
        self._driver = driver
        self._clock = time
        self._log = log

    async def run(self) -> None:
        """Watches until cancelled."""
        while True:
            await self._clock.sleep(_CHECK_S)
            own = self._view.own_state
            if own is None or not own.is_open or self._view.duty_version:
                continue
            # Ranks look one after another, so that one of them helps.
            patience_s = _STALLED_S + own.rank * _STAGGER_S
            if self._agent.stalled_s() > patience_s:
                await self._help()
                await self._clock.sleep(_PAUSE_S)

    async def _help(self) -> None:
        holding = await self._driver.look(map_switch.HOLDING_RANK)
        if holding is None or not holding.held_step:
            return
        for rank in self._view.states():
            if not self._view.is_fresh(rank):
                await self._driver.look(rank)
        states = self._view.states()
        if len(states) < holding.size:
            return
        switch = map_switch.complete(states)
        if switch is None:
            return
        self._log.write(log_events.LogEvent.MAP_RECOVERED,
                        group=self._view.group,
                        version=switch.version,
                        held=holding.held_step,
                        by='stall watch')
        await self._driver.drive(dataclasses.replace(switch))
