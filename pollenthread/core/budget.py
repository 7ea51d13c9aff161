"""A rate that bounds how much is spent, with a small burst."""

import dataclasses

__all__ = ['TokenBucket', 'refill', 'spend', 'wait_s']


@dataclasses.dataclass(frozen=True, slots=True)
class TokenBucket:
    """What may be spent.

    Attributes:
        rate_per_s: units added in a second.
        burst: units that may gather.
        units: units left; negative after spending ahead.
        at: monotonic seconds at which `units` was true.
    """

    rate_per_s: float
    burst: float
    tokens: float
    updated_at: float


def refill(budget: TokenBucket, now: float) -> TokenBucket:
    """Adds what time has brought."""
    added = max(0.0, now - budget.updated_at) * budget.rate_per_s
    return dataclasses.replace(budget,
                               tokens=min(budget.burst, budget.tokens + added),
                               updated_at=now)


def spend(budget: TokenBucket, tokens: float, now: float) -> TokenBucket:
    """Takes units away, ahead of time if need be."""
    budget = refill(budget, now)
    return dataclasses.replace(budget, tokens=budget.tokens - tokens)


def wait_s(budget: TokenBucket, now: float) -> float:
    """Seconds until the budget is out of debt."""
    return max(0.0, -refill(budget, now).tokens / budget.rate_per_s)
