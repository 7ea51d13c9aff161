"""Tells the parts of a group's skew when its demand shifts each few seconds.

The demand is replayed against the planner of the platform. Each row makes one
more part of the reaction ideal, so the differences between rows add up: what
the estimate misses, what is lost until a shift is known, until the map is in
use, to the limits of a change, and to the slots that ranks have.

Run `python -m bench.balance_shifts --seed N [--interval-s S] [--kind KIND]`.
"""

import argparse
import dataclasses
from collections.abc import Sequence
from typing import Any

import numpy as np

from bench import balance_traces, common
from pollenthread.core import (expert_demand, replication, routing_config,
                               step_limits)

__all__: list[str] = []

_TICK_S = 0.02
_WINDOW_S = 0.14
_SWITCH_S = 0.3
_DURATION_S = 30.0
_REPORTING_RANKS = 24
_EXACT_CHOICES = 1_000_000


@dataclasses.dataclass(frozen=True)
class _Group:
    """The size of a group and the speed of its engine.

    Attributes:
        ranks: the number of ranks.
        engine: the profile of the engine.
    """

    ranks: int
    engine: routing_config.EngineProfile


def _make_group(ranks: int, sets: int, experts: int, slots: int) -> _Group:
    engine = routing_config.EngineProfile(slots=5,
                                          kv_cache_tokens=200_000,
                                          base_step_s=0.005,
                                          step_s_per_sequence=0.0009,
                                          step_s_per_context_token=0.0,
                                          prefill_tokens_per_s=70_000.0,
                                          prefill_s_per_token_pair=0.0,
                                          prefill_chunk_tokens=512,
                                          steps_per_pass=6,
                                          mean_prompt_tokens=800.0,
                                          mean_output_tokens=150.0,
                                          link_bytes_per_s=22.5e9,
                                          sets=sets,
                                          experts=experts,
                                          expert_slots=slots,
                                          spare_expert_slots=2,
                                          expert_bytes=110e6,
                                          expert_share=0.85)
    return _Group(ranks, engine)


_GROUP_BY_KIND = {
    '72x12x144': _make_group(72, 12, 144, 3),
    '63x8x252': _make_group(63, 8, 252, 5)
}


@dataclasses.dataclass(frozen=True)
class _Reaction:
    """Which parts of the reaction to a shift are as in the program.

    Attributes:
        name: what the row makes ideal.
        choices: the choices of experts of a set that a window covers; 0 if the
            shares are known exactly.
        has_windows: whether a shift is seen through windows of reports, rather
            than at once.
        switch_s: the time from a plan to its map in use, in seconds.
        has_limits: whether copies are limited and have to be worthwhile.
    """

    name: str
    choices: int = 0
    has_windows: bool = False
    switch_s: float = 0.0
    has_limits: bool = False


def _reactions(choices: int) -> list[_Reaction]:
    return [
        _Reaction('as it is', choices, True, _SWITCH_S, True),
        _Reaction('shares exact', 0, True, _SWITCH_S, True),
        _Reaction('shift known at once', 0, False, _SWITCH_S, True),
        _Reaction('map in use at once', 0, False, 0.0, True),
        _Reaction('copies without limits', 0, False, 0.0, False)
    ]


class _Replay:
    """Replays one trace with one reaction."""

    def __init__(self, group: _Group, trace: balance_traces.Trace,
                 reaction: _Reaction, seed: int) -> None:
        self._group = group
        self._trace = trace
        self._reaction = reaction
        self._rng = np.random.default_rng(seed)
        engine = group.engine
        layout = tuple(
            frozenset(range(rank, engine.experts, group.ranks))
            for rank in range(group.ranks))
        self._layouts: Sequence[replication.SetLayout] = (layout,) * engine.sets
        self._planned: tuple[float, Sequence[replication.SetLayout]] | None
        self._planned = None
        self._demand = expert_demand.ExpertDemand(sets=engine.sets,
                                                  experts=engine.experts,
                                                  ranks=group.ranks)
        self._limits = step_limits.limits_for(engine, group.ranks)
        self.copies = 0
        self.skews: list[float] = []

    def run(self) -> None:
        """Replays the trace."""
        window_ticks = round(_WINDOW_S / _TICK_S)
        for tick in range(round(_DURATION_S / _TICK_S)):
            now = tick * _TICK_S
            shares = self._trace(now)
            if self._reaction.has_windows:
                self._report(shares)
                if tick % window_ticks == window_ticks - 1:
                    self._demand.close_window()
            self._switch(now)
            known = self._known_shares(shares)
            if self._planned is None and known is not None:
                self._plan(now, known)
                self._switch(now)
            self.skews.append(
                replication.mean_max_rank_load(self._layouts, shares.tolist()))

    def _report(self, shares: balance_traces.Shares) -> None:
        """Adds the choices of a tick to the window."""
        choices = self._reaction.choices * _TICK_S / _WINDOW_S
        if choices:
            counts = self._rng.poisson(shares * choices).ravel().tolist()
        else:
            counts = (shares * _EXACT_CHOICES).astype(int).ravel().tolist()
        self._demand.add(0, 0, counts)
        for rank in range(1, _REPORTING_RANKS):
            self._demand.add(rank, 0, ())

    def _known_shares(self, shares: balance_traces.Shares) -> Any:
        if not self._reaction.has_windows:
            return shares.tolist()
        if not self._demand.is_complete or self._demand.is_moving:
            return None
        return self._demand.shares_by_set

    def _plan(self, now: float, shares: Any) -> None:
        limits = self._limits.replication_limits
        if not self._reaction.has_limits:
            engine = self._group.engine
            limits = dataclasses.replace(limits,
                                         max_new_per_set=engine.expert_slots,
                                         max_copies=engine.sets *
                                         engine.expert_slots,
                                         min_gain=0.0001)
        step = replication.plan_replication_step(self._layouts, shares, limits)
        if self._reaction.has_limits and not self._limits.is_worthwhile(step):
            return
        if step.copies:
            self.copies += step.copies
            self._planned = (now + self._reaction.switch_s, step.layouts)

    def _switch(self, now: float) -> None:
        if self._planned is not None and now >= self._planned[0]:
            self._layouts = self._planned[1]
            self._planned = None


def _rows(kind: str, interval_s: float, choices: int,
          seed: int) -> list[dict[str, Any]]:
    group = _GROUP_BY_KIND[kind]
    rows = []
    for reaction in _reactions(choices):
        trace = balance_traces.make_shifting_trace(np.random.default_rng(seed),
                                                   group.engine.sets,
                                                   group.engine.experts,
                                                   interval_s)
        replay = _Replay(group, trace, reaction, seed)
        replay.run()
        skew = sum(replay.skews) / len(replay.skews)
        rows.append({
            'kind':
                kind,
            'interval_s':
                interval_s,
            'made_ideal':
                reaction.name,
            'skew':
                round(skew, 3),
            'gigabytes':
                round(replay.copies * group.engine.expert_bytes / 1e9, 1)
        })
        print(rows[-1], flush=True)
    return rows


def main() -> None:
    """Replays all rows and prints the result."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--interval-s', type=float, default=2.4)
    parser.add_argument('--choices', type=int, default=20_000)
    parser.add_argument('--kind',
                        choices=sorted(_GROUP_BY_KIND),
                        default='72x12x144')
    args = parser.parse_args()
    rows = _rows(args.kind, args.interval_s, args.choices, args.seed)
    common.emit(args.seed, rows, [])


if __name__ == '__main__':
    main()
