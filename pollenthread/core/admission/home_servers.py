"""The servers that an entry host prefers while slots are scarce.

Hosts that see the same few free slots send to the same servers before the next
load report. Each host therefore has servers of its own, which it fills first:
it knows what it sent there itself, and few others send there as well. The
servers of a data centre are dealt out to its hosts by their positions in
sorted order, so all hosts agree without a message.
"""

from collections.abc import Iterable, Sequence

from pollenthread.core import server_registry

__all__ = ['home_servers']


def home_servers(servers: Iterable[server_registry.Server], *, host: str,
                 hosts: Iterable[str]) -> list[server_registry.Server]:
    """Returns the servers that a host fills first.

    Each server has two hosts, so that a host has twice its share to choose
    from.

    Args:
        servers: the servers in the data centre of the host.
        host: the name of the host.
        hosts: the names of all entry hosts there.
    """
    by_id = sorted(servers, key=lambda server: server.id)
    names = sorted({*hosts, host})
    position = names.index(host)
    if len(by_id) < len(names):
        return _nth(by_id, position)
    other = (position + len(names) // 2) % len(names)
    return [
        server for index, server in enumerate(by_id)
        if index % len(names) in (position, other)
    ]


def _nth(servers: Sequence[server_registry.Server],
         position: int) -> list[server_registry.Server]:
    """Returns one server; with few of them, several hosts share it."""
    return [servers[position % len(servers)]] if servers else []
