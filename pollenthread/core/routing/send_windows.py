"""Limits the requests that a host sends to each server in a second.

A server that has just started, or is slow for another reason, may crash under
requests that it would otherwise bear, and can become so without anyone knowing.
So the limit holds for all hosts together, all the time, and without messages:
each host has an equal part of it. If there are more hosts than the limit has
requests, each server is used by some hosts only.
"""

import collections
import math
from collections.abc import Iterable

from pollenthread.core import membership

__all__ = ['MAX_SERVERS', 'SendWindows', 'host_share']

MAX_SERVERS = 4096
"""Servers of which a host keeps what it may send to them."""

# A second, and the time by which requests may bunch up on their way.
_WINDOW_S = 1.1
# A request that waited for the end of a window comes after it.
_ROUNDING_S = 1e-6


def host_share(limit: float, own: str, hosts: Iterable[str],
               server_id: str) -> int:
    """Returns how many requests a host may send to a server in a second.

    The parts of all hosts that know the same hosts are at most the limit.

    Args:
        limit: requests in a second from all hosts together.
        own: the name of the host.
        hosts: the names of all hosts.
        server_id: the id of the server.
    """
    names = {own, *hosts}
    equal_part = math.floor(limit / len(names))
    if equal_part:
        return equal_part
    ranked = membership.rank_by_rendezvous_hash(names, f'share\0{server_id}')
    return int(own in ranked[:max(1, math.floor(limit))])


class SendWindows:
    """The requests of one host to each server in the last second."""

    def __init__(self) -> None:
        self._sent_at_by_id: dict[str, collections.deque[float]] = {}
        self._open_at_by_id: dict[str, float] = {}

    def open_at(self, server_id: str) -> float:
        """Returns the monotonic seconds before which no request may be sent.

        Returns negative infinity for a server without recent requests.
        """
        return self._open_at_by_id.get(server_id, -math.inf)

    def reserve(self, server_id: str, share: int, at: float) -> bool:
        """Reserves one request.

        Args:
            server_id: the id of the server.
            share: the requests that this host may send in a second; at least
                one.
            at: monotonic seconds at which it will be sent.

        Returns:
            False if the share is used up; then nothing is reserved.
        """
        sent_at = self._sent_at_by_id.setdefault(server_id, collections.deque())
        while sent_at and sent_at[0] <= at - _WINDOW_S + _ROUNDING_S:
            sent_at.popleft()
        if len(sent_at) >= share:
            self._open_at_by_id[server_id] = sent_at[-share] + _WINDOW_S
            return False
        sent_at.append(at)
        if len(sent_at) == share:
            self._open_at_by_id[server_id] = sent_at[0] + _WINDOW_S
        return True

    def drop_idle(self, now: float) -> None:
        """Forgets servers without recent requests."""
        for server_id, open_at in list(self._open_at_by_id.items()):
            if open_at < now:
                del self._open_at_by_id[server_id]
        for server_id, sent_at in list(self._sent_at_by_id.items()):
            if not sent_at or sent_at[-1] < now - _WINDOW_S:
                del self._sent_at_by_id[server_id]
