"""Admission control for one upstream: runs, queues or rejects attempts."""

import dataclasses
import enum
import math

from pollenthread.core import (admission_queue, concurrency_limit, errors,
                               service_times)

__all__ = ['AdmissionDecision', 'UpstreamLoad', 'AdmissionController']

_MAX_QUEUED = 512
_SMOOTHING = 0.1
_INITIAL_DURATION_S = 0.5
_STALL_S = 1.5
_STALL_FACTOR = 3.0
_MIN_TARGET_S = 1e-3
_RESERVE_DECAY_S = 10.0
_RESERVE_INCREMENT = 0.1
_MAX_RESERVE = 0.5
_FIRST_UNIT_TARGET_SHARE = 0.5
_WAIT_SAFETY_FACTOR = 1.2


class AdmissionDecision(enum.Enum):
    """The decision about an attempt that requests a slot."""

    RUN = 'run'
    WAIT = 'wait'
    REJECT = 'refuse'


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamLoad:
    """The load of an upstream, as sent in load reports.

    Attributes:
        running: number of running attempts.
        queued: number of queued attempts, indexed by importance.
        limit: concurrency limit; zero while the upstream is stalled.
        duration_s: recent mean duration of an attempt, in seconds.
        first_unit_s: recent mean time from the start of an attempt to its
            first unit, in seconds.
        between_tokens_s: recent mean time between tokens, in seconds; zero if
            unknown.
    """

    running: int
    queued: tuple[int, ...]
    limit: int
    duration_s: float
    first_unit_s: float
    between_tokens_s: float


@dataclasses.dataclass(slots=True)
class _RunningAttempt:
    """An attempt that holds a slot; times are monotonic seconds."""

    request: admission_queue.AdmissionRequest
    began_at: float
    first_at: float | None = None
    last_at: float = 0.0


class _CapacityReserve:
    """The share of the limit reserved for one importance level.

    Each rejection increases the share; it decays exponentially over time.
    """

    def __init__(self) -> None:
        self._share = 0.0
        self._updated_at = 0.0

    def get_share(self, now: float) -> float:
        """Returns the share at a time."""
        return self._share * math.exp(
            (self._updated_at - now) / _RESERVE_DECAY_S)

    def increase(self, now: float) -> None:
        """Increases the share after a rejection."""
        self._share = min(_MAX_RESERVE,
                          self.get_share(now) + _RESERVE_INCREMENT)
        self._updated_at = now


class AdmissionController:
    """Limits the concurrent attempts at one upstream.

    All methods take the current time in monotonic seconds as `now`.
    """

    def __init__(self, *, now: float) -> None:
        self._limit = concurrency_limit.ConcurrencyLimit(now=now)
        self._queue = admission_queue.AdmissionQueue()
        self._running_by_attempt: dict[str, _RunningAttempt] = {}
        self._waiting_by_attempt: dict[str,
                                       admission_queue.AdmissionRequest] = {}
        self._times = service_times.ServiceTimes(
            initial_duration_s=_INITIAL_DURATION_S)
        self._token_s = 0.0
        self._progress_at = now
        self._is_suspected_stalled = False
        self._reserves = [
            _CapacityReserve() for _ in range(admission_queue.IMPORTANCE_LEVELS)
        ]

    @property
    def running(self) -> int:
        """The number of running attempts."""
        return len(self._running_by_attempt)

    @property
    def queued(self) -> int:
        """The number of queued attempts."""
        return len(self._queue)

    def load(self, now: float) -> UpstreamLoad:
        """Returns the load to report to entry hosts."""
        limit = 0 if self.is_stalled(now) else self._limit.value
        return UpstreamLoad(
            running=self.running,
            queued=tuple(self._queue.lengths),
            limit=limit,
            duration_s=self._times.overall.duration_s,
            first_unit_s=self._times.overall.first_unit_s,
            between_tokens_s=self._token_s if self.running else 0.0)

    def is_stalled(self, now: float) -> bool:
        """Returns whether attempts are running without progress for too long.

        Once detected, a stall lasts until the next progress of any attempt.
        """
        if (not self._running_by_attempt or
                now - self._progress_at <= _STALL_S):
            return False
        self._is_suspected_stalled = self._is_suspected_stalled or any(
            now -
            max(self._progress_at, run.began_at) > self._stall_timeout_s(run)
            for run in self._running_by_attempt.values())
        return self._is_suspected_stalled

    def _stall_timeout_s(self, run: _RunningAttempt) -> float:
        """Returns the seconds without progress that count as a stall."""
        if run.first_at is not None and not run.request.due_whole:
            return _STALL_S
        times = self._times.for_class(run.request.work_class)
        expected_s = (times.duration_s
                      if run.request.due_whole else times.first_unit_s)
        return max(_STALL_S, _STALL_FACTOR * expected_s, _target_s(run.request))

    def admit(self, request: admission_queue.AdmissionRequest,
              now: float) -> tuple[AdmissionDecision, errors.ErrorKind | None]:
        """Decides whether a new attempt runs, waits or is rejected.

        Returns:
            The decision, and the kind of error if the attempt is rejected.
        """
        if self.is_stalled(now):
            return AdmissionDecision.REJECT, errors.ErrorKind.OVERLOADED
        ahead = self._queue.count_ahead(request)
        if not ahead and self.running < self._limit_for(request.importance,
                                                        now):
            self._queue.record_served(request.workspace)
            self._start(request, now)
            return AdmissionDecision.RUN, None
        if len(self._queue) >= _MAX_QUEUED:
            return AdmissionDecision.REJECT, errors.ErrorKind.OVERLOADED
        wait_s = _WAIT_SAFETY_FACTOR * (ahead + 1) * self._slot_interval_s
        if now + wait_s > self._latest_start(request):
            self._reserves[request.importance].increase(now)
            return AdmissionDecision.REJECT, errors.ErrorKind.DEADLINE_TOO_SHORT
        self._queue.push(request)
        self._waiting_by_attempt[request.attempt] = request
        return AdmissionDecision.WAIT, None

    def record_progress(self, attempt: str, now: float, units: int = 1) -> None:
        """Records that an attempt has received a chunk of its response.

        Args:
            attempt: the attempt's id.
            now: monotonic seconds.
            units: number of tokens in the chunk.
        """
        self._progress_at = now
        self._is_suspected_stalled = False
        run = self._running_by_attempt.get(attempt)
        if run is None:
            return
        if run.first_at is None:
            run.first_at = now
            if not run.request.due_whole:
                target_s = _FIRST_UNIT_TARGET_SHARE * _target_s(run.request)
                self._limit.record_latency(
                    concurrency_limit.LatencyMetric.FIRST_UNIT,
                    (now - run.began_at) / target_s, now, run.began_at)
        elif units and run.request.between_tokens_s:
            self.record_token_gap((now - run.last_at) / units,
                                  run.request.between_tokens_s, now)
        run.last_at = now

    def record_token_gap(self, gap_s: float, target_s: float,
                         now: float) -> None:
        """Records the time between two tokens, in seconds."""
        if not self._token_s:
            self._token_s = gap_s
        self._token_s += _SMOOTHING * (gap_s - self._token_s)
        self._limit.record_latency(
            concurrency_limit.LatencyMetric.BETWEEN_TOKENS, gap_s / target_s,
            now)

    def release(self, attempt: str, now: float) -> float:
        """Releases the slot of an attempt or removes it from the queue.

        Returns:
            Seconds for which the attempt held a slot.
        """
        waiting = self._waiting_by_attempt.pop(attempt, None)
        if waiting is not None:
            self._queue.remove(waiting)
            return 0.0
        run = self._running_by_attempt.pop(attempt, None)
        if run is None:
            return 0.0
        self._limit.set_running(self.running)
        duration_s = now - run.began_at
        first_at = now if run.first_at is None else run.first_at
        first_unit_s = first_at - run.began_at
        self._times.record(run.request.work_class, first_unit_s, duration_s)
        if run.request.due_whole:
            self._limit.record_latency(
                concurrency_limit.LatencyMetric.WHOLE_RESPONSE,
                duration_s / _target_s(run.request), now, run.began_at)
        return duration_s

    def assign_slots(self, now: float) -> tuple[list[str], list[str]]:
        """Assigns free slots to queued attempts.

        Returns:
            The ids of the attempts that start now, and the ids of queued
            attempts that are rejected because they cannot meet their target.
        """
        rejected = self._reject_overdue(now)
        started = []
        while not self.is_stalled(now):
            importance = self._queue.next_importance
            if importance is None or self.running >= self._limit_for(
                    importance, now):
                break
            request = self._queue.pop()
            assert request is not None
            del self._waiting_by_attempt[request.attempt]
            if now > self._latest_start(request):
                self._reserves[request.importance].increase(now)
                rejected.append(request.attempt)
                continue
            self._start(request, now)
            started.append(request.attempt)
        return started, rejected

    def _reject_overdue(self, now: float) -> list[str]:
        if not self.queued:
            return []
        cutoff = float('inf') if self.is_stalled(now) else now
        overdue = self._queue.remove_due_before(cutoff)
        for request in overdue:
            del self._waiting_by_attempt[request.attempt]
            self._reserves[request.importance].increase(now)
        return [request.attempt for request in overdue]

    def _limit_for(self, importance: int, now: float) -> int:
        """Returns the part of the limit that an importance level may use.

        Higher levels with recent rejections hold a reserve, because their
        attempts cannot wait for long attempts of lower levels to end.
        """
        reserved = sum(
            reserve.get_share(now)
            for reserve in self._reserves[importance + 1:])
        if self._is_suspected_stalled:
            return 1
        return max(1,
                   int(self._limit.value * (1 - min(_MAX_RESERVE, reserved))))

    @property
    def _slot_interval_s(self) -> float:
        """Expected seconds until the next slot becomes free."""
        return self._times.overall.duration_s / self._limit.value

    def _latest_start(self, request: admission_queue.AdmissionRequest) -> float:
        """Returns the latest start at which the target can be met."""
        times = self._times.for_class(request.work_class)
        service_s = (times.duration_s
                     if request.due_whole else times.first_unit_s)
        return request.due_at - service_s

    def _start(self, request: admission_queue.AdmissionRequest,
               now: float) -> None:
        if not self._running_by_attempt:
            self._progress_at = now
        self._running_by_attempt[request.attempt] = _RunningAttempt(request,
                                                                    now,
                                                                    last_at=now)
        self._limit.set_running(self.running)


def _target_s(request: admission_queue.AdmissionRequest) -> float:
    return max(request.due_at - request.arrived_at, _MIN_TARGET_S)
