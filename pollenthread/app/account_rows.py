"""Encodes the request counts of an interval as table rows."""

import datetime
from typing import Annotated, Literal

import pydantic

from pollenthread.core import account, account_summary

__all__ = ['day_of', 'day_prefix', 'decode', 'encode', 'row_key']

_Count = Annotated[int, pydantic.Field(ge=0)]


class _CountsRow(pydantic.BaseModel):
    """Counts of one workspace `w` and class `c`; zeros are not stored."""

    model_config = pydantic.ConfigDict(extra='forbid', strict=True)

    w: str
    c: str
    accepted: _Count = 0
    in_time: _Count = 0
    late: _Count = 0
    refused_not_run: _Count = 0
    failed: _Count = 0
    outcome_unknown: _Count = 0
    repeats: _Count = 0
    attempts: _Count = 0
    retries: _Count = 0
    retries_allowed: _Count = 0


class _IntervalRow(pydantic.BaseModel):
    """The stored form of `account_summary.AccountInterval`."""

    model_config = pydantic.ConfigDict(extra='forbid', strict=True)

    format: Literal[1] = 1
    host: str
    incarnation: str
    first: _Count
    last: _Count
    began_s: float
    ended_s: float
    is_final: bool
    counts: list[_CountsRow]


def day_of(at_s: float) -> str:
    """Returns the UTC day, as YYYY-MM-DD, of a time in Unix seconds."""
    moment = datetime.datetime.fromtimestamp(at_s, datetime.UTC)
    return moment.strftime('%Y-%m-%d')


def day_prefix(day: str) -> str:
    """Returns the key prefix of the rows of a day."""
    return f'account/intervals/{day}/'


def row_key(row: account_summary.AccountInterval) -> str:
    """Returns the key of a row, which depends only on its content."""
    return (f'{day_prefix(day_of(row.began_s))}{row.host}/{row.incarnation}/'
            f'{row.first:08d}-{row.last:08d}')


def encode(row: account_summary.AccountInterval) -> bytes:
    """Encodes a row."""
    return _IntervalRow(host=row.host,
                        incarnation=row.incarnation,
                        first=row.first,
                        last=row.last,
                        began_s=row.began_s,
                        ended_s=row.ended_s,
                        is_final=row.is_final,
                        counts=[
                            _encode_counts(key, counts)
                            for key, counts in sorted(row.counts_by_key.items())
                        ]).model_dump_json(exclude_defaults=True).encode()


def _encode_counts(key: account.CountKey,
                   counts: account.RequestCounts) -> _CountsRow:
    names = account.RequestCounts.names()
    return _CountsRow(w=key.workspace,
                      c=key.work_class,
                      **dict(zip(names, counts.values())))


def decode(data: bytes) -> account_summary.AccountInterval:
    """Decodes the result of `encode`.

    Raises:
        ValueError: the data is not a valid row.
    """
    row = _IntervalRow.model_validate_json(data)
    return account_summary.AccountInterval(host=row.host,
                                           incarnation=row.incarnation,
                                           first=row.first,
                                           last=row.last,
                                           began_s=row.began_s,
                                           ended_s=row.ended_s,
                                           is_final=row.is_final,
                                           counts_by_key={
                                               account.CountKey(item.w, item.c):
                                                   _decode_counts(item)
                                               for item in row.counts
                                           })


def _decode_counts(item: _CountsRow) -> account.RequestCounts:
    return account.RequestCounts(
        **{name: getattr(item, name) for name in account.RequestCounts.names()})
