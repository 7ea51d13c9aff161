"""Which hosts are alive, and which of them a host keeps links to.

The host list gives the candidates and lags; links give heartbeats. Either one
is enough to stop new work to a host that leaves. Silence alone calls a host
dead only up to a share of the fleet: beyond it the signal is distrusted.
"""

import dataclasses
import enum
import hashlib
from collections.abc import Iterable, Mapping, Sequence

__all__ = [
    'HostEvidence', 'MAX_DEAD_SHARE', 'Member', 'REPORT_TTL_S', 'HostReport',
    'HostState', 'MembershipView', 'count_dead_reports', 'merge_report',
    'assess_fleet', 'select_linked_peers', 'select_pollers',
    'rank_by_rendezvous_hash', 'accepts_new_work', 'select_upstreams'
]

SUSPECT_AFTER_S = 1.5
DEAD_AFTER_S = 3.0
MAX_DEAD_SHARE = 0.34
DEAD_REPORT_QUORUM = 2
REPORT_TTL_S = 30.0
POLLERS_PER_DATA_CENTRE = 2
PEERS_IN_DATA_CENTRE = 3
PEERS_IN_REGION = 4
PEERS_IN_OTHER_REGION = 1
UPSTREAM_SUBSET_SIZE = 16


@dataclasses.dataclass(frozen=True)
class HostReport:
    """What others have said of one host.

    Attributes:
        incarnation: the start of its process that is meant.
        is_leaving: whether that one leaves.
        dead_by_reporter: when each host reported it dead, monotonic seconds.
    """

    incarnation: str
    is_leaving: bool = False
    dead_by_reporter: Mapping[str,
                              float] = dataclasses.field(default_factory=dict)


class HostState(enum.StrEnum):
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
class HostEvidence:
    """What is known of one host.

    Attributes:
        listed_leaving: whether the host list says that it leaves.
        said_leaving: whether the host itself, or a peer, says so.
        silent_s: seconds since it was heard; None when it is not watched.
        dead_reports: how many hosts that watch it report it dead.
    """

    listed_leaving: bool = False
    reported_leaving: bool = False
    silent_s: float | None = None
    dead_report_count: int = 0


@dataclasses.dataclass(frozen=True)
class MembershipView:
    """The judgement over a fleet.

    Attributes:
        state_by_host: what each host is held for.
        is_panic: whether silence is distrusted since too many are silent.
    """

    state_by_host: Mapping[str, HostState]
    is_panic: bool

    def usable(self) -> list[str]:
        """Hosts that may take new work."""
        return [
            host for host, state in self.state_by_host.items()
            if accepts_new_work(state)
        ]


def accepts_new_work(state: HostState) -> bool:
    """Whether a host in this state may be sent new work."""
    return state in (HostState.LIVE, HostState.SUSPECT)


def assess_fleet(
        evidence_by_host: Mapping[str, HostEvidence]) -> MembershipView:
    """Judges every host of a fleet.

    Panic: when more than `MAX_DEAD_SHARE` of the hosts that this one watches,
    or of the whole fleet, are silent, the fault is more likely on this side;
    silent hosts are then only suspects.
    Leaving hosts stay out in any case, for that is said and not guessed.
    """
    own_watch = [
        evidence for evidence in evidence_by_host.values()
        if evidence.silent_s is not None and not _is_leaving(evidence)
    ]
    fleet = [e for e in evidence_by_host.values() if not _is_leaving(e)]
    is_panic = _too_many_silent(own_watch) or _too_many_silent(fleet)
    return MembershipView(state_by_host={
        host: _state(evidence, is_panic)
        for host, evidence in evidence_by_host.items()
    },
                          is_panic=is_panic)


def _is_leaving(evidence: HostEvidence) -> bool:
    return evidence.listed_leaving or evidence.reported_leaving


def _too_many_silent(fleet: Sequence[HostEvidence]) -> bool:
    silent = sum(1 for evidence in fleet if _is_silent(evidence))
    return silent > 1 and silent > MAX_DEAD_SHARE * len(fleet)


def _is_silent(evidence: HostEvidence) -> bool:
    """Whether a host seems dead: by one's own watch, or else by reports."""
    if evidence.silent_s is None:
        return evidence.dead_report_count >= DEAD_REPORT_QUORUM
    return evidence.silent_s >= DEAD_AFTER_S


def _state(evidence: HostEvidence, is_panic: bool) -> HostState:
    if _is_leaving(evidence):
        return HostState.LEAVING
    if _is_silent(evidence):
        return HostState.SUSPECT if is_panic else HostState.DEAD
    if evidence.silent_s is not None and evidence.silent_s >= SUSPECT_AFTER_S:
        return HostState.SUSPECT
    return HostState.LIVE


def merge_report(known: HostReport | None, *, incarnation: str,
                 state: HostState, reporter: str, now: float) -> HostReport:
    """Takes in what a reporter says of a host.

    News of another start of the host's process replaces what was known. A host
    that has said it leaves does not come back in the same start.
    """
    if known is None or known.incarnation != incarnation:
        known = HostReport(incarnation=incarnation)
    dead_by_reporter = {
        name: at
        for name, at in known.dead_by_reporter.items()
        if name != reporter and now - at < REPORT_TTL_S
    }
    if state is HostState.DEAD:
        dead_by_reporter[reporter] = now
    return HostReport(incarnation=incarnation,
                      is_leaving=known.is_leaving or state is HostState.LEAVING,
                      dead_by_reporter=dead_by_reporter)


def count_dead_reports(known: HostReport, now: float) -> int:
    """How many reports of a host's death still count."""
    return sum(
        1 for at in known.dead_by_reporter.values() if now - at < REPORT_TTL_S)


def rank_by_rendezvous_hash(hosts: Iterable[str], subject: str) -> list[str]:
    """Hosts by rendezvous hashing: the first is preferred for the subject."""
    return sorted(hosts, key=lambda host: _score(host, subject))


def _score(host: str, subject: str) -> bytes:
    text = f'{host}\0{subject}'.encode()
    return hashlib.blake2b(text, digest_size=8).digest()


def select_pollers(members: Iterable[Member],
                   data_centre: str) -> frozenset[str]:
    """The hosts of a data centre that read the table for the others."""
    hosts = (m.host for m in members if m.data_centre == data_centre)
    return frozenset(
        rank_by_rendezvous_hash(
            hosts, f'poll\0{data_centre}')[:POLLERS_PER_DATA_CENTRE])


def select_linked_peers(own: Member,
                        members: Iterable[Member]) -> frozenset[str]:
    """The entry hosts that a host chooses to keep links to.

    A link exists if either end chooses it. The next host on the ring of names
    is always chosen, so that the links of live hosts connect the region.
    """
    others = [member for member in members if member.host != own.host]
    near = [m.host for m in others if m.data_centre == own.data_centre]
    region = [m.host for m in others if m.region == own.region]
    chosen = set(rank_by_rendezvous_hash(near, own.host)[:PEERS_IN_DATA_CENTRE])
    chosen.update(rank_by_rendezvous_hash(region, own.host)[:PEERS_IN_REGION])
    chosen.update(_next_on_ring(own.host, region))
    for other_region in {m.region for m in others} - {own.region}:
        far = [m.host for m in others if m.region == other_region]
        chosen.update(
            rank_by_rendezvous_hash(far, own.host)[:PEERS_IN_OTHER_REGION])
    return frozenset(chosen)


def _next_on_ring(host: str, others: Iterable[str]) -> list[str]:
    """The one or two names that follow a name on the ring."""
    ordered = sorted(others)
    after = [name for name in ordered if name > host]
    return (after + ordered)[:2]


def select_upstreams(own: Member,
                     upstreams: Iterable[Member],
                     *,
                     size: int = UPSTREAM_SUBSET_SIZE) -> frozenset[str]:
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
        chosen.update(rank_by_rendezvous_hash(hosts, own.host)[:size])
    return frozenset(chosen)
