"""The account: every accepted request ends in exactly one outcome."""

import collections
import dataclasses
import enum
from collections.abc import Mapping

__all__ = ['RequestCounts', 'RequestOutcome', 'RequestCounter', 'CountKey']


class RequestOutcome(enum.StrEnum):
    """How an accepted request ended."""

    IN_TIME = 'in_time'
    LATE = 'late'
    REFUSED = 'refused_not_run'
    FAILED = 'failed'
    UNKNOWN = 'outcome_unknown'


@dataclasses.dataclass(frozen=True, order=True)
class CountKey:
    """What a count belongs to."""

    workspace: str
    work_class: str


@dataclasses.dataclass(frozen=True, slots=True)
class RequestCounts:
    """Counts of one workspace and class.

    Attributes:
        accepted: requests that were taken on.
        in_time: whole answers within the target.
        late: whole answers past the target.
        refused_not_run: requests that were refused and proved not to have run.
        failed: requests that ran, or may be run again, without a whole answer.
        outcome_unknown: requests that may or may not have taken effect.
        repeats: answers that came from a kept outcome.
        attempts: attempts that were handed to agents.
        retries: attempts after the first of each request.
        retries_allowed: retries that the class would have allowed.
    """

    accepted: int = 0
    in_time: int = 0
    late: int = 0
    refused_not_run: int = 0
    failed: int = 0
    outcome_unknown: int = 0
    repeats: int = 0
    attempts: int = 0
    retries: int = 0
    retries_allowed: int = 0

    @property
    def ended(self) -> int:
        """Requests that have an outcome."""
        return (self.in_time + self.late + self.refused_not_run + self.failed +
                self.outcome_unknown)

    @property
    def open(self) -> int:
        """Accepted requests without an outcome."""
        return self.accepted - self.ended

    def __add__(self, other: 'RequestCounts') -> 'RequestCounts':
        return RequestCounts(*(a + b for a, b in zip(self.values(), other.values())))

    def __sub__(self, other: 'RequestCounts') -> 'RequestCounts':
        return RequestCounts(*(a - b for a, b in zip(self.values(), other.values())))

    def values(self) -> tuple[int, ...]:
        """The counts in the order of the attributes."""
        return tuple(getattr(self, name) for name in self.names())

    @classmethod
    def names(cls) -> tuple[str, ...]:
        """The names of the counts in the order of the attributes."""
        return tuple(field.name for field in dataclasses.fields(cls))


class RequestCounter:
    """Counts of accepted requests and of how they ended."""

    def __init__(self) -> None:
        self._count_by_key = collections.defaultdict[CountKey,
                                                     collections.Counter[str]](
                                                         collections.Counter)
        self._taken_by_key: dict[CountKey, RequestCounts] = {}
        self._changed: set[CountKey] = set()

    @property
    def counts_by_key(self) -> Mapping[CountKey, RequestCounts]:
        """All counts since the process started."""
        return {key: RequestCounts(**c) for key, c in self._count_by_key.items()}

    def accept(self, key: CountKey) -> None:
        """Counts a request that was taken on."""
        self._count_by_key[key]['accepted'] += 1
        self._changed.add(key)

    def end(self,
            key: CountKey,
            outcome: RequestOutcome,
            *,
            attempts: int,
            repeat: bool,
            retries_allowed: int = 0) -> None:
        """Counts how a request ended.

        Args:
            key: the request's workspace and class.
            outcome: how it ended.
            attempts: how many attempts it made.
            repeat: whether it was answered from a kept outcome.
            retries_allowed: how many retries its class allows.
        """
        count = self._count_by_key[key]
        count[outcome.value] += 1
        count['repeats'] += int(repeat)
        count['attempts'] += attempts
        count['retries'] += max(0, attempts - 1)
        count['retries_allowed'] += retries_allowed
        self._changed.add(key)

    def take_changes(self) -> dict[CountKey, RequestCounts]:
        """Returns what was counted since the last call."""
        taken = {}
        for key in self._changed:
            counts = RequestCounts(**self._count_by_key[key])
            taken[key] = counts - self._taken_by_key.get(key, RequestCounts())
            self._taken_by_key[key] = counts
        self._changed.clear()
        return taken
