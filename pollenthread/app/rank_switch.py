"""A rank's part in map switches.

All that must outlast the agent is kept by the engine, so that an agent may be
restarted at any stage.
"""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable

from absl import logging

from pollenthread.app import switch_codec
from pollenthread.core import switch, switch_rank
from pollenthread.ports import rank_engine

__all__ = ['RankSwitch']


class RankSwitch:
    """Applies one message after the other to the rank."""

    def __init__(self, *, index: int, engine: rank_engine.RankEngine,
                 read_fence: Callable[[], Awaitable[int | None]],
                 on_reply: Callable[[switch.Reply], None]) -> None:
        """Initializes the part.

        Args:
            index: the rank's number in its group.
            engine: the rank.
            read_fence: reads the fencing number of the group's row; None when
                the table gives no answer.
            on_reply: takes the answer to `Prepare` once a load has ended.
        """
        self._index = index
        self._engine = engine
        self._read_fence = read_fence
        self._on_reply = on_reply
        self._lock = asyncio.Lock()
        self._load: asyncio.Task[None] | None = None
        self._loading = switch.NEVER

    async def stop(self) -> None:
        """Waits for no load any more."""
        if self._load is not None:
            self._load.cancel()
            await asyncio.gather(self._load, return_exceptions=True)

    async def handle(self, order: switch.Order) -> switch.Reply | None:
        """Carries out one order; None when there is no answer to it."""
        try:
            async with self._lock:
                return await self._handle(order)
        except rank_engine.RankEngineUnavailableError as error:
            logging.debug('rank %d: %s', self._index, error)
            return None

    async def look(self) -> switch.Rank | None:
        """The rank as it is now; None when the engine gives no answer."""
        try:
            async with self._lock:
                return await self._read()
        except rank_engine.RankEngineUnavailableError:
            return None

    async def _handle(self, order: switch.Order) -> switch.Reply | None:
        rank = await self._read()
        if rank is None:
            return None
        after = _apply(rank, order)
        if after.rank != rank and not await self._write(after.rank):
            if isinstance(order, switch.Arm):
                return switch.Armed(order.id, rank.index, rank.incarnation,
                                    False)
            return None
        self._keep_loading(after.rank)
        return after.reply

    async def _read(self) -> switch.Rank | None:
        view = await self._engine.read_status()
        if view.state:
            return dataclasses.replace(switch_codec.decode_rank(view.state),
                                       incarnation=view.incarnation,
                                       step=view.step)
        fence = await self._read_fence()
        if fence is None:
            return None
        rank = switch.Rank(index=self._index,
                           incarnation=view.incarnation,
                           fence=fence,
                           step=view.step)
        return rank if await self._write(rank) else None

    async def _write(self, rank: switch.Rank) -> bool:
        return await self._engine.write_state(switch_codec.encode_rank(rank),
                                              incarnation=rank.incarnation)

    def _keep_loading(self, rank: switch.Rank) -> None:
        """Starts the load of a pending switch unless it runs already."""
        pending = rank.pending
        if pending is None or rank.stage is not switch.Stage.LOADING:
            return
        runs = self._load is not None and not self._load.done()
        if runs and self._loading == pending.id:
            return
        if self._load is not None:
            self._load.cancel()
        self._loading = pending.id
        self._load = asyncio.create_task(self._load_weights(pending))

    async def _load_weights(self, pending: switch.Change) -> None:
        try:
            ok = await self._engine.load_weights(pending.target)
        except rank_engine.RankEngineUnavailableError as error:
            logging.warning('load failed rank=%d map=%d reason=%s', self._index,
                            pending.target, error)
            ok = False
        try:
            async with self._lock:
                rank = await self._read()
                if rank is None:
                    return
                after = switch_rank.on_loaded(rank, pending.id, ok=ok)
                if after.rank != rank and not await self._write(after.rank):
                    return
        except rank_engine.RankEngineUnavailableError as error:
            logging.debug('rank %d: %s', self._index, error)
            return
        if after.reply is not None:
            self._on_reply(after.reply)


def _apply(rank: switch.Rank, order: switch.Order) -> switch_rank.RankResult:
    match order:
        case switch.Query():
            return switch_rank.on_query(rank, order)
        case switch.Prepare():
            return switch_rank.on_prepare(rank, order)
        case switch.Arm():
            return switch_rank.on_arm(rank, order)
        case switch.Decide():
            return switch_rank.on_decide(rank, order)
        case switch.Name():
            return switch_rank.on_name(rank, order)
