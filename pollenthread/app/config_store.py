"""Versions of the targets in the table, and the one in force here.

The row `config/head` names the newest version. Publishing writes the head and
the version's own row in one transaction, so that of two operators at once one
gets a conflict.
"""

import asyncio
import json
from typing import Any

import pydantic
import result
from absl import logging

from pollenthread.app import targets_document
from pollenthread.core import targets
from pollenthread.ports import clock, table

__all__ = ['ConfigStore', 'Conflict', 'StoredVersion']

_HEAD_KEY = 'config/head'
_POLL_INTERVAL_S = 1.0


class StoredVersion(pydantic.BaseModel):
    """One version as its row holds it."""

    version: int
    author: str
    document: dict[str, Any]


class Conflict(pydantic.BaseModel):
    """Somebody else published first."""

    newest: StoredVersion | None


class ConfigStore:
    """Reads and publishes targets; the version in force never falls."""

    def __init__(self, *, table_service: table.TableService,
                 time: clock.Clock) -> None:
        self._table = table_service
        self._time = time
        self._current: targets.Targets | None = None
        self._checked_at: float | None = None

    @property
    def current(self) -> targets.Targets | None:
        """The targets in force here, or None before the first read."""
        return self._current

    @property
    def version(self) -> int:
        """The version in force here; 0 before the first read."""
        return 0 if self._current is None else self._current.version

    @property
    def age_s(self) -> float | None:
        """Seconds since the version was last proved current."""
        if self._checked_at is None:
            return None
        return self._time.monotonic() - self._checked_at

    async def poll(self) -> None:
        """Follows the table until cancelled."""
        while True:
            await self.refresh()
            await asyncio.sleep(_POLL_INTERVAL_S)

    async def refresh(self) -> bool:
        """Reads the head once; False when the table does not answer."""
        started_at = self._time.monotonic()
        head = await self._table.get(_HEAD_KEY)
        if isinstance(head, result.Err):
            return False
        row = head.ok_value
        newest = 0 if row is None else int(json.loads(row.value)['version'])
        if newest > self.version:
            stored = await self.read(newest)
            if stored is None:
                return False
            self.adopt(stored)
        self._checked_at = started_at
        return True

    def adopt(self, stored: StoredVersion) -> None:
        """Puts a version in force if it is newer."""
        if stored.version <= self.version:
            return
        model = targets_document.parse_targets(stored.document)
        self._current = model.to_targets(stored.version)
        logging.info('targets in force version=%d', stored.version)

    async def read(self, version: int) -> StoredVersion | None:
        """Reads one version; None when it cannot be had."""
        found = await self._table.get(_version_key(version))
        if isinstance(found, result.Err) or found.ok_value is None:
            return None
        return StoredVersion.model_validate_json(found.ok_value.value)

    async def publish(
            self, document: dict[str, Any], *, author: str,
            base: int) -> result.Result[int, Conflict | table.TableFault]:
        """Publishes a document as the version after `base`.

        Raises:
            InvalidDocument: the document is not valid; nothing was written.
        """
        targets_document.parse_targets(document)
        found = await self._table.get(_HEAD_KEY)
        if isinstance(found, result.Err):
            return found
        row = found.ok_value
        newest = 0 if row is None else int(json.loads(row.value)['version'])
        if newest != base:
            return result.Err(Conflict(newest=await self.read(newest)))
        stored = StoredVersion(version=base + 1,
                               author=author,
                               document=document)
        written = await self._table.commit([
            table.Write(_HEAD_KEY,
                        json.dumps({
                            'version': stored.version
                        }).encode(),
                        table.ABSENT if row is None else row.version),
            table.Write(_version_key(stored.version),
                        stored.model_dump_json().encode(), table.ABSENT)
        ])
        if isinstance(written, result.Ok):
            return result.Ok(stored.version)
        if written.err_value is table.TableFault.UNAVAILABLE:
            return written
        settled = await self.read(stored.version)
        if settled == stored:
            return result.Ok(stored.version)
        if settled is None:
            return written
        return result.Err(Conflict(newest=settled))


def _version_key(version: int) -> str:
    return f'config/versions/{version:010d}'
