"""Steps for servers that start again under their ids."""

import dataclasses
from typing import Any

import hypothesis
from behave import given, then, when
from hypothesis import strategies

from pollenthread.app import store_listeners
from pollenthread.app.data_centres import warm_up_watch
from pollenthread.core import (routing_config, server_limits, server_registry,
                               service_estimate, store_version)
from pollenthread.platform import server_row
from pollenthread.ports import row_store
from tests.fakes import forwarding, memory

_ID = 's-1'
_SERVICE = 'llm'
_RELISTING_S = 2.0
_LIMIT_PER_S = 1.5
_BORN_MS = strategies.integers(1, 4)
_DRAINING = server_registry.ServerState.DRAINING
_READY = server_registry.ServerState.READY


def _server(
        born_ms: int,
        state: server_registry.ServerState = _READY) -> server_registry.Server:
    return dataclasses.replace(forwarding.make_server(_ID, born_ms=born_ms),
                               state=state)


def _row(born_ms: int, warm_up_ms: int = 0) -> row_store.RowChange:
    value = (f'{{"service": "{_SERVICE}", "address": "10.0.0.1:1", '
             f'"zone": "a", "state": "ready", "born": {born_ms}, '
             f'"cold_remaining_ms": {warm_up_ms}}}')
    return row_store.RowChange(_ID, value.encode(),
                               store_version.StoreVersion(1, born_ms))


@given('a server whose entry tells start {born_ms:d}')
def step_listed(context: Any, born_ms: int) -> None:
    context.registry = server_registry.ServerRegistry(relisting_s=_RELISTING_S)
    context.registry.put(_server(born_ms))


@when('its agent tells start {born_ms:d}')
def step_told(context: Any, born_ms: int) -> None:
    context.registry.record_start(_server(0).address, born_ms)


@when('its entry tells start {born_ms:d}')
def step_entry(context: Any, born_ms: int) -> None:
    context.registry.put(_server(born_ms))


@when('its entry tells start {born_ms:d} and that it drains')
def step_draining_entry(context: Any, born_ms: int) -> None:
    context.registry.put(_server(born_ms, _DRAINING))


@when('its entry expires during an outage of the store')
def step_expires(context: Any) -> None:
    context.registry.begin_outage()
    context.registry.remove(_ID, now=1.0)


@then('it is used')
def step_used(context: Any) -> None:
    assert [s.id for s in context.registry.ready(_SERVICE)] == [_ID]


@then('it is not used')
def step_unused(context: Any) -> None:
    assert not context.registry.ready(_SERVICE)


# What a host knows of a server.


def _make_listener(context: Any) -> store_listeners.ServerListener:
    context.clock = memory.MemoryClock()
    context.state = forwarding.make_state()
    return store_listeners.ServerListener(state=context.state,
                                          time=context.clock,
                                          log=memory.NullEventLog(),
                                          table='servers',
                                          decode=server_row.decode)


@given('a host that has seen a server of start 1 fail and pause')
def step_failed(context: Any) -> None:
    context.listener = _make_listener(context)
    context.listener.on_full_read([_row(1)], store_version.StoreVersion(1, 1))
    loads = context.state.server_loads
    loads.record_start(_ID, context.clock.now)
    for _ in range(5):
        loads.record_failure(_ID, context.clock.now)
    server = context.state.server_registry.get(_ID)
    context.state.server_statements.record_pause(server, 60.0,
                                                 context.clock.now)


@given('a host that has seen a server of start {born_ms:d} warm up')
def step_warming(context: Any, born_ms: int) -> None:
    context.listener = _make_listener(context)
    service = dataclasses.replace(forwarding.CONFIG.services_by_name[_SERVICE],
                                  warm_up=routing_config.WarmUp(3.0, 26.0))
    context.state.config = dataclasses.replace(
        forwarding.CONFIG, services_by_name={_SERVICE: service})
    watch = warm_up_watch.WarmUpWatch(state=context.state,
                                      time=context.clock,
                                      log=memory.NullEventLog())
    context.listener.entry_callbacks.append(watch.on_entry)
    context.listener.on_full_read([], store_version.StoreVersion(1, 1))
    context.listener.on_changes([_row(born_ms)])


@then('the server of start {born_ms:d} still warms up')
def step_still_warming(context: Any, born_ms: int) -> None:
    (server,) = context.state.server_registry.ready(_SERVICE)
    assert server.born_ms == born_ms
    assert context.state.warming_servers.is_warming(server, context.clock.now)


@when('the list tells start {born_ms:d} of that server and that it warms up '
      'for {seconds:d} s')
def step_older_warming(context: Any, born_ms: int, seconds: int) -> None:
    context.listener.on_changes([_row(born_ms, seconds * 1000)])


@when('the list tells start {born_ms:d} of that server')
def step_started_again(context: Any, born_ms: int) -> None:
    context.listener.on_changes([_row(born_ms)])


@then('the host selects it')
def step_selected(context: Any) -> None:
    now = context.clock.now
    state = context.state
    other = forwarding.make_server('s-2')
    state.server_loads.record_request_count('s-2', 5, now)
    restarted = state.server_registry.get(_ID)
    assert state.server_statements.accepts(restarted, now)
    found = {
        state.server_loads.select(
            (restarted, other),
            excluded=(),
            data_centre='a',
            requirements=service_estimate.RequestRequirements(8.0),
            hosts=1,
            now=now).id for _ in range(20)
    }
    assert _ID in found, found
    state.server_loads.record_end(_ID)
    assert state.server_loads.own_requests(_ID) == 0


@given('a host that knows a limit of a listed server')
def step_limited(context: Any) -> None:
    context.listener = _make_listener(context)
    context.listener.on_full_read([_row(1)], store_version.StoreVersion(1, 1))
    context.state.server_limits.record(
        server_limits.RateLimit(_ID, 1, _LIMIT_PER_S, context.clock.now))


@when('the store comes back from an outage without that server')
def step_outage(context: Any) -> None:
    context.listener.on_error(row_store.StoreError.UNAVAILABLE)
    context.listener.on_full_read([], store_version.StoreVersion(1, 2))
    context.listener.on_contact(store_version.StoreVersion(1, 2))


@then('the server is used and its limit holds')
def step_limit_holds(context: Any) -> None:
    (server,) = context.state.server_registry.ready(_SERVICE)
    limit = context.state.server_limits.get(server)
    assert limit is not None and limit.per_s == _LIMIT_PER_S


@when('the server has not been listed again in time')
def step_not_listed(context: Any) -> None:
    context.clock.now += 2 * _RELISTING_S
    context.listener.drop_expired()


@then('its limit is forgotten')
def step_limit_forgotten(context: Any) -> None:
    assert context.state.server_limits.last_named(_ID) is None


# Random orders.


class _Model:
    """A registry to which random events of one server are applied.

    Attributes:
        registry: the registry.
        told_born_ms: the latest start that was told.
    """

    def __init__(self) -> None:
        self.registry = server_registry.ServerRegistry(relisting_s=_RELISTING_S)
        self.told_born_ms = 0
        self._now = 0.0

    def apply(self, event: str, born_ms: int) -> None:
        """Applies one event."""
        self._now += 0.3
        if event == 'entry':
            self.registry.put(_server(born_ms))
        elif event == 'agent':
            if self.registry.record_start(_server(0).address, born_ms) is None:
                # Nothing was known of a server at the address.
                born_ms = born_ms if self.registry.get(_ID) else 0
        elif event == 'removal':
            self.registry.remove(_ID, self._now)
        elif event == 'outage':
            self.registry.begin_outage()
        elif event == 'return':
            self.registry.end_outage(self._now)
            self.registry.drop_expired(self._now)
        if event in ('entry', 'agent'):
            self.told_born_ms = max(self.told_born_ms, born_ms)
        if self.registry.get(_ID) is None:
            # A host need not remember servers that are gone for good.
            self.told_born_ms = 0

    def used_born_ms(self) -> set[int]:
        """Returns the starts of the servers that are used."""
        return {s.born_ms for s in self.registry.ready(_SERVICE)}


@when('{count:d} random orders of events are applied to one server')
def step_random(context: Any, count: int) -> None:
    events = strategies.lists(strategies.tuples(
        strategies.sampled_from(
            ('entry', 'agent', 'removal', 'outage', 'return')), _BORN_MS),
                              max_size=12)
    context.stale = []
    context.lost = []

    @hypothesis.seed(46)
    @hypothesis.settings(max_examples=count, database=None, deadline=None)
    @hypothesis.given(events)
    def check(order: list[tuple[str, int]]) -> None:
        model = _Model()
        for event, born_ms in order:
            model.apply(event, born_ms)
            if any(b < model.told_born_ms for b in model.used_born_ms()):
                context.stale.append(order)
        newest_ms = max(model.told_born_ms, 1)
        model.apply('entry', newest_ms)
        if model.used_born_ms() != {newest_ms}:
            context.lost.append(order)

    check()  # pylint: disable=no-value-for-parameter


@then('no earlier run is used after a later one was told')
def step_no_stale(context: Any) -> None:
    assert not context.stale, min(context.stale, key=len)


@then('an entry of the newest run makes it usable')
def step_none_lost(context: Any) -> None:
    assert not context.lost, min(context.lost, key=len)
