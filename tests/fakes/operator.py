"""An operator who publishes targets, gives orders, and looks at hosts."""

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
    """The system's targets with one number changed."""
    document = copy.deepcopy(system_module.TARGETS)
    classes = document['workspaces']['buna']['classes']
    classes['caption']['retries'] = retries
    return document


class Operator:
    """Acts on a running system."""

    def __init__(self, *, system: system_module.System) -> None:
        self._system = system
        self.store = config_store.ConfigStore(table_service=system.table,
                                              time=clock.SystemClock())

    async def publish(
        self, base: int, retries: int, author: str
    ) -> result.Result[int, config_store.VersionConflict | table.TableError]:
        """Publishes a changed document over a version."""
        return await self.store.publish(changed_targets(retries),
                                        author=author,
                                        base=base)

    async def status(self, host: str) -> dict[str, Any]:
        """What a host says of itself."""
        admin = self._system.by_name[host].ready['admin']
        found: dict[str, Any] = await self._system.call(admin, 'GET', '/status')
        return found

    async def versions(self) -> list[int]:
        """The versions in force at the entry hosts."""
        return [(await self.status(process.name))['targets_version']
                for process in self._system.named('entry-')]

    async def lease(self) -> leases.Lease | None:
        """The lease of the first engine's orders."""
        key = lease_manager.lease_key(orders.order_duty_for_host(_ENGINE_HOST))
        found = await self._system.table.get(key)
        if isinstance(found, result.Err) or found.ok_value is None:
            return None
        return lease_manager.parse_lease(found.ok_value.value)

    async def order(self,
                    order_id: str,
                    entry: str,
                    key: str = system_module.ON_CALL_KEY) -> int:
        """Gives the first engine an order; returns the HTTP status."""
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
        """Repeats an order until it is taken in."""
        while await self.order(order_id, entry) != 202:
            await asyncio.sleep(_RETRY_S)

    async def order_state(self, order_id: str, entry: str) -> str:
        """How far an order has come."""
        found = await self._system.call(
            self._system.by_name[entry].ready['admin'], 'GET',
            f'/orders/{_ENGINE_HOST}/{order_id}')
        state: str = found.get('state', 'none')
        return state

    async def effects(self) -> list[str]:
        """Orders that took effect at the first engine."""
        found = await self._system.call(self._system.address('engine-1'), 'GET',
                                        '/orders')
        return [order['id'] for order in found]
