"""Selects the upstream that an attempt is sent to.

Selection uses the power of two random choices on the expected latency, and
falls back to upstreams farther away when the nearer ones are full.
"""

import abc
import dataclasses
from collections.abc import Callable, Sequence, Set
from typing import NamedTuple

from pollenthread.core import admission_control

__all__ = [
    'Candidate', 'Selection', 'AttemptRequirements', 'CandidateScore',
    'UpstreamEstimate', 'is_worth_sending', 'select', 'predict_latency_s',
    'score'
]

_MAX_SAMPLES = 8
_SAMPLE_SIZE = 2
_MAX_AFFINITY_SLACK = 0.3
_FULL_OCCUPANCY = 1.0
_TARGET_SHARE = 0.5
_MIN_DURATION_S = 1e-3
_UNKNOWN_LOAD = admission_control.UpstreamLoad(0, (0, 0, 0), 1, 0.0, 0.0, 0.0)


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamEstimate:
    """The estimated state of one upstream, as seen by an entry host.

    Attributes:
        reported: the load that the upstream last reported.
        load: attempts expected to run or wait at the upstream now.
        round_trip_s: network round-trip time to its host, in seconds.
    """

    reported: admission_control.UpstreamLoad = _UNKNOWN_LOAD
    load: float = 0.0
    round_trip_s: float = 0.0

    @property
    def occupancy(self) -> float:
        """Load divided by the limit; infinite for a stalled upstream."""
        limit = self.reported.limit
        return self.load / limit if limit else float('inf')


class Candidate(abc.ABC):
    """An upstream that an attempt could be sent to."""

    @property
    @abc.abstractmethod
    def host(self) -> str:
        """The name of the host that the upstream runs on."""

    @property
    @abc.abstractmethod
    def estimate(self) -> UpstreamEstimate:
        """The current estimate of the upstream's state."""

    @property
    @abc.abstractmethod
    def is_usable(self) -> bool:
        """Whether the upstream accepts new attempts."""


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptRequirements:
    """The requirements of an attempt.

    Attributes:
        importance: the importance of its class of work, 0 to 2.
        time_left_s: seconds until the latency target is missed.
        whole_response_s: expected service time of the whole response if the
            latency target applies to it; zero if the target applies to the
            first unit.
        avoided_hosts: hosts at which this request has already failed.
    """

    importance: int
    time_left_s: float = float('inf')
    whole_response_s: float = 0.0
    avoided_hosts: Set[str] = frozenset()


class CandidateScore(NamedTuple):
    """The score of a candidate; scores compare as tuples, lowest is best.

    Attributes:
        overrun_s: expected seconds beyond `_TARGET_SHARE` of the time left.
        occupancy: load divided by the limit.
        predicted_s: expected seconds to the first unit or the whole response.
        host: the host's name.
    """

    overrun_s: float
    occupancy: float
    predicted_s: float
    host: str


@dataclasses.dataclass(frozen=True, slots=True)
class Selection:
    """The upstream selected for an attempt.

    Attributes:
        host: the host's name.
        predicted_s: expected seconds to the first unit or the whole response.
        has_free_slot: whether the attempt is expected to start immediately.
    """

    host: str
    predicted_s: float
    has_free_slot: bool


def predict_latency_s(estimate: UpstreamEstimate,
                      requirements: AttemptRequirements) -> float:
    """Predicts the latency of an attempt at an upstream.

    Returns:
        Seconds to the first unit, or to the whole response if
        `requirements.whole_response_s` is set; infinite for a stalled
        upstream.
    """
    reported = estimate.reported
    if not reported.limit:
        return float('inf')
    slot_interval_s = max(reported.duration_s, _MIN_DURATION_S) / reported.limit
    behind = sum(reported.queued[:requirements.importance])
    ahead = max(0.0, estimate.load + 1 - reported.limit - behind)
    service_s = requirements.whole_response_s or reported.first_unit_s
    return ahead * slot_interval_s + service_s + estimate.round_trip_s


def select(tiers: Sequence[Sequence[Candidate]],
           requirements: AttemptRequirements,
           *,
           random_unit: Callable[[], float],
           preferred: Candidate | None = None) -> Selection | None:
    """Selects the better of two random candidates of the nearest free tier.

    The cost does not depend on the number of candidates, unless most of them
    are unusable.

    Args:
        tiers: candidates ordered from near to far; each tier includes the
            candidates of the nearer tiers.
        requirements: the requirements of the attempt.
        random_unit: returns random numbers in [0, 1).
        preferred: the candidate whose cache may hold the prompt's prefix. It
            is selected unless its occupancy exceeds that of the best sampled
            candidate by too much, so that a popular prefix does not overload
            it.

    Returns:
        The selected upstream, or None if no candidate is usable.
    """
    best: CandidateScore | None = None
    for tier in tiers:
        scores = [
            score(c, requirements)
            for c in _sample(tier, requirements, random_unit)
        ]
        best = min(scores if best is None else [best, *scores], default=None)
        if best is not None and best.occupancy < _FULL_OCCUPANCY:
            break
    if best is None:
        return None
    if preferred is not None and _is_eligible(preferred, requirements):
        preferred_score = score(preferred, requirements)
        slack = _affinity_slack(preferred.estimate.reported)
        if preferred_score.occupancy <= min(1.0, best.occupancy + slack):
            best = preferred_score
    return Selection(best.host, best.predicted_s, best.occupancy < 1.0)


def score(candidate: Candidate,
          requirements: AttemptRequirements) -> CandidateScore:
    """Returns the score of one candidate."""
    estimate = candidate.estimate
    predicted_s = predict_latency_s(estimate, requirements)
    overrun_s = max(0.0, predicted_s - _TARGET_SHARE * requirements.time_left_s)
    return CandidateScore(overrun_s, estimate.occupancy, predicted_s,
                          candidate.host)


def _affinity_slack(reported: admission_control.UpstreamLoad) -> float:
    """Returns the extra occupancy allowed for the preferred candidate.

    A cached prefix saves prefill time, so the allowance is the share of
    prefill in the duration of an attempt, up to `_MAX_AFFINITY_SLACK`.
    """
    if not reported.duration_s:
        return 0.0
    return min(_MAX_AFFINITY_SLACK, reported.first_unit_s / reported.duration_s)


def _is_eligible(candidate: Candidate,
                 requirements: AttemptRequirements) -> bool:
    return (candidate.is_usable and
            candidate.host not in requirements.avoided_hosts)


def is_worth_sending(selection: Selection, time_left_s: float) -> bool:
    """Returns whether to send an attempt to the selected upstream.

    An attempt that finds a free slot is always sent, since service times are
    measured on the attempts that are sent.

    Args:
        selection: the selected upstream.
        time_left_s: seconds until the latency target is missed.
    """
    return selection.has_free_slot or selection.predicted_s <= time_left_s


def _sample(tier: Sequence[Candidate], requirements: AttemptRequirements,
            random_unit: Callable[[], float]) -> list[Candidate]:
    found: list[Candidate] = []
    avoided: list[Candidate] = []
    for _ in range(min(_MAX_SAMPLES, 2 * len(tier))):
        candidate = tier[int(random_unit() * len(tier))]
        if not candidate.is_usable or candidate in found:
            continue
        if candidate.host in requirements.avoided_hosts:
            avoided.append(candidate)
            continue
        found.append(candidate)
        if len(found) == _SAMPLE_SIZE:
            break
    return found or avoided[:1] or _find_usable(tier, requirements, random_unit)


def _find_usable(tier: Sequence[Candidate], requirements: AttemptRequirements,
                 random_unit: Callable[[], float]) -> list[Candidate]:
    """Searches a whole tier after sampling found no usable candidate."""
    start = int(random_unit() * len(tier))
    usable = [c for c in (*tier[start:], *tier[:start]) if c.is_usable]
    not_avoided = [
        c for c in usable if c.host not in requirements.avoided_hosts
    ]
    return (not_avoided or usable)[:1]
