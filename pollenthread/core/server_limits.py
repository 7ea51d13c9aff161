"""Request rates that servers accept from all entry hosts together.

A server in need names its limit in its responses, for as long as it is in
force. Hosts learn it from responses and from each other; what was named last
holds. A server that has started again has no limit until it names one.
"""

import dataclasses
import math

from pollenthread.core import server_registry

__all__ = ['RateLimit', 'RateLimits']


@dataclasses.dataclass(frozen=True, slots=True)
class RateLimit:
    """What a server has said about its limit.

    Attributes:
        server_id: the id of the server.
        born_ms: start time of the server in Unix milliseconds; 0 if unknown.
        per_s: accepted requests per second; infinite if it named no limit.
        named_at: monotonic seconds at which it was named.
    """

    server_id: str
    born_ms: int
    per_s: float
    named_at: float

    @property
    def is_limited(self) -> bool:
        """Whether the server accepts a limited rate only."""
        return self.per_s < math.inf


class RateLimits:
    """What servers have last said about their limits, by server id."""

    def __init__(self) -> None:
        self._limit_by_id: dict[str, RateLimit] = {}

    def get(self, server: server_registry.Server) -> RateLimit | None:
        """Returns the limit in force for a server, or None."""
        limit = self._limit_by_id.get(server.id)
        if (limit is None or not limit.is_limited or
                limit.born_ms < server.born_ms):
            return None
        return limit

    def last_named(self, server_id: str) -> RateLimit | None:
        """Returns what a server last said, even if it no longer limits."""
        return self._limit_by_id.get(server_id)

    def record(self, limit: RateLimit) -> bool:
        """Records what a server said; returns whether its limit changed."""
        known = self._limit_by_id.get(limit.server_id)
        if known is None:
            if limit.is_limited:
                self._limit_by_id[limit.server_id] = limit
            return limit.is_limited
        if (limit.born_ms, limit.named_at) <= (known.born_ms, known.named_at):
            return False
        self._limit_by_id[limit.server_id] = limit
        return limit.per_s != known.per_s

    def remove(self, server_id: str) -> None:
        """Forgets a server that no longer exists."""
        self._limit_by_id.pop(server_id, None)
