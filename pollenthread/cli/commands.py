"""The subcommands that talk to the administration port."""

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
    'config_set', 'drain', 'report', 'write_result', 'status', 'trace', 'undrain'
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
    """Prints a result, or writes it to the file that --output names."""
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


def _show_json(value: Any) -> None:
    write_result(json.dumps(value, indent=2, ensure_ascii=False) + '\n')


def _is_json() -> bool:
    return FORMAT.value == 'json'


def status() -> None:
    """Prints who is alive, leaving and stale."""
    found = admin_client.call('GET', '/v1/status')
    if _is_json():
        _show_json(found)
        return
    upstreams = found.pop('upstreams', {})
    facts = [(name, _plain(value)) for name, value in found.items()]
    text = text_tables.format_table('Entry host', ('what', 'value'), facts)
    names = sorted({name for row in upstreams.values() for name in row})
    rows = [(host, *(_plain(row.get(name))
                     for name in names))
            for host, row in sorted(upstreams.items())]
    write_result(text + '\n' + text_tables.format_table('Upstreams', ('host', *names), rows))


def _plain(value: Any) -> Any:
    if isinstance(value, dict | list):
        return json.dumps(value, ensure_ascii=False)
    return value


def config_get() -> None:
    """Prints the newest targets."""
    found = admin_client.call('GET', '/v1/config')
    if _WORKSPACE.value is not None:
        found['document'] = _workspace(found['document'], _WORKSPACE.value)
    if _is_json():
        _show_json(found)
        return
    text = yaml.safe_dump(found['document'], sort_keys=False)
    write_result(f'# version {found["version"]}\n{text}')


def _workspace(document: dict[str, Any], name: str) -> Any:
    try:
        return document['workspaces'][name]
    except KeyError as error:
        raise exit_codes.CommandError(
            exit_codes.ExitCode.NOT_FOUND,
            f'There is no workspace {name} that your key may see.') from error


def config_set(path: str) -> None:
    """Publishes targets from a YAML or JSON file."""
    document = dict(yaml_document.load(pathlib.Path(path)).value)
    base = _base()
    if _WORKSPACE.value is None:
        target = f'/v1/config?base={base}'
    else:
        name = parse.quote(_WORKSPACE.value, safe='')
        target = f'/v1/workspaces/{name}?base={base}'
    _show_version(admin_client.call('PUT', target, document))


def _base() -> int:
    if _BASE.value is not None:
        return _BASE.value
    newest: int = admin_client.call('GET', '/v1/config')['version']
    return newest


def _show_version(found: dict[str, Any]) -> None:
    if _is_json():
        _show_json(found)
    else:
        write_result(f'version {found["version"]} is accepted')


def config_history() -> None:
    """Prints who changed what, from which version."""
    found = admin_client.call('GET', '/v1/config/history')
    if _is_json():
        _show_json(found)
        return
    rows = [(entry['version'], entry['from_version'], entry['author'],
             change['path'], _plain(change['before']), _plain(change['after']))
            for entry in found
            for change in entry['changes']]
    write_result(
        text_tables.format_table('Changes',
                      ('version', 'from', 'who', 'what', 'before', 'after'),
                      rows))


def config_diff(older: str, newer: str) -> None:
    """Prints what differs between two versions."""
    low, high = _number(older), _number(newer)
    found = admin_client.call('GET', f'/v1/config/diff?from={low}&to={high}')
    if _is_json():
        _show_json(found)
        return
    rows = [(change['path'], _plain(change['before']), _plain(change['after']))
            for change in found]
    write_result(
        text_tables.format_table(f'Version {low} to {high}', ('what', 'before', 'after'),
                      rows))


def config_rollback(version: str) -> None:
    """Publishes an old version as a new one."""
    target = f'/v1/config/rollback?to={_number(version)}&base={_base()}'
    _show_version(admin_client.call('POST', target))


def _number(text: str) -> int:
    if not text.isdecimal():
        raise exit_codes.CommandError(
            exit_codes.ExitCode.USAGE,
            f'{text} is no version: give a whole number from '
            '`pollenthread config history`.')
    return int(text)


def drain(host: str) -> None:
    """Takes a host out of service."""
    found = admin_client.call('PUT', f'/v1/hosts/{_quote(host)}/drain')
    _show_version(found)


def undrain(host: str) -> None:
    """Takes a host into service again."""
    found = admin_client.call('DELETE', f'/v1/hosts/{_quote(host)}/drain')
    _show_version(found)


def _quote(name: str) -> str:
    return parse.quote(name, safe='')


def report() -> None:
    """Prints the account for both departments."""
    found = admin_client.call('GET', f'/v1/report?days={_DAYS.value}')
    if _is_json():
        _show_json(found)
    elif FORMAT.value == 'html':
        write_result(report_html.to_html(found))
    else:
        write_result(report_tables.to_text(found))


def trace(trace_id: str) -> None:
    """Prints the spans of one request."""
    found = admin_client.call('GET', f'/v1/traces/{_quote(trace_id)}')
    if _is_json():
        _show_json(found)
        return
    rows = [(span['name'], span['began_ms'], span['took_ms'], span['host'],
             _plain(span['attributes'])) for span in found]
    write_result(
        text_tables.format_table(f'Trace {trace_id}',
                      ('span', 'began ms', 'took ms', 'host', 'attributes'),
                      rows))
