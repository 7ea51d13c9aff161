"""Follows tables of the platform's store.

A follower reads a table whole, then asks for what has changed. When the
store's history does not reach back far enough it reads the table whole again.
"""

import abc
import asyncio
import random
from collections.abc import Sequence

import result

from pollenthread.ports import clock, row_store

__all__ = ['StoreFollower', 'TableListener', 'run_all']

_UNKNOWN = -1
_RETRY_MIN_S = 0.2
_RETRY_MAX_S = 0.6


class TableListener(abc.ABC):
    """Takes what a follower learns."""

    @abc.abstractmethod
    def take_table(self, rows: Sequence[row_store.RowChange]) -> None:
        """The table holds these rows and no others."""

    @abc.abstractmethod
    def take_changes(self, rows: Sequence[row_store.RowChange]) -> None:
        """These rows have changed."""

    @abc.abstractmethod
    def take_fault(self, fault: row_store.StoreError) -> None:
        """The store did not answer."""

    @abc.abstractmethod
    def take_contact(self, version: int) -> None:
        """The store has answered; all changes up to `version` are known."""


class StoreFollower:
    """Follows one table."""

    def __init__(self, *, store: row_store.RowStore, table: str,
                 listener: TableListener, time: clock.Clock, wait_s: float,
                 pause_s: float, rng: random.Random) -> None:
        """Makes a follower.

        Args:
            store: the platform's store.
            table: the table's name.
            listener: takes what is learned.
            time: the clock.
            wait_s: how long one call waits for a change, in seconds.
            pause_s: the pause between two calls, in seconds.
            rng: spreads retries.
        """
        self._store = store
        self._table = table
        self._listener = listener
        self._clock = time
        self._wait_s = wait_s
        self._pause_s = pause_s
        self._rng = rng
        self.version = _UNKNOWN

    async def run(self) -> None:
        """Follows until it is cancelled."""
        while True:
            fault = await self._step()
            if fault is None:
                await self._clock.sleep(self._pause_s)
            elif fault is not row_store.StoreError.HISTORY_LOST:
                await self._clock.sleep(
                    self._rng.uniform(_RETRY_MIN_S, _RETRY_MAX_S))

    async def _step(self) -> row_store.StoreError | None:
        if self.version == _UNKNOWN:
            answer = await self._store.read(self._table)
        else:
            answer = await self._store.watch(self._table, self.version,
                                             self._wait_s)
        if isinstance(answer, result.Err):
            return self._take_fault(answer.err_value)
        self._take(answer.ok_value)
        return None

    def _take_fault(self, fault: row_store.StoreError) -> row_store.StoreError:
        if fault is row_store.StoreError.HISTORY_LOST:
            self.version = _UNKNOWN
        else:
            self._listener.take_fault(fault)
        return fault

    def _take(self, found: row_store.RowChanges) -> None:
        is_whole = self.version == _UNKNOWN
        if found.version < self.version:
            # The store's counter never falls: this is an old answer.
            return
        self.version = found.version
        if is_whole:
            self._listener.take_table(found.changes)
        elif found.changes:
            self._listener.take_changes(found.changes)
        self._listener.take_contact(found.version)


async def run_all(followers: Sequence[StoreFollower]) -> None:
    """Runs followers side by side until cancelled."""
    async with asyncio.TaskGroup() as group:
        for follower in followers:
            group.create_task(follower.run())
