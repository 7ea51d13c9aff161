"""Leaving without cutting a request.

Callers keep an old address for a while, so the host goes on answering after it
has said that it leaves. Streams that could not end in time are refused, as not
run, so that the caller goes elsewhere at once.
"""

import dataclasses

__all__ = ['ShutdownPlan', 'may_exit', 'accepts_request']

_STREAMS_SHARE = 0.3
_WHOLE_SHARE = 0.75
_LAST_MOMENT_S = 0.5


@dataclasses.dataclass(frozen=True)
class ShutdownPlan:
    """The times of a planned stop.

    Attributes:
        grace_s: seconds until the process is killed.
        caches_s: seconds after which callers know of the stop.
    """

    grace_s: float
    discovery_cache_s: float


def accepts_request(plan: ShutdownPlan, elapsed_s: float, *, is_stream: bool) -> bool:
    """Whether a new request can end before the process does."""
    share = _STREAMS_SHARE if is_stream else _WHOLE_SHARE
    return elapsed_s < plan.grace_s * share


def may_exit(plan: ShutdownPlan, elapsed_s: float, in_progress: int) -> bool:
    """Whether the process may end."""
    if elapsed_s >= plan.grace_s - _LAST_MOMENT_S:
        return True
    return in_progress == 0 and elapsed_s >= plan.discovery_cache_s
