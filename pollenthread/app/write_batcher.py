"""Gathers single writes into transactions, within a budget of writes."""

import asyncio
import collections
import dataclasses
import types
from collections.abc import Callable, Sequence
from typing import Self

import result

from pollenthread.core import budget
from pollenthread.ports import clock, table

__all__ = ['WriteBatcher']

_MAX_ROWS = 64
_MAX_IN_FLIGHT = 4
_MAX_WAIT_S = 0.25
_BURST_S = 0.25


@dataclasses.dataclass(frozen=True, eq=False)
class _Waiting:
    """One write and who waits for it."""

    write: table.TableWrite
    answer: asyncio.Future[result.Result[list[int], table.TableError]]


class WriteBatcher(table.TableService):
    """A table whose single writes go out together.

    While transactions are on their way, writes gather for the next one. A
    transaction never holds two writes of one row. If the table refuses one for
    a conflict nothing of it took effect, and each write goes out by itself. An
    unknown answer is unknown for every write of the transaction.
    """

    def __init__(self, *, table_service: table.TableService, time: clock.Clock,
                 rows_per_s: Callable[[], float]) -> None:
        self._table = table_service
        self._time = time
        self._rows_per_s = rows_per_s
        self._waiting = collections.deque[_Waiting]()
        self._tasks: set[asyncio.Task[None]] = set()
        self._room = asyncio.Semaphore(_MAX_IN_FLIGHT)
        self._ready = asyncio.Event()
        self._sender: asyncio.Task[None] | None = None
        self._budget = budget.Budget(rate_per_s=1.0,
                                     burst=1.0,
                                     units=1.0,
                                     at=time.monotonic())
        self.rows_count = 0
        self.transactions_count = 0
        self.refused_count = 0

    async def __aenter__(self) -> Self:
        self._sender = asyncio.create_task(self._send_all())
        return self

    async def __aexit__(self, kind: type[BaseException] | None,
                        error: BaseException | None,
                        trace: types.TracebackType | None) -> None:
        assert self._sender is not None
        self._sender.cancel()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(self._sender, *self._tasks, return_exceptions=True)

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
        if writes[
                0].expected_version == table.ABSENT_VERSION and self._is_over_budget(
                ):
            self.refused_count += 1
            return result.Err(table.TableError.LIMITED)
        waiting = _Waiting(writes[0],
                           asyncio.get_running_loop().create_future())
        self._waiting.append(waiting)
        self._ready.set()
        return await waiting.answer

    def _is_over_budget(self) -> bool:
        """Whether a new row would wait too long behind what is ahead of it."""
        now = self._time.monotonic()
        self._set_rate(now)
        behind = len(self._waiting) / self._budget.rate_per_s
        return budget.wait_s(self._budget, now) + behind > _MAX_WAIT_S

    def _set_rate(self, now: float) -> None:
        rate = self._rows_per_s()
        self._budget = dataclasses.replace(budget.refill(self._budget, now),
                                           rate_per_s=rate,
                                           burst=max(1.0, rate * _BURST_S))

    async def _send_all(self) -> None:
        while True:
            await self._ready.wait()
            now = self._time.monotonic()
            self._set_rate(now)
            await self._time.sleep(budget.wait_s(self._budget, now))
            await self._room.acquire()
            batch = self._next_batch()
            self._budget = budget.spend(self._budget, len(batch),
                                        self._time.monotonic())
            task = asyncio.create_task(self._send(batch))
            self._tasks.add(task)
            task.add_done_callback(self._on_sent)

    def _on_sent(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        self._room.release()

    def _next_batch(self) -> list[_Waiting]:
        """Takes writes of different rows, in order."""
        batch_by_key: dict[str, _Waiting] = {}
        left: list[_Waiting] = []
        while self._waiting and len(batch_by_key) < _MAX_ROWS:
            waiting = self._waiting.popleft()
            if waiting.write.key in batch_by_key:
                left.append(waiting)
            else:
                batch_by_key[waiting.write.key] = waiting
        self._waiting.extendleft(reversed(left))
        if not self._waiting:
            self._ready.clear()
        return list(batch_by_key.values())

    async def _send(self, batch: Sequence[_Waiting]) -> None:
        done = await self._commit(batch)
        if (isinstance(done, result.Err) and len(batch) > 1 and
                done.err_value is table.TableError.CONFLICT):
            for waiting in batch:
                _answer(waiting, await self._commit([waiting]))
            return
        for i, waiting in enumerate(batch):
            if isinstance(done, result.Ok):
                _answer(waiting, result.Ok([done.ok_value[i]]))
            else:
                _answer(waiting, done)

    async def _commit(
        self, batch: Sequence[_Waiting]
    ) -> result.Result[list[int], table.TableError]:
        self.transactions_count += 1
        self.rows_count += len(batch)
        return await self._table.commit([waiting.write for waiting in batch])


def _answer(waiting: _Waiting, answer: result.Result[list[int],
                                                     table.TableError]) -> None:
    if not waiting.answer.done():
        waiting.answer.set_result(answer)
