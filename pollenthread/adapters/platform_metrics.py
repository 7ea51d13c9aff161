"""Counters and latency histograms of a process in the platform deployment.

The metrics libraries are imported at the first observation or scrape, because a
restarted host is unavailable until its imports have finished.
"""

from collections.abc import Callable, Mapping
from typing import Any

__all__ = ['LatencyHistogramSet', 'MetricsPageRenderer']

_MAX_US = 3_600_000_000
_SIGNIFICANT_DIGITS = 2
_US_PER_S = 1_000_000
_PREFIX = 'pollenthread'
_BUCKET_BOUNDS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0,
                    10.0)

SampleSource = Callable[[], Mapping[str, float]]


class LatencyHistogramSet:
    """Latency histograms by name."""

    def __init__(self) -> None:
        self._histogram_by_name: dict[str, Any] = {}

    def observe(self, name: str, seconds: float) -> None:
        """Records a latency in seconds."""
        hdr_histogram = self._histogram_by_name.get(name)
        if hdr_histogram is None:
            # pylint: disable-next=import-outside-toplevel
            from hdrh import histogram
            hdr_histogram = histogram.HdrHistogram(1, _MAX_US,
                                                   _SIGNIFICANT_DIGITS)
            self._histogram_by_name[name] = hdr_histogram
        hdr_histogram.record_value(
            min(max(1, round(seconds * _US_PER_S)), _MAX_US))

    def buckets(self, name: str) -> list[tuple[str, float]]:
        """Returns the upper bound (s) and cumulative count of each bucket."""
        hdr_histogram = self._histogram_by_name[name]
        counts = []
        for bound in _BUCKET_BOUNDS_S:
            below = sum(item.count_added_in_this_iter_step
                        for item in hdr_histogram.get_recorded_iterator()
                        if item.value_iterated_to <= bound * _US_PER_S)
            counts.append((str(bound), float(below)))
        return [*counts, ('+Inf', float(hdr_histogram.total_count))]

    def sum_s(self, name: str) -> float:
        """Returns the sum of the latencies of a name, in seconds."""
        hdr_histogram = self._histogram_by_name[name]
        return float(hdr_histogram.get_mean_value() *
                     hdr_histogram.total_count / _US_PER_S)

    @property
    def names(self) -> tuple[str, ...]:
        """The names for which latencies were recorded."""
        return tuple(self._histogram_by_name)


class MetricsPageRenderer:
    """Renders the page that Prometheus scrapes."""

    def __init__(self, *, counters: SampleSource, gauges: SampleSource,
                 latencies: LatencyHistogramSet) -> None:
        self._counters = counters
        self._gauges = gauges
        self._latencies = latencies

    def __call__(self) -> tuple[str, bytes]:
        """Returns the content type and the page."""
        # pylint: disable=import-outside-toplevel
        import prometheus_client
        from prometheus_client import core, registry

        renderer = self

        class _Collector(registry.Collector):

            def collect(self) -> Any:
                yield from renderer.collect_families(core)

        collector_registry = prometheus_client.CollectorRegistry()
        collector_registry.register(_Collector())
        return (prometheus_client.CONTENT_TYPE_LATEST,
                prometheus_client.generate_latest(collector_registry))

    def collect_families(self, core: Any) -> Any:
        """Yields all metric families.

        Args:
            core: the module `prometheus_client.core`.
        """
        for name, value in sorted(self._counters().items()):
            yield core.CounterMetricFamily(f'{_PREFIX}_{name}',
                                           f'Count: {name}.',
                                           value=value)
        for name, value in sorted(self._gauges().items()):
            yield core.GaugeMetricFamily(f'{_PREFIX}_{name}',
                                         f'Now: {name}.',
                                         value=value)
        for name in self._latencies.names:
            yield core.HistogramMetricFamily(
                f'{_PREFIX}_{name}_seconds',
                f'Latency: {name}.',
                buckets=self._latencies.buckets(name),
                sum_value=self._latencies.sum_s(name))
