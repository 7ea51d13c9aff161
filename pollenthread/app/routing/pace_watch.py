"""Logs when a model group stops, runs again, or changes its pace much."""

from typing import Any

from pollenthread.app import serving_state
from pollenthread.core import log_events
from pollenthread.ports import clock, event_log

__all__ = ['PaceWatch']

_CHECK_INTERVAL_S = 0.1
_CHANGE_FACTOR = 1.5
_MAX_LOGGED_RANKS = 8


class PaceWatch:
    """Watches the groups whose ranks report to an entry host.

    Attributes:
        stops: how often a group was seen to stop.
    """

    def __init__(self, *, state: serving_state.ServingState, time: clock.Clock,
                 log: event_log.EventLog) -> None:
        self.stops = 0
        self._state = state
        self._clock = time
        self._log = log
        self._logged_pass_s_by_group: dict[str, float] = {}
        self._stopped_groups: set[str] = set()

    async def run(self) -> None:
        """Watches until cancelled."""
        while True:
            await self._clock.sleep(_CHECK_INTERVAL_S)
            self.check()

    def check(self) -> None:
        """Logs what has changed since the previous check."""
        now = self._clock.monotonic()
        for group, pace in self._state.server_loads.paces.by_group.items():
            stalled_s = pace.stalled_s(now)
            has_changed = bool(stalled_s) != (group in self._stopped_groups)
            if has_changed and stalled_s:
                self.stops += 1
                self._stopped_groups.add(group)
            elif has_changed:
                self._stopped_groups.discard(group)
            logged_s = self._logged_pass_s_by_group.get(group)
            if not has_changed and not _differs(pace.pass_s, logged_s):
                continue
            self._logged_pass_s_by_group[group] = pace.pass_s
            self._log.write(log_events.LogEvent.GROUP_PACE,
                            group=group,
                            is_stopped=bool(stalled_s),
                            stalled_s=round(stalled_s, 3),
                            pass_s=round(pace.pass_s, 4),
                            **self._causes(group, now))

    def _causes(self, group: str, now: float) -> dict[str, Any]:
        """Returns log fields with the ranks that may hold the group back."""
        load_by_id = self._state.server_loads.group_members(group)
        silent = sorted(server_id for server_id, load in load_by_id.items()
                        if load.is_report_overdue(now))
        slowest = max(load_by_id,
                      key=lambda server_id: load_by_id[server_id].pace_percent,
                      default=None)
        return {
            'silent':
                silent[:_MAX_LOGGED_RANKS],
            'slowest':
                slowest,
            'slowest_percent':
                load_by_id[slowest].pace_percent if slowest else 0
        }


def _differs(pass_s: float, logged_s: float | None) -> bool:
    """Returns whether a known pass differs much from the one logged last."""
    if not pass_s:
        return False
    return not logged_s or not (1 / _CHANGE_FACTOR < pass_s / logged_s <
                                _CHANGE_FACTOR)
