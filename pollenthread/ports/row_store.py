"""Interface to the platform's row store, which provides a change feed."""

import abc
import dataclasses
import enum
from collections.abc import Sequence

import result

from pollenthread.core import store_version

__all__ = ['RowChange', 'RowChanges', 'RowStore', 'RowWrite', 'StoreError']


class StoreError(enum.Enum):
    """Why a call to the store failed.

    UNKNOWN means that a write may have taken effect, or may still do so later.
    """

    CONFLICT = 'conflict'
    HISTORY_LOST = 'history_lost'
    LIMITED = 'limited'
    UNAVAILABLE = 'unavailable'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class RowChange:
    """The newest version of a changed row.

    Attributes:
        key: the row's key.
        value: the row's bytes, or None if the row was deleted.
        version: the version of the store at the time of the change.
    """

    key: str
    value: bytes | None
    version: store_version.StoreVersion


@dataclasses.dataclass(frozen=True, slots=True)
class RowChanges:
    """Rows that the store returned.

    Attributes:
        changes: the rows, ordered by version.
        version: the newest version of the store that the result includes.
    """

    changes: tuple[RowChange, ...]
    version: store_version.StoreVersion


@dataclasses.dataclass(frozen=True, slots=True)
class RowWrite:
    """A conditional write.

    Attributes:
        table: the row's table.
        key: the row's key.
        value: the new bytes, or None to delete the row.
        expected_version: the version that the row must have, `START` if the
            row must not exist, or None to write unconditionally. The store
            compares the counters only: if the era of the result differs, the
            condition has meant another row.
    """

    table: str
    key: str
    value: bytes | None
    expected_version: store_version.StoreVersion | None


class RowStore(abc.ABC):
    """Client of the store, which holds rows in tables."""

    @abc.abstractmethod
    async def read(self, table: str) -> result.Result[RowChanges, StoreError]:
        """Reads all rows of a table."""

    @abc.abstractmethod
    async def watch(self, table: str, after_version: store_version.StoreVersion,
                    wait_s: float) -> result.Result[RowChanges, StoreError]:
        """Waits for changes of a table.

        Args:
            table: the name of the table.
            after_version: only changes with a greater counter are returned,
                whatever the era.
            wait_s: how long to wait for a change, in seconds.

        Returns:
            The changes, which are empty if none occurred in time.
        """

    @abc.abstractmethod
    async def write(
        self, writes: Sequence[RowWrite]
    ) -> result.Result[store_version.StoreVersion, StoreError]:
        """Applies all writes atomically.

        Returns:
            The store's new version.
        """
