"""Places work elsewhere that waits in a data centre which has been emptied."""

from collections.abc import Callable, Iterable

from pollenthread.app import pending_attempt, request_job, serving_state
from pollenthread.core import crash_evidence
from pollenthread.ports import clock

__all__ = ['AttemptRecall']

# A server that is about to begin should not lose the request.
_MIN_WAIT_S = 0.3


class AttemptRecall:
    """Ends attempts that have not begun at servers that are to be left.

    An attempt is ended only if its request may be repeated, another server has
    room for it, and the retry budget allows that. What has begun may end.
    """

    def __init__(self, *, state: serving_state.ServingState,
                 may_retry: Callable[[request_job.RequestJob], bool],
                 has_room: Callable[[request_job.RequestJob],
                                    bool], time: clock.Clock) -> None:
        """Creates the recall of a host.

        Args:
            state: the emptied data centres and the retry budgets.
            may_retry: whether the route of a request allows a retry.
            has_room: whether a server has a free slot for a retry.
            time: the clock.
        """
        self._state = state
        self._may_retry = may_retry
        self._has_room = has_room
        self._clock = time

    def recall(self,
               attempts: Iterable[pending_attempt.PendingAttempt]) -> None:
        """Ends the attempts that can be placed elsewhere.

        Args:
            attempts: the attempts of this host.
        """
        emptied = self._state.evacuations.data_centres
        if not emptied:
            return
        for pending in attempts:
            if (pending.server.data_centre in emptied and
                    self._has_not_begun(pending) and
                    self._can_be_placed(pending.job)):
                pending.recall(self._clock.monotonic())

    def _has_not_begun(self, pending: pending_attempt.PendingAttempt) -> bool:
        waited_s = self._clock.monotonic() - pending.progressed_at
        return (pending.stage is crash_evidence.AttemptStage.SENT and
                not pending.is_recalled and waited_s > _MIN_WAIT_S)

    def _can_be_placed(self, job: request_job.RequestJob) -> bool:
        budget = self._state.retry_budget_for(job.service)
        return (job.route.is_repeatable and
                self._may_retry(job) and budget.allows(
                    self._clock.monotonic(), self._state.entry_host_count) and
                self._has_room(job))
