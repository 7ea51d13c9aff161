"""Which hosts there are, by the host list and by what the hosts say."""

import asyncio

import result
from absl import logging

from pollenthread.core import addresses
from pollenthread.ports import clock, host_list

__all__ = ['Directory']

_POLL_INTERVAL_S = 0.5


class Directory:
    """Follows the host list; keeps the last one while it is silent."""

    def __init__(self, *, hosts: host_list.HostList, time: clock.Clock,
                 own_host: str) -> None:
        self._hosts = hosts
        self._time = time
        self._own_host = own_host
        self._leaving: set[str] = set()
        self.by_name: dict[str, host_list.Host] = {}
        self.draining: frozenset[str] = frozenset()
        self._read_at: float | None = None

    @property
    def age_s(self) -> float | None:
        """Seconds since the list was read, or None."""
        if self._read_at is None:
            return None
        return self._time.monotonic() - self._read_at

    def mark_leaving(self, host: str) -> None:
        """Takes a host's own word that it leaves."""
        self._leaving.add(host)

    def is_leaving(self, name: str) -> bool:
        """Whether the list or the host itself says that it leaves."""
        host = self.by_name.get(name)
        return name in self._leaving or (host is not None and host.leaving)

    def entries(self) -> list[addresses.EntryHost]:
        """Entry hosts that callers may use."""
        return [
            addresses.EntryHost(host=host.name, address=host.callers)
            for host in self.by_name.values()
            if host.role == 'entry' and not self.is_leaving(host.name) and
            host.name not in self.draining
        ]

    def upstreams(self) -> dict[str, str]:
        """Link addresses of upstream hosts by name."""
        return {
            name: host.address
            for name, host in self.by_name.items()
            if host.role == 'upstream'
        }

    def peers_to_dial(self) -> dict[str, str]:
        """Link addresses of entry hosts that this one dials, by name.

        Of two entry hosts the one whose name sorts first dials.
        """
        return {
            name: host.address
            for name, host in self.by_name.items()
            if host.role == 'entry' and self._own_host < name
        }

    async def refresh(self) -> bool:
        """Reads the list once; False when it is silent."""
        found = await self._hosts.read()
        if isinstance(found, result.Err):
            return False
        if set(found.ok_value) != set(self.by_name):
            logging.info('host list changed hosts=%d', len(found.ok_value))
        self.by_name = found.ok_value
        self._read_at = self._time.monotonic()
        return True

    async def poll(self) -> None:
        """Follows the list until cancelled."""
        while True:
            await self.refresh()
            await asyncio.sleep(_POLL_INTERVAL_S)
