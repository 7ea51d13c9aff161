"""Steps for the account."""

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
    """Rows in memory that can be down or lose answers."""

    def __init__(self) -> None:
        self.rows_by_key: dict[str, table.TableRow] = {}
        self.down = False
        self.lose_every = 0
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
        if self.lose_every and self._commits % self.lose_every == 0:
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
    """An entry host's account on a clock that the test moves."""

    def __init__(self, fold_rows: int = 60) -> None:
        self.now_s = _START_S
        self.table = _Table()
        self.tally = account.RequestCounter()
        self.truth = collections.Counter[tuple[str, str]]()
        self.keeper = account_writer.AccountWriter(table_service=self.table,
                                                   request_counter=self.tally,
                                                   host='entry-1',
                                                   incarnation='abc',
                                                   time=clock.SystemClock(),
                                                   wall_clock=lambda: self.now_s,
                                                   interval_s=_INTERVAL_S,
                                                   merge_rows=fold_rows)

    async def serve(self, requests: int, intervals: int, seed: int) -> None:
        draw = random.Random(seed)
        open_keys: list[account.CountKey] = []
        for _ in range(intervals):
            for _ in range(requests // intervals):
                key = account.CountKey(draw.choice('ab'), draw.choice('xyz'))
                self.tally.accept(key)
                open_keys.append(key)
                if draw.random() < 0.8:
                    self._end(open_keys.pop(0), draw)
            await self._pass_interval()
        while open_keys:
            self._end(open_keys.pop(), draw)

    async def _pass_interval(self) -> None:
        self.now_s += _INTERVAL_S
        await self.keeper.flush()

    def _end(self, key: account.CountKey, draw: random.Random) -> None:
        outcome = draw.choice(list(account.RequestOutcome))
        self.truth[key.workspace + key.work_class, outcome.value] += 1
        self.tally.end(key, outcome, attempts=draw.randint(0, 3), repeat=False)

    async def lose(self, requests: int) -> None:
        for _ in range(requests):
            self.tally.accept(account.CountKey('a', 'x'))
        await self._pass_interval()
        self.now_s += 10 * _INTERVAL_S

    async def ledger(self) -> Any:
        reader = account_reader.AccountReader(table_service=self.table,
                                              wall_clock=lambda: self.now_s,
                                              interval_s=_INTERVAL_S)
        return (await reader.read(days=2)).expect('the table answers')


def _run_ledger(context: Any) -> Any:
    return scenario.run(context, context.host.ledger())


@given("an entry host's account")
def step_host(context: Any) -> None:
    context.host = _Host()


@given("an entry host's account with a table that loses every second answer")
def step_lossy_host(context: Any) -> None:
    context.host = _Host()
    context.host.table.lose_every = 2


@given("an entry host's account that folds {rows:d} rows, with lost answers")
def step_folding_host(context: Any, rows: int) -> None:
    context.host = _Host(fold_rows=rows)
    context.host.table.lose_every = 3


@when('{requests:d} requests end in random ways over {intervals:d} intervals '
      'with seed {seed:d}')
def step_serve(context: Any, requests: int, intervals: int, seed: int) -> None:
    scenario.run(context, context.host.serve(requests, intervals, seed))


@when('the table is down for {intervals:d} intervals of requests '
      'with seed {seed:d}')
def step_outage(context: Any, intervals: int, seed: int) -> None:
    context.host.table.down = True
    scenario.run(context, context.host.serve(10 * intervals, intervals, seed))
    context.host.table.down = False


@when('the entry host stops by plan')
def step_stop(context: Any) -> None:
    assert scenario.run(context, context.host.keeper.finish(5.0))
    context.host.now_s += 100 * _INTERVAL_S


@when('{requests:d} requests are accepted and handed over, '
      'and the host is lost')
def step_lose(context: Any, requests: int) -> None:
    scenario.run(context, context.host.lose(requests))


@when('{requests:d} requests are accepted and the entry host stops now')
def step_cut(context: Any, requests: int) -> None:
    for _ in range(requests):
        context.host.tally.accept(account.CountKey('a', 'x'))
    assert scenario.run(context, context.host.keeper.finish(5.0))


@when('the third row is lost')
def step_lose_row(context: Any) -> None:
    rows = context.host.table.rows_by_key
    del rows[sorted(rows)[2]]


@then('the account equals what ended')
def step_equal(context: Any) -> None:
    found = {
        (key.workspace + key.work_class, outcome.value):
            getattr(counts, outcome.value)
        for key, counts in _run_ledger(context).counts_by_key.items()
        for outcome in account.RequestOutcome
    }
    truth = context.host.truth
    assert {k: n for k, n in found.items() if n} == dict(truth), (found, truth)
    for counts in _run_ledger(context).counts_by_key.values():
        assert counts.open == 0, counts


@then('the account shows no gap')
def step_no_gap(context: Any) -> None:
    assert not _run_ledger(context).gaps


@then('the table holds fewer than {count:d} rows of the account')
def step_few_rows(context: Any, count: int) -> None:
    assert len(context.host.table.rows_by_key) < count


@then('the account shows {requests:d} requests lost with their host')
def step_lost(context: Any, requests: int) -> None:
    ledger = _run_ledger(context)
    assert sum(ledger.lost_with_host_by_key.values()) >= requests, ledger
    for counts in ledger.counts_by_key.values():
        assert counts.open == 0, counts


@then('the account shows a gap because "{reason}"')
def step_gap(context: Any, reason: str) -> None:
    gaps = _run_ledger(context).gaps
    assert [gap for gap in gaps if gap.reason.value.startswith(reason)], gaps
