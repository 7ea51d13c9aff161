"""The demand of all entry hosts for each service, as known to one of them.

Demand is counted by class: one for each level of importance, and a last one for
requests that are late in any case.

A host knows its own demand and that in the heartbeats that it hears. Hosts that
it does not hear are assumed to have the mean demand of the known ones; without
any heartbeat, its own.
"""

import dataclasses
from collections.abc import Callable, Iterable, Mapping, Sequence

from pollenthread.core import peer_messages, spreading

__all__ = ['DemandTracker', 'FleetDemand']

# A host is taken as silent after as long.
_DEMAND_TTL_S = 1.3
# Bounds the size of a heartbeat.
_MAX_SERVICES = 8
_MAX_COUNT = 65_535


@dataclasses.dataclass(frozen=True, slots=True)
class FleetDemand:
    """The demand of all entry hosts for one service, by class.

    Attributes:
        hosts: the number of entry hosts.
        waiting: the requests that wait at all hosts.
        arrivals_per_s: the arrivals at all hosts per second.
        own_waiting: the requests that wait at this host.
        own_arrivals_per_s: the arrivals at this host per second.
        age_s: the mean age of what is known of other hosts, in seconds; 0 if
            nothing is.
    """

    hosts: int
    waiting: tuple[float, ...]
    arrivals_per_s: tuple[float, ...]
    own_waiting: tuple[int, ...]
    own_arrivals_per_s: tuple[float, ...]
    age_s: float = 0.0

    def own_share(self, class_index: int, interval_s: float) -> float:
        """Returns the part of this host in the demand of a class.

        Args:
            class_index: the class.
            interval_s: the time whose arrivals are counted.
        """
        own = (self.own_waiting[class_index] +
               self.own_arrivals_per_s[class_index] * interval_s)
        total = (self.waiting[class_index] +
                 self.arrivals_per_s[class_index] * interval_s)
        return min(1.0, own / total) if total > 0 else 1.0 / self.hosts


@dataclasses.dataclass(slots=True)
class _HeardDemand:
    """The demand at another host, and when it was heard."""

    demand_by_service: Mapping[str, peer_messages.ServiceDemand]
    heard_at: float


WaitingCounter = Callable[[int, float], tuple[int, ...]]
"""Counts waiting requests by class, for a number of classes and a time."""


class DemandTracker:
    """Tracks the demand at this host and at those whose heartbeats it hears."""

    def __init__(self) -> None:
        self._rates_by_service: dict[str, dict[int, spreading.ArrivalRate]] = {}
        self._waiting_by_service: dict[str, WaitingCounter] = {}
        self._classes_by_service: dict[str, int] = {}
        self._heard_by_host: dict[str, _HeardDemand] = {}

    def record_arrival(self, service: str, class_index: int,
                       now: float) -> None:
        """Records the arrival of a request at this host."""
        rates = self._rates_by_service.setdefault(service, {})
        rates.setdefault(class_index,
                         spreading.ArrivalRate()).record_request(now)

    def set_waiting_source(self, service: str, count: WaitingCounter) -> None:
        """Sets the function that counts the requests of a service that wait.

        Args:
            service: the name of the service.
            count: counts them by class.
        """
        self._waiting_by_service[service] = count

    def record_heartbeat(self, heartbeat: peer_messages.EntryBeat,
                         now: float) -> None:
        """Records the demand at another host."""
        if heartbeat.is_leaving:
            self._heard_by_host.pop(heartbeat.host, None)
            return
        self._heard_by_host[heartbeat.host] = _HeardDemand(
            {demand.service: demand for demand in heartbeat.demand}, now)

    def own_demand(self, now: float) -> tuple[peer_messages.ServiceDemand, ...]:
        """Returns the demand at this host, for its heartbeat."""
        demands = []
        for service in self._rates_by_service:
            classes = self._classes_by_service.get(service, 1)
            waiting = self._own_waiting(service, classes, now)
            arrivals = self._own_arrivals(service, classes, now)
            if any(waiting) or any(arrivals):
                demands.append(
                    peer_messages.ServiceDemand(
                        service, tuple(min(_MAX_COUNT, n) for n in waiting),
                        arrivals))
        demands.sort(key=lambda d: -sum(d.arrivals_per_s))
        return tuple(demands[:_MAX_SERVICES])

    def of_fleet(self, service: str, *, classes: int, hosts: int,
                 now: float) -> FleetDemand:
        """Returns the demand of all hosts for a service.

        Args:
            service: the name of the service.
            classes: the number of its classes.
            hosts: the number of entry hosts, including this one.
            now: monotonic seconds.
        """
        self._forget_silent(now)
        heard = list(self._heard_by_host.values())
        self._classes_by_service[service] = classes
        own_waiting = self._own_waiting(service, classes, now)
        own_arrivals = self._own_arrivals(service, classes, now)
        demands = [
            h.demand_by_service[service]
            for h in heard
            if service in h.demand_by_service
        ]
        hosts = max(hosts, 1 + len(heard))
        factor = hosts / (1 + len(heard))
        return FleetDemand(
            hosts=hosts,
            waiting=_scaled_sum([own_waiting, *(d.waiting for d in demands)],
                                classes, factor),
            arrivals_per_s=_scaled_sum(
                [own_arrivals, *(d.arrivals_per_s for d in demands)], classes,
                factor),
            own_waiting=own_waiting,
            own_arrivals_per_s=own_arrivals,
            age_s=(sum(now - h.heard_at for h in heard) /
                   len(heard) if heard else 0.0))

    def _forget_silent(self, now: float) -> None:
        for host, heard in list(self._heard_by_host.items()):
            if now - heard.heard_at > _DEMAND_TTL_S:
                del self._heard_by_host[host]

    def _own_waiting(self, service: str, classes: int,
                     now: float) -> tuple[int, ...]:
        count = self._waiting_by_service.get(service)
        return count(classes, now) if count is not None else (0,) * classes

    def _own_arrivals(self, service: str, classes: int,
                      now: float) -> tuple[float, ...]:
        rates = self._rates_by_service.get(service, {})
        return tuple(rates[index].per_s(now) if index in rates else 0.0
                     for index in range(classes))


def _scaled_sum(parts: Iterable[Sequence[float]], classes: int,
                factor: float) -> tuple[float, ...]:
    """Adds up sequences of different lengths; the last class takes the rest."""
    total = [0.0] * classes
    for part in parts:
        for index, value in enumerate(part):
            total[min(index, classes - 1)] += value * factor
    return tuple(total)
