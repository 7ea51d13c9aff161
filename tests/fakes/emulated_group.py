"""A group of ranks with experts in demand, in virtual time.

A pass lasts the longer the more unevenly the experts' work is spread. Other
experts come into demand each few seconds. Orders take effect as they do at a
real server: copies take time, a rank switches its map with the pass that it is
armed for, a held pass does not begin.
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
_ZIPF = 0.82
_MAIN_TOPIC_SHARE = 0.55
_CHOICES_A_PASS = 400.0
_CALL_S = 0.003
_HELD_LOOK_S = 0.002
_BEGUN = 202
_DONE = 200
_CONFLICT = 409


def zipf_shares(rng: random.Random, experts: int) -> list[float]:
    """Shares of experts of which few get much, in random places."""
    shares = [0.0] * experts
    for rank, expert in enumerate(rng.sample(range(experts), experts)):
        shares[expert] = (rank + 1)**-_ZIPF
    total = sum(shares)
    return [share / total for share in shares]


class _Topics:
    """What requests are about, and the experts that they choose then."""

    def __init__(self, rng: random.Random, sets: int, experts: int) -> None:
        self._rng = rng
        self._shares_by_topic = [[
            zipf_shares(rng, experts) for _ in range(sets)
        ] for _ in range(_TOPICS)]
        self._main = -1

    def next_demand(self) -> list[list[float]]:
        """Another topic is asked for more than the others."""
        others = [t for t in range(_TOPICS) if t != self._main]
        self._main = self._rng.choice(others)
        rest = (1 - _MAIN_TOPIC_SHARE) / (_TOPICS - 1)
        weights = [
            _MAIN_TOPIC_SHARE if topic == self._main else rest
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
        state: what it reports.
        held: the experts by set that it holds, by version of the map.
    """

    state: peer_messages.RankState
    held_by_version: dict[int, tuple[frozenset[int], ...]]


class EmulatedGroup:
    """Makes passes until cancelled."""

    def __init__(self, *, name: str, ranks: int,
                 profile: routing_config.EngineProfile, streams_per_rank: float,
                 demand_change_interval_s: float, seed: int) -> None:
        """Makes a group that has not begun.

        Args:
            name: the group's name.
            ranks: how many ranks it has.
            figures: the engine's figures.
            streams_a_rank: streams that each rank works on.
            change_s: seconds after which other experts are in demand.
            seed: of all that is random.
        """
        self.profile = profile
        self.pass_durations_s: list[float] = []
        self.skew_by_pass: list[float] = []
        self.mixed_passes = 0
        self.copies = 0
        self._streams = streams_per_rank
        self._change_s = demand_change_interval_s
        self._rng = random.Random(seed)
        self._topics = _Topics(self._rng, profile.sets, profile.experts)
        self._demand = self._topics.next_demand()
        self._choices = [0.0] * (profile.sets * profile.experts)
        self._ranks = [self._rank(name, rank, ranks) for rank in range(ranks)]
        self._skew = self._skew_now()

    def _rank(self, name: str, rank: int, ranks: int) -> _Rank:
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
        """All ranks' states."""
        return [rank.state for rank in self._ranks]

    def _skew_now(self) -> float:
        layouts = [
            tuple(rank.held_by_version[rank.state.map_version][index]
                  for rank in self._ranks)
            for index in range(self.profile.sets)
        ]
        return replication.mean_max_rank_load(layouts, self._demand)

    def pass_s(self, skew: float) -> float:
        """How long a pass lasts."""
        figures = self.profile
        writing = figures.step_s_per_sequence * self._streams
        share = figures.expert_share
        return figures.steps_per_pass * (figures.base_step_s + writing *
                                         (1 - share + share * skew))

    async def run(self) -> None:
        """Makes passes until cancelled."""
        loop = asyncio.get_running_loop()
        change_at = loop.time() + self._change_s
        last_at = loop.time()
        for step in itertools.count(2):
            while any(r.state.held_step == step for r in self._ranks):
                await asyncio.sleep(_HELD_LOOK_S)
            now = loop.time()
            if now >= change_at:
                change_at += self._change_s
                self._demand = self._topics.next_demand()
                self._skew = self._skew_now()
            self.pass_durations_s.append(now - last_at)
            self.skew_by_pass.append(self._skew)
            last_at = now
            self._begin(step)
            await asyncio.sleep(self.pass_s(self._skew))

    def _begin(self, step: int) -> None:
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
            self._skew = self._skew_now()
        self._count_choices()

    def _count_choices(self) -> None:
        flat = itertools.chain.from_iterable(self._demand)
        self._choices = [
            total + _CHOICES_A_PASS * share
            for total, share in zip(self._choices, flat)
        ]

    def counts(self, rank: int) -> rank_server.ExpertChoiceCounts:
        """How often a rank's requests have chosen each expert."""
        return rank_server.ExpertChoiceCounts(step=self._ranks[rank].state.step,
                                              epoch=1,
                                              counts=tuple(
                                                  map(int, self._choices)))

    def layout(self, rank: int) -> peer_messages.RankLayout:
        """The experts that a rank holds."""
        found = self._ranks[rank]
        version = found.state.map_version
        return peer_messages.RankLayout(
            epoch=1,
            version=version,
            experts=tuple(
                tuple(sorted(held)) for held in found.held_by_version[version]))

    def execute_order(self, rank: int, order: peer_messages.RankOrder) -> int:
        """Carries out an order; returns the status."""
        found = self._ranks[rank]
        state = found.state
        if order.kind is _KIND.PREPARE:
            return self._prepare(found, order)
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
        found.state = dataclasses.replace(state, **changes)
        return _DONE

    def _prepare(self, rank: _Rank, order: peer_messages.RankOrder) -> int:
        state = rank.state
        newest = max(state.map_version, state.prepared_version)
        if state.is_busy or state.armed_version or order.version <= newest:
            return _CONFLICT
        held = tuple(frozenset(ranks[state.rank]) for ranks in order.layouts)
        new = [
            len(after - before) for before, after in zip(
                rank.held_by_version[state.map_version], held)
        ]
        if (max(new) > self.profile.spare_expert_slots or
                max(map(len, held)) > self.profile.expert_slots):
            return _CONFLICT
        rank.held_by_version[order.version] = held
        rank.state = dataclasses.replace(state, is_busy=True)
        self.copies += sum(new)
        copy_s = (sum(new) * self.profile.expert_bytes /
                  self.profile.link_bytes_per_s)
        asyncio.get_running_loop().call_later(copy_s, self._copied, rank,
                                              order.version)
        return _BEGUN

    @staticmethod
    def _copied(rank: _Rank, version: int) -> None:
        rank.state = dataclasses.replace(rank.state,
                                         prepared_version=version,
                                         is_busy=False)


class EmulatedRankServer(rank_server.RankServer):
    """The server of one rank, asked from its own host."""

    def __init__(self,
                 *,
                 group: EmulatedGroup,
                 rank: int,
                 running: int,
                 order_delays_s: Sequence[float] = ()) -> None:
        """Makes a server.

        Args:
            group: its group.
            rank: its number there.
            running: requests that it says it works on.
            late: seconds by which its next orders are carried out late and
                left without an answer; 0 for those in time.
        """
        self._group = group
        self._rank = rank
        self._running = running
        self._late = list(order_delays_s)

    async def fetch_status(self) -> rank_server.RankServerStatus:
        await asyncio.sleep(_CALL_S)
        return rank_server.RankServerStatus(
            state=self._group.states[self._rank],
            running=self._running,
            waiting=0,
            is_group_member=True)

    async def fetch_choice_counts(self) -> rank_server.ExpertChoiceCounts:
        await asyncio.sleep(_CALL_S)
        return self._group.counts(self._rank)

    async def fetch_layout(self) -> peer_messages.RankLayout:
        await asyncio.sleep(_CALL_S)
        return self._group.layout(self._rank)

    async def send_order(self, order: peer_messages.RankOrder) -> int:
        await asyncio.sleep(_CALL_S)
        late_s = self._late.pop(0) if self._late else 0.0
        if late_s:
            asyncio.get_running_loop().call_later(late_s,
                                                  self._group.execute_order,
                                                  self._rank, order)
            raise rank_server.RankServerUnavailableError('no answer')
        return self._group.execute_order(self._rank, order)
