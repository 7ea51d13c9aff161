"""Snapshots of past popularity, used to evaluate changes of the map."""

import dataclasses

__all__ = ['PopularitySnapshot', 'append_popularity']

_SNAPSHOT_DURATION_S = 900.0
_MAX_SNAPSHOTS = 8


@dataclasses.dataclass(frozen=True)
class PopularitySnapshot:
    """The mean popularity in an interval.

    Attributes:
        start_s: the start of the interval, in seconds.
        end_s: the end of the interval, in seconds.
        shares: the traffic shares, by layer and expert.
    """

    start_s: float
    end_s: float
    shares: tuple[tuple[float, ...], ...]

    @property
    def duration_s(self) -> float:
        """The length of the interval, in seconds."""
        return self.end_s - self.start_s


def append_popularity(snapshots: tuple[PopularitySnapshot, ...],
                      shares: tuple[tuple[float, ...], ...],
                      now_s: float) -> tuple[PopularitySnapshot, ...]:
    """Merges the current shares into the latest snapshot, or appends one."""
    if not snapshots:
        return (PopularitySnapshot(now_s, now_s, shares),)
    last = snapshots[-1]
    if last.duration_s >= _SNAPSHOT_DURATION_S:
        fresh = PopularitySnapshot(last.end_s, now_s, shares)
        return (*snapshots[1 - _MAX_SNAPSHOTS:], fresh)
    elapsed_s = now_s - last.end_s
    length_s = now_s - last.start_s
    old_weight = last.duration_s / length_s if length_s else 0.0
    if not elapsed_s:
        old_weight = 1.0
    merged = tuple(
        tuple(old_weight * old + (1 - old_weight) * new
              for old, new in zip(before, after))
        for before, after in zip(last.shares, shares))
    return (*snapshots[:-1], PopularitySnapshot(last.start_s, now_s, merged))
