"""Measures how the cost of a selection grows with the size of the system.

`python -m bench.scale --seed N [--quick]` measures the time of an upstream
selection and the memory of its state by the number of candidates, and the time
to rank entry hosts by their number.
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

_CANDIDATE_COUNTS = (16, 64, 256, 1300)
_ENTRY_HOST_COUNTS = (9, 100, 400)
_BATCH_COUNT = 9
_SELECTIONS = 2000
_QUICK_SELECTIONS = 400
_PREFIX_COUNT = 64
_MAX_GROWTH = 1.5


class _Upstream(upstream_selection.Candidate):
    """An upstream with the state that an entry host has of it."""

    def __init__(self, name: str, rng: random.Random,
                 mean_other_load: load_estimate.MeanOtherLoad,
                 detector: outlier_detection.OutlierDetector) -> None:
        self._name = name
        self._mean_other_load = mean_other_load
        self._detector = detector
        load = admission_control.UpstreamLoad(rng.randrange(16), (0, 0, 0), 16,
                                              4.0, 0.1, 0.05)
        self._load_report = load_estimate.UpstreamLoadReport(load, 0, 0.0)
        self.sent = load_estimate.SentAttemptLog()
        detector.add(name)
        mean_other_load.record(self._load_report)

    @property
    def host(self) -> str:
        return self._name

    @property
    def estimate(self) -> upstream_selection.UpstreamEstimate:
        return upstream_selection.UpstreamEstimate(
            self._load_report.load,
            load_estimate.expected_load(self._load_report,
                                        own=2,
                                        mean=self._mean_other_load,
                                        now=1.0))

    @property
    def is_usable(self) -> bool:
        return self._detector.is_usable(self._name, 1.0)


class _UpstreamSet:
    """The state that an entry host has of the upstreams of one model."""

    def __init__(self, count: int, rng: random.Random) -> None:
        mean_other_load = load_estimate.MeanOtherLoad()
        detector = outlier_detection.OutlierDetector()
        self.upstreams = [
            _Upstream(f'agent-{i}', rng, mean_other_load, detector)
            for i in range(count)
        ]
        self.by_host = {u.host: u for u in self.upstreams}
        self.ring = prefix_hashing.PrefixHashRing(self.by_host)
        local_upstreams = self.upstreams[:max(1, count // 3)]
        self.tiers = [local_upstreams, self.upstreams]


def _time_call_us(callback: Callable[[], object], repeats: int) -> float:
    started_at = time.perf_counter()
    for _ in range(repeats):
        callback()
    return (time.perf_counter() - started_at) / repeats * 1e6


def _selection_function(upstream_set: _UpstreamSet,
                        seed: int) -> Callable[[], object]:
    rng = random.Random(seed)
    prefixes = [rng.randbytes(8) for _ in range(_PREFIX_COUNT)]

    def select_upstream() -> object:
        prefix = prefixes[rng.randrange(_PREFIX_COUNT)]
        return upstream_selection.select(
            upstream_set.tiers,
            upstream_selection.AttemptRequirements(importance=1,
                                                   time_left_s=1.8),
            random_unit=rng.random,
            preferred=upstream_set.by_host.get(
                upstream_set.ring.host_for(prefix)))

    return select_upstream


def _selection_rows(seed: int, repeats: int) -> list[dict[str, Any]]:
    """Measures the selection for each number of candidates.

    All sizes are measured in turn, so that load on the machine affects all of
    them equally.
    """
    rows = []
    selection_functions = []
    for count in _CANDIDATE_COUNTS:
        tracemalloc.start()
        upstream_set = _UpstreamSet(count, random.Random(seed))
        state_bytes = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        selection_functions.append(_selection_function(upstream_set, seed))
        rows.append({
            'candidates': count,
            'state_bytes_per_candidate': round(state_bytes / count)
        })
    batches = [[
        _time_call_us(select_upstream, repeats)
        for select_upstream in selection_functions
    ]
               for _ in range(_BATCH_COUNT)]
    for row, times_us, ratios in zip(
            rows, zip(*batches),
            zip(*([time_us / batch[0]
                   for time_us in batch]
                  for batch in batches))):
        row['decision_us'] = round(statistics.median(times_us), 1)
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
                    _time_call_us(
                        lambda: addresses.rank_entry_hosts(hosts, 'caller'),
                        max(1, repeats // count))
                    for _ in range(_BATCH_COUNT)), 1)
    }


def main() -> None:
    """Runs the measurement and prints the result."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--quick', action='store_true')
    args = parser.parse_args()
    repeats = _QUICK_SELECTIONS if args.quick else _SELECTIONS
    selection_rows = _selection_rows(args.seed, repeats)
    rows = selection_rows + [
        _addresses_row(count, repeats) for count in _ENTRY_HOST_COUNTS
    ]
    growth = selection_rows[-1]['over_smallest']
    common.emit(args.seed, rows, [
        common.Target('decision at 1,300 candidates over 16', _MAX_GROWTH,
                      growth, growth <= _MAX_GROWTH)
    ])


if __name__ == '__main__':
    main()
