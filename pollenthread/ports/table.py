"""Interface to the platform's transactional table."""

import abc
import dataclasses
import enum
from collections.abc import Sequence

import result

__all__ = [
    'ABSENT_VERSION', 'TableRow', 'TableError', 'TableService', 'TableWrite'
]

# The version of a row that does not exist.
ABSENT_VERSION = 0


@dataclasses.dataclass(frozen=True, slots=True)
class TableRow:
    """A row that was read from the table.

    Attributes:
        key: the row's key.
        value: the row's bytes.
        version: increases with each write; never `ABSENT_VERSION`.
    """

    key: str
    value: bytes
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class TableWrite:
    """A conditional write.

    Attributes:
        key: the row's key.
        value: the new bytes, or None to delete the row.
        expected_version: the version that the row must have; `ABSENT_VERSION`
            if it must not exist.
    """

    key: str
    value: bytes | None
    expected_version: int


class TableError(enum.Enum):
    """Why a call to the table failed.

    UNKNOWN means that the write may have taken effect, so that the row must be
    read before the next decision.
    """

    CONFLICT = 'conflict'
    UNAVAILABLE = 'unavailable'
    LIMITED = 'limited'
    UNKNOWN = 'unknown'


class TableService(abc.ABC):
    """Client of a key-value table with conditional writes and transactions."""

    @abc.abstractmethod
    async def get(self, key: str) -> result.Result[TableRow | None, TableError]:
        """Reads one row; None if it does not exist."""

    @abc.abstractmethod
    async def scan(self,
                   prefix: str) -> result.Result[list[TableRow], TableError]:
        """Reads the rows whose keys begin with `prefix`, in key order."""

    @abc.abstractmethod
    async def commit(
            self, writes: Sequence[TableWrite]
    ) -> result.Result[list[int], TableError]:
        """Applies all writes atomically.

        Returns:
            The new version of each row, in the order of `writes`.
        """

    async def put(self, key: str, value: bytes, *,
                  expected_version: int) -> result.Result[int, TableError]:
        """Writes one row if it has the expected version.

        Returns:
            The new version of the row.
        """
        committed = await self.commit(
            [TableWrite(key, value, expected_version)])
        return committed.map(lambda versions: versions[0])
