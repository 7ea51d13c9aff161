"""Outlier detection: ejects failing upstreams and probes them for recovery."""

import dataclasses

__all__ = ['OutlierDetector']

_SMOOTHING = 0.3
_EJECTION_FAILURE_RATE = 0.6
_PEER_FACTOR = 1.5
_MAX_EJECTED_SHARE = 0.34
_FIRST_EJECTION_S = 1.0
_MAX_EJECTION_S = 16.0
_PROBE_INTERVAL_S = 0.5


@dataclasses.dataclass(slots=True)
class _HostHealth:
    """The health of one host.

    Attributes:
        failure_rate: exponential moving average of the failure rate.
        ejected: whether the host is ejected.
        next_probe_at: monotonic seconds of the next probe while ejected.
        ejection_s: seconds between probes while ejected.
    """

    failure_rate: float = 0.0
    ejected: bool = False
    next_probe_at: float = 0.0
    ejection_s: float = _FIRST_EJECTION_S


class OutlierDetector:
    """Ejects hosts whose failure rate is well above the mean.

    At most a third of the hosts is ejected at once: if more of them fail, the
    cause is probably not in the hosts, and ejecting them all would turn the
    failures into an outage.
    """

    def __init__(self) -> None:
        self._health_by_host: dict[str, _HostHealth] = {}
        self._ejected_count = 0
        self._mean_failure_rate = 0.0

    @property
    def ejected(self) -> list[str]:
        """The names of the ejected hosts, sorted."""
        return sorted(
            h for h, health in self._health_by_host.items() if health.ejected)

    def add(self, host: str) -> None:
        """Adds a host, or resets its failure rate."""
        self.remove(host)
        self._health_by_host[host] = _HostHealth()

    def remove(self, host: str) -> None:
        """Removes a host."""
        health = self._health_by_host.pop(host, None)
        if health is not None and health.ejected:
            self._ejected_count -= 1

    def is_usable(self, host: str, now: float) -> bool:
        """Returns whether a host may be used; an ejected one for a probe."""
        health = self._health_by_host.get(host)
        return health is None or not health.ejected or (now
                                                        >= health.next_probe_at)

    def record_attempt(self, host: str, now: float) -> None:
        """Records that an attempt was sent; to an ejected host, as a probe."""
        health = self._health_by_host.get(host)
        if health is not None and health.ejected:
            health.next_probe_at = now + health.ejection_s

    def record_result(self, host: str, *, succeeded: bool, now: float) -> None:
        """Records the result of an attempt that reached the upstream."""
        health = self._health_by_host.get(host)
        if health is None:
            return
        failed = 0.0 if succeeded else 1.0
        health.failure_rate += _SMOOTHING * (failed - health.failure_rate)
        self._mean_failure_rate += _SMOOTHING / 10 * (failed -
                                                      self._mean_failure_rate)
        if health.ejected and succeeded:
            self._restore(health)
        elif health.ejected:
            health.ejection_s = min(_MAX_EJECTION_S, health.ejection_s * 2)
            health.next_probe_at = now + health.ejection_s
        elif self._is_outlier(health) and self._may_eject_another():
            self._eject(health, now)

    def _is_outlier(self, health: _HostHealth) -> bool:
        return (health.failure_rate > _EJECTION_FAILURE_RATE and
                health.failure_rate > _PEER_FACTOR * self._mean_failure_rate)

    def _may_eject_another(self) -> bool:
        allowed = int(_MAX_EJECTED_SHARE * len(self._health_by_host))
        return self._ejected_count < allowed

    def _eject(self, health: _HostHealth, now: float) -> None:
        health.ejected = True
        health.ejection_s = _FIRST_EJECTION_S
        health.next_probe_at = now + health.ejection_s
        self._ejected_count += 1

    def _restore(self, health: _HostHealth) -> None:
        health.ejected = False
        health.failure_rate = 0.0
        self._ejected_count -= 1
