"""Corrects late load reports by what an entry host knows by itself."""

import collections
import dataclasses
import math

from pollenthread.core import slots

__all__ = ['MeanOtherLoad', 'UpstreamLoadReport', 'SentAttemptLog', 'report_after_refusal', 'expected_load']

_SMOOTHING = 0.1
_MIN_HOLD_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamLoadReport:
    """One load report as it came over a link.

    Attributes:
        reading: the state of the upstream.
        own: attempts of that state that came over this link.
        made_at: when it was made, as far as the receiver can tell; seconds.
    """

    load: slots.UpstreamLoad
    own: int
    made_at: float

    @property
    def others(self) -> int:
        """Attempts of other entry hosts."""
        return self.load.running + sum(self.load.queued) - self.own


class SentAttemptLog:
    """When attempts were sent, to tell how old a report is.

    Clocks of two hosts are not compared: a report that does not count an
    attempt is at least as old as the attempt's sending.
    """

    def __init__(self) -> None:
        self._sent = 0
        self._unseen = collections.deque[float]()

    def record_sent(self, now: float) -> None:
        """Counts an attempt."""
        self._sent += 1
        self._unseen.append(now)

    def report_time(self, received: int, now: float) -> float:
        """When a report was made at the latest.

        Args:
            seen: attempts that had come by then.
            now: seconds.
        """
        while self._unseen and self._sent - len(self._unseen) < received:
            self._unseen.popleft()
        return self._unseen[0] if self._unseen else now


class MeanOtherLoad:
    """What other entry hosts have at an upstream on average, per turn."""

    def __init__(self) -> None:
        self._share = 0.0

    def record(self, report: UpstreamLoadReport) -> None:
        """Takes a report."""
        if report.load.limit:
            share = report.others / report.load.limit
            self._share += _SMOOTHING * (share - self._share)

    def for_report(self, report: UpstreamLoadReport) -> float:
        """The average for an upstream with this limit."""
        return self._share * report.load.limit


def expected_load(report: UpstreamLoadReport, *, own: int, mean: MeanOtherLoad,
                  now: float) -> float:
    """Attempts that are expected to run or wait at an upstream now.

    The own ones are known exactly. What others had there is believed the less
    the older the report is against the time that attempts take; the rest of
    the belief goes to the average.

    Args:
        report: the last report.
        own: attempts handed over and not yet ended.
        mean: the average over the upstreams.
        now: seconds.
    """
    hold_s = max(report.load.duration_s, _MIN_HOLD_S)
    trust = math.exp(-max(0.0, now - report.made_at) / hold_s)
    return own + mean.for_report(report) + trust * (report.others - mean.for_report(report))


def report_after_refusal(report: UpstreamLoadReport, *, own: int, now: float) -> UpstreamLoadReport:
    """What is known once an agent has refused an attempt for want of room."""
    short = report.load.limit + 1 - sum(report.load.queued)
    running = max(report.load.running, short)
    return UpstreamLoadReport(dataclasses.replace(report.load, running=running), own,
                  now)
