"""Converts reports to JSON documents."""

import dataclasses
from typing import Any

from pollenthread.core import cost, report

__all__ = ['to_document']


def to_document(source: report.AccountReport) -> dict[str, Any]:
    """Converts a report to a JSON object.

    All views of the report are made from this object.
    """
    return {
        'from_day': source.from_day,
        'to_day': source.to_day,
        'targets_version': source.targets_version,
        'adds_up': source.adds_up,
        'total': _counts_document(source.total),
        'classes': [_class_document(line) for line in source.classes],
        'costs': [_cost_document(row) for row in source.costs],
        'orders': [dataclasses.asdict(line) for line in source.orders],
        'gaps': [dataclasses.asdict(gap) for gap in source.gaps],
        'hosts': source.hosts,
    }


def _counts_document(counts: Any) -> dict[str, Any]:
    return {**dataclasses.asdict(counts), 'open': counts.open}


def _class_document(line: report.ClassReport) -> dict[str, Any]:
    return {
        'workspace': line.workspace,
        'class': line.work_class,
        'target': {
            'first_token_ms': line.first_token_ms,
            'between_tokens_ms': line.between_tokens_ms,
            'answer_ms': line.answer_ms,
            'retries': line.retries_limit,
        },
        'at_most_once': line.is_at_most_once,
        **_counts_document(line.counts),
        'lost_with_host': line.lost_with_host,
        'in_time_share': line.in_time_share,
        'retries_share': line.retries_share,
    }


def _cost_document(row: cost.GroupCost) -> dict[str, Any]:
    document = dataclasses.asdict(row)
    document['skew_mean'] = row.skew_mean
    bound = row.skew_percentile_bound(0.99)
    document['skew_p99_at_most'] = None if bound == float('inf') else bound
    document['net_s'] = row.net_s
    return document
