"""Steps for metrics."""

import random
from typing import Any

from behave import then, when
from prometheus_client import parser

from pollenthread.adapters import metrics
from pollenthread.core import response_timing
from tests import scenario


async def _scrape(context: Any, host: str) -> dict[str, float]:
    admin = context.system.by_name[host].ready['admin']
    async with context.system.client.request(admin, 'GET',
                                             '/metrics') as exchange:
        text = (await exchange.read_all()).decode()
    return {
        sample.name + ''.join(sample.labels.values()): sample.value
        for family in parser.text_string_to_metric_families(text)
        for sample in family.samples
    }


@then('the scrape of "{host}" shows {count:d} responses in time')
def step_scrape(context: Any, host: str, count: int) -> None:
    found = scenario.run(context, _scrape(context, host))
    assert found['pollenthread_requests_totalin_time'] == count, found
    assert found['pollenthread_accepted_total'] == count, found
    assert found['pollenthread_answer_seconds_count'] == count, found
    assert found['pollenthread_targets_version'] == 1, found


@then('the merged histograms of both entry hosts count {count:d} responses')
def step_merge(context: Any, count: int) -> None:
    merged = metrics.RequestLatencyHistograms()
    for process in context.system.named('entry-'):
        merged.merge(
            scenario.run(
                context,
                context.system.call(process.ready['admin'], 'GET',
                                    '/metrics/histograms')))
    assert merged.by_name['answer'].total_count == count


def _percentiles(
        latencies: metrics.RequestLatencyHistograms) -> dict[str, list[int]]:
    return {
        name: [
            found.total_count, *(found.get_value_at_percentile(p)
                                 for p in (1, 50, 95, 99, 100))
        ] for name, found in latencies.by_name.items()
    }


@when('{count:d} latencies with seed {seed:d} are observed on {hosts:d} hosts '
      'and merged')
def step_observe_and_merge(context: Any, count: int, seed: int,
                           hosts: int) -> None:
    rng = random.Random(seed)
    context.single_host = metrics.RequestLatencyHistograms()
    by_host = [metrics.RequestLatencyHistograms() for _ in range(hosts)]
    for _ in range(count):
        timing = response_timing.ResponseTiming()
        timing.record(rng.expovariate(1.0), 1)
        timing.record(timing.last_chunk_s + rng.expovariate(10.0), 4)
        total_s = timing.last_chunk_s + 0.01
        context.single_host.observe(timing, total_s)
        rng.choice(by_host).observe(timing, total_s)
    context.merged = metrics.RequestLatencyHistograms()
    for host in by_host:
        context.merged.merge(host.encoded())


@then('the merged histograms equal those of one host that observed all '
      'latencies')
def step_equal(context: Any) -> None:
    assert _percentiles(context.merged) == _percentiles(context.single_host)
