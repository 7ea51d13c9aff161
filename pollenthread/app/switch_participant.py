"""The rank side of map switches.

The engine stores all state that must survive a restart of the agent, so an
agent may be restarted in any phase of a switch.
"""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable

from absl import logging

from pollenthread.app import switch_codec
from pollenthread.core import switch, switch_rank
from pollenthread.ports import rank_engine

__all__ = ['SwitchParticipant']


class SwitchParticipant:
    """Applies the orders of a coordinator to one rank, one at a time."""

    def __init__(self, *, index: int, engine: rank_engine.RankEngine,
                 read_group_fence: Callable[[], Awaitable[int | None]],
                 on_reply: Callable[[switch.RankMessage], None]) -> None:
        """Initializes a participant.

        Args:
            index: the rank's number in its group.
            engine: the engine of the rank.
            read_group_fence: reads the fencing token of the group's row; None
                when the table does not respond.
            on_reply: receives the reply to `Prepare` when a load has finished.
        """
        self._index = index
        self._engine = engine
        self._read_group_fence = read_group_fence
        self._on_reply = on_reply
        self._lock = asyncio.Lock()
        self._load_task: asyncio.Task[None] | None = None
        self._loading_id = switch.NO_SWITCH

    async def stop(self) -> None:
        """Cancels a load that is running."""
        if self._load_task is not None:
            self._load_task.cancel()
            await asyncio.gather(self._load_task, return_exceptions=True)

    async def handle(
            self,
            order: switch.CoordinatorMessage) -> switch.RankMessage | None:
        """Carries out one order.

        Returns:
            The reply; None when there is none or the engine is unavailable.
        """
        try:
            async with self._lock:
                return await self._apply_order(order)
        except rank_engine.RankEngineUnavailableError as error:
            logging.debug('rank %d: %s', self._index, error)
            return None

    async def read_rank(self) -> switch.Rank | None:
        """Reads the rank's state; None when the engine does not respond."""
        try:
            async with self._lock:
                return await self._read_state()
        except rank_engine.RankEngineUnavailableError:
            return None

    async def _apply_order(
            self,
            order: switch.CoordinatorMessage) -> switch.RankMessage | None:
        rank = await self._read_state()
        if rank is None:
            return None
        after = _apply_to_rank(rank, order)
        if after.rank != rank and not await self._write_state(after.rank):
            if isinstance(order, switch.Arm):
                return switch.Armed(order.id, rank.index, rank.incarnation,
                                    False)
            return None
        self._ensure_loading(after.rank)
        return after.reply

    async def _read_state(self) -> switch.Rank | None:
        snapshot = await self._engine.read_status()
        if snapshot.state:
            return dataclasses.replace(switch_codec.decode_rank(snapshot.state),
                                       incarnation=snapshot.incarnation,
                                       step=snapshot.step)
        fence = await self._read_group_fence()
        if fence is None:
            return None
        rank = switch.Rank(index=self._index,
                           incarnation=snapshot.incarnation,
                           fence=fence,
                           step=snapshot.step)
        return rank if await self._write_state(rank) else None

    async def _write_state(self, rank: switch.Rank) -> bool:
        return await self._engine.write_state(switch_codec.encode_rank(rank),
                                              incarnation=rank.incarnation)

    def _ensure_loading(self, rank: switch.Rank) -> None:
        """Starts loading the pending switch's map unless that is running."""
        pending = rank.pending
        if pending is None or rank.stage is not switch.Stage.LOADING:
            return
        is_running = self._load_task is not None and not self._load_task.done()
        if is_running and self._loading_id == pending.id:
            return
        if self._load_task is not None:
            self._load_task.cancel()
        self._loading_id = pending.id
        self._load_task = asyncio.create_task(self._load_weights(pending))

    async def _load_weights(self, pending: switch.Change) -> None:
        try:
            ok = await self._engine.load_weights(pending.target)
        except rank_engine.RankEngineUnavailableError as error:
            logging.warning('load failed rank=%d map=%d reason=%s', self._index,
                            pending.target, error)
            ok = False
        try:
            async with self._lock:
                rank = await self._read_state()
                if rank is None:
                    return
                after = switch_rank.on_loaded(rank, pending.id, ok=ok)
                if after.rank != rank and not await self._write_state(after.rank
                                                                     ):
                    return
        except rank_engine.RankEngineUnavailableError as error:
            logging.debug('rank %d: %s', self._index, error)
            return
        if after.reply is not None:
            self._on_reply(after.reply)


def _apply_to_rank(rank: switch.Rank,
                   order: switch.CoordinatorMessage) -> switch_rank.RankResult:
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
