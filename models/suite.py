"""All checked models, with their bounds and their mutants."""

import dataclasses
import functools
from collections.abc import Callable, Mapping
from typing import Any

from models import (checking, claims, configuration, leases, map_switch,
                    store_restoration, switch)

__all__ = ['MODELS', 'CheckedModel']


@dataclasses.dataclass(frozen=True)
class CheckedModel:
    """A specification with mutants that must violate its invariants.

    Attributes:
        small: creates the specification with small bounds from a set of rules.
        large: creates the specification with larger bounds.
        rules: the rules of pollenthread.
        mutants: by description of the fault, rules that lack one guard.
    """

    small: Callable[[Any], checking.Specification]
    large: Callable[[Any], checking.Specification]
    rules: Any
    mutants: Mapping[str, Any]


def _checked_model(module: Any) -> CheckedModel:
    return CheckedModel(small=module.specification,
                        large=functools.partial(module.specification,
                                                large=True),
                        rules=module.Rules(),
                        mutants=module.MUTANTS)


def _checked_switch(small: switch.Bounds, large: switch.Bounds,
                    mutants: Mapping[str, switch.Rules]) -> CheckedModel:
    return CheckedModel(small=functools.partial(switch.specification,
                                                bounds=small),
                        large=functools.partial(switch.specification,
                                                bounds=large),
                        rules=switch.Rules(),
                        mutants=mutants)


MODELS: dict[str, CheckedModel] = {
    'claims':
        _checked_model(claims),
    'leases':
        _checked_model(leases),
    'configuration':
        _checked_model(configuration),
    'restored store':
        _checked_model(store_restoration),
    'switch with a restart':
        _checked_switch(switch.WITH_RESTART, switch.THREE_RANKS,
                        switch.RESTART_MUTANTS),
    'map switch on the platform':
        CheckedModel(small=functools.partial(map_switch.specification,
                                             bounds=map_switch.SMALL_BOUNDS),
                     large=functools.partial(map_switch.specification,
                                             bounds=map_switch.LARGE_BOUNDS),
                     rules=map_switch.Rules(),
                     mutants=map_switch.MUTANTS),
    'switch with a takeover':
        _checked_switch(switch.WITH_TAKEOVER, switch.WITH_RESTART_AND_TAKEOVER,
                        switch.TAKEOVER_MUTANTS),
}
