"""Chooses upstreams for requests and learns from how attempts went."""

import random

import result

from pollenthread.app import pool as pool_module
from pollenthread.core import (prefix_hashing, upstream_selection, errors, retries, service_times,
                               targets)
from pollenthread.ports import clock

__all__ = ['Chooser', 'Need']

_REFUSALS = frozenset({errors.ErrorKind.OVERLOADED, errors.ErrorKind.DEADLINE_TOO_SHORT})
_HEDGE_SHARE = 0.5


class Need:
    """What a request asks of an upstream."""

    def __init__(self, *, workspace: str, work_class: targets.WorkClass,
                 kind: str, name: str, stream: bool, body: bytes,
                 accepted_at: float, deadline: float) -> None:
        latency = work_class.latency
        self.work_class = work_class
        self.class_key = (workspace, work_class.name)
        self.kind = kind
        self.name = name
        self.whole = latency.is_for_whole_response(stream)
        self.between_tokens_ms = (0 if self.whole else
                                  latency.between_tokens_ms or 0)
        self.prefix = (prefix_hashing.prefix_digest(body)
                       if kind == 'engine' else None)
        target_ms = latency.target_ms(stream)
        self.due_at = deadline
        if target_ms is not None:
            self.due_at = min(deadline, accepted_at + target_ms / 1000)
        self.failed_hosts: set[str] = set()
        self.failures = 0


class Chooser:
    """Applies the decisions of core to the pool."""

    def __init__(self, *, pool: pool_module.Pool, time: clock.Clock,
                 draw: random.Random) -> None:
        self._pool = pool
        self._time = time
        self._draw = draw
        self._budget = retries.RetryTokenBucket()
        self._times = service_times.ServiceTimes()
        self.refused_count = 0
        self.retried_count = 0
        self.hedged_count = 0

    def choose(
        self,
        need: Need,
        *,
        needs_room: bool = False
    ) -> result.Result[pool_module.Upstream, errors.Failure]:
        """Takes an upstream, or says why none is worth an attempt.

        A class that may not be repeated is refused by agents only: its key may
        have an outcome already, which the claim tells.

        Args:
            need: what the request asks for.
            needs_room: whether only an upstream will do that begins at once.
        """
        group = self._pool.group(need.kind, need.name)
        left_s = need.due_at - self._time.monotonic()
        chosen = upstream_selection.select(group.tiers,
                               self._demand(need, left_s),
                               random_unit=self._draw.random,
                               preferred=self._preferred(need, group))
        if chosen is None:
            return result.Err(errors.make_failure(errors.ErrorKind.NO_UPSTREAM))
        late = (need.work_class.repeatable and
                not upstream_selection.is_worth_sending(chosen, left_s))
        if late or (needs_room and not chosen.has_free_slot):
            self.refused_count += not needs_room
            return result.Err(errors.make_failure(errors.ErrorKind.DEADLINE_TOO_SHORT))
        return result.Ok(self._pool.by_host[chosen.host])

    def _demand(self, need: Need, left_s: float) -> upstream_selection.AttemptRequirements:
        answer_s = 0.0
        if need.whole:
            answer_s = self._times.for_class(need.class_key).duration_s
        return upstream_selection.AttemptRequirements(importance=int(need.work_class.importance),
                             time_left_s=left_s,
                             whole_response_s=answer_s,
                             avoided_hosts=need.failed_hosts)

    def _preferred(self, need: Need,
                   group: pool_module.Group) -> pool_module.Upstream | None:
        if need.prefix is None:
            return None
        return self._pool.by_host.get(group.ring.host_for(need.prefix))

    def hedge_after_s(self, need: Need) -> float | None:
        """Seconds without a part after which to hedge; None for never."""
        if not need.work_class.repeatable or not need.work_class.retries:
            return None
        return max(0.0, _HEDGE_SHARE * (need.due_at - self._time.monotonic()))

    def choose_hedge(self, need: Need) -> pool_module.Upstream | None:
        """An idle upstream for a second attempt, if the budget has one."""
        chosen = self.choose(need, needs_room=True)
        if isinstance(chosen, result.Err):
            return None
        if chosen.ok_value.host in need.failed_hosts:
            return None
        if not self._budget.try_acquire(need.work_class.importance):
            return None
        self.hedged_count += 1
        return chosen.ok_value

    def note_success(self, need: Need, upstream: pool_module.Upstream,
                     service_s: float) -> None:
        """Learns from a whole answer and its time without the wait."""
        upstream.note_answer(good=True)
        self._budget.record_success()
        self._times.record(need.class_key, 0.0, max(0.0, service_s))

    def note_failure(self, need: Need, upstream: pool_module.Upstream,
                     failure: errors.Failure) -> None:
        """Learns from an attempt that failed."""
        need.failed_hosts.add(upstream.host)
        need.failures += 1
        if failure.kind in _REFUSALS:
            upstream.note_refusal()
        elif failure.kind not in (errors.ErrorKind.LEAVING, errors.ErrorKind.SEALED):
            upstream.note_answer(good=False)

    async def pause_before_retry(self, need: Need) -> bool:
        """Waits before another attempt; False when there is none to make."""
        if not self._budget.try_acquire(need.work_class.importance):
            return False
        self.retried_count += 1
        await self._time.sleep(
            retries.backoff_s(need.failures, self._draw.random()))
        return True
