"""The platform's transactional table."""

import abc
import dataclasses
import enum
from collections.abc import Sequence

import result

__all__ = [
    'ABSENT_VERSION', 'TableRow', 'TableError', 'TableService', 'TableWrite'
]

ABSENT_VERSION = 0


@dataclasses.dataclass(frozen=True, slots=True)
class TableRow:
    """One row as it was read.

    Attributes:
        key: the row's key.
        value: the row's bytes.
        version: rises with each write; never `ABSENT`.
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
        expect: the version that the row must have, or `ABSENT`.
    """

    key: str
    value: bytes | None
    expected_version: int


class TableError(enum.Enum):
    """Why the table gave no answer that can be used.

    UNKNOWN means that the write may have taken effect: read before deciding.
    """

    CONFLICT = 'conflict'
    UNAVAILABLE = 'unavailable'
    LIMITED = 'limited'
    UNKNOWN = 'unknown'


class TableService(abc.ABC):
    """Rows by key, with conditional writes and transactions."""

    @abc.abstractmethod
    async def get(self, key: str) -> result.Result[TableRow | None, TableError]:
        """Reads one row; None when there is none."""

    @abc.abstractmethod
    async def scan(self,
                   prefix: str) -> result.Result[list[TableRow], TableError]:
        """Reads the rows whose keys begin with `prefix`, in key order."""

    @abc.abstractmethod
    async def commit(
            self, writes: Sequence[TableWrite]
    ) -> result.Result[list[int], TableError]:
        """Applies all writes or none.

        Returns:
            The new version of each row, in the order of `writes`.
        """

    async def put(self, key: str, value: bytes, *,
                  expected_version: int) -> result.Result[int, TableError]:
        """Writes one row if it has the expected version."""
        done = await self.commit([TableWrite(key, value, expected_version)])
        return done.map(lambda versions: versions[0])
