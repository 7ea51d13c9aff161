"""Runs the command line with `python -m pollenthread`."""

import sys


def _run() -> None:
    """Loads only what the subcommand needs: restarts wait for imports."""
    # pylint: disable=import-outside-toplevel
    if sys.argv[1:2] == ['platform']:
        from pollenthread.cli import platform_main
        platform_main.run(sys.argv[2:])
    else:
        from pollenthread.cli import main
        main.run()


if __name__ == '__main__':
    _run()
