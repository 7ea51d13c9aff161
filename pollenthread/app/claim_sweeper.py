"""Deletes claims whose keys may be used again."""

import asyncio
from collections.abc import Callable

import result

from pollenthread.app import claim_keeper
from pollenthread.core import claims
from pollenthread.ports import table

__all__ = ['ClaimSweeper', 'SWEEP_DUTIES']

SWEEP_DUTIES = tuple(f'claims/{first:x}' for first in range(16))
_SHARDS_PER_DUTY = claim_keeper.SHARDS // len(SWEEP_DUTIES)
_ROUND_S = claims.RETENTION_S / 4
_DELETED_AT_ONCE = 32


class ClaimSweeper:
    """Goes through the shards of the duties that this host holds."""

    def __init__(self, *, table_service: table.TableService,
                 holds: Callable[[str], bool], wall: Callable[[],
                                                              float]) -> None:
        self._table = table_service
        self._holds = holds
        self._wall = wall
        self._next_by_duty: dict[str, int] = {}
        self.deleted_count = 0

    async def run(self) -> None:
        """Sweeps until cancelled."""
        while True:
            await asyncio.sleep(_ROUND_S / _SHARDS_PER_DUTY)
            await self.step()

    async def step(self) -> None:
        """Sweeps one shard of each duty held here."""
        for duty in SWEEP_DUTIES:
            if self._holds(duty):
                number = self._next_by_duty.get(duty, 0)
                self._next_by_duty[duty] = (number + 1) % _SHARDS_PER_DUTY
                first = duty.partition('/')[2]
                await self.sweep(f'{first}{number:02x}')

    async def sweep(self, shard: str) -> None:
        """Deletes the expired claims of one shard."""
        found = await self._table.scan(claim_keeper.shard_prefix(shard))
        if isinstance(found, result.Err):
            return
        now_s = self._wall()
        writes = [
            table.Write(row.key, None, row.version)
            for row in found.ok_value
            if claims.is_expired(claim_keeper.parse_claim(row.value), now_s)
        ]
        for i in range(0, len(writes), _DELETED_AT_ONCE):
            batch = writes[i:i + _DELETED_AT_ONCE]
            done = await self._table.commit(batch)
            if isinstance(done, result.Ok):
                self.deleted_count += len(batch)
