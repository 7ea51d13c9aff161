"""The room of a service for further requests, now and in the next moments."""

import dataclasses

__all__ = ['RoomForecast']


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
        age_s: the mean age of the reports that they come from, in seconds.
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
