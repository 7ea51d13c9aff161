"""Deletes expired claims, so that their keys can be used again."""

import asyncio
from collections.abc import Callable

import result

from pollenthread.app import claim_store
from pollenthread.core import claims
from pollenthread.ports import table

__all__ = ['ClaimSweeper', 'SWEEP_DUTY']

SWEEP_DUTY = 'claims/sweep'
_SHARD_DIGITS = 3
_SWEEP_PERIOD_S = claims.RETENTION_S / 4
_DELETE_BATCH_SIZE = 32


class ClaimSweeper:
    """Sweeps the shards in turn while this host holds the sweep duty.

    Attributes:
        deleted_count: claims deleted so far.
    """

    def __init__(self, *, table_service: table.TableService,
                 holds_duty: Callable[[str], bool],
                 wall_clock: Callable[[], float]) -> None:
        self._table = table_service
        self._holds_duty = holds_duty
        self._wall_clock = wall_clock
        self._next_shard = 0
        self.deleted_count = 0

    async def run(self) -> None:
        """Sweeps until cancelled."""
        while True:
            await asyncio.sleep(_SWEEP_PERIOD_S / claim_store.SHARD_COUNT)
            if self._holds_duty(SWEEP_DUTY):
                await self.sweep(f'{self._next_shard:0{_SHARD_DIGITS}x}')
                self._next_shard = (self._next_shard +
                                    1) % claim_store.SHARD_COUNT

    async def sweep(self, shard: str) -> None:
        """Deletes the expired claims of one shard.

        Args:
            shard: the shard as three hexadecimal digits.
        """
        found = await self._table.scan(claim_store.shard_prefix(shard))
        if isinstance(found, result.Err):
            return
        now_s = self._wall_clock()
        writes = [
            table.TableWrite(row.key, None, row.version)
            for row in found.ok_value
            if claims.is_expired(claim_store.decode_claim(row.value), now_s)
        ]
        for i in range(0, len(writes), _DELETE_BATCH_SIZE):
            batch = writes[i:i + _DELETE_BATCH_SIZE]
            done = await self._table.commit(batch)
            if isinstance(done, result.Ok):
                self.deleted_count += len(batch)
