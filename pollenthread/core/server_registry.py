"""Tracks the servers that accept requests, as listed in the platform's store.

A server that is removed from the list receives no new requests. The exception
is a removal during or shortly after an outage of the store, when entries may
expire because live servers could not renew them: such a server stays usable for
a short time, unless it was draining. If two servers of a service are listed
with the same address, the older one has ended.

After the store has come back from an older copy, its list may lack servers that
have joined since and contain servers that have left. The former stay usable for
the time in which they are listed again, the latter are not used meanwhile.

A server may start again under its id. Its agent may tell that before its entry
does; then it is not used until the entry tells the later start too.
"""

import collections
import dataclasses
import enum
from collections.abc import Iterable, Mapping

__all__ = ['ServerRegistry', 'Server', 'ServerState']

# Time after the store has come back from a copy in which it lists servers that
# had left: three missed heartbeats remove them again.
_DEPARTED_HOLD_S = 8.0
_MAX_DEPARTED = 1024


class ServerState(enum.Enum):
    """The state that a server reports in its entry."""

    READY = 'ready'
    DRAINING = 'draining'


@dataclasses.dataclass(frozen=True, slots=True)
class Server:
    """One process of a server; a restarted server has a new entry.

    Attributes:
        id: the key of its entry in the store.
        service: the service that it belongs to.
        address: `ip:port`.
        data_centre: the data centre that it runs in.
        slots: requests that it can process concurrently.
        state: whether it accepts new requests.
        born_ms: start time of the process in Unix milliseconds; 0 if unknown.
        warm_up_s: seconds for which it is still slow; 0 if it is warm.
    """

    id: str
    service: str
    address: str
    data_centre: str
    slots: int
    state: ServerState
    born_ms: int = 0
    warm_up_s: float = 0.0


class ServerRegistry:
    """The listed servers and those whose entries expired during an outage."""

    def __init__(self, *, relisting_s: float) -> None:
        """Creates an empty registry.

        Args:
            relisting_s: seconds after an outage of the store within which live
                servers are listed again.
        """
        self._relisting_s = relisting_s
        self._listed_by_id: dict[str, Server] = {}
        self._expired_by_id: dict[str, Server] = {}
        self._outage_ended_at: float | None = None
        self._in_outage = False
        # The latest start of a server that is known to have ended, and the
        # latest one that was told by the agent at an address.
        self._ended_born_ms_by_id: dict[str, int] = {}
        self._told_born_ms_by_address: dict[str, int] = {}
        self._restored_at: float | None = None
        # Start times of servers that drained or left, the latest last.
        self._departed_born_ms_by_id: collections.OrderedDict[
            str, int] = collections.OrderedDict()
        self._held_born_ms_by_id: dict[str, int] = {}
        self._ready_by_service: dict[str, tuple[Server, ...]] | None = None
        self._id_by_address: dict[str, str] | None = None

    @property
    def listed_by_id(self) -> Mapping[str, Server]:
        """All listed servers, by id."""
        return self._listed_by_id

    def begin_outage(self) -> None:
        """Marks the store as unavailable; live servers may expire from it."""
        self._in_outage = True

    def end_outage(self, now: float) -> None:
        """Marks the store as available again."""
        if self._in_outage:
            self._in_outage = False
            self._outage_ended_at = now

    def cancel_outage(self) -> None:
        """Ends an outage without the period for servers to be listed again.

        Called when the list comes from another host that can reach the store:
        only this host was cut off, and servers could renew their entries.
        """
        self._in_outage = False

    def record_restoration(self, now: float) -> None:
        """Records that the next list is that of an older copy of the store."""
        self._restored_at = now
        self._held_born_ms_by_id = dict(self._departed_born_ms_by_id)
        self._invalidate_indexes()

    def _record_departure(self, server: Server) -> None:
        self._departed_born_ms_by_id[server.id] = server.born_ms
        self._departed_born_ms_by_id.move_to_end(server.id)
        if len(self._departed_born_ms_by_id) > _MAX_DEPARTED:
            self._departed_born_ms_by_id.popitem(last=False)

    def _is_held(self, server: Server) -> bool:
        """Whether a server had left before the store came back from a copy."""
        born_ms = self._held_born_ms_by_id.get(server.id)
        return born_ms is not None and server.born_ms <= born_ms

    def replace_all(self, servers: Iterable[Server], now: float) -> list[str]:
        """Replaces the list of servers; returns the ids that were removed."""
        new_by_id = {server.id: server for server in servers}
        removed = [i for i in self._listed_by_id if i not in new_by_id]
        for server in new_by_id.values():
            self.put(server)
        for server_id in removed:
            self.remove(server_id, now)
        return removed

    def put(self, server: Server) -> None:
        """Adds or updates a listed server, unless its entry is outdated."""
        known = self.get(server.id)
        if known is not None and 0 < server.born_ms < known.born_ms:
            return
        self._expired_by_id.pop(server.id, None)
        self._listed_by_id[server.id] = server
        if server.state is ServerState.DRAINING:
            self._record_departure(server)
        elif not self._is_held(server):
            self._departed_born_ms_by_id.pop(server.id, None)
        self._invalidate_indexes()

    def remove(self, server_id: str, now: float) -> None:
        """Removes a server from the list."""
        server = self._listed_by_id.pop(server_id, None)
        self._invalidate_indexes()
        if server is None:
            return
        if self._may_have_expired_wrongly(server, now):
            self._expired_by_id[server_id] = server
        else:
            self._forget(server)

    def _forget(self, server: Server) -> None:
        """Forgets a server that has left."""
        self._record_departure(server)
        self._ended_born_ms_by_id.pop(server.id, None)
        self._told_born_ms_by_address.pop(server.address, None)

    def drop_expired(self, now: float) -> list[str]:
        """Drops expired servers that were not listed again in time.

        Also uses servers again that are still listed long after the store has
        come back from a copy.

        Returns:
            The ids of the dropped servers.
        """
        if self._restored_at is not None and (now - self._restored_at
                                              > _DEPARTED_HOLD_S):
            self._restored_at = None
            self._held_born_ms_by_id.clear()
            self._invalidate_indexes()
        if not self._expired_by_id or self._is_list_unreliable(now):
            return []
        expired = list(self._expired_by_id)
        for server in self._expired_by_id.values():
            self._forget(server)
        self._expired_by_id.clear()
        self._invalidate_indexes()
        return expired

    def mark_ended(self, server: Server) -> None:
        """Marks a run of a server as ended because another uses its address.

        Its entry stays in the store until its heartbeats time out, or a later
        run writes it again.
        """
        if self.get(server.id) is None:
            return
        known_ms = self._ended_born_ms_by_id.get(server.id, 0)
        self._ended_born_ms_by_id[server.id] = max(known_ms, server.born_ms)
        self._invalidate_indexes()

    def _has_ended(self, server: Server) -> bool:
        ended_ms = self._ended_born_ms_by_id.get(server.id, -1)
        told_ms = self._told_born_ms_by_address.get(server.address, 0)
        return server.born_ms <= ended_ms or 0 < server.born_ms < told_ms

    def record_start(self, address: str, born_ms: int) -> Server | None:
        """Records the start time of the server at an address.

        Args:
            address: `ip:port`.
            born_ms: start time in Unix milliseconds; 0 if unknown.

        Returns:
            The listed server, or None if no server is listed with the address
            or the start is that of an earlier or a later run.
        """
        server = self.get_by_address(address)
        if server is None or not server.born_ms or not born_ms:
            return server
        if server.born_ms < born_ms:
            self._told_born_ms_by_address[address] = max(
                born_ms, self._told_born_ms_by_address.get(address, 0))
            self._invalidate_indexes()
        return server if server.born_ms == born_ms else None

    def get(self, server_id: str) -> Server | None:
        """Returns a server that is listed or may be listed again."""
        return (self._listed_by_id.get(server_id) or
                self._expired_by_id.get(server_id))

    def get_by_address(self, address: str) -> Server | None:
        """Returns the most recently started server with an address."""
        if self._id_by_address is None:
            known = sorted(
                (*self._expired_by_id.values(), *self._listed_by_id.values()),
                key=lambda server: server.born_ms)
            self._id_by_address = {s.address: s.id for s in known}
        server_id = self._id_by_address.get(address)
        return None if server_id is None else self.get(server_id)

    def ready(self, service: str) -> tuple[Server, ...]:
        """Returns the servers of a service that accept new requests."""
        if self._ready_by_service is None:
            self._ready_by_service = self._build_ready_index()
        return self._ready_by_service.get(service, ())

    def _invalidate_indexes(self) -> None:
        self._ready_by_service = None
        self._id_by_address = None

    def _build_ready_index(self) -> dict[str, tuple[Server, ...]]:
        found: dict[str, list[Server]] = {}
        known = (*self._listed_by_id.values(), *self._expired_by_id.values())
        newest_ms_by_endpoint: dict[tuple[str, str], int] = {}
        for server in known:
            endpoint = (server.service, server.address)
            newest_ms_by_endpoint[endpoint] = max(
                server.born_ms, newest_ms_by_endpoint.get(endpoint, 0))
        for server in known:
            newest_ms = newest_ms_by_endpoint[server.service, server.address]
            if (server.state is ServerState.READY and
                    not self._has_ended(server) and
                    not self._is_held(server) and
                    not 0 < server.born_ms < newest_ms):
                found.setdefault(server.service, []).append(server)
        return {service: tuple(servers) for service, servers in found.items()}

    def _is_list_unreliable(self, now: float) -> bool:
        if self._in_outage:
            return True
        ends = (self._outage_ended_at, self._restored_at)
        return any(
            at is not None and now - at < self._relisting_s for at in ends)

    def _may_have_expired_wrongly(self, server: Server, now: float) -> bool:
        return (server.state is ServerState.READY and
                not self._is_held(server) and self._is_list_unreliable(now))
