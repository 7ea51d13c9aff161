"""The queue before an upstream: importance, fair shares and deadlines."""

import collections
import dataclasses

__all__ = ['AdmissionQueue', 'IMPORTANCE_LEVELS', 'AdmissionRequest']

IMPORTANCE_LEVELS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """One attempt that asks for its turn.

    Attributes:
        attempt: the attempt's id.
        workspace: whose share it takes.
        work_class: the class's name.
        importance: 0 to 2; higher goes first.
        arrived_at: seconds.
        due_at: seconds by which its first unit, or its whole answer, is due.
        whole: whether the whole answer, not the first unit, is due then.
        between_tokens_s: target between tokens, or zero.
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
    """Orders tickets by importance, then by equal shares of the workspaces.

    Shares are start-time fair: a workspace that was idle begins at the current
    virtual time, so that an idle share is lent and not saved up.
    """

    def __init__(self) -> None:
        self._levels: list[dict[str, collections.deque[AdmissionRequest]]] = [
            {} for _ in range(IMPORTANCE_LEVELS)
        ]
        self._served_by_workspace: dict[str, float] = {}
        self._virtual_time = 0.0
        self.lengths = [0] * IMPORTANCE_LEVELS

    def __len__(self) -> int:
        return sum(self.lengths)

    @property
    def next_importance(self) -> int | None:
        """The importance of the ticket whose turn it is."""
        for importance in reversed(range(IMPORTANCE_LEVELS)):
            if self.lengths[importance]:
                return importance
        return None

    def count_ahead(self, ticket: AdmissionRequest) -> int:
        """Tickets that would have their turn before a new one."""
        level = self._levels[ticket.importance]
        own = len(level.get(ticket.workspace, ())) + 1
        same = sum(min(len(queue), own) for queue in level.values())
        return same + sum(self.lengths[ticket.importance + 1:])

    def push(self, ticket: AdmissionRequest) -> None:
        """Adds a ticket."""
        level = self._levels[ticket.importance]
        if ticket.workspace not in level:
            level[ticket.workspace] = collections.deque()
            self._join(ticket.workspace)
        level[ticket.workspace].append(ticket)
        self.lengths[ticket.importance] += 1

    def record_served(self, workspace: str) -> None:
        """Counts a turn against the workspace's share."""
        self._join(workspace)
        self._virtual_time = self._served_by_workspace[workspace]
        self._served_by_workspace[workspace] += 1.0

    def pop(self) -> AdmissionRequest | None:
        """Takes the ticket whose turn it is."""
        importance = self.next_importance
        if importance is None:
            return None
        level = self._levels[importance]
        workspace = min(level, key=self._served_by_workspace.__getitem__)
        ticket = level[workspace].popleft()
        self._forget_empty(importance, workspace)
        self.lengths[importance] -= 1
        self.record_served(workspace)
        return ticket

    def remove(self, ticket: AdmissionRequest) -> bool:
        """Takes out a ticket that nobody waits for; False when it is gone."""
        queue = self._levels[ticket.importance].get(ticket.workspace)
        if queue is None or ticket not in queue:
            return False
        queue.remove(ticket)
        self._forget_empty(ticket.importance, ticket.workspace)
        self.lengths[ticket.importance] -= 1
        return True

    def remove_due_before(self, time_s: float) -> list[AdmissionRequest]:
        """Takes out tickets that are due before a time."""
        dropped = []
        for level in self._levels:
            for queue in list(level.values()):
                dropped += [t for t in queue if t.due_at < time_s]
        for ticket in dropped:
            self.remove(ticket)
        return dropped

    def _join(self, workspace: str) -> None:
        served = self._served_by_workspace.get(workspace, 0.0)
        self._served_by_workspace[workspace] = max(served, self._virtual_time)

    def _forget_empty(self, importance: int, workspace: str) -> None:
        if not self._levels[importance][workspace]:
            del self._levels[importance][workspace]
        if len(self._served_by_workspace) > _MAX_IDLE_WORKSPACES:
            waiting = {w for level in self._levels for w in level}
            self._served_by_workspace = {
                w: served
                for w, served in self._served_by_workspace.items()
                if w in waiting or served > self._virtual_time or w == workspace
            }


_MAX_IDLE_WORKSPACES = 64
