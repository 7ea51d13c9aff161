"""Lets only operators with a valid key reach a handler."""

from collections.abc import Sequence

from pollenthread.adapters import http_server
from pollenthread.core import errors, operators

__all__ = ['OperatorGuard', 'authenticate']

_BEARER = 'Bearer '
_READING_METHODS = frozenset({'GET', 'HEAD'})


def authenticate(operator_list: Sequence[operators.Operator],
                 request: http_server.Request) -> operators.Operator | None:
    """The operator whose key the request carries, or None."""
    value = request.header('authorization') or ''
    if (request.header_count('authorization') != 1 or
            not value.startswith(_BEARER)):
        return None
    return operators.find_by_key(operator_list, value[len(_BEARER):])


class OperatorGuard(http_server.Handler):
    """Passes on what an operator who sees every host may do."""

    def __init__(self, *, handler: http_server.Handler,
                 operator_list: Sequence[operators.Operator]) -> None:
        self._handler = handler
        self._operators = operator_list

    async def handle(self, request: http_server.Request,
                     response: http_server.Response) -> None:
        refusal = self._refusal(request)
        if refusal is None:
            await self._handler.handle(request, response)
        else:
            await response.send_problem(errors.make_failure(refusal))

    def _refusal(self, request: http_server.Request) -> errors.ErrorKind | None:
        operator = authenticate(self._operators, request)
        if operator is None:
            return errors.ErrorKind.NOT_AUTHENTICATED
        may_pass = operator.may_change or request.method in _READING_METHODS
        if not operator.can_read_all or not may_pass:
            return errors.ErrorKind.NOT_PERMITTED
        return None
