"""Runs the command line with `python -m pollenthread`."""

from pollenthread.cli import main

if __name__ == '__main__':
    main.run()
