"""Computes the figures of docs/CAPACITY.md from measured unit costs.

    python -m bench.capacity            prints the derived figures
    python -m bench.capacity --write    writes them into the page
    python -m bench.capacity --check    fails if the page is out of date

Each figure is a formula over the system size in `bench.capacity_model` and the
unit costs in docs/measurements/. If a unit cost has not been measured, its
figures have no value, and the page names the missing unit cost.
"""

import argparse
import json
import pathlib
import sys

from bench import capacity_model as model, common

__all__: list[str] = []

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_PAGE = _ROOT / 'docs' / 'CAPACITY.md'
_MEASUREMENTS = _ROOT / 'docs' / 'measurements'
_BEGIN_MARKER = '<!-- derived: begin -->\n'
_END_MARKER = '<!-- derived: end -->\n'


def _format_number(value: float | None) -> str:
    if value is None:
        return 'not measured'
    if value >= 100:
        return f'{value:,.0f}'
    return f'{value:.3g}'


def _format_verdict(figure: model.Figure) -> str:
    if figure.value is None or figure.bound is None:
        return ''
    bound = f'{_format_number(figure.bound)} {figure.unit}'
    if figure.value <= figure.bound:
        return f'within {bound}'
    return f'**missed: {figure.value / figure.bound:.1f} times {bound}**'


def _format_table(figures: list[model.Figure]) -> str:
    lines = [
        '| role | what | formula | figure | bound |', '|---|---|---|---|---|'
    ]
    for figure in figures:
        value = _format_number(figure.value)
        if figure.value is not None:
            value = f'{value} {figure.unit}'
        lines.append(f'| {figure.role} | {figure.what} | {figure.formula} '
                     f'| {value} | {_format_verdict(figure)} |')
    return '\n'.join(lines) + '\n'


def _format_measured_bounds() -> str:
    """Formats the targets of all benchmark results as a table."""
    lines = [
        '| bench | bound on | bound | measured | |', '|---|---|---|---|---|'
    ]
    for path in sorted(_MEASUREMENTS.glob('*.json')):
        document = json.loads(path.read_text('utf-8'))
        for target in document.get('targets', []):
            verdict = 'holds' if target['holds'] else '**missed**'
            lines.append(
                f'| {path.stem} (seed {document["seed"]}) '
                f'| {target["name"]} | {_format_number(target["bound"])} '
                f'| {_format_number(target["value"])} | {verdict} |')
    return '\n'.join(lines) + '\n'


def _render_page(figures: list[model.Figure]) -> str:
    text = _PAGE.read_text('utf-8')
    before, _, remainder = text.partition(_BEGIN_MARKER)
    _, _, after = remainder.partition(_END_MARKER)
    derived = (
        f'{_format_table(figures)}\n### Bounds measured by the benches\n\n'
        f'{_format_measured_bounds()}')
    return f'{before}{_BEGIN_MARKER}\n{derived}\n{_END_MARKER}{after}'


def _targets(figures: list[model.Figure]) -> list[common.Target]:
    return [
        common.Target(f'{figure.role}: {figure.what}', figure.bound,
                      figure.value, figure.value <= figure.bound)
        for figure in figures
        if figure.value is not None and figure.bound is not None
    ]


def main() -> int:
    """Prints the figures, and writes or checks the page.

    Returns:
        Exit status: 1 if --check finds that the page is out of date.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--quick', action='store_true')
    parser.add_argument('--write', action='store_true')
    parser.add_argument('--check', action='store_true')
    args = parser.parse_args()
    unit_costs = model.UnitCosts.load(_MEASUREMENTS)
    figures = model.compute_figures(unit_costs, model.SystemSize())
    page = _render_page(figures)
    if args.write:
        _PAGE.write_text(page, 'utf-8')
    if args.check and page != _PAGE.read_text('utf-8'):
        print(
            'docs/CAPACITY.md is out of date; run '
            '`python -m bench.capacity --write`',
            file=sys.stderr)
        return 1
    print(_format_table(figures))
    common.emit(args.seed, [figure.as_row() for figure in figures],
                _targets(figures))
    return 0


if __name__ == '__main__':
    sys.exit(main())
