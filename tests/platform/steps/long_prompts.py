"""Steps for long prompts beside short ones."""

import dataclasses
from typing import Any

from behave import given, then, when

from pollenthread.core.routing import long_prompts
from tests.fakes import forwarding, reading_servers

_TARGET_S = 0.4
_MAX_GAP_S = 0.12
_WARM_UP_S = 5.0
_MINUTE_S = 60


def _make_servers(context: Any, groups: int, ranks: int, tokens_per_s: int,
                  hosts: int) -> None:
    engine = dataclasses.replace(forwarding.ENGINE_PROFILE,
                                 slots=5,
                                 base_step_s=0.01,
                                 mean_output_tokens=150.0,
                                 prefill_tokens_per_s=float(tokens_per_s))
    context.servers = reading_servers.ReadingServers(engine=engine,
                                                     groups=groups,
                                                     ranks=ranks,
                                                     hosts=hosts)


@given('a group of {ranks:d} ranks that reads {tokens_per_s:d} tokens per '
       'second, and {hosts:d} hosts')
def step_group(context: Any, ranks: int, tokens_per_s: int, hosts: int) -> None:
    _make_servers(context, 1, ranks, tokens_per_s, hosts)


@given('{servers:d} single servers that read {tokens_per_s:d} tokens per '
       'second, and {hosts:d} hosts')
def step_single(context: Any, servers: int, tokens_per_s: int,
                hosts: int) -> None:
    _make_servers(context, servers, 1, tokens_per_s, hosts)


@when('{rate:d} streams per second arrive for {seconds:d} s, one in {part:d} '
      'with {long_tokens:d} tokens instead of {short_tokens:d}')
def step_arrive(context: Any, rate: int, seconds: int, part: int,
                long_tokens: int, short_tokens: int) -> None:
    context.servers.run(seconds,
                        rate=rate,
                        long_share=1 / part,
                        long_tokens=long_tokens,
                        short_tokens=short_tokens)
    context.streams = [
        s for s in context.servers.streams if s.arrived_at > _WARM_UP_S
    ]


def _percent_in_time(streams: list[reading_servers.Stream]) -> float:
    in_time = sum(s.first_s <= _TARGET_S and s.longest_gap_s <= _MAX_GAP_S
                  for s in streams)
    return 100 * in_time / len(streams)


@then('over {short:d}% of the short and over {long:d}% of the long ones are in '
      'time')
def step_in_time(context: Any, short: int, long: int) -> None:
    found = [
        _percent_in_time([s
                          for s in context.streams
                          if s.is_long == is_long])
        for is_long in (False, True)
    ]
    assert found[0] > short and found[1] > long, found


@then('over {percent:d}% of all have no gap over {gap_ms:d} ms')
def step_gaps(context: Any, percent: int, gap_ms: int) -> None:
    kept = sum(s.longest_gap_s <= gap_ms / 1000 for s in context.streams)
    assert kept > percent / 100 * len(context.streams), kept


def _record(placement: long_prompts.LongPromptPlacement, start_s: int,
            minutes: int, part: int) -> None:
    for second in range(start_s, start_s + minutes * _MINUTE_S):
        placement.record(25.0,
                         is_long=bool(part) and second % part == 0,
                         now=float(second))


@given('requests of which one in {part:d} is long, during a minute')
def step_requests(context: Any, part: int) -> None:
    context.placement = long_prompts.LongPromptPlacement()
    context.second = _MINUTE_S
    _record(context.placement, 0, 1, part)


@given('another host with one in {part:d}')
def step_other_host(context: Any, part: int) -> None:
    context.other = long_prompts.LongPromptPlacement()
    _record(context.other, 0, 1, part)


@when('one in {part:d} is long during the next {minutes:d} minutes')
def step_more(context: Any, part: int, minutes: int) -> None:
    _record(context.placement, context.second, minutes, part)
    context.second += minutes * _MINUTE_S


@when('none is long during the next {minutes:d} minutes')
def step_none(context: Any, minutes: int) -> None:
    _record(context.placement, context.second, minutes, 0)


def _preferred(placement: long_prompts.LongPromptPlacement,
               count: int) -> frozenset[str]:
    return placement.preferred([f's{i}' for i in range(count)])


@then('of {count:d} servers {preferred:d} prefer long prompts')
@then('of {count:d} group {preferred:d} prefer long prompts')
def step_preferred(context: Any, count: int, preferred: int) -> None:
    found = _preferred(context.placement, count)
    assert abs(len(found) - preferred) <= 1 if preferred else not found, found


@then('both prefer {preferred:d} of {count:d} servers, and the other host '
      'others in addition')
def step_same(context: Any, preferred: int, count: int) -> None:
    found = _preferred(context.placement, count)
    others = _preferred(context.other, count)
    assert len(found) >= preferred and found < others, (found, others)
