"""The platform's store of rows, with a feed of changes."""

import abc
import dataclasses
import enum
from collections.abc import Sequence

import result

__all__ = ['RowChange', 'RowChanges', 'RowStore', 'RowWrite', 'StoreError']


class StoreError(enum.Enum):
    """Why the store gave no answer that can be used.

    UNKNOWN means that a write may have taken effect, or may yet do so.
    """

    CONFLICT = 'conflict'
    HISTORY_LOST = 'history_lost'
    LIMITED = 'limited'
    UNAVAILABLE = 'unavailable'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class RowChange:
    """A row as of its newest version.

    Attributes:
        key: the row's key.
        value: its bytes, or None when the row was removed.
        version: the store's counter at that change.
    """

    key: str
    value: bytes | None
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class RowChanges:
    """An answer of the store.

    Attributes:
        changes: rows in the order of their versions.
        version: the newest version that the answer covers.
    """

    changes: tuple[RowChange, ...]
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class RowWrite:
    """A conditional write.

    Attributes:
        table: the row's table.
        key: the row's key.
        value: the new bytes, or None to delete the row.
        expect: the version that the row must have, 0 for no row, or None to
            write whatever is there.
    """

    table: str
    key: str
    value: bytes | None
    expected_version: int | None


class RowStore(abc.ABC):
    """Tables of rows."""

    @abc.abstractmethod
    async def read(self, table: str) -> result.Result[RowChanges, StoreError]:
        """Reads a whole table."""

    @abc.abstractmethod
    async def watch(self, table: str, after_version: int,
                    wait_s: float) -> result.Result[RowChanges, StoreError]:
        """Waits for changes after a version; empty when there are none."""

    @abc.abstractmethod
    async def write(
            self, writes: Sequence[RowWrite]) -> result.Result[int, StoreError]:
        """Applies all writes or none; returns the new version."""
