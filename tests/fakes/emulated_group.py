"""Emulates a rank group with changing expert demand in virtual time.

The duration of a pass grows with the skew of the load over the ranks. The
demand for the experts changes at a fixed interval. Orders have the effects that
they have at a real server: copying experts takes time, a rank switches its map
at the pass for which it is armed, and a held pass does not begin. A group that
loses a rank stalls, and forms again without maps once the rank is back.
"""

import asyncio
import dataclasses
import itertools
import random
from collections.abc import Sequence
from typing import Any

from pollenthread.core import peer_messages, replication, routing_config
from pollenthread.ports import rank_server

__all__ = ['EmulatedGroup', 'EmulatedRankServer', 'zipf_shares']

_KIND = peer_messages.OrderKind
_TOPICS = 9
_ZIPF_EXPONENT = 0.82
_MAIN_TOPIC_SHARE = 0.55
_SELECTIONS_PER_PASS = 400.0
_CALL_DURATION_S = 0.003
_HELD_POLL_INTERVAL_S = 0.002
_ACCEPTED = 202
_OK = 200
_CONFLICT = 409
_STALL_S = 1.5
_FORM_S = 0.6


def zipf_shares(rng: random.Random, experts: int) -> list[float]:
    """Returns Zipf-distributed shares of the experts, in random order.

    Args:
        rng: the random number generator.
        experts: the number of experts.

    Returns:
        The share of each expert; the sum is 1.
    """
    shares = [0.0] * experts
    for rank, expert in enumerate(rng.sample(range(experts), experts)):
        shares[expert] = (rank + 1)**-_ZIPF_EXPONENT
    total = sum(shares)
    return [share / total for share in shares]


class _Topics:
    """Derives the expert demand from a mix of request topics."""

    def __init__(self, rng: random.Random, sets: int, experts: int) -> None:
        self._rng = rng
        self._shares_by_topic = [[
            zipf_shares(rng, experts) for _ in range(sets)
        ] for _ in range(_TOPICS)]
        self._main_topic = -1

    def next_demand(self) -> list[list[float]]:
        """Selects another main topic.

        Returns:
            The share of each expert, by set and expert.
        """
        others = [t for t in range(_TOPICS) if t != self._main_topic]
        self._main_topic = self._rng.choice(others)
        rest = (1 - _MAIN_TOPIC_SHARE) / (_TOPICS - 1)
        weights = [
            _MAIN_TOPIC_SHARE if topic == self._main_topic else rest
            for topic in range(_TOPICS)
        ]
        return [[
            sum(w * share
                for w, share in zip(weights, column))
            for column in zip(*by_topic)
        ]
                for by_topic in zip(*self._shares_by_topic)]


@dataclasses.dataclass
class _Rank:
    """One rank.

    Attributes:
        state: the state that the rank reports.
        held_by_version: the experts of each set that the rank holds, by map
            version.
    """

    state: peer_messages.RankState
    held_by_version: dict[int, tuple[frozenset[int], ...]]


class EmulatedGroup:
    """Runs passes until cancelled.

    Attributes:
        profile: the speed and memory of the engine.
        pass_durations_s: the seconds from the start of the previous pass to
            the start of each pass.
        skew_by_pass: the skew of each pass, which is the mean over the sets of
            the greatest rank load.
        ideal_skew_by_pass: the skew with a map that is planned with the true
            demand and without limits on copies.
        began_at: the virtual time at which each pass began.
        formed_at: the virtual time at which the group formed last.
        mixed_passes: the number of passes in which the ranks used different
            maps.
        copies: the number of expert copies that ranks have loaded.
    """

    def __init__(self, *, name: str, ranks: int,
                 profile: routing_config.EngineProfile, streams_per_rank: float,
                 demand_change_interval_s: float, seed: int) -> None:
        """Initializes the group without starting it.

        Args:
            name: the name of the group.
            ranks: the number of ranks.
            profile: the speed and memory of the engine.
            streams_per_rank: the number of streams that each rank processes.
            demand_change_interval_s: seconds between changes of the demand.
            seed: the seed of the random number generator.
        """
        self.profile = profile
        self.pass_durations_s: list[float] = []
        self.skew_by_pass: list[float] = []
        self.ideal_skew_by_pass: list[float] = []
        self.began_at: list[float] = []
        self.formed_at = 0.0
        self.mixed_passes = 0
        self.copies = 0
        self._streams_per_rank = streams_per_rank
        self._demand_change_interval_s = demand_change_interval_s
        self._rng = random.Random(seed)
        self._topics = _Topics(self._rng, profile.sets, profile.experts)
        self._demand = self._topics.next_demand()
        self._selection_counts = [0.0] * (profile.sets * profile.experts)
        self._ranks = [
            self._make_rank(name, rank, ranks) for rank in range(ranks)
        ]
        self._slowdowns = [1.0] * ranks
        self._lost_rank: int | None = None
        self._lost_for_s = 0.0
        self._ideal_skew = self._compute_ideal_skew()
        self._update_skew()

    def _make_rank(self, name: str, rank: int, ranks: int) -> _Rank:
        first = frozenset(range(rank, self.profile.experts, ranks))
        state = peer_messages.RankState(group=name,
                                        host='',
                                        rank=rank,
                                        size=ranks,
                                        epoch=1,
                                        is_open=True,
                                        born_ms=1,
                                        step=1,
                                        map_version=0,
                                        prepared_version=0,
                                        armed_version=0,
                                        armed_step=0,
                                        held_step=0,
                                        is_busy=False,
                                        pace_percent=100)
        return _Rank(state, {0: (first,) * self.profile.sets})

    @property
    def states(self) -> list[peer_messages.RankState]:
        """The states of all ranks."""
        return [rank.state for rank in self._ranks]

    def set_slowdown(self, rank: int, slowdown: float) -> None:
        """Sets the time that a rank takes, relative to normal."""
        self._slowdowns[rank] = slowdown
        self._ranks[rank].state = dataclasses.replace(self._ranks[rank].state,
                                                      pace_percent=round(
                                                          slowdown * 100))
        self._update_skew()

    def lose_rank(self, rank: int, seconds: float) -> None:
        """Makes a rank unreachable for some seconds."""
        self._lost_rank = rank
        self._lost_for_s = seconds

    def is_lost(self, rank: int) -> bool:
        """Returns whether a rank is unreachable."""
        return rank == self._lost_rank

    def held_experts(self, rank: int) -> int:
        """Returns the number of experts of all sets in use at a rank."""
        held = self._ranks[rank]
        return sum(map(len, held.held_by_version[held.state.map_version]))

    def _update_skew(self) -> None:
        layouts = self._layouts([r.state.map_version for r in self._ranks])
        self._skew = replication.mean_max_rank_load(layouts, self._demand,
                                                    self._slowdowns)

    def _compute_ideal_skew(self) -> float:
        profile = self.profile
        layouts = self._layouts([0] * len(self._ranks))
        limits = replication.ReplicationLimits(
            max_experts_per_rank=profile.expert_slots,
            max_new_per_set=profile.expert_slots,
            max_copies=profile.sets * profile.expert_slots,
            min_gain=0.0001)
        return replication.plan_replication_step(layouts, self._demand, limits,
                                                 self._slowdowns).after

    def _layouts(self, versions: Sequence[int]) -> list[replication.SetLayout]:
        """Returns the layouts of maps, whose versions are given by rank."""
        return [
            tuple(rank.held_by_version[version][index]
                  for rank, version in zip(self._ranks, versions))
            for index in range(self.profile.sets)
        ]

    def pass_s(self, skew: float) -> float:
        """Returns the duration of a pass in seconds."""
        profile = self.profile
        sequences_s = profile.step_s_per_sequence * self._streams_per_rank
        share = profile.expert_share
        own_part_s = profile.base_step_s + sequences_s * (1 - share)
        return profile.steps_per_pass * (own_part_s * max(self._slowdowns) +
                                         sequences_s * share * skew)

    async def run(self) -> None:
        """Runs passes until cancelled."""
        loop = asyncio.get_running_loop()
        demand_changes_at = loop.time() + self._demand_change_interval_s
        last_pass_at = loop.time()
        for step in itertools.count(2):
            if self._lost_rank is not None:
                await self._form_again()
                last_pass_at = loop.time()
            while any(r.state.held_step == step for r in self._ranks):
                await asyncio.sleep(_HELD_POLL_INTERVAL_S)
            now = loop.time()
            if now >= demand_changes_at:
                demand_changes_at += self._demand_change_interval_s
                self._demand = self._topics.next_demand()
                self._ideal_skew = self._compute_ideal_skew()
                self._update_skew()
            self.pass_durations_s.append(now - last_pass_at)
            self.skew_by_pass.append(self._skew)
            self.ideal_skew_by_pass.append(self._ideal_skew)
            self.began_at.append(now)
            last_pass_at = now
            self._begin_pass(step)
            await asyncio.sleep(self.pass_s(self._skew))

    async def _form_again(self) -> None:
        """Stalls, breaks and opens the group in the next epoch with map 0."""
        await asyncio.sleep(_STALL_S)
        for rank in self._ranks:
            rank.state = dataclasses.replace(rank.state, is_open=False)
        await asyncio.sleep(max(0.0, self._lost_for_s - _STALL_S))
        self._lost_rank = None
        await asyncio.sleep(_FORM_S)
        self.formed_at = asyncio.get_running_loop().time()
        self._selection_counts = [0.0] * len(self._selection_counts)
        for rank in self._ranks:
            rank.held_by_version = {0: rank.held_by_version[0]}
            rank.state = dataclasses.replace(rank.state,
                                             is_open=True,
                                             epoch=rank.state.epoch + 1,
                                             map_version=0,
                                             prepared_version=0,
                                             armed_version=0,
                                             armed_step=0,
                                             held_step=0,
                                             is_busy=False)
        self._update_skew()

    def _begin_pass(self, step: int) -> None:
        before = self._ranks[0].state.map_version
        for rank in self._ranks:
            state = dataclasses.replace(rank.state, step=step)
            if state.armed_version and state.armed_step == step:
                state = dataclasses.replace(state,
                                            map_version=state.armed_version,
                                            armed_version=0,
                                            armed_step=0)
            rank.state = state
        versions = {rank.state.map_version for rank in self._ranks}
        self.mixed_passes += len(versions) > 1
        if before != self._ranks[0].state.map_version:
            self._update_skew()
        self._count_selections()

    def _count_selections(self) -> None:
        flat = itertools.chain.from_iterable(self._demand)
        self._selection_counts = [
            total + _SELECTIONS_PER_PASS * share
            for total, share in zip(self._selection_counts, flat)
        ]

    def counts(self, rank: int) -> rank_server.ExpertChoiceCounts:
        """Returns how often each expert has been selected."""
        return rank_server.ExpertChoiceCounts(step=self._ranks[rank].state.step,
                                              epoch=self._ranks[0].state.epoch,
                                              counts=tuple(
                                                  map(int,
                                                      self._selection_counts)))

    def layout(self, rank: int) -> peer_messages.RankLayout:
        """Returns the experts that a rank holds."""
        rank_data = self._ranks[rank]
        version = rank_data.state.map_version
        return peer_messages.RankLayout(
            epoch=rank_data.state.epoch,
            version=version,
            experts=tuple(
                tuple(sorted(held))
                for held in rank_data.held_by_version[version]))

    def execute_order(self, rank: int, order: peer_messages.RankOrder) -> int:
        """Executes an order; returns the HTTP status of the response."""
        rank_data = self._ranks[rank]
        state = rank_data.state
        if order.epoch != state.epoch or not state.is_open:
            return _CONFLICT
        if order.kind is _KIND.PREPARE:
            return self._prepare(rank_data, order)
        changes: dict[str, Any] = {}
        if order.kind is _KIND.ARM:
            if (state.prepared_version != order.version or
                    order.step <= state.step):
                return _CONFLICT
            changes = {'armed_version': order.version, 'armed_step': order.step}
        elif order.kind is _KIND.DISARM:
            if state.armed_version != order.version:
                return _CONFLICT
            changes = {'armed_version': 0, 'armed_step': 0}
        elif order.kind is _KIND.HOLD:
            if state.held_step or order.step <= state.step:
                return _CONFLICT
            changes = {'held_step': order.step}
        elif state.held_step == order.step:
            changes = {'held_step': 0}
        rank_data.state = dataclasses.replace(state, **changes)
        return _OK

    def _prepare(self, rank: _Rank, order: peer_messages.RankOrder) -> int:
        state = rank.state
        newest = max(state.map_version, state.prepared_version)
        if state.is_busy or state.armed_version or order.version <= newest:
            return _CONFLICT
        held_experts = tuple(
            frozenset(ranks[state.rank]) for ranks in order.layouts)
        added_counts = [
            len(after - before) for before, after in zip(
                rank.held_by_version[state.map_version], held_experts)
        ]
        if (max(added_counts) > self.profile.spare_expert_slots or
                max(map(len, held_experts)) > self.profile.expert_slots):
            return _CONFLICT
        rank.held_by_version[order.version] = held_experts
        rank.state = dataclasses.replace(state, is_busy=True)
        self.copies += sum(added_counts)
        copy_s = (sum(added_counts) * self.profile.expert_bytes /
                  self.profile.link_bytes_per_s)
        asyncio.get_running_loop().call_later(copy_s, self._finish_copy, rank,
                                              order.version)
        return _ACCEPTED

    @staticmethod
    def _finish_copy(rank: _Rank, version: int) -> None:
        if version not in rank.held_by_version:
            # The group has formed again in the meantime.
            return
        rank.state = dataclasses.replace(rank.state,
                                         prepared_version=version,
                                         is_busy=False)


class EmulatedRankServer(rank_server.RankServer):
    """Client of one rank's server on the same host."""

    def __init__(self,
                 *,
                 group: EmulatedGroup,
                 rank: int,
                 running: int,
                 order_delays_s: Sequence[float] = ()) -> None:
        """Initializes the client.

        Args:
            group: the group of the rank.
            rank: the index of the rank in the group.
            running: the number of running requests that the server reports.
            order_delays_s: delays in seconds of the next orders, in sequence.
                A delayed order gets no response; 0 means no delay.
        """
        self._group = group
        self._rank_index = rank
        self._running = running
        self._order_delays_s = list(order_delays_s)

    async def _call(self) -> None:
        await asyncio.sleep(_CALL_DURATION_S)
        if self._group.is_lost(self._rank_index):
            raise rank_server.RankServerUnavailableError('unreachable')

    async def fetch_status(self) -> rank_server.RankServerStatus:
        await self._call()
        return rank_server.RankServerStatus(
            state=self._group.states[self._rank_index],
            running=self._running,
            waiting=0,
            is_group_member=True)

    async def fetch_choice_counts(self) -> rank_server.ExpertChoiceCounts:
        await self._call()
        return self._group.counts(self._rank_index)

    async def fetch_layout(self) -> peer_messages.RankLayout:
        await self._call()
        return self._group.layout(self._rank_index)

    async def send_order(self, order: peer_messages.RankOrder) -> int:
        await self._call()
        delay_s = self._order_delays_s.pop(0) if self._order_delays_s else 0.0
        if delay_s:
            asyncio.get_running_loop().call_later(delay_s,
                                                  self._group.execute_order,
                                                  self._rank_index, order)
            raise rank_server.RankServerUnavailableError('no response')
        return self._group.execute_order(self._rank_index, order)
