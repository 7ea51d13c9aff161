"""Decides which clients lose their memory or connection in an overload.

Answers crowds of clients that send or read slowly, or stop half-way, until
their process has no memory or descriptors left. The slowest and largest clients
go first, whoever came last. Clients that hold little are spared while there are
others, so that ordinary requests are still served.
"""

import dataclasses
from collections.abc import Iterable

__all__ = [
    'SMALL_BYTES', 'Holding', 'ResourceLimits', 'derive_limits',
    'eviction_order'
]

SMALL_BYTES = 64 * 1024
"""Memory of a client that is regarded as small."""

_MEMORY_SHARE = 0.25
_CONNECTION_SHARE = 1 / 3
# The platform keeps these for files.
_FILE_DESCRIPTORS = 200
_MIN_CONNECTIONS = 16
# Waiting times below this one do not make a difference.
_WAIT_OFFSET_S = 1.0


@dataclasses.dataclass(frozen=True)
class ResourceLimits:
    """What all clients of a process may hold together.

    Attributes:
        max_bytes: the memory of requests that are read or kept, and of
            responses that are not sent.
        max_connections: the number of their connections.
    """

    max_bytes: int = 64 * 1024 * 1024
    max_connections: int = 8192


@dataclasses.dataclass(frozen=True, slots=True)
class Holding:
    """What one client holds.

    Attributes:
        key: identifies the client.
        held_bytes: the memory that it holds.
        waits_since: the monotonic time in seconds since when the process waits
            for this client to send or to read.
    """

    key: int
    held_bytes: int
    waits_since: float


def derive_limits(memory_bytes: int, max_descriptors: int) -> ResourceLimits:
    """Returns the limits for a process.

    Each client may need a connection to a server as well; the rest of the
    descriptors is for peers and for connections that are being accepted.

    Args:
        memory_bytes: the memory that the process may use.
        max_descriptors: the descriptors that it may have open.
    """
    sockets = max_descriptors - _FILE_DESCRIPTORS
    return ResourceLimits(max_bytes=int(memory_bytes * _MEMORY_SHARE),
                          max_connections=max(_MIN_CONNECTIONS,
                                              int(sockets * _CONNECTION_SHARE)))


def eviction_order(holdings: Iterable[Holding], now: float) -> list[Holding]:
    """Returns the clients in the order in which they lose their memory.

    Clients that hold nothing are left out.

    Args:
        holdings: the clients that the process waits for.
        now: monotonic time in seconds.
    """

    def rank(holding: Holding) -> tuple[bool, float]:
        waited_s = now - holding.waits_since + _WAIT_OFFSET_S
        return (holding.held_bytes > SMALL_BYTES, holding.held_bytes * waited_s)

    holders = [holding for holding in holdings if holding.held_bytes]
    return sorted(holders, key=rank, reverse=True)
