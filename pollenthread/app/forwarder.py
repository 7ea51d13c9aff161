"""Takes a caller's request to a server and the answer back."""

import asyncio
import dataclasses
from collections.abc import AsyncIterator, Callable
from typing import Any

from pollenthread.app import (place_finder, planned_stop, request_job,
                              serving_state)
from pollenthread.core import (caller_request, errors, event_stream, fleet,
                               lateness, log_events, routing_config)
from pollenthread.ports import clock, event_log, caller_response, upstream

__all__ = ['Forwarder']

_OK = 200
_SERVER_ERROR = 500
_DEFAULT_PATIENCE_S = 30.0
# The part of a request's time after which a silent server of a request that
# may be repeated is given up.
_FIRST_ATTEMPT_SHARE = 0.6
# Callers give a stream up after two seconds without an event.
_SILENT_STREAM_S = 1.7
_WATCH_S = 0.2


@dataclasses.dataclass(frozen=True, eq=False)
class _Pending:
    """An attempt that a server has not ended.

    Attributes:
        job: the request.
        server: where it was sent.
        timeout: ends the attempt.
    """

    job: request_job.Job
    server: fleet.Server
    timeout: asyncio.Timeout


class Forwarder:
    """Serves requests by the configuration in force."""

    def __init__(self, *, state: serving_state.ServingState,
                 servers: upstream.UpstreamClient,
                 stop_plan: planned_stop.StopPlan,
                 observe: Callable[[str, float], None], time: clock.Clock,
                 log: event_log.EventLog) -> None:
        self._state = state
        self._servers = servers
        self._stop_plan = stop_plan
        self._clock = time
        self._log = log
        self.counts: dict[str, int] = {}
        self._observe = observe
        self._pending: set[_Pending] = set()
        self._patience = lateness.PatienceBook()
        self._places = place_finder.PlaceFinder(state=state,
                                                time=time,
                                                log=log,
                                                rng=state.rng)

    def _count(self, name: str) -> None:
        self.counts[name] = self.counts.get(name, 0) + 1

    async def serve(self, request: caller_request.CallerRequest,
                    answer: caller_response.CallerResponse) -> None:
        """Answers one request; cancelled when the caller leaves."""
        try:
            job = self._accept(request, answer)
            await self._attempt_until_done(job)
            self._count('answered')
        except request_job.Failed as failed:
            await self._fail(request, answer, failed.failure)
        except asyncio.CancelledError:
            self._count('caller_left')
            self._log.write(log_events.LogEvent.CALLER_LEFT,
                            important=False,
                            id=request.id,
                            after_s=self._age(request))
            raise

    def _age(self, request: caller_request.CallerRequest) -> float:
        return round(self._clock.monotonic() - request.received_at, 4)

    async def _fail(self, request: caller_request.CallerRequest,
                    answer: caller_response.CallerResponse,
                    failure: errors.Failure) -> None:
        self._count(failure.kind.value)
        not_run = failure.ran is errors.Ran.NO
        event = (log_events.LogEvent.REQUEST_REFUSED
                 if not_run else log_events.LogEvent.REQUEST_FAILED)
        self._log.write(event,
                        id=request.id,
                        kind=failure.kind.value,
                        detail=failure.detail,
                        after_s=self._age(request),
                        begun=answer.is_started)
        if answer.is_started:
            answer.abort()
        else:
            await answer.send_failure(failure)

    # Before a server is chosen.

    def _accept(self, request: caller_request.CallerRequest,
                answer: caller_response.CallerResponse) -> request_job.Job:
        config = self._state.config
        if config is None:
            raise request_job.Failed(
                errors.failure(errors.Kind.STALE_CONFIGURATION))
        route = routing_config.find_route(config, request.host, request.path)
        if route is None:
            raise request_job.Failed(errors.failure(errors.Kind.NOT_FOUND))
        workspace = _authenticate(config, route, request)
        self._check_leaving(route)
        service = self._state.pick_service(route)
        now = self._clock.monotonic()
        self._state.budget(service).note_request(now)
        patience_s = (_DEFAULT_PATIENCE_S
                      if request.patience_s is None else request.patience_s)
        deadline = request.received_at + min(patience_s, route.timeout_s)
        is_late = (request.patience_s is not None and
                   self._patience.has_missed_aim(route, request.patience_s))
        return request_job.Job(request, route, service, workspace, deadline,
                               answer, is_late)

    def _check_leaving(self, route: routing_config.Route) -> None:
        """Refuses what could not end before this host does."""
        if self._state.leaving_since is None:
            return
        elapsed_s = self._clock.monotonic() - self._state.leaving_since
        is_stream = route.kind is routing_config.RequestKind.STREAM
        if not planned_stop.takes_work(
                self._stop_plan, elapsed_s, is_stream=is_stream):
            raise request_job.Failed(errors.failure(errors.Kind.LEAVING))

    # Attempts.

    async def _attempt_until_done(self, job: request_job.Job) -> None:
        while True:
            server = await self._places.find(job)
            if await self._attempt(job, server):
                return
            self._check_repeat(job)

    async def _attempt(self, job: request_job.Job,
                       server: fleet.Server) -> bool:
        """Sends the request to a server; whether the request is done."""
        job.tried.append(server.id)
        job.sent += 1
        now = self._clock.monotonic()
        job.timing.note_place(now)
        self._state.loads.begin(server.id, now)
        timeout = asyncio.timeout_at(self._give_up_at(job))
        pending = _Pending(job, server, timeout)
        self._pending.add(pending)
        try:
            async with timeout:
                return await self._exchange(job, server)
        except TimeoutError:
            self._note_failure(job, server, 'silent', ran=True)
            if self._clock.monotonic() >= job.deadline:
                raise request_job.Failed(job.timed_out()) from None
            return False
        except upstream.UpstreamConnectError as error:
            self._state.loads.fail(server.id, self._clock.monotonic())
            self._note_failure(job, server, str(error), ran=False)
            job.sent -= 1
            return False
        except upstream.UpstreamDisconnectedError as error:
            self._note_failure(job, server, str(error), ran=True)
            return False
        finally:
            self._pending.discard(pending)
            self._state.loads.end(server.id)

    async def watch(self) -> None:
        """Gives up servers whose hosts fell silent; until cancelled.

        Only for requests that may be sent to another server.
        """
        while True:
            await self._clock.sleep(_WATCH_S)
            now = self._clock.monotonic()
            for pending in list(self._pending):
                if (self._state.loads.is_silent(pending.server.id, now) and
                        pending.job.route.is_repeatable and
                        self._may_repeat(pending.job)):
                    pending.timeout.reschedule(now)

    def _give_up_at(self, job: request_job.Job) -> float:
        """When a server that has not answered is given up."""
        if (job.route.kind is not routing_config.RequestKind.IDEMPOTENT or
                job.sent >= job.route.max_attempts):
            return job.deadline
        now = self._clock.monotonic()
        return now + (job.deadline - now) * _FIRST_ATTEMPT_SHARE

    async def _exchange(self, job: request_job.Job,
                        server: fleet.Server) -> bool:
        attempt = upstream.UpstreamAttempt(
            server=server,
            request=job.request,
            time_left_s=job.deadline - self._clock.monotonic(),
            workspace=job.workspace.name if job.workspace else None,
            last_event_id=job.last_event_id,
            priority=job.urgency)
        async with self._servers.send(attempt) as found:
            self._note_load(server, found)
            if found.is_misdirected:
                self._state.fleet.replace_dead(server.id)
            if not found.may_have_executed:
                self._note_failure(job,
                                   server,
                                   f'not run, {found.status}',
                                   ran=False)
                return False
            if _is_stream(job, found):
                return await self._pass_stream(job, server, found)
            return await self._pass_whole(job, server, found)

    def _note_load(self, server: fleet.Server,
                   found: upstream.UpstreamResponse) -> None:
        if found.load is not None:
            self._state.loads.count(server.id,
                                    found.load.running + found.load.waiting,
                                    self._clock.monotonic())

    async def _pass_whole(self, job: request_job.Job, server: fleet.Server,
                          found: upstream.UpstreamResponse) -> bool:
        body = b''.join([part async for part in found.read()])
        if (found.status >= _SERVER_ERROR and job.route.is_repeatable and
                self._may_repeat(job)):
            self._note_failure(job,
                               server,
                               f'answered {found.status}',
                               ran=True)
            return False
        if found.status < _SERVER_ERROR:
            self._state.loads.succeed(server.id)
        await job.answer.send_response(found.status, found.headers, body)
        self._note_answer(job, server, found.status)
        return True

    async def _pass_stream(self, job: request_job.Job, server: fleet.Server,
                           found: upstream.UpstreamResponse) -> bool:
        body = found.read()
        while (data := await self._next_part(body)) is not None:
            try:
                events = job.splitter.feed(data)
            except event_stream.EventTooLong as error:
                raise upstream.UpstreamDisconnectedError(str(error)) from error
            if not events:
                continue
            job.timing.note_events(self._clock.monotonic())
            if not job.answer.is_started:
                self._observe('first_event', self._age(job.request))
                await job.answer.start_stream(found.status, found.headers)
            await job.answer.write(events)
        if job.splitter.has_partial or not job.answer.is_started:
            raise upstream.UpstreamDisconnectedError(
                'the stream ended within an event')
        self._state.loads.succeed(server.id)
        await job.answer.finish()
        self._note_answer(job, server, found.status)
        return True

    async def _next_part(self, body: AsyncIterator[bytes]) -> bytes | None:
        try:
            async with asyncio.timeout(_SILENT_STREAM_S):
                return await anext(body, None)
        except TimeoutError:
            raise upstream.UpstreamDisconnectedError(
                'the stream fell silent') from None

    # After an attempt.

    def _note_answer(self, job: request_job.Job, server: fleet.Server,
                     status: int) -> None:
        self._observe('answer', self._age(job.request))
        timing = self._stream_fields(job) if job.is_stream else {}
        self._log.write(log_events.LogEvent.REQUEST_ANSWERED,
                        important=job.sent > 1,
                        id=job.request.id,
                        route=job.route.name,
                        server=server.id,
                        status=status,
                        attempts=job.sent,
                        events=job.splitter.events,
                        after_s=self._age(job.request),
                        **timing)

    def _stream_fields(self, job: request_job.Job) -> dict[str, Any]:
        """Counts a whole stream by what made it late; what its line tells."""
        late_by = job.timing.late_by(job.route.target_s, job.route.max_gap_s)
        self._count(f'streams_late_by_{late_by.value}')
        return {
            'late_by': late_by.value,
            'first_s': round(job.timing.first_s() or 0.0, 4),
            'pause_s': round(job.timing.longest_pause_s, 4)
        }

    def _note_failure(self, job: request_job.Job, server: fleet.Server,
                      cause: str, *, ran: bool) -> None:
        job.cause = cause
        job.may_have_run = job.may_have_run or ran
        job.splitter.drop_partial()
        if ran:
            self._state.loads.fail(server.id, self._clock.monotonic())
        self._log.write(log_events.LogEvent.ATTEMPT_ENDED,
                        id=job.request.id,
                        server=server.id,
                        cause=cause,
                        may_have_run=ran,
                        events=job.splitter.events)

    def _may_repeat(self, job: request_job.Job) -> bool:
        """Whether rules allow one more attempt; takes no budget."""
        if job.sent >= job.route.max_attempts:
            return False
        return not job.may_have_run or job.route.is_repeatable

    def _check_repeat(self, job: request_job.Job) -> None:
        """Ends the request unless it may be sent once more."""
        if not self._may_repeat(job):
            raise request_job.Failed(
                job.given_up(errors.Kind.UPSTREAM_FAILED,
                             self._clock.monotonic()))
        if not job.sent:
            return
        budget = self._state.budget(job.service)
        now = self._clock.monotonic()
        if not budget.take(now, self._state.entry_hosts):
            raise request_job.Failed(
                job.given_up(errors.Kind.OVERLOADED, self._clock.monotonic()))
        if job.answer.is_started:
            self._log.write(log_events.LogEvent.STREAM_RESUMED,
                            id=job.request.id,
                            last_event_id=job.last_event_id)


def _authenticate(
        config: routing_config.RoutingConfig, route: routing_config.Route,
        request: caller_request.CallerRequest
) -> routing_config.Workspace | None:
    """The holder of the request's key.

    Raises:
        request_job.Failed: the route needs a key that somebody holds.
    """
    if config.workspaces_by_key is None or route.is_public:
        return None
    workspace = config.workspaces_by_key.get(request.key or '')
    if workspace is None:
        raise request_job.Failed(errors.failure(errors.Kind.NOT_AUTHENTICATED))
    return workspace


def _is_stream(job: request_job.Job, found: upstream.UpstreamResponse) -> bool:
    return job.is_stream and found.status == _OK
