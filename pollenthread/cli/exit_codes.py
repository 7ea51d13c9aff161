"""What the command's exit status tells."""

import enum

from pollenthread.core import errors

__all__ = ['CommandFailed', 'ExitCode', 'code_for', 'table']


class ExitCode(enum.IntEnum):
    """The exit status."""

    OK = 0
    FAILED = 1
    USAGE = 2
    INVALID = 3
    NOT_PERMITTED = 4
    CONFLICT = 5
    UNAVAILABLE = 6
    NOT_FOUND = 7


_MEANINGS = {
    ExitCode.OK: 'done',
    ExitCode.FAILED: 'the command failed in a way that is a fault of ours',
    ExitCode.USAGE: 'the command line was not understood',
    ExitCode.INVALID: 'settings or targets are not valid; nothing was changed',
    ExitCode.NOT_PERMITTED: 'the key is missing, wrong, or does not permit it',
    ExitCode.CONFLICT: 'somebody else changed it first; nothing was changed',
    ExitCode.UNAVAILABLE: 'an address or the table service does not answer',
    ExitCode.NOT_FOUND: 'there is no such version, host, trace or file',
}

_CODE_BY_KIND = {
    errors.ErrorKind.INVALID_TARGETS: ExitCode.INVALID,
    errors.ErrorKind.BAD_JSON: ExitCode.INVALID,
    errors.ErrorKind.BAD_HEADER: ExitCode.USAGE,
    errors.ErrorKind.NOT_AUTHENTICATED: ExitCode.NOT_PERMITTED,
    errors.ErrorKind.NOT_PERMITTED: ExitCode.NOT_PERMITTED,
    errors.ErrorKind.CONFLICT: ExitCode.CONFLICT,
    errors.ErrorKind.TABLE_UNAVAILABLE: ExitCode.UNAVAILABLE,
    errors.ErrorKind.OUTCOME_UNKNOWN: ExitCode.UNAVAILABLE,
    errors.ErrorKind.NOT_FOUND: ExitCode.NOT_FOUND,
}


class CommandFailed(Exception):
    """The command ends with one sentence on standard error."""

    def __init__(self, code: ExitCode, sentence: str) -> None:
        super().__init__(sentence)
        self.code = code


def code_for(kind: str) -> ExitCode:
    """The exit status for a problem that the administration port names."""
    try:
        return _CODE_BY_KIND.get(errors.ErrorKind(kind), ExitCode.FAILED)
    except ValueError:
        return ExitCode.FAILED


def table() -> str:
    """The exit statuses for the help text."""
    return '\n'.join(
        f'  {code.value}  {meaning}' for code, meaning in _MEANINGS.items())
