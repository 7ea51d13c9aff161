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


@then('the scrape of "{host}" shows {count:d} answers in time')
def step_scrape(context: Any, host: str, count: int) -> None:
    found = scenario.run(context, _scrape(context, host))
    assert found['pollenthread_requests_totalin_time'] == count, found
    assert found['pollenthread_accepted_total'] == count, found
    assert found['pollenthread_answer_seconds_count'] == count, found
    assert found['pollenthread_targets_version'] == 1, found


@then('the histograms of both entry hosts merge into {count:d} answers')
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


@when('{count:d} latencies with seed {seed:d} are spread over {hosts:d} hosts '
      'and merged')
def step_spread(context: Any, count: int, seed: int, hosts: int) -> None:
    draw = random.Random(seed)
    context.one = metrics.RequestLatencyHistograms()
    by_host = [metrics.RequestLatencyHistograms() for _ in range(hosts)]
    for _ in range(count):
        times = response_timing.ResponseTiming()
        times.record(draw.expovariate(1.0), 1)
        times.record(times.last_chunk_s + draw.expovariate(10.0), 4)
        total_s = times.last_chunk_s + 0.01
        context.one.observe(times, total_s)
        draw.choice(by_host).observe(times, total_s)
    context.merged = metrics.RequestLatencyHistograms()
    for host in by_host:
        context.merged.merge(host.encoded())


@then('the merged histograms equal those of one host that saw all')
def step_equal(context: Any) -> None:
    assert _percentiles(context.merged) == _percentiles(context.one)
