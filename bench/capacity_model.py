"""The formulas of docs/CAPACITY.md: sizes, slopes and what they give."""

import dataclasses
import json
import pathlib
from collections.abc import Callable
from typing import Any, Self

from pollenthread.core import membership

__all__ = ['Figure', 'Fleet', 'Slopes', 'figures']

_US = 1e-6
_DAY_S = 86_400
_KB = 1000
_MB = 1_000_000


@dataclasses.dataclass(frozen=True)
class Fleet:
    """The size to design for, and what the code does at its intervals."""

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
    control_core: float = 0.027
    memory_mb: float = 64
    control_bytes_per_s: float = 30_000
    table_writes_per_s: float = 300
    table_reads_per_s: float = 2000

    @property
    def requests_per_entry(self) -> float:
        """Requests a second at one entry host."""
        return self.requests_per_s / self.entries

    @property
    def tokens_per_entry(self) -> float:
        """Tokens a second through one entry host."""
        return self.tokens_per_s / self.entries


class Slopes:
    """Measured values by name; reading a missing one leaves a figure open."""

    def __init__(self, *, value_by_name: dict[str, float]) -> None:
        self._value_by_name = value_by_name

    def __getitem__(self, name: str) -> float:
        return self._value_by_name[name]

    @classmethod
    def load(cls, folder: pathlib.Path) -> Self:
        """Reads every JSON file that a bench wrote.

        A row with a name and a value is known by its name; any other number of
        a named row is known as FILE.NAME.FIELD.
        """
        values: dict[str, float] = {}
        for path in sorted(folder.glob('*.json')):
            document: dict[str, Any] = json.loads(path.read_text('utf-8'))
            for row in document.get('rows', []):
                values.update(_values(path.stem, row))
        return cls(value_by_name=values)


def _values(stem: str, row: dict[str, Any]) -> dict[str, float]:
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
        role: whose figure it is.
        what: what is counted.
        formula: how it is worked out, with the names of the slopes.
        unit: the unit of value and bound.
        value: the figure, or None when a slope is not measured.
        bound: the budget, or None.
    """

    role: str
    what: str
    formula: str
    unit: str
    value: float | None
    bound: float | None = None

    def as_row(self) -> dict[str, Any]:
        """The figure as a row of a bench's result."""
        return dataclasses.asdict(self)


_Formula = Callable[[Slopes, Fleet], float]


def _link_messages_per_s(fleet: Fleet) -> float:
    """Pings and pongs of both ends."""
    return 4 / fleet.ping_interval_s


def _links(fleet: Fleet) -> int:
    return fleet.entries - 1 + fleet.upstreams


def _entry_messages_per_s(fleet: Fleet) -> float:
    return (_links(fleet) * _link_messages_per_s(fleet) +
            fleet.upstreams / fleet.load_interval_s)


def _agent_messages_per_s(fleet: Fleet) -> float:
    return fleet.entries * (_link_messages_per_s(fleet) +
                            1 / fleet.load_interval_s)


def _subset_links(fleet: Fleet) -> int:
    """Upstream links of an entry host."""
    return fleet.serving_groups * fleet.links_per_group


def _subset_messages_per_s(fleet: Fleet) -> float:
    upstream = _link_messages_per_s(fleet) + 1 / fleet.load_interval_s
    return (_subset_links(fleet) * upstream +
            fleet.peer_links * _link_messages_per_s(fleet))


def _agent_subset_messages_per_s(fleet: Fleet) -> float:
    links = fleet.entries * _subset_links(fleet) / fleet.upstreams
    return links * (_link_messages_per_s(fleet) + 1 / fleet.load_interval_s)


def _message_bytes(slopes: Slopes) -> float:
    return slopes['ping_bytes'] + slopes['packet_header_bytes']


def _upstream_link_bytes_per_s(slopes: Slopes, fleet: Fleet) -> float:
    return _message_bytes(slopes) * (_link_messages_per_s(fleet) +
                                     1 / fleet.load_interval_s)


def _upstream_link_core(slopes: Slopes, fleet: Fleet) -> float:
    return slopes['link_message_us'] / 2 * _US * (_link_messages_per_s(fleet) +
                                                  1 / fleet.load_interval_s)


def _document_bytes(slopes: Slopes, fleet: Fleet) -> float:
    return slopes['workspace_document_bytes'] * fleet.workspaces


def _account_keys(fleet: Fleet) -> float:
    """Workspaces and classes that one interval of one host can touch."""
    return min(fleet.requests_per_entry * fleet.account_interval_s,
               fleet.workspaces * 3)


def _account_row_bytes(slopes: Slopes, fleet: Fleet) -> float:
    return slopes['account_key_bytes'] * _account_keys(fleet)


# One line each: role, what, formula in words, unit, function, bound.
_ROWS: list[tuple[
    str, str, str, str, _Formula, Callable[[Fleet], float] | None]] = [
        ('entry', 'links, linked to all', 'entries - 1 + upstreams', 'links',
         lambda s, f: _links(f), None),
        ('entry', 'control messages, linked to all',
         'links x 4 / ping interval + upstreams / load interval', '1/s',
         lambda s, f: _entry_messages_per_s(f), None),
        ('entry', 'control CPU, linked to all',
         'control messages x link_message_us / 2', 'core',
         lambda s, f: _entry_messages_per_s(f) * s['link_message_us'] / 2 * _US,
         lambda f: f.control_core),
        ('entry', 'control bytes, linked to all',
         'control messages x (ping_bytes + packet_header_bytes)', 'B/s',
         lambda s, f: _entry_messages_per_s(f) * _message_bytes(s),
         lambda f: f.control_bytes_per_s),
        ('entry', 'upstream links that 30 KB/s carry',
         'bound / (messages a link x message bytes)', 'links',
         lambda s, f: f.control_bytes_per_s / _upstream_link_bytes_per_s(s, f),
         None),
        ('entry', 'upstream links that 2.7% of a core carry',
         'bound / (messages a link x link_message_us / 2)', 'links',
         lambda s, f: f.control_core / _upstream_link_core(s, f), None),
        ('entry', 'links, as built',
         'serving groups x links a group + peer links', 'links',
         lambda s, f: _subset_links(f) + f.peer_links, None),
        ('entry', 'control CPU, as built',
         '(upstream links x 8 + peer links x 4) x link_message_us / 2', 'core',
         lambda s, f: _subset_messages_per_s(f) * s[
             'link_message_us'] / 2 * _US, lambda f: f.control_core),
        ('entry', 'control CPU, as built, with TLS',
         '(upstream links x 8 + peer links x 4) x link_message_tls_us / 2',
         'core', lambda s, f: _subset_messages_per_s(f) * s[
             'link_message_tls_us'] / 2 * _US, lambda f: f.control_core),
        ('entry', 'control bytes, as built',
         '(upstream links x 8 + peer links x 4) x message bytes', 'B/s',
         lambda s, f: _subset_messages_per_s(f) * _message_bytes(s),
         lambda f: f.control_bytes_per_s),
        ('agent', 'links, as built', 'entries x upstream links / upstreams',
         'links', lambda s, f: f.entries * _subset_links(f) / f.upstreams,
         None),
        ('agent', 'control CPU, as built', 'links x 8 x link_message_us / 2',
         'core', lambda s, f: _agent_subset_messages_per_s(f) * s[
             'link_message_us'] / 2 * _US, lambda f: f.control_core),
        ('agent', 'control bytes, as built', 'links x 8 x message bytes', 'B/s',
         lambda s, f: _agent_subset_messages_per_s(f) * _message_bytes(s),
         lambda f: f.control_bytes_per_s),
        ('entry', 'account CPU', 'requests per entry x tally_request_us',
         'core',
         lambda s, f: f.requests_per_entry * s['tally_request_us'] * _US, None),
        ('entry', 'messages for answers, one token each',
         'tokens per entry x 2 (part and credit)', '1/s',
         lambda s, f: f.tokens_per_entry * 2, None),
        ('entry', 'codec CPU for answers, one token each',
         'tokens per entry x (chunk_codec_us + ping_codec_us) / 2', 'core',
         lambda s, f: f.tokens_per_entry *
         (s['chunk_codec_us'] + s['ping_codec_us']) / 2 * _US, None),
        ('entry', 'memory before any state', 'imported_resident_mb', 'MB',
         lambda s, f: s['imported_resident_mb'], lambda f: f.memory_mb),
        ('entry', 'memory of targets and host list',
         'workspaces x workspace_held_bytes + (entries + upstreams) x '
         'listed_host_held_bytes', 'MB', lambda s, f:
         (f.workspaces * s['workspace_held_bytes'] +
          (f.entries + f.upstreams) * s['listed_host_held_bytes']) / _MB, None),
        ('entry', 'memory, sum of both rows above', 'sum', 'MB',
         lambda s, f: s['imported_resident_mb'] +
         (f.workspaces * s['workspace_held_bytes'] +
          (f.entries + f.upstreams) * s['listed_host_held_bytes']) / _MB,
         lambda f: f.memory_mb),
        ('agent', 'links, linked to all', 'entries', 'links',
         lambda s, f: f.entries, None),
        ('agent', 'control CPU, linked to all',
         'entries x messages a link x link_message_us / 2', 'core',
         lambda s, f: _agent_messages_per_s(f) * s['link_message_us'] / 2 * _US,
         lambda f: f.control_core),
        ('agent', 'control bytes, linked to all',
         'entries x messages a link x message bytes', 'B/s',
         lambda s, f: _agent_messages_per_s(f) * _message_bytes(s),
         lambda f: f.control_bytes_per_s),
        ('account', 'CPU to encode rows at each entry host',
         'requests per entry x account_key_encode_us', 'core',
         lambda s, f: f.requests_per_entry * s['account_key_encode_us'] * _US,
         None),
        ('account', 'bytes to the table from each entry host',
         'requests per entry x account_key_bytes', 'B/s',
         lambda s, f: f.requests_per_entry * s['account_key_bytes'],
         lambda f: f.control_bytes_per_s),
        ('account', 'rows a day after folding',
         'entries x 24 + restarts a day x 30', 'rows',
         lambda s, f: f.entries * 24 + f.restarts_per_day * 30, None),
        ('account', 'seconds to read a day at half of the read budget',
         'rows a day / (reads / 2)', 's', lambda s, f:
         (f.entries * 24 + f.restarts_per_day * 30) /
         (f.table_reads_per_s / 2), None),
        ('agent', 'requests', 'requests / upstreams', '1/s',
         lambda s, f: f.requests_per_s / f.upstreams, None),
        ('configuration', 'size of the document',
         'workspaces x workspace_document_bytes', 'B', _document_bytes, None),
        ('configuration', 'bytes to each node',
         'changes a day x size of the document / 86,400', 'B/s',
         lambda s, f: f.changes_per_day * _document_bytes(s, f) / _DAY_S,
         lambda f: f.control_bytes_per_s),
        ('configuration', 'CPU to adopt at each node',
         'changes a day x workspaces x workspace_adopt_us / 86,400', 'core',
         lambda s, f: f.changes_per_day * f.workspaces * s[
             'workspace_adopt_us'] * _US / _DAY_S, lambda f: f.control_core),
        ('configuration', 'one pause of the loop while a version is adopted',
         'workspaces x workspace_adopt_us', 'ms',
         lambda s, f: f.workspaces * s['workspace_adopt_us'] / 1000, None),
        ('table', 'reads for configuration, every entry host polls',
         'entries / poll interval', '1/s',
         lambda s, f: f.entries / f.config_poll_s,
         lambda f: f.table_reads_per_s),
        ('table', 'writes for configuration', 'changes a day x 2 / 86,400',
         '1/s', lambda s, f: f.changes_per_day * 2 / _DAY_S,
         lambda f: f.table_writes_per_s),
        ('table', 'writes for the account', 'entries / account interval', '1/s',
         lambda s, f: f.entries / f.account_interval_s,
         lambda f: f.table_writes_per_s),
        ('table', 'bytes of one account row at the peak',
         'requests per entry x account interval x account_key_bytes', 'B',
         _account_row_bytes, None),
        ('table', 'at-most-once requests that the rest carries',
         '(bound - account - configuration) / 2 writes', '1/s', lambda s, f:
         (f.table_writes_per_s - f.entries / f.account_interval_s - f.
          changes_per_day * 2 / _DAY_S) / 2, None),
        ('table', 'reads after a cold restart of all',
         '(entries + upstreams) x 2', 'reads', lambda s, f:
         (f.entries + f.upstreams) * 2, None),
        ('object store', 'configuration history a day',
         'changes a day x size of the document', 'MB',
         lambda s, f: f.changes_per_day * _document_bytes(s, f) / _MB, None),
        ('failures', 'seconds between restarts', '86,400 / restarts a day', 's',
         lambda s, f: _DAY_S / f.restarts_per_day, None),
        ('failures', 'capacity in one data centre', '100 / data centres', '%',
         lambda s, f: 100 / f.data_centres, None),
        ('failures', 'capacity in one region', '100 / regions', '%',
         lambda s, f: 100 / f.regions, None),
    ]


def figures(slopes: Slopes, fleet: Fleet) -> list[Figure]:
    """Works every figure out."""
    made = []
    for role, what, formula, unit, compute, bound in _ROWS:
        try:
            value: float | None = compute(slopes, fleet)
        except KeyError as missing:
            value = None
            formula = f'{formula} ({missing.args[0]} is not measured)'
        limit = None if bound is None else bound(fleet)
        made.append(Figure(role, what, formula, unit, value, limit))
    return made
