"""Generates documentation pages from the code.

    python -m tests.pages --write    writes the pages
    python -m tests.pages            fails if a page is outdated
"""

import argparse
import json
import pathlib
import sys
from collections.abc import Callable

from pollenthread.adapters import admin_api
from pollenthread.core import errors, log_events

__all__: list[str] = []

_DOCS = pathlib.Path(__file__).resolve().parent.parent / 'docs'
_EXECUTED_TEXTS = {
    errors.Executed.NO: 'it did not run',
    errors.Executed.YES: 'it ran',
    errors.Executed.UNKNOWN: 'not known',
}


def _render_error_kinds() -> str:
    lines = [
        '# Kinds of errors', '',
        'Generated from `pollenthread/core/errors.py` by '
        '`python -m tests.pages --write`.', '',
        'Every failure that a caller or an operator sees is one of these. The '
        'answer is a problem document (RFC 9457) with `kind`, `status`, '
        '`title`, `detail` and `ran`. A request may carry a better proof of '
        'whether it ran than its kind alone: read `ran` in the answer.', '',
        '| kind | status | what the caller is told | did it run? '
        '| repeat after | connection |', '|---|---|---|---|---|---|'
    ]
    for kind in errors.ErrorKind:
        response = errors.ERROR_RESPONSES[kind]
        retry_after = ('' if response.retry_after_s is None else
                       f'{response.retry_after_s} s')
        lines.append(f'| `{kind.value}` | {response.status} | {response.title} '
                     f'| {_EXECUTED_TEXTS[response.executed]} | {retry_after} '
                     f'| {"closed" if response.close else "kept"} |')
    return '\n'.join(lines) + '\n'


def _render_events() -> str:
    lines = [
        '# Events of the structured log', '',
        'Generated from `pollenthread/core/log_events.py` by '
        '`python -m tests.pages --write`.', '',
        'Each line on standard output is one JSON object: `t` (steady seconds '
        'of the process), `host`, `event`, and its own fields. `id` is the '
        "request's id.", '', '| event | meaning |', '|---|---|'
    ]
    for event in log_events.LogEvent:
        lines.append(f'| `{event.event_name}` | {event.meaning} |')
    return '\n'.join(lines) + '\n'


def _render_openapi() -> str:
    return json.dumps(admin_api.openapi(), indent=2) + '\n'


_RENDERER_BY_PAGE: dict[str, Callable[[], str]] = {
    'EVENTS.md': _render_events,
    'KINDS.md': _render_error_kinds,
    'openapi.json': _render_openapi,
}


def main() -> int:
    """Writes or checks the pages.

    Returns:
        The exit status: 1 if a page is outdated, otherwise 0.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--write', action='store_true')
    args = parser.parse_args()
    status = 0
    for name, render in _RENDERER_BY_PAGE.items():
        path = _DOCS / name
        if args.write:
            path.write_text(render(), 'utf-8')
        elif not path.exists() or path.read_text('utf-8') != render():
            print(
                f'docs/{name} is outdated: run '
                '`python -m tests.pages --write`',
                file=sys.stderr)
            status = 1
    return status


if __name__ == '__main__':
    sys.exit(main())
