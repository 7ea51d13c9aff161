"""The servers that may get a new request now, and why others may not.

All reasons against a server are known here alone: the store's list, what the
server has said, and limits of its request rate.
"""

import enum

from pollenthread.app import rate_permits, serving_state
from pollenthread.core import server_registry
from pollenthread.ports import clock

__all__ = ['UsableServers', 'Unusable']

# Share of their slots that warm servers must have free to be used alone. Hosts
# that see fewer would send to the same ones.
_MIN_FREE_SHARE = 0.2


class Unusable(enum.Enum):
    """Why a listed server gets no new request now."""

    EVACUATED = 'an operator has emptied its data centre'
    PAUSED = 'it wants no request now, or leaves'
    NO_PERMIT = 'its request rate is used up'


class UsableServers:
    """The servers that may get a new request."""

    def __init__(self, *, state: serving_state.ServingState,
                 permits: rate_permits.RatePermits, time: clock.Clock) -> None:
        self._state = state
        self._permits = permits
        self._clock = time

    def accepting(self, service: str) -> tuple[server_registry.Server, ...]:
        """Returns the servers that accept requests, with a permit or without.
        """
        now = self._clock.monotonic()
        return tuple(server for server in self.outside_evacuations(service)
                     if self._state.server_statements.accepts(server, now))

    def outside_evacuations(self,
                            service: str) -> tuple[server_registry.Server, ...]:
        """Returns the listed servers whose data centres are not emptied."""
        listed = self._state.server_registry.ready(service)
        emptied = self._state.evacuations.data_centres
        if not emptied:
            return listed
        return tuple(s for s in listed if s.data_centre not in emptied)

    def permitted(self, service: str) -> list[server_registry.Server]:
        """Returns the servers for which a permit may be available now."""
        now = self._clock.monotonic()
        return self._without_warming([
            server for server in self.accepting(service)
            if self._permits.available_at(server) <= now
        ])

    def _without_warming(
            self, servers: list[server_registry.Server]
    ) -> list[server_registry.Server]:
        """Returns the warm servers if they have room, otherwise all.

        Only reports tell that a server has room: after a loss of power, entries
        of servers that have not started again look warm.
        """
        warming, loads = self._state.warming_servers, self._state.server_loads
        if not warming.count:
            return servers
        now = self._clock.monotonic()
        warm = [s for s in servers if not warming.is_warming(s, now)]
        known = [s for s in warm if loads.is_known(s.id, now)]
        free_slots = loads.free_slots(known, reserved_share=0.0, now=now)
        needed = max(1.0, _MIN_FREE_SHARE * sum(s.slots for s in known))
        return warm if free_slots >= needed else servers

    def unlimited(self, service: str) -> list[server_registry.Server]:
        """Returns the servers that need no permit."""
        return [
            server for server in self.accepting(service)
            if self._state.server_limits.get(server) is None
        ]

    def limited(self, service: str,
                until: float) -> list[server_registry.Server]:
        """Returns the servers that need a permit and may grant one in time.

        Args:
            service: the name of the service.
            until: monotonic seconds.
        """
        now = self._clock.monotonic()
        return [
            server for server in self.accepting(service)
            if (self._state.server_limits.get(server) is not None or
                self._permits.available_at(server) > now) and
            self._permits.available_at(server) <= until
        ]

    def reason_against(self, server: server_registry.Server) -> Unusable | None:
        """Returns why a listed server gets no new request now, or None."""
        now = self._clock.monotonic()
        if server.data_centre in self._state.evacuations.data_centres:
            return Unusable.EVACUATED
        if not self._state.server_statements.accepts(server, now):
            return Unusable.PAUSED
        if self._permits.available_at(server) > now:
            return Unusable.NO_PERMIT
        return None
