"""Builds the report on service quality and cost."""

import dataclasses
from collections.abc import Mapping

from pollenthread.core import account, account_summary, cost, targets

__all__ = ['ClassReport', 'OrderLine', 'AccountReport', 'build_report']


@dataclasses.dataclass(frozen=True)
class ClassReport:
    """The results of one class of work of one workspace.

    Attributes:
        workspace: the workspace's name.
        work_class: the name of the class of work.
        first_token_ms: target in milliseconds to the first token, or None.
        between_tokens_ms: target in milliseconds between tokens, or None.
        answer_ms: target in milliseconds to the end of the response, or None.
        retries_limit: maximum number of retries of a request; None if the
            class no longer exists.
        is_at_most_once: whether requests must not be executed twice; None if
            the class no longer exists.
        counts: the request counts.
        lost_with_host: number of requests with unknown outcome because their
            entry host was lost.
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
        """Share of accepted requests with a response in time, or None."""
        if not self.counts.accepted:
            return None
        return self.counts.in_time / self.counts.accepted

    @property
    def retries_share(self) -> float | None:
        """Retries made divided by retries allowed, or None."""
        if not self.counts.retries_allowed:
            return None
        return self.counts.retries / self.counts.retries_allowed


@dataclasses.dataclass(frozen=True)
class OrderLine:
    """The number of orders of one kind in one state.

    Attributes:
        kind: the kind of order.
        state: the state of the orders.
        count: the number of orders.
    """

    kind: str
    state: str
    count: int


@dataclasses.dataclass(frozen=True)
class AccountReport:
    """The report on service quality and cost over a range of days.

    Attributes:
        from_day: the first day, in UTC.
        to_day: the last day, in UTC.
        targets_version: version of the targets that the report shows.
        classes: service quality by workspace and class of work.
        costs: cost of rebalancing by group and day.
        orders: number of orders by kind and state.
        gaps: periods that the counts do not include.
        hosts: number of entry host incarnations that the counts include.
    """

    from_day: str
    to_day: str
    targets_version: int
    classes: tuple[ClassReport, ...]
    costs: tuple[cost.GroupCost, ...]
    orders: tuple[OrderLine, ...]
    gaps: tuple[account_summary.Gap, ...]
    hosts: int

    @property
    def total(self) -> account.RequestCounts:
        """The request counts summed over all classes."""
        total = account.RequestCounts()
        for class_report in self.classes:
            total += class_report.counts
        return total

    @property
    def adds_up(self) -> bool:
        """Whether no class has more outcomes than accepted requests."""
        return all(
            class_report.counts.open >= 0 for class_report in self.classes)


def build_report(*,
                 summary: account_summary.AccountSummary,
                 costs: tuple[cost.GroupCost, ...],
                 orders: tuple[OrderLine, ...],
                 current_targets: targets.Targets | None,
                 days: tuple[str, str],
                 workspaces: frozenset[str] | None = None) -> AccountReport:
    """Builds a report.

    Args:
        summary: the request counts.
        costs: the costs, one row per group and day.
        orders: the orders by kind and state.
        current_targets: the targets in force, or None.
        days: the first and the last day.
        workspaces: names of the workspaces to include; None for all. Costs,
            orders and host names are included only if all workspaces are.
    """
    visible_counts = {
        key: counts
        for key, counts in summary.counts_by_key.items()
        if workspaces is None or key.workspace in workspaces
    }
    includes_all = workspaces is None
    return AccountReport(
        from_day=days[0],
        to_day=days[1],
        targets_version=0
        if current_targets is None else current_targets.version,
        classes=tuple(
            _class_report(key, counts, summary.lost_with_host_by_key,
                          current_targets)
            for key, counts in visible_counts.items()),
        costs=costs if includes_all else (),
        orders=orders if includes_all else (),
        gaps=summary.gaps if includes_all else tuple(
            dataclasses.replace(gap, host='', incarnation='')
            for gap in summary.gaps),
        hosts=summary.hosts)


def _class_report(key: account.CountKey, counts: account.RequestCounts,
                  lost_with_host_by_key: Mapping[account.CountKey, int],
                  current_targets: targets.Targets | None) -> ClassReport:
    work_class = _find_work_class(key, current_targets)
    latency = targets.LatencyTarget(
    ) if work_class is None else work_class.latency
    return ClassReport(
        workspace=key.workspace,
        work_class=key.work_class,
        first_token_ms=latency.first_token_ms,
        between_tokens_ms=latency.between_tokens_ms,
        answer_ms=latency.answer_ms,
        retries_limit=None if work_class is None else work_class.retries,
        is_at_most_once=None
        if work_class is None else not work_class.repeatable,
        counts=counts,
        lost_with_host=lost_with_host_by_key.get(key, 0))


def _find_work_class(
        key: account.CountKey,
        current_targets: targets.Targets | None) -> targets.WorkClass | None:
    if current_targets is None:
        return None
    workspace = current_targets.workspace_by_name.get(key.workspace)
    if workspace is None:
        return None
    return workspace.class_by_name.get(key.work_class)
