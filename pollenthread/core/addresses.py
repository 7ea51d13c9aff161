"""Ranks the entry hosts that a caller should use."""

import dataclasses
import hashlib
from collections.abc import Iterable

__all__ = ['EntryHost', 'addresses_near', 'rank_entry_hosts']

_MAX_ADDRESSES = 4


@dataclasses.dataclass(frozen=True)
class EntryHost:
    """An entry host as known to other entry hosts.

    Attributes:
        host: the host's name.
        address: `host:port` for callers.
        is_overloaded: whether callers should prefer other hosts.
        data_centre: the data centre that it runs in.
    """

    host: str
    address: str
    is_overloaded: bool = False
    data_centre: str = ''


def rank_entry_hosts(entries: Iterable[EntryHost],
                     caller: str,
                     *,
                     limit: int = _MAX_ADDRESSES) -> list[EntryHost]:
    """Ranks entry hosts for one caller by rendezvous hashing.

    Every entry host computes the same order from the same hosts, and callers
    are distributed evenly over them. Overloaded hosts come last.

    Args:
        entries: the usable hosts.
        caller: the caller's name.
        limit: maximum number of hosts to return.

    Returns:
        The hosts in the order in which the caller should try them.
    """

    def sort_key(entry: EntryHost) -> tuple[bool, bytes]:
        return entry.is_overloaded, _rendezvous_hash(entry.host, caller)

    return sorted(entries, key=sort_key)[:limit]


def addresses_near(entries: Iterable[EntryHost], data_centre: str, *,
                   min_hosts: int) -> list[str]:
    """Returns the addresses of the hosts in a data centre.

    Args:
        entries: the usable hosts.
        data_centre: the data centre of the caller.
        min_hosts: if the data centre has fewer hosts than this, the addresses
            of all hosts are returned.

    Returns:
        The sorted addresses.
    """
    all_entries = list(entries)
    selected = [
        entry for entry in all_entries if entry.data_centre == data_centre
    ]
    if len(selected) < min_hosts:
        selected = all_entries
    return sorted(entry.address for entry in selected)


def _rendezvous_hash(host: str, caller: str) -> bytes:
    text = f'{host}\0{caller}'.encode()
    return hashlib.blake2b(text, digest_size=8).digest()
