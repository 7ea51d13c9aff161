"""The `pollenthread` command and its subcommands."""

import asyncio
import dataclasses
import pathlib
import sys
from collections.abc import Callable, Sequence

from absl import flags, logging

import pollenthread
from pollenthread.adapters import settings
from pollenthread.app import targets_document
from pollenthread.cli import (commands, config_checker, exit_codes,
                              request_explanation)
from pollenthread.roles import agent, entry

__all__ = ['run']

_HELP_FLAG = flags.DEFINE_boolean('help', False, 'Print help and exit.')
_JSON_FLAG = flags.DEFINE_boolean('json', False, 'Same as --format=json.')


@dataclasses.dataclass(frozen=True)
class _Command:
    """Definition of a subcommand.

    Attributes:
        words: words of the command line that select the subcommand.
        arguments: names of the positional arguments, for the help text.
        summary: short description for the help text.
        example: example command line.
        run: function that is called with the positional arguments.
        formats: supported values of --format.
    """

    words: tuple[str, ...]
    arguments: tuple[str, ...]
    summary: str
    example: str
    run: Callable[..., None]
    formats: tuple[str, ...] = ('table', 'json')

    @property
    def usage(self) -> str:
        """Words and argument names, for the help text."""
        return ' '.join((*self.words, *self.arguments))


def _explain(request_id: str) -> None:
    explanation = request_explanation.explain_request(request_id, sys.stdin)
    for line in explanation.lines:
        print(line)
    print(explanation.verdict)


def _version() -> None:
    print(pollenthread.__version__)


def _run_entry(path: str) -> None:
    config = settings.load_process_settings(pathlib.Path(path))
    if not isinstance(config, settings.EntrySettings):
        raise targets_document.InvalidDocument(
            f'{path}:1: role: found {config.role} (allowed: entry)')
    asyncio.run(entry.run(config))


def _run_agent(path: str) -> None:
    config = settings.load_process_settings(pathlib.Path(path))
    if not isinstance(config, settings.AgentSettings):
        raise targets_document.InvalidDocument(
            f'{path}:1: role: found {config.role} (allowed: agent)')
    asyncio.run(agent.run(config))


_COMMANDS = (
    _Command(('entry',), ('FILE',), 'run an entry host',
             'pollenthread entry examples/buna/entry.yaml', _run_entry,
             ('table',)),
    _Command(('agent',), ('FILE',), 'run the agent of an upstream host',
             'pollenthread agent examples/buna/agent.yaml', _run_agent,
             ('table',)),
    _Command(('check',), ('FILE',),
             'check settings, targets or a configuration before it is sent',
             'pollenthread check examples/buna/targets.yaml --against=old.yaml',
             config_checker.check),
    _Command(('config', 'get'), (), 'print the newest targets',
             'pollenthread config get --workspace=mugs', commands.config_get),
    _Command(('config', 'set'), ('FILE',), 'publish targets from a file',
             'pollenthread config set mugs.yaml --workspace=mugs --base=41',
             commands.config_set),
    _Command(('config', 'history'), (),
             'print the changes of each version with their authors',
             'pollenthread config history', commands.config_history),
    _Command(('config', 'diff'), ('OLDER', 'NEWER'),
             'print the differences between two versions',
             'pollenthread config diff 41 42', commands.config_diff),
    _Command(('config', 'rollback-as-new-version'), ('VERSION',),
             'publish an old version as a new one',
             'pollenthread config rollback-as-new-version 41',
             commands.config_rollback),
    _Command(('drain',), ('HOST',), 'take a host out of service',
             'pollenthread drain buna-model-1', commands.drain),
    _Command(('undrain',), ('HOST',), 'put a drained host back into service',
             'pollenthread undrain buna-model-1', commands.undrain),
    _Command(('evacuate',), ('DATA_CENTRE',), 'empty a data centre',
             'pollenthread evacuate addis-a', commands.evacuate),
    _Command(('restore',), ('DATA_CENTRE',), 'use an emptied data centre again',
             'pollenthread restore addis-a', commands.restore),
    _Command(('status',), (), 'print the status of hosts and upstreams',
             'pollenthread status --admin=10.0.1.11:9090', commands.status),
    _Command(('report',), (), 'print the report of requests and costs',
             'pollenthread report --days=7 --format=html --output=week.html',
             commands.report, ('table', 'json', 'html')),
    _Command(('trace',), ('ID',), 'print the spans of one request',
             'pollenthread trace 4bf92f3577b34da6a3ce929d0e0e4736',
             commands.trace),
    _Command(('explain',), ('ID',),
             'explain the outcome of a request from logs on standard input',
             'cat *.log | pollenthread explain 9c41d07be2a35f68', _explain,
             ('table',)),
    _Command(('version',), (), 'print the version', 'pollenthread version',
             _version, ('table',)),
)


def run() -> None:
    """Runs the command line and exits."""
    try:
        _main(sys.argv)
    except targets_document.InvalidDocument as error:
        _exit(exit_codes.ExitCode.INVALID, str(error))
    except exit_codes.CommandError as error:
        _exit(error.code, str(error))
    except flags.Error as error:
        _exit(exit_codes.ExitCode.USAGE, f'{error}; see `pollenthread --help`.')
    except KeyboardInterrupt:
        _exit(exit_codes.ExitCode.FAILED, 'Interrupted.')
    except BrokenPipeError:
        sys.stderr.close()
        sys.exit(exit_codes.ExitCode.FAILED)


def _exit(code: exit_codes.ExitCode, message: str) -> None:
    print(f'pollenthread: {message}', file=sys.stderr)
    sys.exit(code)


def _main(argv: Sequence[str]) -> None:
    flags.FLAGS.set_gnu_getopt(True)
    args = flags.FLAGS(argv)[1:]
    logging.use_absl_handler()
    if 'verbosity' not in flags.FLAGS or not flags.FLAGS['verbosity'].present:
        logging.set_verbosity(logging.INFO)
    command = _find_command(args)
    if _JSON_FLAG.value:
        flags.FLAGS['format'].value = 'json'
    if _HELP_FLAG.value or args[:1] == ['help']:
        print(_format_command_help(command) if command else _format_help())
        return
    if command is None:
        raise exit_codes.CommandError(exit_codes.ExitCode.USAGE,
                                      _describe_usage_error(args))
    values = args[len(command.words):]
    if len(values) != len(command.arguments):
        raise exit_codes.CommandError(
            exit_codes.ExitCode.USAGE,
            f'Use it as `pollenthread {command.usage}`.')
    if commands.FORMAT.value not in command.formats:
        raise exit_codes.CommandError(
            exit_codes.ExitCode.USAGE, f'`{" ".join(command.words)}` prints '
            f'{" or ".join(command.formats)}: change --format.')
    command.run(*values)


def _find_command(args: Sequence[str]) -> _Command | None:
    words = tuple(args[1:] if args[:1] == ['help'] else args)
    for command in _COMMANDS:
        if words[:len(command.words)] == command.words:
            return command
    return None


def _describe_usage_error(args: Sequence[str]) -> str:
    first_word = args[0] if args else ''
    usages = [
        c.usage for c in _COMMANDS if first_word and c.words[0] == first_word
    ]
    if usages:
        return f'Use one of: {"; ".join(usages)}.'
    return (f'There is no command {first_word!r}' if first_word else
            'Give a command') + '; see `pollenthread --help`.'


def _format_help() -> str:
    width = max(len(command.usage) for command in _COMMANDS)
    usages = '\n'.join(
        f'  {c.usage.ljust(width)}  {c.summary}' for c in _COMMANDS)
    examples = '\n'.join(f'  {c.example}' for c in _COMMANDS
                         if c.words[0] in ('check', 'report', 'drain'))
    return (f'Usage: pollenthread COMMAND [FLAGS]\n\n{usages}\n\n'
            f'Flags:\n{_format_flags_help()}\n\nExamples:\n{examples}\n\n'
            f'Exit status:\n{exit_codes.format_help()}\n\n'
            '`pollenthread help COMMAND` shows the help of one command.')


def _format_command_help(command: _Command) -> str:
    text = (f'Usage: pollenthread {command.usage} [FLAGS]\n\n'
            f'  {command.summary}\n\nExample:\n  {command.example}\n')
    if len(command.formats) > 1:
        text += (f'\nFlags:\n{_format_flags_help()}\n\n'
                 f'--format takes {", ".join(command.formats)} here.\n')
    return text + f'\nExit status:\n{exit_codes.format_help()}'


def _format_flags_help() -> str:
    command_flags = [
        flag for module in (commands, config_checker,
                            'pollenthread.cli.admin_client')
        for flag in flags.FLAGS.get_key_flags_for_module(
            module if isinstance(module, str) else module.__name__)
    ]
    return '\n'.join(f'  --{flag.name}: {flag.help}' for flag in command_flags)
