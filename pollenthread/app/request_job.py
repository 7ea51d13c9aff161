"""One request on its way from a caller to a server and back."""

import dataclasses

from pollenthread.core import (caller_request, errors, event_stream,
                               routing_config, stream_timing)
from pollenthread.ports import caller_response

__all__ = ['Failed', 'Job']

_URGENCY = 5
_MAX_URGENCY = 9
# Servers that restarted take new work again after some seconds.
_RETURN_S = 2.5
_RETURN_SHARE = 0.33


class Failed(Exception):
    """The request ends with a failure of the product's own."""

    def __init__(self, failure: errors.Failure) -> None:
        super().__init__(failure.detail)
        self.failure = failure


@dataclasses.dataclass
class Job:
    """One request on its way.

    Attributes:
        request: the caller's request.
        route: its route.
        service: the service that serves it.
        workspace: the holder of its key, or None.
        deadline: monotonic seconds at which its answer is of no use.
        answer: where the answer goes.
        tried: ids of the servers that were tried.
        sent: how many servers it was sent to.
        may_have_run: whether a server may have run it.
        splitter: the events sent to the caller, for a stream.
        cause: the last failure of an attempt.
        is_late: whether the caller has missed its aim before this try.
        timing: when the parts of its answer came, for a stream.
    """

    request: caller_request.CallerRequest
    route: routing_config.Route
    service: str
    workspace: routing_config.Workspace | None
    deadline: float
    answer: caller_response.CallerResponse
    is_late: bool = False
    tried: list[str] = dataclasses.field(default_factory=list)
    sent: int = 0
    may_have_run: bool = False
    splitter: event_stream.EventSplitter = dataclasses.field(
        default_factory=event_stream.EventSplitter)
    cause: str = ''
    timing: stream_timing.StreamTiming = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        self.timing = stream_timing.StreamTiming(self.request.received_at)

    @property
    def last_event_id(self) -> str | None:
        """Where a stream goes on."""
        return self.splitter.last_id or self.request.last_event_id

    @property
    def is_stream(self) -> bool:
        """Whether a stream is asked for."""
        return self.route.kind is routing_config.RequestKind.STREAM

    @property
    def urgency(self) -> int:
        """The server's order of admission; 0 is first.

        By workspace, then by route.
        """
        priority = self.route.priority
        if self.workspace is not None and self.workspace.priority is not None:
            priority = self.workspace.priority
        return min(_MAX_URGENCY, _URGENCY + priority) if priority else _URGENCY

    def given_up(self, kind: errors.Kind, now: float) -> errors.Failure:
        """The failure of a request that no server is asked for any more.

        Args:
            kind: why, if no server may have run it.
            now: monotonic seconds.
        """
        if self.may_have_run:
            return errors.failure(errors.Kind.UPSTREAM_FAILED, self.cause)
        if kind is errors.Kind.UPSTREAM_FAILED:
            kind = errors.Kind.OVERLOADED
        return_s = min(_RETURN_S, (self.deadline - now) * _RETURN_SHARE)
        return errors.failure(kind,
                              self.cause,
                              retry_after_s=round(return_s, 2))

    def timed_out(self) -> errors.Failure:
        """The failure of a request whose time is over."""
        if self.may_have_run:
            return errors.failure(errors.Kind.DEADLINE_PASSED, self.cause)
        return errors.failure(errors.Kind.DEADLINE_TOO_SHORT, self.cause)
