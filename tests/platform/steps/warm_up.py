"""Steps for servers that warm up, in virtual time."""

import asyncio
import collections
import dataclasses
import json
import random
from collections.abc import Callable, Sequence
from typing import Any

import hypothesis
from behave import given, then, when
from hypothesis import strategies

from pollenthread.app import (entry_liveness, host_registry, rate_permits,
                              serving_state)
from pollenthread.app.data_centres import warm_up_watch
from pollenthread.app.routing import usable_servers
from pollenthread.core import (host_record, routing_config, server_load,
                               server_registry, store_version)
from pollenthread.core.routing import evacuations, send_windows
from pollenthread.platform import server_row
from pollenthread.ports import peers
from tests.fakes import forwarding, memory, virtual_time

_SERVICE = 'llm'
_WARM_UP_S = 3.0
_SETTINGS = serving_state.WarmUpSettings(factor=1.5, extra=5.0)


def _make_state(limit: float | None) -> serving_state.ServingState:
    """Returns a state whose servers may get some requests in a second."""
    state = serving_state.ServingState(
        data_centre='a',
        retry_settings=serving_state.RetryBudgetSettings(0.2, 94.0, 10.0),
        return_s=2.0,
        rng=random.Random(1),
        warm_up_settings=_SETTINGS)
    warm_up = None
    if limit is not None:
        warm_up = routing_config.WarmUp(_WARM_UP_S, (limit - _SETTINGS.extra) /
                                        _SETTINGS.factor)
    service = routing_config.Service(_SERVICE, '/', 258,
                                     forwarding.ENGINE_PROFILE, warm_up)
    state.config = dataclasses.replace(forwarding.CONFIG,
                                       services_by_name={_SERVICE: service})
    return state


class _Network(peers.PeerNetwork):
    """Reaches nobody."""

    def set_datagram_handler(self, message_type: Any, handler: Any) -> None:
        return

    def send_all(self, addresses: Any, message: Any) -> bool:
        return True

    def set_snapshot_provider(self, provider: Any) -> None:
        return

    async def fetch_snapshot(self, address: str, known: Any) -> None:
        return None

    def set_rank_state_provider(self, provider: Any) -> None:
        return

    async def fetch_rank_state(self, address: str) -> None:
        return None

    def set_rank_layout_provider(self, provider: Any) -> None:
        return

    async def fetch_rank_layout(self, address: str) -> None:
        return None


def _record(name: str) -> host_record.HostRecord:
    return host_record.HostRecord(host=name,
                                  role=host_record.Role.ENTRY,
                                  data_centre='a',
                                  peer_address=f'{name}:1',
                                  caller_address=f'{name}:2')


def _make_permits(
    name: str,
    known: int,
    limit: float,
    servers: Sequence[server_registry.Server] = ()
) -> rate_permits.RatePermits:
    """Returns the permits of a host that knows some hosts by their records."""
    time, log = virtual_time.LoopClock(), memory.NullEventLog()
    state = _make_state(limit)
    for server in servers:
        state.server_registry.put(server)
    hosts = host_registry.HostRegistry()
    for number in range(known):
        hosts.put(_record(f'host-{number}'))
    if known:
        hosts.on_contact(store_version.StoreVersion(1, known))
    liveness = entry_liveness.EntryLiveness(own=_record(name),
                                            hosts=hosts,
                                            state=state,
                                            time=time,
                                            log=log)
    return rate_permits.SharedRatePermits(own=_record(name),
                                          liveness=liveness,
                                          network=_Network(),
                                          state=state,
                                          time=time,
                                          log=log)


@given('{hosts:d} hosts that know each other and {servers:d} servers with a '
       'limit of {limit:d} per second')
def step_hosts(context: Any, hosts: int, servers: int, limit: int) -> None:
    context.hosts = hosts
    context.limit = limit
    context.servers = [
        forwarding.make_server(f's-{number}') for number in range(servers)
    ]
    context.arrivals = collections.defaultdict(list)
    context.senders = set()


async def _send(context: Any, host: str, seconds: float, delay_s: float,
                rng: random.Random) -> None:
    """Sends requests as often as the permits of a host allow."""
    loop = asyncio.get_running_loop()
    permits = _make_permits(host, context.hosts, context.limit, context.servers)
    ends_at = loop.time() + seconds
    await asyncio.sleep(rng.uniform(0.0, 0.3))
    while loop.time() < ends_at:
        for server in context.servers:
            permit = await permits.acquire(server, rng.choice((0.0, 0.2)))
            if permit.is_granted:
                context.senders.add(host)
                arrives_at = (loop.time() + permit.wait_s +
                              rng.uniform(0.0, delay_s))
                context.arrivals[server.id].append(arrives_at)
        await asyncio.sleep(rng.uniform(0.01, 0.05))


def _send_all(context: Any, seconds: float, delay_s: float) -> None:
    context.seconds = seconds

    async def run() -> None:
        await asyncio.gather(*(_send(context, f'host-{number}', seconds,
                                     delay_s, random.Random(number))
                               for number in range(context.hosts)))

    virtual_time.run(run())


@when('each host sends to the servers as often as it may for {seconds:d} s')
def step_send(context: Any, seconds: int) -> None:
    _send_all(context, seconds, 0.0)


@when('each host sends to the servers as often as it may for {seconds:d} s, '
      'with delays of {delay_ms:d} ms')
def step_send_late(context: Any, seconds: int, delay_ms: int) -> None:
    _send_all(context, seconds, delay_ms / 1000)


@then('no server gets more than {limit:d} requests within a second')
def step_within(context: Any, limit: int) -> None:
    for server_id, times in context.arrivals.items():
        times.sort()
        for first, last in zip(times, times[limit:]):
            assert last - first >= 1.0, (server_id, first, last)


@then('together they get at least {least:d} in 100 of what their limits allow')
def step_used(context: Any, least: int) -> None:
    found = sum(map(len, context.arrivals.values()))
    # Windows are a tenth longer than a second.
    allowed = context.limit * len(context.servers) * context.seconds / 1.1
    assert found * 100 >= least * allowed, (found, allowed)


@then('every host could send to some server')
def step_all_could(context: Any) -> None:
    assert len(context.senders) == context.hosts, len(context.senders)


@when('{count:d} random sequences of reservations are made at one host')
def step_random(context: Any, count: int) -> None:
    context.excesses = []
    steps = strategies.lists(strategies.tuples(strategies.floats(0.0, 0.6),
                                               strategies.floats(0.0, 0.3)),
                             min_size=3,
                             max_size=40)

    @hypothesis.seed(48)
    @hypothesis.settings(max_examples=count, database=None, deadline=None)
    @hypothesis.given(strategies.integers(1, 4), steps)
    def check(share: int, sequence: list[tuple[float, float]]) -> None:
        windows = send_windows.SendWindows()
        now, sent_at = 0.0, []
        for pause_s, wait_s in sequence:
            now += pause_s
            at = max(now + wait_s, windows.open_at('s'))
            if windows.reserve('s', share, at):
                sent_at.append(at)
        sent_at.sort()
        if any(last - first < 1.0
               for first, last in zip(sent_at, sent_at[share:])):
            context.excesses.append((share, sequence))

    check()  # pylint: disable=no-value-for-parameter


@then('no window of a second has more than the share')
def step_no_excess(context: Any) -> None:
    assert not context.excesses, min(context.excesses,
                                     key=lambda found: len(found[1]))


def _count_granted(make_permits: Callable[[], rate_permits.RatePermits],
                   attempts: int) -> int:

    async def acquire() -> int:
        server = forwarding.make_server('s-1')
        permits = make_permits()
        return sum([(await permits.acquire(server, 0.0)).is_granted
                    for _ in range(attempts)])

    return virtual_time.run(acquire())


@given('a host with {count:d} servers without a warm-up')
def step_without(context: Any, count: int) -> None:
    del count
    context.make_permits = lambda: rate_permits.LocalRatePermits(
        state=_make_state(None),
        time=virtual_time.LoopClock(),
        log=memory.NullEventLog())


@then('{count:d} permits at once are granted for each')
def step_granted(context: Any, count: int) -> None:
    assert _count_granted(context.make_permits, count) == count


@given('a host that has just started, with {count:d} server that has a '
       'warm-up')
def step_uninformed(context: Any, count: int) -> None:
    del count
    context.make_permits = lambda: _make_permits('host-0', 0, 44)


@then('{count:d} permit at once is granted')
def step_one_granted(context: Any, count: int) -> None:
    assert _count_granted(context.make_permits, 10) == count


# Which servers are preferred.


@given('a host with {count:d} servers that have a warm-up')
def step_servers(context: Any, count: int) -> None:
    context.clock = memory.MemoryClock()
    context.state = _make_state(44.0)
    log = memory.NullEventLog()
    context.watch = warm_up_watch.WarmUpWatch(state=context.state,
                                              time=context.clock,
                                              log=log)
    context.usable = usable_servers.UsableServers(
        state=context.state,
        permits=rate_permits.LocalRatePermits(state=context.state,
                                              time=context.clock,
                                              log=log),
        time=context.clock)
    for number in range(1, count + 1):
        context.state.server_registry.put(_listed(f's-{number}', 0.0))


def _listed(name: str,
            warm_up_s: float,
            born_ms: int = 1) -> server_registry.Server:
    return dataclasses.replace(forwarding.make_server(
        name, born_ms=born_ms, data_centre='b' if name == 's-1' else 'a'),
                               warm_up_s=warm_up_s)


def _enter(context: Any,
           server: server_registry.Server,
           *,
           is_new_run: bool = False) -> None:
    context.state.server_registry.put(server)
    context.watch.on_entry(server, is_new_run)


@given('"{name}" is listed as warming up')
def step_warming(context: Any, name: str) -> None:
    _enter(context, _listed(name, 2.0))


@given('"{name}" started again')
def step_started(context: Any, name: str) -> None:
    _enter(context, _listed(name, 0.0, born_ms=2), is_new_run=True)


@given('"{name}" is in a data centre that is restored')
def step_restored(context: Any, name: str) -> None:
    del name
    context.watch.on_evacuation(evacuations.EvacuationChange((), ('b',)))


@given('"{name}" was slow and is warm again')
def step_warm_again(context: Any, name: str) -> None:
    _enter(context, _listed(name, 2.0))
    context.clock.now += 2.1
    context.watch.drop_warm()


@given('"{name}" was slow before it started again warm')
def step_slow_before(context: Any, name: str) -> None:
    _enter(context, _listed(name, 600.0))
    _enter(context, _listed(name, 0.0, born_ms=2), is_new_run=True)
    context.clock.now += _WARM_UP_S - 0.1


@given('the other servers have {load:d} requests each')
def step_load(context: Any, load: int) -> None:
    for server in context.state.server_registry.ready(_SERVICE):
        if server.id != 's-1':
            context.state.server_loads.record_report(
                server.id,
                server_load.ServerLoadReport(running=load, waiting=0, slots=6),
                context.clock.now)


@given('the other servers have no requests each')
def step_no_reports(context: Any) -> None:
    # Nobody has reported their loads.
    del context


@then('"{name}" is left out')
def step_left_out(context: Any, name: str) -> None:
    found = [server.id for server in context.usable.permitted(_SERVICE)]
    assert found and name not in found, found


@then('"{name}" is used')
def step_used_too(context: Any, name: str) -> None:
    found = [server.id for server in context.usable.permitted(_SERVICE)]
    assert name in found, found


@when('an entry of a server has a remaining time of {value:g}')
def step_entry(context: Any, value: float) -> None:
    entry = {
        'service': _SERVICE,
        'address': '10.0.0.1:80',
        'zone': 'dc-0',
        'state': 'ready',
        'cold_remaining_ms': value
    }
    context.decoded = server_row.decode('s-1', json.dumps(entry).encode())


@then('its server warms up for {seconds:g} s')
def step_decoded(context: Any, seconds: float) -> None:
    assert context.decoded.unwrap().warm_up_s == seconds, context.decoded
