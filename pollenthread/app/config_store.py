"""Stores versions of the targets in the table and applies the newest here.

The row `config/head` contains the number of the newest version. Publishing
writes the head and the row of the version in one transaction, so when two
operators publish at the same time, one of them gets a conflict.
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
from pollenthread.core import config_freshness, document_diff, targets
from pollenthread.ports import clock, table

__all__ = ['ConfigStore', 'VersionConflict', 'StoredVersion']

_HEAD_KEY = 'config/head'
_MAX_VERSIONS = 256
_TOKEN_BYTES = 6


class StoredVersion(pydantic.BaseModel):
    """One version of the targets, as stored in its row.

    Attributes:
        version: the version number; each change increments it by one.
        author: the name of the operator who published it.
        document: the targets document.
        token: unique to one call of `publish`; identifies its own write when
            the outcome is unknown.
    """

    version: int
    author: str
    document: dict[str, Any]
    token: str = ''

    def to_bytes(self) -> bytes:
        """Returns the compressed encoding that rows and links use."""
        return zlib.compress(self.model_dump_json().encode())

    @classmethod
    def from_bytes(cls, data: bytes) -> 'StoredVersion':
        """Decodes the result of `to_bytes`.

        Raises:
            ValueError: the bytes are not a valid stored version.
        """
        try:
            return cls.model_validate_json(zlib.decompress(data))
        except zlib.error as error:
            raise ValueError(str(error)) from error


@dataclasses.dataclass(frozen=True)
class VersionConflict:
    """The base of a change is not the newest version.

    Attributes:
        newest: the newest version, or None when it cannot be read.
        changes: the differences between the base version and the newest one.
    """

    newest: StoredVersion | None
    changes: tuple[document_diff.DocumentChange, ...] = ()


def _no_hosts_reachable() -> config_freshness.RegionReachability:
    return config_freshness.RegionReachability(reachable=0, listed=1)


class ConfigStore:
    """Reads and publishes targets; the applied version never decreases.

    Attributes:
        on_apply: called with the number of a version after it was applied, or
            None.
    """

    def __init__(
        self,
        *,
        table_service: table.TableService,
        time: clock.Clock,
        reachable: Callable[
            [], config_freshness.RegionReachability] = _no_hosts_reachable,
        on_apply: Callable[[int], None] | None = None,
    ) -> None:
        """Initializes a store without an applied version.

        Args:
            table_service: the table with the versions.
            time: the clock.
            reachable: returns which entry hosts of the region are reachable.
            on_apply: called with the number of a version after it was applied.
        """
        self._table = table_service
        self._clock = time
        self._reachable = reachable
        self.on_apply = on_apply
        self._current: targets.Targets | None = None
        self._stored: StoredVersion | None = None
        self._freshness = config_freshness.ConfigFreshness()

    @property
    def current(self) -> targets.Targets | None:
        """The applied targets; None before the first read."""
        return self._current

    @property
    def usable_targets(self) -> targets.Targets | None:
        """The targets for new requests; None when these must be rejected."""
        if self.permission is config_freshness.ServingPermission.REJECT:
            return None
        return self._current

    @property
    def permission(self) -> config_freshness.ServingPermission:
        """What the age of the applied version allows."""
        return config_freshness.serving_permission(self._freshness,
                                                   self._reachable(),
                                                   self._clock.monotonic())

    @property
    def stored(self) -> StoredVersion | None:
        """The applied version with its document; None before the first read."""
        return self._stored

    @property
    def version(self) -> int:
        """The number of the applied version; 0 before the first read."""
        return self._freshness.version

    @property
    def freshness(self) -> config_freshness.ConfigFreshness:
        """When the applied version was last known to be the newest."""
        return self._freshness

    @property
    def age_s(self) -> float | None:
        """Seconds since the version was known to be the newest, or None."""
        return self._freshness.age_s(self._clock.monotonic())

    async def refresh(self) -> bool:
        """Reads the head and applies the newest version.

        Returns:
            Whether the table responded with the newest version.
        """
        started_at = self._clock.monotonic()
        head = await self._table.get(_HEAD_KEY)
        if isinstance(head, result.Err):
            return False
        newest = _head_version(head.ok_value)
        if config_freshness.may_apply(self.version, newest):
            stored = await self.read(newest)
            if stored is None:
                return False
            self.apply(stored)
        self.confirm_newest(newest, started_at)
        return True

    def confirm_newest(self, version: int, proved_at: float) -> None:
        """Records a proof that a version was the newest at some time.

        Args:
            version: the version; ignored if it is newer than the applied one.
            proved_at: the time of the proof, in monotonic seconds.
        """
        if version <= self.version:
            self._freshness = config_freshness.merge_proof(self._freshness,
                                                           version=version,
                                                           proved_at=proved_at)

    def apply(self, stored: StoredVersion) -> None:
        """Applies a version if it is newer than the applied one."""
        if not config_freshness.may_apply(self.version, stored.version):
            return
        model = targets_document.parse_targets(stored.document)
        self._current = model.to_targets(stored.version)
        self._stored = stored
        self._freshness = dataclasses.replace(self._freshness,
                                              version=stored.version)
        logging.info('targets in force version=%d', stored.version)
        if self.on_apply is not None:
            self.on_apply(stored.version)

    async def read(self, version: int) -> StoredVersion | None:
        """Reads one version; None when it is missing or cannot be read."""
        found = await self._table.get(_version_key(version))
        if isinstance(found, result.Err) or found.ok_value is None:
            return None
        return StoredVersion.from_bytes(found.ok_value.value)

    async def history(self, limit: int = 20) -> list[StoredVersion]:
        """Returns the newest readable versions, newest first.

        Args:
            limit: how many versions to read at most.
        """
        found: list[StoredVersion] = []
        for version in range(self.version, max(0, self.version - limit), -1):
            stored = await self.read(version)
            if stored is not None:
                found.append(stored)
        return found

    async def publish(
            self, document: dict[str, Any], *, author: str, base: int
    ) -> result.Result[int, VersionConflict | table.TableError]:
        """Publishes a document as the version after `base`.

        Args:
            document: the targets document.
            author: the name of the operator.
            base: the version that the document is based on; 0 for none.

        Returns:
            The new version number, a conflict when `base` is not the newest
            version, or the error of the table.

        Raises:
            InvalidDocument: the document is invalid; nothing was written.
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
        written = await self._table.commit(await
                                           self._publish_writes(row, stored))
        if isinstance(written, result.Ok):
            return result.Ok(stored.version)
        if written.err_value in (table.TableError.UNAVAILABLE,
                                 table.TableError.LIMITED):
            return written
        existing = await self.read(stored.version)
        if existing is None:
            return written
        if existing.token == stored.token:
            return result.Ok(stored.version)
        return result.Err(await self._conflict(base, existing.version))

    async def _publish_writes(self, head: table.TableRow | None,
                              stored: StoredVersion) -> list[table.TableWrite]:
        """Returns the writes that publish a version and drop the oldest."""
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
            _version_key(stored.version - _MAX_VERSIONS))
        if isinstance(oldest, result.Ok) and oldest.ok_value is not None:
            row = oldest.ok_value
            writes.append(table.TableWrite(row.key, None, row.version))
        return writes

    async def _conflict(self, base: int, newest: int) -> VersionConflict:
        newest_stored = await self.read(newest)
        base_stored = await self.read(base)
        if newest_stored is None:
            return VersionConflict(newest=None)
        before = {} if base_stored is None else base_stored.document
        return VersionConflict(newest=newest_stored,
                               changes=document_diff.diff_documents(
                                   before, newest_stored.document))


def _head_version(row: table.TableRow | None) -> int:
    return 0 if row is None else int(json.loads(row.value)['version'])


def _version_key(version: int) -> str:
    return f'config/versions/{version:010d}'
