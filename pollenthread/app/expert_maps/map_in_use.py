"""The map that a group uses, as known to its coordinator.

A coordinator knows the map that it has switched to itself. The map of an
earlier coordinator is known to each agent of the group that was ordered to
prepare it, and the map with which a group forms is the same each time. Only
otherwise are all ranks asked for their experts.
"""

import asyncio
from collections.abc import Sequence

from pollenthread.app import group_view, switch_driver
from pollenthread.app.expert_maps import silent_rank_query
from pollenthread.core import peer_messages, replication
from pollenthread.ports import peers

__all__ = ['MapInUse']

_INITIAL_VERSION = 0


class MapInUse:
    """Finds the map that all ranks of one group use.

    Attributes:
        layouts: the experts of each rank, by set; None unless they are known.
        epoch: the epoch of the group that uses the map.
        version: the version of the map.
    """

    def __init__(self, *, view: group_view.GroupView,
                 driver: switch_driver.SwitchDriver,
                 silent_ranks: silent_rank_query.SilentRankQuery,
                 network: peers.PeerNetwork) -> None:
        """Initializes without a known map.

        Args:
            view: the known state of the group.
            driver: knows the addresses of the ranks' agents.
            silent_ranks: asks the servers of ranks whose agents are silent.
            network: sends queries to other agents.
        """
        self.layouts: tuple[replication.SetLayout, ...] | None = None
        self.epoch = 0
        self.version = 0
        self._view = view
        self._driver = driver
        self._silent_ranks = silent_ranks
        self._network = network
        self._initial_layouts: tuple[replication.SetLayout, ...] | None = None

    def forget(self) -> None:
        """Forgets the map, as ranks may use another one by now."""
        self.layouts = None

    def set(self, layouts: tuple[replication.SetLayout, ...], epoch: int,
            version: int) -> None:
        """Records a map that all ranks have switched to."""
        self.layouts = layouts
        self.epoch = epoch
        self.version = version

    async def find(self) -> tuple[replication.SetLayout, ...] | None:
        """Returns the experts of each rank, by set.

        Returns None unless all ranks use one map and its layouts are known.
        """
        states = self._view.states()
        versions = {(s.epoch, s.map_version) for s in states.values()}
        if len(versions) != 1:
            return None
        if self.layouts is not None and (self.epoch, self.version) in versions:
            return self.layouts
        self.epoch, self.version = versions.pop()
        self.layouts = self._remembered_layouts()
        if self.layouts is None:
            self.layouts = await self._fetch_layouts(sorted(states))
        if self.version == _INITIAL_VERSION:
            self._initial_layouts = self.layouts
        return self.layouts

    def _remembered_layouts(self) -> tuple[replication.SetLayout, ...] | None:
        if self.version == _INITIAL_VERSION:
            known = self._initial_layouts
            # A group may form anew with another number of ranks.
            is_current = known is not None and len(known[0]) == len(
                self._view.states())
            return known if is_current else None
        found = self._view.remembered_map(self.version)
        if found is None:
            return None
        return tuple(tuple(map(frozenset, by_rank)) for by_rank in found)

    async def _fetch_layouts(
            self,
            ranks: Sequence[int]) -> tuple[replication.SetLayout, ...] | None:
        found = await asyncio.gather(*map(self._fetch_layout, ranks))
        reported = [layout for layout in found if layout is not None]
        if len(reported) < len(ranks) or {
            (layout.epoch, layout.version) for layout in reported
        } != {(self.epoch, self.version)}:
            return None
        return tuple(
            tuple(frozenset(layout.experts[index])
                  for layout in reported)
            for index in range(len(reported[0].experts)))

    async def _fetch_layout(self, rank: int) -> peer_messages.RankLayout | None:
        if self._view.is_agent_silent(rank):
            return await self._silent_ranks.fetch_layout(rank)
        return await self._network.fetch_rank_layout(
            self._driver.agent_address(rank))
