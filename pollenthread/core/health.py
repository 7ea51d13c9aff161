"""Ejects upstreams that do worse than their peers, and probes them back."""

import dataclasses

__all__ = ['OutlierDetector']

_SMOOTHING = 0.3
_EJECT_ABOVE = 0.6
_PEER_FACTOR = 1.5
_MAX_EJECTED_SHARE = 0.34
_FIRST_EJECTION_S = 1.0
_MAX_EJECTION_S = 16.0
_PROBE_INTERVAL_S = 0.5


@dataclasses.dataclass(slots=True)
class _Record:
    """What is known of one upstream's answers."""

    badness: float = 0.0
    ejected: bool = False
    next_probe_at: float = 0.0
    pause_s: float = _FIRST_EJECTION_S


class OutlierDetector:
    """Shares of bad answers by host.

    At most a third of the hosts is out at once: when more than that fail, the
    cause is not theirs, and sending nowhere would make an outage of it.
    """

    def __init__(self) -> None:
        self._record_by_host: dict[str, _Record] = {}
        self._ejected = 0
        self._mean = 0.0

    @property
    def ejected(self) -> list[str]:
        """Hosts that are out."""
        return sorted(h for h, r in self._record_by_host.items() if r.ejected)

    def add(self, host: str) -> None:
        """Begins to follow a host, with nothing held against it."""
        self.remove(host)
        self._record_by_host[host] = _Record()

    def remove(self, host: str) -> None:
        """Forgets a host."""
        record = self._record_by_host.pop(host, None)
        if record is not None and record.ejected:
            self._ejected -= 1

    def is_usable(self, host: str, now: float) -> bool:
        """Whether a host takes work; an ejected one does for a probe."""
        record = self._record_by_host.get(host)
        return record is None or not record.ejected or (now
                                                        >= record.next_probe_at)

    def record_attempt(self, host: str, now: float) -> None:
        """Counts an attempt; for an ejected host it is the probe."""
        record = self._record_by_host.get(host)
        if record is not None and record.ejected:
            record.next_probe_at = now + record.pause_s

    def record_result(self, host: str, *, succeeded: bool, now: float) -> None:
        """Takes the end of an attempt that reached the upstream."""
        record = self._record_by_host.get(host)
        if record is None:
            return
        bad = 0.0 if succeeded else 1.0
        record.badness += _SMOOTHING * (bad - record.badness)
        self._mean += _SMOOTHING / 10 * (bad - self._mean)
        if record.ejected and succeeded:
            self._restore(record)
        elif record.ejected:
            record.pause_s = min(_MAX_EJECTION_S, record.pause_s * 2)
            record.next_probe_at = now + record.pause_s
        elif self._is_outlier(record) and self._has_room():
            self._eject(record, now)

    def _is_outlier(self, record: _Record) -> bool:
        return (record.badness > _EJECT_ABOVE and
                record.badness > _PEER_FACTOR * self._mean)

    def _has_room(self) -> bool:
        allowed = int(_MAX_EJECTED_SHARE * len(self._record_by_host))
        return self._ejected < allowed

    def _eject(self, record: _Record, now: float) -> None:
        record.ejected = True
        record.pause_s = _FIRST_EJECTION_S
        record.next_probe_at = now + record.pause_s
        self._ejected += 1

    def _restore(self, record: _Record) -> None:
        record.ejected = False
        record.badness = 0.0
        self._ejected -= 1
