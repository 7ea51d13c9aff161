"""Rows of one table of the store as known to a host.

A host passes the rows on to peers that do not read the store themselves. Rows
that were removed are remembered with their versions, so that a peer needs only
the changes since the version that it knows.
"""

import dataclasses
from collections.abc import Iterable

from pollenthread.core import store_version
from pollenthread.ports import row_store

__all__ = ['RowCache', 'RowDelta']

# Peers that know less than the remembered removals get all rows instead.
_MAX_REMOVED_ROWS = 2_000


@dataclasses.dataclass(frozen=True, slots=True)
class RowDelta:
    """Rows for a peer.

    Attributes:
        rows: the changed rows; the value of a removed row is None.
        is_whole: whether `rows` is the whole table, without removed rows.
    """

    rows: tuple[row_store.RowChange, ...]
    is_whole: bool


class RowCache:
    """The newest known row of each key.

    Attributes:
        changed_version: the version of the newest change that was seen.
    """

    def __init__(self) -> None:
        self.changed_version = store_version.START
        self._row_by_key: dict[str, row_store.RowChange] = {}
        self._removed_by_key: dict[str, row_store.RowChange] = {}
        # Removals up to this version may be unknown.
        self._removals_known_from = store_version.START

    def replace_all(self, rows: Iterable[row_store.RowChange],
                    version: store_version.StoreVersion) -> None:
        """Replaces all rows by those of the whole table.

        Args:
            rows: all rows of the table.
            version: the version of the store up to which they are complete.
        """
        self._row_by_key = {r.key: r for r in rows if r.value is not None}
        self._removed_by_key.clear()
        self._removals_known_from = version
        # Peers must notice the rows of a new era, even if there are none.
        self.changed_version = max(self.changed_version,
                                   store_version.StoreVersion(version.era, 0))
        self._record_versions(self._row_by_key.values())

    def apply(self, rows: Iterable[row_store.RowChange]) -> None:
        """Applies changed and removed rows."""
        changed = tuple(rows)
        for row in changed:
            if row.value is None:
                self._row_by_key.pop(row.key, None)
                self._removed_by_key[row.key] = row
            else:
                self._removed_by_key.pop(row.key, None)
                self._row_by_key[row.key] = row
        self._record_versions(changed)
        self._forget_oldest_removals()

    def _record_versions(self, rows: Iterable[row_store.RowChange]) -> None:
        for row in rows:
            self.changed_version = max(self.changed_version, row.version)

    def _forget_oldest_removals(self) -> None:
        excess = len(self._removed_by_key) - _MAX_REMOVED_ROWS
        if excess <= 0:
            return
        oldest = sorted(self._removed_by_key.values(),
                        key=lambda row: row.version)[:excess]
        for row in oldest:
            del self._removed_by_key[row.key]
        self._removals_known_from = max(self._removals_known_from,
                                        oldest[-1].version)

    def get(self, key: str) -> row_store.RowChange | None:
        """Returns the row of a key, or None if there is none."""
        return self._row_by_key.get(key)

    def changes_after(self, version: store_version.StoreVersion) -> RowDelta:
        """Returns what a peer needs that knows all changes up to a version."""
        if version < self._removals_known_from or not version.counter:
            return RowDelta(tuple(self._row_by_key.values()), is_whole=True)
        known = (*self._row_by_key.values(), *self._removed_by_key.values())
        changed = [row for row in known if row.version > version]
        return RowDelta(tuple(sorted(changed, key=lambda row: row.version)),
                        is_whole=False)
