"""Graceful shutdown without aborting requests.

Callers cache addresses, so a host keeps serving requests for some time after it
has announced its shutdown. It rejects streams that could not end in time, as
not executed, so that callers retry on another host at once.
"""

import dataclasses

__all__ = ['ShutdownPlan', 'accepts_request', 'may_exit']

_STREAM_ACCEPT_SHARE = 0.3
_WHOLE_ACCEPT_SHARE = 0.75
_EXIT_MARGIN_S = 0.5


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


def accepts_request(plan: ShutdownPlan, elapsed_s: float, *,
                    is_stream: bool) -> bool:
    """Whether a new request can complete before the process exits.

    Args:
        plan: the times of the shutdown.
        elapsed_s: seconds since its announcement.
        is_stream: whether the response is a stream.
    """
    share = _STREAM_ACCEPT_SHARE if is_stream else _WHOLE_ACCEPT_SHARE
    return elapsed_s < plan.grace_s * share


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
