"""Costs and savings of rebalancing experts over the ranks of a group."""

import dataclasses
from collections.abc import Iterable

__all__ = ['SKEW_BOUNDS', 'GroupCost', 'skew_bucket', 'sum_by_group']

SKEW_BOUNDS = (1.02, 1.05, 1.1, 1.2, 1.5, 2.0, float('inf'))
"""Upper bounds of the skew buckets.

Skew is the time of the slowest rank divided by the mean over ranks.
"""


@dataclasses.dataclass(frozen=True)
class GroupCost:
    """The costs of rebalancing one group on one day or a part of it.

    All figures are additive, so that rows of one group and day can be summed.

    Attributes:
        group: the model group's name.
        day: the day in UTC, as year-month-day.
        steps: number of steps of the group.
        skew_sum: sum of the skew over all steps.
        steps_by_skew: number of steps in each bucket of `SKEW_BOUNDS`.
        experts_moved: number of experts moved to another rank.
        experts_moved_back: number of those moved back within an hour.
        bytes_reloaded: bytes read from the weight store for these moves.
        steps_lost: number of steps lost to map switches.
        capacity_s_lost: rank-seconds lost to reloading weights.
        capacity_s_saved: rank-seconds saved by lower skew.
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
        """Mean skew over the steps; None if there are no steps."""
        return self.skew_sum / self.steps if self.steps else None

    @property
    def net_s(self) -> float:
        """Net rank-seconds gained by rebalancing."""
        return self.capacity_s_saved - self.capacity_s_lost

    def skew_percentile_bound(self, share: float) -> float | None:
        """Returns the lowest bucket bound that covers a share of the steps.

        Args:
            share: the share of the steps, such as 0.99 for a 99th percentile.

        Returns:
            The bound, or None if there are no steps.
        """
        cumulative_steps = 0
        for count, bound in zip(self.steps_by_skew, SKEW_BOUNDS):
            cumulative_steps += count
            if self.steps and cumulative_steps >= share * self.steps:
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
    """Returns the index of the bucket in `SKEW_BOUNDS` for a skew."""
    return next(i for i, bound in enumerate(SKEW_BOUNDS) if skew <= bound)


def sum_by_group(rows: Iterable[GroupCost]) -> tuple[GroupCost, ...]:
    """Sums rows to one row per group and day, sorted."""
    total: dict[tuple[str, str], GroupCost] = {}
    for row in rows:
        key = (row.group, row.day)
        total[key] = total.get(key, GroupCost(group=row.group,
                                              day=row.day)) + row
    return tuple(total[key] for key in sorted(total))
