"""The administration API: its routes, authentication and OpenAPI description.

Every route except the description requires `authorization: Bearer KEY`.
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
class _ApiRequest:
    """An authenticated request to a route of the API.

    Attributes:
        operator: the operator who sent the request.
        parts: values of the named parts of the path.
        parameters: values of the query parameters by name.
        body: the request body.
    """

    operator: operators.Operator
    parts: dict[str, str]
    parameters: dict[str, list[str]]
    body: bytes

    def integer(self, name: str, default: int | None = None) -> int:
        """Returns a path or query parameter as an integer.

        Args:
            name: the name of the parameter.
            default: the value if the parameter is missing, or None if it is
                required.

        Raises:
            RequestRejected: the parameter is missing or not an integer.
        """
        text = self.parts.get(name) or self.parameters.get(name, [''])[0]
        if not text and default is not None:
            return default
        if not re.fullmatch('[0-9]{1,9}', text):
            raise _rejection(errors.ErrorKind.BAD_HEADER,
                             f'{name} must be a whole number.')
        return int(text)

    def document(self) -> dict[str, Any]:
        """Returns the body as a JSON object.

        Raises:
            RequestRejected: the body is not a JSON object.
        """
        try:
            document = json.loads(self.body.decode('utf-8'))
        except (UnicodeDecodeError, ValueError, RecursionError) as error:
            raise _rejection(errors.ErrorKind.BAD_JSON) from error
        if not isinstance(document, dict):
            raise _rejection(errors.ErrorKind.BAD_JSON,
                             'The body must be an object.')
        return document


_Operation = Callable[[administration.Administration, _ApiRequest],
                      Awaitable[Any]]


@dataclasses.dataclass(frozen=True)
class _Route:
    """One operation of the API.

    Attributes:
        method: the HTTP method.
        path: the path, with named parts as `{name}`.
        summary: the summary in the OpenAPI description.
        execute: the function that executes the operation.
        parameters: the names of the integer query parameters.
        has_body: whether the request body is a JSON object.
    """

    method: str
    path: str
    summary: str
    execute: _Operation
    parameters: tuple[str, ...] = ()
    has_body: bool = False

    def match(self, path: str) -> dict[str, str] | None:
        """Returns the named parts of a path, or None if it does not match."""
        pattern = re.sub(r'{(\w+)}', r'(?P<\1>[^/]+)', self.path)
        match = re.fullmatch(pattern, path)
        if match is None:
            return None
        return {k: parse.unquote(v) for k, v in match.groupdict().items()}


async def _status(admin: administration.Administration,
                  api_request: _ApiRequest) -> Any:
    return admin.status(api_request.operator)


async def _config(admin: administration.Administration,
                  api_request: _ApiRequest) -> Any:
    return await admin.config(api_request.operator)


async def _version(admin: administration.Administration,
                   api_request: _ApiRequest) -> Any:
    return await admin.config_version(api_request.operator,
                                      api_request.integer('version'))


async def _history(admin: administration.Administration,
                   api_request: _ApiRequest) -> Any:
    limit = min(api_request.integer('limit', _DEFAULT_HISTORY), _MAX_HISTORY)
    return await admin.history(api_request.operator, limit)


async def _diff(admin: administration.Administration,
                api_request: _ApiRequest) -> Any:
    return await admin.diff(api_request.operator, api_request.integer('from'),
                            api_request.integer('to'))


async def _put_config(admin: administration.Administration,
                      api_request: _ApiRequest) -> Any:
    return await admin.put_config(api_request.operator, api_request.document(),
                                  api_request.integer('base'))


async def _put_workspace(admin: administration.Administration,
                         api_request: _ApiRequest) -> Any:
    return await admin.put_workspace(api_request.operator,
                                     api_request.parts['workspace'],
                                     api_request.document(),
                                     api_request.integer('base'))


async def _roll_back(admin: administration.Administration,
                     api_request: _ApiRequest) -> Any:
    return await admin.roll_back(api_request.operator,
                                 api_request.integer('to'),
                                 api_request.integer('base'))


async def _drain(admin: administration.Administration,
                 api_request: _ApiRequest) -> Any:
    return await admin.drain(api_request.operator,
                             api_request.parts['host'],
                             is_draining=True)


async def _undrain(admin: administration.Administration,
                   api_request: _ApiRequest) -> Any:
    return await admin.drain(api_request.operator,
                             api_request.parts['host'],
                             is_draining=False)


async def _empty_data_centre(admin: administration.Administration,
                             api_request: _ApiRequest) -> Any:
    return await admin.empty_data_centre(api_request.operator,
                                         api_request.parts['data_centre'],
                                         is_emptied=True)


async def _restore_data_centre(admin: administration.Administration,
                               api_request: _ApiRequest) -> Any:
    return await admin.empty_data_centre(api_request.operator,
                                         api_request.parts['data_centre'],
                                         is_emptied=False)


async def _report(admin: administration.Administration,
                  api_request: _ApiRequest) -> Any:
    return await admin.report(api_request.operator,
                              api_request.integer('days', 1))


async def _trace(admin: administration.Administration,
                 api_request: _ApiRequest) -> Any:
    return admin.trace(api_request.operator, api_request.parts['id'])


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
    _Route('PUT', '/v1/data-centres/{data_centre}/evacuation',
           'Empty a data centre', _empty_data_centre),
    _Route('DELETE', '/v1/data-centres/{data_centre}/evacuation',
           'Use a data centre again', _restore_data_centre),
    _Route('GET',
           '/v1/report',
           'The account of today and the days before',
           _report,
           parameters=('days',)),
    _Route('GET', '/v1/traces/{id}', 'The spans of one request', _trace),
)


class AdminApi(http_server.RequestHandler):
    """Handles requests of operators."""

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
            document = await self._dispatch(request)
        except administration.RequestRejected as rejected:
            await response.send_problem(rejected.failure)
            return
        await response.send_json(200, document)

    async def _dispatch(self, request: http_server.HttpRequest) -> Any:
        operator = self._authenticate(request)
        is_known = False
        for route in _ROUTES:
            parts = route.match(request.path)
            if parts is None:
                continue
            is_known = True
            if route.method == request.method:
                api_request = _ApiRequest(operator=operator,
                                          parts=parts,
                                          parameters=parse.parse_qs(
                                              request.target.partition('?')[2]),
                                          body=request.body)
                return await route.execute(self._admin, api_request)
        raise _rejection(errors.ErrorKind.METHOD_NOT_ALLOWED
                         if is_known else errors.ErrorKind.NOT_FOUND)

    def _authenticate(self,
                      request: http_server.HttpRequest) -> operators.Operator:
        operator = operator_auth.authenticate(self._operators, request)
        if operator is not None:
            return operator
        raise _rejection(errors.ErrorKind.NOT_AUTHENTICATED)


def _rejection(kind: errors.ErrorKind,
               detail: str = '') -> administration.RequestRejected:
    return administration.RequestRejected(errors.make_failure(kind, detail))


def openapi() -> dict[str, Any]:
    """Returns the OpenAPI description of this API."""
    paths: dict[str, Any] = {}
    for route in _ROUTES:
        paths.setdefault(route.path,
                         {})[route.method.lower()] = _openapi_operation(route)
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


def _openapi_operation(route: _Route) -> dict[str, Any]:
    names = re.findall(r'{(\w+)}', route.path)
    parameters = [_openapi_parameter(name, 'path', 'string') for name in names]
    parameters += [
        _openapi_parameter(name, 'query', 'integer')
        for name in route.parameters
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


def _openapi_parameter(name: str, location: str, kind: str) -> dict[str, Any]:
    return {
        'name': name,
        'in': location,
        'required': location == 'path' or name in ('base', 'from', 'to'),
        'schema': {
            'type': kind
        }
    }
