"""Latency histograms and the Prometheus endpoint of a process.

Requests are counted by outcome only. The number of series by workspace and
class would grow with the number of workspaces; the request accounting has these
counts.
"""

from collections.abc import Callable, Iterable, Mapping

import prometheus_client
from hdrh import histogram
from prometheus_client import core as prometheus, registry

from pollenthread.adapters import http_server
from pollenthread.core import account, errors, response_timing

__all__ = ['RequestLatencyHistograms', 'MetricsHandler']

_MAX_US = 3_600_000_000
_SIGNIFICANT_DIGITS = 2
_US_PER_S = 1_000_000
_BUCKET_BOUNDS_S = (0.005, 0.01, 0.025, 0.05, 0.07, 0.1, 0.25, 0.5, 1.0, 1.8,
                    3.0, 5.0, 10.0, 30.0, 60.0, 120.0)
_PREFIX = 'pollenthread'

GaugeSource = Callable[[], Mapping[str, float]]


class RequestLatencyHistograms:
    """Latency histograms that can be merged across hosts without loss.

    Attributes:
        by_name: the HDR histograms, in microseconds, by name.
    """

    def __init__(self) -> None:
        self.by_name = {
            name: histogram.HdrHistogram(1, _MAX_US, _SIGNIFICANT_DIGITS)
            for name in ('first_token', 'between_tokens', 'answer')
        }

    def observe(self, timing: response_timing.ResponseTiming,
                total_s: float) -> None:
        """Records the latencies of a complete response.

        Args:
            timing: the arrival times of the parts of the response.
            total_s: the time from the request to the end of the response, in
                seconds.
        """
        self._record('answer', total_s)
        if timing.first_chunk_s is not None:
            self._record('first_token', timing.first_chunk_s)
        if timing.mean_gap_s is not None:
            self._record('between_tokens', timing.mean_gap_s)

    def _record(self, name: str, seconds: float) -> None:
        value = min(max(1, round(seconds * _US_PER_S)), _MAX_US)
        self.by_name[name].record_value(value)

    def encoded(self) -> dict[str, str]:
        """Returns the histograms as encoded by the library, for `merge`."""
        return {
            name: hdr_histogram.encode().decode('ascii')
            for name, hdr_histogram in self.by_name.items()
        }

    def merge(self, encoded: Mapping[str, str]) -> None:
        """Adds the encoded histograms of another host."""
        for name, text in encoded.items():
            self.by_name[name].decode_and_add(text.encode('ascii'))


class _Collector(registry.Collector):
    """Produces the metrics at each scrape."""

    def __init__(self, *, request_counter: account.RequestCounter,
                 latencies: RequestLatencyHistograms,
                 gauges: GaugeSource) -> None:
        self._request_counter = request_counter
        self._latencies = latencies
        self._gauges = gauges

    def collect(self) -> Iterable[prometheus.Metric]:
        """Yields all metric families."""
        total = account.RequestCounts()
        for counts in self._request_counter.counts_by_key.values():
            total += counts
        ended = prometheus.CounterMetricFamily(f'{_PREFIX}_requests',
                                               'Requests by how they ended.',
                                               labels=['outcome'])
        for outcome in account.RequestOutcome:
            ended.add_metric([outcome.value], getattr(total, outcome.value))
        yield ended
        for name in ('accepted', 'attempts', 'retries', 'repeats'):
            yield prometheus.CounterMetricFamily(f'{_PREFIX}_{name}',
                                                 f'Requests: {name}.',
                                                 value=getattr(total, name))
        for name, value in self._gauges().items():
            yield prometheus.GaugeMetricFamily(f'{_PREFIX}_{name}',
                                               f'Process: {name}.',
                                               value=value)
        for name, hdr_histogram in self._latencies.by_name.items():
            yield _histogram_metric(name, hdr_histogram)


def _histogram_metric(
        name: str, hdr_histogram: histogram.HdrHistogram) -> prometheus.Metric:
    """Converts a histogram to cumulative buckets.

    The bucket bounds are accurate to the precision of the HDR histogram.
    """
    counts = [0] * len(_BUCKET_BOUNDS_S)
    total_us = 0
    for item in hdr_histogram.get_recorded_iterator():
        value_us = item.value_iterated_to
        total_us += value_us * item.count_added_in_this_iter_step
        for i, bound in enumerate(_BUCKET_BOUNDS_S):
            if value_us <= bound * _US_PER_S:
                counts[i] += item.count_added_in_this_iter_step
    buckets = [(str(bound), float(count))
               for bound, count in zip(_BUCKET_BOUNDS_S, counts)]
    buckets.append(('+Inf', float(hdr_histogram.total_count)))
    return prometheus.HistogramMetricFamily(f'{_PREFIX}_{name}_seconds',
                                            f'Whole answers: {name}.',
                                            buckets=buckets,
                                            sum_value=total_us / _US_PER_S)


class MetricsHandler(http_server.RequestHandler):
    """Serves the metrics page, and the histograms for merging."""

    def __init__(self, *, request_counter: account.RequestCounter,
                 latencies: RequestLatencyHistograms,
                 gauges: GaugeSource) -> None:
        self._latencies = latencies
        self._registry = prometheus_client.CollectorRegistry()
        self._registry.register(
            _Collector(request_counter=request_counter,
                       latencies=latencies,
                       gauges=gauges))

    async def handle(self, request: http_server.HttpRequest,
                     response: http_server.HttpResponse) -> None:
        if request.method != 'GET':
            await response.send_problem(
                errors.make_failure(errors.ErrorKind.METHOD_NOT_ALLOWED))
        elif request.path == '/metrics':
            await response.send(
                200, [('content-type', prometheus_client.CONTENT_TYPE_LATEST)],
                prometheus_client.generate_latest(self._registry))
        elif request.path == '/metrics/histograms':
            await response.send_json(200, self._latencies.encoded())
        else:
            await response.send_problem(
                errors.make_failure(errors.ErrorKind.NOT_FOUND))
