"""Keeps poison requests away from servers and observes what servers do."""

import contextlib
from collections.abc import Iterable, Iterator

from pollenthread.app import (crash_watch, evidence_log, pending_attempt,
                              request_job)
from pollenthread.core import (crash_evidence, errors, log_events,
                               server_registry)
from pollenthread.ports import clock, event_log, upstream

__all__ = ['PoisonGuard']


class PoisonGuard:
    """Applies the quarantine of parts to the requests of a host."""

    def __init__(self, *, evidence: evidence_log.EvidenceLog,
                 upstream_client: upstream.UpstreamClient,
                 registry: server_registry.ServerRegistry, time: clock.Clock,
                 log: event_log.EventLog) -> None:
        """Creates a guard.

        Args:
            evidence: the evidence of this host and its peers.
            upstream_client: asks whether servers still run.
            registry: the listed servers.
            time: the clock.
            log: the structured log.
        """
        self._evidence = evidence
        self._quarantine = evidence.quarantine
        self._clock = time
        self._log = log
        self._crash_watch = crash_watch.CrashWatch(
            upstream_client=upstream_client,
            registry=registry,
            on_crash=evidence.observe_crash,
            time=time,
            log=log)

    def check(self, job: request_job.RequestJob) -> None:
        """Refuses a request whose prompt may crash a server.

        Raises:
            request_job.RequestFailed: a part of its prompt is in quarantine.
        """
        self._suspects(job)

    @contextlib.contextmanager
    def admit(self, job: request_job.RequestJob) -> Iterator[None]:
        """Admits one attempt; if it has suspected parts, as a test of them.

        Raises:
            request_job.RequestFailed: a part of its prompt is in quarantine.
        """
        suspects = self._suspects(job)
        if not suspects:
            yield
            return
        self._log.write(log_events.LogEvent.PARTS_TESTED,
                        id=job.request.id,
                        parts=suspects)
        self._quarantine.begin_test(suspects)
        try:
            yield
        finally:
            self._quarantine.end_test(suspects)

    def _suspects(self, job: request_job.RequestJob) -> tuple[str, ...]:
        now = self._clock.monotonic()
        verdict = self._quarantine.check(job.parts, now)
        if verdict.is_refused:
            failure = job.rejection(errors.ErrorKind.QUARANTINED,
                                    now,
                                    retry_after_s=verdict.retry_after_s)
            raise request_job.RequestFailed(failure)
        return verdict.suspects

    def recall(self,
               attempts: Iterable[pending_attempt.PendingAttempt]) -> None:
        """Ends attempts with a part in quarantine that have no event yet.

        Args:
            attempts: the attempts of this host.
        """
        now = self._clock.monotonic()
        for pending in attempts:
            if (pending.stage is not crash_evidence.AttemptStage.STREAMING and
                    self._quarantine.is_in_quarantine(pending.job.parts, now)):
                pending.is_recalled = True
                pending.end(now)

    def record_answer(self, pending: pending_attempt.PendingAttempt) -> None:
        """Records that a whole response, or complete events, have arrived."""
        if pending.stage is not crash_evidence.AttemptStage.STREAMING:
            pending.stage = crash_evidence.AttemptStage.STREAMING
            self._evidence.observe_answer(pending.job.parts,
                                          self._clock.monotonic())

    async def examine(self, pending: pending_attempt.PendingAttempt) -> None:
        """Examines an attempt that its server broke off.

        Waits for the result if the request may have crashed the server.
        """
        suspicions = self._evidence.known.suspicion_by_part()
        await self._crash_watch.examine(
            pending,
            is_suspect=not suspicions.keys().isdisjoint(pending.job.parts))
