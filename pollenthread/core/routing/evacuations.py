"""The data centres that operators have emptied.

Hosts learn the list from the store and from each other, in any order. The one
with the greatest version of the store holds, so all hosts end with the same.

A store that has come back from an older copy may lack what was emptied just
before, until the operator writes it again. Those data centres stay emptied
meanwhile.
"""

import dataclasses
from collections.abc import Iterable

from pollenthread.core import store_version

__all__ = ['EvacuationChange', 'Evacuations']

# Time in which operators write again what the store has lost.
_RESTORATION_HOLD_S = 8.0
# Bounds what a heartbeat carries.
_MAX_DATA_CENTRES = 32


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuationChange:
    """The difference between two lists.

    Attributes:
        emptied: the data centres whose servers must get no new requests now.
        restored: those that may get requests again.
    """

    emptied: tuple[str, ...]
    restored: tuple[str, ...]


class Evacuations:
    """The data centres whose servers must get no new requests.

    Attributes:
        version: the store's version of the list; `START` while it is unknown.
        data_centres: the emptied data centres.
    """

    def __init__(self) -> None:
        self.version = store_version.START
        self.data_centres: frozenset[str] = frozenset()
        self._listed: frozenset[str] = frozenset()
        self._held: frozenset[str] = frozenset()
        self._held_until = 0.0

    @property
    def is_known(self) -> bool:
        """Whether the list was learned since the process started."""
        return self.version > store_version.START

    @property
    def listed(self) -> frozenset[str]:
        """The data centres in the newest known list of the store."""
        return self._listed

    def update(self, listed: Iterable[str], version: store_version.StoreVersion,
               now: float) -> EvacuationChange:
        """Replaces the list unless a later one is known.

        Args:
            listed: all data centres that are emptied at a version.
            version: the version of the store.
            now: monotonic seconds.
        """
        if version <= self.version:
            return EvacuationChange((), ())
        new = frozenset(sorted(listed)[:_MAX_DATA_CENTRES])
        if self.is_known and version.era > self.version.era:
            self._held = self.data_centres
            self._held_until = now + _RESTORATION_HOLD_S
        self._held -= new
        self._listed = new
        self.version = version
        return self._refresh()

    def drop_expired(self, now: float) -> EvacuationChange:
        """Gives up data centres that no operator has emptied again in time."""
        if self._held and now >= self._held_until:
            self._held = frozenset()
        return self._refresh()

    def _refresh(self) -> EvacuationChange:
        before, self.data_centres = self.data_centres, self._listed | self._held
        return EvacuationChange(tuple(sorted(self.data_centres - before)),
                                tuple(sorted(before - self.data_centres)))
