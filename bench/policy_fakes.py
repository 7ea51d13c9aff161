"""Simulated agents with their engines, for `bench.policy`.

Admission and load reports are those of pollenthread; time is virtual.
"""

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

__all__ = ['Agent', 'AttemptListener', 'LoadReports']

_REPORT_INTERVAL_S = 0.25
_TICK_INTERVAL_S = 0.1
_PREFILL_TOKENS_PER_S = 10000.0
_MAX_CACHED_PREFIXES = 12


class _FixedLimit:
    """The fixed concurrency limit of the baselines.

    It replaces a `ConcurrencyLimit` and ignores what is recorded.
    """

    value = 64
    ratio = 0.0

    def set_running(self, running: int) -> None:
        """Does nothing."""

    def record_latency(self, *_: object) -> None:
        """Does nothing."""


class _BaselineAdmissionController(admission_control.AdmissionController):
    """Admission control without deadlines, for the baselines."""

    def _latest_start(self, request: admission_queue.AdmissionRequest) -> float:
        return float('inf')

    def _reject_overdue(self, now: float) -> list[str]:
        return []

    def is_stalled(self, now: float) -> bool:
        return False


class AttemptListener(abc.ABC):
    """Receives the progress of attempts."""

    @abc.abstractmethod
    def on_first_token(self, name: str, request: policy_types.Request,
                       agent: 'Agent') -> bool:
        """Handles the first token of an attempt.

        Returns:
            False if another attempt has already sent a first token.
        """

    @abc.abstractmethod
    def on_done(self, name: str, request: policy_types.Request, agent: 'Agent',
                service_s: float) -> None:
        """Handles the end of an attempt.

        Args:
            name: name of the attempt.
            request: its request.
            agent: the agent that ran it.
            service_s: time without the wait in the queue, in seconds.
        """

    @abc.abstractmethod
    def on_failed(self, name: str, request: policy_types.Request,
                  agent: 'Agent', executed: errors.Executed) -> None:
        """Handles the failure of an attempt.

        Args:
            name: name of the attempt.
            request: its request.
            agent: the agent that received it.
            executed: whether the attempt was executed.
        """


class Agent(upstream_selection.Candidate):
    """An agent with its engine.

    The engine prefills one prompt at a time and decodes all prefilled requests
    in common steps.

    Attributes:
        loop: the event loop.
        policy: the enabled mechanisms.
        data_centre: index of the data centre of the agent.
        step_cost_s: duration of a decoding step in seconds: the fixed part and
            the part for each request.
        slowdown: factor on the duration of all work.
        stalled: whether the engine makes no progress.
        broken: whether the agent fails each attempt.
        up: whether the agent runs.
        reports_lost: whether load reports are lost.
        listeners: callbacks for load reports.
        admission: the admission control of the agent.
        last_reports: the load reports that were delivered last.
    """

    def __init__(self, *, loop: policy_types.EventLoop, name: str,
                 policy: policy_types.Policy, lag_s: float,
                 step_cost_s: tuple[float, float], data_centre: int) -> None:
        self.loop = loop
        self.policy = policy
        self.data_centre = data_centre
        self.step_cost_s = step_cost_s
        self.slowdown = 1.0
        self.stalled = False
        self.broken = False
        self.up = True
        self.reports_lost = False
        self.listeners: list[Callable[['LoadReports'], None]] = []
        self._name = name
        self._lag_s = lag_s
        self._cache = collections.OrderedDict[bytes, None]()
        self._received_by_entry = collections.Counter[int]()
        self.reset()
        loop.call_at(
            random.Random(name).random() * _REPORT_INTERVAL_S,
            self._send_reports)
        loop.call_at(
            random.Random(name).random() * _TICK_INTERVAL_S, self._tick)

    def reset(self) -> None:
        """Resets the state as after a restart of the agent and its engine."""
        now = self.loop.now
        controller_class = (admission_control.AdmissionController
                            if self.policy.deadlines else
                            _BaselineAdmissionController)
        self.admission = controller_class(now=now)
        if not self.policy.learned_limit:
            setattr(self.admission, '_limit', _FixedLimit())
        self._cache.clear()
        self._prefilling: collections.deque[str] = collections.deque()
        self._decoding: list[tuple[float, str]] = []
        self._requests: dict[str, tuple[policy_types.Request,
                                        AttemptListener]] = {}
        self._steps_done = 0.0
        self._progress_updated_at = now
        self._epoch = getattr(self, '_epoch', 0) + 1
        self._schedule_version = 0
        self.last_reports = self._create_reports()

    @property
    def host(self) -> str:
        return self._name

    @property
    def is_usable(self) -> bool:
        return self.up

    @property
    def estimate(self) -> upstream_selection.UpstreamEstimate:
        load = self.admission.load(self.loop.now)
        return upstream_selection.UpstreamEstimate(
            load, load.running + sum(load.queued))

    def submit(self, name: str, request: policy_types.Request,
               entry: AttemptListener) -> None:
        """Accepts an attempt from an entry host.

        Args:
            name: name of the attempt.
            request: its request.
            entry: receives the progress of the attempt.
        """
        now = self.loop.now
        request_class = request.request_class
        self._requests[name] = (request, entry)
        self._received_by_entry[id(entry)] += 1
        workspace = request.workspace if self.policy.fairness else 'all'
        admission_request = admission_queue.AdmissionRequest(
            name, workspace, request_class.name,
            request_class.importance if self.policy.deadlines else 0, now,
            request.arrived_at + request_class.latency_target_s,
            not request_class.token_gap_target_s,
            request_class.token_gap_target_s)
        decision, _ = self.admission.admit(admission_request, now)
        if self.broken:
            self._fail_attempt(name)
        elif decision is admission_control.AdmissionDecision.RUN:
            self._start_attempt(name)
        elif decision is admission_control.AdmissionDecision.REJECT:
            self._reject_attempt(name)

    def cancel(self, name: str) -> None:
        """Cancels an attempt."""
        if self._requests.pop(name, None) is not None:
            self._update_progress()
            self._decoding = [d for d in self._decoding if d[1] != name]
            heapq.heapify(self._decoding)
            self._release_slot(name)

    def crash(self) -> None:
        """Stops the agent; all its attempts fail with an unknown result."""
        self.up = False
        aborted = list(self._requests.items())
        self.reset()
        for name, (request, entry) in aborted:
            entry.on_failed(name, request, self, errors.Executed.UNKNOWN)

    def _fail_attempt(self, name: str) -> None:
        self.admission.release(name, self.loop.now)
        request, entry = self._requests.pop(name)
        entry.on_failed(name, request, self, errors.Executed.UNKNOWN)

    def _reject_attempt(self, name: str) -> None:
        request, entry = self._requests.pop(name)
        entry.on_failed(name, request, self, errors.Executed.NO)

    def _start_attempt(self, name: str) -> None:
        self._prefilling.append(name)
        if len(self._prefilling) == 1:
            self._start_prefill()

    def _start_prefill(self) -> None:
        while self._prefilling and self._prefilling[0] not in self._requests:
            self._prefilling.popleft()
        if not self._prefilling:
            return
        name = self._prefilling[0]
        request = self._requests[name][0]
        cached = request.prefix in self._cache
        tokens = request.request_class.prompt_tokens * (1 if cached else 4)
        self._cache[request.prefix] = None
        self._cache.move_to_end(request.prefix)
        if len(self._cache) > _MAX_CACHED_PREFIXES:
            self._cache.popitem(last=False)
        epoch = self._epoch
        self.loop.call_at(
            self.loop.now + tokens / _PREFILL_TOKENS_PER_S * self.slowdown,
            lambda: self._on_prefilled(name, epoch))

    def _on_prefilled(self, name: str, epoch: int) -> None:
        if epoch != self._epoch:
            return
        if self.stalled:
            self.loop.call_at(self.loop.now + _TICK_INTERVAL_S,
                              lambda: self._on_prefilled(name, epoch))
            return
        self._prefilling.popleft()
        self._start_prefill()
        if name in self._requests:
            request, entry = self._requests[name]
            self.admission.record_progress(name, self.loop.now)
            if entry.on_first_token(name, request, self):
                self._update_progress()
                heapq.heappush(self._decoding,
                               (self._steps_done + request.tokens, name))
                self._schedule_completion()

    def _step_duration_s(self) -> float:
        base_s, per_request_s = self.step_cost_s
        return (base_s + per_request_s * len(self._decoding)) * self.slowdown

    def _update_progress(self) -> None:
        if self._decoding and not self.stalled:
            self._steps_done += (self.loop.now - self._progress_updated_at
                                ) / self._step_duration_s()
        self._progress_updated_at = self.loop.now

    def set_faults(self, **faults: Any) -> None:
        """Sets attributes of the agent that model faults, by name."""
        self._update_progress()
        for name, value in faults.items():
            setattr(self, name, value)
        self._schedule_completion()

    def _schedule_completion(self) -> None:
        self._schedule_version += 1
        if self._decoding and not self.stalled:
            remaining_steps = max(0.0, self._decoding[0][0] - self._steps_done)
            expected_version = (self._epoch, self._schedule_version)
            self.loop.call_at(
                self.loop.now + remaining_steps * self._step_duration_s(),
                lambda: self._on_decoded(expected_version))

    def _on_decoded(self, expected_version: tuple[int, int]) -> None:
        if expected_version != (self._epoch, self._schedule_version):
            return
        self._update_progress()
        _, name = heapq.heappop(self._decoding)
        request, entry = self._requests.pop(name)
        service_s = self.admission.release(name, self.loop.now)
        entry.on_done(name, request, self, service_s)
        self._schedule_completion()
        self._assign_free_slots()

    def _release_slot(self, name: str) -> None:
        self.admission.release(name, self.loop.now)
        self._schedule_completion()
        self._assign_free_slots()

    def _assign_free_slots(self) -> None:
        started, rejected = self.admission.assign_slots(self.loop.now)
        for name in started:
            self._start_attempt(name)
        for name in rejected:
            self._reject_attempt(name)

    def _tick(self) -> None:
        self.loop.call_at(self.loop.now + _TICK_INTERVAL_S, self._tick)
        if self._decoding and not self.stalled:
            names = [name for _, name in self._decoding]
            self.admission.record_progress(names[0], self.loop.now, 0)
            target_s = max(self._requests[n][0].request_class.token_gap_target_s
                           for n in names)
            if target_s:
                self.admission.record_token_gap(self._step_duration_s(),
                                                target_s, self.loop.now)
        self._assign_free_slots()

    def _send_reports(self) -> None:
        self.loop.call_at(self.loop.now + _REPORT_INTERVAL_S,
                          self._send_reports)
        if self.up and not self.reports_lost:
            reports = self._create_reports()
            self.loop.call_at(self.loop.now + self._lag_s,
                              lambda: self._deliver_reports(reports))

    def _create_reports(self) -> 'LoadReports':
        return LoadReports(
            self.admission.load(self.loop.now),
            collections.Counter(
                id(entry) for _, entry in self._requests.values()),
            dict(self._received_by_entry))

    def _deliver_reports(self, reports: 'LoadReports') -> None:
        self.last_reports = reports
        for listener in self.listeners:
            listener(reports)


@dataclasses.dataclass(frozen=True)
class LoadReports:
    """The load reports of an agent to all entry hosts at one time.

    Attributes:
        load: load of the agent.
        running_by_entry: number of unfinished attempts of each entry host.
        received_by_entry: number of attempts received from each entry host.
    """

    load: admission_control.UpstreamLoad
    running_by_entry: collections.Counter[int]
    received_by_entry: dict[int, int]

    def report_for(self, entry: AttemptListener,
                   sent: load_estimate.SentAttemptLog,
                   now: float) -> load_estimate.UpstreamLoadReport:
        """Returns the report to one entry host.

        Args:
            entry: the entry host.
            sent: the attempts that the entry host has sent to the agent.
            now: current time in seconds.
        """
        received = self.received_by_entry.get(id(entry), 0)
        return load_estimate.UpstreamLoadReport(
            self.load, self.running_by_entry[id(entry)],
            sent.report_time(received, now))
