"""Memory and connections that all clients of a process share."""

import abc
import asyncio
import collections

from pollenthread.core.clients import client_eviction

__all__ = ['BudgetMember', 'ClientBudget']

# The rest is for clients that hold little.
_LARGE_CLIENTS_SHARE = 0.75


class BudgetMember(abc.ABC):
    """A connection of a client.

    Attributes:
        waits_since: the loop time since when the process waits for the client
            to send or to read; None while the client waits for the process.
    """

    waits_since: float | None

    @property
    @abc.abstractmethod
    def bytes_ahead(self) -> int:
        """Bytes that were sent before the response to earlier ones."""

    @abc.abstractmethod
    def release_memory(self) -> None:
        """Refuses the request that is being received, or cuts the response."""

    @abc.abstractmethod
    def release_connection(self) -> None:
        """Closes the connection at once."""


class ClientBudget:
    """Counts what clients hold, and makes them release it.

    Attributes:
        evictions: the number of clients that lost memory or a connection, by
            which of them it was.
    """

    def __init__(
        self,
        limits: client_eviction.ResourceLimits = client_eviction.ResourceLimits(
        )
    ) -> None:
        self._limits = limits
        self._held_bytes_by_member: dict[BudgetMember, int] = {}
        self._total_bytes = 0
        self.evictions: collections.Counter[str] = collections.Counter()

    @property
    def total_bytes(self) -> int:
        """The memory that all clients hold."""
        return self._total_bytes

    @property
    def connections(self) -> int:
        """The number of connections."""
        return len(self._held_bytes_by_member)

    def add(self, member: BudgetMember) -> bool:
        """Adds a connection; if there are too many, another one is closed.

        Returns:
            Whether it was added.
        """
        if self.connections >= self._limits.max_connections:
            self.evictions['connections'] += 1
            victim = self._find_idlest()
            if victim is None:
                return False
            self.remove(victim)
            victim.release_connection()
        self._held_bytes_by_member[member] = 0
        return True

    def _find_idlest(self) -> BudgetMember | None:
        """Returns the connection whose client keeps it for the least reason.

        That is the client for which the process has waited longest. If it waits
        for none, it is the one that has sent most ahead. Clients that wait for
        a response to all that they have sent are spared.
        """
        longest: tuple[float, BudgetMember] | None = None
        furthest: tuple[int, BudgetMember] | None = None
        for member in self._held_bytes_by_member:
            since = member.waits_since
            if since is not None and (longest is None or since < longest[0]):
                longest = since, member
            ahead = member.bytes_ahead
            if ahead and (furthest is None or ahead > furthest[0]):
                furthest = ahead, member
        found = longest or furthest
        return None if found is None else found[1]

    def remove(self, member: BudgetMember) -> None:
        """Removes a connection, if it has not been removed yet."""
        self._total_bytes -= self._held_bytes_by_member.pop(member, 0)

    def hold(self, member: BudgetMember, held_bytes: int) -> bool:
        """Records the memory that a client holds.

        If it is too much for the process, clients release theirs.

        Args:
            member: the connection of the client.
            held_bytes: all memory that it holds now.

        Returns:
            Whether the client may hold it; if not, it must release it.
        """
        before_bytes = self._held_bytes_by_member.get(member)
        if before_bytes is None:
            return True
        self._total_bytes += held_bytes - before_bytes
        self._held_bytes_by_member[member] = held_bytes
        if held_bytes <= before_bytes:
            return True
        max_bytes = self._limits.max_bytes
        if held_bytes > client_eviction.SMALL_BYTES:
            max_bytes = int(max_bytes * _LARGE_CLIENTS_SHARE)
        return self._total_bytes <= max_bytes or self._evict(member, max_bytes)

    def _evict(self, member: BudgetMember, max_bytes: int) -> bool:
        """Makes clients release memory until it is within a limit.

        Returns:
            Whether that was possible without the given member.
        """
        by_key = {id(other): other for other in self._held_bytes_by_member}
        holdings = [
            client_eviction.Holding(id(other), held_bytes, other.waits_since)
            for other, held_bytes in self._held_bytes_by_member.items()
            if other.waits_since is not None
        ]
        now = asyncio.get_running_loop().time()
        for holding in client_eviction.eviction_order(holdings, now):
            victim = by_key[holding.key]
            self.evictions['memory'] += 1
            if victim is member:
                return False
            victim.release_memory()
            if self._total_bytes <= max_bytes:
                return True
        self.evictions['memory'] += 1
        return False
