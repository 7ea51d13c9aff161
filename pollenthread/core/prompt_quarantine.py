"""Decides which requests are refused because they may crash servers."""

import dataclasses
from collections.abc import Collection, Iterable, Sequence

from pollenthread.core import crash_evidence

__all__ = ['PromptQuarantine', 'QuarantineVerdict']

# One crash under a request that the server began to answer, or two others.
_SUSPECT_WEIGHT = 2
_CONFIRMED_WEIGHT = 4
# Two crashes for other reasons may hit the same request. Until its next test,
# the servers are back.
_WEAK_QUARANTINE_S = 4.0
# The first crash may have had another cause. A wrong suspicion costs callers
# with that part; a deadly part that is tried again costs those of a group.
_FIRST_QUARANTINE_S = 20.0
# Hosts test a part one after the other within this time, relative to their
# patience beyond 1, so that one test tells all of them.
_TEST_SPREAD_S = 4.0
_QUARANTINE_GROWTH = 6.0
_MAX_QUARANTINE_S = 3600.0
_MIN_RETRY_AFTER_S = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class QuarantineVerdict:
    """Whether a request may be sent to a server.

    Attributes:
        suspects: the parts of the request that may crash a server.
        retry_after_s: seconds after which it may be sent; None for now.
    """

    suspects: tuple[str, ...] = ()
    retry_after_s: float | None = None

    @property
    def is_refused(self) -> bool:
        """Whether the request must not be sent now."""
        return self.retry_after_s is not None


_HARMLESS = QuarantineVerdict()


class PromptQuarantine:
    """Keeps requests with suspected parts away from the servers of a host.

    A quarantine ends by itself, or when a request with the part is answered.
    After its end, and while another part explains the same crashes as well, one
    request at a time is a test of the part.

    Attributes:
        evidence: the known crashes and cleared parts.
    """

    def __init__(self, *, patience: float = 1.0) -> None:
        """Creates a quarantine without evidence.

        Args:
            patience: factor on the length of quarantines. It differs between
                hosts, so that they do not try the same part at the same time.
        """
        self.evidence = crash_evidence.CrashEvidence()
        self._patience = patience
        self._parts_in_test: set[str] = set()

    def check(self, parts: Sequence[str], now: float) -> QuarantineVerdict:
        """Decides whether a request may be sent.

        Args:
            parts: its parts.
            now: monotonic seconds.
        """
        suspects = self._suspects(parts)
        if not suspects:
            return _HARMLESS
        wait_s = self._wait_s(suspects, now)
        if not self._parts_in_test.isdisjoint(suspects):
            wait_s = max(wait_s, _MIN_RETRY_AFTER_S)
        return QuarantineVerdict(suspects, wait_s if wait_s > 0 else None)

    def is_in_quarantine(self, parts: Sequence[str], now: float) -> bool:
        """Returns whether a request is kept back, even if it is a test."""
        return self._wait_s(self._suspects(parts), now) > 0

    def begin_test(self, suspects: Iterable[str]) -> None:
        """Marks parts as being tested by a request that is sent now."""
        self._parts_in_test.update(suspects)

    def end_test(self, suspects: Iterable[str]) -> None:
        """Ends the test of parts."""
        self._parts_in_test.difference_update(suspects)

    def confirming_servers(self, own_servers: Collection[str]) -> set[str]:
        """Returns the crashes of confirmed parts, by their servers.

        Args:
            own_servers: only parts with a crash of one of these are considered.
        """
        found: set[str] = set()
        for suspicion in self.evidence.suspicion_by_part().values():
            servers = suspicion.suspects_by_server.keys()
            if suspicion.weight >= _CONFIRMED_WEIGHT and not servers.isdisjoint(
                    own_servers):
                found |= servers
        return found

    def _suspects(self, parts: Sequence[str]) -> tuple[str, ...]:
        """Returns the parts that have the weight of a quarantine."""
        if not self.evidence.crash_by_server:
            return ()
        suspicions = self.evidence.suspicion_by_part()
        return tuple(part for part in parts if part in suspicions and
                     suspicions[part].weight >= _SUSPECT_WEIGHT)

    def _wait_s(self, suspects: Sequence[str], now: float) -> float:
        """Returns the seconds for which suspects keep their request back."""
        return max(
            (self._part_wait_s(part, suspects, now) for part in suspects),
            default=0.0)

    def _part_wait_s(self, part: str, suspects: Sequence[str],
                     now: float) -> float:
        suspicion = self.evidence.suspicion_by_part()[part]
        if self._is_explained(part, suspects):
            kept_s = (self._patience - 1.0) * _TEST_SPREAD_S
        else:
            kept_s = self._patience * _quarantine_s(suspicion.weight)
        left_s = suspicion.last_crash_at + kept_s - now
        return max(_MIN_RETRY_AFTER_S, left_s) if left_s > 0 else 0.0

    def _is_explained(self, part: str, suspects: Sequence[str]) -> bool:
        """Whether parts that the request lacks may explain all the crashes.

        The own part of another request does not explain them instead of a part
        that no answered request has had: a wrong test of that one costs the
        callers of a group, and waiting for it only those with the part.
        """
        suspicions = self.evidence.suspicion_by_part()
        weight = suspicions[part].weight
        return all(
            any(suspicions[other].weight >= weight
                for other in candidates
                if other not in suspects and (crash_evidence.is_own(part) or
                                              not crash_evidence.is_own(other)))
            for candidates in suspicions[part].suspects_by_server.values())


def _quarantine_s(weight: int) -> float:
    """Returns how long a part is kept away after its latest crash."""
    if weight < crash_evidence.STRONG_WEIGHT:
        return _WEAK_QUARANTINE_S
    repeats = weight // crash_evidence.STRONG_WEIGHT - 1
    return min(_MAX_QUARANTINE_S,
               _FIRST_QUARANTINE_S * _QUARANTINE_GROWTH**repeats)
