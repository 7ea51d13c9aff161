"""HTTP handler for orders on the administration port.

`PUT /orders/HOST/ID` with a kind and arguments submits an order; submitting the
same id again has no further effect. `GET /orders/HOST/ID` returns its state.
"""

import json
from typing import Any
from urllib import parse

import pydantic
import result

from pollenthread.adapters import http_server
from pollenthread.app import (order_issuer, order_journal, peer_links as
                              peers_module, targets_document, validation_errors)
from pollenthread.core import errors, messages, orders
from pollenthread.ports import table

__all__ = ['OrdersHandler']


class _OrderModel(targets_document.StrictModel):
    """The request body that submits an order."""

    kind: targets_document.Name
    arguments: dict[str, Any] = {}


class OrdersHandler(http_server.RequestHandler):
    """Accepts orders and returns their state and result."""

    def __init__(self, *, journal: order_journal.OrderJournal,
                 issuer: order_issuer.OrderIssuer,
                 peers: peers_module.PeerLinks) -> None:
        self._journal = journal
        self._issuer = issuer
        self._peers = peers

    async def handle(self, request: http_server.HttpRequest,
                     response: http_server.HttpResponse) -> None:
        parts = [parse.unquote(part) for part in request.path.split('/')[2:]]
        if len(parts) != 2 or not all(parts):
            await response.send_problem(
                errors.make_failure(errors.ErrorKind.NOT_FOUND))
        elif request.method == 'PUT':
            await self._submit(parts[0], parts[1], request, response)
        elif request.method == 'GET':
            await self._show(parts[0], parts[1], response)
        else:
            await response.send_problem(
                errors.make_failure(errors.ErrorKind.METHOD_NOT_ALLOWED))

    async def _submit(self, host: str, order_id: str,
                      request: http_server.HttpRequest,
                      response: http_server.HttpResponse) -> None:
        try:
            model = _OrderModel.model_validate_json(request.body)
        except pydantic.ValidationError as error:
            await response.send_problem(
                errors.make_failure(
                    errors.ErrorKind.BAD_JSON,
                    validation_errors.describe_errors('order',
                                                      error,
                                                      model=_OrderModel)))
            return
        arguments = json.dumps(model.arguments, sort_keys=True)
        outcome = await self._journal.submit(order_id=order_id,
                                             host=host,
                                             kind=model.kind,
                                             arguments=arguments)
        if isinstance(outcome, result.Err):
            await response.send_problem(_failure_of(outcome.err_value))
            return
        submitted = outcome.ok_value
        order = submitted.order
        if (order.kind, order.arguments) != (model.kind, arguments):
            await response.send_problem(
                errors.make_failure(errors.ErrorKind.KEY_REUSED,
                                    'This id belongs to another order.'))
            return
        self._issuer.wake()
        self._peers.broadcast(
            messages.DutyNews(orders.order_duty_for_host(host)))
        await response.send_json(202, _document(submitted))

    async def _show(self, host: str, order_id: str,
                    response: http_server.HttpResponse) -> None:
        outcome = await self._journal.find(host, order_id)
        if isinstance(outcome, result.Err):
            await response.send_problem(_failure_of(outcome.err_value))
        elif outcome.ok_value is None:
            await response.send_problem(
                errors.make_failure(errors.ErrorKind.NOT_FOUND))
        else:
            await response.send_json(200, _document(outcome.ok_value))


def _document(submitted: order_journal.OrderStatus) -> dict[str, Any]:
    order, row = submitted.order, submitted.row
    document: dict[str, Any] = {
        'id': order.id,
        'host': order.host,
        'kind': order.kind,
        'duty': order.duty,
        'number': order.number,
        'fencing': order.fencing,
        'state': 'waiting' if row is None else row.state.value
    }
    if row is not None and row.result is not None:
        document['done'] = row.result.done
        document['detail'] = row.result.detail
    return document


def _failure_of(error: table.TableError) -> errors.Failure:
    if error is table.TableError.UNKNOWN:
        return errors.make_failure(errors.ErrorKind.OUTCOME_UNKNOWN,
                                   'Repeat the order with the same id.')
    return errors.make_failure(errors.ErrorKind.TABLE_UNAVAILABLE)
