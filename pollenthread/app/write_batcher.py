"""Batches single writes into transactions, at a limited rate of rows."""

import asyncio
import collections
import dataclasses
import types
from collections.abc import Callable, Sequence
from typing import Self

import result

from pollenthread.core import token_bucket
from pollenthread.ports import clock, table

__all__ = ['WriteBatcher']

_MAX_ROWS = 64
_MAX_IN_FLIGHT = 4
_MAX_QUEUE_WAIT_S = 0.25
_BURST_S = 0.25


@dataclasses.dataclass(frozen=True, eq=False)
class _QueuedWrite:
    """A write and the future for its result."""

    write: table.TableWrite
    future: asyncio.Future[result.Result[list[int], table.TableError]]


class WriteBatcher(table.TableService):
    """A table service that batches single writes; a context manager.

    While transactions are in progress, writes are queued for the next one. A
    transaction never contains two writes of one row. If the table rejects it
    because of a conflict, it had no effect and each write is sent separately.
    If its outcome is unknown, that holds for each of its writes.

    Attributes:
        rows_count: rows that were sent.
        transactions_count: transactions that were sent.
        rejected_count: writes of new rows that were rejected by the rate limit.
    """

    def __init__(self, *, table_service: table.TableService, time: clock.Clock,
                 rows_per_s: Callable[[], float]) -> None:
        """Initializes a batcher.

        Args:
            table_service: the table to write to.
            time: the clock.
            rows_per_s: returns the current limit of rows per second.
        """
        self._table = table_service
        self._clock = time
        self._rows_per_s = rows_per_s
        self._queue = collections.deque[_QueuedWrite]()
        self._tasks: set[asyncio.Task[None]] = set()
        self._transaction_slots = asyncio.Semaphore(_MAX_IN_FLIGHT)
        self._has_writes = asyncio.Event()
        self._sender_task: asyncio.Task[None] | None = None
        self._rate_limit = token_bucket.TokenBucket(rate_per_s=1.0,
                                                    burst=1.0,
                                                    tokens=1.0,
                                                    updated_at=time.monotonic())
        self.rows_count = 0
        self.transactions_count = 0
        self.rejected_count = 0

    async def __aenter__(self) -> Self:
        self._sender_task = asyncio.create_task(self._send_all())
        return self

    async def __aexit__(self, kind: type[BaseException] | None,
                        error: BaseException | None,
                        trace: types.TracebackType | None) -> None:
        assert self._sender_task is not None
        self._sender_task.cancel()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(self._sender_task,
                             *self._tasks,
                             return_exceptions=True)

    async def get(
            self,
            key: str) -> result.Result[table.TableRow | None, table.TableError]:
        return await self._table.get(key)

    async def scan(
            self, prefix: str
    ) -> result.Result[list[table.TableRow], table.TableError]:
        return await self._table.scan(prefix)

    async def commit(
        self, writes: Sequence[table.TableWrite]
    ) -> result.Result[list[int], table.TableError]:
        if len(writes) != 1:
            return await self._table.commit(writes)
        if (writes[0].expected_version == table.ABSENT_VERSION and
                self._is_over_budget()):
            self.rejected_count += 1
            return result.Err(table.TableError.LIMITED)
        queued = _QueuedWrite(writes[0],
                              asyncio.get_running_loop().create_future())
        self._queue.append(queued)
        self._has_writes.set()
        return await queued.future

    def _is_over_budget(self) -> bool:
        """Returns whether a new row would wait longer than the limit."""
        now = self._clock.monotonic()
        self._set_rate(now)
        queue_s = len(self._queue) / self._rate_limit.rate_per_s
        return token_bucket.wait_s(self._rate_limit,
                                   now) + queue_s > _MAX_QUEUE_WAIT_S

    def _set_rate(self, now: float) -> None:
        rate = self._rows_per_s()
        self._rate_limit = dataclasses.replace(token_bucket.refill(
            self._rate_limit, now),
                                               rate_per_s=rate,
                                               burst=max(1.0, rate * _BURST_S))

    async def _send_all(self) -> None:
        while True:
            await self._has_writes.wait()
            now = self._clock.monotonic()
            self._set_rate(now)
            await self._clock.sleep(token_bucket.wait_s(self._rate_limit, now))
            await self._transaction_slots.acquire()
            batch = self._next_batch()
            self._rate_limit = token_bucket.spend(self._rate_limit, len(batch),
                                                  self._clock.monotonic())
            task = asyncio.create_task(self._send(batch))
            self._tasks.add(task)
            task.add_done_callback(self._on_sent)

    def _on_sent(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        self._transaction_slots.release()

    def _next_batch(self) -> list[_QueuedWrite]:
        """Removes the next writes of different rows from the queue."""
        batch_by_key: dict[str, _QueuedWrite] = {}
        deferred: list[_QueuedWrite] = []
        while self._queue and len(batch_by_key) < _MAX_ROWS:
            queued = self._queue.popleft()
            if queued.write.key in batch_by_key:
                deferred.append(queued)
            else:
                batch_by_key[queued.write.key] = queued
        self._queue.extendleft(reversed(deferred))
        if not self._queue:
            self._has_writes.clear()
        return list(batch_by_key.values())

    async def _send(self, batch: Sequence[_QueuedWrite]) -> None:
        committed = await self._commit(batch)
        if (isinstance(committed, result.Err) and len(batch) > 1 and
                committed.err_value is table.TableError.CONFLICT):
            for queued in batch:
                _resolve(queued, await self._commit([queued]))
            return
        for i, queued in enumerate(batch):
            if isinstance(committed, result.Ok):
                _resolve(queued, result.Ok([committed.ok_value[i]]))
            else:
                _resolve(queued, committed)

    async def _commit(
        self, batch: Sequence[_QueuedWrite]
    ) -> result.Result[list[int], table.TableError]:
        self.transactions_count += 1
        self.rows_count += len(batch)
        return await self._table.commit([queued.write for queued in batch])


def _resolve(queued: _QueuedWrite,
             outcome: result.Result[list[int], table.TableError]) -> None:
    if not queued.future.done():
        queued.future.set_result(outcome)
