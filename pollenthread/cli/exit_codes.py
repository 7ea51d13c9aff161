"""Exit statuses of the command line."""

import enum

from pollenthread.core import errors

__all__ = ['CommandError', 'ExitCode', 'exit_code_for', 'format_help']


class ExitCode(enum.IntEnum):
    """Exit status of the `pollenthread` command."""

    OK = 0
    FAILED = 1
    USAGE = 2
    INVALID = 3
    NOT_PERMITTED = 4
    CONFLICT = 5
    UNAVAILABLE = 6
    NOT_FOUND = 7
    WARNINGS = 8


_DESCRIPTIONS = {
    ExitCode.OK:
        'done',
    ExitCode.FAILED:
        'the command failed because of an internal error',
    ExitCode.USAGE:
        'the command line is invalid',
    ExitCode.INVALID:
        'settings or targets are invalid; nothing was changed',
    ExitCode.NOT_PERMITTED:
        'the key is missing, invalid, or lacks the permission',
    ExitCode.CONFLICT:
        'the version has changed meanwhile; nothing was changed',
    ExitCode.UNAVAILABLE:
        'an address or the table service does not respond',
    ExitCode.NOT_FOUND:
        'there is no such version, host, trace or file',
    ExitCode.WARNINGS:
        'the checked file is valid, but parts of it have no effect',
}

_EXIT_CODE_BY_KIND = {
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


class CommandError(Exception):
    """A command failed; its message is printed to standard error.

    Attributes:
        code: exit status of the command.
    """

    def __init__(self, code: ExitCode, message: str) -> None:
        super().__init__(message)
        self.code = code


def exit_code_for(error_kind: str) -> ExitCode:
    """Returns the exit status for an error kind of the administration API."""
    try:
        return _EXIT_CODE_BY_KIND.get(errors.ErrorKind(error_kind),
                                      ExitCode.FAILED)
    except ValueError:
        return ExitCode.FAILED


def format_help() -> str:
    """Returns the list of exit statuses for the help text."""
    return '\n'.join(f'  {code.value}  {description}'
                     for code, description in _DESCRIPTIONS.items())
