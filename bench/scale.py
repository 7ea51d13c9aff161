"""Measures what a decision costs, by candidates and by entry hosts.

`python -m bench.scale --seed N [--quick]`: microseconds and bytes of state.
"""

import argparse
import random
import statistics
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

from bench import common
from pollenthread.core import (addresses, admission_control, load_estimate,
                               outlier_detection, prefix_hashing,
                               upstream_selection)

__all__: list[str] = []

_CANDIDATES = (16, 64, 256, 1300)
_ENTRIES = (9, 100, 400)
_BATCHES = 9
_DECISIONS = 2000
_QUICK_DECISIONS = 400
_SAMPLES = 64
_MAX_GROWTH = 1.5


class _Upstream(upstream_selection.Candidate):
    """An upstream as an entry host keeps it."""

    def __init__(self, name: str, rng: random.Random,
                 mean: load_estimate.MeanOtherLoad,
                 book: outlier_detection.OutlierDetector) -> None:
        self._name = name
        self._mean = mean
        self._health = book
        reading = admission_control.UpstreamLoad(rng.randrange(16), (0, 0, 0),
                                                 16, 4.0, 0.1, 0.05)
        self._report = load_estimate.UpstreamLoadReport(reading, 0, 0.0)
        self.sent = load_estimate.SentAttemptLog()
        book.add(name)
        mean.record(self._report)

    @property
    def host(self) -> str:
        return self._name

    @property
    def estimate(self) -> upstream_selection.UpstreamEstimate:
        return upstream_selection.UpstreamEstimate(
            self._report.load,
            load_estimate.expected_load(self._report,
                                        own=2,
                                        mean=self._mean,
                                        now=1.0))

    @property
    def is_usable(self) -> bool:
        return self._health.is_usable(self._name, 1.0)


class _Fleet:
    """What one entry host keeps for one model's upstreams."""

    def __init__(self, count: int, rng: random.Random) -> None:
        mean = load_estimate.MeanOtherLoad()
        book = outlier_detection.OutlierDetector()
        self.upstreams = [
            _Upstream(f'agent-{i}', rng, mean, book) for i in range(count)
        ]
        self.by_host = {u.host: u for u in self.upstreams}
        self.ring = prefix_hashing.PrefixHashRing(self.by_host)
        near = self.upstreams[:max(1, count // 3)]
        self.tiers = [near, self.upstreams]


def _microseconds(act: Callable[[], object], repeats: int) -> float:
    begun_at = time.perf_counter()
    for _ in range(repeats):
        act()
    return (time.perf_counter() - begun_at) / repeats * 1e6


def _decision(fleet: _Fleet, seed: int) -> Callable[[], object]:
    rng = random.Random(seed)
    prefixes = [rng.randbytes(8) for _ in range(_SAMPLES)]

    def decide() -> object:
        prefix = prefixes[rng.randrange(_SAMPLES)]
        return upstream_selection.select(
            fleet.tiers,
            upstream_selection.AttemptRequirements(importance=1,
                                                   time_left_s=1.8),
            random_unit=rng.random,
            preferred=fleet.by_host.get(fleet.ring.host_for(prefix)))

    return decide


def _choice_rows(seed: int, repeats: int) -> list[dict[str, Any]]:
    """Times all fleets in turn, so that a busy machine slows all alike."""
    rows = []
    decisions = []
    for count in _CANDIDATES:
        tracemalloc.start()
        fleet = _Fleet(count, random.Random(seed))
        state = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        decisions.append(_decision(fleet, seed))
        rows.append({
            'candidates': count,
            'state_bytes_per_candidate': round(state / count)
        })
    batches = [[_microseconds(decide, repeats)
                for decide in decisions]
               for _ in range(_BATCHES)]
    for row, times, ratios in zip(
            rows, zip(*batches),
            zip(*([t / batch[0] for t in batch] for batch in batches))):
        row['decision_us'] = round(statistics.median(times), 1)
        row['over_smallest'] = round(statistics.median(ratios), 2)
    return rows


def _addresses_row(count: int, repeats: int) -> dict[str, Any]:
    hosts = [
        addresses.EntryHost(host=f'entry-{i}', address=f'10.0.0.{i}:80')
        for i in range(count)
    ]
    return {
        'entries':
            count,
        'addresses_us':
            round(
                statistics.median(
                    _microseconds(
                        lambda: addresses.rank_entry_hosts(hosts, 'caller'),
                        max(1, repeats // count)) for _ in range(_BATCHES)), 1)
    }


def main() -> None:
    """Measures and prints the result."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--quick', action='store_true')
    args = parser.parse_args()
    repeats = _QUICK_DECISIONS if args.quick else _DECISIONS
    choices = _choice_rows(args.seed, repeats)
    rows = choices + [_addresses_row(count, repeats) for count in _ENTRIES]
    growth = choices[-1]['over_smallest']
    common.emit(args.seed, rows, [
        common.Target('decision at 1,300 candidates over 16', _MAX_GROWTH,
                      growth, growth <= _MAX_GROWTH)
    ])


if __name__ == '__main__':
    main()
