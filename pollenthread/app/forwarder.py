"""Forwards a caller's request to a server and relays the response."""

import asyncio
from collections.abc import Callable
from typing import Any

from pollenthread.app import (graceful_shutdown, pending_attempt, poison_guard,
                              rate_permits, request_admission, request_job,
                              server_selector, serving_state)
from pollenthread.app.data_centres import attempt_recall
from pollenthread.core import (caller_request, crash_evidence, errors,
                               log_events, resumable_events, routing_config,
                               server_registry)
from pollenthread.ports import caller_response, clock, event_log, upstream

__all__ = ['Forwarder']

_OK = 200
_SERVER_ERROR = 500
_EVENT_STREAM_TYPE = 'text/event-stream'
# Share of the remaining time after which an attempt at an idempotent request is
# abandoned, so that a retry has time to complete.
_ATTEMPT_TIMEOUT_SHARE = 0.6
_SILENCE_CHECK_INTERVAL_S = 0.2
# The longest time for which a server is left alone, relative to its own pause.
_MAX_PAUSE_FACTOR = 1.2


class Forwarder:
    """Forwards requests according to the current configuration.

    Attributes:
        counts: number of requests by result, and of late streams by cause.
    """

    def __init__(self, *, state: serving_state.ServingState,
                 upstream_client: upstream.UpstreamClient,
                 permits: rate_permits.RatePermits,
                 shutdown_plan: graceful_shutdown.ShutdownPlan,
                 observe: Callable[[str, float], None], time: clock.Clock,
                 log: event_log.EventLog) -> None:
        self._state = state
        self._upstream_client = upstream_client
        self._permits = permits
        self._clock = time
        self._log = log
        self.counts: dict[str, int] = {}
        self._observe = observe
        self._pending_attempts: set[pending_attempt.PendingAttempt] = set()
        self._admission = request_admission.RequestAdmission(
            state=state, shutdown_plan=shutdown_plan, time=time)
        self._server_selector = server_selector.ServerSelector(
            state=state,
            permits=permits,
            count=self._count,
            time=time,
            log=log,
            rng=state.rng)
        self._recall = attempt_recall.AttemptRecall(
            state=state,
            may_retry=self._may_retry,
            has_room=self._server_selector.has_room,
            time=time)
        self._guard = poison_guard.PoisonGuard(evidence=state.evidence_log,
                                               upstream_client=upstream_client,
                                               registry=state.server_registry,
                                               time=time,
                                               log=log)
        state.evidence_log.suspected_callbacks.append(
            lambda: self._guard.recall(self._pending_attempts))

    def _count(self, name: str) -> None:
        self.counts[name] = self.counts.get(name, 0) + 1

    async def serve(self, request: caller_request.CallerRequest,
                    response: caller_response.CallerResponse) -> None:
        """Serves one request to its end.

        The caller of this method cancels it when the client disconnects.

        Args:
            request: the client's request.
            response: receives the response or the failure.
        """
        try:
            job = self._admission.admit(request, response)
            await self._run_attempts(job)
            self._count('answered')
        except request_job.RequestFailed as failed:
            await self._fail(request, response, failed.failure)
        except asyncio.CancelledError:
            self._count('caller_left')
            self._log.write(log_events.LogEvent.CALLER_LEFT,
                            important=False,
                            id=request.id,
                            after_s=self._age_s(request))
            raise

    def _age_s(self, request: caller_request.CallerRequest) -> float:
        return round(self._clock.monotonic() - request.received_at, 4)

    async def _fail(self, request: caller_request.CallerRequest,
                    response: caller_response.CallerResponse,
                    failure: errors.Failure) -> None:
        self._count(failure.kind.value)
        not_run = failure.executed is errors.Executed.NO
        event = (log_events.LogEvent.REQUEST_REFUSED
                 if not_run else log_events.LogEvent.REQUEST_FAILED)
        self._log.write(event,
                        id=request.id,
                        kind=failure.kind.value,
                        detail=failure.detail,
                        after_s=self._age_s(request),
                        begun=response.is_started)
        if response.is_started:
            response.abort()
        else:
            await response.send_failure(failure)

    # Attempts.

    async def _run_attempts(self, job: request_job.RequestJob) -> None:
        self._guard.check(job)
        while True:
            server = await self._server_selector.select(job)
            with self._guard.admit(job):
                if await self._attempt(job, server):
                    return
            self._guard.check(job)
            self._check_retry(job)

    async def _attempt(self, job: request_job.RequestJob,
                       server: server_registry.Server) -> bool:
        """Sends the request to a server.

        Returns:
            Whether the request is complete; False when it may be retried.

        Raises:
            request_job.RequestFailed: the request's deadline has passed.
        """
        job.tried_server_ids.append(server.id)
        job.attempt_count += 1
        now = self._clock.monotonic()
        job.timing.record_sent(now)
        if server.data_centre != self._state.data_centre:
            self._count('moved')
        self._state.server_loads.record_start(server.id, now, job.work)
        timeout = asyncio.timeout_at(self._attempt_deadline(job))
        pending = pending_attempt.PendingAttempt(job,
                                                 server,
                                                 timeout,
                                                 now,
                                                 unread_s=job.work.prompt_s)
        self._pending_attempts.add(pending)
        try:
            async with timeout:
                return await self._send_and_relay(pending)
        except TimeoutError:
            cause = 'recalled' if pending.is_recalled else 'silent'
            self._record_failure(pending, cause, ran=True)
            if self._clock.monotonic() >= job.deadline:
                raise request_job.RequestFailed(job.timeout_failure()) from None
            return False
        except upstream.UpstreamConnectError as error:
            self._state.server_loads.record_failure(server.id,
                                                    self._clock.monotonic())
            self._record_failure(pending, str(error), ran=False)
            job.attempt_count -= 1
            return False
        except upstream.UpstreamDisconnectedError as error:
            self._record_failure(pending, str(error), ran=True)
            # Its timeout has ended, so it must not be ended once more.
            self._pending_attempts.discard(pending)
            await self._guard.examine(pending)
            return False
        finally:
            self._pending_attempts.discard(pending)
            self._record_prompt_read(pending)
            self._state.server_loads.record_end(server.id)

    async def watch_silent_servers(self) -> None:
        """Ends attempts at servers that are as silent as their agents.

        Also recalls attempts from data centres that have been emptied.

        Runs until cancelled. An attempt is ended only when its request may be
        retried on another server. Missing load reports alone do not end it: the
        server may be working while its agent restarts or cannot be heard.
        """
        while True:
            await self._clock.sleep(_SILENCE_CHECK_INTERVAL_S)
            self._recall.recall(list(self._pending_attempts))
            now = self._clock.monotonic()
            for pending in list(self._pending_attempts):
                if (self._state.server_loads.is_report_overdue(
                        pending.server.id, now) and pending.is_silent(now) and
                        pending.job.route.is_repeatable and
                        self._may_retry(pending.job)):
                    pending.end(now)

    def _attempt_deadline(self, job: request_job.RequestJob) -> float:
        """Returns the monotonic time at which to abandon an attempt."""
        if (job.route.kind is not routing_config.RequestKind.IDEMPOTENT or
                job.attempt_count >= job.route.max_attempts):
            return job.deadline
        now = self._clock.monotonic()
        return now + (job.deadline - now) * _ATTEMPT_TIMEOUT_SHARE

    async def _send_and_relay(self,
                              pending: pending_attempt.PendingAttempt) -> bool:
        job, server = pending.job, pending.server
        attempt = upstream.UpstreamAttempt(
            server=server,
            request=job.request,
            time_left_s=job.deadline - self._clock.monotonic(),
            workspace=job.workspace.name if job.workspace else None,
            last_event_id=job.last_event_id,
            priority=job.priority)
        async with self._upstream_client.send(attempt) as response:
            self._record_load(server, response)
            self._record_limit(server, response)
            self._record_statement(server, response)
            if response.is_misdirected:
                self._state.server_registry.mark_ended(server)
            if not response.may_have_executed:
                self._record_failure(pending,
                                     f'not run, {response.status}',
                                     ran=False)
                return False
            if _is_stream(job, response):
                return await self._relay_stream(pending, response)
            if job.caller_response.is_started:
                raise upstream.UpstreamDisconnectedError(
                    f'answered {response.status} to a stream that had begun')
            return await self._relay_whole(pending, response)

    def _record_load(self, server: server_registry.Server,
                     response: upstream.UpstreamResponse) -> None:
        if response.load is not None:
            self._state.server_loads.record_request_count(
                server.id, response.load.running + response.load.waiting,
                self._clock.monotonic())

    def _record_limit(self, server: server_registry.Server,
                      response: upstream.UpstreamResponse) -> None:
        if not response.is_misdirected and response.limit_per_s is not None:
            self._permits.observe(server, response.limit_per_s)

    def _record_statement(self, server: server_registry.Server,
                          response: upstream.UpstreamResponse) -> None:
        """Records what a server says about the requests that it wants."""
        if response.is_misdirected:
            return
        statements = self._state.server_statements
        if response.is_leaving and statements.record_leaving(server):
            self._log.write(log_events.LogEvent.SERVER_LEAVING,
                            server=server.id)
        if response.pause_s is not None:
            # Hosts return one after the other.
            pause_s = response.pause_s * self._state.rng.uniform(
                1.0, _MAX_PAUSE_FACTOR)
            if statements.record_pause(server, pause_s,
                                       self._clock.monotonic()):
                self._log.write(log_events.LogEvent.SERVER_PAUSED,
                                server=server.id,
                                for_s=round(pause_s, 3))

    async def _relay_whole(self, pending: pending_attempt.PendingAttempt,
                           response: upstream.UpstreamResponse) -> bool:
        job, server = pending.job, pending.server
        body = await _read_body(response, job.caller_response)
        self._guard.record_answer(pending)
        if (response.status >= _SERVER_ERROR and job.route.is_repeatable and
                self._may_retry(job)):
            self._record_failure(pending,
                                 f'answered {response.status}',
                                 ran=True)
            return False
        if response.status < _SERVER_ERROR:
            self._state.server_loads.record_success(server.id)
        await job.caller_response.send_response(response.status,
                                                response.headers, body)
        self._record_response(job, server, response.status)
        return True

    async def _relay_stream(self, pending: pending_attempt.PendingAttempt,
                            response: upstream.UpstreamResponse) -> bool:
        job, server = pending.job, pending.server
        body = response.read()
        pending.stage = crash_evidence.AttemptStage.BEGUN
        pending.record_progress(self._clock.monotonic())
        while (data := await pending.next_chunk(body)) is not None:
            try:
                events = job.event_splitter.feed(data)
            except resumable_events.EventError as error:
                raise upstream.UpstreamDisconnectedError(str(error)) from error
            if not events:
                continue
            self._guard.record_answer(pending)
            self._record_prompt_read(pending)
            job.timing.record_events(self._clock.monotonic())
            if not job.caller_response.is_started:
                self._observe('first_event', self._age_s(job.request))
                await job.caller_response.start_stream(response.status,
                                                       response.headers)
            await job.caller_response.write(events)
            # A caller that reads slowly is no silence of the server.
            pending.record_progress(self._clock.monotonic())
        if job.event_splitter.has_partial or not job.caller_response.is_started:
            raise upstream.UpstreamDisconnectedError(
                'the stream ended within an event')
        self._state.server_loads.record_success(server.id)
        await job.caller_response.finish()
        self._record_response(job, server, response.status)
        return True

    # Recording of results.

    def _record_response(self, job: request_job.RequestJob,
                         server: server_registry.Server, status: int) -> None:
        self._observe('answer', self._age_s(job.request))
        timing = self._stream_log_fields(job) if job.is_stream else {}
        self._record_length(job)
        self._log.write(log_events.LogEvent.REQUEST_ANSWERED,
                        important=job.attempt_count > 1,
                        id=job.request.id,
                        route=job.route.name,
                        server=server.id,
                        status=status,
                        attempts=job.attempt_count,
                        events=job.event_splitter.events,
                        after_s=self._age_s(job.request),
                        **timing)

    def _record_length(self, job: request_job.RequestJob) -> None:
        """Records the length of a stream that was sent from its start."""
        config = self._state.config
        service = config.services_by_name.get(job.service) if config else None
        if (service is not None and service.engine is not None and
                job.is_stream and job.request.last_event_id is None):
            self._state.work_estimator.record(
                job.request, job.route.name, service.engine,
                job.event_splitter.events * service.engine.steps_per_pass)

    def _stream_log_fields(self, job: request_job.RequestJob) -> dict[str, Any]:
        """Counts a completed stream by the cause of its lateness, if any.

        Returns:
            Timing fields for the log event.
        """
        late_by = job.timing.lateness_cause(job.route.target_s,
                                            job.route.max_gap_s)
        self._count(f'streams_late_by_{late_by.value}')
        return {
            'late_by': late_by.value,
            'first_s': round(job.timing.first_s() or 0.0, 4),
            'pause_s': round(job.timing.longest_gap_s, 4)
        }

    def _record_failure(self, pending: pending_attempt.PendingAttempt,
                        cause: str, *, ran: bool) -> None:
        job, server = pending.job, pending.server
        job.last_failure = cause
        job.may_have_run = job.may_have_run or ran
        job.event_splitter.drop_partial()
        if ran:
            self._state.server_loads.record_failure(server.id,
                                                    self._clock.monotonic())
        self._log.write(log_events.LogEvent.ATTEMPT_ENDED,
                        id=job.request.id,
                        server=server.id,
                        cause=cause,
                        may_have_run=ran,
                        stage=pending.stage.value,
                        events=job.event_splitter.events)

    def _record_prompt_read(self,
                            pending: pending_attempt.PendingAttempt) -> None:
        """Records, once, that the server reads the prompt no longer."""
        if pending.unread_s:
            self._state.server_loads.record_prompt_read(pending.server.id,
                                                        pending.unread_s)
            pending.unread_s = 0.0

    def _may_retry(self, job: request_job.RequestJob) -> bool:
        """Whether the route allows a retry; spends no retry budget."""
        if job.attempt_count >= job.route.max_attempts:
            return False
        return not job.may_have_run or job.route.is_repeatable

    def _check_retry(self, job: request_job.RequestJob) -> None:
        """Spends retry budget for one more attempt.

        Costs nothing while no attempt has reached a server.

        Raises:
            request_job.RequestFailed: the route allows no further attempt, or
                the retry budget is spent.
        """
        if not self._may_retry(job):
            raise request_job.RequestFailed(
                job.rejection(errors.ErrorKind.UPSTREAM_FAILED,
                              self._clock.monotonic()))
        if not job.attempt_count:
            return
        budget = self._state.retry_budget_for(job.service)
        now = self._clock.monotonic()
        if not budget.try_acquire(now, self._state.entry_host_count):
            raise request_job.RequestFailed(
                job.rejection(errors.ErrorKind.OVERLOADED,
                              self._clock.monotonic()))
        if job.caller_response.is_started:
            self._log.write(log_events.LogEvent.STREAM_RESUMED,
                            id=job.request.id,
                            last_event_id=job.last_event_id)


async def _read_body(response: upstream.UpstreamResponse,
                     holder: caller_response.CallerResponse) -> bytes:
    """Reads a complete body, which its caller's response holds meanwhile."""
    chunks = []
    size_bytes = 0
    async for chunk in response.read():
        chunks.append(chunk)
        size_bytes += len(chunk)
        holder.hold(size_bytes)
    return b''.join(chunks)


def _is_stream(job: request_job.RequestJob,
               response: upstream.UpstreamResponse) -> bool:
    return (job.is_stream and response.status == _OK and
            (not job.caller_response.is_started or _has_events(response)))


def _has_events(response: upstream.UpstreamResponse) -> bool:
    """Returns False if the response says that its body has no events."""
    types = [
        value for name, value in response.headers if name == 'content-type'
    ]
    return not types or types[0].lower().startswith(_EVENT_STREAM_TYPE)
