"""Hedged requests: two attempts of which the first to respond is used."""

import asyncio
import dataclasses

from pollenthread.app import upstream_pool
from pollenthread.core import messages
from pollenthread.ports import link as link_port

__all__ = ['SentAttempt', 'race']


@dataclasses.dataclass(frozen=True)
class SentAttempt:
    """One attempt that was sent to an agent.

    Attributes:
        attempt: the attempt's id.
        upstream: the upstream that it was sent to.
        stream: the messages received for it.
        sent_at: monotonic seconds at which it was sent.
    """

    attempt: str
    upstream: upstream_pool.LinkedUpstream
    stream: upstream_pool.AttemptStream
    sent_at: float

    async def has_data_within(self, timeout_s: float) -> bool:
        """Whether a chunk of the response, or a failure, arrives in time.

        Args:
            timeout_s: the longest wait in seconds.
        """
        try:
            async with asyncio.timeout(timeout_s):
                await self.stream.wait_past_head()
        except TimeoutError:
            return False
        return True

    async def wait_for_success(self) -> bool:
        """Waits for a chunk of the response; False for a failure."""
        message = await self.stream.wait_past_head()
        return isinstance(message, (messages.Chunk, messages.End))

    def cancel(self) -> None:
        """Cancels the attempt at its agent."""
        self.upstream.close_stream(self.attempt)
        link_port.send_if_open(self.upstream.link,
                               messages.Cancel(self.attempt))


async def race(first: SentAttempt,
               second: SentAttempt) -> tuple[SentAttempt, SentAttempt]:
    """Waits for the first response of two attempts.

    Returns:
        The attempt that responded first and the other one. When both fail, the
        one that failed last comes first.
    """
    tasks = {
        asyncio.create_task(first.wait_for_success()): (first, second),
        asyncio.create_task(second.wait_for_success()): (second, first)
    }
    try:
        pending = set(tasks)
        while True:
            done, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                if task.result() or not pending:
                    return tasks[task]
    except BaseException:
        first.cancel()
        second.cancel()
        raise
    finally:
        for task in tasks:
            task.cancel()
