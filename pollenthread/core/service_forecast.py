"""When a server would answer a request, from its load and its passes.

Answers the load patterns "one group works much slower than the other" and
"all places are taken": work goes where it is expected to be answered soonest,
and what no server could begin in time is refused at once. Answers "more comes
than can be served": who would miss its aim in every queue is told when to come
back, so that those who come after it do not miss theirs.
"""

import dataclasses

__all__ = [
    'RequestRequirements', 'ServerEstimate', 'cannot_start_in_time', 'keeps_reserved_slots', 'misses_first_event_target',
    'penalty_s', 'cost_per_request_s', 'free_slots'
]

_USUAL_PASS_S = 0.06
_FIRST_PASSES = 2.0
# What one more request at a server costs where answers are short.
_SHORT_PLACE_S = 0.1
_LATE_PAUSES_S = 0.5
_TOO_LATE_S = 10.0
_HOPELESS_SHARE = 0.8


@dataclasses.dataclass(frozen=True, slots=True)
class RequestRequirements:
    """What a request asks of its server.

    Attributes:
        time_left_s: seconds until its answer is of no use.
        max_gap_s: the longest pause between events in time; 0 for none.
        passes: passes that its answer is expected to take; 0 if it is short.
        spare_share: the share of places that it leaves free for others.
        aim_left_s: seconds until its first event is late; 0 if it is late
            already or has no aim.
    """

    time_left_s: float
    max_gap_s: float = 0.0
    passes: float = 0.0
    reserved_share: float = 0.0
    target_left_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class ServerEstimate:
    """What is believed of a server.

    Attributes:
        load: requests at the server.
        slots: requests that it works on at once.
        pass_s: how long a pass lasts; 0 when unknown.
    """

    load: float
    slots: int
    pass_s: float

    def pass_or_default_s(self) -> float:
        """How long a pass lasts, as far as known."""
        return self.pass_s or _USUAL_PASS_S


def _wait_s(need: RequestRequirements, outlook: ServerEstimate) -> float:
    """Seconds until a place is free, if answers take as long as this one."""
    ahead = max(0.0, outlook.load - outlook.slots + 1)
    return ahead / outlook.slots * need.passes * outlook.pass_or_default_s()


def cost_per_request_s(need: RequestRequirements, outlook: ServerEstimate) -> float:
    """Seconds that each request ahead in a server's queue costs.

    The usual pass, not the server's own, so that loads of servers compare.
    """
    if not need.passes:
        return _SHORT_PLACE_S
    return need.passes * _USUAL_PASS_S / outlook.slots


def penalty_s(need: RequestRequirements, outlook: ServerEstimate) -> float:
    """Seconds that a server costs beside those of its load."""
    if not need.passes:
        return 0.0
    pass_s = outlook.pass_or_default_s()
    wait_s = _wait_s(need, outlook)
    usual_wait_s = wait_s * _USUAL_PASS_S / pass_s
    total = _FIRST_PASSES * pass_s + wait_s - usual_wait_s
    if need.max_gap_s and pass_s > need.max_gap_s:
        total += _LATE_PAUSES_S
    if wait_s + need.passes * pass_s > need.time_left_s:
        total += _TOO_LATE_S
    return total


def keeps_reserved_slots(need: RequestRequirements, outlook: ServerEstimate) -> bool:
    """Whether enough places stay free at the server."""
    if not need.reserved_share:
        return True
    return outlook.load + 1 <= outlook.slots * (1 - need.reserved_share)


def free_slots(outlook: ServerEstimate, reserved_share: float) -> float:
    """Requests that a server can take while a share of its places is spared."""
    return max(0.0, outlook.slots * (1 - reserved_share) - outlook.load)


def cannot_start_in_time(need: RequestRequirements, outlook: ServerEstimate) -> bool:
    """Whether the server is not expected to begin in time."""
    if not need.passes:
        return False
    begin_s = _wait_s(need, outlook) + outlook.pass_or_default_s()
    return begin_s > need.time_left_s * _HOPELESS_SHARE


def misses_first_event_target(need: RequestRequirements, outlook: ServerEstimate) -> bool:
    """Whether the wait for a place at the server would make an answer late."""
    if not need.target_left_s or not need.passes:
        return False
    wait_s = _wait_s(need, outlook)
    first_s = wait_s + _FIRST_PASSES * outlook.pass_or_default_s()
    return wait_s > 0 and first_s > need.target_left_s
