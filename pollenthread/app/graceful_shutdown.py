"""Graceful shutdown without aborting requests.

Callers cache addresses, so a host keeps serving requests for some time after it
has announced its shutdown. It rejects requests that might not end in time, as
not executed, so that callers retry on another host at once. A stream that its
caller can resume elsewhere may be cut off, so its usual duration counts instead
of the longest one.
"""

import dataclasses

__all__ = ['ShutdownPlan', 'accepts_request', 'may_exit']

_RESUMABLE_ACCEPT_SHARE = 0.3
_EXIT_MARGIN_S = 0.5
# Time for the response to a request whose deadline has passed.
_RESPONSE_MARGIN_S = 0.2


@dataclasses.dataclass(frozen=True)
class ShutdownPlan:
    """The times of a graceful shutdown.

    Attributes:
        grace_s: seconds until the process is killed.
        discovery_cache_s: seconds after which callers no longer use a cached
            address of this host.
    """

    grace_s: float
    discovery_cache_s: float


def accepts_request(plan: ShutdownPlan, elapsed_s: float, *, longest_s: float,
                    is_resumable: bool) -> bool:
    """Whether a new request will end before the process exits.

    Args:
        plan: the times of the shutdown.
        elapsed_s: seconds since its announcement.
        longest_s: seconds that the request may take at most.
        is_resumable: whether the response is a stream that the caller can
            resume at another host.
    """
    if is_resumable:
        return elapsed_s < plan.grace_s * _RESUMABLE_ACCEPT_SHARE
    ends_after_s = elapsed_s + longest_s + _RESPONSE_MARGIN_S
    return ends_after_s <= plan.grace_s - _EXIT_MARGIN_S


def may_exit(plan: ShutdownPlan, elapsed_s: float, in_progress: int) -> bool:
    """Whether the process may exit.

    Args:
        plan: the times of the shutdown.
        elapsed_s: seconds since its announcement.
        in_progress: the number of requests in progress.
    """
    if elapsed_s >= plan.grace_s - _EXIT_MARGIN_S:
        return True
    return in_progress == 0 and elapsed_s >= plan.discovery_cache_s
