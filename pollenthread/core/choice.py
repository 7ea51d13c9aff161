"""Which upstream takes an attempt."""

import abc
import dataclasses
from collections.abc import Callable, Sequence, Set
from typing import NamedTuple

from pollenthread.core import slots

__all__ = [
    'Candidate', 'Selection', 'AttemptRequirements', 'CandidateScore', 'UpstreamEstimate', 'is_worth_sending', 'select',
    'predict_latency_s', 'score'
]

_MAX_DRAWS = 8
_CHOICES = 2
_MAX_AFFINITY_SLACK = 0.3
_SPILL_OCCUPANCY = 1.0
_COMFORT = 0.5
_MIN_HOLD_S = 1e-3
_UNKNOWN = slots.UpstreamLoad(0, (0, 0, 0), 1, 0.0, 0.0, 0.0)


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamEstimate:
    """What an entry host knows of one upstream.

    Attributes:
        reading: the last report.
        load: attempts that are expected to run or wait there now.
        distance_s: round trip to its host.
    """

    reading: slots.UpstreamLoad = _UNKNOWN
    load: float = 0.0
    round_trip_s: float = 0.0

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
    def estimate(self) -> UpstreamEstimate:
        """What is known of it now."""

    @property
    @abc.abstractmethod
    def is_usable(self) -> bool:
        """Whether it takes new work."""


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptRequirements:
    """What an attempt asks for.

    Attributes:
        importance: the class's importance.
        left_s: seconds to the time by which the target wants it.
        answer_s: service time of the whole answer where that has the target;
            zero where the first unit has it.
        avoid: hosts that have failed this request already.
    """

    importance: int
    time_left_s: float = float('inf')
    whole_response_s: float = 0.0
    avoided_hosts: Set[str] = frozenset()


class CandidateScore(NamedTuple):
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
class Selection:
    """The upstream for an attempt.

    Attributes:
        host: its name.
        predicted_s: expected seconds to the first unit or the answer.
        has_room: whether the attempt is expected to begin at once.
    """

    host: str
    predicted_s: float
    has_free_slot: bool


def predict_latency_s(view: UpstreamEstimate, demand: AttemptRequirements) -> float:
    """Seconds to the first unit, or to the whole answer, on an upstream."""
    reading = view.reading
    if not reading.limit:
        return float('inf')
    pace_s = max(reading.duration_s, _MIN_HOLD_S) / reading.limit
    behind = sum(reading.queued[:demand.importance])
    ahead = max(0.0, view.load + 1 - reading.limit - behind)
    service_s = demand.whole_response_s or reading.first_unit_s
    return ahead * pace_s + service_s + view.round_trip_s


def select(tiers: Sequence[Sequence[Candidate]],
           requirements: AttemptRequirements,
           *,
           random_unit: Callable[[], float],
           preferred: Candidate | None = None) -> Selection | None:
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
    best: CandidateScore | None = None
    for tier in tiers:
        ranked = [score(c, requirements) for c in _draw(tier, requirements, random_unit)]
        best = min(ranked if best is None else [best, *ranked], default=None)
        if best is not None and best.occupancy < _SPILL_OCCUPANCY:
            break
    if best is None:
        return None
    if preferred is not None and _may_take(preferred, requirements):
        wanted = score(preferred, requirements)
        slack = _affinity_slack(preferred.estimate.reading)
        if wanted.occupancy <= min(1.0, best.occupancy + slack):
            best = wanted
    return Selection(best.host, best.predicted_s, best.occupancy < 1.0)


def score(candidate: Candidate, demand: AttemptRequirements) -> CandidateScore:
    """Judges one candidate."""
    view = candidate.estimate
    predicted_s = predict_latency_s(view, demand)
    overrun_s = max(0.0, predicted_s - _COMFORT * demand.time_left_s)
    return CandidateScore(overrun_s, view.occupancy, predicted_s, candidate.host)


def _affinity_slack(reading: slots.UpstreamLoad) -> float:
    """How much fuller the preferred one may be: what prefill is of the work."""
    if not reading.duration_s:
        return 0.0
    return min(_MAX_AFFINITY_SLACK, reading.first_unit_s / reading.duration_s)


def _may_take(candidate: Candidate, demand: AttemptRequirements) -> bool:
    return candidate.is_usable and candidate.host not in demand.avoided_hosts


def is_worth_sending(selection: Selection, time_left_s: float) -> bool:
    """Whether an attempt is worth handing over.

    Where there is room it always is: service times are learned from what is
    tried.
    """
    return selection.has_free_slot or selection.predicted_s <= time_left_s


def _draw(tier: Sequence[Candidate], demand: AttemptRequirements,
          draw: Callable[[], float]) -> list[Candidate]:
    found: list[Candidate] = []
    avoided: list[Candidate] = []
    for _ in range(min(_MAX_DRAWS, 2 * len(tier))):
        candidate = tier[int(draw() * len(tier))]
        if not candidate.is_usable or candidate in found:
            continue
        if candidate.host in demand.avoided_hosts:
            avoided.append(candidate)
            continue
        found.append(candidate)
        if len(found) == _CHOICES:
            break
    return found or avoided[:1] or _scan(tier, demand, draw)


def _scan(tier: Sequence[Candidate], demand: AttemptRequirements,
          draw: Callable[[], float]) -> list[Candidate]:
    """Looks at a whole tier of which each draw met an unusable candidate."""
    start = int(draw() * len(tier))
    usable = [c for c in (*tier[start:], *tier[:start]) if c.is_usable]
    fresh = [c for c in usable if c.host not in demand.avoided_hosts]
    return (fresh or usable)[:1]
