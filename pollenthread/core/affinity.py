"""Which upstream is likely to hold a prompt's prefix in its cache."""

import array
import bisect
import hashlib
from collections.abc import Iterable

__all__ = ['PrefixHashRing', 'prefix_digest']

_POINTS_PER_HOST = 64
_PREFIX_BYTES = 512


def prefix_digest(body: bytes) -> bytes:
    """Names the prefix of a request body."""
    return hashlib.blake2b(body[:_PREFIX_BYTES], digest_size=8).digest()


class PrefixHashRing:
    """Consistent hashing from prefixes to hosts.

    All entry hosts that see the same upstreams agree without a message, and a
    change of hosts moves only the prefixes of the hosts that changed.
    """

    def __init__(self, hosts: Iterable[str]) -> None:
        self._names = sorted(hosts)
        points = sorted((_hash(f'{host}\0{i}'.encode()), number)
                        for number, host in enumerate(self._names)
                        for i in range(_POINTS_PER_HOST))
        self._keys = array.array('Q', (key for key, _ in points))
        self._numbers = array.array('L', (number for _, number in points))

    def host_for(self, prefix: bytes) -> str:
        """The host that a prefix belongs to, or empty without hosts."""
        if not self._keys:
            return ''
        i = bisect.bisect_left(self._keys, _hash(prefix)) % len(self._keys)
        return self._names[self._numbers[i]]


def _hash(data: bytes) -> int:
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest(), 'big')
