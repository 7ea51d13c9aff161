"""Checks the operator's configuration document before it is sent.

Unlike decoding, this finds all problems and not only the first one.
"""

import dataclasses
import functools
from collections.abc import Callable, Iterator, Mapping
from typing import Any, TypeVar

from pollenthread.core import routing_config
from pollenthread.core.configuration import config_check
from pollenthread.platform import config_document, field_reader

__all__ = ['check', 'comparable_document']

_SHOWN_KEY_CHARS = 4
_LISTS_BY_NAME = ('routes', 'services', 'tenants')

# Only the names that differ from those of the data classes.
_FIELD_BY_NAME = {
    'workspaces': 'tenants',
    'timeout_s': 'timeout_ms',
    'max_gap_s': 'gap_aim_ms',
    'shares': 'traffic_split',
    'is_resumable': 'can_resume',
    'is_public': 'public',
    'kv_cache_tokens': 'kv_capacity_tokens',
    'header_timeout_s': 'header_timeout_ms',
    'idle_timeout_s': 'idle_timeout_ms'
}

_T = TypeVar('_T')


class _Collector:
    """Decodes entries and collects the errors.

    Attributes:
        findings: the errors.
    """

    def __init__(self) -> None:
        self.findings: list[config_check.Finding] = []

    def decode(self, location: config_check.Location,
               decode: Callable[[], _T]) -> _T | None:
        """Returns what a function decodes; None if that fails."""
        try:
            return decode()
        except field_reader.FieldError as error:
            path, _, message = str(error).partition(' ')
            location = _parse_path(path)
        except KeyError as error:
            location = (*location, 'kind')
            message = f'there is no kind {error}'
        self.findings.append(
            config_check.Finding(location, config_check.Severity.ERROR,
                                 'invalid', message))
        return None

    def decode_all(
            self, document: field_reader.FieldReader, name: str,
            decode: Callable[[field_reader.FieldReader], _T]) -> dict[int, _T]:
        """Returns the valid entries of a list by their position."""
        if not document.has(name):
            self.findings.append(
                config_check.Finding((name,), config_check.Severity.ERROR,
                                     'invalid', 'is missing'))
            return {}
        entries = self.decode((name,), lambda: document.get_objects(name)) or []
        decoded = {}
        for index, entry in enumerate(entries):
            value = self.decode((name, index), functools.partial(decode, entry))
            if value is not None:
                decoded[index] = value
        return decoded


def _parse_path(path: str) -> config_check.Location:
    """Returns the keys of a path such as `routes[3].name`."""
    keys: list[str | int] = []
    for part in path.replace('[', '.').replace(']', '').split('.'):
        keys.append(int(part) if part.isdecimal() else part)
    return tuple(keys)


def check(
        document: Mapping[str, Any],
        in_force: Mapping[str, Any] | None = None
) -> list[config_check.Finding]:
    """Returns the problems of a document.

    Args:
        document: the document, decoded from JSON.
        in_force: the document that it follows, if that is known.
    """
    reader = field_reader.FieldReader(document)
    collector = _Collector()
    routes = collector.decode_all(reader, 'routes',
                                  config_document.decode_route)
    services = collector.decode_all(reader, 'services',
                                    config_document.decode_service)
    workspaces = None
    if reader.has('tenants'):
        workspaces = list(
            collector.decode_all(reader, 'tenants', _decode_workspace).values())
    limits = collector.decode(
        ('limits',),
        lambda: config_document.decode_limits(reader.get_object('limits')))
    version = collector.decode(('version',),
                               lambda: reader.get_int('version', least=0))
    collector.findings += map(
        _rename_fields, _check_decoded(routes, services, workspaces, limits))
    if version is not None and in_force is not None:
        collector.findings += config_check.check_version(
            version,
            field_reader.FieldReader(in_force).get_int('version', 0))
    return collector.findings


def _rename_fields(finding: config_check.Finding) -> config_check.Finding:
    """Returns a finding whose location has the names of the document."""
    return dataclasses.replace(
        finding,
        location=tuple(
            _FIELD_BY_NAME.get(str(key), key) for key in finding.location))


def _check_decoded(
    routes: dict[int,
                 routing_config.Route], services: dict[int,
                                                       routing_config.Service],
    workspaces: list[config_check.NamedWorkspace] | None,
    limits: routing_config.CallerLimits | None
) -> Iterator[config_check.Finding]:
    used = frozenset(
        share.service for route in routes.values() for share in route.shares)
    yield from config_check.check_routes(
        routes, [service.name for service in services.values()], workspaces)
    yield from config_check.check_services(services, used)
    if workspaces is not None:
        yield from config_check.check_workspaces(workspaces)
    if limits is not None:
        yield from config_check.check_limits(limits)


def _decode_workspace(
        tenant: field_reader.FieldReader) -> config_check.NamedWorkspace:
    return config_check.NamedWorkspace(tenant.get_str('name'),
                                       tenant.get_strs('api_keys'),
                                       tenant.has('priority'))


def comparable_document(document: Mapping[str, Any]) -> dict[str, Any]:
    """Returns a document whose lists are by name, for a comparison.

    Of API keys only the beginning is shown.
    """
    comparable = dict(document)
    for name in _LISTS_BY_NAME:
        entries = document.get(name)
        if not isinstance(entries, list):
            continue
        by_name = {}
        for index, entry in enumerate(entries):
            if isinstance(entry, Mapping):
                by_name[str(entry.get('name', index))] = _hide_keys(entry)
        comparable[name] = by_name
    return comparable


def _hide_keys(entry: Mapping[str, Any]) -> dict[str, Any]:
    hidden = dict(entry)
    keys = hidden.get('api_keys')
    if isinstance(keys, list):
        hidden['api_keys'] = [
            f'{str(key)[:_SHOWN_KEY_CHARS]}...' for key in keys
        ]
    return hidden
