"""Formats tables as text for a terminal."""

from collections.abc import Sequence
from typing import Any

__all__ = ['format_table']


def format_table(title: str, headings: Sequence[str],
                 rows: Sequence[Sequence[Any]]) -> str:
    """Formats a title and aligned columns; numeric columns align right."""
    if not rows:
        return f'{title}: none\n'
    cells = [[_format_cell(value) for value in row] for row in rows]
    widths = [
        max(len(heading), *(len(row[i])
                            for row in cells))
        for i, heading in enumerate(headings)
    ]
    is_number = [
        all(isinstance(row[i], int | float | None)
            for row in rows)
        for i in range(len(headings))
    ]
    lines = [title, _format_row(headings, widths, is_number)]
    lines.append('  ' + '  '.join('-' * width for width in widths))
    lines += [_format_row(row, widths, is_number) for row in cells]
    return '\n'.join(lines) + '\n'


def _format_row(cells: Sequence[str], widths: Sequence[int],
                is_number: Sequence[bool]) -> str:
    padded = (cell.rjust(width) if right else cell.ljust(width)
              for cell, width, right in zip(cells, widths, is_number))
    return ('  ' + '  '.join(padded)).rstrip()


def _format_cell(value: Any) -> str:
    if value is None:
        return '-'
    if isinstance(value, bool):
        return 'yes' if value else 'no'
    if isinstance(value, float):
        return f'{value:.3f}'
    if isinstance(value, int):
        return f'{value:,}'
    return str(value)
