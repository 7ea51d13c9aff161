"""Chooses upstreams for requests and learns from how attempts went."""

import random

import result

from pollenthread.app import upstream_pool as pool_module
from pollenthread.core import (affinity, choice, errors, retries, service_times,
                               targets)
from pollenthread.ports import clock

__all__ = ['UpstreamSelector', 'UpstreamRequirements']

_REFUSALS = frozenset({errors.Kind.OVERLOADED, errors.Kind.DEADLINE_TOO_SHORT})
_HEDGE_SHARE = 0.5


class UpstreamRequirements:
    """What a request asks of an upstream."""

    def __init__(self, *, workspace: str, work_class: targets.WorkClass,
                 kind: str, name: str, stream: bool, body: bytes,
                 accepted_at: float, deadline: float) -> None:
        latency = work_class.latency
        self.work_class = work_class
        self.class_key = (workspace, work_class.name)
        self.kind = kind
        self.name = name
        self.is_whole_response = latency.is_whole(stream)
        self.between_tokens_ms = (0 if self.is_whole_response else
                                  latency.between_tokens_ms or 0)
        self.prefix = (affinity.prefix_digest(body)
                       if kind == 'engine' else None)
        target_ms = latency.target_ms(stream)
        self.due_at = deadline
        if target_ms is not None:
            self.due_at = min(deadline, accepted_at + target_ms / 1000)
        self.failed_hosts: set[str] = set()
        self.failures = 0


class UpstreamSelector:
    """Applies the decisions of core to the pool."""

    def __init__(self, *, pool: pool_module.UpstreamPool, time: clock.Clock,
                 draw: random.Random) -> None:
        self._pool = pool
        self._time = time
        self._draw = draw
        self._budget = retries.RetryBudget()
        self._times = service_times.ServiceTimes()
        self.refused_count = 0
        self.retried_count = 0
        self.hedged_count = 0

    def select(
        self,
        requirements: UpstreamRequirements,
        *,
        needs_free_slot: bool = False
    ) -> result.Result[pool_module.LinkedUpstream, errors.Failure]:
        """Takes an upstream, or says why none is worth an attempt.

        A class that may not be repeated is refused by agents only: its key may
        have an outcome already, which the claim tells.

        Args:
            need: what the request asks for.
            needs_room: whether only an upstream will do that begins at once.
        """
        group = self._pool.group(requirements.kind, requirements.name)
        left_s = requirements.due_at - self._time.monotonic()
        chosen = choice.choose(group.tiers,
                               self._demand(requirements, left_s),
                               draw=self._draw.random,
                               preferred=self._preferred(requirements, group))
        if chosen is None:
            return result.Err(errors.failure(errors.Kind.NO_UPSTREAM))
        late = (requirements.work_class.repeatable and
                not choice.admits(chosen, left_s))
        if late or (needs_free_slot and not chosen.has_room):
            self.refused_count += not needs_free_slot
            return result.Err(errors.failure(errors.Kind.DEADLINE_TOO_SHORT))
        return result.Ok(self._pool.by_host[chosen.host])

    def _demand(self, requirements: UpstreamRequirements, left_s: float) -> choice.Demand:
        answer_s = 0.0
        if requirements.is_whole_response:
            answer_s = self._times.of(requirements.class_key).hold_s
        return choice.Demand(importance=int(requirements.work_class.importance),
                             left_s=left_s,
                             answer_s=answer_s,
                             avoid=requirements.failed_hosts)

    def _preferred(self, requirements: UpstreamRequirements,
                   group: pool_module.UpstreamGroup) -> pool_module.LinkedUpstream | None:
        if requirements.prefix is None:
            return None
        return self._pool.by_host.get(group.ring.host_of(requirements.prefix))

    def hedge_delay_s(self, requirements: UpstreamRequirements) -> float | None:
        """Seconds without a part after which to hedge; None for never."""
        if not requirements.work_class.repeatable or not requirements.work_class.retries:
            return None
        return max(0.0, _HEDGE_SHARE * (requirements.due_at - self._time.monotonic()))

    def select_for_hedge(self, requirements: UpstreamRequirements) -> pool_module.LinkedUpstream | None:
        """An idle upstream for a second attempt, if the budget has one."""
        chosen = self.select(requirements, needs_free_slot=True)
        if isinstance(chosen, result.Err):
            return None
        if chosen.ok_value.host in requirements.failed_hosts:
            return None
        if not self._budget.spend(requirements.work_class.importance):
            return None
        self.hedged_count += 1
        return chosen.ok_value

    def record_success(self, requirements: UpstreamRequirements, upstream: pool_module.LinkedUpstream,
                     service_s: float) -> None:
        """Learns from a whole answer and its time without the wait."""
        upstream.record_result(is_success=True)
        self._budget.earn()
        self._times.learn(requirements.class_key, 0.0, max(0.0, service_s))

    def record_failure(self, requirements: UpstreamRequirements, upstream: pool_module.LinkedUpstream,
                     failure: errors.Failure) -> None:
        """Learns from an attempt that failed."""
        requirements.failed_hosts.add(upstream.host)
        requirements.failures += 1
        if failure.kind in _REFUSALS:
            upstream.record_refusal()
        elif failure.kind not in (errors.Kind.LEAVING, errors.Kind.SEALED):
            upstream.record_result(is_success=False)

    async def back_off_before_retry(self, requirements: UpstreamRequirements) -> bool:
        """Waits before another attempt; False when there is none to make."""
        if not self._budget.spend(requirements.work_class.importance):
            return False
        self.retried_count += 1
        await self._time.sleep(
            retries.back_off_s(requirements.failures, self._draw.random()))
        return True
