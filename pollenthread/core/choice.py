"""Which upstream takes an attempt."""

import dataclasses
from collections.abc import Sequence, Set

__all__ = ['UpstreamView', 'choose']


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamView:
    """What an entry host knows of one upstream.

    Attributes:
        host: the upstream host's name.
        reported: attempts running and queued at the last load report.
        sent_since: attempts sent since that report.
    """

    host: str
    reported: int
    sent_since: int

    @property
    def expected_load(self) -> int:
        """The late report, corrected by what was sent since."""
        return self.reported + self.sent_since


def choose(candidates: Sequence[UpstreamView], *, avoid: Set[str],
           draws: tuple[float, float]) -> UpstreamView | None:
    """Takes the less loaded of two drawn candidates.

    Args:
        candidates: upstreams that can serve the request.
        avoid: hosts that have failed this request already; they are used only
            when there is no other.
        draws: two numbers from [0, 1).
    """
    fresh = [view for view in candidates if view.host not in avoid]
    views = fresh or candidates
    if not views:
        return None
    first = views[int(draws[0] * len(views))]
    second = views[int(draws[1] * len(views))]
    if second.expected_load < first.expected_load:
        return second
    return first
