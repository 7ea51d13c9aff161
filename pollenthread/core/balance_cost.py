"""What balance has cost and saved, for the account."""

import dataclasses
from typing import Any

from pollenthread.core import rebalance

__all__ = ['BalanceCost', 'SKEW_BOUNDS', 'add_plan', 'add_skew', 'merge']

SKEW_BOUNDS = (1.02, 1.05, 1.1, 1.2, 1.5, 2.0)
"""Upper bounds of the histogram's bins; the last bin has none."""


@dataclasses.dataclass(frozen=True)
class BalanceCost:
    """Totals of one group.

    Attributes:
        experts_moved: experts loaded by ranks.
        bytes_reloaded: weights taken from the weight store.
        loading_lost_capacity_s: capacity-seconds lost while ranks loaded.
        stalled_steps: steps that waited for a switch.
        switches: switches committed.
        seconds_by_skew: time spent in each bin of `SKEW_BOUNDS`.
        skew_lost_capacity_s: capacity-seconds lost to the slowest rank.
        expected_saving_capacity_s: what the plans were expected to save.
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
        """What plans were expected to save beyond what they cost."""
        return self.expected_saving_capacity_s - self.loading_lost_capacity_s


def add_plan(cost: BalanceCost, plan: rebalance.RebalancePlan, *,
             expert_bytes: int, stalled_steps: int) -> BalanceCost:
    """Adds a plan that was carried out."""
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
    """Adds a time with one skew."""
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
    """The totals of two groups or times."""
    values: dict[str, Any] = {}
    for field in dataclasses.fields(BalanceCost):
        one, other = getattr(first, field.name), getattr(second, field.name)
        if isinstance(one, tuple):
            values[field.name] = tuple(x + y for x, y in zip(one, other))
        else:
            values[field.name] = one + other
    return BalanceCost(**values)
