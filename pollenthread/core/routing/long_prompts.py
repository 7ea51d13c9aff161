"""Keeps long prompts apart from requests that they would hold up.

A server reads a prompt within the passes of its other requests, and all ranks
of a group share their passes. A prompt that takes a large part of the allowed
time between events to read delays every stream of its server or group.

Such prompts are concentrated on some servers or groups, whose number follows
the share of the work that they cause, as it was in the last minute. All hosts
prefer them in the same order, by rendezvous hashing, so no message is needed.
It is a preference only: any request may use any server that is less loaded.
"""

import hashlib
import math
from collections.abc import Collection

__all__ = ['LongPromptPlacement', 'is_long_prompt']

# The rest of the allowed gap is for the pass itself.
_MAX_GAP_SHARE = 0.5
_MEMORY_S = 60.0
# Preferred servers relative to the share of the work: with more of them, long
# prompts meet each other less.
_SERVERS_FACTOR = 4.0
# Part of a server below which long prompts get none.
_MIN_SERVERS = 0.1
_DIGEST_BYTES = 8


def is_long_prompt(prompt_s: float, max_gap_s: float) -> bool:
    """Returns whether reading a prompt delays the streams beside it too much.

    Args:
        prompt_s: seconds that reading it takes.
        max_gap_s: longest allowed time between events, in seconds; 0 if
            unlimited.
    """
    return bool(max_gap_s) and prompt_s > _MAX_GAP_SHARE * max_gap_s


class LongPromptPlacement:
    """Selects the servers or groups that long prompts of a service prefer."""

    def __init__(self) -> None:
        self._work = 0.0
        self._long_work = 0.0
        self._updated_at = 0.0

    def record(self, work: float, *, is_long: bool, now: float) -> None:
        """Records a request.

        Args:
            work: its work in passes.
            is_long: whether its prompt is long.
            now: monotonic seconds.
        """
        kept = math.exp(min(0.0, self._updated_at - now) / _MEMORY_S)
        self._updated_at = now
        self._work = self._work * kept + work
        self._long_work = self._long_work * kept + (work if is_long else 0.0)

    def preferred(self, units: Collection[str]) -> frozenset[str]:
        """Returns the units that long prompts prefer and others avoid.

        Args:
            units: the names of the groups, or of servers without a group.

        Returns:
            Some of the units; none if there are no long prompts, or if they are
            so many that all units are needed.
        """
        if not self._long_work:
            return frozenset()
        needed = len(units) * _SERVERS_FACTOR * self._long_work / self._work
        count = math.ceil(needed - _MIN_SERVERS)
        if count >= len(units):
            return frozenset()
        return frozenset(sorted(units, key=_rank)[:count])


def _rank(unit: str) -> bytes:
    return hashlib.blake2b(unit.encode(), digest_size=_DIGEST_BYTES).digest()
