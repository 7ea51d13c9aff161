"""Operations of the administration API, with permission checks."""

import copy
import dataclasses
from collections.abc import Callable
from typing import Any

import result

from pollenthread.app import (account_reader, account_rows, config_store,
                              cost_store, report_document, targets_document)
from pollenthread.core import (document_diff, errors, operators, report as
                               report_module)
from pollenthread.ports import table

__all__ = ['Administration', 'RequestRejected']

_REBASE_ATTEMPTS = 5
_MAX_DAYS = 31
_SECONDS_PER_DAY = 86_400
_EMPTY_DOCUMENT: dict[str, Any] = {'workspaces': {}}

_Document = dict[str, Any]


class RequestRejected(Exception):
    """The operator's request is rejected.

    Attributes:
        failure: the error that the operator is sent.
    """

    def __init__(self, failure: errors.Failure) -> None:
        super().__init__(failure.detail)
        self.failure = failure


def _rejection(kind: errors.ErrorKind, detail: str = '') -> RequestRejected:
    return RequestRejected(errors.make_failure(kind, detail))


@dataclasses.dataclass(frozen=True)
class _NumberedDocument:
    """A version of the targets document."""

    number: int
    document: _Document


class Administration:
    """Serves the requests of operators at one entry host.

    All operations raise `RequestRejected` if the operator lacks a permission,
    the arguments are invalid or the table fails.
    """

    def __init__(self, *, store: config_store.ConfigStore,
                 accounts: account_reader.AccountReader,
                 costs: cost_store.CostStore, status: Callable[[], _Document],
                 wall_clock: Callable[[], float],
                 find_trace: Callable[[str], list[_Document] | None]) -> None:
        """Initializes the operations.

        Args:
            store: the versions of the configuration.
            accounts: reads the request counts.
            costs: reads the cost rows.
            status: returns the status document of this host.
            wall_clock: returns the wall-clock time in Unix seconds.
            find_trace: returns the spans of a trace by its id, or None.
        """
        self._store = store
        self._accounts = accounts
        self._costs = costs
        self._status = status
        self._wall_clock = wall_clock
        self._find_trace = find_trace

    def status(self, operator: operators.Operator) -> _Document:
        """Returns the status of this host.

        Operators of single workspaces only get the configuration version.
        """
        if operator.can_read_all:
            return self._status()
        return {
            'targets_version': self._store.version,
            'targets_age_s': self._store.age_s
        }

    async def config(self, operator: operators.Operator) -> _Document:
        """Returns the parts of the newest version that the operator may see."""
        newest = await self._newest()
        return {
            'version': newest.number,
            'document': operators.filter_visible(operator, newest.document)
        }

    async def config_version(self, operator: operators.Operator,
                             version: int) -> _Document:
        """Returns the parts of a version that the operator may see."""
        stored = await self._read(version)
        return {
            'version': stored.version,
            'author': stored.author,
            'document': operators.filter_visible(operator, stored.document)
        }

    async def history(self, operator: operators.Operator,
                      limit: int) -> list[_Document]:
        """Returns the audit record: author and differences of each version.

        It is computed from the stored versions, so it cannot differ from what
        was applied.

        Args:
            operator: the operator; only changes that it may see are included.
            limit: how many entries to return at most, newest first.
        """
        newest = await self._newest()
        entries: list[_Document] = []
        after = await self._store.read(newest.number)
        while after is not None and len(entries) < limit:
            before = await self._store.read(after.version - 1)
            changes = document_diff.diff_documents(
                operators.filter_visible(
                    operator,
                    _EMPTY_DOCUMENT if before is None else before.document),
                operators.filter_visible(operator, after.document))
            if changes:
                entries.append(_audit_entry(after, changes))
            after = before
        return entries

    async def diff(self, operator: operators.Operator, older: int,
                   newer: int) -> list[_Document]:
        """Returns the differences between two versions."""
        before, after = await self._read(older), await self._read(newer)
        return [
            dataclasses.asdict(change)
            for change in document_diff.diff_documents(
                operators.filter_visible(operator, before.document),
                operators.filter_visible(operator, after.document))
        ]

    async def put_config(self, operator: operators.Operator,
                         document: _Document, base: int) -> _Document:
        """Publishes a whole document as the version after `base`."""
        _require_all(operator)
        return await self._publish(operator, document, base)

    async def put_workspace(self, operator: operators.Operator, workspace: str,
                            document: _Document, base: int) -> _Document:
        """Publishes one workspace.

        Only changes of the same workspace since `base` are a conflict.
        """
        if not operator.can_read(workspace):
            raise _rejection(errors.ErrorKind.NOT_PERMITTED)
        _require_may_change(operator)
        base_document = (_EMPTY_DOCUMENT if base == 0 else
                         (await self._read(base)).document)

        def change(newest: _Document) -> _Document:
            before = base_document.get('workspaces', {}).get(workspace)
            after = newest.get('workspaces', {}).get(workspace)
            if before != after:
                raise _rejection(errors.ErrorKind.CONFLICT,
                                 _changes_text(before or {}, after or {}))
            newest.setdefault('workspaces', {})[workspace] = document
            return newest

        return await self._rebase(operator, change)

    async def roll_back(self, operator: operators.Operator, to_version: int,
                        base: int) -> _Document:
        """Publishes the document of an old version as a new version."""
        _require_all(operator)
        stored = await self._read(to_version)
        return await self._publish(operator, stored.document, base)

    async def drain(self, operator: operators.Operator, host: str, *,
                    is_draining: bool) -> _Document:
        """Publishes a version in which a host drains, or no longer does."""
        return await self._set_member(operator,
                                      'draining',
                                      host,
                                      is_member=is_draining)

    async def empty_data_centre(self, operator: operators.Operator,
                                data_centre: str, *,
                                is_emptied: bool) -> _Document:
        """Publishes a version in which a data centre is emptied, or used."""
        return await self._set_member(operator,
                                      'emptied_data_centres',
                                      data_centre,
                                      is_member=is_emptied)

    async def _set_member(self, operator: operators.Operator, key: str,
                          name: str, *, is_member: bool) -> _Document:
        """Publishes a version in which a list has a name, or lacks it."""
        _require_all(operator)

        def change(newest: _Document) -> _Document:
            names = set(newest.get(key, []))
            names = names | {name} if is_member else names - {name}
            newest[key] = sorted(names)
            return newest

        return await self._rebase(operator, change)

    async def report(self, operator: operators.Operator,
                     days: int) -> _Document:
        """Returns the account of today and the preceding days.

        Args:
            operator: the operator; only its workspaces are included.
            days: the number of days, today included.
        """
        if not 1 <= days <= _MAX_DAYS:
            raise _rejection(errors.ErrorKind.BAD_HEADER,
                             f'days must be between 1 and {_MAX_DAYS}.')
        counts = _unwrap(await self._accounts.read(days=days))
        last_s = self._wall_clock()
        days_in_report = [
            account_rows.day_of(last_s - number * _SECONDS_PER_DAY)
            for number in range(days - 1, -1, -1)
        ]
        rows = [
            row for day in days_in_report
            for row in _unwrap(await self._costs.read(day))
        ]
        report = report_module.build_report(summary=counts,
                                            costs=tuple(rows),
                                            orders=(),
                                            current_targets=self._store.current,
                                            days=(days_in_report[0],
                                                  days_in_report[-1]),
                                            workspaces=operator.workspaces)
        return report_document.to_document(report)

    def trace(self, operator: operators.Operator,
              trace_id: str) -> list[_Document]:
        """Returns the spans of one trace that this host has stored."""
        _require_sees_all(operator)
        spans = self._find_trace(trace_id)
        if spans is None:
            raise _rejection(
                errors.ErrorKind.NOT_FOUND,
                'This host keeps no such trace: it was not sampled, '
                'or another entry host served it.')
        return spans

    async def _newest(self) -> _NumberedDocument:
        if not await self._store.refresh():
            raise _rejection(errors.ErrorKind.TABLE_UNAVAILABLE)
        number = self._store.version
        if number == 0:
            return _NumberedDocument(0, copy.deepcopy(_EMPTY_DOCUMENT))
        return _NumberedDocument(number, (await self._read(number)).document)

    async def _read(self, version: int) -> config_store.StoredVersion:
        stored = await self._store.read(version)
        if stored is None:
            raise _rejection(errors.ErrorKind.NOT_FOUND,
                             f'There is no version {version}.')
        return stored

    async def _rebase(self, operator: operators.Operator,
                      change: Callable[[_Document], _Document]) -> _Document:
        """Applies a change to the newest version; retries after conflicts."""
        failure = errors.make_failure(errors.ErrorKind.CONFLICT)
        for _ in range(_REBASE_ATTEMPTS):
            newest = await self._newest()
            document = change(copy.deepcopy(newest.document))
            if document == newest.document:
                return {'version': newest.number}
            try:
                return await self._publish(operator, document, newest.number)
            except RequestRejected as rejected:
                failure = rejected.failure
                if failure.kind is not errors.ErrorKind.CONFLICT:
                    raise
        raise RequestRejected(failure)

    async def _publish(self, operator: operators.Operator, document: _Document,
                       base: int) -> _Document:
        try:
            published = await self._store.publish(document,
                                                  author=operator.name,
                                                  base=base)
        except targets_document.InvalidDocument as invalid:
            raise _rejection(errors.ErrorKind.INVALID_TARGETS,
                             str(invalid)) from invalid
        if isinstance(published, result.Ok):
            return {'version': published.ok_value}
        error = published.err_value
        if isinstance(error, table.TableError):
            raise RequestRejected(_table_failure(error))
        raise RequestRejected(await self._conflict(base))

    async def _conflict(self, base: int) -> errors.Failure:
        newest = await self._newest()
        before = _EMPTY_DOCUMENT if base == 0 else (await
                                                    self._store.read(base))
        base_document = before.document if isinstance(
            before, config_store.StoredVersion) else _EMPTY_DOCUMENT
        return errors.make_failure(
            errors.ErrorKind.CONFLICT, f'Version {newest.number} is newer than '
            f'{base}: {_changes_text(base_document, newest.document)}')


def _require_sees_all(operator: operators.Operator) -> None:
    if not operator.can_read_all:
        raise _rejection(errors.ErrorKind.NOT_PERMITTED)


def _require_may_change(operator: operators.Operator) -> None:
    if not operator.may_change:
        raise _rejection(errors.ErrorKind.NOT_PERMITTED)


def _require_all(operator: operators.Operator) -> None:
    _require_sees_all(operator)
    _require_may_change(operator)


def _audit_entry(
        stored: config_store.StoredVersion,
        changes: tuple[document_diff.DocumentChange, ...]) -> _Document:
    return {
        'version': stored.version,
        'from_version': stored.version - 1,
        'author': stored.author,
        'changes': [dataclasses.asdict(change) for change in changes]
    }


def _changes_text(before: _Document, after: _Document) -> str:
    return '; '.join(f'{change.path}: {change.before!r} became {change.after!r}'
                     for change in document_diff.diff_documents(before, after))


def _table_failure(error: table.TableError) -> errors.Failure:
    if error is table.TableError.UNKNOWN:
        return errors.make_failure(
            errors.ErrorKind.OUTCOME_UNKNOWN,
            'Read the configuration before trying again.')
    if error is table.TableError.CONFLICT:
        return errors.make_failure(errors.ErrorKind.CONFLICT)
    return errors.make_failure(errors.ErrorKind.TABLE_UNAVAILABLE)


def _unwrap(found: result.Result[Any, table.TableError]) -> Any:
    if isinstance(found, result.Err):
        raise RequestRejected(_table_failure(found.err_value))
    return found.ok_value
