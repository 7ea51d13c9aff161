"""The administration API: routes, keys and its OpenAPI description.

Every route needs `authorization: Bearer KEY`, but for the description itself.
"""

import dataclasses
import json
import re
from collections.abc import Awaitable, Callable, Sequence
from typing import Any
from urllib import parse

import pollenthread
from pollenthread.adapters import http_server, operator_auth
from pollenthread.app import administration
from pollenthread.core import errors, operators

__all__ = ['AdminApi', 'openapi']

_DEFAULT_HISTORY = 20
_MAX_HISTORY = 200


@dataclasses.dataclass(frozen=True)
class _Query:
    """One checked request to the API."""

    operator: operators.Operator
    parts: dict[str, str]
    parameters: dict[str, list[str]]
    body: bytes

    def integer(self, name: str, default: int | None = None) -> int:
        """A parameter that is a whole number.

        Raises:
            Refused: it is missing or no whole number.
        """
        text = self.parts.get(name) or self.parameters.get(name, [''])[0]
        if not text and default is not None:
            return default
        if not re.fullmatch('[0-9]{1,9}', text):
            raise _refuse(errors.Kind.BAD_HEADER,
                          f'{name} must be a whole number.')
        return int(text)

    def document(self) -> dict[str, Any]:
        """The body.

        Raises:
            Refused: it is no JSON object.
        """
        try:
            document = json.loads(self.body.decode('utf-8'))
        except (UnicodeDecodeError, ValueError, RecursionError) as error:
            raise _refuse(errors.Kind.BAD_JSON) from error
        if not isinstance(document, dict):
            raise _refuse(errors.Kind.BAD_JSON, 'The body must be an object.')
        return document


_Answer = Callable[[administration.Administration, _Query], Awaitable[Any]]


@dataclasses.dataclass(frozen=True)
class _Route:
    """One operation of the API.

    Attributes:
        method: the HTTP method.
        path: the path with `{names}`.
        summary: what it does.
        answer: does it.
        parameters: names of whole numbers in the query.
        has_body: whether it takes a JSON object.
    """

    method: str
    path: str
    summary: str
    answer: _Answer
    parameters: tuple[str, ...] = ()
    has_body: bool = False

    def match(self, path: str) -> dict[str, str] | None:
        """The parts of a path that this route serves; else None."""
        pattern = re.sub(r'{(\w+)}', r'(?P<\1>[^/]+)', self.path)
        found = re.fullmatch(pattern, path)
        if found is None:
            return None
        return {k: parse.unquote(v) for k, v in found.groupdict().items()}


async def _status(admin: administration.Administration, query: _Query) -> Any:
    return admin.status(query.operator)


async def _config(admin: administration.Administration, query: _Query) -> Any:
    return await admin.config(query.operator)


async def _version(admin: administration.Administration, query: _Query) -> Any:
    return await admin.config_version(query.operator, query.integer('version'))


async def _history(admin: administration.Administration, query: _Query) -> Any:
    limit = min(query.integer('limit', _DEFAULT_HISTORY), _MAX_HISTORY)
    return await admin.history(query.operator, limit)


async def _diff(admin: administration.Administration, query: _Query) -> Any:
    return await admin.diff(query.operator, query.integer('from'),
                            query.integer('to'))


async def _put_config(admin: administration.Administration,
                      query: _Query) -> Any:
    return await admin.put_config(query.operator, query.document(),
                                  query.integer('base'))


async def _put_workspace(admin: administration.Administration,
                         query: _Query) -> Any:
    return await admin.put_workspace(query.operator, query.parts['workspace'],
                                     query.document(), query.integer('base'))


async def _roll_back(admin: administration.Administration,
                     query: _Query) -> Any:
    return await admin.roll_back(query.operator, query.integer('to'),
                                 query.integer('base'))


async def _drain(admin: administration.Administration, query: _Query) -> Any:
    return await admin.drain(query.operator,
                             query.parts['host'],
                             is_draining=True)


async def _undrain(admin: administration.Administration, query: _Query) -> Any:
    return await admin.drain(query.operator,
                             query.parts['host'],
                             is_draining=False)


async def _report(admin: administration.Administration, query: _Query) -> Any:
    return await admin.report(query.operator, query.integer('days', 1))


async def _trace(admin: administration.Administration, query: _Query) -> Any:
    return admin.trace(query.operator, query.parts['id'])


_ROUTES = (
    _Route('GET', '/v1/status', 'Who is alive, leaving and stale here',
           _status),
    _Route('GET', '/v1/config', 'The newest version of the targets', _config),
    _Route('PUT',
           '/v1/config',
           'Publish all targets as the version after base',
           _put_config,
           parameters=('base',),
           has_body=True),
    _Route('GET',
           '/v1/config/history',
           'Who changed what, from which version',
           _history,
           parameters=('limit',)),
    _Route('GET', '/v1/config/versions/{version}', 'One version', _version),
    _Route('GET',
           '/v1/config/diff',
           'What differs between two versions',
           _diff,
           parameters=('from', 'to')),
    _Route('POST',
           '/v1/config/rollback',
           'Publish an old version as the version after base',
           _roll_back,
           parameters=('to', 'base')),
    _Route('PUT',
           '/v1/workspaces/{workspace}',
           'Publish the targets of one workspace',
           _put_workspace,
           parameters=('base',),
           has_body=True),
    _Route('PUT', '/v1/hosts/{host}/drain', 'Take a host out of service',
           _drain),
    _Route('DELETE', '/v1/hosts/{host}/drain', 'Take a host into service',
           _undrain),
    _Route('GET',
           '/v1/report',
           'The account of today and the days before',
           _report,
           parameters=('days',)),
    _Route('GET', '/v1/traces/{id}', 'The spans of one request', _trace),
)


class AdminApi(http_server.RequestHandler):
    """Answers operators."""

    def __init__(self, *, admin: administration.Administration,
                 operator_list: Sequence[operators.Operator]) -> None:
        self._admin = admin
        self._operators = operator_list

    async def handle(self, request: http_server.HttpRequest,
                     response: http_server.HttpResponse) -> None:
        if request.path == '/v1/openapi.json':
            await response.send_json(200, openapi())
            return
        try:
            answer = await self._answer(request)
        except administration.Refused as refused:
            await response.send_problem(refused.problem)
            return
        await response.send_json(200, answer)

    async def _answer(self, request: http_server.HttpRequest) -> Any:
        operator = self._authenticate(request)
        is_known = False
        for route in _ROUTES:
            parts = route.match(request.path)
            if parts is None:
                continue
            is_known = True
            if route.method == request.method:
                query = _Query(operator=operator,
                               parts=parts,
                               parameters=parse.parse_qs(
                                   request.target.partition('?')[2]),
                               body=request.body)
                return await route.answer(self._admin, query)
        raise _refuse(errors.Kind.METHOD_NOT_ALLOWED if is_known else errors.
                      Kind.NOT_FOUND)

    def _authenticate(self,
                      request: http_server.HttpRequest) -> operators.Operator:
        found = operator_auth.authenticate(self._operators, request)
        if found is not None:
            return found
        raise _refuse(errors.Kind.NOT_AUTHENTICATED)


def _refuse(kind: errors.Kind, detail: str = '') -> administration.Refused:
    return administration.Refused(errors.failure(kind, detail))


def openapi() -> dict[str, Any]:
    """The OpenAPI description of this API."""
    paths: dict[str, Any] = {}
    for route in _ROUTES:
        paths.setdefault(route.path,
                         {})[route.method.lower()] = _operation(route)
    return {
        'openapi': '3.1.0',
        'info': {
            'title': 'pollenthread administration',
            'version': pollenthread.__version__
        },
        'security': [{
            'key': []
        }],
        'paths': paths,
        'components': {
            'securitySchemes': {
                'key': {
                    'type': 'http',
                    'scheme': 'bearer'
                }
            }
        }
    }


def _operation(route: _Route) -> dict[str, Any]:
    names = re.findall(r'{(\w+)}', route.path)
    parameters = [_parameter(name, 'path', 'string') for name in names]
    parameters += [
        _parameter(name, 'query', 'integer') for name in route.parameters
    ]
    operation: dict[str, Any] = {
        'summary': route.summary,
        'parameters': parameters,
        'responses': {
            '200': {
                'description': 'Done.'
            },
            'default': {
                'description': 'Problem details (RFC 9457).',
                'content': {
                    'application/problem+json': {}
                }
            }
        }
    }
    if route.has_body:
        operation['requestBody'] = {
            'required': True,
            'content': {
                'application/json': {
                    'schema': {
                        'type': 'object'
                    }
                }
            }
        }
    return operation


def _parameter(name: str, place: str, kind: str) -> dict[str, Any]:
    return {
        'name': name,
        'in': place,
        'required': place == 'path' or name in ('base', 'from', 'to'),
        'schema': {
            'type': kind
        }
    }
