"""Operator actions: publishing targets, issuing orders, reading status."""

import asyncio
import copy
import json
from typing import Any

import result

from pollenthread.adapters import clock
from pollenthread.app import config_store, lease_manager
from pollenthread.core import leases, orders
from pollenthread.ports import table
from tests.fakes import system as system_module

__all__ = ['Operator', 'changed_targets']

_ENGINE_HOST = 'agent-engine-1'
_RETRY_S = 0.2


def changed_targets(retries: int) -> dict[str, Any]:
    """Returns the targets of the system with other retries of one class."""
    document = copy.deepcopy(system_module.TARGETS)
    classes = document['workspaces']['buna']['classes']
    classes['caption']['retries'] = retries
    return document


class Operator:
    """Performs operator actions on a running system.

    Attributes:
        store: the configuration store in the table of the system.
    """

    def __init__(self, *, system: system_module.System) -> None:
        self._system = system
        self.store = config_store.ConfigStore(table_service=system.table,
                                              time=clock.SystemClock())

    async def publish(
        self, base: int, retries: int, author: str
    ) -> result.Result[int, config_store.VersionConflict | table.TableError]:
        """Publishes changed targets.

        Args:
            base: the version that the new document replaces.
            retries: the retries of the changed class.
            author: the author of the version.

        Returns:
            The new version, or the error.
        """
        return await self.store.publish(changed_targets(retries),
                                        author=author,
                                        base=base)

    async def status(self, host: str) -> dict[str, Any]:
        """Returns the status that a host reports."""
        admin = self._system.by_name[host].ready['admin']
        response: dict[str,
                       Any] = await self._system.call(admin, 'GET', '/status')
        return response

    async def versions(self) -> list[int]:
        """Returns the targets version that each entry host applies."""
        return [(await self.status(process.name))['targets_version']
                for process in self._system.named('entry-')]

    async def lease(self) -> leases.Lease | None:
        """Returns the lease for orders to the first engine, or None."""
        key = lease_manager.lease_key(orders.order_duty_for_host(_ENGINE_HOST))
        response = await self._system.table.get(key)
        if isinstance(response, result.Err) or response.ok_value is None:
            return None
        return lease_manager.parse_lease(response.ok_value.value)

    async def order(self,
                    order_id: str,
                    entry: str,
                    key: str = system_module.ON_CALL_KEY) -> int:
        """Issues an order to the first engine.

        Args:
            order_id: the ID of the order.
            entry: the name of the entry host to which the order is sent.
            key: the operator's bearer token.

        Returns:
            The HTTP status.
        """
        body = json.dumps({
            'kind': 'load-model',
            'arguments': {
                'model': order_id
            }
        }).encode()
        async with self._system.client.request(
                self._system.by_name[entry].ready['admin'],
                'PUT',
                f'/orders/{_ENGINE_HOST}/{order_id}',
                headers=[('authorization', f'Bearer {key}')],
                body=body) as exchange:
            await exchange.read_all()
            return exchange.status

    async def order_until_accepted(self, order_id: str, entry: str) -> None:
        """Retries an order until an entry host accepts it."""
        while await self.order(order_id, entry) != 202:
            await asyncio.sleep(_RETRY_S)

    async def order_state(self, order_id: str, entry: str) -> str:
        """Returns the state of an order; `none` if it is unknown."""
        response = await self._system.call(
            self._system.by_name[entry].ready['admin'], 'GET',
            f'/orders/{_ENGINE_HOST}/{order_id}')
        state: str = response.get('state', 'none')
        return state

    async def effects(self) -> list[str]:
        """Returns the IDs of the orders that the first engine has executed."""
        response = await self._system.call(self._system.address('engine-1'),
                                           'GET', '/orders')
        return [order['id'] for order in response]
