"""Steps for running map switches, in virtual time."""

import asyncio
import collections
from collections.abc import Iterable
from typing import Any

from behave import given, then, when

from pollenthread.app import group_view, host_registry, switch_driver
from pollenthread.core import host_record, map_switch, peer_messages
from tests.fakes import memory, running_group, virtual_time

_GROUP = 'g'
_EPOCH = 1
_VERSION = 7
_MS_PER_S = 1000
_LINK_BYTES_PER_S = 500_000.0
_SETTLE_S = 0.2
_REPORT_INTERVAL_S = 0.05


class _Network:
    """Delivers the orders of a switch driver to a group of ranks."""

    def __init__(self, group: running_group.RunningGroup,
                 view: group_view.GroupView) -> None:
        self._group = group
        self._view = view
        self._tasks: set[asyncio.Task[None]] = set()

    def send(self, address: str, order: peer_messages.RankOrder) -> None:
        self.send_all((address,), order)

    def send_all(self, addresses: Iterable[str],
                 order: peer_messages.RankOrder) -> bool:
        for address in (*addresses, *order.relay_to):
            task = asyncio.create_task(self._order(_rank(address), order))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        return True

    async def _order(self, rank: int, order: peer_messages.RankOrder) -> None:
        """Sends an order to a rank, as the agent beside it does."""
        attempts = 5 if order.kind is peer_messages.OrderKind.PREPARE else 1
        for _ in range(attempts):
            state = await self._group.execute_order(rank, order)
            if state is not None:
                self._view.take(state)
                return

    async def fetch_rank_state(self, address: str) -> peer_messages.RankState:
        return self._group.state_by_rank[_rank(address)]


def _rank(address: str) -> int:
    return int(address.rpartition(':')[2])


@given('a group of {size:d} ranks that begins a pass every {pass_ms:d} ms')
def step_running(context: Any, size: int, pass_ms: int) -> None:
    context.size = size
    context.lost_orders = collections.Counter()
    context.pass_s = pass_ms / _MS_PER_S


@given('the first {count:d} orders to {kind} get no response from each rank')
def step_unanswered(context: Any, count: int, kind: str) -> None:
    for rank in range(context.size):
        context.lost_orders[rank, peer_messages.OrderKind(kind)] = count


@when('the map of the group is switched')
def step_switch(context: Any) -> None:
    context.group = running_group.RunningGroup(states={
        r: running_group.rank_state(r, size=context.size, step=1)
        for r in range(context.size)
    },
                                               pass_s=context.pass_s,
                                               lost_orders=context.lost_orders)
    virtual_time.run(_switch(context))


async def _switch(context: Any) -> None:
    group = context.group
    time = virtual_time.LoopClock()
    hosts = host_registry.HostRegistry()
    for rank in range(context.size):
        record = host_record.HostRecord(host=f'side-{rank}',
                                        role=host_record.Role.AGENT,
                                        data_centre='dc',
                                        peer_address=f'peer:{rank}',
                                        engine_address=f'engine:{rank}')
        hosts.records_by_host[record.host] = record
    view = group_view.GroupView(name=_GROUP, time=time)
    for state in group.state_by_rank.values():
        view.take(state)
    network: Any = _Network(group, view)
    driver = switch_driver.SwitchDriver(
        host='coordinator',
        hosts=hosts,
        view=view,
        network=network,
        make_server=lambda address: running_group.RunningRankServer(
            group=group, rank=_rank(address)),
        link_bytes_per_s=_LINK_BYTES_PER_S,
        time=time,
        log=memory.NullEventLog())
    passes = asyncio.create_task(group.run())
    reports = asyncio.create_task(_report_states(group, view))
    await asyncio.sleep(_SETTLE_S)
    started_at = time.monotonic()
    layouts = ((tuple((rank,) for rank in range(context.size))),)
    switch = await driver.run(map_switch.MapSwitch(_VERSION, _EPOCH, layouts))
    context.phase = switch.phase
    context.took_s = time.monotonic() - started_at
    await asyncio.sleep(_SETTLE_S)
    passes.cancel()
    reports.cancel()


async def _report_states(group: running_group.RunningGroup,
                         view: group_view.GroupView) -> None:
    """Reports the states of all ranks, as the agents beside them do."""
    while True:
        await asyncio.sleep(_REPORT_INTERVAL_S)
        for state in group.state_by_rank.values():
            view.take(state)


@then('all ranks use the new map within {limit:d} ms')
def step_done(context: Any, limit: int) -> None:
    assert context.phase is map_switch.MapSwitchPhase.DONE, context.phase
    assert all(state.map_version == _VERSION
               for state in context.group.state_by_rank.values())
    assert context.took_s * _MS_PER_S <= limit, context.took_s


@then('no pass ran with two maps')
def step_one_map(context: Any) -> None:
    assert not context.group.mixed_passes


@then('passes begin at most {limit:d} ms apart')
def step_max_pause(context: Any, limit: int) -> None:
    longest_s = context.group.longest_pause_s
    assert longest_s * _MS_PER_S <= limit, longest_s
