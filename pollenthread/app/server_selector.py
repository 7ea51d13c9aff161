"""Finds a server for a request, and decides who waits for one."""

import dataclasses
import random

from pollenthread.app import request_state, serving_state
from pollenthread.core import errors, fleet, log_events, service_forecast
from pollenthread.ports import clock, event_log

__all__ = ['ServerSelector']

_MIN_TIME_LEFT_S = 0.02
# Callers give a stream up after two seconds without an event. A server that
# falls silent is found after 1.2 s, and another one needs some time to begin.
_LATE_WAIT_S = 0.4
_LATE_WAIT_SHARE = 0.25
# As often as agents tell the load.
_LATE_LOOK_S = 0.25
_LATE_SPARE_SHARE = 0.3


class ServerSelector:
    """Chooses servers by what is known of their load."""

    def __init__(self, *, state: serving_state.ServingState, time: clock.Clock,
                 log: event_log.EventLog, rng: random.Random) -> None:
        self._state = state
        self._clock = time
        self._log = log
        self._rng = rng
        self._waiting = 0

    async def select(self, job: request_state.RequestState) -> fleet.Server:
        """Chooses a server.

        Who has missed its aim already waits a little for a place that nobody
        else needs: the answer is worth the same then, and to be turned away
        again might be the end of it.

        Raises:
            request_job.Failed: no server would begin in time.
        """
        server = await self._wait_for_room(job) if _is_patient(job) else None
        if server is None:
            now = self._clock.monotonic()
            server = self._choose(job, now)
            if server is None:
                has_servers = any(self._state.fleet.ready(job.service))
                kind = (errors.Kind.OVERLOADED
                        if has_servers else errors.Kind.NO_UPSTREAM)
                raise request_state.RequestFailed(job.rejection(kind, now))
        return server

    async def _wait_for_room(self, job: request_state.RequestState) -> fleet.Server | None:
        """Waits for a place that nobody else needs; None if none comes."""
        now = self._clock.monotonic()
        patient_until = now + min(_LATE_WAIT_S,
                                  (job.deadline - now) * _LATE_WAIT_SHARE)
        self._waiting += 1
        try:
            while now < patient_until:
                if self._is_next(job, now):
                    server = self._choose(job,
                                          now,
                                          spare_share=_LATE_SPARE_SHARE)
                    if server is not None:
                        return server
                pause_s = _LATE_LOOK_S * self._rng.uniform(0.5, 1.5)
                await self._clock.sleep(min(pause_s, patient_until - now))
                now = self._clock.monotonic()
        finally:
            self._waiting -= 1
        return None

    def _is_next(self, job: request_state.RequestState, now: float) -> bool:
        """Draws lots among all who wait, so that not all hosts take one place.

        Other hosts have as many waiting, and see the same places.
        """
        room = self._state.loads.room(self._state.fleet.ready(job.service),
                                      spare_share=_LATE_SPARE_SHARE,
                                      now=now)
        rivals = self._waiting * self._state.entry_host_count
        return self._rng.random() * rivals < room

    def _choose(self,
                job: request_state.RequestState,
                now: float,
                *,
                spare_share: float = 0.0) -> fleet.Server | None:
        if job.deadline - now < _MIN_TIME_LEFT_S:
            raise request_state.RequestFailed(job.timeout_failure())
        need = dataclasses.replace(self._need(job, now),
                                   spare_share=spare_share)
        server = self._state.loads.choose(self._state.fleet.ready(job.service),
                                          excluded=job.tried_server_ids,
                                          data_centre=self._state.data_centre,
                                          need=need,
                                          hosts=self._state.entry_host_count,
                                          now=now)
        if server is not None:
            self._log_attempt(job, server, now)
        return server

    def _log_attempt(self, job: request_state.RequestState, server: fleet.Server,
                     now: float) -> None:
        config = self._state.config
        self._log.write(log_events.LogEvent.ATTEMPT,
                        important=False,
                        id=job.request.id,
                        server=server.id,
                        **self._state.loads.belief(server, now),
                        config=config.version if config else None,
                        is_late=job.has_missed_target,
                        left_s=round(job.deadline - now, 3))

    def _need(self, job: request_state.RequestState, now: float) -> service_forecast.Need:
        config = self._state.config
        service = config.services_by_name.get(job.service) if config else None
        if service is None or service.engine is None or not job.is_stream:
            return service_forecast.Need(job.deadline - now)
        engine = service.engine
        return service_forecast.Need(time_left_s=job.deadline - now,
                                     max_gap_s=job.route.max_gap_s,
                                     aim_left_s=_aim_left_s(job, now),
                                     passes=engine.usual_answer_tokens /
                                     engine.steps_per_pass)


def _aim_left_s(job: request_state.RequestState, now: float) -> float:
    """Seconds until a request that is new here would be late; else 0."""
    if job.has_missed_target or job.attempt_count or job.request.last_event_id is not None:
        return 0.0
    return max(0.0, job.request.received_at + job.route.target_s - now)


def _is_patient(job: request_state.RequestState) -> bool:
    """Whether the request waits rather than takes a place from others."""
    return job.has_missed_target and job.is_stream and not job.attempt_count
