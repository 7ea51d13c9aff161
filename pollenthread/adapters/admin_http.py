"""HTTP handler of the administration port of a process."""

import dataclasses
from collections.abc import Callable, Mapping
from typing import Any

from pollenthread.adapters import http_server
from pollenthread.core import account, errors

__all__ = ['AdminRouter', 'account_rows']

_DocumentSource = Callable[[], Any]


class AdminRouter(http_server.RequestHandler):
    """Routes requests by path to JSON documents and to other handlers.

    A path whose first part is in `handlers_by_root` is passed to that handler.
    `GET` of any other known path returns the document of its source.
    """

    def __init__(
        self,
        *,
        document_sources_by_path: dict[str, _DocumentSource],
        handlers_by_root: Mapping[str, http_server.RequestHandler] | None = None
    ) -> None:
        self._document_sources_by_path = document_sources_by_path
        self._handlers_by_root = dict(handlers_by_root or {})

    async def handle(self, request: http_server.HttpRequest,
                     response: http_server.HttpResponse) -> None:
        root = request.path.strip('/').partition('/')[0]
        handler = self._handlers_by_root.get(root)
        if handler is not None:
            await handler.handle(request, response)
            return
        source = self._document_sources_by_path.get(request.path)
        if source is None:
            await response.send_problem(
                errors.make_failure(errors.ErrorKind.NOT_FOUND))
        elif request.method != 'GET':
            await response.send_problem(
                errors.make_failure(errors.ErrorKind.METHOD_NOT_ALLOWED))
        else:
            await response.send_json(200, source())


def account_rows(
        request_counter: account.RequestCounter) -> list[dict[str, Any]]:
    """Returns the request counts as rows, one for each workspace and class."""
    return [{
        'workspace': key.workspace,
        'class': key.work_class,
        'open': counts.open,
        **dataclasses.asdict(counts)
    } for key, counts in request_counter.counts_by_key.items()]
