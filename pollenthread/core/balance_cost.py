"""Accounting of the cost and savings of expert rebalancing."""

import dataclasses
from typing import Any

from pollenthread.core import rebalance

__all__ = ['BalanceCost', 'SKEW_BOUNDS', 'add_plan', 'add_skew', 'merge']

SKEW_BOUNDS = (1.02, 1.05, 1.1, 1.2, 1.5, 2.0)
"""Upper bounds of the skew histogram; one more bin is unbounded."""


@dataclasses.dataclass(frozen=True)
class BalanceCost:
    """The totals of one group.

    Attributes:
        experts_moved: the number of experts loaded by ranks.
        bytes_reloaded: the bytes of weights read from the weight store.
        loading_lost_capacity_s: the capacity-seconds lost while ranks loaded.
        stalled_steps: the number of steps that waited for a switch.
        switches: the number of committed switches.
        seconds_by_skew: the seconds spent in each bin of `SKEW_BOUNDS`.
        skew_lost_capacity_s: the capacity-seconds lost by waiting for the
            slowest rank.
        expected_saving_capacity_s: the expected savings of the plans, in
            capacity-seconds.
    """

    experts_moved: int = 0
    bytes_reloaded: int = 0
    loading_lost_capacity_s: float = 0.0
    stalled_steps: int = 0
    switches: int = 0
    seconds_by_skew: tuple[float, ...] = (0.0,) * (len(SKEW_BOUNDS) + 1)
    skew_lost_capacity_s: float = 0.0
    expected_saving_capacity_s: float = 0.0

    @property
    def net_capacity_s(self) -> float:
        """The expected net saving of the plans, in capacity-seconds."""
        return self.expected_saving_capacity_s - self.loading_lost_capacity_s


def add_plan(cost: BalanceCost, plan: rebalance.RebalancePlan, *,
             expert_bytes: int, stalled_steps: int) -> BalanceCost:
    """Returns the totals including an executed plan."""
    return dataclasses.replace(
        cost,
        experts_moved=cost.experts_moved + plan.experts,
        bytes_reloaded=cost.bytes_reloaded + plan.experts * expert_bytes,
        loading_lost_capacity_s=cost.loading_lost_capacity_s + plan.cost,
        stalled_steps=cost.stalled_steps + stalled_steps,
        switches=cost.switches + 1,
        expected_saving_capacity_s=(cost.expected_saving_capacity_s +
                                    plan.saving))


def add_skew(cost: BalanceCost, *, skew: float, seconds: float,
             ranks: int) -> BalanceCost:
    """Returns the totals including an interval with constant skew.

    Args:
        cost: the totals so far.
        skew: the skew in the interval.
        seconds: the length of the interval.
        ranks: the number of ranks in the group.
    """
    index = next((i for i, bound in enumerate(SKEW_BOUNDS) if skew <= bound),
                 len(SKEW_BOUNDS))
    bins = list(cost.seconds_by_skew)
    bins[index] += seconds
    lost = ranks * seconds * (1 - 1 / skew)
    return dataclasses.replace(cost,
                               seconds_by_skew=tuple(bins),
                               skew_lost_capacity_s=cost.skew_lost_capacity_s +
                               lost)


def merge(first: BalanceCost, second: BalanceCost) -> BalanceCost:
    """Returns the sum of two totals."""
    values: dict[str, Any] = {}
    for field in dataclasses.fields(BalanceCost):
        one, other = getattr(first, field.name), getattr(second, field.name)
        if isinstance(one, tuple):
            values[field.name] = tuple(x + y for x, y in zip(one, other))
        else:
            values[field.name] = one + other
    return BalanceCost(**values)
