"""What keeping the load even costs, and what it saves."""

import dataclasses
from collections.abc import Iterable

__all__ = ['SKEW_BOUNDS', 'GroupCost', 'skew_bucket', 'sum_by_group']

SKEW_BOUNDS = (1.02, 1.05, 1.1, 1.2, 1.5, 2.0, float('inf'))
"""Upper bounds of the buckets of skew: slowest rank over mean rank."""


@dataclasses.dataclass(frozen=True)
class GroupCost:
    """The cost side of the account, of one group and day or a part of a day.

    All figures add up, so that rows of one group and day can be summed.

    Attributes:
        group: the model group's name.
        day: the day in UTC, as year-month-day.
        steps: steps that the group made.
        skew_sum: sum over the steps of slowest over mean rank.
        steps_by_skew: steps in each bucket of `SKEW_BOUNDS`.
        experts_moved: experts that changed their rank.
        experts_moved_back: those of them that returned within an hour.
        bytes_reloaded: bytes read from the weight store for them.
        steps_lost: steps that the switches held up.
        capacity_s_lost: seconds of one rank's work lost to reloading.
        capacity_s_saved: seconds of one rank's work saved by lower skew.
    """

    group: str
    day: str
    steps: int = 0
    skew_sum: float = 0.0
    steps_by_skew: tuple[int, ...] = (0,) * len(SKEW_BOUNDS)
    experts_moved: int = 0
    experts_moved_back: int = 0
    bytes_reloaded: int = 0
    steps_lost: int = 0
    capacity_s_lost: float = 0.0
    capacity_s_saved: float = 0.0

    @property
    def skew_mean(self) -> float | None:
        """Mean skew over the steps; None without steps."""
        return self.skew_sum / self.steps if self.steps else None

    @property
    def net_s(self) -> float:
        """Seconds of one rank's work gained by rebalancing."""
        return self.capacity_s_saved - self.capacity_s_lost

    def skew_bound(self, share: float) -> float | None:
        """The lowest bound that holds for a share of the steps, such as 0.99.
        """
        seen = 0
        for count, bound in zip(self.steps_by_skew, SKEW_BOUNDS):
            seen += count
            if self.steps and seen >= share * self.steps:
                return bound
        return None

    def __add__(self, other: 'GroupCost') -> 'GroupCost':
        return GroupCost(
            group=self.group,
            day=self.day,
            steps=self.steps + other.steps,
            skew_sum=self.skew_sum + other.skew_sum,
            steps_by_skew=tuple(
                a + b for a, b in zip(self.steps_by_skew, other.steps_by_skew)),
            experts_moved=self.experts_moved + other.experts_moved,
            experts_moved_back=(self.experts_moved_back +
                                other.experts_moved_back),
            bytes_reloaded=self.bytes_reloaded + other.bytes_reloaded,
            steps_lost=self.steps_lost + other.steps_lost,
            capacity_s_lost=self.capacity_s_lost + other.capacity_s_lost,
            capacity_s_saved=self.capacity_s_saved + other.capacity_s_saved)


def skew_bucket(skew: float) -> int:
    """The bucket of `SKEW_BOUNDS` that a step counts to."""
    return next(i for i, bound in enumerate(SKEW_BOUNDS) if skew <= bound)


def sum_by_group(rows: Iterable[GroupCost]) -> tuple[GroupCost, ...]:
    """One row for each group and day, in order."""
    total: dict[tuple[str, str], GroupCost] = {}
    for row in rows:
        key = (row.group, row.day)
        total[key] = total.get(key, GroupCost(group=row.group,
                                              day=row.day)) + row
    return tuple(total[key] for key in sorted(total))
