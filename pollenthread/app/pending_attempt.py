"""An attempt in progress, and how long its server may be silent."""

import asyncio
import dataclasses
from collections.abc import AsyncIterator

from pollenthread.app import request_job
from pollenthread.core import crash_evidence, server_registry
from pollenthread.ports import upstream

__all__ = ['PendingAttempt']

# Share of the time after which callers abandon a stream without events; the
# rest is for a retry.
_STREAM_IDLE_SHARE = 0.85
# Silence of a server, in addition to that of its agent, that ends an attempt.
_SILENT_ATTEMPT_S = 1.0


@dataclasses.dataclass(eq=False)
class PendingAttempt:
    """An attempt in progress.

    Attributes:
        job: the request.
        server: the server it was sent to.
        timeout: the timeout that ends the attempt.
        progressed_at: monotonic seconds of the last event, or of the start.
        stage: how much of the response has arrived.
        is_recalled: whether this host ended the attempt because of its prompt,
            or to place it elsewhere.
        unread_s: seconds that reading the prompt takes; 0 once it was read.
    """

    job: request_job.RequestJob
    server: server_registry.Server
    timeout: asyncio.Timeout
    progressed_at: float
    stage: crash_evidence.AttemptStage = crash_evidence.AttemptStage.SENT
    is_recalled: bool = False
    unread_s: float = 0.0

    def record_progress(self, now: float) -> None:
        """Records that the attempt made progress."""
        self.progressed_at = now

    def end(self, now: float) -> None:
        """Ends the attempt now, unless its time is over already.

        Args:
            now: monotonic seconds.
        """
        if not self.timeout.expired():
            self.timeout.reschedule(now)

    def is_silent(self, now: float) -> bool:
        """Returns whether the server has sent nothing for some time."""
        return now - self.progressed_at > _SILENT_ATTEMPT_S

    def recall(self, now: float) -> None:
        """Ends the attempt, unless it is about to end."""
        if not self.timeout.expired():
            self.is_recalled = True
            self.timeout.reschedule(now)

    async def next_chunk(self, body: AsyncIterator[bytes]) -> bytes | None:
        """Returns the next bytes of a stream, or None at its end.

        The time limit runs from the last progress: bytes of an event that does
        not end are none.

        Args:
            body: the bytes of the stream.

        Raises:
            upstream.UpstreamDisconnectedError: the stream is stalled.
        """
        idle_timeout_s = self.job.route.stream_patience_s * _STREAM_IDLE_SHARE
        try:
            async with asyncio.timeout_at(self.progressed_at + idle_timeout_s):
                return await anext(body, None)
        except TimeoutError:
            raise upstream.UpstreamDisconnectedError(
                'the stream fell silent') from None
