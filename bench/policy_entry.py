"""A simulated entry host, for `bench.policy`.

It uses the upstream selection, retries and outlier detection of pollenthread.
"""

import random
from collections.abc import Sequence

from bench import policy_fakes as fakes, policy_types
from pollenthread.core import (errors, load_estimate, outlier_detection,
                               prefix_hashing, retries, service_times, targets,
                               upstream_selection)

__all__ = ['Entry']

_MAX_RETRIES = 2
_HEDGE_DELAY_SHARE = 0.5


class _AgentCandidate(upstream_selection.Candidate):
    """An agent as a candidate of the upstream selection of an entry host.

    Attributes:
        entry: the entry host.
        agent: the agent.
        outstanding: number of unfinished attempts of the entry host.
        sent: times of the attempts that the entry host sent.
        load_report: the last load report.
    """

    def __init__(self, entry: 'Entry', agent: fakes.Agent) -> None:
        self.entry = entry
        self.agent = agent
        self.outstanding = 0
        self.sent = load_estimate.SentAttemptLog()
        self.load_report = agent.last_reports.report_for(entry, self.sent, 0.0)
        agent.listeners.append(self._on_report)

    @property
    def host(self) -> str:
        return self.agent.host

    @property
    def is_usable(self) -> bool:
        policy, now = self.entry.policy, self.entry.loop.now
        return self.agent.up and (not policy.ejection or
                                  self.entry.outlier_detector.is_usable(
                                      self.host, now))

    @property
    def estimate(self) -> upstream_selection.UpstreamEstimate:
        if self.entry.policy.oracle:
            return self.agent.estimate
        load = self.load_report.load
        if not self.entry.policy.unseen:
            return upstream_selection.UpstreamEstimate(
                load, load.running + sum(load.queued))
        return upstream_selection.UpstreamEstimate(
            load,
            load_estimate.expected_load(self.load_report,
                                        own=self.outstanding,
                                        mean=self.entry.mean_other_load,
                                        now=self.entry.loop.now))

    def _on_report(self, reports: fakes.LoadReports) -> None:
        self.load_report = reports.report_for(self.entry, self.sent,
                                              self.entry.loop.now)
        self.entry.mean_other_load.record(self.load_report)


class Entry(fakes.AttemptListener):
    """An entry host, which sends each request to an upstream.

    Attributes:
        loop: the event loop.
        policy: the selection and the enabled mechanisms.
        data_centre: index of the data centre of the entry host.
        outlier_detector: ejects failing agents.
        mean_other_load: mean load from other entry hosts.
    """

    def __init__(self, *, loop: policy_types.EventLoop,
                 policy: policy_types.Policy, agents: Sequence[fakes.Agent],
                 data_centre: int, rng: random.Random) -> None:
        self.loop = loop
        self.policy = policy
        self.data_centre = data_centre
        self.outlier_detector = outlier_detection.OutlierDetector()
        self.mean_other_load = load_estimate.MeanOtherLoad()
        self._retry_bucket = retries.RetryTokenBucket()
        self._service_times = service_times.ServiceTimes()
        self._rng = rng
        self._next_index = rng.randrange(len(agents))
        self._candidates = {
            agent.host: _AgentCandidate(self, agent) for agent in agents
        }
        candidates = list(self._candidates.values())
        local_candidates = [
            candidate for candidate in candidates
            if candidate.agent.data_centre == data_centre
        ]
        prefers_local = policy.locality and policy.selection == 'ours'
        self._tiers = [local_candidates, candidates
                      ] if prefers_local else [candidates]
        self._prefix_ring = prefix_hashing.PrefixHashRing(self._candidates)
        for host in self._candidates:
            self.outlier_detector.add(host)

    def handle_request(self, request: policy_types.Request) -> None:
        """Sends an attempt for a request, or rejects the request."""
        if request.completed_at is not None:
            return
        host = self._select(request)
        if host is None:
            request.rejected = True
        else:
            self._send_attempt(request, host)

    def _send_attempt(self, request: policy_types.Request, host: str) -> None:
        candidate = self._candidates[host]
        request.attempts += 1
        name = f'{request.request_id}.{request.attempts}'
        request.running_attempts[name] = candidate.agent
        request.is_local = candidate.agent.data_centre == self.data_centre
        candidate.outstanding += 1
        candidate.sent.record_sent(self.loop.now)
        self.outlier_detector.record_attempt(host, self.loop.now)
        if self.policy.hedges and self.policy.selection == 'ours':
            self._schedule_hedge(request)
        candidate.agent.submit(name, request, self)

    def _select(self,
                request: policy_types.Request,
                hedge: bool = False) -> str | None:
        candidates = [p for p in self._tiers[-1] if p.agent.up]
        if not candidates:
            return None
        match self.policy.selection:
            case 'random':
                return self._rng.choice(candidates).host
            case 'round_robin':
                self._next_index += 1
                return candidates[self._next_index % len(candidates)].host
            case 'least_outstanding':
                return min(candidates, key=lambda p: p.outstanding).host
            case 'two_reported':
                sample = (self._rng.choice(candidates),
                          self._rng.choice(candidates))
                return min(sample,
                           key=lambda p: sum((p.load_report.load.running, *p.
                                              load_report.load.queued))).host
        request_class = request.request_class
        preferred = (self._prefix_ring.host_for(request.prefix)
                     if self.policy.affinity else '')
        time_left_s = (request.arrived_at + request_class.latency_target_s -
                       self.loop.now)
        requirements = upstream_selection.AttemptRequirements(
            importance=request_class.importance,
            time_left_s=time_left_s,
            whole_response_s=0.0 if request_class.token_gap_target_s else
            self._service_times.for_class(request_class.name).duration_s,
            avoided_hosts=request.failed_hosts)
        if self.policy.oracle:
            return min(
                upstream_selection.score(candidate, requirements)
                for candidate in candidates).host
        selected = upstream_selection.select(
            self._tiers,
            requirements,
            random_unit=self._rng.random,
            preferred=self._candidates.get(preferred))
        if selected is None:
            return None
        if (self.policy.entry_admission and
                not upstream_selection.is_worth_sending(selected, time_left_s)):
            return None
        return selected.host if selected.has_free_slot or not hedge else None

    def _schedule_hedge(self, request: policy_types.Request) -> None:
        request_class = request.request_class
        if request_class.repeatable and request.attempts == 1:
            self.loop.call_at(
                self.loop.now +
                _HEDGE_DELAY_SHARE * request_class.latency_target_s,
                lambda: self._send_hedge(request))

    def _send_hedge(self, request: policy_types.Request) -> None:
        if request.first_token_at is None and len(
                request.running_attempts) == 1:
            request.failed_hosts.update(
                a.host for a in request.running_attempts.values())
            host = self._select(request, hedge=True)
            importance = targets.Importance(request.request_class.importance)
            if host is not None and self._retry_bucket.try_acquire(importance):
                self._send_attempt(request, host)

    def on_first_token(self, name: str, request: policy_types.Request,
                       agent: fakes.Agent) -> bool:
        if request.first_token_at is not None:
            return False
        request.first_token_at = self.loop.now
        request.winning_attempt = name
        for other_name, other_agent in list(request.running_attempts.items()):
            if other_name != name:
                self._end_attempt(other_name, request, other_agent)
                self.outlier_detector.record_result(other_agent.host,
                                                    succeeded=False,
                                                    now=self.loop.now)
                other_agent.cancel(other_name)
        return True

    def on_done(self, name: str, request: policy_types.Request,
                agent: fakes.Agent, service_s: float) -> None:
        self._end_attempt(name, request, agent)
        self._service_times.record(request.request_class.name, 0.0, service_s)
        request.completed_at = self.loop.now
        self._retry_bucket.record_success()
        self.outlier_detector.record_result(agent.host,
                                            succeeded=True,
                                            now=self.loop.now)

    def on_failed(self, name: str, request: policy_types.Request,
                  agent: fakes.Agent, executed: errors.Executed) -> None:
        self._end_attempt(name, request, agent)
        request.failed_hosts.add(agent.host)
        if request.running_attempts or name == request.winning_attempt:
            return
        candidate = self._candidates[agent.host]
        if executed is errors.Executed.NO:
            candidate.load_report = load_estimate.report_after_rejection(
                candidate.load_report,
                own=candidate.outstanding,
                now=self.loop.now)
        else:
            self.outlier_detector.record_result(agent.host,
                                                succeeded=False,
                                                now=self.loop.now)
        is_retryable = (request.request_class.repeatable or
                        executed is errors.Executed.NO)
        may_retry = request.attempts <= _MAX_RETRIES and is_retryable
        if not may_retry or (
                self.policy.budget and not self._retry_bucket.try_acquire(
                    targets.Importance(request.request_class.importance))):
            request.rejected = executed is errors.Executed.NO
            return
        backoff_s = (retries.backoff_s(request.attempts, self._rng.random())
                     if self.policy.budget else 0.001)
        self.loop.call_at(self.loop.now + backoff_s,
                          lambda: self.handle_request(request))

    def _end_attempt(self, name: str, request: policy_types.Request,
                     agent: fakes.Agent) -> None:
        request.running_attempts.pop(name, None)
        self._candidates[agent.host].outstanding -= 1
