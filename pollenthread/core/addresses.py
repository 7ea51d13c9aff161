"""Which entry hosts a caller should use, in the order to try."""

import dataclasses
import hashlib
from collections.abc import Iterable

__all__ = ['EntryHost', 'addresses_near', 'rank_entry_hosts']

_MAX_ADDRESSES = 4


@dataclasses.dataclass(frozen=True)
class EntryHost:
    """One entry host as another one sees it.

    Attributes:
        host: its name.
        address: `host:port` for callers.
        overloaded: whether it asks callers to go elsewhere.
        data_centre: where it is.
    """

    host: str
    address: str
    overloaded: bool = False
    data_centre: str = ''


def rank_entry_hosts(entries: Iterable[EntryHost],
          caller: str,
          *,
          limit: int = _MAX_ADDRESSES) -> list[EntryHost]:
    """Ranks usable entry hosts for one caller.

    Every entry host computes the same order from the same hosts, and callers
    spread evenly over them.

    Args:
        entries: the hosts that may be used.
        caller: the caller's name.
        limit: the number of hosts to return at most.
    """

    def rank(entry: EntryHost) -> tuple[bool, bytes]:
        return entry.overloaded, _score(entry.host, caller)

    return sorted(entries, key=rank)[:limit]


def addresses_near(entries: Iterable[EntryHost], data_centre: str, *,
         min_hosts: int) -> list[str]:
    """Addresses of the hosts in a data centre, or of all if those are few.

    Args:
        entries: the hosts that may be used.
        data_centre: where the caller is.
        at_least: hosts in the data centre below which all are told.
    """
    known = list(entries)
    found = [entry for entry in known if entry.data_centre == data_centre]
    if len(found) < min_hosts:
        found = known
    return sorted(entry.address for entry in found)


def _score(host: str, caller: str) -> bytes:
    text = f'{host}\0{caller}'.encode()
    return hashlib.blake2b(text, digest_size=8).digest()
