"""Failure detection of hosts, and selection of the hosts to link to.

The host list contains the candidates but lags; links carry heartbeats. Either
source suffices to stop new work to a host that shuts down. Missed heartbeats
alone mark a host as dead only while the silent hosts are a limited share of all
hosts. Beyond `MAX_DEAD_SHARE` a fault in the network of the observing host is
more likely.
"""

import dataclasses
import enum
import hashlib
from collections.abc import Iterable, Mapping, Sequence

__all__ = [
    'HostEvidence', 'HostReport', 'HostState', 'MAX_DEAD_SHARE', 'Member',
    'MembershipView', 'REPORT_TTL_S', 'accepts_new_work', 'assess_hosts',
    'count_dead_reports', 'merge_report', 'rank_by_rendezvous_hash',
    'select_linked_peers', 'select_pollers', 'select_upstreams'
]

SUSPECT_AFTER_S = 1.5
DEAD_AFTER_S = 3.0
MAX_DEAD_SHARE = 0.34
# The number of reports that mark a host as dead which is not monitored locally.
DEAD_REPORT_QUORUM = 2
REPORT_TTL_S = 30.0
POLLERS_PER_DATA_CENTRE = 2
PEERS_IN_DATA_CENTRE = 3
PEERS_IN_REGION = 4
PEERS_IN_OTHER_REGION = 1
UPSTREAM_SUBSET_SIZE = 16


@dataclasses.dataclass(frozen=True)
class HostReport:
    """The combined reports of other hosts about one host.

    Attributes:
        incarnation: the incarnation of the reported host.
        is_shutting_down: whether that incarnation was reported to shut down.
        dead_by_reporter: the time of the last report of its failure by
            reporting host, in monotonic seconds.
    """

    incarnation: str
    is_shutting_down: bool = False
    dead_by_reporter: Mapping[str,
                              float] = dataclasses.field(default_factory=dict)


class HostState(enum.StrEnum):
    """The assessed state of a host."""

    LIVE = 'live'
    SUSPECT = 'suspect'
    DEAD = 'dead'
    LEAVING = 'leaving'


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """An entry of the host list.

    Attributes:
        host: the name of the host.
        data_centre: the data centre of the host.
        region: the region of the data centre.
        serves: for an upstream, the platform's name of the group of
            interchangeable hosts; empty if not listed.
    """

    host: str
    data_centre: str
    region: str
    serves: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class HostEvidence:
    """The information about one host that its state is derived from.

    Attributes:
        listed_terminating: whether the host list says that the platform is
            removing it.
        reported_shutdown: whether the host itself or a peer reports that it
            shuts down.
        silent_s: seconds since the last heartbeat; None if the host is not
            monitored from here.
        dead_report_count: the number of monitoring hosts that report it dead.
    """

    listed_terminating: bool = False
    reported_shutdown: bool = False
    silent_s: float | None = None
    dead_report_count: int = 0


@dataclasses.dataclass(frozen=True)
class MembershipView:
    """The assessed states of all entry hosts.

    Attributes:
        state_by_host: the state of each host.
        is_panic: whether missed heartbeats are ignored because too many hosts
            are silent.
    """

    state_by_host: Mapping[str, HostState]
    is_panic: bool

    def usable(self) -> list[str]:
        """Returns the hosts that may be sent new work."""
        return [
            host for host, state in self.state_by_host.items()
            if accepts_new_work(state)
        ]


def accepts_new_work(state: HostState) -> bool:
    """Returns whether a host in this state may be sent new work."""
    return state in (HostState.LIVE, HostState.SUSPECT)


def assess_hosts(
        evidence_by_host: Mapping[str, HostEvidence]) -> MembershipView:
    """Assesses the state of every entry host.

    If more than `MAX_DEAD_SHARE` of the hosts monitored from here, or of all
    hosts, are silent, the fault is more likely local. Silent hosts are then
    suspect instead of dead (panic mode). Hosts that shut down are excluded in
    any case, because a shutdown is announced and not inferred.
    """
    monitored = [
        evidence for evidence in evidence_by_host.values()
        if evidence.silent_s is not None and not _is_leaving(evidence)
    ]
    active = [e for e in evidence_by_host.values() if not _is_leaving(e)]
    is_panic = _too_many_silent(monitored) or _too_many_silent(active)
    return MembershipView(state_by_host={
        host: _state(evidence, is_panic)
        for host, evidence in evidence_by_host.items()
    },
                          is_panic=is_panic)


def _is_leaving(evidence: HostEvidence) -> bool:
    return evidence.listed_terminating or evidence.reported_shutdown


def _too_many_silent(hosts: Sequence[HostEvidence]) -> bool:
    silent = sum(1 for evidence in hosts if _is_silent(evidence))
    return silent > 1 and silent > MAX_DEAD_SHARE * len(hosts)


def _is_silent(evidence: HostEvidence) -> bool:
    """Returns whether a host seems dead, by monitoring or else by reports."""
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
    """Merges the report of one reporter about a host.

    A report about another incarnation replaces the known reports. A host that
    was reported as shutting down remains so for the same incarnation.

    Args:
        known: the reports so far, or None.
        incarnation: the incarnation of the reported host.
        state: the reported state.
        reporter: the name of the reporting host.
        now: the monotonic time, in seconds.
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
                      is_shutting_down=known.is_shutting_down or
                      state is HostState.LEAVING,
                      dead_by_reporter=dead_by_reporter)


def count_dead_reports(known: HostReport, now: float) -> int:
    """Returns the number of unexpired reports that a host is dead."""
    return sum(
        1 for at in known.dead_by_reporter.values() if now - at < REPORT_TTL_S)


def rank_by_rendezvous_hash(hosts: Iterable[str], subject: str) -> list[str]:
    """Orders hosts by rendezvous hashing for a subject, preferred first."""
    return sorted(hosts, key=lambda host: _score(host, subject))


def _score(host: str, subject: str) -> bytes:
    text = f'{host}\0{subject}'.encode()
    return hashlib.blake2b(text, digest_size=8).digest()


def select_pollers(members: Iterable[Member],
                   data_centre: str,
                   *,
                   count: int = POLLERS_PER_DATA_CENTRE) -> frozenset[str]:
    """Selects the hosts that read the table for their data centre.

    Args:
        members: the candidates.
        data_centre: the data centre.
        count: the number of hosts to select.
    """
    hosts = (m.host for m in members if m.data_centre == data_centre)
    return frozenset(
        rank_by_rendezvous_hash(hosts, f'poll\0{data_centre}')[:count])


def select_linked_peers(own: Member,
                        members: Iterable[Member]) -> frozenset[str]:
    """Selects the entry hosts that a host keeps links to.

    A link exists if either end selects it. The next hosts on the ring of
    sorted names are always selected, so that the links of live hosts connect
    the region.
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
    """Returns the one or two names after a name on the sorted ring."""
    ordered = sorted(others)
    after = [name for name in ordered if name > host]
    return (after + ordered)[:2]


def select_upstreams(own: Member,
                     upstreams: Iterable[Member],
                     *,
                     size: int = UPSTREAM_SUBSET_SIZE) -> frozenset[str]:
    """Selects the upstreams that an entry host keeps links to.

    From each group of interchangeable upstreams it selects up to `size` in the
    region of the entry host, or in all regions if its own has none.

    Args:
        own: the entry host.
        upstreams: the upstream hosts of all regions.
        size: the maximum number for each group.
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
