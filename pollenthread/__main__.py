"""Entry point of `python -m pollenthread`."""

import sys


def _run() -> None:
    """Runs the command line.

    Imports only the modules of the subcommand, since imports delay a restart.
    """
    # pylint: disable=import-outside-toplevel
    if sys.argv[1:2] == ['platform']:
        from pollenthread.roles import reload_signal
        reload_signal.PENDING.listen()
        from pollenthread.cli import platform_main
        platform_main.run(sys.argv[2:])
    else:
        from pollenthread.cli import main
        main.run()


if __name__ == '__main__':
    _run()
