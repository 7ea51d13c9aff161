"""Follows tables of the platform's store.

A follower reads the whole table once and then polls for changes. It reads the
whole table again when the store no longer has the changes since its version, or
has come back from an older copy, so that its version means something else. It
makes no calls while other hosts follow the table for this one.
"""

import abc
import asyncio
import random
from collections.abc import Callable, Sequence

import result

from pollenthread.core import store_version
from pollenthread.ports import clock, row_store

__all__ = ['StoreFollower', 'TableListener', 'run_followers']

_MIN_RETRY_S = 0.2
_MAX_RETRY_S = 0.6
_NEED_CHECK_INTERVAL_S = 0.1


class TableListener(abc.ABC):
    """Receives the content of a followed table."""

    @abc.abstractmethod
    def on_full_read(self, rows: Sequence[row_store.RowChange],
                     version: store_version.StoreVersion) -> None:
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
    def on_contact(self, version: store_version.StoreVersion) -> None:
        """Called after each response of the store.

        Args:
            version: the store's version up to which all changes are known.
        """

    @property
    @abc.abstractmethod
    def known_version(self) -> store_version.StoreVersion:
        """The store's version up to which changes are known from any source."""


class StoreFollower:
    """Follows one table.

    Attributes:
        version: the store's version up to which changes are known; None if the
            table must be read whole.
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
        self.version: store_version.StoreVersion | None = None
        # The store may have come back from a copy after a pause or an error. A
        # call that waits for a change would tell that too late.
        self._may_wait = False

    async def run(self) -> None:
        """Follows until it is cancelled."""
        while True:
            while not self._is_needed():
                self._may_wait = False
                await self._clock.sleep(_NEED_CHECK_INTERVAL_S)
            error = await self._read_once()
            self._may_wait = error is None
            if error is None:
                await self._clock.sleep(self._pause_s)
            else:
                await self._clock.sleep(
                    self._rng.uniform(_MIN_RETRY_S, _MAX_RETRY_S))

    async def _read_once(self) -> row_store.StoreError | None:
        if self.version is not None:
            error = await self._read_changes(
                max(self.version, self._listener.known_version))
            if error is not row_store.StoreError.HISTORY_LOST:
                return error
        return await self._read_all()

    async def _read_changes(
            self,
            after: store_version.StoreVersion) -> row_store.StoreError | None:
        """Waits for changes after a version.

        Returns:
            The error, or None. HISTORY_LOST if the store has come back from a
            copy since: then its changes after that counter are other ones.
        """
        wait_s = self._wait_s if self._may_wait else 0.0
        response = await self._store.watch(self._table, after, wait_s)
        if isinstance(response, result.Err):
            return self._handle_error(response.err_value)
        found = response.ok_value
        if found.version.era > after.era:
            return row_store.StoreError.HISTORY_LOST
        if found.version >= after:
            self.version = found.version
            # Peers may have told of later changes since the call began.
            known = self._listener.known_version
            changes = [row for row in found.changes if row.version > known]
            if changes:
                self._listener.on_changes(changes)
            self._listener.on_contact(found.version)
        return None

    async def _read_all(self) -> row_store.StoreError | None:
        self.version = None
        response = await self._store.read(self._table)
        if isinstance(response, result.Err):
            return self._handle_error(response.err_value)
        found = response.ok_value
        if found.version < self._listener.known_version:
            # A peer has told of later content since the call began.
            return row_store.StoreError.HISTORY_LOST
        self.version = found.version
        self._listener.on_full_read(found.changes, found.version)
        self._listener.on_contact(found.version)
        return None

    def _handle_error(self,
                      error: row_store.StoreError) -> row_store.StoreError:
        if error is not row_store.StoreError.HISTORY_LOST:
            self._listener.on_error(error)
        return error


async def run_followers(followers: Sequence[StoreFollower]) -> None:
    """Runs followers concurrently until cancelled."""
    async with asyncio.TaskGroup() as group:
        for follower in followers:
            group.create_task(follower.run())
