"""Emulates a rank group that runs passes and can lose orders."""

import asyncio
import collections
import dataclasses
from collections.abc import Mapping
from typing import Any

from pollenthread.core import peer_messages
from pollenthread.ports import rank_server

__all__ = ['RunningRankServer', 'RunningGroup', 'rank_state']

_KIND = peer_messages.OrderKind
_ORDER_DURATION_S = 0.004
_COPY_DURATION_S = 0.3
_RESPONSE_TIMEOUT_S = 0.08
_OK = 200


def rank_state(rank: int, **changes: Any) -> peer_messages.RankState:
    """Returns the state of an idle rank of an open group of three in pass 10.

    Args:
        rank: the index of the rank.
        **changes: fields that differ from the default state.
    """
    state = peer_messages.RankState(group='g',
                                    host=f'side-{rank}',
                                    rank=rank,
                                    size=3,
                                    epoch=1,
                                    is_open=True,
                                    born_ms=1,
                                    step=10,
                                    map_version=0,
                                    prepared_version=0,
                                    armed_version=0,
                                    armed_step=0,
                                    held_step=0,
                                    is_busy=False,
                                    pace_percent=100)
    return dataclasses.replace(state, **changes)


class RunningGroup:
    """Begins a pass at fixed intervals, unless the pass is held.

    Attributes:
        state_by_rank: the state of each rank.
        pass_started_at: the start times of the passes, in seconds of the loop.
        mixed_passes: the number of passes in which the ranks used different
            maps.
    """

    def __init__(
        self, *, states: Mapping[int, peer_messages.RankState], pass_s: float,
        lost_orders: collections.Counter[tuple[int, peer_messages.OrderKind]]
    ) -> None:
        """Initializes the group without starting it.

        Args:
            states: the state of each rank.
            pass_s: the duration of a pass in seconds.
            lost_orders: the number of orders to lose, by rank and kind.
        """
        self.state_by_rank = dict(states)
        self.pass_started_at: list[float] = []
        self.mixed_passes = 0
        self._pass_duration_s = pass_s
        self._lost_orders = lost_orders

    @property
    def longest_pause_s(self) -> float:
        """The longest time in seconds between the starts of two passes."""
        return max(
            b - a
            for a, b in zip(self.pass_started_at, self.pass_started_at[1:]))

    async def run(self) -> None:
        """Runs passes until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            step = self.state_by_rank[0].step + 1
            if any(s.held_step == step for s in self.state_by_rank.values()):
                await asyncio.sleep(_ORDER_DURATION_S / 4)
                continue
            self._begin_pass(step)
            self.pass_started_at.append(loop.time())
            await asyncio.sleep(self._pass_duration_s)

    def _begin_pass(self, step: int) -> None:
        for rank, state in self.state_by_rank.items():
            if state.armed_version and state.armed_step == step:
                state = dataclasses.replace(state,
                                            map_version=state.armed_version,
                                            armed_version=0,
                                            armed_step=0)
            self.state_by_rank[rank] = dataclasses.replace(state, step=step)
        versions = {s.map_version for s in self.state_by_rank.values()}
        self.mixed_passes += len(versions) > 1

    async def execute_order(
            self, rank: int,
            order: peer_messages.RankOrder) -> peer_messages.RankState | None:
        """Executes an order unless it is to be lost.

        Args:
            rank: the index of the rank.
            order: the order.

        Returns:
            The state of the rank after the order, or None if it was lost.
        """
        await asyncio.sleep(_ORDER_DURATION_S)
        if self._lost_orders[rank, order.kind] > 0:
            self._lost_orders[rank, order.kind] -= 1
            await asyncio.sleep(_RESPONSE_TIMEOUT_S)
            return None
        self._apply_order(rank, order)
        return self.state_by_rank[rank]

    def _apply_order(self, rank: int, order: peer_messages.RankOrder) -> None:
        state = self.state_by_rank[rank]
        if order.kind is _KIND.PREPARE and not state.is_busy:
            self._update_state(rank, is_busy=True)
            asyncio.get_running_loop().call_later(_COPY_DURATION_S,
                                                  self._finish_copy, rank,
                                                  order.version)
        elif order.kind is _KIND.HOLD and order.step > state.step:
            self._update_state(rank, held_step=order.step)
        elif order.kind is _KIND.GO and order.step == state.held_step:
            self._update_state(rank, held_step=0)
        elif (order.kind is _KIND.ARM and order.step > state.step and
              state.prepared_version == order.version):
            self._update_state(rank,
                               armed_version=order.version,
                               armed_step=order.step)

    def _finish_copy(self, rank: int, version: int) -> None:
        self._update_state(rank, prepared_version=version, is_busy=False)

    def _update_state(self, rank: int, **changes: Any) -> None:
        self.state_by_rank[rank] = dataclasses.replace(self.state_by_rank[rank],
                                                       **changes)


class RunningRankServer(rank_server.RankServer):
    """Client of one rank's server on another host."""

    def __init__(self, *, group: RunningGroup, rank: int) -> None:
        self._group = group
        self._rank = rank

    async def fetch_status(self) -> rank_server.RankServerStatus:
        return rank_server.RankServerStatus(
            state=self._group.state_by_rank[self._rank],
            running=1,
            waiting=0,
            is_group_member=True)

    async def fetch_choice_counts(self) -> rank_server.ExpertChoiceCounts:
        raise rank_server.RankServerUnavailableError(
            'counts are available on the same host only')

    async def fetch_layout(self) -> peer_messages.RankLayout:
        raise rank_server.RankServerUnavailableError(
            'layouts are available on the same host only')

    async def send_order(self, order: peer_messages.RankOrder) -> int:
        state_after = await self._group.execute_order(self._rank, order)
        if state_after is None:
            raise rank_server.RankServerUnavailableError('no response')
        return _OK
