"""The order in which waiting requests of one service are sent.

Requests that can still be in time come first, by level. One that is late
already loses nothing by waiting further, until its caller is about to leave:
then it goes before all less important levels. Other late requests come last.
Within a rank the workspaces take turns, and each sends its most pressing
request first.

Strict ranks alone would starve the last levels while the others fill all room,
so those behind the first get a fixed share of the turns for each level that
waits, in their order.
"""

import dataclasses
import math
from collections.abc import Callable, Iterator

from pollenthread.core.admission import fair_shares

__all__ = ['WaitingQueue', 'WaitingRequest']

# A level is to be served at least a quarter as often as the others, also if it
# is a small part of the demand.
_FLOOR_SHARE = 0.1
# Share of its patience for which a caller that leaves soon still waits.
_LEAVING_SHARE = 0.3


@dataclasses.dataclass(eq=False, slots=True)
class WaitingRequest:
    """A request that waits for room at the servers.

    Times are monotonic seconds.

    Attributes:
        id: the request's id.
        level: its level of importance; 0 is the most important.
        workspace: the workspace whose share it uses.
        joined_at: when it began to wait.
        in_time_until: the latest start with which it is in time; -inf if it is
            late in any case.
        leaves_at: the latest start with which its caller gets an event before
            giving up.
        size_bytes: the memory that it takes.
        not_before: the earliest time at which it is sent.
    """

    id: str
    level: int
    workspace: str
    joined_at: float
    in_time_until: float
    leaves_at: float
    size_bytes: int
    not_before: float = -math.inf

    def is_in_time(self, now: float) -> bool:
        """Whether the request can still be in time."""
        return now <= self.in_time_until

    def is_leaving(self, now: float) -> bool:
        """Whether its caller is about to give up."""
        patience_s = self.leaves_at - self.joined_at
        return self.leaves_at - now < patience_s * _LEAVING_SHARE

    def rank(self, now: float) -> int:
        """Returns the order of the request; the least rank goes first."""
        if self.is_in_time(now):
            return 2 * self.level
        if self.is_leaving(now):
            return 2 * self.level + 1
        return _FIRST_LATE_RANK + self.level


_FIRST_LATE_RANK = 1000


class WaitingQueue:
    """The waiting requests of one service, bounded in number and bytes."""

    def __init__(self, *, max_requests: int, max_bytes: int) -> None:
        self._max_requests = max_requests
        self._max_bytes = max_bytes
        self._requests: list[WaitingRequest] = []
        self._shares = fair_shares.FairShares()
        # Turns due to the levels behind the first, which waited for others.
        self._due_turns = 0.0
        self._bytes = 0

    def __len__(self) -> int:
        return len(self._requests)

    def __iter__(self) -> Iterator[WaitingRequest]:
        return iter(self._requests)

    def push(self, request: WaitingRequest, now: float) -> list[WaitingRequest]:
        """Adds a request.

        Returns:
            The requests that had to leave the queue for lack of space, those
            of the last rank first; the new one may be among them.
        """
        self._requests.append(request)
        self._bytes += request.size_bytes
        self._shares.activate(request.workspace)
        removed = []
        while (len(self._requests) > self._max_requests or
               self._bytes > self._max_bytes):
            last = max(self._requests, key=lambda r: (r.rank(now), r.joined_at))
            self.remove(last)
            removed.append(last)
        return removed

    def remove(self, request: WaitingRequest) -> None:
        """Removes a request, if it is queued."""
        if request in self._requests:
            self._requests.remove(request)
            self._bytes -= request.size_bytes
            self._shares.forget_idle(r.workspace for r in self._requests)

    def next(
        self,
        now: float,
        may_go: Callable[[WaitingRequest], bool] = lambda request: True
    ) -> WaitingRequest | None:
        """Returns the request to be sent next; None if there is none now.

        Args:
            now: monotonic seconds.
            may_go: returns whether there is room for a request.
        """
        ready = [r for r in self._requests if r.not_before <= now and may_go(r)]
        due = [r for r in ready if r.level > 0 and self._due_turns >= 1.0]
        return min(due or ready,
                   key=lambda r:
                   (r.rank(now), self._shares.virtual_start(r.workspace), r.
                    in_time_until, r.leaves_at),
                   default=None)

    def record_turn(self, level: int) -> None:
        """Records that a request of a level was sent, from the queue or not."""
        if level > 0:
            self._due_turns = max(0.0, self._due_turns - 1.0)
        waiting_levels = {r.level for r in self._requests if r.level > level}
        self._due_turns += _FLOOR_SHARE * len(waiting_levels)

    def record_sent(self, request: WaitingRequest) -> None:
        """Removes a request that was sent, and charges its workspace."""
        self.record_turn(request.level)
        self._shares.record_served(request.workspace)
        self.remove(request)

    def count_by_class(self, classes: int, now: float) -> tuple[int, ...]:
        """Returns the number of waiting requests by class of demand.

        Args:
            classes: the number of classes; the last one is of late requests.
            now: monotonic seconds.
        """
        counts = [0] * classes
        for request in self._requests:
            late = classes - 1
            index = request.level if request.is_in_time(now) else late
            counts[min(index, late)] += 1
        return tuple(counts)
