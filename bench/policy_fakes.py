"""Engines, agents and entry hosts in virtual time, around core's decisions."""

import abc
import collections
import dataclasses
import heapq
import random
from collections.abc import Callable
from typing import Any

from bench import policy_types
from pollenthread.core import (admission_control, admission_queue, errors,
                               load_estimate, upstream_selection)

__all__ = ['Agent', 'Receiver', 'Reports']

_REPORT_S = 0.25
_TICK_S = 0.1
_PREFILL_RATE = 10000.0
_CACHED_PREFIXES = 12


class _FixedLimit:
    """The baselines' limit."""

    value = 64
    ratio = 0.0

    def set_running(self, running: int) -> None:
        """Learns nothing."""

    def record_latency(self, *_: object) -> None:
        """Learns nothing."""


class _Agent(admission_control.AdmissionController):
    """Slots without deadlines, for the baselines."""

    def _latest_start(self, request: admission_queue.AdmissionRequest) -> float:
        return float('inf')

    def _reject_overdue(self, now: float) -> list[str]:
        return []

    def is_stalled(self, now: float) -> bool:
        return False


class Receiver(abc.ABC):
    """Who gets an attempt's answer."""

    @abc.abstractmethod
    def first(self, name: str, request: policy_types.Request,
              agent: 'Agent') -> bool:
        """Takes the first unit; False when nobody waits for the rest."""

    @abc.abstractmethod
    def done(self, name: str, request: policy_types.Request, agent: 'Agent',
             service_s: float) -> None:
        """Takes the end marker and the time without the wait."""

    @abc.abstractmethod
    def failed(self, name: str, request: policy_types.Request, agent: 'Agent',
               ran: errors.Executed) -> None:
        """Takes a failure."""


class Agent(upstream_selection.Candidate):
    """An agent with its engine: serial prefill, then shared decoding steps."""

    def __init__(self, *, loop: policy_types.Loop, name: str,
                 policy: policy_types.Policy, lag_s: float,
                 step: tuple[float, float], place: int) -> None:
        self.loop = loop
        self.policy = policy
        self.place = place
        self.step = step
        self.slowness = 1.0
        self.stalled = False
        self.broken = False
        self.up = True
        self.reports_lost = False
        self.listeners: list[Callable[['Reports'], None]] = []
        self._name = name
        self._lag_s = lag_s
        self._cache = collections.OrderedDict[bytes, None]()
        self._seen_by_entry = collections.Counter[int]()
        self.reset()
        loop.at(random.Random(name).random() * _REPORT_S, self._report)
        loop.at(random.Random(name).random() * _TICK_S, self._tick)

    def reset(self) -> None:
        """Starts the processes anew."""
        now = self.loop.now
        make = (admission_control.AdmissionController
                if self.policy.deadlines else _Agent)
        self.slots = make(now=now)
        if not self.policy.learned_limit:
            setattr(self.slots, '_limit', _FixedLimit())
        self._cache.clear()
        self._prefilling: collections.deque[str] = collections.deque()
        self._decoding: list[tuple[float, str]] = []
        self._requests: dict[str, tuple[policy_types.Request, Receiver]] = {}
        self._progress = 0.0
        self._moved_at = now
        self._epoch = getattr(self, '_epoch', 0) + 1
        self._version = 0
        self.reported = self._make_report()

    @property
    def host(self) -> str:
        return self._name

    @property
    def is_usable(self) -> bool:
        return self.up

    @property
    def estimate(self) -> upstream_selection.UpstreamEstimate:
        reading = self.slots.load(self.loop.now)
        return upstream_selection.UpstreamEstimate(
            reading, reading.running + sum(reading.queued))

    def offer(self, name: str, request: policy_types.Request,
              entry: Receiver) -> None:
        """Takes an attempt from an entry host."""
        now = self.loop.now
        kind = request.kind
        self._requests[name] = (request, entry)
        self._seen_by_entry[id(entry)] += 1
        workspace = request.workspace if self.policy.fairness else 'all'
        ticket = admission_queue.AdmissionRequest(
            name, workspace, kind.name,
            kind.importance if self.policy.deadlines else 0, now,
            request.arrived_at + kind.first_s, not kind.gap_s, kind.gap_s)
        decision, _ = self.slots.admit(ticket, now)
        if self.broken:
            self._break(name)
        elif decision is admission_control.AdmissionDecision.RUN:
            self._begin(name)
        elif decision is admission_control.AdmissionDecision.REFUSE:
            self._refuse(name)

    def cancel(self, name: str) -> None:
        """Drops an attempt that nobody waits for."""
        if self._requests.pop(name, None) is not None:
            self._move()
            self._decoding = [d for d in self._decoding if d[1] != name]
            heapq.heapify(self._decoding)
            self._free(name)

    def crash(self) -> None:
        """Loses everything; entry hosts see their links break."""
        self.up = False
        lost = list(self._requests.items())
        self.reset()
        for name, (request, entry) in lost:
            entry.failed(name, request, self, errors.Executed.UNKNOWN)

    def _break(self, name: str) -> None:
        self.slots.release(name, self.loop.now)
        request, entry = self._requests.pop(name)
        entry.failed(name, request, self, errors.Executed.UNKNOWN)

    def _refuse(self, name: str) -> None:
        request, entry = self._requests.pop(name)
        entry.failed(name, request, self, errors.Executed.NO)

    def _begin(self, name: str) -> None:
        self._prefilling.append(name)
        if len(self._prefilling) == 1:
            self._prefill()

    def _prefill(self) -> None:
        while self._prefilling and self._prefilling[0] not in self._requests:
            self._prefilling.popleft()
        if not self._prefilling:
            return
        name = self._prefilling[0]
        request = self._requests[name][0]
        cached = request.prefix in self._cache
        work = request.kind.prompt * (1 if cached else 4)
        self._cache[request.prefix] = None
        self._cache.move_to_end(request.prefix)
        if len(self._cache) > _CACHED_PREFIXES:
            self._cache.popitem(last=False)
        epoch = self._epoch
        self.loop.at(self.loop.now + work / _PREFILL_RATE * self.slowness,
                     lambda: self._prefilled(name, epoch))

    def _prefilled(self, name: str, epoch: int) -> None:
        if epoch != self._epoch:
            return
        if self.stalled:
            self.loop.at(self.loop.now + _TICK_S,
                         lambda: self._prefilled(name, epoch))
            return
        self._prefilling.popleft()
        self._prefill()
        if name in self._requests:
            request, entry = self._requests[name]
            self.slots.record_progress(name, self.loop.now)
            if entry.first(name, request, self):
                self._move()
                heapq.heappush(self._decoding,
                               (self._progress + request.tokens, name))
                self._schedule()

    def _step_s(self) -> float:
        base, each = self.step
        return (base + each * len(self._decoding)) * self.slowness

    def _move(self) -> None:
        if self._decoding and not self.stalled:
            self._progress += (self.loop.now - self._moved_at) / self._step_s()
        self._moved_at = self.loop.now

    def change(self, **faults: Any) -> None:
        """Sets faults."""
        self._move()
        for name, value in faults.items():
            setattr(self, name, value)
        self._schedule()

    def _schedule(self) -> None:
        self._version += 1
        if self._decoding and not self.stalled:
            left = max(0.0, self._decoding[0][0] - self._progress)
            mark = (self._epoch, self._version)
            self.loop.at(self.loop.now + left * self._step_s(),
                         lambda: self._decoded(mark))

    def _decoded(self, mark: tuple[int, int]) -> None:
        if mark != (self._epoch, self._version):
            return
        self._move()
        _, name = heapq.heappop(self._decoding)
        request, entry = self._requests.pop(name)
        service_s = self.slots.release(name, self.loop.now)
        entry.done(name, request, self, service_s)
        self._schedule()
        self._advance()

    def _free(self, name: str) -> None:
        self.slots.release(name, self.loop.now)
        self._schedule()
        self._advance()

    def _advance(self) -> None:
        started, refused = self.slots.assign_slots(self.loop.now)
        for name in started:
            self._begin(name)
        for name in refused:
            self._refuse(name)

    def _tick(self) -> None:
        self.loop.at(self.loop.now + _TICK_S, self._tick)
        if self._decoding and not self.stalled:
            names = [name for _, name in self._decoding]
            self.slots.record_progress(names[0], self.loop.now, 0)
            target_s = max(self._requests[n][0].kind.gap_s for n in names)
            if target_s:
                self.slots.record_token_gap(self._step_s(), target_s,
                                            self.loop.now)
        self._advance()

    def _report(self) -> None:
        self.loop.at(self.loop.now + _REPORT_S, self._report)
        if self.up and not self.reports_lost:
            reports = self._make_report()
            self.loop.at(self.loop.now + self._lag_s,
                         lambda: self._deliver(reports))

    def _make_report(self) -> 'Reports':
        return Reports(
            self.slots.load(self.loop.now),
            collections.Counter(
                id(entry) for _, entry in self._requests.values()),
            dict(self._seen_by_entry))

    def _deliver(self, reports: 'Reports') -> None:
        self.reported = reports
        for listener in self.listeners:
            listener(reports)


@dataclasses.dataclass(frozen=True)
class Reports:
    """One round of reports to all entry hosts."""

    reading: admission_control.UpstreamLoad
    own_by_entry: collections.Counter[int]
    seen_by_entry: dict[int, int]

    def to(self, entry: Receiver, sent: load_estimate.SentAttemptLog,
           now: float) -> load_estimate.UpstreamLoadReport:
        """The report to one entry host."""
        seen = self.seen_by_entry.get(id(entry), 0)
        return load_estimate.UpstreamLoadReport(self.reading,
                                                self.own_by_entry[id(entry)],
                                                sent.report_time(seen, now))
