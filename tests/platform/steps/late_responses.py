"""Steps for responses and signals that arrive at an inconvenient time."""

import asyncio
import os
import pathlib
import random
import signal
import subprocess
import sys
import tempfile
from collections.abc import Sequence
from typing import Any

import result
from behave import given, then, when

from pollenthread.adapters import http_server
from pollenthread.app import store_follower
from pollenthread.core import store_version
from pollenthread.ports import row_store
from tests.fakes import serving, virtual_time

_FOLLOW_S = 0.1
_EXIT_TIMEOUT_S = 20.0


class _Listener(store_follower.TableListener):
    """Counts the rows that a follower gives to it.

    Attributes:
        known: the version that it knows from any source.
        rows: how many rows it got.
    """

    def __init__(self) -> None:
        self.known = store_version.START
        self.rows = 0

    def on_full_read(self, rows: Sequence[row_store.RowChange],
                     version: store_version.StoreVersion) -> None:
        self.rows += len(rows)
        self.known = version

    def on_changes(self, rows: Sequence[row_store.RowChange]) -> None:
        self.rows += len(rows)

    def on_error(self, error: row_store.StoreError) -> None:
        return

    def on_contact(self, version: store_version.StoreVersion) -> None:
        return

    @property
    def known_version(self) -> store_version.StoreVersion:
        return self.known


class _Store(row_store.RowStore):
    """Responds with one row of a version.

    Attributes:
        version: the version.
        has_history: whether it has the changes since an earlier version.
        before_response: called before each response.
    """

    def __init__(self, version: store_version.StoreVersion) -> None:
        self.version = version
        self.has_history = True
        self.before_response = lambda: None

    async def read(
        self, table: str
    ) -> result.Result[row_store.RowChanges, row_store.StoreError]:
        self.before_response()
        row = row_store.RowChange('k', b'v', self.version)
        return result.Ok(row_store.RowChanges((row,), self.version))

    async def watch(
        self, table: str, after_version: store_version.StoreVersion,
        wait_s: float
    ) -> result.Result[row_store.RowChanges, row_store.StoreError]:
        if not self.has_history:
            return result.Err(row_store.StoreError.HISTORY_LOST)
        return await self.read(table)

    async def write(
        self, writes: Sequence[row_store.RowWrite]
    ) -> result.Result[store_version.StoreVersion, row_store.StoreError]:
        return result.Ok(self.version)


def _follow(context: Any) -> None:
    """Lets the follower make a call."""

    async def run() -> None:
        try:
            async with asyncio.timeout(_FOLLOW_S):
                await context.follower.run()
        except TimeoutError:
            pass

    virtual_time.run(run())


@given('a follower that has read version {counter:d} of era {era:d}')
def step_follower(context: Any, counter: int, era: int) -> None:
    context.store = _Store(store_version.StoreVersion(era, counter))
    context.rows_listener = _Listener()
    context.follower = store_follower.StoreFollower(
        store=context.store,
        table='t',
        listener=context.rows_listener,
        time=virtual_time.LoopClock(),
        wait_s=1.0,
        pause_s=1.0,
        rng=random.Random(1))
    _follow(context)


@when('a peer tells version {counter:d} of era {era:d}')
def step_peer(context: Any, counter: int, era: int) -> None:

    def tell() -> None:
        context.rows_listener.known = store_version.StoreVersion(era, counter)

    context.store.before_response = tell


@when('the store responds with {rows} up to version {counter:d} of era {era:d}')
def step_responds(context: Any, rows: str, counter: int, era: int) -> None:
    context.store.version = store_version.StoreVersion(era, counter)
    context.store.has_history = rows != 'all rows'
    context.rows_listener.rows = 0
    _follow(context)


@then('the listener receives no rows')
def step_no_rows(context: Any) -> None:
    assert context.rows_listener.rows == 0


class _Pages(serving.FakeHandler):
    """Serves a table in pages; its version rises with each."""

    def __init__(self, pages: int, rise: int) -> None:
        super().__init__()
        self._pages = pages
        self._rise = rise
        self._count = 0

    async def respond(self, request: http_server.HttpRequest,
                      response: http_server.HttpResponse) -> None:
        self._count += 1
        version = self._count * self._rise
        await response.send_json(
            200, {
                'rows': [{
                    'key': f'k-{self._count}',
                    'ver': version
                }],
                'ver': version,
                'has_more': self._count < self._pages
            })


@given('a store whose version rises by {rise:d} with each of {pages:d} pages')
def step_pages(context: Any, rise: int, pages: int) -> None:
    context.handler = _Pages(pages, rise)
    context.first_version = rise


@then('the rows of {pages:d} pages are returned with the version of the first '
      'one')
def step_first_version(context: Any, pages: int) -> None:
    found = context.read.unwrap()
    assert len(found.changes) == pages
    assert found.version.counter == context.first_version, found.version


@given('a process "{role}" that waits for its settings')
def step_process(context: Any, role: str) -> None:
    folder = tempfile.TemporaryDirectory()  # pylint: disable=consider-using-with
    context.add_cleanup(folder.cleanup)
    context.settings = pathlib.Path(folder.name) / 'settings.toml'
    # Opening a pipe waits until the other side opens it too.
    os.mkfifo(context.settings)
    # pylint: disable-next=consider-using-with
    context.process = subprocess.Popen(
        (sys.executable, '-m', 'pollenthread', 'platform', role),
        env={
            **os.environ, 'POLLENTHREAD_CONFIG': str(context.settings)
        },
        stderr=subprocess.DEVNULL)
    context.add_cleanup(context.process.kill)


@when('it gets the signal to reload and then invalid settings')
def step_reload(context: Any) -> None:
    with open(context.settings, 'w', encoding='utf-8') as settings:
        context.process.send_signal(signal.SIGHUP)
        settings.write('no settings')


@then('it exits with status {status:d}')
def step_exits(context: Any, status: int) -> None:
    found = context.process.wait(_EXIT_TIMEOUT_S)
    assert found == status, found
