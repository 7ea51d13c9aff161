"""The account: every accepted request ends in exactly one outcome."""

import collections
import dataclasses
import enum

__all__ = ['Outcome', 'Tally', 'TallyKey']


class Outcome(enum.StrEnum):
    """How an accepted request ended."""

    IN_TIME = 'in_time'
    LATE = 'late'
    REFUSED = 'refused_not_run'
    FAILED = 'failed'
    UNKNOWN = 'outcome_unknown'


@dataclasses.dataclass(frozen=True)
class TallyKey:
    """What a count belongs to."""

    workspace: str
    work_class: str


class Tally:
    """Counts of accepted requests and of how they ended."""

    def __init__(self) -> None:
        self.accepted_by_key = collections.Counter[TallyKey]()
        self.repeats_by_key = collections.Counter[TallyKey]()
        self.attempts_by_key = collections.Counter[TallyKey]()
        self.outcomes_by_key = collections.defaultdict[
            TallyKey, collections.Counter[Outcome]](collections.Counter)

    def accept(self, key: TallyKey) -> None:
        """Counts a request that was taken on."""
        self.accepted_by_key[key] += 1

    def end(self, key: TallyKey, outcome: Outcome, *, attempts: int,
            repeat: bool) -> None:
        """Counts how a request ended.

        Args:
            key: the request's workspace and class.
            outcome: how it ended.
            attempts: how many attempts it made.
            repeat: whether it was answered from a kept outcome.
        """
        self.outcomes_by_key[key][outcome] += 1
        self.attempts_by_key[key] += attempts
        self.repeats_by_key[key] += int(repeat)

    def open_requests(self, key: TallyKey) -> int:
        """Accepted requests that have not ended."""
        ended = sum(self.outcomes_by_key[key].values())
        return self.accepted_by_key[key] - ended
