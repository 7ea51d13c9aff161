"""A rate that bounds how much is spent, with a small burst."""

import dataclasses

__all__ = ['Budget', 'refill', 'spend', 'wait_s']


@dataclasses.dataclass(frozen=True, slots=True)
class Budget:
    """What may be spent.

    Attributes:
        rate_per_s: units added in a second.
        burst: units that may gather.
        units: units left; negative after spending ahead.
        at: monotonic seconds at which `units` was true.
    """

    rate_per_s: float
    burst: float
    units: float
    at: float


def refill(budget: Budget, now: float) -> Budget:
    """Adds what time has brought."""
    added = max(0.0, now - budget.at) * budget.rate_per_s
    return dataclasses.replace(budget,
                               units=min(budget.burst, budget.units + added),
                               at=now)


def spend(budget: Budget, units: float, now: float) -> Budget:
    """Takes units away, ahead of time if need be."""
    budget = refill(budget, now)
    return dataclasses.replace(budget, units=budget.units - units)


def wait_s(budget: Budget, now: float) -> float:
    """Seconds until the budget is out of debt."""
    return max(0.0, -refill(budget, now).units / budget.rate_per_s)
