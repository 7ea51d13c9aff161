"""Assignment of models to groups by demand.

A group changes its model only if the requests that it would serve in time, over
the expected duration of the demand, exceed those that it cannot serve while it
loads. Experts are loaded by the same rule and from the same budget.
"""

import dataclasses
from collections.abc import Mapping, Sequence

__all__ = [
    'GroupModel', 'ModelChange', 'ModelDemand', 'plan_models', 'select_adapters'
]


@dataclasses.dataclass(frozen=True, slots=True)
class ModelDemand:
    """The demand for one model by its work classes.

    Attributes:
        model: the name of the model.
        groups: the demand, in units of the capacity of one group.
        duration_s: the expected duration of the demand, in seconds.
        weight: the value of a request served in time, by the importance of
            its class.
    """

    model: str
    groups: float
    duration_s: float
    weight: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class GroupModel:
    """The model of a group.

    Attributes:
        group: the name of the group.
        model: the name of the loaded model.
        is_free: whether the group may change its model; False while it is
            draining, is missing ranks or is changing its model.
    """

    group: str
    model: str
    is_free: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class ModelChange:
    """A planned change of the model of one group.

    Attributes:
        group: the name of the group.
        model: the name of the model to load.
        saving: the net gain, in weighted group-seconds.
    """

    group: str
    model: str
    saving: float


def plan_models(groups: Sequence[GroupModel], demands: Sequence[ModelDemand], *,
                load_s: float, budget: int) -> list[ModelChange]:
    """Returns the profitable changes, best first, at most `budget`.

    No model loses its last group while there is demand for it.

    Args:
        groups: the model of each group.
        demands: the demand for each model.
        load_s: the time for which a group is out of service while it changes
            its model, in seconds.
        budget: the maximum number of changes.
    """
    group_counts = {demand.model: 0 for demand in demands}
    for group in groups:
        group_counts[group.model] = group_counts.get(group.model, 0) + 1
    demand_by_model = {demand.model: demand for demand in demands}
    changeable = sorted((group for group in groups if group.is_free),
                        key=lambda group: group.group)
    changes: list[ModelChange] = []
    while len(changes) < budget:
        best = max((change for group in changeable for demand in demands
                    if (change := _change(group, demand, demand_by_model,
                                          group_counts, load_s)) is not None),
                   key=lambda change: change.saving,
                   default=None)
        if best is None:
            break
        changes.append(best)
        changed_group = next(
            group for group in changeable if group.group == best.group)
        group_counts[changed_group.model] -= 1
        group_counts[best.model] += 1
        changeable.remove(changed_group)
    return changes


def _change(group: GroupModel, demand: ModelDemand,
            demand_by_model: Mapping[str, ModelDemand],
            group_counts: Mapping[str,
                                  int], load_s: float) -> ModelChange | None:
    if demand.model == group.model:
        return None
    source = demand_by_model.get(group.model)
    lost = 0.0
    if source is not None:
        if group_counts[group.model] == 1 and source.groups > 0:
            return None
        lost = _last_group_utilization(
            source, group_counts[group.model]) * source.weight
    gained = _last_group_utilization(
        demand, group_counts[demand.model] + 1) * demand.weight
    useful_s = max(0.0, demand.duration_s - load_s)
    saving = gained * useful_s - lost * demand.duration_s
    return ModelChange(group.group, demand.model,
                       saving) if saving > 0 else None


def _last_group_utilization(demand: ModelDemand, groups: int) -> float:
    """Returns the utilization of the last of `groups` groups, from 0 to 1."""
    return min(1.0, max(0.0, demand.groups - (groups - 1)))


def select_adapters(tokens_by_adapter: Mapping[str,
                                               float], present: frozenset[str],
                    *, slots: int, margin: float) -> tuple[str, ...]:
    """Returns the adapters to load in a group: the busiest, with hysteresis.

    Args:
        tokens_by_adapter: the smoothed demand, in tokens.
        present: the currently loaded adapters.
        slots: the number of adapters that fit.
        margin: the factor by which a new adapter must be busier than the one
            that it replaces.
    """

    def sort_key(name: str) -> tuple[float, str]:
        factor = margin if name in present else 1.0
        return (-tokens_by_adapter.get(name, 0.0) * factor, name)

    return tuple(
        sorted(sorted({*tokens_by_adapter, *present}, key=sort_key)[:slots]))
