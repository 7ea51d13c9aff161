"""Request accounting: counts accepted requests and their outcomes.

Every accepted request ends in exactly one outcome.
"""

import collections
import dataclasses
import enum
from collections.abc import Mapping

__all__ = ['RequestCounts', 'RequestOutcome', 'RequestCounter', 'CountKey']


class RequestOutcome(enum.StrEnum):
    """The outcome of an accepted request."""

    IN_TIME = 'in_time'
    LATE = 'late'
    REFUSED_NOT_RUN = 'refused_not_run'
    FAILED = 'failed'
    UNKNOWN = 'outcome_unknown'


@dataclasses.dataclass(frozen=True, order=True)
class CountKey:
    """The workspace and class of work that counts belong to."""

    workspace: str
    work_class: str


@dataclasses.dataclass(frozen=True, slots=True)
class RequestCounts:
    """Request counts of one workspace and class of work.

    Attributes:
        accepted: accepted requests.
        in_time: complete responses within the target.
        late: complete responses after the target.
        refused_not_run: rejected requests that were certainly not executed.
        failed: requests without a complete response that were executed or can
            safely be repeated.
        outcome_unknown: requests that may or may not have been executed.
        repeats: requests answered with a stored response.
        attempts: attempts that were sent to agents.
        retries: attempts after the first one of each request.
        retries_allowed: retries that the classes of the requests allow.
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
        """The number of requests that have an outcome."""
        return (self.in_time + self.late + self.refused_not_run + self.failed +
                self.outcome_unknown)

    @property
    def open(self) -> int:
        """The number of accepted requests without an outcome."""
        return self.accepted - self.ended

    def __add__(self, other: 'RequestCounts') -> 'RequestCounts':
        return RequestCounts(
            *(a + b for a, b in zip(self.values(), other.values())))

    def __sub__(self, other: 'RequestCounts') -> 'RequestCounts':
        return RequestCounts(
            *(a - b for a, b in zip(self.values(), other.values())))

    def values(self) -> tuple[int, ...]:
        """Returns the counts in the order of the attributes."""
        return tuple(getattr(self, name) for name in self.names())

    @classmethod
    def names(cls) -> tuple[str, ...]:
        """Returns the names of the counts in the order of the attributes."""
        return tuple(field.name for field in dataclasses.fields(cls))


class RequestCounter:
    """Counts accepted requests and their outcomes."""

    def __init__(self) -> None:
        self._count_by_key = collections.defaultdict[CountKey,
                                                     collections.Counter[str]](
                                                         collections.Counter)
        self._reported_by_key: dict[CountKey, RequestCounts] = {}
        self._changed: set[CountKey] = set()

    @property
    def counts_by_key(self) -> Mapping[CountKey, RequestCounts]:
        """All counts since the process started, by key."""
        return {
            key: RequestCounts(**count)
            for key, count in self._count_by_key.items()
        }

    def accept(self, key: CountKey) -> None:
        """Counts an accepted request."""
        self._count_by_key[key]['accepted'] += 1
        self._changed.add(key)

    def end(self,
            key: CountKey,
            outcome: RequestOutcome,
            *,
            attempts: int,
            repeat: bool,
            retries_allowed: int = 0) -> None:
        """Counts the end of a request.

        Args:
            key: the workspace and class of work of the request.
            outcome: the outcome.
            attempts: number of attempts that were made.
            repeat: whether it was answered with a stored response.
            retries_allowed: number of retries that its class allows.
        """
        count = self._count_by_key[key]
        count[outcome.value] += 1
        count['repeats'] += int(repeat)
        count['attempts'] += attempts
        count['retries'] += max(0, attempts - 1)
        count['retries_allowed'] += retries_allowed
        self._changed.add(key)

    def take_changes(self) -> dict[CountKey, RequestCounts]:
        """Returns the counts added since the last call, by key."""
        changes = {}
        for key in self._changed:
            counts = RequestCounts(**self._count_by_key[key])
            changes[key] = counts - self._reported_by_key.get(
                key, RequestCounts())
            self._reported_by_key[key] = counts
        self._changed.clear()
        return changes
