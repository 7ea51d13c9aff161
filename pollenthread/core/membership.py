"""Which hosts are alive, and which of them a host keeps links to.

The host list gives the candidates and lags; links give heartbeats. Either one
is enough to stop new work to a host that leaves. Silence alone calls a host
dead only up to a share of the fleet: beyond it the signal is distrusted.
"""

import dataclasses
import enum
import hashlib
from collections.abc import Iterable, Mapping

__all__ = [
    'Evidence', 'MAX_DEAD_SHARE', 'Member', 'State', 'View', 'judge',
    'linked_peers', 'pollers', 'ranked', 'takes_new_work', 'upstream_subset'
]

SUSPECT_AFTER_S = 1.5
DEAD_AFTER_S = 3.0
MAX_DEAD_SHARE = 0.34
POLLERS_PER_DATA_CENTRE = 2
PEERS_IN_DATA_CENTRE = 3
PEERS_IN_REGION = 4
PEERS_IN_OTHER_REGION = 2
UPSTREAM_SUBSET = 32


class State(enum.StrEnum):
    """What a host is held for."""

    LIVE = 'live'
    SUSPECT = 'suspect'
    DEAD = 'dead'
    LEAVING = 'leaving'


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """One host of the list.

    Attributes:
        host: its name.
        data_centre: where it is.
        region: the region of the data centre.
        serves: for an upstream, the platform's name of the group of hosts that
            serve the same; empty when the list does not say.
    """

    host: str
    data_centre: str
    region: str
    serves: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """What is known of one host.

    Attributes:
        listed_leaving: whether the host list says that it leaves.
        said_leaving: whether the host itself, or a peer, says so.
        silent_s: seconds since it was heard; None when it is not watched.
    """

    listed_leaving: bool = False
    said_leaving: bool = False
    silent_s: float | None = None


@dataclasses.dataclass(frozen=True)
class View:
    """The judgement over a fleet.

    Attributes:
        state_by_host: what each host is held for.
        is_panic: whether silence is distrusted since too many are silent.
    """

    state_by_host: Mapping[str, State]
    is_panic: bool

    def usable(self) -> list[str]:
        """Hosts that may take new work."""
        return [
            host for host, state in self.state_by_host.items()
            if takes_new_work(state)
        ]


def takes_new_work(state: State) -> bool:
    """Whether a host in this state may be sent new work."""
    return state in (State.LIVE, State.SUSPECT)


def judge(evidence_by_host: Mapping[str, Evidence]) -> View:
    """Judges every host of a fleet.

    Panic: when more than `MAX_DEAD_SHARE` of the watched hosts are silent, the
    fault is more likely on this side; silent hosts are then only suspects.
    Leaving hosts stay out in any case, for that is said and not guessed.
    """
    watched = [
        evidence for evidence in evidence_by_host.values()
        if evidence.silent_s is not None and not _is_leaving(evidence)
    ]
    dead = sum(1 for evidence in watched if _is_silent(evidence))
    is_panic = dead > 1 and dead > MAX_DEAD_SHARE * len(watched)
    return View(state_by_host={
        host: _state(evidence, is_panic)
        for host, evidence in evidence_by_host.items()
    },
                is_panic=is_panic)


def _is_leaving(evidence: Evidence) -> bool:
    return evidence.listed_leaving or evidence.said_leaving


def _is_silent(evidence: Evidence) -> bool:
    return evidence.silent_s is not None and evidence.silent_s >= DEAD_AFTER_S


def _state(evidence: Evidence, is_panic: bool) -> State:
    if _is_leaving(evidence):
        return State.LEAVING
    if evidence.silent_s is None or evidence.silent_s < SUSPECT_AFTER_S:
        return State.LIVE
    if _is_silent(evidence) and not is_panic:
        return State.DEAD
    return State.SUSPECT


def ranked(hosts: Iterable[str], subject: str) -> list[str]:
    """Hosts by rendezvous hashing: the first is preferred for the subject."""
    return sorted(hosts, key=lambda host: _score(host, subject))


def _score(host: str, subject: str) -> bytes:
    text = f'{host}\0{subject}'.encode()
    return hashlib.blake2b(text, digest_size=8).digest()


def pollers(members: Iterable[Member], data_centre: str) -> frozenset[str]:
    """The hosts of a data centre that read the table for the others."""
    hosts = (m.host for m in members if m.data_centre == data_centre)
    return frozenset(
        ranked(hosts, f'poll\0{data_centre}')[:POLLERS_PER_DATA_CENTRE])


def linked_peers(own: Member, members: Iterable[Member]) -> frozenset[str]:
    """The entry hosts that a host chooses to keep links to.

    A link exists if either end chooses it. The next host on the ring of names
    is always chosen, so that the links of live hosts connect the region.
    """
    others = [member for member in members if member.host != own.host]
    near = [m.host for m in others if m.data_centre == own.data_centre]
    region = [m.host for m in others if m.region == own.region]
    chosen = set(ranked(near, own.host)[:PEERS_IN_DATA_CENTRE])
    chosen.update(ranked(region, own.host)[:PEERS_IN_REGION])
    chosen.update(_next_on_ring(own.host, region))
    for other_region in {m.region for m in others} - {own.region}:
        far = [m.host for m in others if m.region == other_region]
        chosen.update(ranked(far, own.host)[:PEERS_IN_OTHER_REGION])
    return frozenset(chosen)


def _next_on_ring(host: str, others: Iterable[str]) -> list[str]:
    """The one or two names that follow a name on the ring."""
    ordered = sorted(others)
    after = [name for name in ordered if name > host]
    return (after + ordered)[:2]


def upstream_subset(own: Member,
                    upstreams: Iterable[Member],
                    *,
                    size: int = UPSTREAM_SUBSET) -> frozenset[str]:
    """The upstreams that an entry host keeps links to.

    For each group of upstreams that serve the same, a bounded number within the
    host's region; or of all regions where its own has none.

    Args:
        own: the entry host.
        upstreams: upstream hosts of all regions.
        size: the bound for each group.
    """
    by_group: dict[str, list[Member]] = {}
    for member in upstreams:
        by_group.setdefault(member.serves, []).append(member)
    chosen: set[str] = set()
    for members in by_group.values():
        near = [m.host for m in members if m.region == own.region]
        hosts = near or [m.host for m in members]
        chosen.update(ranked(hosts, own.host)[:size])
    return frozenset(chosen)
