"""Follows tables of the platform's store.

A follower reads the whole table once and then polls for changes. It reads the
whole table again when the store no longer has the changes since its version.
It makes no calls while other hosts follow the table for this one.
"""

import abc
import asyncio
import random
from collections.abc import Callable, Sequence

import result

from pollenthread.ports import clock, row_store

__all__ = ['StoreFollower', 'TableListener', 'run_followers']

_NO_VERSION = -1
_MIN_RETRY_S = 0.2
_MAX_RETRY_S = 0.6
_NEED_CHECK_INTERVAL_S = 0.1


class TableListener(abc.ABC):
    """Receives the content of a followed table."""

    @abc.abstractmethod
    def on_full_read(self, rows: Sequence[row_store.RowChange],
                     version: int) -> None:
        """Called with all rows after a read of the whole table.

        Args:
            rows: all rows of the table.
            version: the store's version up to which they are complete.
        """

    @abc.abstractmethod
    def on_changes(self, rows: Sequence[row_store.RowChange]) -> None:
        """Called with changed rows; the value of a deleted row is None."""

    @abc.abstractmethod
    def on_error(self, error: row_store.StoreError) -> None:
        """Called when a call to the store failed."""

    @abc.abstractmethod
    def on_contact(self, version: int) -> None:
        """Called after each response of the store.

        Args:
            version: the store's version up to which all changes are known.
        """

    @property
    @abc.abstractmethod
    def known_version(self) -> int:
        """The store's version up to which changes are known from any source."""


class StoreFollower:
    """Follows one table.

    Attributes:
        version: the store's version up to which changes are known; -1 before
            the first read.
    """

    def __init__(self,
                 *,
                 store: row_store.RowStore,
                 table: str,
                 listener: TableListener,
                 time: clock.Clock,
                 wait_s: float,
                 pause_s: float,
                 rng: random.Random,
                 is_needed: Callable[[], bool] = lambda: True) -> None:
        """Creates a follower.

        Args:
            store: the platform's store.
            table: the table's name.
            listener: receives the rows.
            time: the clock.
            wait_s: how long one call waits for a change, in seconds.
            pause_s: the pause between two calls, in seconds.
            rng: randomizes the retry delay.
            is_needed: whether this host has to call the store now.
        """
        self._store = store
        self._table = table
        self._listener = listener
        self._clock = time
        self._wait_s = wait_s
        self._pause_s = pause_s
        self._rng = rng
        self._is_needed = is_needed
        self.version = _NO_VERSION

    async def run(self) -> None:
        """Follows until it is cancelled."""
        while True:
            while not self._is_needed():
                await self._clock.sleep(_NEED_CHECK_INTERVAL_S)
            error = await self._read_once()
            if error is None:
                await self._clock.sleep(self._pause_s)
            elif error is not row_store.StoreError.HISTORY_LOST:
                await self._clock.sleep(
                    self._rng.uniform(_MIN_RETRY_S, _MAX_RETRY_S))

    async def _read_once(self) -> row_store.StoreError | None:
        if self.version == _NO_VERSION:
            response = await self._store.read(self._table)
        else:
            self.version = max(self.version, self._listener.known_version)
            response = await self._store.watch(self._table, self.version,
                                               self._wait_s)
        if isinstance(response, result.Err):
            return self._handle_error(response.err_value)
        self._handle_changes(response.ok_value)
        return None

    def _handle_error(self,
                      error: row_store.StoreError) -> row_store.StoreError:
        if error is row_store.StoreError.HISTORY_LOST:
            self.version = _NO_VERSION
        else:
            self._listener.on_error(error)
        return error

    def _handle_changes(self, found: row_store.RowChanges) -> None:
        is_full_read = self.version == _NO_VERSION
        if found.version < self.version:
            # The store's version never decreases, so this response is outdated.
            return
        self.version = found.version
        if is_full_read:
            self._listener.on_full_read(found.changes, found.version)
        elif found.changes:
            self._listener.on_changes(found.changes)
        self._listener.on_contact(found.version)


async def run_followers(followers: Sequence[StoreFollower]) -> None:
    """Runs followers concurrently until cancelled."""
    async with asyncio.TaskGroup() as group:
        for follower in followers:
            group.create_task(follower.run())
