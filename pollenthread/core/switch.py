"""The lock-step switch of a rank group from one expert map to another.

One decider, fenced by the group's row, asks every rank to prepare (load the
weights), then to arm at a step. A rank that reaches that step armed and
undecided waits. The decider commits once every rank has armed, and aborts
otherwise. A later decider raises the fence at every rank before it decides:
it commits what some rank has committed, and aborts anything else. A rank that
has restarted takes part again only after the decider has named the map.

This module has the state and the messages, `switch_rank` what a rank does and
`switch_decider` what the decider does. Every function is pure: the same
transitions run in the agents and in the model checker.
"""

import dataclasses
import enum

__all__ = [
    'Arm', 'Armed', 'Ask', 'Change', 'Decide', 'Join', 'Map', 'NO_SWITCH',
    'Name', 'Noted', 'CoordinatorMessage', 'Prepare', 'Prepared', 'Query',
    'Rank', 'RankMessage', 'Report', 'Stage', 'SwitchId', 'map_after_commit',
    'latest_switch_id', 'map_version'
]


@dataclasses.dataclass(frozen=True, order=True, slots=True)
class SwitchId:
    """Names one switch of a group; later ones are greater.

    Attributes:
        fence: the fencing number of the decider that started it.
        number: counts the switches of that decider.
    """

    fence: int
    number: int


NO_SWITCH = SwitchId(0, 0)


class Stage(enum.StrEnum):
    """How far a rank has come with a pending switch."""

    LOADING = 'loading'
    PREPARED = 'prepared'
    ARMED = 'armed'


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """One switch as a rank knows it.

    Attributes:
        id: the switch.
        target: the version of the map that it brings.
        step: the first step with that map; 0 before it is armed.
    """

    id: SwitchId
    target: int
    step: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Map:
    """Which map a group uses in every step.

    Attributes:
        base: the version used before `latest` comes into force.
        latest: the switch committed last, or None.
        closed: the greatest switch that was committed or aborted.
    """

    base: int
    latest: Change | None = None
    closed: SwitchId = NO_SWITCH


def map_version(map_state: Map, step: int) -> int:
    """The version of the map that a step uses."""
    if map_state.latest is not None and step >= map_state.latest.step:
        return map_state.latest.target
    return map_state.base


def map_after_commit(map_state: Map, change: Change) -> Map:
    """The maps of a group after a switch was committed."""
    base = map_state.base if map_state.latest is None else map_state.latest.target
    return Map(base=base,
               latest=change,
               closed=max(map_state.closed, change.id))


def latest_switch_id(map_state: Map) -> SwitchId:
    """The switch committed last, or `NEVER`."""
    return NO_SWITCH if map_state.latest is None else map_state.latest.id


@dataclasses.dataclass(frozen=True, slots=True)
class Rank:
    """One rank's part.

    Attributes:
        index: the rank's number in its group.
        incarnation: rises with each restart of the rank.
        fence: the highest fencing number it has seen; lower ones are refused.
        step: the last step that it has entered; 0 for none.
        held: the map, or None until the decider has named it.
        pending: the switch that is not decided, or None.
        stage: how far the pending switch has come.
        decided_fence: the fencing number that brought the last decision.
    """

    index: int
    incarnation: int
    fence: int
    step: int = 0
    held: Map | None = None
    pending: Change | None = None
    stage: Stage = Stage.LOADING
    decided_fence: int = 0


# Messages of the decider to a rank.


@dataclasses.dataclass(frozen=True, slots=True)
class Query:
    """Raises the fence at a rank and asks what it holds."""

    fence: int


@dataclasses.dataclass(frozen=True, slots=True)
class Prepare:
    """Asks a rank to load the weights of a map."""

    id: SwitchId
    target: int


@dataclasses.dataclass(frozen=True, slots=True)
class Arm:
    """Asks a rank not to enter a step before the decision."""

    id: SwitchId
    step: int


@dataclasses.dataclass(frozen=True, slots=True)
class Decide:
    """Tells a decision, from the decider or from a rank that knows it.

    Attributes:
        fence: the fencing number under which it was decided.
        id: the switch.
        commit: whether the switch takes place.
    """

    fence: int
    id: SwitchId
    commit: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Name:
    """Names the map to a rank that joins."""

    fence: int
    incarnation: int
    held: Map


# Messages of a rank to the decider or to another rank.


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Answers a query with all that the rank holds."""

    fence: int
    rank: Rank


@dataclasses.dataclass(frozen=True, slots=True)
class Prepared:
    """Answers `Prepare`: whether the weights are there, and the step."""

    id: SwitchId
    index: int
    incarnation: int
    step: int
    ok: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Armed:
    """Answers `Arm`: whether the rank will wait at the step."""

    id: SwitchId
    index: int
    incarnation: int
    ok: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Noted:
    """Answers `Decide` from the decider."""

    id: SwitchId
    index: int
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class Join:
    """Asks the decider which map the group uses."""

    index: int
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class Ask:
    """Asks another rank whether it knows a decision."""

    id: SwitchId


CoordinatorMessage = Query | Prepare | Arm | Decide | Name
RankMessage = Report | Prepared | Armed | Noted | Join
