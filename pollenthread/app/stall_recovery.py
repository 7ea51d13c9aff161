"""Completes a map switch whose coordinator failed while a pass was held.

A group with a held pass makes no progress, and a hold does not expire. If every
rank has prepared the map, any agent may complete the switch without holding the
duty, because the orders are the same whoever sends them.
"""

from collections.abc import Callable

from pollenthread.app import group_view, rank_agent, switch_driver
from pollenthread.core import log_events, map_switch
from pollenthread.ports import clock, event_log

__all__ = ['StallRecovery']

_CHECK_INTERVAL_S = 0.1
_STALL_THRESHOLD_S = 0.4
_STAGGER_PER_RANK_S = 0.12
_RETRY_DELAY_S = 0.5

DriverFactory = Callable[[group_view.GroupView], switch_driver.SwitchDriver]


class StallRecovery:
    """Recovers this agent's group when a held pass stalls it."""

    def __init__(self, *, agent: rank_agent.RankAgent,
                 registry: group_view.GroupRegistry, make_driver: DriverFactory,
                 time: clock.Clock, log: event_log.EventLog) -> None:
        """Initializes the recovery.

        Args:
            agent: reports how long the group has been stalled.
            registry: the known state of all groups.
            make_driver: creates a driver of switches for a group.
            time: the clock.
            log: the structured log.
        """
        self._agent = agent
        self._registry = registry
        self._make_driver = make_driver
        self._clock = time
        self._log = log

    async def run(self) -> None:
        """Checks for stalls periodically until cancelled."""
        while True:
            await self._clock.sleep(_CHECK_INTERVAL_S)
            own = self._registry.own_state
            if own is None or not own.is_open:
                continue
            # Staggered, so that usually only one rank recovers the group.
            threshold_s = _STALL_THRESHOLD_S + own.rank * _STAGGER_PER_RANK_S
            if self._agent.stalled_s() > threshold_s:
                await self._recover(self._registry.view(own.group))
                await self._clock.sleep(_RETRY_DELAY_S)

    async def _recover(self, view: group_view.GroupView) -> None:
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
        switch = map_switch.resumable_switch(states)
        if switch is None:
            return
        self._log.write(log_events.LogEvent.MAP_RECOVERED,
                        group=view.name,
                        version=switch.version,
                        held=holding.held_step,
                        by='stall watch')
        await driver.run(switch)
