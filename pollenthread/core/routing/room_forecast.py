"""The room of a service for further requests, now and in the next moments."""

import dataclasses
import math
from collections.abc import Sequence

__all__ = ['RoomForecast', 'ServerRoom', 'add_rooms']


@dataclasses.dataclass(frozen=True, slots=True)
class RoomForecast:
    """The room of some servers of one service, as known to one entry host.

    Attributes:
        slots: requests that the servers can process at once without delaying
            the events of streams beyond what their callers accept.
        free_slots: those of the slots that no request uses or waits for.
        frees_per_s: slots that running requests give up in a second; 0 while
            the servers make no progress.
        known_share: the share of the service's servers that the figures are
            about.
        age_s: the mean age of the reports that they come from, in seconds;
            infinite if there is none.
    """

    slots: float
    free_slots: float
    frees_per_s: float
    known_share: float
    age_s: float

    @property
    def total_free_slots(self) -> float:
        """The free slots of all servers, if the known ones are typical."""
        return self.free_slots / self.known_share if self.known_share else 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class ServerRoom:
    """The room of one server whose load is known.

    Attributes:
        slots: requests that it should run at most.
        load: estimated number of requests at it.
        frees_per_s: slots that its running requests give up in a second.
        is_available: whether it accepts requests and makes progress.
        age_s: the age of its report in seconds.
    """

    slots: float
    load: float
    frees_per_s: float
    is_available: bool
    age_s: float

    @property
    def free_slots(self) -> float:
        """Slots that no request uses or waits for."""
        return max(0.0, self.slots - self.load) if self.is_available else 0.0


def add_rooms(rooms: Sequence[ServerRoom], server_count: int) -> RoomForecast:
    """Returns the room of all servers whose load is known.

    Args:
        rooms: the room of each of them.
        server_count: the number of servers, known or not.
    """
    if not rooms:
        return RoomForecast(slots=0.0,
                            free_slots=0.0,
                            frees_per_s=0.0,
                            known_share=0.0,
                            age_s=math.inf)
    return RoomForecast(
        slots=sum(room.slots for room in rooms),
        free_slots=sum(room.free_slots for room in rooms),
        frees_per_s=sum(
            room.frees_per_s for room in rooms if room.is_available),
        known_share=len(rooms) / server_count,
        age_s=sum(room.age_s for room in rooms) / len(rooms))
