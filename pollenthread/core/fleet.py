"""The servers that may take work, as the platform's store lists them.

A server that leaves the list takes no new work. While the list itself may be
wrong, because servers could not renew their entries in the store, a server
that was not announced as draining stays usable for a short time. Of two servers
of a service that are listed with one address the older one has ended.
"""

import dataclasses
import enum
from collections.abc import Iterable, Mapping

__all__ = ['ServerRegistry', 'Server', 'ServerState']


class ServerState(enum.Enum):
    """What a server says of itself."""

    READY = 'ready'
    DRAINING = 'draining'


@dataclasses.dataclass(frozen=True, slots=True)
class Server:
    """One start of a server.

    Attributes:
        id: its name in the list.
        service: the service it belongs to.
        address: `ip:port`.
        data_centre: where it is.
        slots: requests that it works on at once.
        state: whether it takes new work.
        born_ms: Unix milliseconds of its start, or 0.
    """

    id: str
    service: str
    address: str
    data_centre: str
    slots: int
    state: ServerState
    born_ms: int = 0


class ServerRegistry:
    """The listed servers and those that have just lapsed."""

    def __init__(self, *, relisting_s: float) -> None:
        """Makes an empty fleet.

        Args:
            return_s: seconds after an outage of the store within which live
                servers are listed again.
        """
        self._return_s = relisting_s
        self._listed_by_id: dict[str, Server] = {}
        self._lapsed_by_id: dict[str, Server] = {}
        self._outage_ended_at: float | None = None
        self._in_outage = False
        self._ended: set[str] = set()
        self._ready_by_service: dict[str, tuple[Server, ...]] | None = None
        self._id_by_address: dict[str, str] | None = None

    @property
    def listed_by_id(self) -> Mapping[str, Server]:
        """All listed servers."""
        return self._listed_by_id

    def begin_outage(self) -> None:
        """The store is away: entries may lapse though servers live."""
        self._in_outage = True

    def end_outage(self, now: float) -> None:
        """The store answers again."""
        if self._in_outage:
            self._in_outage = False
            self._outage_ended_at = now

    def cancel_outage(self) -> None:
        """The list comes from a host that the store answers.

        Then only this host was cut off, and servers could renew their entries.
        """
        self._in_outage = False

    def replace_all(self, servers: Iterable[Server], now: float) -> list[str]:
        """Takes a whole list; returns the ids that left it."""
        new_by_id = {server.id: server for server in servers}
        removed = [i for i in self._listed_by_id if i not in new_by_id]
        for server in new_by_id.values():
            self.put(server)
        for server_id in removed:
            self.remove(server_id, now)
        return removed

    def put(self, server: Server) -> None:
        """Takes an entry of the list."""
        self._lapsed_by_id.pop(server.id, None)
        self._listed_by_id[server.id] = server
        self._drop_indexes()

    def remove(self, server_id: str, now: float) -> None:
        """An entry has left the list."""
        server = self._listed_by_id.pop(server_id, None)
        self._ended.discard(server_id)
        self._drop_indexes()
        if server is not None and self._may_be_false(server, now):
            self._lapsed_by_id[server_id] = server

    def expire_lapsed(self, now: float) -> list[str]:
        """Drops lapsed servers that did not return in time."""
        if not self._lapsed_by_id or self._is_uncertain(now):
            return []
        gone = list(self._lapsed_by_id)
        self._lapsed_by_id.clear()
        self._drop_indexes()
        return gone

    def mark_replaced(self, server_id: str) -> None:
        """Another server answers at a server's address: it has ended.

        Its entry stays in the store for a few heartbeats more.
        """
        self._ended.add(server_id)
        self._drop_indexes()

    def record_start(self, address: str, born_ms: int) -> Server | None:
        """Takes the news that the server at an address was started then.

        Args:
            address: `ip:port`.
            born_ms: Unix milliseconds of the start; 0 when unknown.

        Returns:
            The listed server, or None if what is listed there has ended.
        """
        server = self.get_by_address(address)
        if server is not None and 0 < server.born_ms < born_ms:
            self.mark_replaced(server.id)
            return None
        return server

    def get(self, server_id: str) -> Server | None:
        """A server that is listed or may return."""
        return (self._listed_by_id.get(server_id) or
                self._lapsed_by_id.get(server_id))

    def get_by_address(self, address: str) -> Server | None:
        """The youngest server that is listed with an address."""
        if self._id_by_address is None:
            known = sorted(
                (*self._lapsed_by_id.values(), *self._listed_by_id.values()),
                key=lambda server: server.born_ms)
            self._id_by_address = {s.address: s.id for s in known}
        server_id = self._id_by_address.get(address)
        return None if server_id is None else self.get(server_id)

    def ready(self, service: str) -> tuple[Server, ...]:
        """The servers of a service that take new work."""
        if self._ready_by_service is None:
            self._ready_by_service = self._index()
        return self._ready_by_service.get(service, ())

    def _drop_indexes(self) -> None:
        self._ready_by_service = None
        self._id_by_address = None

    def _index(self) -> dict[str, tuple[Server, ...]]:
        found: dict[str, list[Server]] = {}
        known = (*self._listed_by_id.values(), *self._lapsed_by_id.values())
        newest_by_place: dict[tuple[str, str], int] = {}
        for server in known:
            place = (server.service, server.address)
            newest_by_place[place] = max(server.born_ms,
                                         newest_by_place.get(place, 0))
        for server in known:
            newest_ms = newest_by_place[server.service, server.address]
            if (server.state is ServerState.READY and
                    server.id not in self._ended and
                    not 0 < server.born_ms < newest_ms):
                found.setdefault(server.service, []).append(server)
        return {service: tuple(servers) for service, servers in found.items()}

    def _is_uncertain(self, now: float) -> bool:
        if self._in_outage:
            return True
        return (self._outage_ended_at is not None and
                now - self._outage_ended_at < self._return_s)

    def _may_be_false(self, server: Server, now: float) -> bool:
        return server.state is ServerState.READY and self._is_uncertain(now)
