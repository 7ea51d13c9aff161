"""The admission queue of an upstream.

Requests are ordered by importance, then by fair queueing over workspaces.
"""

import collections
import dataclasses

from pollenthread.core.admission import fair_shares

__all__ = ['AdmissionQueue', 'IMPORTANCE_LEVELS', 'AdmissionRequest']

IMPORTANCE_LEVELS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """The request of one attempt for a slot at the upstream.

    Attributes:
        attempt: the attempt's id.
        workspace: the workspace whose fair share it uses.
        work_class: the name of its class of work.
        importance: 0 to 2; higher is served first.
        arrived_at: monotonic seconds of its arrival.
        due_at: monotonic seconds at which the first unit, or the whole
            response, is due.
        due_whole: whether `due_at` applies to the whole response instead of
            the first unit.
        between_tokens_s: target time between tokens in seconds, or zero.
    """

    attempt: str
    workspace: str
    work_class: str
    importance: int
    arrived_at: float
    due_at: float
    due_whole: bool = False
    between_tokens_s: float = 0.0


class AdmissionQueue:
    """Orders requests by importance, then by fair shares of the workspaces.

    Attributes:
        lengths: number of queued requests, indexed by importance.
    """

    def __init__(self) -> None:
        self._levels: list[dict[str, collections.deque[AdmissionRequest]]] = [
            {} for _ in range(IMPORTANCE_LEVELS)
        ]
        self._shares = fair_shares.FairShares()
        self.lengths = [0] * IMPORTANCE_LEVELS

    def __len__(self) -> int:
        return sum(self.lengths)

    @property
    def next_importance(self) -> int | None:
        """The importance of the next request, or None if the queue is empty."""
        for importance in reversed(range(IMPORTANCE_LEVELS)):
            if self.lengths[importance]:
                return importance
        return None

    def count_ahead(self, request: AdmissionRequest) -> int:
        """Returns how many queued requests would be served before a new one."""
        level = self._levels[request.importance]
        own = len(level.get(request.workspace, ())) + 1
        same = sum(min(len(queue), own) for queue in level.values())
        return same + sum(self.lengths[request.importance + 1:])

    def push(self, request: AdmissionRequest) -> None:
        """Adds a request to the queue."""
        level = self._levels[request.importance]
        if request.workspace not in level:
            level[request.workspace] = collections.deque()
            self._shares.activate(request.workspace)
        level[request.workspace].append(request)
        self.lengths[request.importance] += 1

    def record_served(self, workspace: str) -> None:
        """Counts a granted slot against the workspace's fair share."""
        self._shares.record_served(workspace)

    def pop(self) -> AdmissionRequest | None:
        """Removes and returns the next request; None if the queue is empty."""
        importance = self.next_importance
        if importance is None:
            return None
        level = self._levels[importance]
        workspace = min(level, key=self._shares.virtual_start)
        request = level[workspace].popleft()
        self._remove_if_empty(importance, workspace)
        self.lengths[importance] -= 1
        self.record_served(workspace)
        return request

    def remove(self, request: AdmissionRequest) -> bool:
        """Removes an abandoned request; returns False if it is not queued."""
        queue = self._levels[request.importance].get(request.workspace)
        if queue is None or request not in queue:
            return False
        queue.remove(request)
        self._remove_if_empty(request.importance, request.workspace)
        self.lengths[request.importance] -= 1
        return True

    def remove_due_before(self, time_s: float) -> list[AdmissionRequest]:
        """Removes and returns the requests that are due before a time."""
        overdue = []
        for level in self._levels:
            for queue in list(level.values()):
                overdue += [
                    request for request in queue if request.due_at < time_s
                ]
        for request in overdue:
            self.remove(request)
        return overdue

    def _remove_if_empty(self, importance: int, workspace: str) -> None:
        if not self._levels[importance][workspace]:
            del self._levels[importance][workspace]
        self._shares.forget_idle(w for level in self._levels for w in level)
