"""Subcommands that the users' platform runs: `platform entry` and `agent`."""

import asyncio
import sys
from collections.abc import Sequence

__all__ = ['run']

_USAGE = 'usage: pollenthread platform entry | agent'
_EXIT_USAGE = 2
_EXIT_INVALID = 3


def run(arguments: Sequence[str]) -> None:
    """Runs the process of one role.

    Exits with status 2 for invalid arguments and 3 for invalid settings.
    """
    # Only the modules of the role are imported, since imports delay a restart.
    # pylint: disable=import-outside-toplevel
    from pollenthread.platform import process_settings
    try:
        if list(arguments) == ['entry']:
            from pollenthread.roles import platform_entry
            asyncio.run(platform_entry.run())
        elif list(arguments) == ['agent']:
            from pollenthread.roles import platform_agent
            asyncio.run(platform_agent.run())
        else:
            print(_USAGE, file=sys.stderr)
            sys.exit(_EXIT_USAGE)
    except process_settings.SettingsError as error:
        print(f'pollenthread: {error}', file=sys.stderr)
        sys.exit(_EXIT_INVALID)
