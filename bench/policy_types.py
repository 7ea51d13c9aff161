"""Types of the simulation in `bench.policy`: events, requests and policies."""

import dataclasses
import heapq
from collections.abc import Callable
from typing import Any

__all__ = ['EventLoop', 'Policy', 'Request', 'RequestClass']


@dataclasses.dataclass(frozen=True)
class RequestClass:
    """A class of requests.

    Attributes:
        name: name of the class.
        share: share of all requests.
        pool: pool of upstreams that serves it, 'engine' or 'service'.
        importance: importance, higher first.
        tokens: mean number of response tokens.
        latency_target_s: latency target, in seconds, of the first token or,
            without a token gap target, of the whole response.
        token_gap_target_s: target for the mean time between tokens, in
            seconds; 0 for a response that is not streamed.
        repeatable: whether a request may be executed more than once.
        prompt_tokens: number of prompt tokens to prefill, not counting a
            prefix of three times that length.
        token_sigma: sigma of the log-normal number of tokens.
    """

    name: str
    share: float
    pool: str
    importance: int
    tokens: float
    latency_target_s: float
    token_gap_target_s: float = 0.0
    repeatable: bool = True
    prompt_tokens: int = 250
    token_sigma: float = 0.8


@dataclasses.dataclass(frozen=True)
class Policy:
    """A policy: the upstream selection and the mechanisms that are enabled.

    Attributes:
        name: name of the policy in the results.
        selection: how an entry host selects an upstream; 'ours' for the
            selection of pollenthread.
        unseen: adds the load that is not in the last report to the estimate.
        affinity: prefers the upstream that has the prefix of the prompt.
        deadlines: agents order and reject requests by importance and deadline.
        entry_admission: entry hosts reject requests that would be late.
        fairness: agents share their slots between workspaces.
        learned_limit: agents adapt the limit of running requests.
        ejection: entry hosts eject failing upstreams.
        budget: limits retries by a token bucket and delays them.
        hedges: sends a second attempt when the first token is late.
        locality: prefers the upstreams in the data centre of the entry host.
        oracle: selects by the current rather than the reported load.
    """

    name: str = 'ours'
    selection: str = 'ours'
    unseen: bool = True
    affinity: bool = True
    deadlines: bool = True
    entry_admission: bool = True
    fairness: bool = True
    learned_limit: bool = True
    ejection: bool = True
    budget: bool = True
    hedges: bool = True
    locality: bool = True
    oracle: bool = False


@dataclasses.dataclass
class Request:
    """A request and its result.

    Attributes:
        request_id: number of the request.
        request_class: its class.
        workspace: workspace of the caller.
        prefix: key of the prompt prefix.
        tokens: number of response tokens.
        arrived_at: time of arrival in seconds.
        attempts: number of attempts so far.
        failed_hosts: agents that later attempts avoid.
        running_attempts: agents of the running attempts, by attempt name.
        first_token_at: time of the first token in seconds, or None.
        completed_at: time of the end of the response in seconds, or None.
        winning_attempt: name of the attempt that sent the first token.
        rejected: whether the request was rejected without being executed.
        is_local: whether the last attempt went to the same data centre.
    """

    request_id: int
    request_class: RequestClass
    workspace: str
    prefix: bytes
    tokens: int
    arrived_at: float
    attempts: int = 0
    failed_hosts: set[str] = dataclasses.field(default_factory=set)
    running_attempts: dict[str, Any] = dataclasses.field(default_factory=dict)
    first_token_at: float | None = None
    completed_at: float | None = None
    winning_attempt: str = ''
    rejected: bool = False
    is_local: bool = False

    def in_time(self) -> bool:
        """Returns whether the response met the targets of its class."""
        if self.completed_at is None or self.first_token_at is None:
            return False
        if not self.request_class.token_gap_target_s:
            return (self.completed_at - self.arrived_at
                    <= self.request_class.latency_target_s)
        gap_s = (self.completed_at - self.first_token_at) / max(1, self.tokens)
        return (self.first_token_at - self.arrived_at
                <= self.request_class.latency_target_s and
                gap_s <= self.request_class.token_gap_target_s)


class EventLoop:
    """An event loop in virtual time.

    Attributes:
        now: virtual time in seconds.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence_number = 0

    def call_at(self, time_s: float, callback: Callable[[], None]) -> None:
        """Schedules a callback.

        Args:
            time_s: virtual time of the call, in seconds.
            callback: the function to call.
        """
        self._sequence_number += 1
        heapq.heappush(self._heap, (time_s, self._sequence_number, callback))

    def run_until(self, until_s: float) -> None:
        """Runs the callbacks that are due up to a time in seconds."""
        while self._heap and self._heap[0][0] <= until_s:
            self.now, _, callback = heapq.heappop(self._heap)
            callback()
