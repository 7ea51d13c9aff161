"""Finds the upstream that is likely to have cached a prompt's prefix."""

import array
import bisect
import hashlib
from collections.abc import Iterable

__all__ = ['PrefixHashRing', 'prefix_digest']

_VIRTUAL_NODES_PER_HOST = 64
_PREFIX_BYTES = 512


def prefix_digest(body: bytes) -> bytes:
    """Returns a digest of the prefix of a request body."""
    return hashlib.blake2b(body[:_PREFIX_BYTES], digest_size=8).digest()


class PrefixHashRing:
    """A consistent hash ring that maps prefixes to hosts.

    All entry hosts that see the same upstreams compute the same mapping without
    coordination. Adding or removing a host remaps only the prefixes of that
    host.
    """

    def __init__(self, hosts: Iterable[str]) -> None:
        self._hosts = sorted(hosts)
        points = sorted((_hash(f'{host}\0{i}'.encode()), index)
                        for index, host in enumerate(self._hosts)
                        for i in range(_VIRTUAL_NODES_PER_HOST))
        self._hashes = array.array('Q', (key for key, _ in points))
        self._host_indexes = array.array('L', (index for _, index in points))

    def host_for(self, prefix: bytes) -> str:
        """Returns the host of a prefix; empty if the ring has no hosts."""
        if not self._hashes:
            return ''
        i = bisect.bisect_left(self._hashes, _hash(prefix)) % len(self._hashes)
        return self._hosts[self._host_indexes[i]]


def _hash(data: bytes) -> int:
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest(), 'big')
