"""The `pollenthread` command and its subcommands."""

import asyncio
import pathlib
import sys
from collections.abc import Sequence

from absl import app, logging

import pollenthread
from pollenthread.adapters import settings
from pollenthread.app import targets_document
from pollenthread.roles import agent, entry

__all__ = ['run']

_USAGE = """Usage: pollenthread COMMAND ...

  entry FILE     run an entry host with the settings in FILE
  agent FILE     run an agent with the settings in FILE
  check FILE     check a file of settings or targets
  version        print the version
"""
_EXIT_OK = 0
_EXIT_USAGE = 2
_EXIT_INVALID = 3


def run() -> None:
    """Runs the command line and exits."""
    app.run(_main)


def _main(args: Sequence[str]) -> int:
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    try:
        return _dispatch(list(args[1:]))
    except targets_document.InvalidDocument as error:
        print(error, file=sys.stderr)
        return _EXIT_INVALID


def _dispatch(args: list[str]) -> int:
    match args:
        case ['version']:
            print(pollenthread.__version__)
        case ['entry' | 'agent' as role, path]:
            _run_role(role, pathlib.Path(path))
        case ['check', path]:
            _check(pathlib.Path(path))
        case _:
            print(_USAGE, file=sys.stderr)
            return _EXIT_USAGE
    return _EXIT_OK


def _run_role(role: str, path: pathlib.Path) -> None:
    config = settings.load_process(path)
    if config.role != role:
        raise targets_document.InvalidDocument(
            f'{path}: role: expected {role}, found {config.role}')
    if isinstance(config, settings.EntrySettings):
        asyncio.run(entry.run(config))
    else:
        asyncio.run(agent.run(config))


def _check(path: pathlib.Path) -> None:
    settings.check_file(path)
    print(f'{path}: valid')
