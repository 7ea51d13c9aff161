"""The state of one request that an entry host forwards."""

import dataclasses

from pollenthread.core import (caller_request, crash_evidence, errors,
                               resumable_events, routing_config, stream_timing)
from pollenthread.core.admission import levels
from pollenthread.core.routing import work_estimate
from pollenthread.ports import caller_response

__all__ = ['RequestFailed', 'RequestJob']

# Admission priority at a server: 0 is admitted first, 9 last.
_DEFAULT_PRIORITY = 5
_MAX_PRIORITY = 9
# A restarted server accepts requests again after a few seconds.
_MAX_RETRY_AFTER_S = 2.5
_RETRY_AFTER_SHARE = 0.33


class RequestFailed(Exception):
    """The request ends with a failure that the load balancer reports.

    Attributes:
        failure: the failure to send to the caller.
    """

    def __init__(self, failure: errors.Failure) -> None:
        super().__init__(failure.detail)
        self.failure = failure


@dataclasses.dataclass
class RequestJob:
    """One request with the progress of its attempts.

    Attributes:
        request: the caller's request.
        route: the route that matches the request.
        service: the service that the request is sent to.
        workspace: the owner of the request's key, or None.
        deadline: monotonic seconds after which the response is of no use.
        caller_response: receives the response for the caller.
        has_missed_target: whether the latency target was missed before this
            request arrived, as a retry by its caller.
        tried_server_ids: ids of the servers that an attempt was sent to.
        attempt_count: attempts that may have reached a server.
        may_have_run: whether a server may have executed the request.
        event_splitter: splits a stream into events; holds the id of the
            last one.
        last_failure: the cause of the latest failed attempt.
        timing: arrival times of a stream's events.
        work: the work that it is expected to cause at a server.
        parts: ids of the parts that may crash servers; see `crash_evidence`.
    """

    request: caller_request.CallerRequest
    route: routing_config.Route
    service: str
    workspace: routing_config.KeyWorkspace | None
    deadline: float
    caller_response: caller_response.CallerResponse
    has_missed_target: bool = False
    tried_server_ids: list[str] = dataclasses.field(default_factory=list)
    attempt_count: int = 0
    may_have_run: bool = False
    event_splitter: resumable_events.ResumableEventSplitter = dataclasses.field(
        default_factory=resumable_events.ResumableEventSplitter)
    last_failure: str = ''
    work: work_estimate.WorkEstimate = work_estimate.WorkEstimate(0.0)
    timing: stream_timing.StreamTiming = dataclasses.field(init=False)
    parts: tuple[str, ...] = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        self.parts = crash_evidence.part_ids(self.request)
        self.timing = stream_timing.StreamTiming(self.request.received_at)

    @property
    def last_event_id(self) -> str | None:
        """The id of the last event that the caller has; None at the start."""
        return self.event_splitter.last_id or self.request.last_event_id

    @property
    def is_stream(self) -> bool:
        """Whether the response is a stream of events."""
        return self.route.kind is routing_config.RequestKind.STREAM

    @property
    def priority(self) -> int:
        """The priority for admission at the server, from 0 (first) to 9."""
        priority = levels.configured_priority(self.route, self.workspace)
        return min(_MAX_PRIORITY, _DEFAULT_PRIORITY +
                   priority) if priority else _DEFAULT_PRIORITY

    def rejection(self,
                  kind: errors.ErrorKind,
                  now: float,
                  *,
                  retry_after_s: float | None = None) -> errors.Failure:
        """Returns the failure for a request that is not retried any more.

        Args:
            kind: the kind to report if no server can have executed the request.
            now: monotonic seconds.
            retry_after_s: seconds after which a retry may succeed, if known.

        Returns:
            The failure, with a retry delay if nothing was executed.
        """
        if self.may_have_run:
            return errors.make_failure(errors.ErrorKind.UPSTREAM_FAILED,
                                       self.last_failure)
        if kind is errors.ErrorKind.UPSTREAM_FAILED:
            kind = errors.ErrorKind.OVERLOADED
        if retry_after_s is None:
            retry_after_s = self.max_retry_after_s(now)
        return errors.make_failure(kind,
                                   self.last_failure,
                                   retry_after_s=round(retry_after_s, 2))

    def max_retry_after_s(self, now: float) -> float:
        """Returns the longest retry delay that leaves time for a response."""
        return min(_MAX_RETRY_AFTER_S,
                   max(0.0, self.deadline - now) * _RETRY_AFTER_SHARE)

    def timeout_failure(self) -> errors.Failure:
        """Returns the failure for a request whose deadline has passed."""
        if self.may_have_run:
            return errors.make_failure(errors.ErrorKind.DEADLINE_PASSED,
                                       self.last_failure)
        return errors.make_failure(errors.ErrorKind.DEADLINE_TOO_SHORT,
                                   self.last_failure)
