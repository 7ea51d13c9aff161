"""Estimates when a server would respond to a request.

The estimate uses the server's load and the duration of a forward pass. It
handles these load patterns:

* One group is much slower than the others, or all slots are in use: a request
  goes to the server that is expected to respond first, and is rejected at once
  if no server can start it in time.
* More requests arrive than can be served: a request that would miss its target
  for the first event in every queue is rejected with a retry delay, so that
  later requests do not miss theirs.
* Passes take several times as long, because one rank of the group is slow: a
  response that would not be complete in time is rejected at once, so that the
  slots serve shorter ones.
"""

import dataclasses

__all__ = [
    'RequestRequirements', 'ServerEstimate', 'cannot_start_in_time',
    'keeps_gap', 'keeps_reserved_slots', 'misses_first_event_target',
    'penalty_s', 'cannot_end_in_time', 'cost_per_request_s', 'free_slots'
]

_DEFAULT_PASS_S = 0.06
_PASSES_TO_FIRST_EVENT = 2.0
# Cost of each request at a server whose responses are short.
_SHORT_REQUEST_COST_S = 0.1
_EVENT_GAP_PENALTY_S = 0.5
_TIMEOUT_PENALTY_S = 10.0
_START_TIME_SHARE = 0.8


@dataclasses.dataclass(frozen=True, slots=True)
class RequestRequirements:
    """The requirements of a request on its server.

    Attributes:
        time_left_s: seconds until the request times out.
        max_gap_s: longest allowed time between events, in seconds; 0 if
            unlimited.
        passes: passes that the response is expected to take; 0 if it is short.
        low_passes: passes that it takes more than, most likely.
        others_passes: passes that other responses take on average; as many as
            this one if 0.
        prompt_s: seconds that reading its prompt takes.
        kv_tokens: tokens that it needs in the server's key-value cache.
        reserved_share: share of the slots that the request must leave free for
            other requests.
        target_left_s: seconds until the first event is late; 0 if it is late
            already or has no target.
    """

    time_left_s: float
    max_gap_s: float = 0.0
    passes: float = 0.0
    low_passes: float = 0.0
    others_passes: float = 0.0
    prompt_s: float = 0.0
    kv_tokens: float = 0.0
    reserved_share: float = 0.0
    target_left_s: float = 0.0

    @property
    def passes_ahead(self) -> float:
        """Passes that a request ahead of this one takes on average."""
        return self.others_passes or self.passes


@dataclasses.dataclass(frozen=True, slots=True)
class ServerEstimate:
    """The estimated state of a server.

    Attributes:
        load: estimated number of requests at the server.
        slots: requests that it can process concurrently.
        pass_s: duration of a pass in seconds; 0 if unknown.
        unread_s: seconds that reading the prompts takes that wait there.
    """

    load: float
    slots: int
    pass_s: float
    unread_s: float = 0.0

    def pass_or_default_s(self) -> float:
        """Returns the duration of a pass, or the default if unknown."""
        return self.pass_s or _DEFAULT_PASS_S


def _wait_s(requirements: RequestRequirements, server: ServerEstimate) -> float:
    """Returns seconds until a slot is free."""
    ahead = max(0.0, server.load - server.slots + 1)
    return (ahead / server.slots * requirements.passes_ahead *
            server.pass_or_default_s())


def cost_per_request_s(requirements: RequestRequirements,
                       server: ServerEstimate) -> float:
    """Returns the seconds of delay caused by each request at a server.

    Uses the default duration of a pass instead of the server's own, so that
    the loads of different servers are comparable.
    """
    if not requirements.passes:
        return _SHORT_REQUEST_COST_S
    return requirements.passes_ahead * _DEFAULT_PASS_S / server.slots


def penalty_s(requirements: RequestRequirements,
              server: ServerEstimate) -> float:
    """Returns the expected delay at a server beyond that of its load.

    Includes fixed penalties if the server's passes exceed the allowed time
    between events, if they would because several prompts are read in one, or if
    the response would exceed the timeout.
    """
    if not requirements.passes:
        return 0.0
    pass_s = server.pass_or_default_s()
    wait_s = _wait_s(requirements, server)
    default_wait_s = wait_s * _DEFAULT_PASS_S / pass_s
    total = _PASSES_TO_FIRST_EVENT * pass_s + wait_s - default_wait_s
    total += server.unread_s
    if not keeps_gap(requirements, server) or _delays_gap(requirements, server):
        total += _EVENT_GAP_PENALTY_S
    if wait_s + requirements.passes * pass_s > requirements.time_left_s:
        total += _TIMEOUT_PENALTY_S
    return total


def keeps_gap(requirements: RequestRequirements,
              server: ServerEstimate) -> bool:
    """Returns whether passes are as short as the allowed time between events.
    """
    return (not requirements.passes or not requirements.max_gap_s or
            server.pass_or_default_s() <= requirements.max_gap_s)


def _delays_gap(requirements: RequestRequirements,
                server: ServerEstimate) -> bool:
    """Returns whether a pass that reads this prompt too would be too long."""
    if not requirements.max_gap_s or not server.unread_s:
        return False
    read_s = server.unread_s + requirements.prompt_s
    return server.pass_or_default_s() + read_s > requirements.max_gap_s


def keeps_reserved_slots(requirements: RequestRequirements,
                         server: ServerEstimate) -> bool:
    """Returns whether the reserved share of slots would stay free."""
    if not requirements.reserved_share:
        return True
    return server.load + 1 <= server.slots * (1 - requirements.reserved_share)


def free_slots(server: ServerEstimate, reserved_share: float) -> float:
    """Returns the free slots of a server beyond a reserved share."""
    return max(0.0, server.slots * (1 - reserved_share) - server.load)


def cannot_start_in_time(requirements: RequestRequirements,
                         server: ServerEstimate) -> bool:
    """Returns whether the server is not expected to start in time."""
    if not requirements.passes:
        return False
    start_s = _wait_s(requirements, server) + server.pass_or_default_s()
    return start_s > requirements.time_left_s * _START_TIME_SHARE


def cannot_end_in_time(requirements: RequestRequirements,
                       server: ServerEstimate) -> bool:
    """Returns whether the response would most likely not be complete in time.

    Assumes that passes go on to take as long as now.
    """
    return requirements.low_passes * server.pass_s > requirements.time_left_s


def misses_first_event_target(requirements: RequestRequirements,
                              server: ServerEstimate) -> bool:
    """Returns whether waiting for a slot would make the first event late."""
    if not requirements.target_left_s or not requirements.passes:
        return False
    wait_s = _wait_s(requirements, server)
    first_s = wait_s + _PASSES_TO_FIRST_EVENT * server.pass_or_default_s()
    return wait_s > 0 and first_s > requirements.target_left_s
