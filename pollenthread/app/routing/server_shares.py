"""The part of one host in what each server may get in a second."""

from collections.abc import Callable, Sequence

from pollenthread.app import serving_state
from pollenthread.core import routing_config, server_registry
from pollenthread.core.routing import send_windows

__all__ = ['ServerShares']

HostNames = Callable[[], Sequence[str] | None]


class ServerShares:
    """The shares of a host, computed anew when hosts or configuration change.

    A host without a share of any server of a service has one of each, since it
    could not serve its callers at all.
    """

    def __init__(self, *, state: serving_state.ServingState,
                 other_hosts: HostNames, own: str) -> None:
        """Creates the shares of a host.

        Args:
            state: the configuration and the servers.
            other_hosts: returns the names of the other hosts, or None while
                they are unknown.
            own: the name of the host.
        """
        self._state = state
        self._other_hosts = other_hosts
        self._own = own
        self._share_by_id: dict[str, int | None] = {}
        self._is_left_out_by_service: dict[str, bool] = {}
        self._basis: tuple[Sequence[str] | None,
                           routing_config.RoutingConfig | None] = (None, None)

    def share_of(self, server: server_registry.Server) -> int | None:
        """Returns the requests that this host may send to a server in a second.

        Returns None if the server has no limit.
        """
        if server.id not in self._share_by_id:
            self._share_by_id[server.id] = self._find_share(server)
        return self._share_by_id[server.id]

    def refresh(self) -> None:
        """Forgets the shares if the hosts or the configuration changed."""
        basis = (self._other_hosts(), self._state.config)
        if (self._basis[0] != basis[0] or self._basis[1] is not basis[1] or
                len(self._share_by_id) > send_windows.MAX_SERVERS):
            self._basis = basis
            self._share_by_id.clear()
        self._is_left_out_by_service.clear()

    def _find_share(self, server: server_registry.Server) -> int | None:
        limit = self._state.server_limit_per_s(server.service)
        if limit is None:
            return None
        others = self._other_hosts()
        if others is None:
            return 1
        share = send_windows.host_share(limit, self._own, others, server.id)
        if share or not self._is_left_out(server.service, limit, others):
            return share
        return 1

    def _is_left_out(self, service: str, limit: float,
                     others: Sequence[str]) -> bool:
        """Returns whether this host has no share of any server."""
        if service not in self._is_left_out_by_service:
            self._is_left_out_by_service[service] = not any(
                send_windows.host_share(limit, self._own, others, server.id)
                for server in self._state.server_registry.ready(service))
        return self._is_left_out_by_service[service]
