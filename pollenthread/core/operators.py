"""Operators and their access rights."""

import dataclasses
import hashlib
import hmac
from collections.abc import Iterable, Mapping
from typing import Any

__all__ = ['Operator', 'find_by_key', 'key_digest', 'filter_visible']


@dataclasses.dataclass(frozen=True)
class Operator:
    """A user of the administration port.

    Attributes:
        name: the name written to the audit record.
        key_sha256: SHA-256 digest of the operator's key, in hexadecimal.
        workspaces: names of the workspaces that the operator may read; None
            for all workspaces and hosts.
        may_change: whether the operator may also change them.
    """

    name: str
    key_sha256: str
    workspaces: frozenset[str] | None
    may_change: bool

    @property
    def can_read_all(self) -> bool:
        """Whether the operator may read all workspaces and hosts."""
        return self.workspaces is None

    def can_read(self, workspace: str) -> bool:
        """Returns whether the operator may read a workspace."""
        return self.workspaces is None or workspace in self.workspaces


def key_digest(key: str) -> str:
    """Returns the hexadecimal digest of a key, as stored in settings."""
    return hashlib.sha256(key.encode()).hexdigest()


def find_by_key(operators: Iterable[Operator], key: str) -> Operator | None:
    """Returns the operator with a key, or None, in constant time.

    The time does not depend on whether the key is valid.
    """
    digest = key_digest(key)
    found = None
    for operator in operators:
        if hmac.compare_digest(operator.key_sha256, digest):
            found = operator
    return found


def filter_visible(operator: Operator,
                   document: Mapping[str, Any]) -> dict[str, Any]:
    """Returns the part of a targets document that an operator may read."""
    if operator.can_read_all:
        return dict(document)
    return {
        'workspaces': {
            name: workspace
            for name, workspace in document.get('workspaces', {}).items()
            if operator.can_read(name)
        }
    }
