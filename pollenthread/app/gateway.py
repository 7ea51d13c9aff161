"""Serves requests: claims keys, sends attempts and returns the response."""

import abc
import asyncio
import dataclasses
import random
from collections.abc import Coroutine
from typing import Any

import result

from pollenthread.app import (claim_store, hedge, relay as relay_module,
                              upstream_pool, upstream_selector)
from pollenthread.core import (account, claims, errors, http_headers, ids,
                               messages, response_timing as timing_module,
                               retries, spans, targets)
from pollenthread.ports import clock, link as link_port

__all__ = ['Gateway', 'GatewayRequest', 'RequestReport', 'ResponseSink']

_MIN_RECORD_RETRY_S = 0.1
_MAX_RECORD_RETRY_S = 5.0
_MIN_TARGET_S = 1e-3
_HEDGE_RETRY_INTERVAL_S = 0.25


@dataclasses.dataclass(frozen=True)
class GatewayRequest:
    """One accepted request of a caller.

    Attributes:
        request_id: the request's id.
        workspace: the workspace's name.
        work_class: the class of the request, with its latency targets.
        key: the idempotency key, or empty.
        kind: 'engine' or 'service'.
        name: the model's or service's name.
        deadline: the time by which the response must end, in monotonic seconds.
        stream: whether the response is a stream of events.
        method: the HTTP method for the upstream.
        path: the path and query for the upstream.
        headers: the headers for the upstream.
        body: the whole request body.
    """

    request_id: str
    workspace: str
    work_class: targets.WorkClass
    key: str
    kind: str
    name: str
    deadline: float
    stream: bool
    method: str
    path: str
    headers: tuple[http_headers.Header, ...]
    body: bytes

    @property
    def count_key(self) -> account.CountKey:
        """The key under which the request is counted."""
        return account.CountKey(self.workspace, self.work_class.name)


@dataclasses.dataclass
class RequestReport:
    """The result of a request.

    Attributes:
        attempts: attempts that were sent to agents.
        failure: why there is no complete response, or None.
        is_replayed: whether the response belongs to an earlier request with the
            same idempotency key.
        started_at: monotonic seconds at which the request arrived.
        response_timing: arrival times of the response's chunks.
        attempt_traces: trace data of its attempts.
    """

    attempts: int = 0
    failure: errors.Failure | None = None
    is_replayed: bool = False
    started_at: float = 0.0
    response_timing: timing_module.ResponseTiming = dataclasses.field(
        default_factory=timing_module.ResponseTiming)
    attempt_traces: list[spans.AttemptTrace] = dataclasses.field(
        default_factory=list)


class ResponseSink(abc.ABC):
    """Writes a response to the caller."""

    @abc.abstractmethod
    async def write_head(self, status: int, headers: tuple[http_headers.Header,
                                                           ...],
                         attempts: int) -> None:
        """Writes the head of the response.

        Args:
            status: the HTTP status code.
            headers: the response headers.
            attempts: attempts sent for the request so far.
        """

    @abc.abstractmethod
    async def write_data(self, data: bytes) -> None:
        """Writes a chunk; waits while the caller reads slowly."""

    def try_write_data(self, data: bytes) -> bool:
        """Writes a chunk if that needs no wait; returns whether it did."""
        del data
        return False

    @abc.abstractmethod
    async def write_end(self) -> None:
        """Ends the response."""


class Gateway:
    """Serves requests through the pool of upstreams.

    Attributes:
        upstream_selector: selects an upstream for each attempt.
    """

    def __init__(self, *, pool: upstream_pool.UpstreamPool,
                 store: claim_store.ClaimStore, time: clock.Clock,
                 rng: random.Random) -> None:
        self._pool = pool
        self._store = store
        self._clock = time
        self.upstream_selector = upstream_selector.UpstreamSelector(pool=pool,
                                                                    time=time,
                                                                    rng=rng)
        self._recordings: set[asyncio.Task[None]] = set()
        self._retained_by_attempt: dict[str, relay_module.RetainedResponse] = {}
        pool.subscribe(messages.Unconfirmed, self._on_unconfirmed)

    @property
    def pending_recordings(self) -> int:
        """Responses that are being received or recorded in the table."""
        return len(self._recordings)

    async def serve(self, request: GatewayRequest, sink: ResponseSink,
                    report: RequestReport) -> None:
        """Serves one request.

        Args:
            request: the request.
            sink: receives the response.
            report: is filled in with the result.
        """
        state = _RequestState(request=request,
                              sink=sink,
                              report=report,
                              requirements=_requirements(
                                  request, self._clock.monotonic()))
        try:
            async with asyncio.timeout(request.deadline -
                                       self._clock.monotonic()):
                await self._serve(state)
        except TimeoutError:
            report.failure = errors.make_failure(
                errors.ErrorKind.DEADLINE_PASSED, executed=state.executed)

    async def _serve(self, state: '_RequestState') -> None:
        request = state.request
        granted: claim_store.GrantedClaim | None = None
        failure: errors.Failure | None = None
        while True:
            selected = self.upstream_selector.select(state.requirements)
            if isinstance(selected, result.Err):
                failure = failure or selected.err_value
                if granted is None and not request.work_class.repeatable:
                    failure = await self._replay_stored_response(state, failure)
                break
            upstream = selected.ok_value
            attempt = state.next_attempt()
            if request.work_class.repeatable:
                failure = await self._run_repeatable_attempt(
                    state, attempt, upstream)
            else:
                decided = await self._claim(state, attempt, upstream, granted)
                granted = None
                if isinstance(decided, result.Err):
                    failure = decided.err_value
                    break
                decision = decided.ok_value
                if isinstance(decision, claim_store.GrantedClaim):
                    granted = decision
                failure = await self._apply_decision(state, attempt, upstream,
                                                     decision)
            if failure is None:
                return
            if not state.allows_retry(failure):
                break
            if not await self.upstream_selector.back_off_before_retry(
                    state.requirements):
                break
        if granted is not None and failure.executed is errors.Executed.NO:
            if not await self._store.release(granted):
                state.may_have_run = True
        if not state.is_answered:
            state.fail(failure)

    async def _replay_stored_response(
            self, state: '_RequestState',
            failure: errors.Failure) -> errors.Failure:
        """Replays a stored response when no upstream is available.

        Args:
            state: the state of the request.
            failure: why no upstream was selected.

        Returns:
            The failure to report if nothing was replayed.
        """
        request = state.request
        found = await self._store.look_up(
            claim_store.row_key(request.workspace, request.key),
            _request_digest(request))
        if isinstance(found, result.Err):
            return found.err_value
        if found.ok_value is not None:
            state.report.is_replayed = True
            await state.deliver_outcome(found.ok_value.outcome)
        return failure

    async def _claim(
        self, state: '_RequestState', attempt: ids.AttemptId,
        upstream: upstream_pool.LinkedUpstream,
        granted: claim_store.GrantedClaim | None
    ) -> result.Result[claim_store.ClaimDecision, errors.Failure]:
        request = state.request
        new_claim = claims.Claim(attempt=str(attempt),
                                 host=upstream.hello.host,
                                 incarnation=upstream.hello.incarnation,
                                 session=upstream.link.session_id,
                                 digest=_request_digest(request))
        if granted is not None:
            reassigned = await self._store.reassign(granted, new_claim)
            if isinstance(reassigned, result.Ok):
                return reassigned
            # Another request with this key may have taken over the claim.
            state.may_have_run = True
        key = claim_store.row_key(request.workspace, request.key)
        return await self._store.acquire(key, new_claim)

    async def _apply_decision(
            self, state: '_RequestState', attempt: ids.AttemptId,
            upstream: upstream_pool.LinkedUpstream,
            decision: claim_store.ClaimDecision) -> errors.Failure | None:
        """Applies the decision for a key; None for a complete response."""
        match decision:
            case claim_store.ReplayedResponse():
                state.report.is_replayed = True
                await state.deliver_outcome(decision.outcome)
                return None
            case claim_store.AttachableClaim():
                state.report.is_replayed = True
                state.may_have_run = True
                return await self._follow_running_attempt(state, decision)
            case _:
                return await self._run_claimed_attempt(state, attempt, upstream,
                                                       decision)

    async def _run_repeatable_attempt(
            self, state: '_RequestState', attempt: ids.AttemptId,
            upstream: upstream_pool.LinkedUpstream) -> errors.Failure | None:
        """Runs one repeatable attempt; None for a complete response."""
        sent = await self._send_begin(state, attempt, upstream)
        if sent is None:
            return self._record_unsent(state, upstream)
        sent = await self._hedge(state, sent)
        selected = sent.upstream
        relay = relay_module.ResponseRelay(
            attempt=sent.attempt,
            stream=state.request.stream,
            pool=self._pool,
            retries_elsewhere=lambda: self._can_retry_elsewhere(
                state, selected))
        relay.upstream = selected
        try:
            failure = await relay.run(sent.upstream, sent.stream, state)
        except BaseException:
            relay.cancel()
            raise
        relay.confirm()
        self._record_result(state, sent, failure)
        return failure

    def _can_retry_elsewhere(self, state: '_RequestState',
                             upstream: upstream_pool.LinkedUpstream) -> bool:
        """Whether the request can be restarted on another upstream."""
        request = state.request
        if (state.head_sent or
                state.report.attempts > request.work_class.retries):
            return False
        tiers = self._pool.group(request.kind, request.name).tiers
        return any(other.host != upstream.host and other.link.is_open and
                   not other.is_leaving
                   for tier in tiers[-1:]
                   for other in tier)

    async def _run_claimed_attempt(
            self, state: '_RequestState', attempt: ids.AttemptId,
            upstream: upstream_pool.LinkedUpstream,
            granted: claim_store.GrantedClaim) -> errors.Failure | None:
        """Runs the claimed attempt; None for a complete response."""
        sent = await self._send_begin(state, attempt, upstream)
        if sent is None:
            return self._record_unsent(state, upstream)
        retained = self._retain_response(granted, upstream, sent.stream,
                                         state.request.stream)
        failure = await retained.relay_to(state)
        self._record_result(state, sent, failure)
        return failure

    def _record_unsent(
            self, state: '_RequestState',
            upstream: upstream_pool.LinkedUpstream) -> errors.Failure:
        failure = errors.make_failure(errors.ErrorKind.LINK_LOST,
                                      executed=errors.Executed.NO)
        self.upstream_selector.record_failure(state.requirements, upstream,
                                              failure)
        return failure

    def _record_result(self, state: '_RequestState', sent: hedge.SentAttempt,
                       failure: errors.Failure | None) -> None:
        if failure is not None:
            self.upstream_selector.record_failure(state.requirements,
                                                  sent.upstream, failure)
            return
        total_s = self._clock.monotonic() - sent.sent_at
        self.upstream_selector.record_success(state.requirements, sent.upstream,
                                              total_s - state.waited_s)

    async def _hedge(self, state: '_RequestState',
                     first: hedge.SentAttempt) -> hedge.SentAttempt:
        """Sends a second attempt if the first has no response in time.

        Args:
            state: the state of the request.
            first: the first attempt.

        Returns:
            The attempt whose response to use.
        """
        after_s = self.upstream_selector.hedge_delay_s(state.requirements)
        if after_s is None:
            return first
        second = None
        try:
            while second is None:
                if await first.has_data_within(after_s):
                    return first
                after_s = _HEDGE_RETRY_INTERVAL_S
                state.requirements.failed_hosts.add(first.upstream.host)
                upstream = self.upstream_selector.select_for_hedge(
                    state.requirements)
                if upstream is not None:
                    second = await self._send_begin(state, state.next_attempt(),
                                                    upstream)
        except BaseException:
            first.cancel()
            raise
        winner, loser = await hedge.race(first, second)
        loser.cancel()
        if loser is first:
            first.upstream.record_result(is_success=False)
        return winner

    async def _follow_running_attempt(
            self, state: '_RequestState',
            held_claim: claim_store.AttachableClaim) -> errors.Failure | None:
        """Relays the response of an earlier request's attempt with this key."""
        retained = self._retained_by_attempt.get(held_claim.claim.attempt)
        if retained is None:
            retained = self._resume(held_claim, held_claim.upstream,
                                    state.request.stream)
        return await retained.relay_to(state)

    def _new_relay(self, attempt: str,
                   stream: bool) -> relay_module.ResponseRelay:
        return relay_module.ResponseRelay(attempt=attempt,
                                          stream=stream,
                                          pool=self._pool)

    async def _send_begin(
            self, state: '_RequestState', attempt: ids.AttemptId,
            upstream: upstream_pool.LinkedUpstream) -> hedge.SentAttempt | None:
        """Sends an attempt to its agent; None if it was certainly not sent."""
        await upstream.link.drain()
        begin = self._begin_message(state, attempt, upstream)
        stream = upstream.open_stream(begin.attempt)
        sent_at = self._clock.monotonic()
        if not link_port.send_if_open(upstream.link, begin):
            upstream.close_stream(begin.attempt)
            return None
        upstream.record_sent()
        state.report.attempts += 1
        state.report.attempt_traces.append(
            spans.AttemptTrace(attempt=begin.attempt,
                               host=upstream.hello.host,
                               sent_at=sent_at))
        return hedge.SentAttempt(attempt=begin.attempt,
                                 upstream=upstream,
                                 stream=stream,
                                 sent_at=sent_at)

    def _begin_message(
            self, state: '_RequestState', attempt: ids.AttemptId,
            upstream: upstream_pool.LinkedUpstream) -> messages.Begin:
        request = state.request
        requirements = state.requirements
        now = self._clock.monotonic()
        time_left_s = max(0.0, request.deadline - now)
        target_s = max(_MIN_TARGET_S, requirements.due_at - now)
        return messages.Begin(attempt=str(attempt),
                              session=upstream.link.session_id,
                              workspace=request.workspace,
                              work_class=request.work_class.name,
                              importance=int(request.work_class.importance),
                              repeatable=request.work_class.repeatable,
                              key=request.key,
                              deadline_ms=int(time_left_s * 1000),
                              target_ms=max(1, int(target_s * 1000)),
                              whole=requirements.is_whole_response,
                              between_tokens_ms=requirements.between_tokens_ms,
                              stream=request.stream,
                              window=relay_module.flow_control_window(
                                  request.stream),
                              method=request.method,
                              path=request.path,
                              headers=request.headers,
                              body=request.body)

    # Non-repeatable attempts run to their end even if the caller disconnects.

    def _resume(self, held_claim: claim_store.AttachableClaim,
                upstream: upstream_pool.LinkedUpstream,
                is_stream: bool) -> relay_module.RetainedResponse:
        """Requests a retained response from its agent, from the beginning."""
        attempt = held_claim.claim.attempt
        stream = upstream.open_stream(attempt)
        resume = messages.Resume(attempt, 0,
                                 relay_module.flow_control_window(is_stream))
        if not link_port.send_if_open(upstream.link, resume):
            stream.put(None)
        return self._retain_response(held_claim, upstream, stream, is_stream)

    def _retain_response(self, held_claim: claim_store.GrantedClaim |
                         claim_store.AttachableClaim,
                         upstream: upstream_pool.LinkedUpstream,
                         stream: upstream_pool.AttemptStream,
                         is_stream: bool) -> relay_module.RetainedResponse:
        """Starts a task to receive a response and record it in the table."""
        retained = relay_module.RetainedResponse()
        self._retained_by_attempt[held_claim.claim.attempt] = retained
        relay = self._new_relay(held_claim.claim.attempt, is_stream)
        self._start_recording(
            self._receive_response(held_claim, relay, upstream, stream,
                                   retained))
        return retained

    def _start_recording(self, recording: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(recording)
        self._recordings.add(task)
        task.add_done_callback(self._recordings.discard)

    async def _receive_response(
            self,
            held_claim: claim_store.GrantedClaim | claim_store.AttachableClaim,
            relay: relay_module.ResponseRelay,
            upstream: upstream_pool.LinkedUpstream,
            stream: upstream_pool.AttemptStream,
            retained: relay_module.RetainedResponse) -> None:
        failure: errors.Failure | None = errors.make_failure(
            errors.ErrorKind.INTERNAL)
        try:
            failure = await relay.run(upstream, stream, retained)
        finally:
            retained.finish(failure)
            del self._retained_by_attempt[held_claim.claim.attempt]
        if _has_recordable_end(failure):
            await self._record(held_claim, relay, retained.stored_response)

    async def _record(self, held_claim: claim_store.GrantedClaim |
                      claim_store.AttachableClaim,
                      relay: relay_module.ResponseRelay,
                      outcome: claims.StoredResponse | None) -> None:
        """Records a response in the table, then confirms it to the agent.

        Retries with exponential backoff until the table holds it.
        """
        pause_s = _MIN_RECORD_RETRY_S
        while not await self._store.record_outcome(held_claim, outcome):
            await self._clock.sleep(pause_s)
            pause_s = min(pause_s * 2, _MAX_RECORD_RETRY_S)
        relay.confirm()

    def _on_unconfirmed(self, link: link_port.Link,
                        message: messages.Unconfirmed) -> None:
        """Records a response that no entry host has confirmed."""
        upstream = self._pool.by_host.get(link.peer.host)
        if upstream is None:
            return
        if message.attempt not in self._retained_by_attempt:
            self._start_recording(self._record_unconfirmed(upstream, message))

    async def _record_unconfirmed(self, upstream: upstream_pool.LinkedUpstream,
                                  message: messages.Unconfirmed) -> None:
        key = claim_store.row_key(message.workspace, message.key)
        found = await self._store.find_claim(key, message.attempt, upstream)
        if isinstance(found, result.Err):
            return
        if found.ok_value is None:
            link_port.send_if_open(upstream.link,
                                   messages.Confirm(message.attempt))
        elif message.attempt not in self._retained_by_attempt:
            self._resume(found.ok_value, upstream, message.stream)


@dataclasses.dataclass
class _RequestState(relay_module.ResponseReceiver):
    """The state of one request that is being served.

    Attributes:
        request: the request.
        sink: receives the response.
        report: the result of the request.
        requirements: what the request requires of an upstream.
        head_sent: whether the response head was written to the caller.
        may_have_run: whether an attempt may have been executed.
        is_answered: whether a stored response was written to the caller.
        last_attempt: the number of the newest attempt.
        waited_s: seconds that the successful attempt spent in the agent's
            queue.
    """

    request: GatewayRequest
    sink: ResponseSink
    report: RequestReport
    requirements: upstream_selector.UpstreamRequirements
    head_sent: bool = False
    may_have_run: bool = False
    is_answered: bool = False
    last_attempt: int = 0
    waited_s: float = 0.0

    def next_attempt(self) -> ids.AttemptId:
        """Returns the id of the next attempt."""
        self.last_attempt += 1
        return ids.AttemptId(self.request.request_id, self.last_attempt)

    @property
    def executed(self) -> errors.Executed:
        """Whether the request may have been executed, if it ends now."""
        if self.report.attempts or self.may_have_run:
            return errors.Executed.UNKNOWN
        return errors.Executed.NO

    def fail(self, failure: errors.Failure) -> None:
        """Sets the failure that the request ends with.

        Args:
            failure: the failure of the last attempt.
        """
        if failure.executed is errors.Executed.NO and self.may_have_run:
            failure = dataclasses.replace(failure,
                                          executed=errors.Executed.UNKNOWN)
        self.report.failure = failure

    def allows_retry(self, failure: errors.Failure) -> bool:
        """Whether the request may be retried after a failure."""
        if failure.executed is not errors.Executed.NO:
            self.may_have_run = True
        retries_made = self.last_attempt - 1
        if self.head_sent or retries_made >= self.request.work_class.retries:
            return False
        return retries.is_retry_safe(self.request.work_class, failure.executed)

    async def receive_head(self, head: messages.Head) -> None:
        self.waited_s = head.waited_ms / 1000
        if not self.head_sent:
            self.head_sent = True
            await self.sink.write_head(head.status, head.headers,
                                       self.report.attempts)

    async def receive_data(self, data: bytes, count: int) -> None:
        now = asyncio.get_running_loop().time()
        self.report.response_timing.record(now - self.report.started_at, count)
        await self.sink.write_data(data)

    def try_receive_data(self, data: bytes, count: int) -> bool:
        if not self.head_sent or not self.sink.try_write_data(data):
            return False
        now = asyncio.get_running_loop().time()
        self.report.response_timing.record(now - self.report.started_at, count)
        return True

    async def receive_end(self) -> None:
        await self.sink.write_end()

    def receive_timing(self, served: messages.Served) -> None:
        now = asyncio.get_running_loop().time()
        for trace in self.report.attempt_traces:
            if trace.attempt == served.attempt:
                trace.record_end(served, now)

    async def deliver_outcome(self, outcome: claims.StoredResponse) -> None:
        """Writes a stored response to the caller."""
        self.head_sent = True
        self.is_answered = True
        await self.sink.write_head(outcome.status, outcome.headers,
                                   self.report.attempts)
        await self.sink.write_data(outcome.body)
        await self.sink.write_end()


def _request_digest(request: GatewayRequest) -> str:
    return claim_store.request_digest(request.method, request.path,
                                      request.work_class.name, request.body)


def _requirements(request: GatewayRequest,
                  now: float) -> upstream_selector.UpstreamRequirements:
    return upstream_selector.UpstreamRequirements(workspace=request.workspace,
                                                  work_class=request.work_class,
                                                  kind=request.kind,
                                                  name=request.name,
                                                  stream=request.stream,
                                                  body=request.body,
                                                  accepted_at=now,
                                                  deadline=request.deadline)


def _has_recordable_end(failure: errors.Failure | None) -> bool:
    """Whether an attempt may have run and its agent has reported the end.

    Only then is there a result to record in the table.
    """
    if failure is None:
        return True
    return (failure.kind is not errors.ErrorKind.LINK_LOST and
            failure.executed is not errors.Executed.NO)
