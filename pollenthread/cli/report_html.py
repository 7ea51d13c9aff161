"""Renders the report as one self-contained HTML page.

Plots need matplotlib, an optional dependency that is imported only when a page
is rendered. Without it, the page contains the tables and a note.
"""

import base64
import html
import io
from typing import Any

from pollenthread.cli import report_tables

__all__ = ['to_html']

_STYLE = """
body { font: 15px/1.5 system-ui, sans-serif; margin: 2rem auto; color: #222;
       max-width: 72rem; padding: 0 1rem; }
table { border-collapse: collapse; margin: .5rem 0 2rem; }
th, td { padding: .25rem .75rem; border-bottom: 1px solid #ddd; }
th { text-align: left; background: #f4f4f4; }
td.number { text-align: right; font-variant-numeric: tabular-nums; }
h2 { font-size: 1.1rem; margin-top: 2rem; }
img { max-width: 100%; }
.gap { background: #fff3cd; padding: .5rem 1rem; }
"""
_COLOURS = ('#2a9d5c', '#e9c46a', '#8d99ae', '#d1495b', '#5b2a86')
_MAX_BARS = 20
_OUTCOMES = ('in_time', 'late', 'refused_not_run', 'failed', 'outcome_unknown')


def to_html(report: dict[str, Any]) -> str:
    """Renders the page.

    Args:
        report: decoded response of /v1/report.
    """
    heading = f'Account of {report["from_day"]} to {report["to_day"]}'
    parts = [
        '<!doctype html><html lang="en"><head><meta charset="utf-8">',
        f'<title>{html.escape(heading)}</title><style>{_STYLE}</style></head>',
        f'<body><h1>{html.escape(heading)}</h1>',
        _render_summary(report), *_render_plots(report)
    ]
    parts += [
        _render_table(section)
        for section in report_tables.build_sections(report)
    ]
    parts.append('</body></html>\n')
    return '\n'.join(parts)


def _render_summary(report: dict[str, Any]) -> str:
    total = report['total']
    text = (f'<p>{total["accepted"]:,} requests were accepted; '
            f'{total["in_time"]:,} were answered in time. Days are in UTC. '
            f'Targets version {report["targets_version"]}.</p>')
    if report['gaps']:
        text += (f'<p class="gap">{len(report["gaps"])} gaps: in these times '
                 'counts are missing; they are listed at the end.</p>')
    return text


def _render_table(section: report_tables.ReportSection) -> str:
    title = f'<h2>{html.escape(section.title)}</h2>'
    if not section.rows:
        return f'{title}<p>None.</p>'
    header_cells = ''.join(
        f'<th>{html.escape(heading)}</th>' for heading in section.headings)
    rows = ''.join(f'<tr>{"".join(_render_cell(value) for value in row)}</tr>\n'
                   for row in section.rows)
    return f'{title}<table><tr>{header_cells}</tr>\n{rows}</table>'


def _render_cell(value: Any) -> str:
    if value is None:
        return '<td class="number">-</td>'
    if isinstance(value, float):
        return f'<td class="number">{value:,.3f}</td>'
    if isinstance(value, int):
        return f'<td class="number">{value:,}</td>'
    return f'<td>{html.escape(str(value))}</td>'


def _render_plots(report: dict[str, Any]) -> list[str]:
    try:
        # Optional dependency that only this page needs.
        # pylint: disable-next=import-outside-toplevel
        from matplotlib import figure
    except ImportError:
        return ['<p>Install matplotlib to see plots on this page.</p>']
    images = []
    if report['classes']:
        images.append(_render_image(_plot_outcomes(report, figure), 'Outcomes'))
    if report['costs']:
        images.append(
            _render_image(_plot_costs(report, figure), 'Skew and cost'))
    return images


def _render_image(drawing: Any, title: str) -> str:
    buffer = io.BytesIO()
    drawing.savefig(buffer, format='png', dpi=110, bbox_inches='tight')
    data = base64.b64encode(buffer.getvalue()).decode()
    return (f'<h2>{html.escape(title)}</h2>'
            f'<img alt="{html.escape(title)}" '
            f'src="data:image/png;base64,{data}">')


def _plot_outcomes(report: dict[str, Any], figure: Any) -> Any:
    """Plots the shares of outcomes for the classes with most requests."""
    lines = sorted((line for line in report['classes'] if line['accepted']),
                   key=lambda line: -int(line['accepted']))[:_MAX_BARS]
    drawing = figure.Figure(figsize=(9, 1.2 + 0.4 * len(lines)),
                            layout='constrained')
    axes = drawing.subplots()
    names = [f'{line["workspace"]} / {line["class"]}' for line in lines]
    left = [0.0] * len(lines)
    for outcome, colour in zip(_OUTCOMES, _COLOURS):
        shares = [100 * line[outcome] / line['accepted'] for line in lines]
        axes.barh(names,
                  shares,
                  left=left,
                  color=colour,
                  label=outcome.replace('_', ' '))
        left = [a + b for a, b in zip(left, shares)]
    axes.set_xlabel('% of accepted requests')
    axes.set_xlim(0, 100)
    axes.invert_yaxis()
    drawing.legend(loc='outside lower center',
                   ncols=len(_OUTCOMES),
                   frameon=False)
    return drawing


def _plot_costs(report: dict[str, Any], figure: Any) -> Any:
    """Plots skew, and capacity saved and lost, for the lowest net savings."""
    rows = sorted(report['costs'], key=lambda row: row['net_s'])[:_MAX_BARS]
    names = [f'{row["group"]} {row["day"]}' for row in rows]
    drawing = figure.Figure(figsize=(9, 4), layout='constrained')
    skew, seconds = drawing.subplots(1, 2)
    skew.bar(names, [row['skew_mean'] or 0 for row in rows], color=_COLOURS[2])
    skew.set_ylabel('slowest rank / mean rank')
    skew.set_ylim(bottom=1)
    seconds.bar(names, [row['capacity_s_saved'] for row in rows],
                color=_COLOURS[0],
                label='saved')
    seconds.bar(names, [-row['capacity_s_lost'] for row in rows],
                color=_COLOURS[3],
                label='lost')
    seconds.plot(names, [row['net_s'] for row in rows], 'ko', label='net')
    seconds.axhline(0, color='#222', linewidth=0.8)
    seconds.set_ylabel('seconds of one rank')
    seconds.legend(frameon=False)
    for axes in (skew, seconds):
        axes.tick_params(axis='x', rotation=60)
    return drawing
