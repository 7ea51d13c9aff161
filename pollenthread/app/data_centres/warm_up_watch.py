"""Notes which servers warm up, from what the list and operators say.

A server warms up after its start, after its data centre was taken back, and
when its entry says so.
"""

from pollenthread.app import serving_state
from pollenthread.core import log_events, server_registry
from pollenthread.core.routing import evacuations
from pollenthread.ports import clock, event_log

__all__ = ['WarmUpWatch']


class WarmUpWatch:
    """Keeps the servers that warm up of services that have a warm-up."""

    def __init__(self, *, state: serving_state.ServingState, time: clock.Clock,
                 log: event_log.EventLog) -> None:
        self._state = state
        self._clock = time
        self._log = log

    def on_entry(self, server: server_registry.Server,
                 is_new_run: bool) -> None:
        """Notes what the entry of a server tells.

        Args:
            server: the server.
            is_new_run: whether it has started while this host served.
        """
        warm_up = self._state.warm_up_of(server.service)
        if warm_up is None:
            return
        duration_s = max(server.warm_up_s,
                         warm_up.duration_s if is_new_run else 0.0)
        self._record(server, duration_s, 'started' if is_new_run else 'entry')

    def on_evacuation(self, change: evacuations.EvacuationChange) -> None:
        """Notes that the servers of restored data centres may have to warm up.
        """
        for server in self._state.server_registry.listed_by_id.values():
            warm_up = self._state.warm_up_of(server.service)
            if server.data_centre in change.restored and warm_up is not None:
                self._record(server, warm_up.duration_s, 'restored')

    def drop_warm(self) -> None:
        """Forgets the servers that are warm now."""
        now = self._clock.monotonic()
        for server_id in self._state.warming_servers.drop_warm(now):
            self._log.write(log_events.LogEvent.SERVER_WARM, server=server_id)

    def _record(self, server: server_registry.Server, duration_s: float,
                cause: str) -> None:
        if self._state.warming_servers.record(server, duration_s,
                                              self._clock.monotonic()):
            self._log.write(log_events.LogEvent.SERVER_WARMING,
                            server=server.id,
                            for_s=round(duration_s, 3),
                            cause=cause)
