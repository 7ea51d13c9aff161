"""Moving averages of service times at an upstream, by class of work."""

import dataclasses
from collections.abc import Hashable

__all__ = ['ServiceTime', 'ServiceTimes']

_SMOOTHING = 0.1
_MAX_CLASSES = 1024


@dataclasses.dataclass(slots=True)
class ServiceTime:
    """Exponential moving averages of service times, without queueing.

    Attributes:
        first_unit_s: seconds from the start to the first unit.
        duration_s: seconds from the start to the end.
    """

    first_unit_s: float = 0.0
    duration_s: float = 0.0

    def record(self, first_unit_s: float, duration_s: float) -> None:
        """Records the times of one finished attempt, in seconds."""
        self.first_unit_s += _SMOOTHING * (first_unit_s - self.first_unit_s)
        self.duration_s += _SMOOTHING * (duration_s - self.duration_s)


class ServiceTimes:
    """Service times by class of work.

    Attributes:
        overall: the averages over all classes; used for unknown classes.
    """

    def __init__(self, *, initial_duration_s: float = 0.0) -> None:
        self.overall = ServiceTime(0.0, initial_duration_s)
        self._by_class: dict[Hashable, ServiceTime] = {}

    def for_class(self, work_class: Hashable) -> ServiceTime:
        """Returns the averages of a class, or the overall ones if unknown."""
        return self._by_class.get(work_class, self.overall)

    def record(self, work_class: Hashable, first_unit_s: float,
               duration_s: float) -> None:
        """Records the times of one finished attempt, in seconds."""
        self.overall.record(first_unit_s, duration_s)
        service_time = self._by_class.get(work_class)
        if service_time is None:
            if len(self._by_class) >= _MAX_CLASSES:
                self._by_class.clear()
            self._by_class[work_class] = ServiceTime(first_unit_s, duration_s)
        else:
            service_time.record(first_unit_s, duration_s)
