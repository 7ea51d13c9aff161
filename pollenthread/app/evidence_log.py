"""Collects evidence of poison requests, from this host and from its peers."""

import dataclasses
from collections.abc import Callable, Iterable

from pollenthread.core import crash_evidence, prompt_quarantine

__all__ = ['EvidenceLog', 'Observation']


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """What this host has observed itself and its peers may not know.

    Attributes:
        crashed_servers: servers of new crashes.
        cleared_parts: parts on which a suspicion ended.
    """

    crashed_servers: tuple[str, ...] = ()
    cleared_parts: tuple[str, ...] = ()


class EvidenceLog:
    """The evidence of an entry host, and who is told about it.

    Attributes:
        quarantine: decides by the evidence.
        observed_callbacks: called with each observation of this host.
        suspected_callbacks: called when a crash became known.
    """

    def __init__(self, *, patience: float = 1.0) -> None:
        """Creates an empty log.

        Args:
            patience: see `prompt_quarantine.PromptQuarantine`.
        """
        self.quarantine = prompt_quarantine.PromptQuarantine(patience=patience)
        self.observed_callbacks: list[Callable[[Observation], None]] = []
        self.suspected_callbacks: list[Callable[[], None]] = []

    @property
    def known(self) -> crash_evidence.CrashEvidence:
        """The known crashes and cleared parts."""
        return self.quarantine.evidence

    def observe_crash(self, crash: crash_evidence.Crash) -> None:
        """Records a crash that this host noticed."""
        if self.record_crash(crash):
            self._tell(Observation(crashed_servers=(crash.server,)))

    def observe_answer(self, parts: Iterable[str], now: float) -> None:
        """Records that a request with some parts was answered."""
        cleared = self.known.record_answer(parts, now)
        if cleared:
            self._tell(Observation(cleared_parts=tuple(cleared)))

    def record_crash(self, crash: crash_evidence.Crash) -> bool:
        """Records a crash; returns whether it was news."""
        is_news = self.known.record_crash(crash)
        if is_news:
            for callback in self.suspected_callbacks:
                callback()
        return is_news

    def _tell(self, observation: Observation) -> None:
        for callback in self.observed_callbacks:
            callback(observation)
