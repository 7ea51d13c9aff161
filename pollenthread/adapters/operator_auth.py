"""Authenticates operators by their key and authorizes their requests."""

from collections.abc import Sequence

from pollenthread.adapters import http_server
from pollenthread.core import errors, operators

__all__ = ['OperatorAuthHandler', 'authenticate']

_BEARER = 'Bearer '
_READ_ONLY_METHODS = frozenset({'GET', 'HEAD'})


def authenticate(operator_list: Sequence[operators.Operator],
                 request: http_server.HttpRequest) -> operators.Operator | None:
    """Returns the operator whose key the request contains, or None."""
    value = request.header('authorization') or ''
    if (request.header_count('authorization') != 1 or
            not value.startswith(_BEARER)):
        return None
    return operators.find_by_key(operator_list, value[len(_BEARER):])


class OperatorAuthHandler(http_server.RequestHandler):
    """Passes authorized requests on to another handler.

    The operator must have access to all workspaces and hosts, and must be
    permitted to make changes unless the request only reads.
    """

    def __init__(self, *, handler: http_server.RequestHandler,
                 operator_list: Sequence[operators.Operator]) -> None:
        self._handler = handler
        self._operators = operator_list

    async def handle(self, request: http_server.HttpRequest,
                     response: http_server.HttpResponse) -> None:
        error_kind = self._authorization_error(request)
        if error_kind is None:
            await self._handler.handle(request, response)
        else:
            await response.send_problem(errors.make_failure(error_kind))

    def _authorization_error(
            self, request: http_server.HttpRequest) -> errors.ErrorKind | None:
        operator = authenticate(self._operators, request)
        if operator is None:
            return errors.ErrorKind.NOT_AUTHENTICATED
        is_method_allowed = (operator.may_change or
                             request.method in _READ_ONLY_METHODS)
        if not operator.can_read_all or not is_method_allowed:
            return errors.ErrorKind.NOT_PERMITTED
        return None
