"""Selects upstreams for requests and records the results of attempts."""

import random

import result

from pollenthread.app import upstream_pool
from pollenthread.core import (errors, prefix_hashing, retries, service_times,
                               targets, upstream_selection)
from pollenthread.ports import clock

__all__ = ['UpstreamRequirements', 'UpstreamSelector']

_REJECTION_KINDS = frozenset(
    {errors.ErrorKind.OVERLOADED, errors.ErrorKind.DEADLINE_TOO_SHORT})
_HEDGE_DELAY_SHARE = 0.5


class UpstreamRequirements:
    """What a request requires of an upstream.

    Attributes:
        work_class: the class of the request, with its latency targets.
        class_key: the names of the workspace and of the class.
        kind: 'engine' or 'service'.
        name: the model's or service's name.
        is_whole_response: whether the target applies to the whole response
            rather than to the start of a stream.
        between_tokens_ms: the target for the time between tokens in
            milliseconds, or 0.
        prefix: digest of the prompt's prefix, for engines; None otherwise.
        due_at: the end of the target or of the deadline, whichever is earlier,
            in monotonic seconds.
        failed_hosts: hosts on which an attempt of the request has failed.
        failure_count: the number of failed attempts.
    """

    def __init__(self, *, workspace: str, work_class: targets.WorkClass,
                 kind: str, name: str, stream: bool, body: bytes,
                 accepted_at: float, deadline: float) -> None:
        latency = work_class.latency
        self.work_class = work_class
        self.class_key = (workspace, work_class.name)
        self.kind = kind
        self.name = name
        self.is_whole_response = latency.is_for_whole_response(stream)
        self.between_tokens_ms = (0 if self.is_whole_response else
                                  latency.between_tokens_ms or 0)
        self.prefix = (prefix_hashing.prefix_digest(body)
                       if kind == 'engine' else None)
        target_ms = latency.target_ms(stream)
        self.due_at = deadline
        if target_ms is not None:
            self.due_at = min(deadline, accepted_at + target_ms / 1000)
        self.failed_hosts: set[str] = set()
        self.failure_count = 0


class UpstreamSelector:
    """Selects upstreams from the pool and limits retries and hedges.

    Attributes:
        rejected_count: selections that failed for lack of time.
        retried_count: retries that were allowed.
        hedged_count: second attempts that were allowed.
    """

    def __init__(self, *, pool: upstream_pool.UpstreamPool, time: clock.Clock,
                 rng: random.Random) -> None:
        self._pool = pool
        self._clock = time
        self._rng = rng
        self._retry_budget = retries.RetryTokenBucket()
        self._service_times = service_times.ServiceTimes()
        self.rejected_count = 0
        self.retried_count = 0
        self.hedged_count = 0

    def select(
        self,
        requirements: UpstreamRequirements,
        *,
        needs_free_slot: bool = False
    ) -> result.Result[upstream_pool.LinkedUpstream, errors.Failure]:
        """Selects an upstream for an attempt.

        A request of a class that may not be repeated is not rejected here for
        lack of time: its idempotency key may already have a stored response,
        which only its claim shows. The agent rejects it instead.

        Args:
            requirements: what the request requires.
            needs_free_slot: whether to accept only an upstream that would start
                the attempt at once.

        Returns:
            The upstream, or the failure to report: no upstream is available, or
            none would respond in time.
        """
        group = self._pool.group(requirements.kind, requirements.name)
        left_s = requirements.due_at - self._clock.monotonic()
        selected = upstream_selection.select(
            group.tiers,
            self._attempt_requirements(requirements, left_s),
            random_unit=self._rng.random,
            preferred=self._preferred(requirements, group))
        if selected is None:
            return result.Err(errors.make_failure(errors.ErrorKind.NO_UPSTREAM))
        is_too_late = (
            requirements.work_class.repeatable and
            not upstream_selection.is_worth_sending(selected, left_s))
        if is_too_late or (needs_free_slot and not selected.has_free_slot):
            self.rejected_count += not needs_free_slot
            return result.Err(
                errors.make_failure(errors.ErrorKind.DEADLINE_TOO_SHORT))
        return result.Ok(self._pool.by_host[selected.host])

    def _attempt_requirements(
            self, requirements: UpstreamRequirements,
            left_s: float) -> upstream_selection.AttemptRequirements:
        whole_response_s = 0.0
        if requirements.is_whole_response:
            whole_response_s = self._service_times.for_class(
                requirements.class_key).duration_s
        return upstream_selection.AttemptRequirements(
            importance=int(requirements.work_class.importance),
            time_left_s=left_s,
            whole_response_s=whole_response_s,
            avoided_hosts=requirements.failed_hosts)

    def _preferred(
        self, requirements: UpstreamRequirements,
        group: upstream_pool.UpstreamGroup
    ) -> upstream_pool.LinkedUpstream | None:
        if requirements.prefix is None:
            return None
        return self._pool.by_host.get(group.ring.host_for(requirements.prefix))

    def hedge_delay_s(self, requirements: UpstreamRequirements) -> float | None:
        """Seconds without a response after which to hedge.

        Returns:
            The delay, or None when the class allows no second attempt.
        """
        if (not requirements.work_class.repeatable or
                not requirements.work_class.retries):
            return None
        return max(
            0.0,
            _HEDGE_DELAY_SHARE *
            (requirements.due_at - self._clock.monotonic()))

    def select_for_hedge(
        self, requirements: UpstreamRequirements
    ) -> upstream_pool.LinkedUpstream | None:
        """Selects an upstream with a free slot for a second attempt.

        Returns:
            The upstream, or None when no other one has a free slot or the retry
            budget is spent.
        """
        selected = self.select(requirements, needs_free_slot=True)
        if isinstance(selected, result.Err):
            return None
        if selected.ok_value.host in requirements.failed_hosts:
            return None
        if not self._retry_budget.try_acquire(
                requirements.work_class.importance):
            return None
        self.hedged_count += 1
        return selected.ok_value

    def record_success(self, requirements: UpstreamRequirements,
                       upstream: upstream_pool.LinkedUpstream,
                       service_s: float) -> None:
        """Records a complete response.

        Args:
            requirements: what the request required.
            upstream: where the attempt ran.
            service_s: seconds from sending the attempt to the end of the
                response, less the time in the agent's queue.
        """
        upstream.record_result(is_success=True)
        self._retry_budget.record_success()
        self._service_times.record(requirements.class_key, 0.0,
                                   max(0.0, service_s))

    def record_failure(self, requirements: UpstreamRequirements,
                       upstream: upstream_pool.LinkedUpstream,
                       failure: errors.Failure) -> None:
        """Records a failed attempt against its upstream and its request."""
        requirements.failed_hosts.add(upstream.host)
        requirements.failure_count += 1
        if failure.kind in _REJECTION_KINDS:
            upstream.record_rejection()
        elif failure.kind not in (errors.ErrorKind.LEAVING,
                                  errors.ErrorKind.SEALED):
            upstream.record_result(is_success=False)

    async def back_off_before_retry(self,
                                    requirements: UpstreamRequirements) -> bool:
        """Waits for the backoff delay before a retry.

        Returns:
            False, without a wait, when the retry budget is spent.
        """
        if not self._retry_budget.try_acquire(
                requirements.work_class.importance):
            return False
        self.retried_count += 1
        await self._clock.sleep(
            retries.backoff_s(requirements.failure_count, self._rng.random()))
        return True
