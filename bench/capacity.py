"""Works out docs/CAPACITY.md from measured slopes.

    python -m bench.capacity            prints the derived figures
    python -m bench.capacity --write    writes them into the page
    python -m bench.capacity --check    fails when the page has drifted

Every figure is a formula over the sizes in `bench.capacity_model` and the JSON
in docs/measurements/. A slope that no bench has measured yet leaves its figure
open, and the page says which bench is missing.
"""

import argparse
import pathlib
import sys

from bench import capacity_model as model, common

__all__: list[str] = []

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_PAGE = _ROOT / 'docs' / 'CAPACITY.md'
_MEASUREMENTS = _ROOT / 'docs' / 'measurements'
_BEGIN = '<!-- derived: begin -->\n'
_END = '<!-- derived: end -->\n'


def _number(value: float | None) -> str:
    if value is None:
        return 'not measured'
    if value >= 100:
        return f'{value:,.0f}'
    return f'{value:.3g}'


def _verdict(figure: model.Figure) -> str:
    if figure.value is None or figure.bound is None:
        return ''
    bound = f'{_number(figure.bound)} {figure.unit}'
    if figure.value <= figure.bound:
        return f'within {bound}'
    return f'**missed: {figure.value / figure.bound:.1f} times {bound}**'


def _rows(figures: list[model.Figure]) -> str:
    lines = [
        '| role | what | formula | figure | bound |', '|---|---|---|---|---|'
    ]
    for figure in figures:
        value = _number(figure.value)
        if figure.value is not None:
            value = f'{value} {figure.unit}'
        lines.append(f'| {figure.role} | {figure.what} | {figure.formula} '
                     f'| {value} | {_verdict(figure)} |')
    return '\n'.join(lines) + '\n'


def _page_with(figures: list[model.Figure]) -> str:
    text = _PAGE.read_text('utf-8')
    head, _, rest = text.partition(_BEGIN)
    _, _, tail = rest.partition(_END)
    return f'{head}{_BEGIN}\n{_rows(figures)}\n{_END}{tail}'


def _targets(figures: list[model.Figure]) -> list[common.Target]:
    return [
        common.Target(f'{f.role}: {f.what}', f.bound, f.value, f.value
                      <= f.bound)
        for f in figures
        if f.value is not None and f.bound is not None
    ]


def main() -> int:
    """Prints, writes or checks the page.

    Returns:
        The exit status: 1 when the page has drifted.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--quick', action='store_true')
    parser.add_argument('--write', action='store_true')
    parser.add_argument('--check', action='store_true')
    args = parser.parse_args()
    slopes = model.Slopes.load(_MEASUREMENTS)
    figures = model.figures(slopes, model.Fleet())
    page = _page_with(figures)
    if args.write:
        _PAGE.write_text(page, 'utf-8')
    if args.check and page != _PAGE.read_text('utf-8'):
        print(
            'docs/CAPACITY.md has drifted: run '
            '`python -m bench.capacity --write`',
            file=sys.stderr)
        return 1
    print(_rows(figures))
    common.emit(args.seed, [f.as_row() for f in figures], _targets(figures))
    return 0


if __name__ == '__main__':
    sys.exit(main())
