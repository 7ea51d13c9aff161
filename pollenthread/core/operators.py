"""Who may see and change what."""

import dataclasses
import hashlib
import hmac
from collections.abc import Iterable, Mapping
from typing import Any

__all__ = ['Operator', 'find_by_key', 'key_digest', 'filter_visible']


@dataclasses.dataclass(frozen=True)
class Operator:
    """Somebody who may use the administration port.

    Attributes:
        name: stands in the audit record.
        key_sha256: SHA-256 of the operator's key, in hexadecimal.
        workspaces: what the operator may see; None for everything.
        may_change: whether the operator may change what it sees.
    """

    name: str
    key_sha256: str
    workspaces: frozenset[str] | None
    may_change: bool

    @property
    def sees_all(self) -> bool:
        """Whether the operator sees every workspace and every host."""
        return self.workspaces is None

    def sees(self, workspace: str) -> bool:
        """Whether the operator may see a workspace."""
        return self.workspaces is None or workspace in self.workspaces


def key_digest(key: str) -> str:
    """What settings hold in place of a key."""
    return hashlib.sha256(key.encode()).hexdigest()


def find_by_key(operators: Iterable[Operator], key: str) -> Operator | None:
    """The operator with a key; takes as long for a wrong key as for a right."""
    digest = key_digest(key)
    found = None
    for operator in operators:
        if hmac.compare_digest(operator.key_sha256, digest):
            found = operator
    return found


def filter_visible(operator: Operator, document: Mapping[str, Any]) -> dict[str, Any]:
    """The part of a document of targets that an operator may see."""
    if operator.sees_all:
        return dict(document)
    return {
        'workspaces': {
            name: workspace
            for name, workspace in document.get('workspaces', {}).items()
            if operator.sees(name)
        }
    }
