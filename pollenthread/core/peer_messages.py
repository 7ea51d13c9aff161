"""Messages between the hosts of a platform deployment."""

import dataclasses
import enum

from pollenthread.core import document_patch, store_version

__all__ = [
    'ClearedPart', 'ConfigForm', 'CrashNews', 'CrashRecord', 'DutyBeat',
    'EntryBeat', 'ExpertChoices', 'Layouts', 'LimitRecord', 'OrderKind',
    'PermitReply', 'PermitRequest', 'RankLayout', 'RankOrder', 'RankState',
    'Row', 'ServerLoad', 'ServiceDemand', 'Snapshot', 'SnapshotRequest',
    'UsableHosts'
]

Layouts = tuple[tuple[tuple[int, ...], ...], ...]
"""The experts of a map by set and rank."""


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceDemand:
    """The demand for a service at one entry host.

    Levels of importance are in order; the first is the most important. A class
    of requests that are late in any case follows the last level.

    Attributes:
        service: the name of the service.
        waiting: the requests that wait at the host, by level.
        arrivals_per_s: the recent arrivals at the host per second, by level.
    """

    service: str
    waiting: tuple[int, ...]
    arrivals_per_s: tuple[float, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class EntryBeat:
    """A heartbeat of an entry host.

    Attributes:
        host: the name of the entry host.
        is_ready: whether callers should connect to it.
        is_leaving: whether it is shutting down.
        config_version: the version of its configuration, or 0.
        store_age_ms: milliseconds since the store last responded to the host.
        servers_changed: the store's change counter at the latest known change
            of the server list, or 0.
        hosts_changed: the same for the registered hosts.
        is_watcher: whether the host follows the store itself.
        is_store_up: whether the store has answered the host's last calls; True
            if it made none.
        peer_address: the host's address for its peers.
        servers_era: the era of `servers_changed`; 0 if the sender has none.
        hosts_era: the era of `hosts_changed`.
        demand: the demand at the host, by service; bounded in length.
        evacuated: the data centres that operators have emptied.
        evacuations_changed: the store's change counter at the latest known
            change of `evacuated`, or 0.
        evacuations_era: the era of `evacuations_changed`.
    """

    host: str
    is_ready: bool
    is_leaving: bool
    config_version: int
    store_age_ms: int
    servers_changed: int = 0
    hosts_changed: int = 0
    is_watcher: bool = False
    is_store_up: bool = True
    peer_address: str = ''
    servers_era: int = 0
    hosts_era: int = 0
    demand: tuple[ServiceDemand, ...] = ()
    evacuated: tuple[str, ...] = ()
    evacuations_changed: int = 0
    evacuations_era: int = 0

    def servers_version(
            self,
            known: store_version.StoreVersion) -> store_version.StoreVersion:
        """Returns the version of the latest known change of the servers."""
        return store_version.told_version(self.servers_era,
                                          self.servers_changed, known)

    def hosts_version(
            self,
            known: store_version.StoreVersion) -> store_version.StoreVersion:
        """Returns the version of the latest known change of the hosts."""
        return store_version.told_version(self.hosts_era, self.hosts_changed,
                                          known)


@dataclasses.dataclass(frozen=True, slots=True)
class UsableHosts:
    """The entry hosts of a data centre to which callers can connect.

    Attributes:
        data_centre: the data centre.
        hosts: the names of the hosts.
    """

    data_centre: str
    hosts: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class CrashRecord:
    """A crash of a server, as known to the sender.

    Attributes:
        server: the id and start time of the server.
        age_ms: milliseconds since the crash.
        begun: parts of the requests that it had begun to answer.
        sent: those of the requests of which it had sent no response.
    """

    server: str
    age_ms: int
    begun: tuple[str, ...]
    sent: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ClearedPart:
    """A part of a request that a server has answered.

    Attributes:
        part: the id of the part.
        age_ms: milliseconds since the latest such response.
    """

    part: str
    age_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class CrashNews:
    """Evidence of requests that crash servers.

    Attributes:
        crashes: crashes of servers.
        cleared: parts that do not crash servers.
        reply_to: the peer address of a sender that wants the receiver's
            evidence; empty if it wants none.
    """

    crashes: tuple[CrashRecord, ...]
    cleared: tuple[ClearedPart, ...]
    reply_to: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class ServerLoad:
    """The load of the server that runs next to an agent.

    Attributes:
        address: the address of the server.
        running: the number of requests being processed.
        waiting: the number of queued requests.
        slots: the number of requests that the server processes at once.
        stalled_ms: milliseconds since the last pass of its group began, while
            it has work.
        is_open: whether its group is running; True without a group.
        group: the name of its group.
        pass_us: the recent duration of a pass of its group, in microseconds.
        born_ms: the start time of the server, in Unix milliseconds, or 0.
        kv_tokens: tokens in its key-value cache that cannot be evicted.
        kv_capacity_tokens: the capacity of that cache, or 0 if unknown.
        pace_percent: its time for the same work relative to normal speed, in
            percent; 0 if unknown.
    """

    address: str
    running: int
    waiting: int
    slots: int
    stalled_ms: int
    is_open: bool
    group: str
    pass_us: int
    born_ms: int = 0
    kv_tokens: int = 0
    kv_capacity_tokens: int = 0
    pace_percent: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class LimitRecord:
    """What a server has said about the request rate that it accepts.

    Attributes:
        server: the id of the server.
        born_ms: the start time of the server, in Unix milliseconds, or 0.
        per_s: requests per second; infinite if it named no limit.
        age_ms: milliseconds since it was said.
    """

    server: str
    born_ms: int
    per_s: float
    age_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class PermitRequest:
    """A question for the permit to send one request to a limited server.

    Attributes:
        number: identifies the question at its sender.
        reply_to: the peer address of the sender.
        max_wait_ms: milliseconds for which the request can wait.
        limit: the limit of the server as the sender knows it.
    """

    number: int
    reply_to: str
    max_wait_ms: int
    limit: LimitRecord


@dataclasses.dataclass(frozen=True, slots=True)
class PermitReply:
    """The answer to a question for a permit.

    Attributes:
        number: the number of the question.
        is_granted: whether the request may be sent.
        wait_ms: milliseconds until it may be sent, or until another permit may
            be available.
        limit: the limit of the server as the issuer knows it.
    """

    number: int
    is_granted: bool
    wait_ms: int
    limit: LimitRecord


@dataclasses.dataclass(frozen=True, slots=True)
class RankState:
    """The state of one rank of a group, as reported by its agent.

    Attributes:
        group: the name of the group.
        host: the host of the agent.
        rank: the index of the rank.
        size: the number of ranks in the group.
        epoch: increases each time the group is formed again.
        is_open: whether the group is running.
        born_ms: the start time of the server, in Unix milliseconds.
        step: the number of the last pass that began.
        map_version: the version of the map in use.
        prepared_version: the version of the completely copied map, or 0.
        armed_version: the version that the rank will switch to, or 0.
        armed_step: the pass at which the rank will switch.
        held_step: the pass that the group must not begin, or 0.
        is_busy: whether an order is being executed.
        pace_percent: the time for the same work relative to normal, in
            percent; over 100 for a slow server.
    """

    group: str
    host: str
    rank: int
    size: int
    epoch: int
    is_open: bool
    born_ms: int
    step: int
    map_version: int
    prepared_version: int
    armed_version: int
    armed_step: int
    held_step: int
    is_busy: bool
    pace_percent: int


@dataclasses.dataclass(frozen=True, slots=True)
class DutyBeat:
    """A heartbeat of the agent that holds the duty of a group.

    Attributes:
        group: the name of the group.
        host: the host of the agent.
        term: the fencing token of the duty.
    """

    group: str
    host: str
    term: int


@dataclasses.dataclass(frozen=True, slots=True)
class ExpertChoices:
    """Expert choices of the requests of a rank since its previous report.

    Attributes:
        group: the name of the group.
        rank: the index of the rank.
        first_set: the index of the set of the first value.
        experts: the number of experts in a set.
        unit: the number of choices per unit of a value.
        packed: the values by set and then by expert; see `expert_choices`.
    """

    group: str
    rank: int
    first_set: int
    experts: int
    unit: int
    packed: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A row of the store as read by the sender.

    Attributes:
        table: the table of the row.
        key: the key of the row.
        value: the value; empty for a removed row.
        version: the store's change counter at the row's latest change.
        is_removed: whether the row was removed.
        era: the era of `version`; 0 if the sender has none.
    """

    table: str
    key: str
    value: bytes
    version: int
    is_removed: bool = False
    era: int = 0


class ConfigForm(enum.Enum):
    """How a host wants the configuration.

    Attributes:
        ROW: as the store's row; what processes of earlier releases get.
        PATCHES: as patches of the version that it knows.
        SERVICES: the services only, as a patch of the empty document.
    """

    ROW = 'row'
    PATCHES = 'patches'
    SERVICES = 'services'


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotRequest:
    """What the receiver of a snapshot knows already.

    Attributes:
        servers_after: the version up to which it knows the servers; 0 for none.
        hosts_after: the same for the registered hosts.
        config_after: the version of its configuration; 0 for none.
        wants_servers: whether it needs the servers at all.
        servers_era: the era of `servers_after`; 0 if the sender has none.
        hosts_era: the era of `hosts_after`.
        config_form: how it wants the configuration.
    """

    servers_after: int = 0
    hosts_after: int = 0
    config_after: int = 0
    wants_servers: bool = True
    servers_era: int = 0
    hosts_era: int = 0
    config_form: ConfigForm = ConfigForm.ROW


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """The cached content of the store at a host, or changes of it.

    Attributes:
        servers_version: the store's change counter at the latest server list.
        store_age_ms: milliseconds since the store last responded to the host.
        rows: the cached rows.
        hosts_version: the store's change counter at the latest list of hosts.
        has_all_servers: whether the rows of servers are the whole list.
        has_all_hosts: whether the rows of hosts are the whole list.
        servers_era: the era of `servers_version`; 0 if the sender has none.
        hosts_era: the era of `hosts_version`.
        config_patches: patches of the configuration, each of the result of the
            one before it; empty if the receiver has the sender's version or
            wants the row.
        config_row_version: the store's change counter at the configuration's
            row.
        config_row_era: the era of `config_row_version`.
    """

    servers_version: int
    store_age_ms: int
    rows: tuple[Row, ...]
    hosts_version: int = 0
    has_all_servers: bool = True
    has_all_hosts: bool = True
    servers_era: int = 0
    hosts_era: int = 0
    config_patches: tuple[document_patch.DocumentPatch, ...] = ()
    config_row_version: int = 0
    config_row_era: int = 0


class OrderKind(enum.Enum):
    """The action of an order to a rank."""

    PREPARE = 'prepare'
    ARM = 'arm'
    DISARM = 'disarm'
    HOLD = 'hold'
    GO = 'go'


@dataclasses.dataclass(frozen=True, slots=True)
class RankOrder:
    """An order to one rank.

    Attributes:
        kind: the action.
        epoch: the group epoch in which the order is valid.
        version: the version of the map, or 0.
        step: the number of the pass, or 0.
        layouts: the experts to prepare, by set and rank.
        giver: the host that receives the state of the rank after the order.
        relay_to: the peer addresses of agents to which the receiver forwards
            the order.
    """

    kind: OrderKind
    epoch: int
    version: int = 0
    step: int = 0
    layouts: Layouts = ()
    giver: str = ''
    relay_to: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class RankLayout:
    """The experts that a rank holds in the map in use.

    Attributes:
        epoch: the epoch of the group.
        version: the version of the map.
        experts: the experts of the rank, by set.
    """

    epoch: int
    version: int
    experts: tuple[tuple[int, ...], ...]
