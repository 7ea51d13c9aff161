"""Graceful shutdown without aborting requests.

Callers cache addresses, so a host keeps serving requests for some time after it
has announced its shutdown. It rejects requests that might not end in time, as
not executed, so that callers retry on another host at once. A stream that its
caller can resume elsewhere may be cut off, so its usual duration counts instead
of the longest one.

A response that is written may still wait in the send buffer of its connection.
The host does not exit before it is sent, unless its caller has stopped reading.
"""

import dataclasses
from collections.abc import Mapping

__all__ = ['ShutdownPlan', 'UnsentResponses', 'accepts_request', 'may_exit']

_RESUMABLE_ACCEPT_SHARE = 0.3
_EXIT_MARGIN_S = 0.5
# Time for the response to a request whose deadline has passed.
_RESPONSE_MARGIN_S = 0.2
# Longer than the pauses between the acknowledgements of a slow link.
_UNREAD_TIMEOUT_S = 2.0


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
        in_progress: the number of requests in progress, and of responses that
            are still being sent.
    """
    if elapsed_s >= plan.grace_s - _EXIT_MARGIN_S:
        return True
    return in_progress == 0 and elapsed_s >= plan.discovery_cache_s


class UnsentResponses:
    """Tells callers that read slowly from callers that have stopped reading."""

    def __init__(self) -> None:
        self._unsent_bytes_by_id: dict[int, int] = {}
        self._progress_at_by_id: dict[int, float] = {}

    def update(self, now: float, unsent_bytes_by_id: Mapping[int, int]) -> int:
        """Records what is unsent now.

        Args:
            now: monotonic time in seconds.
            unsent_bytes_by_id: bytes of responses that are written and not yet
                sent, by connection; without those that have none.

        Returns:
            The number of connections whose callers are still reading.
        """
        progress_at_by_id = {}
        for connection_id, unsent in unsent_bytes_by_id.items():
            has_progress = unsent != self._unsent_bytes_by_id.get(connection_id)
            progress_at_by_id[connection_id] = (
                now if has_progress else self._progress_at_by_id[connection_id])
        self._unsent_bytes_by_id = dict(unsent_bytes_by_id)
        self._progress_at_by_id = progress_at_by_id
        return sum(1 for progress_at in progress_at_by_id.values()
                   if now - progress_at < _UNREAD_TIMEOUT_S)
