"""Past popularity, against which a change of the map is proved."""

import dataclasses

__all__ = ['PopularitySnapshot', 'append_popularity']

_SNAPSHOT_S = 900.0
_SNAPSHOTS = 8


@dataclasses.dataclass(frozen=True)
class PopularitySnapshot:
    """The mean popularity over some time.

    Attributes:
        start_s: the start of that time.
        end_s: the end of that time.
        shares: by layer and expert.
    """

    start_s: float
    end_s: float
    shares: tuple[tuple[float, ...], ...]

    @property
    def duration_s(self) -> float:
        """The length of that time, in seconds."""
        return self.end_s - self.start_s


def append_popularity(snapshots: tuple[PopularitySnapshot, ...],
                      shares: tuple[tuple[float, ...], ...],
                      now_s: float) -> tuple[PopularitySnapshot, ...]:
    """Merges the present into the newest snapshot, or begins another."""
    if not snapshots:
        return (PopularitySnapshot(now_s, now_s, shares),)
    last = snapshots[-1]
    if last.duration_s >= _SNAPSHOT_S:
        fresh = PopularitySnapshot(last.end_s, now_s, shares)
        return (*snapshots[1 - _SNAPSHOTS:], fresh)
    elapsed_s = now_s - last.end_s
    length_s = now_s - last.start_s
    keep = last.duration_s / length_s if length_s else 0.0
    if not elapsed_s:
        keep = 1.0
    mixed = tuple(
        tuple(keep * old + (1 - keep) * new
              for old, new in zip(before, after))
        for before, after in zip(last.shares, shares))
    return (*snapshots[:-1], PopularitySnapshot(last.start_s, now_s, mixed))
