"""How many requests one entry host may send to the servers of a service now.

All hosts see the same free slots and cannot see each other's choices until the
next load reports. Each host therefore takes its share of the room, and counts
what it has sent itself within the time that the reports do not show yet.

More important requests need head-room: they arrive at random within that time,
and each has to find a slot. What they need is derived from their own arrivals,
so head-room that is not needed is lent to the others.
"""

import collections
import dataclasses
import math

from pollenthread.core import spreading
from pollenthread.core.admission import fleet_demand
from pollenthread.core.routing import room_forecast

__all__ = ['Room', 'SendAllowance', 'estimate_room', 'keeps_last_slots']

# The time until the next report, for which the head-room has to last.
_REPORT_INTERVAL_S = 0.3
_MAX_UNSEEN_S = 1.0
# Standard deviations of random arrivals that the head-room covers.
_ARRIVAL_DEVIATIONS = 2.0
# Share of the slots expected to be given up that is counted; some streams take
# longer than expected.
_COMPLETION_SHARE = 0.8
# Share of the slots given up that is left to each class, so that the last one
# is served while the others fill all room.
_FLOOR_SHARE = 0.1

# Arrivals of more important classes, relative to the slots that are given up,
# from which on the last free slot of each server is kept for them.
_MIN_AHEAD_SHARE = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Room:
    """The room at all servers of a service for one class of requests.

    Attributes:
        free_slots: the free slots, according to the reports.
        kept_slots: those of them that the class leaves to more important ones
            while there is too little room for all.
        queued: the requests in the queues of servers, which take the slots that
            are given up there.
        head_room: the slots that requests of more important classes need.
        own_need: the slots that further requests of the class itself need.
        completions: the slots that were given up since the reports.
        frees_per_s: slots that are given up in a second.
        ahead_per_s: the arrivals of more important classes per second.
        unseen_s: the time whose changes the reports do not show.
        own_share: the part of this host in the demand of the class.
        waiting: the requests of the class and of more important ones that wait
            at all hosts.
        own_waiting: those of the class alone.
    """

    free_slots: float
    kept_slots: float
    queued: float
    head_room: float
    own_need: float
    completions: float
    frees_per_s: float
    ahead_per_s: float
    unseen_s: float
    own_share: float
    waiting: float
    own_waiting: float

    @property
    def is_plentiful(self) -> bool:
        """Whether the free slots suffice for all requests of the class."""
        return (self.free_slots - self.queued - self.head_room -
                self.own_need) >= 1

    @property
    def slots(self) -> float:
        """The requests of the class that all hosts may send in `unseen_s`."""
        return max(
            self.completions * _FLOOR_SHARE, self.free_slots - self.queued +
            self.completions - self.head_room - self.kept_slots)

    @property
    def wait_s(self) -> float:
        """The expected seconds until all waiting ones of the class are sent.

        Infinite if the servers make no progress.
        """
        excess = (self.waiting + self.queued + self.kept_slots -
                  self.free_slots)
        if excess <= 0:
            return 0.0
        if self.frees_per_s <= 0:
            return math.inf
        floor_wait_s = self.own_waiting / (self.frees_per_s * _FLOOR_SHARE)
        spare_per_s = self.frees_per_s - self.ahead_per_s
        if spare_per_s <= 0:
            return floor_wait_s
        return min(floor_wait_s, excess / spare_per_s)


def keeps_last_slots(forecast: room_forecast.RoomForecast,
                     demand: fleet_demand.FleetDemand,
                     class_index: int) -> bool:
    """Returns whether a class leaves the last free slot of each server alone.

    Hosts cannot see each other's choices, so a more important request may be
    sent to a server whose last slot was just taken, and would have to wait
    there until another one is given up.

    Args:
        forecast: the room at the servers that this host knows.
        demand: the demand of all hosts.
        class_index: the class, in the order of the demand.
    """
    if not forecast.known_share:
        return False
    ahead_per_s = sum(demand.arrivals_per_s[:class_index])
    frees_per_s = forecast.frees_per_s / forecast.known_share
    # If those ahead take all slots that are given up, none is left to keep.
    return _MIN_AHEAD_SHARE * frees_per_s < ahead_per_s < frees_per_s


def estimate_room(forecast: room_forecast.RoomForecast,
                  demand: fleet_demand.FleetDemand, *, queued: float,
                  last_slots: float, class_index: int) -> Room:
    """Returns the room for one class of requests.

    Args:
        forecast: the room at the servers that this host knows.
        demand: the demand of all hosts.
        queued: the requests in the queues of these servers.
        last_slots: the servers that have a free slot; see `keeps_last_slots`.
        class_index: the class, in the order of the demand.
    """
    kept_slots = 0.0
    if keeps_last_slots(forecast, demand, class_index):
        kept_slots = min(last_slots, forecast.free_slots)
    unseen_s = min(_MAX_UNSEEN_S, forecast.age_s)
    blind_s = unseen_s + _REPORT_INTERVAL_S
    scale = 1.0 / forecast.known_share if forecast.known_share else 0.0
    ahead_per_s = sum(demand.arrivals_per_s[:class_index])
    needs = [
        _slots_for_arrivals(per_s * blind_s) + waiting for per_s, waiting in
        zip(demand.arrivals_per_s, demand.waiting, strict=True)
    ]
    frees_per_s = forecast.frees_per_s * scale
    return Room(free_slots=forecast.free_slots * scale,
                kept_slots=kept_slots * scale,
                queued=queued * scale,
                head_room=sum(needs[:class_index]),
                own_need=needs[class_index],
                completions=frees_per_s * unseen_s * _COMPLETION_SHARE,
                frees_per_s=frees_per_s,
                ahead_per_s=ahead_per_s,
                unseen_s=unseen_s,
                own_share=demand.own_share(class_index, blind_s),
                waiting=sum(demand.waiting[:class_index + 1]),
                own_waiting=demand.waiting[class_index])


def _slots_for_arrivals(expected: float) -> float:
    """Returns the slots that suffice for a number of random arrivals."""
    return expected + _ARRIVAL_DEVIATIONS * math.sqrt(expected)


class SendAllowance:
    """Counts what one host has sent of its share of the room."""

    def __init__(self, *, rng: spreading.RandomSource) -> None:
        self._rng = rng
        self._sent_at: collections.deque[float] = collections.deque()
        self._rounding = 0.0
        self._rounded_at = -math.inf

    def allows(self, room: Room, now: float) -> bool:
        """Returns whether the host may send one more request.

        Fractions are rounded at random, anew for each time that the reports do
        not show, so that the sum over many hosts, each with a share below one
        request, fits the room.
        """
        while self._sent_at and self._sent_at[0] <= now - room.unseen_s:
            self._sent_at.popleft()
        if self._rounded_at <= now - room.unseen_s:
            self._rounding = self._rng.random()
            self._rounded_at = now
        sent = len(self._sent_at)
        allowed = (room.slots + sent) * room.own_share
        return sent + 1 <= allowed + self._rounding

    def record_sent(self, now: float) -> None:
        """Records that the host sends a request."""
        self._sent_at.append(now)

    def cancel_last(self) -> None:
        """Withdraws the last record: its request was not sent after all."""
        if self._sent_at:
            self._sent_at.pop()
