"""Which group loads first from the weight store that all share."""

import dataclasses
from collections.abc import Sequence

__all__ = ['LoadRequest', 'LoadSlot', 'schedule_loads']


@dataclasses.dataclass(frozen=True, slots=True)
class LoadRequest:
    """What a group wants to load.

    Attributes:
        group: the group's name.
        bytes: weights to load.
        saving_per_s: capacity-seconds that the loads save in a second.
        life_s: how long they are expected to be of use, in seconds.
        price: capacity-seconds that they cost.
    """

    group: str
    bytes: int
    saving_per_s: float
    life_s: float
    cost: float


@dataclasses.dataclass(frozen=True, slots=True)
class LoadSlot:
    """A group's turn.

    Attributes:
        group: the group's name.
        start_s: seconds until its loads begin.
        end_s: seconds until they have ended.
    """

    group: str
    start_s: float
    end_s: float


def schedule_loads(requests: Sequence[LoadRequest], *,
                   store_bytes_per_s: float) -> list[LoadSlot]:
    """The turns of those groups whose loads still pay after the wait.

    The greatest saving for a byte goes first: that leaves the least saving to
    those who wait. Equal requests go by name.
    """
    by_worth = sorted(requests, key=lambda item: (-_worth(item), item.group))
    turns = []
    now_s = 0.0
    for item in by_worth:
        end_s = now_s + item.bytes / store_bytes_per_s
        saving = item.saving_per_s * max(0.0, item.life_s - end_s)
        if saving > item.cost:
            turns.append(LoadSlot(item.group, now_s, end_s))
            now_s = end_s
    return turns


def _worth(item: LoadRequest) -> float:
    return item.saving_per_s / item.bytes if item.bytes else float('inf')
