"""Finds entries of a configuration that are valid but cannot do what they say.

These are entries that never match, and limits that contradict each other.
"""

import collections
import dataclasses
import enum
from collections.abc import Iterator, Mapping, Sequence

from pollenthread.core import routing_config, targets

__all__ = [
    'Finding', 'Location', 'NamedWorkspace', 'Severity', 'check_limits',
    'check_routes', 'check_services', 'check_targets', 'check_version',
    'check_workspaces'
]

Location = tuple[str | int, ...]
"""The keys that lead to a value of a document."""

# Times that callers of the product's own interface get if they name none.
_DEFAULT_TIMEOUT_MS = 30_000


class Severity(enum.Enum):
    """How bad a finding is.

    An error is rejected or breaks requests; a warning has no effect.
    """

    ERROR = 'error'
    WARNING = 'warning'


@dataclasses.dataclass(frozen=True)
class Finding:
    """A problem of a configuration.

    Attributes:
        location: the keys that lead to the value, with the names of the data
            classes.
        severity: how bad it is.
        rule: a short name of the kind of problem.
        message: the problem, for an operator.
    """

    location: Location
    severity: Severity
    rule: str
    message: str


@dataclasses.dataclass(frozen=True)
class NamedWorkspace:
    """A workspace with its API keys.

    Attributes:
        name: its name.
        api_keys: the keys of its callers.
        has_priority: whether it has a priority of its own.
    """

    name: str
    api_keys: Sequence[str]
    has_priority: bool


def _error(location: Location, rule: str, message: str) -> Finding:
    return Finding(location, Severity.ERROR, rule, message)


def _warning(location: Location, rule: str, message: str) -> Finding:
    return Finding(location, Severity.WARNING, rule, message)


def check_version(version: int, version_in_force: int) -> Iterator[Finding]:
    """Checks that a version can follow another one."""
    if version <= version_in_force:
        yield _error(('version',), 'old-version',
                     f'version {version_in_force} is in force; an older or '
                     'equal one is not applied')


def check_routes(
        route_by_index: Mapping[int, routing_config.Route],
        service_names: Sequence[str],
        workspaces: Sequence[NamedWorkspace] | None) -> Iterator[Finding]:
    """Checks routes.

    Args:
        route_by_index: the valid routes by their position in the document.
        service_names: the names of the services.
        workspaces: the workspaces; None if no keys are required.
    """
    index_by_match: dict[tuple[str, str], int] = {}
    index_by_name: dict[str, int] = {}
    for index, route in route_by_index.items():
        match = (route.host, route.path_prefix)
        covering = index_by_match.setdefault(match, index)
        if covering != index:
            yield _error(
                ('routes', index, 'path_prefix'), 'covered',
                'never matches: route '
                f'{route_by_index[covering].name or covering} has the same '
                'host and prefix')
        first = index_by_name.setdefault(route.name, index)
        if route.name and first != index:
            yield _error(('routes', index, 'name'), 'duplicate-name',
                         f'route {first} has this name')
        yield from _check_match(index, route)
        yield from _check_shares(index, route, service_names)
        yield from _check_times(index, route)
        yield from _check_unused_fields(index, route, workspaces)


def _check_match(index: int, route: routing_config.Route) -> Iterator[Finding]:
    prefix = route.path_prefix
    if not (prefix.startswith('/') and prefix.endswith('/')):
        yield _error(('routes', index, 'path_prefix'), 'never-matches',
                     'a prefix begins and ends with a slash')
    if route.host != route.host.lower() or ':' in route.host:
        yield _error(('routes', index, 'host'), 'never-matches',
                     'hosts are compared in lower case and without a port')


def _check_shares(index: int, route: routing_config.Route,
                  service_names: Sequence[str]) -> Iterator[Finding]:
    if not route.shares:
        yield _error(('routes', index, 'shares'), 'no-service',
                     'all weights are 0, so no service gets requests')
    for share in route.shares:
        if share.service not in service_names:
            yield _error(('routes', index, 'service'), 'unknown-service',
                         f'there is no service {share.service!r}')


def _check_times(index: int, route: routing_config.Route) -> Iterator[Finding]:
    if route.timeout_s <= 0:
        yield _error(('routes', index, 'timeout_s'), 'no-time',
                     'all requests time out at once')
    elif route.timeout_s < route.target_s:
        yield _error(('routes', index, 'timeout_s'), 'timeout-under-target',
                     f'requests time out before the target of '
                     f'{route.target_s * 1000:g} ms')
    elif route.max_attempts > 1 and (route.max_attempts * route.target_s
                                     > route.timeout_s):
        yield _warning(
            ('routes', index, 'max_attempts'), 'attempts-beyond-timeout',
            f'{route.max_attempts} attempts of {route.target_s * 1000:g} ms '
            f'exceed the timeout of {route.timeout_s * 1000:g} ms')
    if route.max_gap_s > route.timeout_s > 0:
        yield _error(('routes', index, 'max_gap_s'), 'timeout-under-target',
                     'a pause may be longer than the timeout')


def _check_unused_fields(
        index: int, route: routing_config.Route,
        workspaces: Sequence[NamedWorkspace] | None) -> Iterator[Finding]:
    if route.kind is not routing_config.RequestKind.STREAM:
        if route.is_resumable:
            yield _warning(('routes', index, 'is_resumable'), 'no-effect',
                           'only streams are resumed')
        if route.max_gap_s:
            yield _warning(('routes', index, 'max_gap_s'), 'no-effect',
                           'only streams have pauses')
    if workspaces is None:
        if route.is_public:
            yield _warning(('routes', index, 'is_public'), 'no-effect',
                           'no route needs a key')
    elif (route.priority and not route.is_public and workspaces and
          all(workspace.has_priority for workspace in workspaces)):
        yield _warning(('routes', index, 'priority'), 'overridden',
                       'each workspace has a priority, which goes first')


def check_services(service_by_index: Mapping[int, routing_config.Service],
                   used_names: frozenset[str]) -> Iterator[Finding]:
    """Checks services.

    Args:
        service_by_index: the valid services by their position.
        used_names: the names of the services that routes name.
    """
    index_by_name: dict[str, int] = {}
    for index, service in service_by_index.items():
        first = index_by_name.setdefault(service.name, index)
        if first != index:
            yield _error(('services', index, 'name'), 'duplicate-name',
                         f'service {first} has this name')
        if service.name not in used_names:
            yield _warning(('services', index, 'name'), 'unused',
                           'no route leads to this service')
        if service.max_connections < 1:
            yield _error(('services', index, 'max_connections'), 'no-room',
                         'no connection is allowed')
        engine = service.engine
        if engine is not None and engine.kv_cache_tokens and (
                engine.mean_prompt_tokens + engine.mean_output_tokens
                > engine.kv_cache_tokens):
            yield _error(('services', index, 'engine', 'kv_cache_tokens'),
                         'no-room', 'a usual request is larger than the memory')


def check_workspaces(workspaces: Sequence[NamedWorkspace]) -> Iterator[Finding]:
    """Checks workspaces and their keys."""
    owner_by_key: dict[str, int] = {}
    index_by_name: dict[str, int] = {}
    for index, workspace in enumerate(workspaces):
        first = index_by_name.setdefault(workspace.name, index)
        if first != index:
            yield _error(('workspaces', index, 'name'), 'duplicate-name',
                         f'workspace {first} has this name')
        if not workspace.api_keys:
            yield _warning(('workspaces', index, 'api_keys'), 'never-matches',
                           'nobody has a key of this workspace')
        for number, key in enumerate(workspace.api_keys):
            owner = owner_by_key.setdefault(key, index)
            if owner != index:
                yield _error(('workspaces', index, 'api_keys', number),
                             'covered',
                             f'workspace {workspaces[owner].name} has this key')


def check_limits(limits: routing_config.CallerLimits) -> Iterator[Finding]:
    """Checks the limits of callers."""
    for name, value in (('max_header_bytes', limits.max_header_bytes),
                        ('max_body_bytes', limits.max_body_bytes),
                        ('header_timeout_s', limits.header_timeout_s),
                        ('idle_timeout_s', limits.idle_timeout_s)):
        if value <= 0:
            yield _error(('limits', name), 'no-room', 'nothing is allowed')
    if 0 < limits.idle_timeout_s < limits.header_timeout_s:
        yield _warning(('limits', 'idle_timeout_s'), 'idle-under-head',
                       'connections close sooner than a head may take')


def check_targets(document: targets.Targets) -> Iterator[Finding]:
    """Checks targets of the product's own format."""
    for workspace in document.workspace_by_name.values():
        for work_class in workspace.class_by_name.values():
            location = ('workspaces', workspace.name, 'classes',
                        work_class.name)
            yield from _check_latency(location, workspace, work_class)
        importances = collections.Counter(
            c.importance for c in workspace.class_by_name.values())
        if importances[targets.Importance.HIGH] == len(
                workspace.class_by_name) > 1:
            yield _warning(('workspaces', workspace.name, 'classes'),
                           'overridden',
                           'all classes have high importance, so none goes '
                           'first')


def _check_latency(location: Location, workspace: targets.WorkspaceTargets,
                   work_class: targets.WorkClass) -> Iterator[Finding]:
    latency = work_class.latency
    if latency.first_token_ms is not None and not workspace.models:
        yield _warning((*location, 'latency', 'first_token_ms'),
                       'never-matches',
                       'the workspace has no models, and services do not '
                       'stream tokens')
    if (latency.answer_ms is not None and
            latency.between_tokens_ms is not None and
            latency.between_tokens_ms > latency.answer_ms):
        yield _error((*location, 'latency', 'between_tokens_ms'),
                     'timeout-under-target',
                     'a pause may be longer than the answer')
    if (latency.answer_ms is not None and latency.first_token_ms is None and
            latency.answer_ms > _DEFAULT_TIMEOUT_MS):
        yield _warning((*location, 'latency', 'answer_ms'),
                       'timeout-under-target',
                       'requests without x-timeout-ms end after '
                       f'{_DEFAULT_TIMEOUT_MS} ms')
