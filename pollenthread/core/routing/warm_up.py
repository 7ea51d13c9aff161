"""Servers that are slow because they have just started, or became so again."""

import dataclasses
import math

from pollenthread.core import server_registry

__all__ = ['WarmingServers']


@dataclasses.dataclass(frozen=True, slots=True)
class _Warming:
    """The warm-up of one run of a server.

    Attributes:
        born_ms: the start of the run, in Unix milliseconds; 0 if unknown.
        until: monotonic seconds at which it ends.
    """

    born_ms: int
    until: float


class WarmingServers:
    """The servers that warm up, as known to one host."""

    def __init__(self) -> None:
        self._warming_by_id: dict[str, _Warming] = {}

    def record(self, server: server_registry.Server, duration_s: float,
               now: float) -> bool:
        """Records that a server warms up; the longest time told for it holds.

        Args:
            server: the server.
            duration_s: seconds until it is warm.
            now: monotonic seconds.

        Returns:
            Whether it was warm until now.
        """
        was_warm = not self.is_warming(server, now)
        until = now + duration_s
        if was_warm or until > self._warming_by_id[server.id].until:
            self._warming_by_id[server.id] = _Warming(server.born_ms, until)
        return was_warm and duration_s > 0

    def is_warming(self, server: server_registry.Server, now: float) -> bool:
        """Returns whether a server warms up."""
        return self.warm_at(server) > now

    def warm_at(self, server: server_registry.Server) -> float:
        """Returns the monotonic seconds at which a server is or was warm."""
        warming = self._warming_by_id.get(server.id)
        if warming is None or warming.born_ms < server.born_ms:
            return -math.inf
        return warming.until

    def drop_warm(self, now: float) -> tuple[str, ...]:
        """Forgets the servers that are warm now; returns their ids."""
        warm = tuple(
            server_id for server_id, warming in self._warming_by_id.items()
            if warming.until <= now)
        for server_id in warm:
            del self._warming_by_id[server_id]
        return warm

    @property
    def count(self) -> int:
        """The number of servers that warm up."""
        return len(self._warming_by_id)
