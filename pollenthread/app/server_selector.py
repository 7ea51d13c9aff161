"""Selects a server for a request, or waits until one has a free slot."""

import dataclasses
import math
import random
from collections.abc import Callable, Sequence

from pollenthread.app import rate_permits, request_job, serving_state
from pollenthread.app.admission import admission_gate
from pollenthread.app.routing import usable_servers
from pollenthread.core import (errors, log_events, server_registry,
                               service_estimate)
from pollenthread.core.admission import home_servers
from pollenthread.ports import clock, event_log

__all__ = ['ServerSelector']

_MIN_TIME_LEFT_S = 0.02
# The longest wait of a late request for a permit.
_MAX_PERMIT_WAIT_S = 0.4
_PERMIT_WAIT_DEADLINE_SHARE = 0.25
# A stream that was sent before may wait as long for its next event.
_MIN_PATIENCE_S = 0.4
# So short that no wait in the queue of a server is within it.
_NO_QUEUE_S = 0.001
# Share of the time to the latency target that a request may wait for a permit;
# the rest is for the server.
_PERMIT_WAIT_SHARE = 0.5
# Bounds the time for questions to issuers of permits.
_MAX_PERMIT_QUESTIONS = 4


class ServerSelector:
    """Selects servers by their reported load.

    The load is an estimate: reports are periodic, and other entry hosts send
    requests to the same servers.
    """

    def __init__(self, *, state: serving_state.ServingState,
                 permits: rate_permits.RatePermits,
                 count: Callable[[str], None], time: clock.Clock,
                 log: event_log.EventLog, rng: random.Random) -> None:
        self._state = state
        self._permits = permits
        self._usable = usable_servers.UsableServers(state=state,
                                                    permits=permits,
                                                    time=time)
        self._clock = time
        self._log = log
        self._rng = rng
        self._count = count
        self._gate_by_service: dict[str, admission_gate.AdmissionGate] = {}

    async def select(self,
                     job: request_job.RequestJob) -> server_registry.Server:
        """Selects a server for the next attempt of a request.

        A stream of a model engine may first wait for its turn.

        Args:
            job: the request.

        Returns:
            The server to send the request to.

        Raises:
            request_job.RequestFailed: no server would start the request in
                time.
        """
        if self._has_gate(job):
            return await self._select_through_gate(job)
        return await self._select_at_once(job)

    async def _select_at_once(
            self, job: request_job.RequestJob) -> server_registry.Server:
        server = await self._select_now(job)
        if server is None:
            raise request_job.RequestFailed(self._rejection(job))
        return server

    def _has_gate(self, job: request_job.RequestJob) -> bool:
        config = self._state.config
        service = config.services_by_name.get(job.service) if config else None
        return (job.is_stream and service is not None and
                service.engine is not None)

    async def _select_through_gate(
            self, job: request_job.RequestJob) -> server_registry.Server:
        gate = self._gate_by_service.get(job.service)
        if gate is None:
            gate = admission_gate.AdmissionGate(service=job.service,
                                                state=self._state,
                                                usable=self._usable,
                                                count=self._count,
                                                time=self._clock,
                                                log=self._log,
                                                rng=self._rng)
            self._gate_by_service[job.service] = gate
        if not job.tried_server_ids:
            gate.record_arrival(job)
        if not await gate.has_reports(job):
            return await self._select_at_once(job)
        if gate.may_send_at_once(job):
            server = await self._select_now(job)
            if server is not None:
                gate.record_sent(job)
                return server
        return await gate.wait(job, lambda: self._select_now(job))

    async def _select_now(
            self, job: request_job.RequestJob) -> server_registry.Server | None:
        """Selects a server, or returns None if none can take the request."""
        return (await self._select_permitted(job) or
                await self._wait_for_permit(job))

    def _rejection(self, job: request_job.RequestJob) -> errors.Failure:
        """Returns the failure for a request that no server can take now."""
        now = self._clock.monotonic()
        listed = self._usable.outside_evacuations(job.service)
        statements = self._state.server_statements
        if any(statements.accepts(server, now) for server in listed):
            return job.rejection(errors.ErrorKind.OVERLOADED, now)
        resumes_at = min(map(statements.paused_until, listed), default=math.inf)
        if resumes_at < math.inf:
            return job.rejection(errors.ErrorKind.OVERLOADED,
                                 now,
                                 retry_after_s=resumes_at - now)
        return job.rejection(errors.ErrorKind.NO_UPSTREAM, now)

    async def _select_permitted(
            self, job: request_job.RequestJob) -> server_registry.Server | None:
        """Selects a server that a request may be sent to now, or None.

        A server that refuses a permit is no candidate until the next one.
        """
        for _ in range(_MAX_PERMIT_QUESTIONS):
            now = self._clock.monotonic()
            server = self._try_select(job, self._usable.permitted(job.service),
                                      now)
            if server is None:
                return None
            permit = await self._permits.acquire(server, 0.0)
            if permit.is_granted:
                return self._selected(job, server)
        server = self._try_select(job, self._usable.unlimited(job.service),
                                  self._clock.monotonic())
        if server is None:
            return None
        permit = await self._permits.acquire(server, 0.0)
        return self._selected(job, server) if permit.is_granted else None

    async def _wait_for_permit(
            self, job: request_job.RequestJob) -> server_registry.Server | None:
        """Waits for a permit of a server that limits its request rate.

        Returns:
            The server, or None if no permit will be available in time.
        """
        for _ in range(_MAX_PERMIT_QUESTIONS):
            now = self._clock.monotonic()
            wait_until = now + _max_permit_wait_s(job, now)
            limited = self._usable.limited(job.service, wait_until)
            server = self._try_select(job, limited, now)
            if server is None:
                return None
            permit = await self._permits.acquire(
                server, wait_until - self._clock.monotonic())
            if permit.is_granted:
                await self._clock.sleep(permit.wait_s)
                if server in self._usable.accepting(job.service):
                    return self._selected(job, server)
        return None

    def has_room(self, job: request_job.RequestJob) -> bool:
        """Returns whether another server can start a request in time."""
        now = self._clock.monotonic()
        if job.deadline - now < _MIN_TIME_LEFT_S:
            return False
        servers = self._usable.permitted(job.service)
        return self._try_select(job, servers, now) is not None

    def _selected(
            self, job: request_job.RequestJob,
            server: server_registry.Server | None
    ) -> server_registry.Server | None:
        """Logs the selected server, if there is one, and returns it."""
        if server is not None:
            self._log_attempt(job, server, self._clock.monotonic())
        return server

    def _try_select(self, job: request_job.RequestJob,
                    servers: Sequence[server_registry.Server],
                    now: float) -> server_registry.Server | None:
        if job.deadline - now < _MIN_TIME_LEFT_S:
            raise request_job.RequestFailed(job.timeout_failure())
        requirements = self._requirements(job, now)
        home = self._home_servers(job, servers)
        if home:
            server = self._select_loaded(
                job, home,
                dataclasses.replace(requirements, target_left_s=_NO_QUEUE_S),
                now)
            if server is not None:
                return server
        return self._select_loaded(job, servers, requirements, now)

    def _select_loaded(self, job: request_job.RequestJob,
                       servers: Sequence[server_registry.Server],
                       requirements: service_estimate.RequestRequirements,
                       now: float) -> server_registry.Server | None:
        return self._state.server_loads.select(
            servers,
            excluded=job.tried_server_ids,
            data_centre=self._state.data_centre,
            requirements=requirements,
            hosts=self._state.entry_host_count,
            now=now)

    def _home_servers(
        self, job: request_job.RequestJob,
        servers: Sequence[server_registry.Server]
    ) -> list[server_registry.Server]:
        """Returns the servers to fill first; none while there is room."""
        gate = self._gate_by_service.get(job.service)
        if gate is None or not self._state.near_hosts or not gate.is_scarce(
                job):
            return []
        return home_servers.home_servers(
            (s for s in servers if s.data_centre == self._state.data_centre),
            host=self._state.host,
            hosts=self._state.near_hosts)

    def _log_attempt(self, job: request_job.RequestJob,
                     server: server_registry.Server, now: float) -> None:
        config = self._state.config
        limit = self._state.server_limits.get(server)
        self._log.write(log_events.LogEvent.ATTEMPT,
                        important=False,
                        id=job.request.id,
                        server=server.id,
                        **self._state.server_loads.log_fields(server, now),
                        config=config.version if config else None,
                        is_late=job.has_missed_target,
                        left_s=round(job.deadline - now, 3),
                        parts=job.parts,
                        passes=round(job.work.passes, 1),
                        prompt_tokens=job.work.prompt_tokens,
                        limit_per_s=limit.per_s if limit else None)

    def _requirements(self, job: request_job.RequestJob,
                      now: float) -> service_estimate.RequestRequirements:
        config = self._state.config
        service = config.services_by_name.get(job.service) if config else None
        if service is None or service.engine is None or not job.is_stream:
            return service_estimate.RequestRequirements(job.deadline - now)
        engine = service.engine
        gate = self._gate_by_service.get(job.service)
        is_reserving = (gate is not None and not job.attempt_count and
                        gate.keeps_last_slots(job))
        work = job.work = self._state.work_estimator.estimate(
            job.request, job.route.name, engine)
        return service_estimate.RequestRequirements(
            time_left_s=job.deadline - now,
            max_gap_s=job.route.max_gap_s,
            reserved_share=1 / engine.slots if is_reserving else 0.0,
            target_left_s=self._max_first_event_s(job, now),
            passes=work.passes,
            low_passes=0.0 if job.last_event_id else work.low_passes,
            others_passes=engine.mean_output_tokens / engine.steps_per_pass,
            prompt_s=work.prompt_s,
            kv_tokens=work.kv_tokens)

    def _max_first_event_s(self, job: request_job.RequestJob,
                           now: float) -> float:
        """Returns within which time the first event has to arrive, in seconds.

        Only a request of the first level that can still be in time may wait in
        the queue of a server, and one that was sent before or resumes a stream,
        until its caller gives up.
        """
        if job.attempt_count or job.request.last_event_id is not None:
            return max(
                _MIN_PATIENCE_S,
                job.request.received_at + job.route.stream_patience_s - now)
        gate = self._gate_by_service.get(job.service)
        if gate is not None and gate.is_first_in_time(job):
            return max(_NO_QUEUE_S,
                       job.request.received_at + job.route.target_s - now)
        return _NO_QUEUE_S


def _max_permit_wait_s(job: request_job.RequestJob, now: float) -> float:
    """Returns how long a request may wait for a permit, in seconds."""
    target_left_s = job.request.received_at + job.route.target_s - now
    if job.has_missed_target or target_left_s <= 0:
        return min(_MAX_PERMIT_WAIT_S,
                   (job.deadline - now) * _PERMIT_WAIT_DEADLINE_SHARE)
    return target_left_s * _PERMIT_WAIT_SHARE
