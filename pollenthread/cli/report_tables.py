"""Tables of the report, for operators and for those who pay the hosts."""

import dataclasses
import datetime
from typing import Any

from pollenthread.cli import text_tables

__all__ = ['ReportSection', 'build_sections', 'to_text']

_OUTCOMES = ('in_time', 'late', 'refused_not_run', 'failed', 'outcome_unknown')


@dataclasses.dataclass(frozen=True)
class ReportSection:
    """One table of the report.

    Attributes:
        title: title of the table.
        headings: column headings.
        rows: rows with one value per column.
    """

    title: str
    headings: tuple[str, ...]
    rows: list[tuple[Any, ...]]


def build_sections(report: dict[str, Any]) -> list[ReportSection]:
    """Builds the tables of a report, beginning with those for operators.

    Args:
        report: decoded response of /v1/report.
    """
    return [
        _outcomes(report),
        _retries(report),
        _at_most_once(report),
        ReportSection('Orders', ('kind', 'state', 'count'),
                      [(line['kind'], line['state'], line['count'])
                       for line in report['orders']]),
        _skew(report),
        _costs(report),
        _gaps(report),
    ]


def to_text(report: dict[str, Any]) -> str:
    """Formats the whole report as text for a terminal."""
    header = (f'Account of {report["from_day"]} to {report["to_day"]} (UTC), '
              f'{report["hosts"]} starts of entry hosts, targets version '
              f'{report["targets_version"]}.\n')
    parts = [
        text_tables.format_table(section.title, section.headings, section.rows)
        for section in build_sections(report)
    ]
    return header + '\n' + '\n'.join(parts)


def _outcomes(report: dict[str, Any]) -> ReportSection:
    rows = [(line['workspace'], line['class'], _format_target(line['target']),
             line['accepted'], *(line[name]
                                 for name in _OUTCOMES), line['open'],
             _to_percent(line['in_time_share']))
            for line in report['classes']]
    total = report['total']
    rows.append(('total', '', '', total['accepted'],
                 *(total[name] for name in _OUTCOMES), total['open'], ''))
    return ReportSection(
        'For operators: was every request answered in time?',
        ('workspace', 'class', 'target', 'accepted', 'in time', 'late',
         'refused, not run', 'failed', 'outcome unknown', 'open', 'in time %'),
        rows)


def _retries(report: dict[str, Any]) -> ReportSection:
    return ReportSection(
        'For operators: retries used against the limit',
        ('workspace', 'class', 'limit each', 'retries', 'allowed', 'used %'),
        [(line['workspace'], line['class'], line['target']['retries'],
          line['retries'], line['retries_allowed'],
          _to_percent(line['retries_share'])) for line in report['classes']])


def _at_most_once(report: dict[str, Any]) -> ReportSection:
    return ReportSection(
        'For operators: requests that may not be repeated',
        ('workspace', 'class', 'whole answers', 'from a kept outcome',
         'refused, not run', 'outcome unknown', 'of these lost with a host'),
        [(line['workspace'], line['class'], line['in_time'] + line['late'],
          line['repeats'], line['refused_not_run'], line['outcome_unknown'],
          line['lost_with_host'])
         for line in report['classes']
         if line['at_most_once']])


def _skew(report: dict[str, Any]) -> ReportSection:
    return ReportSection(
        'For payers: how even were the ranks?',
        ('day', 'group', 'steps', 'mean skew', 'skew of 99 in 100 at most'),
        [(row['day'], row['group'], row['steps'], row['skew_mean'],
          row['skew_p99_at_most']) for row in report['costs']])


def _costs(report: dict[str, Any]) -> ReportSection:
    return ReportSection(
        'For payers: what did keeping the load even cost, and save?',
        ('day', 'group', 'experts moved', 'moved back', 'MB reloaded',
         'steps lost', 'capacity-s lost', 'capacity-s saved', 'net'),
        [(row['day'], row['group'], row['experts_moved'],
          row['experts_moved_back'], row['bytes_reloaded'] / 1e6,
          row['steps_lost'], row['capacity_s_lost'], row['capacity_s_saved'],
          row['net_s']) for row in report['costs']])


def _gaps(report: dict[str, Any]) -> ReportSection:
    return ReportSection('Gaps: times that the figures above leave out',
                         ('host', 'from', 'until', 'why'),
                         [(gap['host'], _format_time(gap['began_s']),
                           _format_time(gap['ended_s']), gap['reason'])
                          for gap in report['gaps']])


def _format_target(target: dict[str, Any]) -> str:
    names = (('first token', 'first_token_ms'),
             ('between', 'between_tokens_ms'), ('answer', 'answer_ms'))
    return ', '.join(f'{name} {target[key]} ms' for name, key in names
                     if target[key] is not None)


def _to_percent(share: float | None) -> float | None:
    return None if share is None else round(100 * share, 3)


def _format_time(at_s: float | None) -> str:
    if at_s is None:
        return 'not known'
    time_utc = datetime.datetime.fromtimestamp(at_s, datetime.UTC)
    return time_utc.strftime('%Y-%m-%d %H:%M:%S')
