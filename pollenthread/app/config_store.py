"""Versions of the targets in the table, and the one in force here.

The row `config/head` names the newest version. Publishing writes the head and
the version's own row in one transaction, so that of two operators at once one
gets a conflict.
"""

import dataclasses
import json
import secrets
import zlib
from collections.abc import Callable
from typing import Any

import pydantic
import result
from absl import logging

from pollenthread.app import targets_document
from pollenthread.core import document_diff, targets, versions
from pollenthread.ports import clock, table

__all__ = ['ConfigStore', 'Conflict', 'StoredVersion']

_HEAD_KEY = 'config/head'
_HISTORY_KEPT = 256
_TOKEN_BYTES = 6


class StoredVersion(pydantic.BaseModel):
    """One version as its row holds it.

    Attributes:
        version: rises by one with each change.
        author: who published it.
        document: the document of targets.
        token: unique to one call of `publish`.
    """

    version: int
    author: str
    document: dict[str, Any]
    token: str = ''

    def to_bytes(self) -> bytes:
        """The compressed form that rows and links carry."""
        return zlib.compress(self.model_dump_json().encode())

    @classmethod
    def from_bytes(cls, data: bytes) -> 'StoredVersion':
        """Reads what `to_bytes` wrote.

        Raises:
            ValueError: the bytes are not a stored version.
        """
        try:
            return cls.model_validate_json(zlib.decompress(data))
        except zlib.error as error:
            raise ValueError(str(error)) from error


@dataclasses.dataclass(frozen=True)
class Conflict:
    """Somebody else published first.

    Attributes:
        newest: the version that is newest, or None when it cannot be read.
        changes: what it changed in the version that the operator started from.
    """

    newest: StoredVersion | None
    changes: tuple[document_diff.Change, ...] = ()


def _hear_nobody() -> versions.Reachable:
    return versions.Reachable(heard=0, listed=1)


class ConfigStore:
    """Reads and publishes targets; the version in force never falls."""

    def __init__(
        self,
        *,
        table_service: table.TableService,
        time: clock.Clock,
        reachable: Callable[[], versions.Reachable] = _hear_nobody,
        on_adopt: Callable[[int], None] | None = None,
    ) -> None:
        self._table = table_service
        self._time = time
        self._reachable = reachable
        self.on_adopt = on_adopt
        self._current: targets.Targets | None = None
        self._stored: StoredVersion | None = None
        self._freshness = versions.Freshness()

    @property
    def current(self) -> targets.Targets | None:
        """The targets in force here, or None before the first read."""
        return self._current

    @property
    def usable(self) -> targets.Targets | None:
        """The targets to serve by; None when new work must be refused."""
        if self.permission is versions.Permission.REFUSE:
            return None
        return self._current

    @property
    def permission(self) -> versions.Permission:
        """What may be done with the version in force."""
        return versions.permit(self._freshness, self._reachable(),
                               self._time.monotonic())

    @property
    def stored(self) -> StoredVersion | None:
        """The version in force with its document."""
        return self._stored

    @property
    def version(self) -> int:
        """The version in force here; 0 before the first read."""
        return self._freshness.version

    @property
    def freshness(self) -> versions.Freshness:
        """What can be proved about the version in force."""
        return self._freshness

    @property
    def age_s(self) -> float | None:
        """Seconds since the version was last proved current."""
        return self._freshness.age_s(self._time.monotonic())

    async def refresh(self) -> bool:
        """Reads the head once; False when the table does not answer."""
        started_at = self._time.monotonic()
        head = await self._table.get(_HEAD_KEY)
        if isinstance(head, result.Err):
            return False
        newest = _head_version(head.ok_value)
        if versions.may_adopt(self.version, newest):
            stored = await self.read(newest)
            if stored is None:
                return False
            self.adopt(stored)
        self.prove(newest, started_at)
        return True

    def prove(self, version: int, proved_at: float) -> None:
        """Takes in that `version` was newest at a moment."""
        if version <= self.version:
            self._freshness = versions.merge(self._freshness,
                                             version=version,
                                             proved_at=proved_at)

    def adopt(self, stored: StoredVersion) -> None:
        """Puts a version in force if it is newer."""
        if not versions.may_adopt(self.version, stored.version):
            return
        model = targets_document.parse_targets(stored.document)
        self._current = model.to_targets(stored.version)
        self._stored = stored
        self._freshness = dataclasses.replace(self._freshness,
                                              version=stored.version)
        logging.info('targets in force version=%d', stored.version)
        if self.on_adopt is not None:
            self.on_adopt(stored.version)

    async def read(self, version: int) -> StoredVersion | None:
        """Reads one version; None when it cannot be had."""
        found = await self._table.get(_version_key(version))
        if isinstance(found, result.Err) or found.ok_value is None:
            return None
        return StoredVersion.from_bytes(found.ok_value.value)

    async def history(self, limit: int = 20) -> list[StoredVersion]:
        """The newest versions, newest first, as far as they can be read."""
        found: list[StoredVersion] = []
        for version in range(self.version, max(0, self.version - limit), -1):
            stored = await self.read(version)
            if stored is not None:
                found.append(stored)
        return found

    async def publish(
            self, document: dict[str, Any], *, author: str,
            base: int) -> result.Result[int, Conflict | table.TableError]:
        """Publishes a document as the version after `base`.

        Raises:
            InvalidDocument: the document is not valid; nothing was written.
        """
        targets_document.parse_targets(document)
        found = await self._table.get(_HEAD_KEY)
        if isinstance(found, result.Err):
            return found
        row = found.ok_value
        if _head_version(row) != base:
            return result.Err(await self._conflict(base, _head_version(row)))
        stored = StoredVersion(version=base + 1,
                               author=author,
                               document=document,
                               token=secrets.token_hex(_TOKEN_BYTES))
        written = await self._table.commit(await self._writes(row, stored))
        if isinstance(written, result.Ok):
            return result.Ok(stored.version)
        if written.err_value in (table.TableError.UNAVAILABLE,
                                 table.TableError.LIMITED):
            return written
        settled = await self.read(stored.version)
        if settled is None:
            return written
        if settled.token == stored.token:
            return result.Ok(stored.version)
        return result.Err(await self._conflict(base, settled.version))

    async def _writes(self, head: table.TableRow | None,
                      stored: StoredVersion) -> list[table.TableWrite]:
        """The transaction that publishes, and drops the oldest version."""
        writes = [
            table.TableWrite(
                _HEAD_KEY,
                json.dumps({
                    'version': stored.version
                }).encode(),
                table.ABSENT_VERSION if head is None else head.version),
            table.TableWrite(_version_key(stored.version), stored.to_bytes(),
                             table.ABSENT_VERSION)
        ]
        oldest = await self._table.get(
            _version_key(stored.version - _HISTORY_KEPT))
        if isinstance(oldest, result.Ok) and oldest.ok_value is not None:
            row = oldest.ok_value
            writes.append(table.TableWrite(row.key, None, row.version))
        return writes

    async def _conflict(self, base: int, newest: int) -> Conflict:
        theirs = await self.read(newest)
        started_from = await self.read(base)
        if theirs is None:
            return Conflict(newest=None)
        before = {} if started_from is None else started_from.document
        return Conflict(newest=theirs,
                        changes=document_diff.changes(before, theirs.document))


def _head_version(row: table.TableRow | None) -> int:
    return 0 if row is None else int(json.loads(row.value)['version'])


def _version_key(version: int) -> str:
    return f'config/versions/{version:010d}'
