"""Gives the content of one followed table to several listeners."""

from collections.abc import Sequence

from pollenthread.app import store_follower
from pollenthread.core import store_version
from pollenthread.ports import row_store

__all__ = ['ListenerGroup']


class ListenerGroup(store_follower.TableListener):
    """Listeners that each use some rows of a table."""

    def __init__(self, *,
                 listeners: Sequence[store_follower.TableListener]) -> None:
        self._listeners = tuple(listeners)

    @property
    def known_version(self) -> store_version.StoreVersion:
        # Each listener ignores what it knows already.
        return min(listener.known_version for listener in self._listeners)

    def on_full_read(self, rows: Sequence[row_store.RowChange],
                     version: store_version.StoreVersion) -> None:
        for listener in self._listeners:
            listener.on_full_read(rows, version)

    def on_changes(self, rows: Sequence[row_store.RowChange]) -> None:
        for listener in self._listeners:
            listener.on_changes(rows)

    def on_error(self, error: row_store.StoreError) -> None:
        for listener in self._listeners:
            listener.on_error(error)

    def on_contact(self, version: store_version.StoreVersion) -> None:
        for listener in self._listeners:
            listener.on_contact(version)
