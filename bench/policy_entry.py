"""An entry host in virtual time: core's choice, retries, hedges and health."""

import random
from collections.abc import Sequence

from bench import policy_fakes as fakes, policy_types
from pollenthread.core import (errors, load_estimate, outlier_detection,
                               prefix_hashing, retries, service_times, targets,
                               upstream_selection)

__all__ = ['Entry']

_CLASS_RETRIES = 2
_HEDGE_SHARE = 0.5


class _Peer(upstream_selection.Candidate):
    """One agent as this entry host knows it."""

    def __init__(self, entry: 'Entry', agent: fakes.Agent) -> None:
        self.entry = entry
        self.agent = agent
        self.outstanding = 0
        self.sent = load_estimate.SentAttemptLog()
        self.load_report = agent.reported.to(entry, self.sent, 0.0)
        agent.listeners.append(self._on_report)

    @property
    def host(self) -> str:
        return self.agent.host

    @property
    def is_usable(self) -> bool:
        policy, now = self.entry.policy, self.entry.loop.now
        return self.agent.up and (not policy.ejection or
                                  self.entry.health.is_usable(self.host, now))

    @property
    def estimate(self) -> upstream_selection.UpstreamEstimate:
        if self.entry.policy.oracle:
            return self.agent.estimate
        reading = self.load_report.load
        if not self.entry.policy.unseen:
            return upstream_selection.UpstreamEstimate(
                reading, reading.running + sum(reading.queued))
        return upstream_selection.UpstreamEstimate(
            reading,
            load_estimate.expected_load(self.load_report,
                                        own=self.outstanding,
                                        mean=self.entry.others_mean,
                                        now=self.entry.loop.now))

    def _on_report(self, reports: fakes.Reports) -> None:
        self.load_report = reports.to(self.entry, self.sent,
                                      self.entry.loop.now)
        self.entry.others_mean.record(self.load_report)


class Entry(fakes.Receiver):
    """Chooses upstreams for the requests that come to it."""

    def __init__(self, *, loop: policy_types.Loop, policy: policy_types.Policy,
                 agents: Sequence[fakes.Agent], place: int,
                 rng: random.Random) -> None:
        self.loop = loop
        self.policy = policy
        self.place = place
        self.health = outlier_detection.OutlierDetector()
        self.others_mean = load_estimate.MeanOtherLoad()
        self._budget = retries.RetryTokenBucket()
        self._times = service_times.ServiceTimes()
        self._rng = rng
        self._turn = rng.randrange(len(agents))
        self._peers = {agent.host: _Peer(self, agent) for agent in agents}
        peers = list(self._peers.values())
        near = [peer for peer in peers if peer.agent.place == place]
        local = policy.locality and policy.choose == 'ours'
        self._tiers = [near, peers] if local else [peers]
        self._ring = prefix_hashing.PrefixHashRing(self._peers)
        for host in self._peers:
            self.health.add(host)

    def take(self, request: policy_types.Request) -> None:
        """Makes an attempt, or refuses the request."""
        if request.done_at is not None:
            return
        host = self._choose(request)
        if host is None:
            request.refused = True
        else:
            self._send(request, host)

    def _send(self, request: policy_types.Request, host: str) -> None:
        peer = self._peers[host]
        request.attempts += 1
        name = f'{request.ident}.{request.attempts}'
        request.live[name] = peer.agent
        request.near = peer.agent.place == self.place
        peer.outstanding += 1
        peer.sent.record_sent(self.loop.now)
        self.health.record_attempt(host, self.loop.now)
        if self.policy.hedges and self.policy.choose == 'ours':
            self._plan_hedge(request)
        peer.agent.offer(name, request, self)

    def _choose(self,
                request: policy_types.Request,
                hedge: bool = False) -> str | None:
        peers = [p for p in self._tiers[-1] if p.agent.up]
        if not peers:
            return None
        match self.policy.choose:
            case 'random':
                return self._rng.choice(peers).host
            case 'round_robin':
                self._turn += 1
                return peers[self._turn % len(peers)].host
            case 'least_outstanding':
                return min(peers, key=lambda p: p.outstanding).host
            case 'two_reported':
                pair = (self._rng.choice(peers), self._rng.choice(peers))
                return min(pair,
                           key=lambda p: sum((p.load_report.load.running, *p.
                                              load_report.load.queued))).host
        kind = request.kind
        preferred = (self._ring.host_for(request.prefix)
                     if self.policy.affinity else '')
        left_s = request.arrived_at + kind.first_s - self.loop.now
        demand = upstream_selection.AttemptRequirements(
            importance=kind.importance,
            time_left_s=left_s,
            whole_response_s=0.0
            if kind.gap_s else self._times.for_class(kind.name).duration_s,
            avoided_hosts=request.failed_hosts)
        if self.policy.oracle:
            return min(
                upstream_selection.score(peer, demand) for peer in peers).host
        chosen = upstream_selection.select(self._tiers,
                                           demand,
                                           random_unit=self._rng.random,
                                           preferred=self._peers.get(preferred))
        if chosen is None:
            return None
        if (self.policy.entry_admission and
                not upstream_selection.is_worth_sending(chosen, left_s)):
            return None
        return chosen.host if chosen.has_free_slot or not hedge else None

    def _plan_hedge(self, request: policy_types.Request) -> None:
        kind = request.kind
        if kind.repeatable and request.attempts == 1:
            self.loop.at(self.loop.now + _HEDGE_SHARE * kind.first_s,
                         lambda: self._hedge(request))

    def _hedge(self, request: policy_types.Request) -> None:
        if request.first_at is None and len(request.live) == 1:
            request.failed_hosts.update(a.host for a in request.live.values())
            host = self._choose(request, hedge=True)
            importance = targets.Importance(request.kind.importance)
            if host is not None and self._budget.try_acquire(importance):
                self._send(request, host)

    def first(self, name: str, request: policy_types.Request,
              agent: fakes.Agent) -> bool:
        if request.first_at is not None:
            return False
        request.first_at = self.loop.now
        request.winner = name
        for other, loser in list(request.live.items()):
            if other != name:
                self._end(other, request, loser)
                self.health.record_result(loser.host,
                                          succeeded=False,
                                          now=self.loop.now)
                loser.cancel(other)
        return True

    def done(self, name: str, request: policy_types.Request, agent: fakes.Agent,
             service_s: float) -> None:
        self._end(name, request, agent)
        self._times.record(request.kind.name, 0.0, service_s)
        request.done_at = self.loop.now
        self._budget.record_success()
        self.health.record_result(agent.host, succeeded=True, now=self.loop.now)

    def failed(self, name: str, request: policy_types.Request,
               agent: fakes.Agent, ran: errors.Executed) -> None:
        self._end(name, request, agent)
        request.failed_hosts.add(agent.host)
        if request.live or name == request.winner:
            return
        peer = self._peers[agent.host]
        if ran is errors.Executed.NO:
            peer.load_report = load_estimate.report_after_rejection(
                peer.load_report, own=peer.outstanding, now=self.loop.now)
        else:
            self.health.record_result(agent.host,
                                      succeeded=False,
                                      now=self.loop.now)
        safe = request.kind.repeatable or ran is errors.Executed.NO
        left = request.attempts <= _CLASS_RETRIES and safe
        if not left or (self.policy.budget and not self._budget.try_acquire(
                targets.Importance(request.kind.importance))):
            request.refused = ran is errors.Executed.NO
            return
        pause_s = (retries.backoff_s(request.attempts, self._rng.random())
                   if self.policy.budget else 0.001)
        self.loop.at(self.loop.now + pause_s, lambda: self.take(request))

    def _end(self, name: str, request: policy_types.Request,
             agent: fakes.Agent) -> None:
        request.live.pop(name, None)
        self._peers[agent.host].outstanding -= 1
