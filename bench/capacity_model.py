"""The system size, unit costs and formulas of docs/CAPACITY.md."""

import dataclasses
import json
import pathlib
from collections.abc import Callable
from typing import Any, Self

from pollenthread.core import membership

__all__ = ['Figure', 'SystemSize', 'UnitCosts', 'compute_figures']

_S_PER_US = 1e-6
_DAY_S = 86_400
_BYTES_PER_KB = 1000
_BYTES_PER_MB = 1_000_000


@dataclasses.dataclass(frozen=True)
class SystemSize:
    """The system size to design for, its intervals and its budgets.

    Attributes:
        entries: number of entry hosts.
        upstreams: number of upstreams.
        regions: number of regions.
        data_centres: number of data centres.
        requests_per_s: requests per second of the whole system.
        tokens_per_s: response tokens per second of the whole system.
        workspaces: number of workspaces.
        changes_per_day: configuration changes per day.
        restarts_per_day: restarts of entry hosts per day.
        bytes_per_token: size of a token on a link.
        serving_groups: number of groups of upstreams that an entry host uses.
        links_per_group: links of an entry host to each group.
        peer_links: links of an entry host to other entry hosts.
        ping_interval_s: interval of pings on a link.
        load_interval_s: interval of load reports on a link.
        config_poll_s: interval at which an entry host polls the configuration.
        account_interval_s: interval at which an entry host writes accounts.
        max_control_cores: budget of control for processor time, in cores.
        max_memory_mb: budget for the memory of a process.
        max_control_bytes_per_s: budget of control for traffic of a process.
        max_table_writes_per_s: budget for writes to the table.
        max_table_reads_per_s: budget for reads of the table.
    """

    entries: int = 400
    upstreams: int = 1300
    regions: int = 6
    data_centres: int = 21
    requests_per_s: float = 5700
    tokens_per_s: float = 1.7e6
    workspaces: int = 2400
    changes_per_day: int = 1700
    restarts_per_day: int = 610
    bytes_per_token: int = 160
    serving_groups: int = 4
    links_per_group: int = membership.UPSTREAM_SUBSET_SIZE
    peer_links: int = 2 * (membership.PEERS_IN_DATA_CENTRE +
                           membership.PEERS_IN_REGION +
                           5 * membership.PEERS_IN_OTHER_REGION)
    ping_interval_s: float = 1.0
    load_interval_s: float = 0.25
    config_poll_s: float = 1.0
    account_interval_s: float = 60
    max_control_cores: float = 0.027
    max_memory_mb: float = 64
    max_control_bytes_per_s: float = 30_000
    max_table_writes_per_s: float = 300
    max_table_reads_per_s: float = 2000

    @property
    def requests_per_entry(self) -> float:
        """Requests per second at one entry host."""
        return self.requests_per_s / self.entries

    @property
    def tokens_per_entry(self) -> float:
        """Tokens per second through one entry host."""
        return self.tokens_per_s / self.entries


class UnitCosts:
    """Measured values by name.

    Reading a missing value raises KeyError, which leaves the figure without
    a value.
    """

    def __init__(self, *, value_by_name: dict[str, float]) -> None:
        self._value_by_name = value_by_name

    def __getitem__(self, name: str) -> float:
        return self._value_by_name[name]

    @classmethod
    def load(cls, folder: pathlib.Path) -> Self:
        """Reads the JSON results of all benchmarks in a folder.

        The value of a row with a name and a value has the name of the row. Any
        other number in a named row has the name FILE.NAME.FIELD.
        """
        values: dict[str, float] = {}
        for path in sorted(folder.glob('*.json')):
            document: dict[str, Any] = json.loads(path.read_text('utf-8'))
            for row in document.get('rows', []):
                values.update(_row_values(path.stem, row))
        return cls(value_by_name=values)


def _row_values(stem: str, row: dict[str, Any]) -> dict[str, float]:
    name = row.get('name')
    if name is None:
        return {}
    if 'value' in row:
        return {name: float(row['value'])}
    return {
        f'{stem}.{name}.{field}': float(value)
        for field, value in row.items()
        if isinstance(value, int | float)
    }


@dataclasses.dataclass(frozen=True)
class Figure:
    """One derived figure.

    Attributes:
        role: the part of the system that the figure is about.
        what: what the figure is.
        formula: the formula in words, with the names of the unit costs.
        unit: unit of value and bound.
        value: the value, or None if a unit cost has not been measured.
        bound: the budget, or None.
    """

    role: str
    what: str
    formula: str
    unit: str
    value: float | None
    bound: float | None = None

    def as_row(self) -> dict[str, Any]:
        """Returns the figure as a row of the results."""
        return dataclasses.asdict(self)


_Formula = Callable[[UnitCosts, SystemSize], float]


def _link_messages_per_s(size: SystemSize) -> float:
    """Returns the pings and pongs of both ends of a link per second."""
    return 4 / size.ping_interval_s


def _full_mesh_links(size: SystemSize) -> int:
    return size.entries - 1 + size.upstreams


def _full_mesh_entry_messages_per_s(size: SystemSize) -> float:
    return (_full_mesh_links(size) * _link_messages_per_s(size) +
            size.upstreams / size.load_interval_s)


def _full_mesh_agent_messages_per_s(size: SystemSize) -> float:
    return size.entries * (_link_messages_per_s(size) +
                           1 / size.load_interval_s)


def _subset_upstream_links(size: SystemSize) -> int:
    """Returns the upstream links of an entry host."""
    return size.serving_groups * size.links_per_group


def _subset_entry_messages_per_s(size: SystemSize) -> float:
    upstream = _link_messages_per_s(size) + 1 / size.load_interval_s
    return (_subset_upstream_links(size) * upstream +
            size.peer_links * _link_messages_per_s(size))


def _agent_subset_messages_per_s(size: SystemSize) -> float:
    links = size.entries * _subset_upstream_links(size) / size.upstreams
    return links * (_link_messages_per_s(size) + 1 / size.load_interval_s)


def _message_bytes(unit_costs: UnitCosts) -> float:
    return unit_costs['ping_bytes'] + unit_costs['packet_header_bytes']


def _upstream_link_bytes_per_s(unit_costs: UnitCosts,
                               size: SystemSize) -> float:
    return _message_bytes(unit_costs) * (_link_messages_per_s(size) +
                                         1 / size.load_interval_s)


def _upstream_link_cores(unit_costs: UnitCosts, size: SystemSize) -> float:
    return unit_costs['link_message_us'] / 2 * _S_PER_US * (
        _link_messages_per_s(size) + 1 / size.load_interval_s)


def _configuration_bytes(unit_costs: UnitCosts, size: SystemSize) -> float:
    return unit_costs['workspace_document_bytes'] * size.workspaces


def _account_keys(size: SystemSize) -> float:
    """Returns the account keys that one host can use in one interval."""
    return min(size.requests_per_entry * size.account_interval_s,
               size.workspaces * 3)


def _account_row_bytes(unit_costs: UnitCosts, size: SystemSize) -> float:
    return unit_costs['account_key_bytes'] * _account_keys(size)


# Each row: role, what, formula in words, unit, function, bound.
_FORMULAS: list[tuple[
    str, str, str, str, _Formula, Callable[[SystemSize], float] | None]] = [
        ('entry', 'links, linked to all', 'entries - 1 + upstreams', 'links',
         lambda costs, size: _full_mesh_links(size), None),
        ('entry', 'control messages, linked to all',
         'links x 4 / ping interval + upstreams / load interval', '1/s',
         lambda costs, size: _full_mesh_entry_messages_per_s(size), None),
        ('entry', 'control CPU, linked to all',
         'control messages x link_message_us / 2', 'core',
         lambda costs, size: _full_mesh_entry_messages_per_s(size) * costs[
             'link_message_us'] / 2 * _S_PER_US,
         lambda size: size.max_control_cores),
        ('entry', 'control bytes, linked to all',
         'control messages x (ping_bytes + packet_header_bytes)', 'B/s',
         lambda costs, size: _full_mesh_entry_messages_per_s(size) *
         _message_bytes(costs), lambda size: size.max_control_bytes_per_s),
        ('entry', 'upstream links that 30 KB/s carry',
         'bound / (messages a link x message bytes)', 'links',
         lambda costs, size: size.max_control_bytes_per_s /
         _upstream_link_bytes_per_s(costs, size), None),
        ('entry', 'upstream links that 2.7% of a core carry',
         'bound / (messages a link x link_message_us / 2)', 'links',
         lambda costs, size: size.max_control_cores / _upstream_link_cores(
             costs, size), None),
        ('entry', 'links, as built',
         'serving groups x links a group + peer links', 'links',
         lambda costs, size: _subset_upstream_links(size) + size.peer_links,
         None),
        ('entry', 'control CPU, as built',
         '(upstream links x 8 + peer links x 4) x link_message_us / 2', 'core',
         lambda costs, size: _subset_entry_messages_per_s(size) * costs[
             'link_message_us'] / 2 * _S_PER_US,
         lambda size: size.max_control_cores),
        ('entry', 'control CPU, as built, with TLS',
         '(upstream links x 8 + peer links x 4) x link_message_tls_us / 2',
         'core', lambda costs, size: _subset_entry_messages_per_s(size) * costs[
             'link_message_tls_us'] / 2 * _S_PER_US,
         lambda size: size.max_control_cores),
        ('entry', 'control bytes, as built',
         '(upstream links x 8 + peer links x 4) x message bytes', 'B/s',
         lambda costs, size: _subset_entry_messages_per_s(size) *
         _message_bytes(costs), lambda size: size.max_control_bytes_per_s),
        ('agent', 'links, as built', 'entries x upstream links / upstreams',
         'links', lambda costs, size: size.entries * _subset_upstream_links(
             size) / size.upstreams, None),
        ('agent', 'control CPU, as built', 'links x 8 x link_message_us / 2',
         'core', lambda costs, size: _agent_subset_messages_per_s(size) * costs[
             'link_message_us'] / 2 * _S_PER_US,
         lambda size: size.max_control_cores),
        ('agent', 'control bytes, as built', 'links x 8 x message bytes', 'B/s',
         lambda costs, size: _agent_subset_messages_per_s(size) *
         _message_bytes(costs), lambda size: size.max_control_bytes_per_s),
        ('entry', 'account CPU', 'requests per entry x tally_request_us',
         'core', lambda costs, size: size.requests_per_entry * costs[
             'tally_request_us'] * _S_PER_US, None),
        ('entry', 'messages for answers, one token each',
         'tokens per entry x 2 (part and credit)', '1/s',
         lambda costs, size: size.tokens_per_entry * 2, None),
        ('entry', 'codec CPU for answers, one token each',
         'tokens per entry x (chunk_codec_us + ping_codec_us) / 2', 'core',
         lambda costs, size: size.tokens_per_entry *
         (costs['chunk_codec_us'] + costs['ping_codec_us']) / 2 * _S_PER_US,
         None),
        ('entry', 'memory before any state', 'imported_resident_mb', 'MB',
         lambda costs, size: costs['imported_resident_mb'],
         lambda size: size.max_memory_mb),
        ('entry', 'memory of targets and host list',
         'workspaces x workspace_held_bytes + (entries + upstreams) x '
         'listed_host_held_bytes', 'MB', lambda costs, size:
         (size.workspaces * costs['workspace_held_bytes'] +
          (size.entries + size.upstreams) * costs['listed_host_held_bytes'
                                                 ]) / _BYTES_PER_MB, None),
        ('entry', 'memory, sum of both rows above', 'sum', 'MB',
         lambda costs, size: costs['imported_resident_mb'] +
         (size.workspaces * costs['workspace_held_bytes'] +
          (size.entries + size.upstreams) * costs['listed_host_held_bytes']
         ) / _BYTES_PER_MB, lambda size: size.max_memory_mb),
        ('agent', 'links, linked to all', 'entries', 'links',
         lambda costs, size: size.entries, None),
        ('agent', 'control CPU, linked to all',
         'entries x messages a link x link_message_us / 2', 'core',
         lambda costs, size: _full_mesh_agent_messages_per_s(size) * costs[
             'link_message_us'] / 2 * _S_PER_US,
         lambda size: size.max_control_cores),
        ('agent', 'control bytes, linked to all',
         'entries x messages a link x message bytes', 'B/s', lambda costs, size:
         _full_mesh_agent_messages_per_s(size) * _message_bytes(costs),
         lambda size: size.max_control_bytes_per_s),
        ('account', 'CPU to encode rows at each entry host',
         'requests per entry x account_key_encode_us', 'core',
         lambda costs, size: size.requests_per_entry * costs[
             'account_key_encode_us'] * _S_PER_US, None),
        ('account', 'bytes to the table from each entry host',
         'requests per entry x account_key_bytes', 'B/s',
         lambda costs, size: size.requests_per_entry * costs[
             'account_key_bytes'], lambda size: size.max_control_bytes_per_s),
        ('account', 'rows a day after folding',
         'entries x 24 + restarts a day x 30', 'rows',
         lambda costs, size: size.entries * 24 + size.restarts_per_day * 30,
         None),
        ('account', 'seconds to read a day at half of the read budget',
         'rows a day / (reads / 2)', 's', lambda costs, size:
         (size.entries * 24 + size.restarts_per_day * 30) /
         (size.max_table_reads_per_s / 2), None),
        ('agent', 'requests', 'requests / upstreams', '1/s',
         lambda costs, size: size.requests_per_s / size.upstreams, None),
        ('configuration', 'size of the document',
         'workspaces x workspace_document_bytes', 'B', _configuration_bytes,
         None),
        ('configuration', 'bytes to each node',
         'changes a day x size of the document / 86,400', 'B/s',
         lambda costs, size: size.changes_per_day * _configuration_bytes(
             costs, size) / _DAY_S, lambda size: size.max_control_bytes_per_s),
        ('configuration', 'CPU to adopt at each node',
         'changes a day x workspaces x workspace_adopt_us / 86,400', 'core',
         lambda costs, size: size.changes_per_day * size.workspaces * costs[
             'workspace_adopt_us'] * _S_PER_US / _DAY_S,
         lambda size: size.max_control_cores),
        ('configuration', 'one pause of the loop while a version is adopted',
         'workspaces x workspace_adopt_us', 'ms', lambda costs, size: size.
         workspaces * costs['workspace_adopt_us'] / 1000, None),
        ('table', 'reads for configuration, every entry host polls',
         'entries / poll interval', '1/s',
         lambda costs, size: size.entries / size.config_poll_s,
         lambda size: size.max_table_reads_per_s),
        ('table', 'writes for configuration', 'changes a day x 2 / 86,400',
         '1/s', lambda costs, size: size.changes_per_day * 2 / _DAY_S,
         lambda size: size.max_table_writes_per_s),
        ('table', 'writes for the account', 'entries / account interval', '1/s',
         lambda costs, size: size.entries / size.account_interval_s,
         lambda size: size.max_table_writes_per_s),
        ('table', 'bytes of one account row at the peak',
         'requests per entry x account interval x account_key_bytes', 'B',
         _account_row_bytes, None),
        ('table', 'at-most-once requests that the rest carries',
         '(bound - account - configuration) / 2 writes', '1/s',
         lambda costs, size:
         (size.max_table_writes_per_s - size.entries / size.account_interval_s -
          size.changes_per_day * 2 / _DAY_S) / 2, None),
        ('table', 'reads after a cold restart of all',
         '(entries + upstreams) x 2', 'reads', lambda costs, size:
         (size.entries + size.upstreams) * 2, None),
        ('object store', 'configuration history a day',
         'changes a day x size of the document', 'MB',
         lambda costs, size: size.changes_per_day * _configuration_bytes(
             costs, size) / _BYTES_PER_MB, None),
        ('failures', 'seconds between restarts', '86,400 / restarts a day', 's',
         lambda costs, size: _DAY_S / size.restarts_per_day, None),
        ('failures', 'capacity in one data centre', '100 / data centres', '%',
         lambda costs, size: 100 / size.data_centres, None),
        ('failures', 'capacity in one region', '100 / regions', '%',
         lambda costs, size: 100 / size.regions, None),
    ]


def compute_figures(unit_costs: UnitCosts, size: SystemSize) -> list[Figure]:
    """Computes all figures.

    Args:
        unit_costs: the measured unit costs.
        size: the system size.
    """
    result = []
    for role, what, formula, unit, compute, bound in _FORMULAS:
        try:
            value: float | None = compute(unit_costs, size)
        except KeyError as error:
            value = None
            formula = f'{formula} ({error.args[0]} is not measured)'
        bound_value = None if bound is None else bound(size)
        result.append(Figure(role, what, formula, unit, value, bound_value))
    return result
