"""How long attempts take at an upstream, learned for each class of work."""

import dataclasses
from collections.abc import Hashable

__all__ = ['ServiceTime', 'ServiceTimes']

_SMOOTHING = 0.1
_MAX_CLASSES = 1024


@dataclasses.dataclass(slots=True)
class ServiceTime:
    """Smoothed times without the wait for a turn.

    Attributes:
        first_s: seconds to the first unit.
        hold_s: seconds to the end.
    """

    first_unit_s: float = 0.0
    duration_s: float = 0.0

    def record(self, first_s: float, hold_s: float) -> None:
        """Takes one finished attempt."""
        self.first_unit_s += _SMOOTHING * (first_s - self.first_unit_s)
        self.duration_s += _SMOOTHING * (hold_s - self.duration_s)


class ServiceTimes:
    """Service times by class; a new class begins with the overall ones."""

    def __init__(self, *, initial_duration_s: float = 0.0) -> None:
        self.overall = ServiceTime(0.0, initial_duration_s)
        self._by_class: dict[Hashable, ServiceTime] = {}

    def for_class(self, work_class: Hashable) -> ServiceTime:
        """What is known of a class."""
        return self._by_class.get(work_class, self.overall)

    def record(self, work_class: Hashable, first_s: float,
              hold_s: float) -> None:
        """Takes one finished attempt."""
        self.overall.record(first_s, hold_s)
        known = self._by_class.get(work_class)
        if known is None:
            if len(self._by_class) >= _MAX_CLASSES:
                self._by_class.clear()
            self._by_class[work_class] = ServiceTime(first_s, hold_s)
        else:
            known.record(first_s, hold_s)
