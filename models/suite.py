"""Every specification of the project, its bounds and its mutants."""

import dataclasses
import functools
from collections.abc import Callable, Mapping
from typing import Any

from models import (checking, claims, configuration, leases, map_switch, switch)

__all__ = ['SUBJECTS', 'Subject']


@dataclasses.dataclass(frozen=True)
class Subject:
    """One specification with the mutants that must break it.

    Attributes:
        small: makes the specification, at small bounds, from a set of rules.
        large: the same at larger bounds.
        rules: the project's own rules.
        mutants: rules that lack one guard, by what they do wrong.
    """

    small: Callable[[Any], checking.Specification]
    large: Callable[[Any], checking.Specification]
    rules: Any
    mutants: Mapping[str, Any]


def _subject(module: Any) -> Subject:
    return Subject(small=module.specification,
                   large=functools.partial(module.specification, large=True),
                   rules=module.Rules(),
                   mutants=module.MUTANTS)


def _switch(small: switch.Bounds, large: switch.Bounds,
            mutants: Mapping[str, switch.Rules]) -> Subject:
    return Subject(small=functools.partial(switch.specification, bounds=small),
                   large=functools.partial(switch.specification, bounds=large),
                   rules=switch.Rules(),
                   mutants=mutants)


SUBJECTS: dict[str, Subject] = {
    'claims':
        _subject(claims),
    'leases':
        _subject(leases),
    'configuration':
        _subject(configuration),
    'switch with a restart':
        _switch(switch.WITH_RESTART, switch.THREE_RANKS,
                switch.RESTART_MUTANTS),
    'map switch on the platform':
        Subject(small=functools.partial(map_switch.specification,
                                        bounds=map_switch.SMALL),
                large=functools.partial(map_switch.specification,
                                        bounds=map_switch.LARGE),
                rules=map_switch.Rules(),
                mutants=map_switch.MUTANTS),
    'switch with a takeover':
        _switch(switch.WITH_TAKEOVER, switch.WITH_BOTH,
                switch.TAKEOVER_MUTANTS),
}
