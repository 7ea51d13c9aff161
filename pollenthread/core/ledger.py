"""Adds up the account's rows and shows where some are missing."""

import collections
import dataclasses
import enum
from collections.abc import Iterable, Mapping

from pollenthread.core import account

__all__ = ['Gap', 'GapReason', 'AccountInterval', 'AccountSummary', 'merge_intervals', 'summarize']


@dataclasses.dataclass(frozen=True)
class AccountInterval:
    """What one start of an entry host counted over some time.

    Attributes:
        host: the entry host.
        incarnation: which start of its process.
        first: number of the first interval in this row.
        last: number of the last interval in this row.
        began_s: Unix seconds at which the first interval began.
        ended_s: Unix seconds at which the last interval ended.
        is_final: whether the process stopped by plan after this row.
        counts_by_key: the counts by workspace and class.
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
    """Why a part of the account is missing."""

    ROW_MISSING = 'rows are missing'
    HOST_LOST = 'the host was lost before it handed over its counts'


@dataclasses.dataclass(frozen=True)
class Gap:
    """A time in which a host's counts are not known.

    Attributes:
        host: the entry host.
        incarnation: which start of its process.
        began_s: Unix seconds from which the counts are not known.
        ended_s: Unix seconds until which, or None when that is not known.
        reason: why.
    """

    host: str
    incarnation: str
    began_s: float
    ended_s: float | None
    reason: GapReason


@dataclasses.dataclass(frozen=True)
class AccountSummary:
    """The account over all hosts.

    Attributes:
        counts_by_key: the sums by workspace and class.
        lost_with_host_by_key: requests among the unknown outcomes that a host
            had accepted and not ended when it was lost.
        gaps: what the sums leave out.
        hosts: how many starts of hosts the sums are made of.
    """

    counts_by_key: Mapping[account.CountKey, account.RequestCounts]
    lost_with_host_by_key: Mapping[account.CountKey, int]
    gaps: tuple[Gap, ...]
    hosts: int


def merge_intervals(rows: Iterable[AccountInterval]) -> AccountInterval:
    """Makes one row of consecutive rows of one incarnation."""
    ordered = sorted(rows, key=lambda row: row.first)
    return dataclasses.replace(ordered[0],
                               last=ordered[-1].last,
                               ended_s=ordered[-1].ended_s,
                               is_final=ordered[-1].is_final,
                               counts_by_key=_sum(ordered))


def summarize(rows: Iterable[AccountInterval],
           *,
           now_s: float,
           silence_s: float,
           from_s: float = 0.0) -> AccountSummary:
    """Adds up rows.

    Args:
        rows: rows of any hosts, in any order; a row may come twice. Rows from
            before `from_s` are not added; they tell a start before that time
            from a missing row.
        now_s: Unix seconds now.
        silence_s: a host without a new row for so long is lost.
        from_s: Unix seconds from which rows are added.
    """
    adder = _Adder(now_s=now_s, silence_s=silence_s, from_s=from_s)
    by_incarnation = collections.defaultdict[tuple[str, str],
                                             list[AccountInterval]](list)
    for row in rows:
        by_incarnation[row.host, row.incarnation].append(row)
    for found in by_incarnation.values():
        adder.add(_distinct(found))
    return adder.ledger()


class _Adder:
    """Adds the rows of one incarnation after the other."""

    def __init__(self, *, now_s: float, silence_s: float,
                 from_s: float) -> None:
        self._now_s = now_s
        self._silence_s = silence_s
        self._from_s = from_s
        self._counts_by_key = collections.defaultdict[account.CountKey,
                                                      account.RequestCounts](
                                                          account.RequestCounts)
        self._lost_by_key = collections.Counter[account.CountKey]()
        self._gaps: list[Gap] = []
        self._hosts = 0

    def add(self, ordered: list[AccountInterval]) -> None:
        """Adds all rows of one incarnation, in their order."""
        counted = [row for row in ordered if row.began_s >= self._from_s]
        self._gaps += _missing(ordered, self._from_s)
        for key, counts in _sum(counted).items():
            self._counts_by_key[key] += counts
        self._hosts += bool(counted)
        last = ordered[-1]
        is_silent = self._now_s - last.ended_s > self._silence_s
        if last.ended_s < self._from_s or not (last.is_final or is_silent):
            return
        if not last.is_final:
            self._gaps.append(_lost(last))
        for key, counts in _sum(ordered).items():
            if counts.open > 0:
                self._lost_by_key[key] += counts.open
                self._counts_by_key[key] += account.RequestCounts(
                    outcome_unknown=counts.open)

    def ledger(self) -> AccountSummary:
        """The sums."""
        gaps = sorted(self._gaps, key=lambda gap: (gap.began_s, gap.host))
        return AccountSummary(counts_by_key=dict(sorted(self._counts_by_key.items())),
                      lost_with_host_by_key=dict(self._lost_by_key),
                      gaps=tuple(gaps),
                      hosts=self._hosts)


def _distinct(rows: list[AccountInterval]) -> list[AccountInterval]:
    """The rows in order, without those that a folded row holds already."""
    kept: list[AccountInterval] = []
    for row in sorted(rows, key=lambda row: (row.first, -row.last)):
        if not kept or row.first > kept[-1].last:
            kept.append(row)
    return kept


def _sum(rows: Iterable[AccountInterval]) -> dict[account.CountKey, account.RequestCounts]:
    total = collections.defaultdict[account.CountKey,
                                    account.RequestCounts](account.RequestCounts)
    for row in rows:
        for key, counts in row.counts_by_key.items():
            total[key] += counts
    return dict(total)


def _missing(ordered: list[AccountInterval], from_s: float) -> list[Gap]:
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


def _lost(last: AccountInterval) -> Gap:
    return Gap(last.host, last.incarnation, last.ended_s, None,
               GapReason.HOST_LOST)
