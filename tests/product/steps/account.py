"""Steps for request accounting."""

import collections
import random
from collections.abc import Sequence
from typing import Any

import result
from behave import given, then, when

from pollenthread.adapters import clock
from pollenthread.app import account_reader, account_writer
from pollenthread.core import account
from pollenthread.ports import table
from tests import scenario

_INTERVAL_S = 60.0
_START_S = 1_700_000_000.0


class _Table(table.TableService):
    """In-memory table that can be unavailable or lose responses."""

    def __init__(self) -> None:
        self.rows_by_key: dict[str, table.TableRow] = {}
        self.down = False
        self.lose_every_nth = 0
        self._commits = 0
        self._version = 0

    async def get(
            self,
            key: str) -> result.Result[table.TableRow | None, table.TableError]:
        if self.down:
            return result.Err(table.TableError.UNAVAILABLE)
        return result.Ok(self.rows_by_key.get(key))

    async def scan(
            self, prefix: str
    ) -> result.Result[list[table.TableRow], table.TableError]:
        return result.Ok([
            row for key, row in sorted(self.rows_by_key.items())
            if key.startswith(prefix)
        ])

    async def commit(
        self, writes: Sequence[table.TableWrite]
    ) -> result.Result[list[int], table.TableError]:
        if self.down:
            return result.Err(table.TableError.UNAVAILABLE)
        for write in writes:
            row = self.rows_by_key.get(write.key)
            if (row.version
                    if row else table.ABSENT_VERSION) != write.expected_version:
                return result.Err(table.TableError.CONFLICT)
        versions = [self._apply(write) for write in writes]
        self._commits += 1
        if self.lose_every_nth and self._commits % self.lose_every_nth == 0:
            return result.Err(table.TableError.UNKNOWN)
        return result.Ok(versions)

    def _apply(self, write: table.TableWrite) -> int:
        self._version += 1
        self.rows_by_key.pop(write.key, None)
        if write.value is not None:
            self.rows_by_key[write.key] = table.TableRow(
                write.key, write.value, self._version)
        return self._version


class _Host:
    """Account of an entry host whose clock the test advances."""

    def __init__(self, merge_rows: int = 60) -> None:
        self.now_s = _START_S
        self.table = _Table()
        self.counter = account.RequestCounter()
        self.outcome_counts = collections.Counter[tuple[str, str]]()
        self.writer = account_writer.AccountWriter(
            table_service=self.table,
            request_counter=self.counter,
            host='entry-1',
            incarnation='abc',
            time=clock.SystemClock(),
            wall_clock=lambda: self.now_s,
            interval_s=_INTERVAL_S,
            merge_rows=merge_rows)

    async def serve(self, requests: int, intervals: int, seed: int) -> None:
        """Accepts requests over intervals and ends all, at random."""
        rng = random.Random(seed)
        open_keys: list[account.CountKey] = []
        for _ in range(intervals):
            for _ in range(requests // intervals):
                key = account.CountKey(rng.choice('ab'), rng.choice('xyz'))
                self.counter.accept(key)
                open_keys.append(key)
                if rng.random() < 0.8:
                    self._end(open_keys.pop(0), rng)
            await self._end_interval()
        while open_keys:
            self._end(open_keys.pop(), rng)

    async def _end_interval(self) -> None:
        self.now_s += _INTERVAL_S
        await self.writer.flush()

    def _end(self, key: account.CountKey, rng: random.Random) -> None:
        outcome = rng.choice(list(account.RequestOutcome))
        self.outcome_counts[key.workspace + key.work_class, outcome.value] += 1
        self.counter.end(key, outcome, attempts=rng.randint(0, 3), repeat=False)

    async def lose_host(self, requests: int) -> None:
        for _ in range(requests):
            self.counter.accept(account.CountKey('a', 'x'))
        await self._end_interval()
        self.now_s += 10 * _INTERVAL_S

    async def summary(self) -> Any:
        reader = account_reader.AccountReader(table_service=self.table,
                                              wall_clock=lambda: self.now_s,
                                              interval_s=_INTERVAL_S)
        return (await reader.read(days=2)).expect('the table is available')


def _read_summary(context: Any) -> Any:
    return scenario.run(context, context.host.summary())


@given("an entry host's account")
def step_host(context: Any) -> None:
    context.host = _Host()


@given("an entry host's account with a table that loses every second response")
def step_lossy_host(context: Any) -> None:
    context.host = _Host()
    context.host.table.lose_every_nth = 2


@given("an entry host's account that merges {rows:d} rows, with lost responses")
def step_merging_host(context: Any, rows: int) -> None:
    context.host = _Host(merge_rows=rows)
    context.host.table.lose_every_nth = 3


@when('{requests:d} requests end with random outcomes over {intervals:d} '
      'intervals with seed {seed:d}')
def step_serve(context: Any, requests: int, intervals: int, seed: int) -> None:
    scenario.run(context, context.host.serve(requests, intervals, seed))


@when('the table is unavailable for {intervals:d} intervals of requests with '
      'seed {seed:d}')
def step_outage(context: Any, intervals: int, seed: int) -> None:
    context.host.table.down = True
    scenario.run(context, context.host.serve(10 * intervals, intervals, seed))
    context.host.table.down = False


@when('the entry host shuts down gracefully')
def step_shut_down(context: Any) -> None:
    assert scenario.run(context, context.host.writer.finish(5.0))
    context.host.now_s += 100 * _INTERVAL_S


@when('{requests:d} requests are accepted and written, and the host is lost')
def step_lose_host(context: Any, requests: int) -> None:
    scenario.run(context, context.host.lose_host(requests))


@when('{requests:d} requests are accepted and the entry host shuts down at '
      'once')
def step_shut_down_at_once(context: Any, requests: int) -> None:
    for _ in range(requests):
        context.host.counter.accept(account.CountKey('a', 'x'))
    assert scenario.run(context, context.host.writer.finish(5.0))


@when('the third row is lost')
def step_lose_row(context: Any) -> None:
    rows = context.host.table.rows_by_key
    del rows[sorted(rows)[2]]


@then('the account equals the outcomes of all requests')
def step_equal(context: Any) -> None:
    found = {
        (key.workspace + key.work_class, outcome.value):
            getattr(counts, outcome.value)
        for key, counts in _read_summary(context).counts_by_key.items()
        for outcome in account.RequestOutcome
    }
    outcome_counts = context.host.outcome_counts
    assert {
        k: n for k, n in found.items() if n
    } == dict(outcome_counts), (found, outcome_counts)
    for counts in _read_summary(context).counts_by_key.values():
        assert counts.open == 0, counts


@then('the account shows no gap')
def step_no_gap(context: Any) -> None:
    assert not _read_summary(context).gaps


@then('the table holds fewer than {count:d} rows of the account')
def step_few_rows(context: Any, count: int) -> None:
    assert len(context.host.table.rows_by_key) < count


@then('the account shows {requests:d} requests lost with their host')
def step_lost_with_host(context: Any, requests: int) -> None:
    summary = _read_summary(context)
    assert sum(summary.lost_with_host_by_key.values()) >= requests, summary
    for counts in summary.counts_by_key.values():
        assert counts.open == 0, counts


@then('the account shows a gap because "{reason}"')
def step_gap(context: Any, reason: str) -> None:
    gaps = _read_summary(context).gaps
    assert [gap for gap in gaps if gap.reason.value.startswith(reason)], gaps
