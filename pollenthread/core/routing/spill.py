"""How much of the work of a data centre is moved to others.

Work stays in its data centre while that serves it in time. Every host derives
the same moves from the room and the demand of all data centres; there is no
coordinator. A data centre that moves work away accepts none, so no two send to
each other, and nothing is moved twice.

Only demand beyond all slots is planned to move; random arrivals that find no
free slot for a moment are moved one by one. Receivers keep one deviation of
random arrivals free for their own callers. The room between is a band in which
nothing moves: late news, and waves that are out of step, do not send work back
and forth.
"""

import dataclasses
import math
from collections.abc import Mapping, Sequence

__all__ = ['DataCentreRoom', 'SpillPlan', 'SpillShares', 'plan_moves']

# Standard deviations of random arrivals for which receivers keep slots.
_RECEIVER_DEVIATIONS = 0.5
# A change of the moved share that is not worth following.
_DEAD_BAND = 0.03
# Part of a change that is made in one update.
_UPDATE_WEIGHT = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class SpillPlan:
    """What one data centre moves, and where it moves nothing.

    Attributes:
        share_by_data_centre: the share of its requests that goes to others; the
            rest stays.
        full_data_centres: those that move work away themselves.
        is_receiver: whether others move work to this one.
    """

    share_by_data_centre: Mapping[str, float] = dataclasses.field(
        default_factory=dict)
    full_data_centres: frozenset[str] = frozenset()
    is_receiver: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class DataCentreRoom:
    """The room and the demand of one data centre for a service.

    Attributes:
        data_centre: its name.
        slots: requests that its servers can run at once in time.
        demand: requests of its own callers that would run at once, wherever
            they are served.
    """

    data_centre: str
    slots: float
    demand: float

    @property
    def surplus(self) -> float:
        """Demand, in slots, that has no slot here."""
        return max(0.0, self.demand - self.slots)

    @property
    def spare(self) -> float:
        """Slots for the demand of other data centres."""
        kept = _RECEIVER_DEVIATIONS * math.sqrt(self.slots)
        return max(0.0, self.slots - kept - self.demand)


def plan_moves(rooms: Sequence[DataCentreRoom]) -> dict[str, dict[str, float]]:
    """Returns the share of its demand that each data centre moves to others.

    All that has no room where it arrives is moved, as far as there is room
    elsewhere. Receivers fill evenly, relative to what they can take.

    Args:
        rooms: the data centres that can serve each other's callers.

    Returns:
        The shares by sender and receiver. Data centres that move nothing are
        missing.
    """
    surplus = sum(room.surplus for room in rooms)
    spare = sum(room.spare for room in rooms)
    if not surplus or not spare:
        return {}
    moved_part = min(1.0, spare / surplus)
    return {
        sender.data_centre: {
            receiver.data_centre:
                sender.surplus / sender.demand * moved_part * receiver.spare /
                spare for receiver in rooms if receiver.spare
        } for sender in rooms if sender.surplus
    }


class SpillShares:
    """The shares that one data centre moves, smoothed over time."""

    def __init__(self) -> None:
        self._share_by_data_centre: dict[str, float] = {}

    @property
    def share_by_data_centre(self) -> Mapping[str, float]:
        """The moved shares by receiver."""
        return self._share_by_data_centre

    def update(self, planned: Mapping[str, float]) -> bool:
        """Approaches the planned shares.

        Args:
            planned: the shares by receiver.

        Returns:
            Whether they have changed.
        """
        shares = {}
        for data_centre in planned.keys() | self._share_by_data_centre.keys():
            share = self._approach(
                self._share_by_data_centre.get(data_centre, 0.0),
                planned.get(data_centre, 0.0))
            if share:
                shares[data_centre] = share
        has_changed = shares != self._share_by_data_centre
        self._share_by_data_centre = shares
        return has_changed

    def _approach(self, share: float, planned: float) -> float:
        if abs(planned - share) < _DEAD_BAND:
            return share if planned else 0.0
        return share + _UPDATE_WEIGHT * (planned - share)
