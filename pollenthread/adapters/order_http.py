"""Sends orders to an engine over HTTP: `POST /orders`.

The body contains the id of the order and its fencing token, which some engines
check. The engine responds with 200 if the order took effect, with 409 if it
rejects the fencing token, and with any other 4xx if it rejects the order.
"""

import asyncio
import json

from pollenthread.adapters import http_client
from pollenthread.core import orders
from pollenthread.ports import orders as orders_port

__all__ = ['HttpOrderExecutor']

_MAX_DETAIL_CHARS = 200


class HttpOrderExecutor(orders_port.OrderExecutor):
    """Sends orders to the engine on the same host as the agent."""

    def __init__(self,
                 *,
                 client: http_client.HttpClient,
                 address: str,
                 timeout_s: float = 600.0) -> None:
        self._client = client
        self._address = address
        self._timeout_s = timeout_s

    async def execute(self, order: orders.Order) -> orders.Result:
        body = json.dumps({
            'id': order.id,
            'duty': order.duty,
            'fencing': order.fencing,
            'kind': order.kind,
            'arguments': json.loads(order.arguments)
        }).encode()
        try:
            async with asyncio.timeout(self._timeout_s):
                async with self._client.request(self._address,
                                                'POST',
                                                '/orders',
                                                body=body) as response:
                    text = await response.read_all()
                    status = response.status
        except http_client.HttpConnectError as error:
            return orders.Result(done=False, detail=str(error))
        except (ConnectionError, TimeoutError) as error:
            raise orders_port.OrderOutcomeUnknownError(str(error)) from error
        detail = text.decode('utf-8', 'replace')[:_MAX_DETAIL_CHARS]
        if status >= 500:
            raise orders_port.OrderOutcomeUnknownError(f'{status} {detail}')
        return orders.Result(done=status == 200, detail=detail)
