"""Turns at an upstream: who runs, who waits and who is refused."""

import dataclasses
import enum
import math

from pollenthread.core import admission, errors, limits, service_times

__all__ = ['AdmissionDecision', 'UpstreamLoad', 'AdmissionController']

_MAX_QUEUED = 512
_SMOOTHING = 0.1
_INITIAL_HOLD_S = 0.5
_STALL_S = 1.5
_STALL_FACTOR = 3.0
_MIN_TARGET_S = 1e-3
_RESERVE_DECAY_S = 10.0
_RESERVE_STEP = 0.1
_MAX_RESERVE = 0.5
_FIRST_UNIT_SHARE = 0.5
_WAIT_MARGIN = 1.2


class AdmissionDecision(enum.Enum):
    """What becomes of an attempt that asks for its turn."""

    RUN = 'run'
    WAIT = 'wait'
    REFUSE = 'refuse'


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamLoad:
    """What is reported of an upstream.

    Attributes:
        running: attempts at the upstream.
        queued: attempts that wait, by importance.
        limit: attempts that may run at once; zero while it is stalled.
        hold_s: recent mean seconds that an attempt runs.
        first_s: recent mean seconds from its beginning to its first unit.
        token_s: recent mean seconds between tokens; zero when unknown.
    """

    running: int
    queued: tuple[int, ...]
    limit: int
    duration_s: float
    first_unit_s: float
    between_tokens_s: float


@dataclasses.dataclass(slots=True)
class _Running:
    """One attempt at the upstream."""

    ticket: admission.AdmissionRequest
    began_at: float
    first_at: float | None = None
    last_at: float = 0.0


class _Reserve:
    """The share of the limit kept for a level; refusals raise it, time not."""

    def __init__(self) -> None:
        self._share = 0.0
        self._at = 0.0

    def share_at(self, now: float) -> float:
        """The share at a time."""
        return self._share * math.exp((self._at - now) / _RESERVE_DECAY_S)

    def raise_at(self, now: float) -> None:
        """Counts a refusal."""
        self._share = min(_MAX_RESERVE, self.share_at(now) + _RESERVE_STEP)
        self._at = now


class AdmissionController:
    """Admits attempts to one upstream; time is passed in."""

    def __init__(self, *, now: float) -> None:
        self._limit = limits.ConcurrencyLimit(now=now)
        self._queue = admission.AdmissionQueue()
        self._running_by_attempt: dict[str, _Running] = {}
        self._waiting_by_attempt: dict[str, admission.AdmissionRequest] = {}
        self._times = service_times.ServiceTimes(initial_duration_s=_INITIAL_HOLD_S)
        self._token_s = 0.0
        self._progress_at = now
        self._suspect = False
        self._reserves = [_Reserve() for _ in range(admission.IMPORTANCE_LEVELS)]

    @property
    def running(self) -> int:
        """Attempts at the upstream."""
        return len(self._running_by_attempt)

    @property
    def queued(self) -> int:
        """Attempts that wait."""
        return len(self._queue)

    def load(self, now: float) -> UpstreamLoad:
        """What to report."""
        limit = 0 if self.is_stalled(now) else self._limit.value
        return UpstreamLoad(running=self.running,
                       queued=tuple(self._queue.lengths),
                       limit=limit,
                       duration_s=self._times.overall.duration_s,
                       first_unit_s=self._times.overall.first_unit_s,
                       between_tokens_s=self._token_s if self.running else 0.0)

    def is_stalled(self, now: float) -> bool:
        """Whether attempts run and none has had a part for too long."""
        if (not self._running_by_attempt or
                now - self._progress_at <= _STALL_S):
            return False
        self._suspect = self._suspect or any(
            now - max(self._progress_at, run.began_at) > self._patience_s(run)
            for run in self._running_by_attempt.values())
        return self._suspect

    def _patience_s(self, run: _Running) -> float:
        """How long an attempt may have no part before that is a stall."""
        if run.first_at is not None and not run.ticket.due_whole:
            return _STALL_S
        times = self._times.for_class(run.ticket.work_class)
        usual_s = times.duration_s if run.ticket.due_whole else times.first_unit_s
        return max(_STALL_S, _STALL_FACTOR * usual_s, _target_s(run.ticket))

    def admit(self, ticket: admission.AdmissionRequest,
              now: float) -> tuple[AdmissionDecision, errors.ErrorKind | None]:
        """Decides on an attempt that has come; refusals name their kind."""
        if self.is_stalled(now):
            return AdmissionDecision.REFUSE, errors.ErrorKind.OVERLOADED
        ahead = self._queue.count_ahead(ticket)
        if not ahead and self.running < self._room(ticket.importance, now):
            self._queue.record_served(ticket.workspace)
            self._start(ticket, now)
            return AdmissionDecision.RUN, None
        if len(self._queue) >= _MAX_QUEUED:
            return AdmissionDecision.REFUSE, errors.ErrorKind.OVERLOADED
        wait_s = _WAIT_MARGIN * (ahead + 1) * self._pace_s
        if now + wait_s > self._latest_start(ticket):
            self._reserves[ticket.importance].raise_at(now)
            return AdmissionDecision.REFUSE, errors.ErrorKind.DEADLINE_TOO_SHORT
        self._queue.push(ticket)
        self._waiting_by_attempt[ticket.attempt] = ticket
        return AdmissionDecision.WAIT, None

    def record_progress(self, attempt: str, now: float, units: int = 1) -> None:
        """Notes that an attempt has had a part of its answer."""
        self._progress_at = now
        self._suspect = False
        run = self._running_by_attempt.get(attempt)
        if run is None:
            return
        if run.first_at is None:
            run.first_at = now
            if not run.ticket.due_whole:
                target_s = _FIRST_UNIT_SHARE * _target_s(run.ticket)
                self._limit.record_latency(limits.LatencyMetric.FIRST_UNIT,
                                    (now - run.began_at) / target_s, now,
                                    run.began_at)
        elif units and run.ticket.between_tokens_s:
            self.record_token_gap((now - run.last_at) / units,
                             run.ticket.between_tokens_s, now)
        run.last_at = now

    def record_token_gap(self, gap_s: float, target_s: float, now: float) -> None:
        """Learns from the time between two tokens."""
        if not self._token_s:
            self._token_s = gap_s
        self._token_s += _SMOOTHING * (gap_s - self._token_s)
        self._limit.record_latency(limits.LatencyMetric.BETWEEN_TOKENS, gap_s / target_s,
                            now)

    def release(self, attempt: str, now: float) -> float:
        """Frees the turn, or the place in the queue, of an attempt.

        Returns:
            Seconds that it had its turn.
        """
        waiting = self._waiting_by_attempt.pop(attempt, None)
        if waiting is not None:
            self._queue.remove(waiting)
            return 0.0
        run = self._running_by_attempt.pop(attempt, None)
        if run is None:
            return 0.0
        self._limit.set_running(self.running)
        hold_s = now - run.began_at
        first_at = now if run.first_at is None else run.first_at
        first_s = first_at - run.began_at
        self._times.record(run.ticket.work_class, first_s, hold_s)
        if run.ticket.due_whole:
            self._limit.record_latency(limits.LatencyMetric.ANSWER,
                                hold_s / _target_s(run.ticket), now,
                                run.began_at)
        return hold_s

    def start_waiting(self, now: float) -> tuple[list[str], list[str]]:
        """Gives out free turns.

        Returns:
            Attempts that begin now, and waiting ones that are refused because
            they can no longer be answered in time.
        """
        refused = self._drop_late(now)
        started = []
        while not self.is_stalled(now):
            importance = self._queue.next_importance
            if importance is None or self.running >= self._room(
                    importance, now):
                break
            ticket = self._queue.pop()
            assert ticket is not None
            del self._waiting_by_attempt[ticket.attempt]
            if now > self._latest_start(ticket):
                self._reserves[ticket.importance].raise_at(now)
                refused.append(ticket.attempt)
                continue
            self._start(ticket, now)
            started.append(ticket.attempt)
        return started, refused

    def _drop_late(self, now: float) -> list[str]:
        if not self.queued:
            return []
        horizon = float('inf') if self.is_stalled(now) else now
        dropped = self._queue.remove_due_before(horizon)
        for ticket in dropped:
            del self._waiting_by_attempt[ticket.attempt]
            self._reserves[ticket.importance].raise_at(now)
        return [ticket.attempt for ticket in dropped]

    def _room(self, importance: int, now: float) -> int:
        """The part of the limit that a level may fill.

        Levels above that had to be refused lately keep a reserve, because
        they cannot wait for long attempts of the levels below.
        """
        kept = sum(
            reserve.share_at(now)
            for reserve in self._reserves[importance + 1:])
        if self._suspect:
            return 1
        return max(1, int(self._limit.value * (1 - min(_MAX_RESERVE, kept))))

    @property
    def _pace_s(self) -> float:
        """Expected seconds from one turn to the next."""
        return self._times.overall.duration_s / self._limit.value

    def _latest_start(self, ticket: admission.AdmissionRequest) -> float:
        """When a start is too late for the ticket's target."""
        times = self._times.for_class(ticket.work_class)
        service_s = times.duration_s if ticket.due_whole else times.first_unit_s
        return ticket.due_at - service_s

    def _start(self, ticket: admission.AdmissionRequest, now: float) -> None:
        if not self._running_by_attempt:
            self._progress_at = now
        self._running_by_attempt[ticket.attempt] = _Running(ticket,
                                                            now,
                                                            last_at=now)
        self._limit.set_running(self.running)


def _target_s(ticket: admission.AdmissionRequest) -> float:
    return max(ticket.due_at - ticket.arrived_at, _MIN_TARGET_S)
