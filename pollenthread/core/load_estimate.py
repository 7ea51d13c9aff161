"""Estimates the current load of an upstream from delayed load reports.

Reports are corrected with the attempts that this entry host has sent itself.
"""

import collections
import dataclasses
import math

from pollenthread.core import admission_control

__all__ = [
    'MeanOtherLoad', 'UpstreamLoadReport', 'SentAttemptLog',
    'report_after_rejection', 'expected_load'
]

_SMOOTHING = 0.1
_MIN_DURATION_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamLoadReport:
    """A load report received over a link.

    Attributes:
        load: the load of the upstream.
        own: attempts in that load that this entry host sent.
        created_at: estimated time of the report, in monotonic seconds of the
            receiver.
    """

    load: admission_control.UpstreamLoad
    own: int
    created_at: float

    @property
    def others(self) -> int:
        """The number of attempts of other entry hosts."""
        return self.load.running + sum(self.load.queued) - self.own


class SentAttemptLog:
    """Records when attempts were sent, to determine the age of a report.

    The clocks of the two hosts are not compared. Instead, a report that does
    not include an attempt counts as at least as old as the time at which that
    attempt was sent.
    """

    def __init__(self) -> None:
        self._sent = 0
        self._unreported = collections.deque[float]()

    def record_sent(self, now: float) -> None:
        """Records that an attempt was sent."""
        self._sent += 1
        self._unreported.append(now)

    def report_time(self, received: int, now: float) -> float:
        """Returns the latest time at which a report can have been made.

        Args:
            received: number of attempts that the agent had received by then.
            now: monotonic seconds.
        """
        while self._unreported and self._sent - len(
                self._unreported) < received:
            self._unreported.popleft()
        return self._unreported[0] if self._unreported else now


class MeanOtherLoad:
    """The average load from other entry hosts, per slot of an upstream."""

    def __init__(self) -> None:
        self._share = 0.0

    def record(self, report: UpstreamLoadReport) -> None:
        """Records a report."""
        if report.load.limit:
            share = report.others / report.load.limit
            self._share += _SMOOTHING * (share - self._share)

    def for_report(self, report: UpstreamLoadReport) -> float:
        """Returns the average load for an upstream with the report's limit."""
        return self._share * report.load.limit


def expected_load(report: UpstreamLoadReport, *, own: int, mean: MeanOtherLoad,
                  now: float) -> float:
    """Returns the number of attempts expected at an upstream now.

    The count of attempts from this host is exact. The load from other hosts is
    a weighted mean of the reported value and the average; the weight of the
    report decays with its age relative to the duration of attempts.

    Args:
        report: the last report.
        own: attempts that this host has sent and that have not ended.
        mean: the average load from other hosts over all upstreams.
        now: monotonic seconds.
    """
    duration_s = max(report.load.duration_s, _MIN_DURATION_S)
    weight = math.exp(-max(0.0, now - report.created_at) / duration_s)
    return own + mean.for_report(report) + weight * (report.others -
                                                     mean.for_report(report))


def report_after_rejection(report: UpstreamLoadReport, *, own: int,
                           now: float) -> UpstreamLoadReport:
    """Returns the report to assume after an agent rejected an attempt.

    A rejection for lack of capacity shows that running and queued attempts
    exceed the limit.
    """
    least_running = report.load.limit + 1 - sum(report.load.queued)
    running = max(report.load.running, least_running)
    return UpstreamLoadReport(dataclasses.replace(report.load, running=running),
                              own, now)
