"""Steps for data centres that operators empty, in virtual time."""

import asyncio
import collections
import contextlib
from collections.abc import AsyncIterator
from typing import Any

import hypothesis
from behave import given, then, when
from hypothesis import strategies

from pollenthread.app import serving_state
from pollenthread.core import (errors, http_headers, load_audience,
                               server_registry, store_version)
from pollenthread.core.routing import evacuations
from pollenthread.ports import upstream
from tests.fakes import entry_fleet, forwarding, virtual_time

_CHECK_INTERVAL_S = 0.02
_CALLER_TIMEOUT_S = 8.0
_EVENT = b'id: 1\ndata: x\n\n'


def _now() -> float:
    return asyncio.get_running_loop().time()


# Who knows.


async def _put(context: Any, data_centre: str, value: bytes | None) -> None:
    await context.script.fleet.store.put(entry_fleet.CONFIG_TABLE,
                                         f'evacuate/{data_centre}', value)


@when('"{data_centre}" is emptied')
def step_empty(context: Any, data_centre: str) -> None:
    context.script.add(lambda: _put(context, data_centre, b'{}'))


@when('"{data_centre}" is taken back')
def step_take_back(context: Any, data_centre: str) -> None:
    context.script.add(lambda: _put(context, data_centre, None))


@when('nothing else happens')
def step_nothing(context: Any) -> None:
    del context


@when('the store turns every watcher away')
def step_turn_away(context: Any) -> None:
    context.script.add(context.script.reject_watchers)


@when('every third datagram is lost')
def step_lossy(context: Any) -> None:

    async def lose() -> None:
        context.script.fleet.lost_every = 3

    context.script.add(lose)


def _known(context: Any) -> list[frozenset[str]]:
    return [
        host.state.evacuations.data_centres
        for host in context.script.fleet.host_by_name.values()
    ]


async def _check(context: Any, after_s: float, expected: set[str]) -> None:
    await asyncio.sleep(after_s + _CHECK_INTERVAL_S)
    assert all(k == expected for k in _known(context)), _known(context)


@when('every host still knows that "{data_centre}" is emptied')
def step_still_known(context: Any, data_centre: str) -> None:
    context.script.add(lambda: _check(context, 0.0, {data_centre}))


@then('within {seconds:g} s every host knows that "{data_centre}" is emptied')
def step_known(context: Any, seconds: float, data_centre: str) -> None:
    context.script.run(lambda: _check(context, seconds, {data_centre}))


@then('within {seconds:g} s every host knows that nothing is emptied')
def step_known_empty(context: Any, seconds: float) -> None:
    context.script.run(lambda: _check(context, seconds, set()))


@when('the store rejects all hosts and each host starts again in turn')
def step_restart(context: Any) -> None:
    context.uninformed = []
    context.ready_after_s = {}

    async def restart() -> None:
        fleet = context.script.fleet
        fleet.store.rejected_hosts.update(fleet.host_by_name)
        for name in list(fleet.host_by_name):
            record = fleet.host_by_name[name].record
            await fleet.stop_host(name)
            fleet.start_host(record)
            started_at = _now()
            while not fleet.host_by_name[name].state.is_ready:
                await asyncio.sleep(_CHECK_INTERVAL_S)
                if _now() - started_at > _CALLER_TIMEOUT_S:
                    break
            context.ready_after_s[name] = _now() - started_at
            known = fleet.host_by_name[name].state.evacuations.data_centres
            if known != {'dc-1'}:
                context.uninformed.append(name)

    context.script.add(restart)


@then('no host was ready before it knew that "dc-1" is emptied')
def step_informed(context: Any) -> None:

    async def check() -> None:
        assert context.ready_after_s and not context.uninformed

    context.script.run(check)


@then('each of them was ready within {seconds:g} s')
def step_ready(context: Any, seconds: float) -> None:
    assert max(context.ready_after_s.values()) < seconds, context.ready_after_s


@when('{count:d} random orders of late and repeated news reach two hosts')
def step_random_news(context: Any, count: int) -> None:
    context.differences = []
    versions = strategies.builds(store_version.StoreVersion,
                                 strategies.integers(1, 2),
                                 strategies.integers(1, 5))
    # A version of the store has one content.
    lists = strategies.dictionaries(versions,
                                    strategies.frozensets(
                                        strategies.sampled_from('abc')),
                                    min_size=1)

    @hypothesis.seed(48)
    @hypothesis.settings(max_examples=count, database=None, deadline=None)
    @hypothesis.given(lists, strategies.randoms())
    def check(list_by_version: dict[store_version.StoreVersion, frozenset[str]],
              rng: Any) -> None:
        latest = max(list_by_version)
        for _ in range(2):
            news = [*list_by_version.items(), *list_by_version.items()]
            rng.shuffle(news)
            known = evacuations.Evacuations()
            for at, (version, listed) in enumerate(news):
                known.update(listed, version, float(at))
            known.drop_expired(1000.0)
            if known.data_centres != list_by_version[latest]:
                context.differences.append(news)

    check()  # pylint: disable=no-value-for-parameter


@then('both know the latest list at the end')
def step_same_list(context: Any) -> None:
    assert not context.differences, min(context.differences, key=len)


@given(
    '{servers:d} servers in each of "a", "b" and "c" and "{emptied}" emptied')
def step_counts(context: Any, servers: int, emptied: str) -> None:
    context.counts = {d: servers for d in 'abc' if d not in emptied.split(',')}


@given('{servers:d} servers in each of "a", "b" and "c" and "" emptied')
def step_all_counts(context: Any, servers: int) -> None:
    context.counts = {d: servers for d in 'abc'}


@then('a host in "{own}" follows "{followed}"')
def step_follows(context: Any, own: str, followed: str) -> None:
    found = load_audience.followed_data_centres(own, context.counts)
    assert found == set(followed.split(',')), found


# What requests get.


class _Response(upstream.UpstreamResponse):
    """A stream of one event."""

    def __init__(self) -> None:
        self.status = 200
        self.headers: tuple[http_headers.Header, ...] = ()
        self.may_have_executed = True
        self.is_misdirected = False
        self.load = None
        self.limit_per_s = None
        self.closes_connection = False

    # pylint: disable-next=invalid-overridden-method
    async def read(self) -> AsyncIterator[bytes]:
        yield _EVENT


class _Servers(upstream.UpstreamClient):
    """Counts the requests and answers, by data centre.

    Attributes:
        delay_by_data_centre: seconds after which servers begin.
    """

    def __init__(self) -> None:
        self.delay_by_data_centre: dict[str, float] = {}
        self.arrivals: collections.Counter[str] = collections.Counter()
        self.answers: collections.Counter[str] = collections.Counter()

    @contextlib.asynccontextmanager
    async def send(  # pylint: disable=invalid-overridden-method
        self, attempt: upstream.UpstreamAttempt
    ) -> AsyncIterator[upstream.UpstreamResponse]:
        data_centre = attempt.server.data_centre
        self.arrivals[data_centre] += 1
        await asyncio.sleep(self.delay_by_data_centre.get(data_centre, 0.05))
        self.answers[data_centre] += 1
        yield _Response()

    async def is_refusing(self, server: server_registry.Server) -> bool:
        return False


@given('a host in "a" with servers in "a", "b" and "c"')
def step_host(context: Any) -> None:
    context.servers = _Servers()
    context.state = forwarding.make_state()
    context.state.config = forwarding.CONFIG
    for data_centre in 'abc':
        for number in range(4):
            context.state.server_registry.put(
                forwarding.make_server(f'{data_centre}-{number}',
                                       data_centre=data_centre))


@given('a host in "a" with servers in "a", "b" and "c" that begin after '
       '{seconds:g} s in "a"')
def step_slow_host(context: Any, seconds: float) -> None:
    step_host(context)
    context.servers.delay_by_data_centre['a'] = seconds


def _empty(state: serving_state.ServingState, names: str) -> None:
    state.evacuations.update([n for n in names.split(',') if n != 'nowhere'],
                             store_version.StoreVersion(1, 2), _now())


async def _serve(context: Any, count: int, emptied_after_s: float,
                 emptied: str) -> None:
    serving = forwarding.make_forwarder(state=context.state,
                                        upstream_client=context.servers,
                                        time=virtual_time.LoopClock())
    watch = asyncio.create_task(serving.watch_silent_servers())
    context.responses = [forwarding.RecordingResponse() for _ in range(count)]
    if not emptied_after_s:
        _empty(context.state, emptied)
    started_at = _now()
    tasks = [
        asyncio.create_task(
            serving.serve(
                forwarding.make_request(received_at=started_at,
                                        timeout_s=_CALLER_TIMEOUT_S), response))
        for response in context.responses
    ]
    if emptied_after_s:
        await asyncio.sleep(emptied_after_s)
        _empty(context.state, emptied)
    await asyncio.gather(*tasks)
    context.took_s = _now() - started_at - emptied_after_s
    watch.cancel()


@when('"{emptied}" is emptied and {count:d} requests arrive')
def step_requests(context: Any, emptied: str, count: int) -> None:
    virtual_time.run(_serve(context, count, 0.0, emptied))


@when('{count:d} requests arrive and then "{emptied}" is emptied')
def step_requests_before(context: Any, count: int, emptied: str) -> None:
    virtual_time.run(_serve(context, count, 0.01, emptied))


def _check_only(context: Any, data_centres: set[str]) -> None:
    assert set(context.servers.arrivals) == data_centres
    assert all(r.is_complete for r in context.responses)


@then('only servers in "b" and "c" get requests')
def step_two(context: Any) -> None:
    _check_only(context, {'b', 'c'})


@then('only servers in "c" get requests')
def step_one(context: Any) -> None:
    _check_only(context, {'c'})


@then('only servers in "a" get requests')
def step_own(context: Any) -> None:
    _check_only(context, {'a'})


@then('all requests are rejected at once, as not run')
def step_rejected(context: Any) -> None:
    assert not context.servers.arrivals and context.took_s < 0.01
    for response in context.responses:
        assert response.failure.kind is errors.ErrorKind.NO_UPSTREAM
        assert response.failure.executed is errors.Executed.NO


@then('the requests at "a" are answered by servers in "b" and "c" within '
      '{seconds:g} s')
def step_recalled(context: Any, seconds: float) -> None:
    assert context.servers.arrivals['a'] and not context.servers.answers['a']
    assert context.took_s < seconds, context.took_s
    assert all(r.is_complete for r in context.responses)


@then('no request is answered as failed')
def step_none_failed(context: Any) -> None:
    assert not any(r.failure for r in context.responses)
