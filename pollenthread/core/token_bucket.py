"""A token bucket that may go into debt."""

import dataclasses

__all__ = ['TokenBucket', 'refill', 'spend', 'wait_s']


@dataclasses.dataclass(frozen=True, slots=True)
class TokenBucket:
    """The state of a token bucket.

    Attributes:
        rate_per_s: tokens added per second.
        burst: capacity of the bucket, in tokens.
        tokens: tokens left; negative while in debt.
        updated_at: monotonic seconds at which `tokens` was computed.
    """

    rate_per_s: float
    burst: float
    tokens: float
    updated_at: float


def refill(bucket: TokenBucket, now: float) -> TokenBucket:
    """Returns the bucket with the tokens added since its last update."""
    added = max(0.0, now - bucket.updated_at) * bucket.rate_per_s
    return dataclasses.replace(bucket,
                               tokens=min(bucket.burst, bucket.tokens + added),
                               updated_at=now)


def spend(bucket: TokenBucket, tokens: float, now: float) -> TokenBucket:
    """Returns the bucket after taking tokens; it may go into debt."""
    bucket = refill(bucket, now)
    return dataclasses.replace(bucket, tokens=bucket.tokens - tokens)


def wait_s(bucket: TokenBucket, now: float) -> float:
    """Returns the seconds until the bucket is out of debt."""
    return max(0.0, -refill(bucket, now).tokens / bucket.rate_per_s)
