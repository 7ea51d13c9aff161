"""Decides when the streams of one service are sent, and which are refused.

The gate of a service holds back requests while the room at its servers is
needed by more important ones, and requests that are late in any case while
others can still be in time. Each host decides by itself, from load reports and
heartbeats.
"""

import math
import random
from collections.abc import Awaitable, Callable

from pollenthread.app import request_job, serving_state
from pollenthread.app.admission import service_view
from pollenthread.app.routing import usable_servers
from pollenthread.core import errors, log_events, server_registry
from pollenthread.core.admission import send_allowance, waiting_queue
from pollenthread.ports import clock, event_log

__all__ = ['AdmissionGate', 'Selection']

Selection = Callable[[], Awaitable[server_registry.Server | None]]
"""Selects a server for a waiting request; None while there is none."""

_MAX_WAITING_REQUESTS = 512
_MAX_WAITING_BYTES = 16 * 1024 * 1024
# Memory of a waiting request beside its body.
_REQUEST_OVERHEAD_BYTES = 4096
_CHECK_INTERVAL_S = 0.04
_DISPATCH_INTERVAL_S = 0.02
# Share of a caller's patience after which its server must have the request.
_PATIENCE_SHARE = 0.8
# The longest wait while nothing shows that there will be room.
_MAX_BLIND_WAIT_S = 0.4
_RETRY_SPREAD = 0.25
_MIN_RETRY_AFTER_S = 0.2
# While fewer slots are taken, a request is not refused for lack of room.
_MIN_TAKEN_SHARE = 0.5


class AdmissionGate:
    """Admits the streams of one service with a model engine."""

    def __init__(self, *, service: str, state: serving_state.ServingState,
                 usable: usable_servers.UsableServers,
                 count: Callable[[str], None], time: clock.Clock,
                 log: event_log.EventLog, rng: random.Random) -> None:
        """Creates the gate.

        Args:
            service: the name of the service.
            state: the state of the host.
            usable: the servers that may be used.
            count: counts an event by its name.
            time: the clock.
            log: receives a line for each wait and refusal.
            rng: random numbers.
        """
        self._service = service
        self._state = state
        self._observer = service_view.ServiceObserver(service=service,
                                                      state=state,
                                                      usable=usable,
                                                      time=time)
        self._count = count
        self._clock = time
        self._log = log
        self._rng = rng
        self._queue = waiting_queue.WaitingQueue(
            max_requests=_MAX_WAITING_REQUESTS, max_bytes=_MAX_WAITING_BYTES)
        self._allowance_by_class: dict[int, send_allowance.SendAllowance] = {}
        self._job_by_waiting: dict[waiting_queue.WaitingRequest,
                                   request_job.RequestJob] = {}
        # The class by whose allowance a request has its turn.
        self._granted_class: dict[waiting_queue.WaitingRequest, int] = {}
        self._displaced: set[waiting_queue.WaitingRequest] = set()
        self._config_version = -1
        self._dispatched_at = -math.inf
        state.demand.set_waiting_source(service, self._queue.count_by_class)

    def record_arrival(self, job: request_job.RequestJob) -> None:
        """Counts a request of a caller in the demand."""
        view = self._observer.current(job)
        self._state.demand.record_arrival(self._service, _class_of(job, view),
                                          view.at)

    async def has_reports(self, job: request_job.RequestJob) -> bool:
        """Returns whether servers that may be used have reported their load.

        A request that is late in any case first waits for a report.
        """
        wait_until = self._clock.monotonic() + _MAX_BLIND_WAIT_S
        while not (view := self._observer.current(job)).forecast.known_share:
            if view.at >= wait_until or not job.has_missed_target:
                return False
            await self._clock.sleep(_CHECK_INTERVAL_S)
        return True

    def is_first_in_time(self, job: request_job.RequestJob) -> bool:
        """Whether a request is of the first level and can still be in time.

        Such a request may wait in the queue of a server if it will be in time.
        """
        return _class_of(job, self._observer.current(job)) == 0

    def keeps_last_slots(self, job: request_job.RequestJob) -> bool:
        """Whether a request must leave the last free slot of its server."""
        if not self.is_scarce(job):
            return False
        view = self._observer.current(job)
        class_index = next(
            (granted for waiting, granted in self._granted_class.items()
             if self._job_by_waiting[waiting] is job), _class_of(job, view))
        return view.keeps_last_slots(class_index)

    def is_scarce(self, job: request_job.RequestJob) -> bool:
        """Whether there is too little room for all requests of the service."""
        view = self._observer.current(job)
        return not view.room(view.late_class).is_plentiful

    def may_send_at_once(self, job: request_job.RequestJob) -> bool:
        """Whether a request need not wait for its turn.

        If there is no room for all requests of its class, only one of the first
        level may be sent at once, within the share of this host.
        """
        view = self._observer.current(job)
        class_index = _class_of(job, view)
        room = view.room(class_index)
        return room.is_plentiful or (class_index == 0 and
                                     self._allowance(0).allows(room, view.at))

    def record_sent(self, job: request_job.RequestJob) -> None:
        """Counts a request that was sent without a wait."""
        view = self._observer.current(job)
        self._allowance(_class_of(job, view)).record_sent(view.at)
        self._queue.record_turn(view.level_of(job))

    async def wait(self, job: request_job.RequestJob,
                   select: Selection) -> server_registry.Server:
        """Waits until it is the request's turn and a server has room.

        Args:
            job: the request.
            select: selects a server for it.

        Returns:
            The selected server.

        Raises:
            request_job.RequestFailed: no server will have room while the caller
                waits.
        """
        waiting = self._join(job)
        try:
            while True:
                self._check_prospects(waiting, job)
                self._dispatch(job)
                if waiting in self._granted_class:
                    server = await select()
                    if server is not None:
                        self._record_outcome(waiting, job, 'sent')
                        del self._granted_class[waiting]
                        self._queue.record_sent(waiting)
                        return server
                    self._withdraw_grant(waiting)
                await self._clock.sleep(_CHECK_INTERVAL_S *
                                        self._rng.uniform(0.5, 1.5))
        finally:
            self._withdraw_grant(waiting)
            self._displaced.discard(waiting)
            self._job_by_waiting.pop(waiting, None)
            self._queue.remove(waiting)

    def _join(self,
              job: request_job.RequestJob) -> waiting_queue.WaitingRequest:
        view = self._observer.current(job)
        waiting = waiting_queue.WaitingRequest(
            id=job.request.id,
            level=view.level_of(job),
            workspace=job.workspace.name if job.workspace else '',
            joined_at=view.at,
            in_time_until=_in_time_until(job, view),
            leaves_at=_leaves_at(job, view.at),
            size_bytes=len(job.request.body) + _REQUEST_OVERHEAD_BYTES)
        self._job_by_waiting[waiting] = job
        self._displaced.update(self._queue.push(waiting, view.at))
        return waiting

    def _dispatch(self, job: request_job.RequestJob) -> None:
        """Grants their turn to the next requests, as far as there is room."""
        now = self._clock.monotonic()
        if now - self._dispatched_at < _DISPATCH_INTERVAL_S:
            return
        self._dispatched_at = now
        view = self._observer.current(job)
        self._apply_config(view)
        full_classes: set[int] = set()

        def may_go(waiting: waiting_queue.WaitingRequest) -> bool:
            return _waiting_class(waiting, view) not in full_classes

        while (head := self._queue.next(now, may_go)) is not None:
            class_index = _waiting_class(head, view)
            if not self._may_send(class_index, view):
                full_classes.add(class_index)
                continue
            self._allowance(class_index).record_sent(now)
            self._granted_class[head] = class_index
            head.not_before = math.inf

    def _may_send(self, class_index: int,
                  view: service_view.ServiceView) -> bool:
        if class_index and view.forecast.free_slots < 1:
            return False
        return self._allowance(class_index).allows(view.room(class_index),
                                                   view.at)

    def _allowance(self, class_index: int) -> send_allowance.SendAllowance:
        found = self._allowance_by_class.get(class_index)
        if found is None:
            found = send_allowance.SendAllowance(rng=self._rng)
            self._allowance_by_class[class_index] = found
        return found

    def _withdraw_grant(self, waiting: waiting_queue.WaitingRequest) -> None:
        """Gives a turn back that was not used."""
        class_index = self._granted_class.pop(waiting, None)
        if class_index is not None:
            self._allowance(class_index).cancel_last()
            waiting.not_before = self._clock.monotonic() + _CHECK_INTERVAL_S

    def _apply_config(self, view: service_view.ServiceView) -> None:
        """Gives waiting requests their level in a new configuration."""
        if view.config.version == self._config_version:
            return
        self._config_version = view.config.version
        for waiting, job in self._job_by_waiting.items():
            waiting.level = view.level_of(job)

    # Refusals.

    def _check_prospects(self, waiting: waiting_queue.WaitingRequest,
                         job: request_job.RequestJob) -> None:
        """Refuses a request that no server will have room for in time.

        Raises:
            request_job.RequestFailed: if so.
        """
        view = self._observer.current(job)
        room = view.room(_waiting_class(waiting, view))
        reason = None
        if waiting in self._displaced:
            reason = 'the waiting queue is full'
        elif view.at >= waiting.leaves_at:
            reason = 'no room before its caller leaves'
        elif self._is_blind(room) and (view.at - waiting.joined_at
                                       >= _MAX_BLIND_WAIT_S):
            reason = 'the servers make no progress'
        elif (not job.has_missed_target and not self._is_blind(room) and
              _taken_share(view) >= _MIN_TAKEN_SHARE and
              view.at + room.wait_s > waiting.leaves_at):
            reason = 'its turn comes after its caller leaves'
        if reason is not None:
            self._refuse(waiting, job, room, reason)

    @staticmethod
    def _is_blind(room: send_allowance.Room) -> bool:
        """Whether nothing shows when there will be room."""
        return room.free_slots < 1 and room.frees_per_s <= 0

    def _refuse(self, waiting: waiting_queue.WaitingRequest,
                job: request_job.RequestJob, room: send_allowance.Room,
                reason: str) -> None:
        self._record_outcome(waiting, job, 'refused')
        now = self._clock.monotonic()
        spread = self._rng.uniform(1 - _RETRY_SPREAD, 1 + _RETRY_SPREAD)
        retry_after_s = min(job.max_retry_after_s(now),
                            max(_MIN_RETRY_AFTER_S, room.wait_s) * spread)
        if not job.may_have_run:
            job.last_failure = reason
        raise request_job.RequestFailed(
            job.rejection(errors.ErrorKind.OVERLOADED,
                          now,
                          retry_after_s=retry_after_s))

    def _record_outcome(self, waiting: waiting_queue.WaitingRequest,
                        job: request_job.RequestJob, outcome: str) -> None:
        view = self._observer.current(job)
        class_index = _waiting_class(waiting, view)
        self._count(f'{outcome}_after_wait')
        self._log.write(log_events.LogEvent.REQUEST_WAITED,
                        important=False,
                        id=job.request.id,
                        outcome=outcome,
                        level=waiting.level,
                        workspace=waiting.workspace,
                        is_late=not waiting.is_in_time(view.at),
                        waited_s=round(view.at - waiting.joined_at, 3),
                        **view.log_fields(view.room(class_index)))


def _class_of(job: request_job.RequestJob,
              view: service_view.ServiceView) -> int:
    """Returns the class of demand of a request."""
    if view.at > _in_time_until(job, view):
        return view.late_class
    return view.level_of(job)


def _waiting_class(waiting: waiting_queue.WaitingRequest,
                   view: service_view.ServiceView) -> int:
    """Returns the class whose room a waiting request may use."""
    if waiting.is_in_time(view.at) or waiting.is_leaving(view.at):
        return waiting.level
    return view.late_class


def _in_time_until(job: request_job.RequestJob,
                   view: service_view.ServiceView) -> float:
    """Returns the latest start with which a request is in time."""
    if job.has_missed_target:
        return -math.inf
    if job.attempt_count or job.request.last_event_id is not None:
        # Its caller has waited for a server that failed, or has a part.
        return math.inf
    engine = view.config.services_by_name[job.service].engine
    assert engine is not None
    return (job.request.received_at + job.route.target_s -
            service_view.first_event_s(engine))


def _leaves_at(job: request_job.RequestJob, now: float) -> float:
    """Returns the latest start with which the caller does not give up."""
    patience_s = job.route.stream_patience_s * _PATIENCE_SHARE
    leaves_at = job.request.received_at + patience_s
    if job.attempt_count or job.request.last_event_id is not None:
        leaves_at = max(leaves_at, now + _MAX_BLIND_WAIT_S)
    return min(leaves_at, job.deadline)


def _taken_share(view: service_view.ServiceView) -> float:
    """Returns the share of the known slots that are in use."""
    forecast = view.forecast
    if not forecast.slots:
        return 1.0
    return 1.0 - forecast.free_slots / forecast.slots
