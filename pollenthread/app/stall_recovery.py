"""Ends a hold that a lost decider has left behind.

A group whose pass is held makes no pass at all, and a hold does not expire. To
complete a switch whose map every rank has prepared needs no duty: its orders
are the same whoever gives them.
"""

from collections.abc import Callable

from pollenthread.app import group_view, rank_agent, switch_driver
from pollenthread.core import log_events, map_switch
from pollenthread.ports import clock, event_log

__all__ = ['StallRecovery']

_CHECK_S = 0.1
_STALLED_S = 0.4
_STAGGER_S = 0.12
_PAUSE_S = 0.5

DriverFactory = Callable[[group_view.GroupView], switch_driver.SwitchDriver]


class StallRecovery:
    """Watches for a group that stands still behind a held pass."""

    def __init__(self, *, agent: rank_agent.RankAgent,
                 registry: group_view.GroupRegistry, make_driver: DriverFactory,
                 time: clock.Clock, log: event_log.EventLog) -> None:
        self._agent = agent
        self._book = registry
        self._make_driver = make_driver
        self._clock = time
        self._log = log

    async def run(self) -> None:
        """Watches until cancelled."""
        while True:
            await self._clock.sleep(_CHECK_S)
            own = self._book.own_state
            if own is None or not own.is_open:
                continue
            # Ranks look one after another, so that one of them helps.
            patience_s = _STALLED_S + own.rank * _STAGGER_S
            if self._agent.stalled_s() > patience_s:
                await self._help(self._book.view(own.group))
                await self._clock.sleep(_PAUSE_S)

    async def _help(self, view: group_view.GroupView) -> None:
        driver = self._make_driver(view)
        holding = await driver.query_rank(map_switch.HOLDING_RANK)
        if holding is None or not holding.held_step:
            return
        for rank in view.states():
            if not view.is_fresh(rank):
                await driver.query_rank(rank)
        states = view.states()
        if len(states) < holding.size:
            return
        switch = map_switch.complete(states)
        if switch is None:
            return
        self._log.write(log_events.LogEvent.MAP_RECOVERED,
                        group=view.name,
                        version=switch.version,
                        held=holding.held_step,
                        by='stall watch')
        await driver.run(switch)
