"""Subcommands that call the administration port."""

import json
import pathlib
from typing import Any
from urllib import parse

import yaml
from absl import flags

from pollenthread.adapters import yaml_document
from pollenthread.cli import (admin_client, exit_codes, report_html,
                              report_tables, text_tables)

__all__ = [
    'config_diff', 'config_get', 'config_history', 'config_rollback',
    'config_set', 'drain', 'evacuate', 'report', 'restore', 'status', 'trace',
    'undrain', 'write_result'
]

FORMAT = flags.DEFINE_enum('format', 'table', ['table', 'json', 'html'],
                           'How results are printed; html is for `report`.')
_BASE = flags.DEFINE_integer(
    'base', None, 'Version that the change starts from; else the newest.')
_WORKSPACE = flags.DEFINE_string('workspace', None,
                                 'Change or show only this workspace.')
_DAYS = flags.DEFINE_integer('days', 1, 'Days of the report, today included.')
_OUTPUT = flags.DEFINE_string('output', None,
                              'File for the result; else standard output.')


def write_result(text: str) -> None:
    """Prints a result, or writes it to the file given by --output.

    Raises:
        CommandError: the file cannot be written.
    """
    if _OUTPUT.value is None:
        print(text.rstrip('\n'))
        return
    try:
        pathlib.Path(_OUTPUT.value).write_text(text, 'utf-8')
    except OSError as error:
        raise exit_codes.CommandError(
            exit_codes.ExitCode.NOT_FOUND,
            f'The result cannot be written: {error}.') from error
    print(f'written: {_OUTPUT.value}')


def _write_json(value: Any) -> None:
    write_result(json.dumps(value, indent=2, ensure_ascii=False) + '\n')


def _is_json() -> bool:
    return FORMAT.value == 'json'


def status() -> None:
    """Prints the status of an entry host and of its upstreams."""
    host_status = admin_client.call('GET', '/v1/status')
    if _is_json():
        _write_json(host_status)
        return
    upstreams = host_status.pop('upstreams', {})
    host_rows = [(name, _to_cell(value)) for name, value in host_status.items()]
    text = text_tables.format_table('Entry host', ('what', 'value'), host_rows)
    field_names = sorted({name for row in upstreams.values() for name in row})
    rows = [(host, *(_to_cell(row.get(name))
                     for name in field_names))
            for host, row in sorted(upstreams.items())]
    write_result(text + '\n' +
                 text_tables.format_table('Upstreams', ('host',
                                                        *field_names), rows))


def _to_cell(value: Any) -> Any:
    if isinstance(value, dict | list):
        return json.dumps(value, ensure_ascii=False)
    return value


def config_get() -> None:
    """Prints the newest targets."""
    config = admin_client.call('GET', '/v1/config')
    if _WORKSPACE.value is not None:
        config['document'] = _get_workspace(config['document'],
                                            _WORKSPACE.value)
    if _is_json():
        _write_json(config)
        return
    text = yaml.safe_dump(config['document'], sort_keys=False)
    write_result(f'# version {config["version"]}\n{text}')


def _get_workspace(document: dict[str, Any], name: str) -> Any:
    try:
        return document['workspaces'][name]
    except KeyError as error:
        raise exit_codes.CommandError(
            exit_codes.ExitCode.NOT_FOUND,
            f'There is no workspace {name} that your key may see.') from error


def config_set(path: str) -> None:
    """Publishes targets from a YAML or JSON file."""
    document = dict(yaml_document.load(pathlib.Path(path)).value)
    base = _get_base_version()
    if _WORKSPACE.value is None:
        target = f'/v1/config?base={base}'
    else:
        name = parse.quote(_WORKSPACE.value, safe='')
        target = f'/v1/workspaces/{name}?base={base}'
    _print_version(admin_client.call('PUT', target, document))


def _get_base_version() -> int:
    if _BASE.value is not None:
        return _BASE.value
    newest: int = admin_client.call('GET', '/v1/config')['version']
    return newest


def _print_version(config: dict[str, Any]) -> None:
    if _is_json():
        _write_json(config)
    else:
        write_result(f'version {config["version"]} is accepted')


def config_history() -> None:
    """Prints the changes of each version, with author and base version."""
    versions = admin_client.call('GET', '/v1/config/history')
    if _is_json():
        _write_json(versions)
        return
    rows = [(entry['version'], entry['from_version'], entry['author'],
             change['path'], _to_cell(change['before']),
             _to_cell(change['after']))
            for entry in versions
            for change in entry['changes']]
    write_result(
        text_tables.format_table(
            'Changes', ('version', 'from', 'who', 'what', 'before', 'after'),
            rows))


def config_diff(older: str, newer: str) -> None:
    """Prints the differences between two versions."""
    older_version, newer_version = _parse_version(older), _parse_version(newer)
    changes = admin_client.call(
        'GET', f'/v1/config/diff?from={older_version}&to={newer_version}')
    if _is_json():
        _write_json(changes)
        return
    rows = [(change['path'], _to_cell(change['before']),
             _to_cell(change['after'])) for change in changes]
    write_result(
        text_tables.format_table(f'Version {older_version} to {newer_version}',
                                 ('what', 'before', 'after'), rows))


def config_rollback(version: str) -> None:
    """Publishes an old version as a new one."""
    target = (f'/v1/config/rollback?to={_parse_version(version)}'
              f'&base={_get_base_version()}')
    _print_version(admin_client.call('POST', target))


def _parse_version(text: str) -> int:
    if not text.isdecimal():
        raise exit_codes.CommandError(
            exit_codes.ExitCode.USAGE,
            f'{text} is not a version: give an integer from '
            '`pollenthread config history`.')
    return int(text)


def drain(host: str) -> None:
    """Takes a host out of service."""
    config = admin_client.call('PUT', f'/v1/hosts/{_quote(host)}/drain')
    _print_version(config)


def undrain(host: str) -> None:
    """Puts a drained host back into service."""
    config = admin_client.call('DELETE', f'/v1/hosts/{_quote(host)}/drain')
    _print_version(config)


def evacuate(data_centre: str) -> None:
    """Empties a data centre: its upstreams get no new work."""
    config = admin_client.call(
        'PUT', f'/v1/data-centres/{_quote(data_centre)}/evacuation')
    _print_version(config)


def restore(data_centre: str) -> None:
    """Uses the upstreams of an emptied data centre again."""
    config = admin_client.call(
        'DELETE', f'/v1/data-centres/{_quote(data_centre)}/evacuation')
    _print_version(config)


def _quote(name: str) -> str:
    return parse.quote(name, safe='')


def report() -> None:
    """Prints the report of requests, for operators, and costs, for payers."""
    document = admin_client.call('GET', f'/v1/report?days={_DAYS.value}')
    if _is_json():
        _write_json(document)
    elif FORMAT.value == 'html':
        write_result(report_html.to_html(document))
    else:
        write_result(report_tables.to_text(document))


def trace(trace_id: str) -> None:
    """Prints the spans of one request."""
    spans = admin_client.call('GET', f'/v1/traces/{_quote(trace_id)}')
    if _is_json():
        _write_json(spans)
        return
    rows = [(span['name'], span['began_ms'], span['took_ms'], span['host'],
             _to_cell(span['attributes'])) for span in spans]
    write_result(
        text_tables.format_table(
            f'Trace {trace_id}',
            ('span', 'began ms', 'took ms', 'host', 'attributes'), rows))
