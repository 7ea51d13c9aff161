"""Which upstream takes an attempt."""

import abc
import dataclasses
from collections.abc import Callable, Sequence, Set
from typing import NamedTuple

from pollenthread.core import slots

__all__ = [
    'Candidate', 'Chosen', 'Demand', 'Ranked', 'View', 'admits', 'choose',
    'predict', 'rank'
]

_MAX_DRAWS = 8
_CHOICES = 2
_MAX_AFFINITY_SLACK = 0.3
_SPILL_OCCUPANCY = 1.0
_COMFORT = 0.5
_MIN_HOLD_S = 1e-3
_UNKNOWN = slots.Reading(0, (0, 0, 0), 1, 0.0, 0.0, 0.0)


@dataclasses.dataclass(frozen=True, slots=True)
class View:
    """What an entry host knows of one upstream.

    Attributes:
        reading: the last report.
        load: attempts that are expected to run or wait there now.
        distance_s: round trip to its host.
    """

    reading: slots.Reading = _UNKNOWN
    load: float = 0.0
    distance_s: float = 0.0

    @property
    def occupancy(self) -> float:
        """Load as a share of the limit; infinite for a stalled upstream."""
        limit = self.reading.limit
        return self.load / limit if limit else float('inf')


class Candidate(abc.ABC):
    """An upstream that may be drawn."""

    @property
    @abc.abstractmethod
    def host(self) -> str:
        """The name of its host."""

    @property
    @abc.abstractmethod
    def view(self) -> View:
        """What is known of it now."""

    @property
    @abc.abstractmethod
    def is_usable(self) -> bool:
        """Whether it takes new work."""


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """What an attempt asks for.

    Attributes:
        importance: the class's importance.
        left_s: seconds to the time by which the target wants it.
        answer_s: service time of the whole answer where that has the target;
            zero where the first unit has it.
        avoid: hosts that have failed this request already.
    """

    importance: int
    left_s: float = float('inf')
    answer_s: float = 0.0
    avoid: Set[str] = frozenset()


class Ranked(NamedTuple):
    """How good a candidate is; the least is the best.

    Attributes:
        overrun_s: expected seconds beyond the comfortable part of the target.
        occupancy: load as a share of the limit.
        predicted_s: expected seconds to the first unit or the answer.
        host: its name.
    """

    overrun_s: float
    occupancy: float
    predicted_s: float
    host: str


@dataclasses.dataclass(frozen=True, slots=True)
class Chosen:
    """The upstream for an attempt.

    Attributes:
        host: its name.
        predicted_s: expected seconds to the first unit or the answer.
        has_room: whether the attempt is expected to begin at once.
    """

    host: str
    predicted_s: float
    has_room: bool


def predict(view: View, demand: Demand) -> float:
    """Seconds to the first unit, or to the whole answer, on an upstream."""
    reading = view.reading
    if not reading.limit:
        return float('inf')
    pace_s = max(reading.hold_s, _MIN_HOLD_S) / reading.limit
    behind = sum(reading.queued[:demand.importance])
    ahead = max(0.0, view.load + 1 - reading.limit - behind)
    service_s = demand.answer_s or reading.first_s
    return ahead * pace_s + service_s + view.distance_s


def choose(tiers: Sequence[Sequence[Candidate]],
           demand: Demand,
           *,
           draw: Callable[[], float],
           preferred: Candidate | None = None) -> Chosen | None:
    """Takes the better of two drawn candidates of the nearest tier with room.

    The cost does not depend on the number of candidates, unless most of them
    are unusable.

    Args:
        tiers: candidates from near to far; each tier holds the nearer ones.
        demand: what the attempt asks for.
        draw: gives numbers from [0, 1).
        preferred: the candidate whose cache may hold the prompt's prefix. It
            is taken while it is little fuller than the drawn ones, so that a
            popular prefix cannot pile up on it.
    """
    best: Ranked | None = None
    for tier in tiers:
        ranked = [rank(c, demand) for c in _draw(tier, demand, draw)]
        best = min(ranked if best is None else [best, *ranked], default=None)
        if best is not None and best.occupancy < _SPILL_OCCUPANCY:
            break
    if best is None:
        return None
    if preferred is not None and _may_take(preferred, demand):
        wanted = rank(preferred, demand)
        slack = _affinity_slack(preferred.view.reading)
        if wanted.occupancy <= min(1.0, best.occupancy + slack):
            best = wanted
    return Chosen(best.host, best.predicted_s, best.occupancy < 1.0)


def rank(candidate: Candidate, demand: Demand) -> Ranked:
    """Judges one candidate."""
    view = candidate.view
    predicted_s = predict(view, demand)
    overrun_s = max(0.0, predicted_s - _COMFORT * demand.left_s)
    return Ranked(overrun_s, view.occupancy, predicted_s, candidate.host)


def _affinity_slack(reading: slots.Reading) -> float:
    """How much fuller the preferred one may be: what prefill is of the work."""
    if not reading.hold_s:
        return 0.0
    return min(_MAX_AFFINITY_SLACK, reading.first_s / reading.hold_s)


def _may_take(candidate: Candidate, demand: Demand) -> bool:
    return candidate.is_usable and candidate.host not in demand.avoid


def admits(chosen: Chosen, left_s: float) -> bool:
    """Whether an attempt is worth handing over.

    Where there is room it always is: service times are learned from what is
    tried.
    """
    return chosen.has_room or chosen.predicted_s <= left_s


def _draw(tier: Sequence[Candidate], demand: Demand,
          draw: Callable[[], float]) -> list[Candidate]:
    found: list[Candidate] = []
    avoided: list[Candidate] = []
    for _ in range(min(_MAX_DRAWS, 2 * len(tier))):
        candidate = tier[int(draw() * len(tier))]
        if not candidate.is_usable or candidate in found:
            continue
        if candidate.host in demand.avoid:
            avoided.append(candidate)
            continue
        found.append(candidate)
        if len(found) == _CHOICES:
            break
    return found or avoided[:1] or _scan(tier, demand, draw)


def _scan(tier: Sequence[Candidate], demand: Demand,
          draw: Callable[[], float]) -> list[Candidate]:
    """Looks at a whole tier of which each draw met an unusable candidate."""
    start = int(draw() * len(tier))
    usable = [c for c in (*tier[start:], *tier[:start]) if c.is_usable]
    fresh = [c for c in usable if c.host not in demand.avoid]
    return (fresh or usable)[:1]
