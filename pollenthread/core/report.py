"""The report: one set of numbers that two departments read."""

import dataclasses
from collections.abc import Mapping

from pollenthread.core import account, cost, ledger, targets

__all__ = ['ClassLine', 'OrderLine', 'AccountReport', 'build_report']


@dataclasses.dataclass(frozen=True)
class ClassLine:
    """How one class of one workspace was served.

    Attributes:
        workspace: the workspace's name.
        work_class: the class's name.
        first_token_ms: the target, or None.
        between_tokens_ms: the target, or None.
        answer_ms: the target, or None.
        retries_limit: retries that one request may make.
        is_at_most_once: whether the class may not be repeated.
        counts: the counts.
        lost_with_host: unknown outcomes of requests whose entry host was lost.
    """

    workspace: str
    work_class: str
    first_token_ms: int | None
    between_tokens_ms: int | None
    answer_ms: int | None
    retries_limit: int | None
    is_at_most_once: bool | None
    counts: account.RequestCounts
    lost_with_host: int

    @property
    def in_time_share(self) -> float | None:
        """Share of the accepted requests that were answered in time."""
        if not self.counts.accepted:
            return None
        return self.counts.in_time / self.counts.accepted

    @property
    def retries_share(self) -> float | None:
        """Retries made over the retries that the limits allowed."""
        if not self.counts.retries_allowed:
            return None
        return self.counts.retries / self.counts.retries_allowed


@dataclasses.dataclass(frozen=True)
class OrderLine:
    """Orders of one kind by how they ended."""

    kind: str
    state: str
    count: int


@dataclasses.dataclass(frozen=True)
class AccountReport:
    """The account as both departments read it.

    Attributes:
        from_day: the first day, in UTC.
        to_day: the last day.
        targets_version: the version that the targets were taken from.
        classes: for those who run the service.
        costs: for those who pay for it.
        orders: orders by kind and how they ended.
        gaps: what the counts leave out.
        hosts: starts of entry hosts that the counts are made of.
    """

    from_day: str
    to_day: str
    targets_version: int
    classes: tuple[ClassLine, ...]
    costs: tuple[cost.GroupCost, ...]
    orders: tuple[OrderLine, ...]
    gaps: tuple[ledger.Gap, ...]
    hosts: int

    @property
    def total(self) -> account.RequestCounts:
        """The sums over all classes."""
        total = account.RequestCounts()
        for line in self.classes:
            total += line.counts
        return total

    @property
    def adds_up(self) -> bool:
        """Whether each accepted request has one outcome or is still open."""
        return all(line.counts.open >= 0 for line in self.classes)


def build_report(*,
          summary: ledger.AccountSummary,
          costs: tuple[cost.GroupCost, ...],
          orders: tuple[OrderLine, ...],
          current_targets: targets.Targets | None,
          days: tuple[str, str],
          workspaces: frozenset[str] | None = None) -> AccountReport:
    """Makes a report.

    Args:
        book: the counts.
        costs: the cost side, one row for each group and day.
        orders: the orders.
        current: the targets in force.
        days: the first and the last day.
        workspaces: the workspaces to show; None for all, and only then costs,
            orders and hosts' names are shown.
    """
    shown = {
        key: counts
        for key, counts in summary.counts_by_key.items()
        if workspaces is None or key.workspace in workspaces
    }
    sees_all = workspaces is None
    return AccountReport(
        from_day=days[0],
        to_day=days[1],
        targets_version=0 if current_targets is None else current_targets.version,
        classes=tuple(
            _class_line(key, counts, summary.lost_with_host_by_key, current_targets)
            for key, counts in shown.items()),
        costs=costs if sees_all else (),
        orders=orders if sees_all else (),
        gaps=summary.gaps if sees_all else tuple(
            dataclasses.replace(gap, host='', incarnation='')
            for gap in summary.gaps),
        hosts=summary.hosts)


def _class_line(key: account.CountKey, counts: account.RequestCounts,
                lost_by_key: Mapping[account.CountKey, int],
                current: targets.Targets | None) -> ClassLine:
    work_class = _find(key, current)
    latency = targets.LatencyTarget() if work_class is None else work_class.latency
    return ClassLine(
        workspace=key.workspace,
        work_class=key.work_class,
        first_token_ms=latency.first_token_ms,
        between_tokens_ms=latency.between_tokens_ms,
        answer_ms=latency.answer_ms,
        retries_limit=None if work_class is None else work_class.retries,
        is_at_most_once=None
        if work_class is None else not work_class.repeatable,
        counts=counts,
        lost_with_host=lost_by_key.get(key, 0))


def _find(key: account.CountKey,
          current: targets.Targets | None) -> targets.WorkClass | None:
    if current is None:
        return None
    workspace = current.workspace_by_name.get(key.workspace)
    if workspace is None:
        return None
    return workspace.class_by_name.get(key.work_class)
