"""Which model each group holds, following demand by model.

A group changes its model only if the requests that it would serve in time, for
as long as the demand is expected to last, exceed those that it cannot serve
while it loads. The same rule and one budget hold as for experts.
"""

import dataclasses
from collections.abc import Mapping, Sequence

__all__ = [
    'ModelChange', 'ModelDemand', 'GroupModel', 'plan_models', 'select_adapters'
]


@dataclasses.dataclass(frozen=True, slots=True)
class ModelDemand:
    """What one model's classes ask for.

    Attributes:
        model: the model's name.
        groups: the demand in units of what one group serves in time.
        life_s: how long that is expected to last, in seconds.
        weight: what a request in time is worth, by the class's importance.
    """

    model: str
    groups: float
    life_s: float
    weight: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class GroupModel:
    """What a group holds.

    Attributes:
        group: the group's name.
        model: the model that it holds.
        is_free: whether it may change: not draining, short or changing.
    """

    group: str
    model: str
    is_free: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class ModelChange:
    """An order to one group.

    Attributes:
        group: the group's name.
        model: the model to load.
        saving: weighted group-seconds gained beyond the price.
    """

    group: str
    model: str
    saving: float


def plan_models(groups: Sequence[GroupModel], demands: Sequence[ModelDemand], *,
                load_s: float, budget: int) -> list[ModelChange]:
    """The changes that pay, best first, at most `budget` of them.

    No model loses its last group while there is demand for it.

    Args:
        groups: what each group holds.
        demands: the demand by model.
        load_s: how long a group is out of service to change its model.
        budget: changes that may be made now.
    """
    held = {demand.model: 0 for demand in demands}
    for group in groups:
        held[group.model] = held.get(group.model, 0) + 1
    by_model = {demand.model: demand for demand in demands}
    free = sorted((group for group in groups if group.is_free),
                  key=lambda group: group.group)
    changes: list[ModelChange] = []
    while len(changes) < budget:
        best = max((change for group in free for demand in demands
                    if (change := _change(group, demand, by_model, held, load_s)
                       ) is not None),
                   key=lambda change: change.saving,
                   default=None)
        if best is None:
            break
        changes.append(best)
        old = next(group for group in free if group.group == best.group)
        held[old.model] -= 1
        held[best.model] += 1
        free.remove(old)
    return changes


def _change(group: GroupModel, demand: ModelDemand,
            by_model: Mapping[str, ModelDemand], held: Mapping[str, int],
            load_s: float) -> ModelChange | None:
    if demand.model == group.model:
        return None
    source = by_model.get(group.model)
    given = 0.0
    if source is not None:
        if held[group.model] == 1 and source.groups > 0:
            return None
        given = _used_by_last(source, held[group.model]) * source.weight
    gained = _used_by_last(demand, held[demand.model] + 1) * demand.weight
    useful_s = max(0.0, demand.life_s - load_s)
    saving = gained * useful_s - given * demand.life_s
    return ModelChange(group.group, demand.model,
                       saving) if saving > 0 else None


def _used_by_last(demand: ModelDemand, groups: int) -> float:
    """The part of the last of some groups that the demand uses, 0 to 1."""
    return min(1.0, max(0.0, demand.groups - (groups - 1)))


def select_adapters(tokens_by_adapter: Mapping[str,
                                               float], present: frozenset[str],
                    *, slots: int, margin: float) -> tuple[str, ...]:
    """The adapters that a group holds: the busiest, with hysteresis.

    Args:
        tokens_by_adapter: smoothed demand.
        present: adapters that it holds now.
        slots: adapters that fit.
        margin: how much busier a new adapter must be than one it replaces.
    """

    def worth(name: str) -> tuple[float, str]:
        factor = margin if name in present else 1.0
        return (-tokens_by_adapter.get(name, 0.0) * factor, name)

    return tuple(
        sorted(sorted({*tokens_by_adapter, *present}, key=worth)[:slots]))
