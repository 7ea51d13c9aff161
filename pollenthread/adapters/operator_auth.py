"""Lets only operators with a valid key reach a handler."""

from collections.abc import Sequence

from pollenthread.adapters import http_server
from pollenthread.core import errors, operators

__all__ = ['OperatorAuthHandler', 'authenticate']

_BEARER = 'Bearer '
_READING_METHODS = frozenset({'GET', 'HEAD'})


def authenticate(operator_list: Sequence[operators.Operator],
                 request: http_server.HttpRequest) -> operators.Operator | None:
    """The operator whose key the request carries, or None."""
    value = request.header('authorization') or ''
    if (request.header_count('authorization') != 1 or
            not value.startswith(_BEARER)):
        return None
    return operators.find(operator_list, value[len(_BEARER):])


class OperatorAuthHandler(http_server.RequestHandler):
    """Passes on what an operator who sees every host may do."""

    def __init__(self, *, handler: http_server.RequestHandler,
                 operator_list: Sequence[operators.Operator]) -> None:
        self._handler = handler
        self._operators = operator_list

    async def handle(self, request: http_server.HttpRequest,
                     response: http_server.HttpResponse) -> None:
        refusal = self._refusal(request)
        if refusal is None:
            await self._handler.handle(request, response)
        else:
            await response.send_problem(errors.failure(refusal))

    def _refusal(self, request: http_server.HttpRequest) -> errors.Kind | None:
        operator = authenticate(self._operators, request)
        if operator is None:
            return errors.Kind.NOT_AUTHENTICATED
        may_pass = operator.may_change or request.method in _READING_METHODS
        if not operator.sees_all or not may_pass:
            return errors.Kind.NOT_PERMITTED
        return None
