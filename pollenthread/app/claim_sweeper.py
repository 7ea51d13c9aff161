"""Deletes claims whose keys may be used again."""

import asyncio
from collections.abc import Callable

import result

from pollenthread.app import claim_keeper
from pollenthread.core import claims
from pollenthread.ports import table

__all__ = ['ClaimSweeper', 'SWEEP_DUTY']

SWEEP_DUTY = 'claims/sweep'
_SHARD_DIGITS = 3
_ROUND_S = claims.RETENTION_S / 4
_DELETED_AT_ONCE = 32


class ClaimSweeper:
    """Goes through all shards, one after another, while it holds the duty."""

    def __init__(self, *, table_service: table.TableService,
                 holds: Callable[[str], bool], wall: Callable[[],
                                                              float]) -> None:
        self._table = table_service
        self._holds = holds
        self._wall = wall
        self._next = 0
        self.deleted_count = 0

    async def run(self) -> None:
        """Sweeps until cancelled."""
        while True:
            await asyncio.sleep(_ROUND_S / claim_keeper.SHARDS)
            if self._holds(SWEEP_DUTY):
                await self.sweep(f'{self._next:0{_SHARD_DIGITS}x}')
                self._next = (self._next + 1) % claim_keeper.SHARDS

    async def sweep(self, shard: str) -> None:
        """Deletes the expired claims of one shard."""
        found = await self._table.scan(claim_keeper.shard_prefix(shard))
        if isinstance(found, result.Err):
            return
        now_s = self._wall()
        writes = [
            table.TableWrite(row.key, None, row.version)
            for row in found.ok_value
            if claims.is_expired(claim_keeper.parse_claim(row.value), now_s)
        ]
        for i in range(0, len(writes), _DELETED_AT_ONCE):
            batch = writes[i:i + _DELETED_AT_ONCE]
            done = await self._table.commit(batch)
            if isinstance(done, result.Ok):
                self.deleted_count += len(batch)
