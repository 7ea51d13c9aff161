"""Differences between two documents of keys and values."""

import dataclasses
from collections.abc import Mapping
from typing import Any

__all__ = ['Change', 'diff_documents']


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """One place at which two documents differ.

    Attributes:
        path: the keys down to the place, joined with '/'.
        before: the old value; None when the key is new.
        after: the new value; None when the key is gone.
    """

    path: str
    before: Any
    after: Any


def diff_documents(before: Any, after: Any, path: str = '') -> tuple[Change, ...]:
    """Lists what differs, down to the deepest keys, in key order."""
    if not (isinstance(before, Mapping) and isinstance(after, Mapping)):
        return () if before == after else (Change(path, before, after),)
    found: list[Change] = []
    for key in sorted({*before, *after}):
        place = f'{path}/{key}' if path else str(key)
        found.extend(diff_documents(before.get(key), after.get(key), place))
    return tuple(found)
