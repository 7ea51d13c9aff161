"""What operators can see and change, with the rights of each checked."""

import copy
import dataclasses
from collections.abc import Callable
from typing import Any

import result

from pollenthread.app import (account_reader, account_rows, config_store,
                              cost_book, report_document, targets_document)
from pollenthread.core import (document_diff, errors, operators, report as
                               report_module)
from pollenthread.ports import table

__all__ = ['Administration', 'Refused']

_REBASE_ATTEMPTS = 5
_MAX_DAYS = 31
_DAY_S = 86_400
_EMPTY: dict[str, Any] = {'workspaces': {}}

_Document = dict[str, Any]


class Refused(Exception):
    """The operator's request is refused."""

    def __init__(self, problem: errors.Failure) -> None:
        super().__init__(problem.detail)
        self.problem = problem


def _refuse(kind: errors.Kind, detail: str = '') -> Refused:
    return Refused(errors.failure(kind, detail))


@dataclasses.dataclass(frozen=True)
class _Version:
    """A version as it is in the table."""

    number: int
    document: _Document


class Administration:
    """Serves operators at one entry host."""

    def __init__(self, *, store: config_store.ConfigStore,
                 accounts: account_reader.AccountReader,
                 costs: cost_book.CostBook, status: Callable[[], _Document],
                 wall: Callable[[], float],
                 find_trace: Callable[[str], list[_Document] | None]) -> None:
        self._store = store
        self._accounts = accounts
        self._costs = costs
        self._status = status
        self._wall = wall
        self._find_trace = find_trace

    def status(self, operator: operators.Operator) -> _Document:
        """What this host knows; only the version for a workspace's operator."""
        if operator.sees_all:
            return self._status()
        return {
            'targets_version': self._store.version,
            'targets_age_s': self._store.age_s
        }

    async def config(self, operator: operators.Operator) -> _Document:
        """The newest version, as far as the operator may see it."""
        newest = await self._newest()
        return {
            'version': newest.number,
            'document': operators.visible(operator, newest.document)
        }

    async def config_version(self, operator: operators.Operator,
                             version: int) -> _Document:
        """One version, as far as the operator may see it."""
        stored = await self._read(version)
        return {
            'version': stored.version,
            'author': stored.author,
            'document': operators.visible(operator, stored.document)
        }

    async def history(self, operator: operators.Operator,
                      limit: int) -> list[_Document]:
        """The audit record: who changed what, from which version.

        It is worked out from the versions themselves, so that it cannot
        differ from what was put in force.
        """
        newest = await self._newest()
        entries: list[_Document] = []
        after = await self._store.read(newest.number)
        while after is not None and len(entries) < limit:
            before = await self._store.read(after.version - 1)
            changes = document_diff.changes(
                operators.visible(
                    operator, _EMPTY if before is None else before.document),
                operators.visible(operator, after.document))
            if changes:
                entries.append(_audit_entry(after, changes))
            after = before
        return entries

    async def diff(self, operator: operators.Operator, older: int,
                   newer: int) -> list[_Document]:
        """What differs between two versions."""
        before, after = await self._read(older), await self._read(newer)
        return [
            dataclasses.asdict(change) for change in document_diff.changes(
                operators.visible(operator, before.document),
                operators.visible(operator, after.document))
        ]

    async def put_config(self, operator: operators.Operator,
                         document: _Document, base: int) -> _Document:
        """Publishes a whole document."""
        _require_all(operator)
        return await self._publish(operator, document, base)

    async def put_workspace(self, operator: operators.Operator, workspace: str,
                            document: _Document, base: int) -> _Document:
        """Publishes one workspace; changes of others are no conflict."""
        if not operator.sees(workspace):
            raise _refuse(errors.Kind.NOT_PERMITTED)
        _require_change(operator)
        started_from = (_EMPTY if base == 0 else
                        (await self._read(base)).document)

        def change(newest: _Document) -> _Document:
            mine = started_from.get('workspaces', {}).get(workspace)
            theirs = newest.get('workspaces', {}).get(workspace)
            if mine != theirs:
                raise _refuse(errors.Kind.CONFLICT,
                              _changes_text(mine or {}, theirs or {}))
            newest.setdefault('workspaces', {})[workspace] = document
            return newest

        return await self._rebase(operator, change)

    async def roll_back(self, operator: operators.Operator, to_version: int,
                        base: int) -> _Document:
        """Publishes an old document as a new version."""
        _require_all(operator)
        stored = await self._read(to_version)
        return await self._publish(operator, stored.document, base)

    async def drain(self, operator: operators.Operator, host: str, *,
                    is_draining: bool) -> _Document:
        """Takes a host out of service, or back, as a new version."""
        _require_all(operator)

        def change(newest: _Document) -> _Document:
            hosts = set(newest.get('draining', []))
            hosts = hosts | {host} if is_draining else hosts - {host}
            newest['draining'] = sorted(hosts)
            return newest

        return await self._rebase(operator, change)

    async def report(self, operator: operators.Operator,
                     days: int) -> _Document:
        """The account of today and the days before."""
        if not 1 <= days <= _MAX_DAYS:
            raise _refuse(errors.Kind.BAD_HEADER,
                          f'days must be between 1 and {_MAX_DAYS}.')
        book = _unwrap(await self._accounts.read(days=days))
        last_s = self._wall()
        names = [
            account_rows.day_of(last_s - number * _DAY_S)
            for number in range(days - 1, -1, -1)
        ]
        rows = [
            row for day in names for row in _unwrap(await self._costs.read(day))
        ]
        made = report_module.build(book=book,
                                   costs=tuple(rows),
                                   orders=(),
                                   current=self._store.current,
                                   days=(names[0], names[-1]),
                                   workspaces=operator.workspaces)
        return report_document.to_document(made)

    def trace(self, operator: operators.Operator,
              trace_id: str) -> list[_Document]:
        """The spans of one request that this host keeps."""
        _require_sight(operator)
        spans = self._find_trace(trace_id)
        if spans is None:
            raise _refuse(
                errors.Kind.NOT_FOUND,
                'This host keeps no such trace: it was not sampled, '
                'or another entry host served it.')
        return spans

    async def _newest(self) -> _Version:
        if not await self._store.refresh():
            raise _refuse(errors.Kind.TABLE_UNAVAILABLE)
        number = self._store.version
        if number == 0:
            return _Version(0, copy.deepcopy(_EMPTY))
        return _Version(number, (await self._read(number)).document)

    async def _read(self, version: int) -> config_store.StoredVersion:
        stored = await self._store.read(version)
        if stored is None:
            raise _refuse(errors.Kind.NOT_FOUND,
                          f'There is no version {version}.')
        return stored

    async def _rebase(self, operator: operators.Operator,
                      change: Callable[[_Document], _Document]) -> _Document:
        """Makes the change to the newest version, whoever else publishes."""
        problem = errors.failure(errors.Kind.CONFLICT)
        for _ in range(_REBASE_ATTEMPTS):
            newest = await self._newest()
            document = change(copy.deepcopy(newest.document))
            if document == newest.document:
                return {'version': newest.number}
            try:
                return await self._publish(operator, document, newest.number)
            except Refused as refused:
                problem = refused.problem
                if problem.kind is not errors.Kind.CONFLICT:
                    raise
        raise Refused(problem)

    async def _publish(self, operator: operators.Operator, document: _Document,
                       base: int) -> _Document:
        try:
            done = await self._store.publish(document,
                                             author=operator.name,
                                             base=base)
        except targets_document.InvalidDocument as invalid:
            raise _refuse(errors.Kind.INVALID_TARGETS,
                          str(invalid)) from invalid
        if isinstance(done, result.Ok):
            return {'version': done.ok_value}
        fault = done.err_value
        if isinstance(fault, table.TableError):
            raise Refused(_table_failure(fault))
        raise Refused(await self._conflict(base))

    async def _conflict(self, base: int) -> errors.Failure:
        newest = await self._newest()
        before = _EMPTY if base == 0 else (await self._store.read(base))
        old = before.document if isinstance(
            before, config_store.StoredVersion) else _EMPTY
        return errors.failure(
            errors.Kind.CONFLICT, f'Version {newest.number} is newer than '
            f'{base}: {_changes_text(old, newest.document)}')


def _require_sight(operator: operators.Operator) -> None:
    if not operator.sees_all:
        raise _refuse(errors.Kind.NOT_PERMITTED)


def _require_change(operator: operators.Operator) -> None:
    if not operator.may_change:
        raise _refuse(errors.Kind.NOT_PERMITTED)


def _require_all(operator: operators.Operator) -> None:
    _require_sight(operator)
    _require_change(operator)


def _audit_entry(stored: config_store.StoredVersion,
                 changes: tuple[document_diff.Change, ...]) -> _Document:
    return {
        'version': stored.version,
        'from_version': stored.version - 1,
        'author': stored.author,
        'changes': [dataclasses.asdict(change) for change in changes]
    }


def _changes_text(before: _Document, after: _Document) -> str:
    return '; '.join(f'{change.path}: {change.before!r} became {change.after!r}'
                     for change in document_diff.changes(before, after))


def _table_failure(fault: table.TableError) -> errors.Failure:
    if fault is table.TableError.UNKNOWN:
        return errors.failure(errors.Kind.OUTCOME_UNKNOWN,
                              'Read the configuration before trying again.')
    if fault is table.TableError.CONFLICT:
        return errors.failure(errors.Kind.CONFLICT)
    return errors.failure(errors.Kind.TABLE_UNAVAILABLE)


def _unwrap(found: result.Result[Any, table.TableError]) -> Any:
    if isinstance(found, result.Err):
        raise Refused(_table_failure(found.err_value))
    return found.ok_value
