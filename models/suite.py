"""Every specification of the project, its bounds and its mutants."""

import dataclasses
from collections.abc import Callable, Mapping
from typing import Any

from models import checking, claims

__all__ = ['SUBJECTS', 'Subject']


@dataclasses.dataclass(frozen=True)
class Subject:
    """One specification with the mutants that must break it.

    Attributes:
        specify: makes the specification from a set of rules.
        rules: the project's own rules.
        mutants: rules that lack one guard, by what they do wrong.
    """

    specify: Callable[..., checking.Specification]
    rules: Any
    mutants: Mapping[str, Any]


SUBJECTS: dict[str, Subject] = {
    'claims':
        Subject(specify=claims.specification,
                rules=claims.Rules(),
                mutants=claims.MUTANTS),
}
