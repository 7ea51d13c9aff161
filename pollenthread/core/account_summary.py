"""Sums the rows of the request accounting and detects missing rows."""

import collections
import dataclasses
import enum
from collections.abc import Iterable, Mapping

from pollenthread.core import account

__all__ = [
    'Gap', 'GapReason', 'AccountInterval', 'AccountSummary', 'merge_intervals',
    'summarize'
]


@dataclasses.dataclass(frozen=True)
class AccountInterval:
    """The counts of one incarnation of an entry host over some intervals.

    Attributes:
        host: the entry host.
        incarnation: the incarnation of its process.
        first: number of the first interval in this row, counted from 0.
        last: number of the last interval in this row.
        began_s: Unix seconds at which the first interval began.
        ended_s: Unix seconds at which the last interval ended.
        is_final: whether the process shut down in an orderly way after this
            row.
        counts_by_key: the counts by workspace and class of work.
    """

    host: str
    incarnation: str
    first: int
    last: int
    began_s: float
    ended_s: float
    is_final: bool
    counts_by_key: Mapping[account.CountKey, account.RequestCounts]


class GapReason(enum.StrEnum):
    """Why counts are missing."""

    ROW_MISSING = 'rows are missing'
    HOST_LOST = 'the host was lost before it handed over its counts'


@dataclasses.dataclass(frozen=True)
class Gap:
    """A period for which the counts of a host are missing.

    Attributes:
        host: the entry host.
        incarnation: the incarnation of its process.
        began_s: start of the period in Unix seconds.
        ended_s: end of the period in Unix seconds, or None if unknown.
        reason: why the counts are missing.
    """

    host: str
    incarnation: str
    began_s: float
    ended_s: float | None
    reason: GapReason


@dataclasses.dataclass(frozen=True)
class AccountSummary:
    """The request accounting over all hosts.

    Attributes:
        counts_by_key: the sums by workspace and class of work.
        lost_with_host_by_key: those requests with unknown outcome that were
            open on an entry host when it was lost.
        gaps: the periods that the sums do not include.
        hosts: number of host incarnations that the sums include.
    """

    counts_by_key: Mapping[account.CountKey, account.RequestCounts]
    lost_with_host_by_key: Mapping[account.CountKey, int]
    gaps: tuple[Gap, ...]
    hosts: int


def merge_intervals(rows: Iterable[AccountInterval]) -> AccountInterval:
    """Merges consecutive rows of one incarnation into one row."""
    ordered = sorted(rows, key=lambda row: row.first)
    return dataclasses.replace(ordered[0],
                               last=ordered[-1].last,
                               ended_s=ordered[-1].ended_s,
                               is_final=ordered[-1].is_final,
                               counts_by_key=_sum(ordered))


def summarize(rows: Iterable[AccountInterval],
              *,
              now_s: float,
              lost_after_s: float,
              from_s: float = 0.0) -> AccountSummary:
    """Sums rows over all hosts.

    Args:
        rows: rows of any hosts, in any order and possibly duplicated. Rows
            from before `from_s` are not summed; they show whether a process
            started before that time or a row is missing.
        now_s: the current time in Unix seconds.
        lost_after_s: seconds without a new row after which a host is lost.
        from_s: Unix seconds from which rows are summed.
    """
    summarizer = _Summarizer(now_s=now_s,
                             lost_after_s=lost_after_s,
                             from_s=from_s)
    by_incarnation = collections.defaultdict[tuple[str, str],
                                             list[AccountInterval]](list)
    for row in rows:
        by_incarnation[row.host, row.incarnation].append(row)
    for incarnation_rows in by_incarnation.values():
        summarizer.add(_distinct(incarnation_rows))
    return summarizer.to_summary()


class _Summarizer:
    """Sums rows, one incarnation at a time."""

    def __init__(self, *, now_s: float, lost_after_s: float,
                 from_s: float) -> None:
        self._now_s = now_s
        self._lost_after_s = lost_after_s
        self._from_s = from_s
        self._counts_by_key = collections.defaultdict[account.CountKey,
                                                      account.RequestCounts](
                                                          account.RequestCounts)
        self._lost_with_host_by_key = collections.Counter[account.CountKey]()
        self._gaps: list[Gap] = []
        self._hosts = 0

    def add(self, ordered: list[AccountInterval]) -> None:
        """Adds all rows of one incarnation, which must be in order."""
        counted = [row for row in ordered if row.began_s >= self._from_s]
        self._gaps += _find_gaps(ordered, self._from_s)
        for key, counts in _sum(counted).items():
            self._counts_by_key[key] += counts
        self._hosts += bool(counted)
        last = ordered[-1]
        is_overdue = self._now_s - last.ended_s > self._lost_after_s
        if last.ended_s < self._from_s or not (last.is_final or is_overdue):
            return
        if not last.is_final:
            self._gaps.append(_host_lost_gap(last))
        for key, counts in _sum(ordered).items():
            if counts.open > 0:
                self._lost_with_host_by_key[key] += counts.open
                self._counts_by_key[key] += account.RequestCounts(
                    outcome_unknown=counts.open)

    def to_summary(self) -> AccountSummary:
        """Returns the sums."""
        gaps = sorted(self._gaps, key=lambda gap: (gap.began_s, gap.host))
        return AccountSummary(
            counts_by_key=dict(sorted(self._counts_by_key.items())),
            lost_with_host_by_key=dict(self._lost_with_host_by_key),
            gaps=tuple(gaps),
            hosts=self._hosts)


def _distinct(rows: list[AccountInterval]) -> list[AccountInterval]:
    """Returns the rows in order, without those included in a merged row."""
    distinct: list[AccountInterval] = []
    for row in sorted(rows, key=lambda row: (row.first, -row.last)):
        if not distinct or row.first > distinct[-1].last:
            distinct.append(row)
    return distinct


def _sum(
    rows: Iterable[AccountInterval]
) -> dict[account.CountKey, account.RequestCounts]:
    total = collections.defaultdict[account.CountKey, account.RequestCounts](
        account.RequestCounts)
    for row in rows:
        for key, counts in row.counts_by_key.items():
            total[key] += counts
    return dict(total)


def _find_gaps(ordered: list[AccountInterval], from_s: float) -> list[Gap]:
    gaps = []
    starts_before = ordered[0].began_s < from_s
    expected = ordered[0].first if starts_before else 0
    known_until_s = ordered[0].began_s
    for row in ordered:
        if row.first > expected:
            gaps.append(
                Gap(row.host, row.incarnation, known_until_s, row.began_s,
                    GapReason.ROW_MISSING))
        expected = row.last + 1
        known_until_s = row.ended_s
    return gaps


def _host_lost_gap(last: AccountInterval) -> Gap:
    return Gap(last.host, last.incarnation, last.ended_s, None,
               GapReason.HOST_LOST)
