"""Selects a server for a request, or waits until one has a free slot."""

import dataclasses
import math
import random
from collections.abc import Sequence

from pollenthread.app import rate_permits, request_job, serving_state
from pollenthread.app.routing import usable_servers
from pollenthread.core import (errors, log_events, server_registry,
                               service_estimate)
from pollenthread.ports import clock, event_log

__all__ = ['ServerSelector']

_MIN_TIME_LEFT_S = 0.02
# Callers abandon a stream after 2 s without an event, and a silent server is
# detected after 1.2 s; the rest is left for another server to start.
_MAX_SLOT_WAIT_S = 0.4
_SLOT_WAIT_SHARE = 0.25
# Equals the interval at which agents report their load.
_SLOT_POLL_INTERVAL_S = 0.25
_RESERVED_SLOT_SHARE = 0.3
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
                 permits: rate_permits.RatePermits, time: clock.Clock,
                 log: event_log.EventLog, rng: random.Random) -> None:
        self._state = state
        self._permits = permits
        self._usable = usable_servers.UsableServers(state=state,
                                                    permits=permits,
                                                    time=time)
        self._clock = time
        self._log = log
        self._rng = rng
        self._waiting_count = 0

    async def select(self,
                     job: request_job.RequestJob) -> server_registry.Server:
        """Selects a server for the next attempt of a request.

        A request that has already missed its latency target first waits for a
        slot that no other request needs: its response is late in any case, and
        another rejection may make the caller give up.

        Args:
            job: the request.

        Returns:
            The server to send the request to.

        Raises:
            request_job.RequestFailed: no server would start the request in
                time.
        """
        server = await self._wait_for_free_slot(job) if _waits_for_free_slot(
            job) else None
        if server is None:
            server = (await self._select_permitted(job) or
                      await self._wait_for_permit(job))
            if server is None:
                raise request_job.RequestFailed(self._rejection(job))
        return server

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

    async def _wait_for_free_slot(
            self, job: request_job.RequestJob) -> server_registry.Server | None:
        """Waits for a slot no other request needs; None after a timeout."""
        now = self._clock.monotonic()
        wait_until = now + min(_MAX_SLOT_WAIT_S,
                               (job.deadline - now) * _SLOT_WAIT_SHARE)
        self._waiting_count += 1
        try:
            while now < wait_until:
                if self._wins_draw(job, now):
                    server = await self._select_permitted(
                        job, reserved_share=_RESERVED_SLOT_SHARE)
                    if server is not None:
                        return server
                pause_s = _SLOT_POLL_INTERVAL_S * self._rng.uniform(0.5, 1.5)
                await self._clock.sleep(min(pause_s, wait_until - now))
                now = self._clock.monotonic()
        finally:
            self._waiting_count -= 1
        return None

    def _wins_draw(self, job: request_job.RequestJob, now: float) -> bool:
        """Draws at random whether this request may take a free slot now.

        All entry hosts see the same free slots, so without the draw they would
        all send a request to one slot. Assumes that as many requests wait on
        every entry host as on this one.
        """
        free_slots = self._state.server_loads.free_slots(
            self._usable.permitted(job.service),
            reserved_share=_RESERVED_SLOT_SHARE,
            now=now)
        waiting_count = self._waiting_count * self._state.entry_host_count
        return self._rng.random() * waiting_count < free_slots

    async def _select_permitted(
            self,
            job: request_job.RequestJob,
            *,
            reserved_share: float = 0.0) -> server_registry.Server | None:
        """Selects a server that a request may be sent to now, or None.

        A server that refuses a permit is no candidate until the next one.
        """
        for _ in range(_MAX_PERMIT_QUESTIONS):
            now = self._clock.monotonic()
            server = self._try_select(job,
                                      self._usable.permitted(job.service),
                                      now,
                                      reserved_share=reserved_share)
            if server is None:
                return None
            permit = await self._permits.acquire(server, 0.0)
            if permit.is_granted:
                return self._selected(job, server)
        server = self._try_select(job,
                                  self._usable.unlimited(job.service),
                                  self._clock.monotonic(),
                                  reserved_share=reserved_share)
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

    def _try_select(
            self,
            job: request_job.RequestJob,
            servers: Sequence[server_registry.Server],
            now: float,
            *,
            reserved_share: float = 0.0) -> server_registry.Server | None:
        if job.deadline - now < _MIN_TIME_LEFT_S:
            raise request_job.RequestFailed(job.timeout_failure())
        requirements = dataclasses.replace(self._requirements(job, now),
                                           reserved_share=reserved_share)
        return self._state.server_loads.select(
            servers,
            excluded=job.tried_server_ids,
            data_centre=self._state.data_centre,
            requirements=requirements,
            hosts=self._state.entry_host_count,
            now=now)

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
        work = job.work = self._state.work_estimator.estimate(
            job.request, job.route.name, engine)
        return service_estimate.RequestRequirements(
            time_left_s=job.deadline - now,
            max_gap_s=job.route.max_gap_s,
            target_left_s=_target_left_s(job, now),
            passes=work.passes,
            low_passes=0.0 if job.last_event_id else work.low_passes,
            others_passes=engine.mean_output_tokens / engine.steps_per_pass,
            kv_tokens=work.kv_tokens)


def _target_left_s(job: request_job.RequestJob, now: float) -> float:
    """Seconds until the first event is due.

    Returns 0 for a retry, a resumed stream, and a request that has already
    missed its target.
    """
    if (job.has_missed_target or job.attempt_count or
            job.request.last_event_id is not None):
        return 0.0
    return max(0.0, job.request.received_at + job.route.target_s - now)


def _waits_for_free_slot(job: request_job.RequestJob) -> bool:
    """Whether to wait for a slot that no other request needs."""
    return job.has_missed_target and job.is_stream and not job.attempt_count


def _max_permit_wait_s(job: request_job.RequestJob, now: float) -> float:
    """Returns how long a request may wait for a permit, in seconds."""
    target_left_s = job.request.received_at + job.route.target_s - now
    if job.has_missed_target or target_left_s <= 0:
        return min(_MAX_SLOT_WAIT_S, (job.deadline - now) * _SLOT_WAIT_SHARE)
    return target_left_s * _PERMIT_WAIT_SHARE
