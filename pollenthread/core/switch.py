"""State and messages of the two-phase switch of a group's expert map.

All ranks of a group change the map at the same step. One coordinator, which
holds a fencing token from the group's lease row, asks every rank to prepare
(load the weights) and then to arm for a step. An armed rank blocks at that
step until it receives the decision. The coordinator commits once every rank is
armed, and aborts otherwise. A later coordinator first raises the fencing
number at every rank. It then commits the pending switch if some rank has
committed it, and aborts it otherwise. A restarted rank takes part again only
after the coordinator has sent it the current map.

`switch_rank` has the transitions of a rank and `switch_coordinator` those of
the coordinator. All functions are pure, so that the agents and the model
checker run the same code.
"""

import dataclasses
import enum

__all__ = [
    'Arm', 'Armed', 'Ask', 'Change', 'CoordinatorMessage', 'Decide', 'Join',
    'Map', 'NO_SWITCH', 'Name', 'Noted', 'Prepare', 'Prepared', 'Query', 'Rank',
    'RankMessage', 'Report', 'Stage', 'SwitchId', 'latest_switch_id',
    'map_after_commit', 'map_version'
]


@dataclasses.dataclass(frozen=True, order=True, slots=True)
class SwitchId:
    """Identifies one switch of a group; later switches compare greater.

    Attributes:
        fence: the fencing token of the coordinator that started the switch.
        number: the sequence number among that coordinator's switches.
    """

    fence: int
    number: int


NO_SWITCH = SwitchId(0, 0)


class Stage(enum.StrEnum):
    """The progress of a pending switch at a rank."""

    LOADING = 'loading'
    PREPARED = 'prepared'
    ARMED = 'armed'


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """The parameters of one switch.

    Attributes:
        id: the id of the switch.
        target: the version of the new map.
        step: the first step that uses the new map; 0 until armed.
    """

    id: SwitchId
    target: int
    step: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Map:
    """The map versions that a group uses, by step.

    Attributes:
        base: the version used before `latest` takes effect.
        latest: the last committed switch, or None.
        closed: the greatest id of a committed or aborted switch.
    """

    base: int
    latest: Change | None = None
    closed: SwitchId = NO_SWITCH


def map_version(map_state: Map, step: int) -> int:
    """Returns the version of the map that a step uses."""
    if map_state.latest is not None and step >= map_state.latest.step:
        return map_state.latest.target
    return map_state.base


def map_after_commit(map_state: Map, change: Change) -> Map:
    """Returns the map state after committing a switch."""
    base = (map_state.base
            if map_state.latest is None else map_state.latest.target)
    return Map(base=base,
               latest=change,
               closed=max(map_state.closed, change.id))


def latest_switch_id(map_state: Map) -> SwitchId:
    """Returns the id of the last committed switch, or `NO_SWITCH`."""
    return NO_SWITCH if map_state.latest is None else map_state.latest.id


@dataclasses.dataclass(frozen=True, slots=True)
class Rank:
    """The state of one rank in the protocol.

    Attributes:
        index: the index of the rank in its group.
        incarnation: increases with each restart of the rank.
        fence: the highest fencing token seen; messages with a lower number
            are ignored.
        step: the last step that the rank has entered; 0 for none.
        held: the map state, or None until received from the coordinator.
        pending: the undecided switch, or None.
        stage: the progress of the pending switch.
        decided_fence: the fencing token that came with the last decision.
    """

    index: int
    incarnation: int
    fence: int
    step: int = 0
    held: Map | None = None
    pending: Change | None = None
    stage: Stage = Stage.LOADING
    decided_fence: int = 0


# Messages from the coordinator to a rank.


@dataclasses.dataclass(frozen=True, slots=True)
class Query:
    """Raises the fencing token at a rank and requests its state."""

    fence: int


@dataclasses.dataclass(frozen=True, slots=True)
class Prepare:
    """Requests a rank to load the weights of a map."""

    id: SwitchId
    target: int


@dataclasses.dataclass(frozen=True, slots=True)
class Arm:
    """Requests a rank not to enter a step before the decision."""

    id: SwitchId
    step: int


@dataclasses.dataclass(frozen=True, slots=True)
class Decide:
    """Announces a decision; sent by the coordinator or an informed rank.

    Attributes:
        fence: the fencing token under which the decision was made.
        id: the id of the switch.
        commit: True to commit the switch, False to abort it.
    """

    fence: int
    id: SwitchId
    commit: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Name:
    """Sends the current map state to a rank that joins."""

    fence: int
    incarnation: int
    held: Map


# Messages from a rank to the coordinator or to another rank.


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Replies to `Query` with the complete state of the rank."""

    fence: int
    rank: Rank


@dataclasses.dataclass(frozen=True, slots=True)
class Prepared:
    """Replies to `Prepare`: whether weights are loaded, and the last step."""

    id: SwitchId
    index: int
    incarnation: int
    step: int
    ok: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Armed:
    """Replies to `Arm`: whether the rank will block at the step."""

    id: SwitchId
    index: int
    incarnation: int
    ok: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Noted:
    """Acknowledges `Decide` to the coordinator."""

    id: SwitchId
    index: int
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class Join:
    """Requests the current map state from the coordinator."""

    index: int
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class Ask:
    """Asks another rank for the decision on a switch."""

    id: SwitchId


CoordinatorMessage = Query | Prepare | Arm | Decide | Name
RankMessage = Report | Prepared | Armed | Noted | Join
