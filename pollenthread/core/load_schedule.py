"""Scheduling of loads from the weight store that all groups share."""

import dataclasses
from collections.abc import Sequence

__all__ = ['LoadRequest', 'LoadSlot', 'schedule_loads']


@dataclasses.dataclass(frozen=True, slots=True)
class LoadRequest:
    """A request of a group to load weights.

    Attributes:
        group: the name of the group.
        bytes: the bytes of weights to load.
        saving_per_s: the capacity-seconds saved per second by the loads.
        useful_life_s: the expected useful life of the loads, in seconds.
        cost: the cost of the loads, in capacity-seconds.
    """

    group: str
    bytes: int
    saving_per_s: float
    useful_life_s: float
    cost: float


@dataclasses.dataclass(frozen=True, slots=True)
class LoadSlot:
    """The scheduled time of the loads of a group.

    Attributes:
        group: the name of the group.
        start_s: the seconds from now until its loads begin.
        end_s: the seconds from now until its loads end.
    """

    group: str
    start_s: float
    end_s: float


def schedule_loads(requests: Sequence[LoadRequest], *,
                   store_bytes_per_s: float) -> list[LoadSlot]:
    """Schedules the requests that are still profitable after the wait.

    Requests are ordered by decreasing saving per byte, which minimizes the
    saving lost by waiting; equal requests are ordered by group name.

    Args:
        requests: the requests of the groups.
        store_bytes_per_s: the throughput of the weight store.
    """
    prioritized = sorted(requests,
                         key=lambda item: (-_saving_per_byte(item), item.group))
    slots = []
    now_s = 0.0
    for item in prioritized:
        end_s = now_s + item.bytes / store_bytes_per_s
        saving = item.saving_per_s * max(0.0, item.useful_life_s - end_s)
        if saving > item.cost:
            slots.append(LoadSlot(item.group, now_s, end_s))
            now_s = end_s
    return slots


def _saving_per_byte(item: LoadRequest) -> float:
    return item.saving_per_s / item.bytes if item.bytes else float('inf')
