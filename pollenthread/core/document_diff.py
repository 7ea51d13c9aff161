"""Computes the differences between two nested mappings."""

import dataclasses
from collections.abc import Mapping
from typing import Any

__all__ = ['DocumentChange', 'diff_documents']


@dataclasses.dataclass(frozen=True, slots=True)
class DocumentChange:
    """One difference between two documents.

    Attributes:
        path: the keys that lead to the value, joined with '/'.
        before: the old value; None if the key was added.
        after: the new value; None if the key was removed.
    """

    path: str
    before: Any
    after: Any


def diff_documents(before: Any,
                   after: Any,
                   path: str = '') -> tuple[DocumentChange, ...]:
    """Returns the differences between two documents, in key order.

    Nested mappings are compared recursively.

    Args:
        before: the old document.
        after: the new document.
        path: the path of both documents in the enclosing one.
    """
    if not (isinstance(before, Mapping) and isinstance(after, Mapping)):
        return () if before == after else (DocumentChange(path, before, after),)
    differences: list[DocumentChange] = []
    for key in sorted({*before, *after}):
        key_path = f'{path}/{key}' if path else str(key)
        differences.extend(
            diff_documents(before.get(key), after.get(key), key_path))
    return tuple(differences)
