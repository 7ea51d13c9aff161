"""What servers have said about the requests that they want.

A server that leaves says so in its responses, and one that rejects a request
may name a time for which it wants no other. Either binds the host that got the
response, whatever the server list says, and ends when the server starts again.
"""

import collections
import dataclasses
import math

from pollenthread.core import server_registry

__all__ = ['ServerStatements']

_MAX_SERVERS = 4096
_MAX_PAUSE_S = 86_400.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Statement:
    """What one start of a server has said.

    Attributes:
        born_ms: the start, in Unix milliseconds; 0 if unknown.
        paused_until: monotonic seconds until which it wants no request;
            infinite if it leaves.
    """

    born_ms: int
    paused_until: float


class ServerStatements:
    """What servers have said to this host, by server id."""

    def __init__(self) -> None:
        self._statement_by_id: collections.OrderedDict[
            str, _Statement] = collections.OrderedDict()

    def record_leaving(self, server: server_registry.Server) -> bool:
        """Records that a server leaves; returns whether that was not known."""
        is_news = self.paused_until(server) < math.inf
        self._record(server, math.inf)
        return is_news

    def record_pause(self, server: server_registry.Server, seconds: float,
                     now: float) -> bool:
        """Records that a server wants no request for some time.

        Args:
            server: the server.
            seconds: the length of the pause.
            now: monotonic seconds.

        Returns:
            Whether the server accepted requests until now.
        """
        known_until = self.paused_until(server)
        until = now + min(seconds, _MAX_PAUSE_S)
        if until > known_until:
            self._record(server, until)
        return known_until <= now < until

    def paused_until(self, server: server_registry.Server) -> float:
        """Returns the monotonic seconds until which to send it no request.

        Returns infinity if it leaves, and negative infinity if it has said
        nothing since its start.
        """
        statement = self._statement_by_id.get(server.id)
        if statement is None or statement.born_ms < server.born_ms:
            return -math.inf
        return statement.paused_until

    def accepts(self, server: server_registry.Server, now: float) -> bool:
        """Returns whether a server may want a request now."""
        return self.paused_until(server) <= now

    def count_paused(self, now: float) -> int:
        """Returns the number of servers that want no request now."""
        return sum(statement.paused_until > now
                   for statement in self._statement_by_id.values())

    def _record(self, server: server_registry.Server, until: float) -> None:
        self._statement_by_id[server.id] = _Statement(server.born_ms, until)
        self._statement_by_id.move_to_end(server.id)
        if len(self._statement_by_id) > _MAX_SERVERS:
            self._statement_by_id.popitem(last=False)
