"""The subcommand that checks a configuration before it is sent."""

import dataclasses
import json
import pathlib
import re
from collections.abc import Callable, Mapping, Sequence
from typing import Any

from absl import flags

from pollenthread.adapters import settings, yaml_document
from pollenthread.cli import admin_client, commands, exit_codes
from pollenthread.core import document_diff
from pollenthread.core.configuration import config_check
from pollenthread.platform import config_check as platform_check

__all__ = ['check']

_AGAINST = flags.DEFINE_string(
    'against', None, 'File or IP:PORT (an administration port) with the '
    'version in force, for `check`.')
_ADDRESS = re.compile(r'[0-9.]+:[0-9]+')


@dataclasses.dataclass(frozen=True)
class _Report:
    """What was found in a file.

    Attributes:
        path: the file.
        findings: the findings with their lines.
        changes: the differences to the version in force.
    """

    path: str
    findings: Sequence[tuple[int | None, config_check.Finding]]
    changes: Sequence[document_diff.DocumentChange]

    def to_json(self) -> dict[str, Any]:
        """Returns the report as a JSON object."""
        return {
            'file': self.path,
            'findings': [{
                'line': line,
                'path': _format_location(finding.location),
                'severity': finding.severity.value,
                'rule': finding.rule,
                'message': finding.message
            } for line, finding in self.findings],
            'changes': [dataclasses.asdict(change) for change in self.changes]
        }

    def to_text(self) -> str:
        """Returns the report as lines of text."""
        lines = [
            f'{self.path}:{line or 1}: {_format_location(finding.location)}: '
            f'{finding.severity.value}: {finding.message} [{finding.rule}]'
            for line, finding in self.findings
        ]
        lines += [
            f'changed: {change.path}: {json.dumps(change.before)} -> '
            f'{json.dumps(change.after)}' for change in self.changes
        ]
        return '\n'.join(lines or [f'{self.path}: valid'])

    @property
    def exit_code(self) -> exit_codes.ExitCode:
        """The exit status for the worst finding."""
        severities = {finding.severity for _, finding in self.findings}
        if config_check.Severity.ERROR in severities:
            return exit_codes.ExitCode.INVALID
        if severities:
            return exit_codes.ExitCode.WARNINGS
        return exit_codes.ExitCode.OK


def _format_location(location: config_check.Location) -> str:
    text = ''
    for key in location:
        if isinstance(key, int):
            text += f'[{key}]'
        else:
            text += f'.{key}' if text else key
    return text


def check(path: str) -> None:
    """Checks settings, targets, or a configuration of the platform.

    Raises:
        InvalidDocument: the file cannot be read, or it holds invalid settings
            or targets.
        CommandError: there are findings, or the version in force cannot be
            read.
    """
    document = yaml_document.load(pathlib.Path(path))
    in_force = None if _AGAINST.value is None else _load_in_force(
        _AGAINST.value)
    comparable: Callable[[Mapping[str, Any]], dict[str, Any]] = dict
    if 'routes' in document.value or 'services' in document.value:
        findings = platform_check.check(document.value, in_force)
        comparable = platform_check.comparable_document
    else:
        findings = _check_own_format(pathlib.Path(path), document)
    report = _Report(path, _sort_by_line(document, findings),
                     () if in_force is None else document_diff.diff_documents(
                         comparable(in_force), comparable(document.value)))
    if commands.FORMAT.value == 'json':
        commands.write_result(json.dumps(report.to_json(), indent=2))
    else:
        commands.write_result(report.to_text())
    if report.exit_code is not exit_codes.ExitCode.OK:
        raise exit_codes.CommandError(
            report.exit_code,
            f'{path}: {len(report.findings)} problems were found.')


def _check_own_format(
        path: pathlib.Path,
        document: yaml_document.YamlDocument) -> list[config_check.Finding]:
    """Checks settings, which have no findings of their own, or targets.

    Raises:
        InvalidDocument: they are not valid.
    """
    if 'workspaces' not in document.value:
        settings.validate_file(path)
        return []
    targets = settings.load_targets(path).to_targets(0)
    return list(config_check.check_targets(targets))


def _sort_by_line(
    document: yaml_document.YamlDocument, findings: list[config_check.Finding]
) -> list[tuple[int | None, config_check.Finding]]:
    located = [(document.line_of(f.location), f) for f in findings]
    return sorted(located, key=lambda item: item[0] or 0)


def _load_in_force(source: str) -> Mapping[str, Any]:
    if not _ADDRESS.fullmatch(source):
        return yaml_document.load(pathlib.Path(source)).value
    flags.FLAGS['admin'].value = source
    document: dict[str, Any] = admin_client.call('GET',
                                                 '/v1/config')['document']
    return document
