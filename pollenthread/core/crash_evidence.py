"""Evidence of which requests crash the servers that run them.

A poison request crashes each server that begins to run it, because of one part
of its prompt that other requests have too, or because of what only it holds.
The latter is a part as well, its own one: a digest that stands for the last
part of the prompt, the path, the caller and the body. Each crash is a test of a
group of parts, those of the requests that the server was about to answer; each
answered request clears its parts.
"""

import collections
import dataclasses
import enum
from collections.abc import Collection, Iterable, Mapping

from pollenthread.core import caller_request

__all__ = [
    'STRONG_WEIGHT', 'AttemptStage', 'Crash', 'CrashEvidence', 'Suspicion',
    'is_own', 'part_ids'
]

_MAX_CRASHES = 64
_MAX_PARTS_PER_CRASH = 128
_MAX_SHARED_PARTS_PER_REQUEST = 16
_MAX_CLEARED_PARTS = 4096
# Software that crashed longer ago may have been replaced since.
_CRASH_TTL_S = 7200.0
# A clearing that seems later by less than this is the known one, delayed on its
# way: hosts exchange ages, since their clocks are not compared.
_SAME_CLEARING_S = 0.5
# Of a crash under a request that the server had begun to answer, and of others.
STRONG_WEIGHT = 3
_WEAK_WEIGHT = 1
# No part of a prompt has a colon in its id.
_OWN_PREFIX = 'own:'


class AttemptStage(enum.Enum):
    """How much of the response to an attempt has arrived."""

    SENT = 'sent'
    BEGUN = 'begun'
    STREAMING = 'streaming'


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """A crash of a server under the requests that were at it.

    Attributes:
        server: the id and start time of the server.
        at: monotonic seconds.
        begun: parts of the requests whose response had begun without a complete
            event. The server crashed while it began to answer one of them.
        sent: parts of the requests of which no response had arrived.
    """

    server: str
    at: float
    begun: frozenset[str]
    sent: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class Suspicion:
    """What speaks against one part.

    Attributes:
        weight: the weight of the crashes that the part may have caused.
        last_crash_at: monotonic seconds of the latest of these crashes.
        suspects_by_server: for each of these crashes, all parts that may have
            caused it.
    """

    weight: int
    last_crash_at: float
    suspects_by_server: Mapping[str, frozenset[str]]


def part_ids(request: caller_request.CallerRequest) -> tuple[str, ...]:
    """Returns the ids of a request's parts.

    The last one is its own; other requests may have the others too.
    """
    shared = request.prompt_parts[:-1][:_MAX_SHARED_PARTS_PER_REQUEST]
    return (*(part.id for part in shared), _OWN_PREFIX + request.digest)


def is_own(part: str) -> bool:
    """Returns whether a part belongs to one request."""
    return part.startswith(_OWN_PREFIX)


class CrashEvidence:
    """Crashes and cleared parts, as known to one host.

    The content of two hosts can be merged in any order and more than once.
    """

    def __init__(self) -> None:
        self._crash_by_server: dict[str, Crash] = {}
        self._cleared_at: collections.OrderedDict[
            str, float] = collections.OrderedDict()
        self._suspicion_by_part: dict[str, Suspicion] | None = {}

    @property
    def crash_by_server(self) -> Mapping[str, Crash]:
        """The known crashes, by server."""
        return self._crash_by_server

    def cleared_at(self, part: str) -> float | None:
        """Returns when a request with the part was last answered, if known."""
        return self._cleared_at.get(part)

    def record_answer(self, parts: Iterable[str], now: float) -> list[str]:
        """Records that a server has begun to answer a request and still runs.

        Args:
            parts: the parts of the request.
            now: monotonic seconds.

        Returns:
            The parts on which a suspicion ends.
        """
        # Most requests come once: their own parts would displace the others.
        return [
            part for part in parts
            if not is_own(part) or part in self.suspicion_by_part()
            if self.record_cleared(part, now)
        ]

    def record_cleared(self, part: str, at: float) -> bool:
        """Records that a request with a part was answered.

        Args:
            part: the part.
            at: monotonic seconds.

        Returns:
            Whether that ends a suspicion.
        """
        known_at = self._cleared_at.get(part)
        if known_at is not None and at <= known_at:
            return False
        self._cleared_at[part] = at
        self._cleared_at.move_to_end(part)
        while len(self._cleared_at) > _MAX_CLEARED_PARTS:
            self._cleared_at.popitem(last=False)
        if part not in self.suspicion_by_part():
            return False
        self._suspicion_by_part = None
        return part not in self.suspicion_by_part()

    def is_cleared_news(self, part: str, at: float) -> bool:
        """Returns whether a clearing is later than the known one."""
        known_at = self._cleared_at.get(part)
        return known_at is None or at > known_at + _SAME_CLEARING_S

    def record_crash(self, crash: Crash) -> bool:
        """Adds a crash, or what another host knows of it.

        Returns:
            Whether that was not known.
        """
        known = self._crash_by_server.get(crash.server)
        merged = crash if known is None else Crash(
            crash.server, known.at, _union(known.begun, crash.begun),
            _union(known.sent, crash.sent))
        if merged == known:
            return False
        self._crash_by_server[crash.server] = merged
        while len(self._crash_by_server) > _MAX_CRASHES:
            oldest = min(self._crash_by_server.values(), key=lambda c: c.at)
            del self._crash_by_server[oldest.server]
        self._suspicion_by_part = None
        return True

    def expire(self, now: float) -> list[str]:
        """Drops old crashes.

        Returns:
            The servers of the dropped crashes.
        """
        expired = [
            crash.server
            for crash in self._crash_by_server.values()
            if now - crash.at > _CRASH_TTL_S
        ]
        for server in expired:
            del self._crash_by_server[server]
        if expired:
            self._suspicion_by_part = None
        return expired

    def suspicion_by_part(self) -> Mapping[str, Suspicion]:
        """Returns what speaks against each part that is not cleared."""
        if self._suspicion_by_part is None:
            self._suspicion_by_part = self._weigh()
        return self._suspicion_by_part

    def _weigh(self) -> dict[str, Suspicion]:
        weight_by_part: collections.Counter[str] = collections.Counter()
        last_at: dict[str, float] = {}
        suspects_by_part: dict[str, dict[str, frozenset[str]]] = {}
        for crash in self._crash_by_server.values():
            suspects, weight = self._suspects(crash)
            for part in suspects:
                weight_by_part[part] += weight
                last_at[part] = max(crash.at, last_at.get(part, crash.at))
                suspects_by_part.setdefault(part, {})[crash.server] = suspects
        return {
            part: Suspicion(weight, last_at[part], suspects_by_part[part])
            for part, weight in weight_by_part.items()
        }

    def _suspects(self, crash: Crash) -> tuple[frozenset[str], int]:
        """Returns the parts that may have caused a crash, and their weight.

        Parts that were answered before the crash are suspected only if there
        are no others: new software may crash on them.
        """
        if crash.begun:
            suspects = self._not_cleared_since(crash.begun, crash.at)
            new = self._never_cleared(suspects)
            if new:
                return new, STRONG_WEIGHT
            return suspects, _WEAK_WEIGHT
        suspects = self._not_cleared_since(crash.sent, crash.at)
        return self._never_cleared(suspects), _WEAK_WEIGHT

    def _not_cleared_since(self, parts: frozenset[str],
                           at: float) -> frozenset[str]:
        return frozenset(
            part for part in parts if self._cleared_at.get(part, at) <= at)

    def _never_cleared(self, parts: frozenset[str]) -> frozenset[str]:
        return frozenset(part for part in parts if part not in self._cleared_at)


def _union(known: Collection[str], more: Collection[str]) -> frozenset[str]:
    return frozenset(sorted({*known, *more})[:_MAX_PARTS_PER_CRASH])
