"""Two attempts of one repeatable request, of which the first to answer wins."""

import asyncio
import dataclasses

from pollenthread.app import upstream_pool as pool_module
from pollenthread.core import messages
from pollenthread.ports import link as link_port

__all__ = ['SentAttempt', 'race']


@dataclasses.dataclass(frozen=True)
class SentAttempt:
    """One attempt that an agent has.

    Attributes:
        attempt: the attempt's id.
        upstream: where it is.
        stream: its messages.
        sent_at: monotonic seconds.
    """

    attempt: str
    upstream: pool_module.LinkedUpstream
    stream: pool_module.AttemptStream
    sent_at: float

    async def has_data_within(self, timeout_s: float) -> bool:
        """Whether a part of the answer, or a failure, comes in time."""
        try:
            async with asyncio.timeout(timeout_s):
                await self.stream.wait_past_head()
        except TimeoutError:
            return False
        return True

    async def wait_for_success(self) -> bool:
        """Waits for a part of the answer; False for a failure."""
        part = await self.stream.wait_past_head()
        return isinstance(part, (messages.Chunk, messages.End))

    def cancel(self) -> None:
        """Tells the agent that nobody waits."""
        self.upstream.close_stream(self.attempt)
        link_port.send_if_open(self.upstream.link,
                               messages.Cancel(self.attempt))


async def race(first: SentAttempt, second: SentAttempt) -> tuple[SentAttempt, SentAttempt]:
    """Waits for a part of either; the winner, and the loser.

    When both fail, the later failure wins.
    """
    tasks = {
        asyncio.create_task(first.wait_for_success()): (first, second),
        asyncio.create_task(second.wait_for_success()): (second, first)
    }
    try:
        waiting = set(tasks)
        while True:
            done, waiting = await asyncio.wait(
                waiting, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                if task.result() or not waiting:
                    return tasks[task]
    except BaseException:
        first.cancel()
        second.cancel()
        raise
    finally:
        for task in tasks:
            task.cancel()
