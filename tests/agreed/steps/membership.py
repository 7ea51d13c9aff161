"""Steps for membership."""

import asyncio
import signal
from typing import Any

from behave import given, then, when

from pollenthread.core import membership
from tests import scenario
from tests.fakes import caller as caller_module, system as system_module

_WORK_CLASS = 'caption'
_REQUESTS = 40
_SETTLE_S = 4.0
_LOAD_TIMEOUT_S = 150.0
_REQUEST_INTERVAL_S = 0.05


def _document(tokens: int) -> dict[str, Any]:
    return {
        'model': system_module.MODEL,
        'stream': True,
        'max_tokens': tokens,
        'messages': []
    }


@when('entry host {number:d} is killed')
def step_kill(context: Any, number: int) -> None:
    scenario.run(context, context.system.by_name[f'entry-{number}'].kill())


@then('entry host {asked:d} does not advertise entry host {dead:d}')
def step_not_advertised(context: Any, asked: int, dead: int) -> None:
    callers = context.system.by_name[f'entry-{asked}'].ready['callers']
    address = context.system.by_name[f'entry-{dead}'].ready['callers']

    async def check() -> bool:
        return address not in await context.caller.addresses(callers)

    scenario.run(context, scenario.eventually(check))


@when('the host list stops updating')
def step_list_stale(context: Any) -> None:
    scenario.run(context, context.system.fault('host_list', frozen=True))


@when('the host list is unavailable')
def step_list_unavailable(context: Any) -> None:
    scenario.run(context, context.system.fault('host_list', down=True))


async def _begun(context: Any) -> int:
    found = await context.system.call(context.system.address('engine-1'), 'GET',
                                      '/counts')
    begun: int = found['begun']
    return begun


@when('the agent of engine 1 receives a stop signal during requests')
def step_stop_agent(context: Any) -> None:

    async def send_and_stop() -> None:
        await context.system.fault('engine-1', token_s=0.5)
        entry = context.system.entry_addresses[0]
        context.tasks = [
            asyncio.create_task(
                context.caller.chat(entry, _WORK_CLASS, _document(16 + i)))
            for i in range(8)
        ]

        async def has_begun() -> bool:
            return await _begun(context) > 0

        await scenario.eventually(has_begun)
        agent = context.system.by_name['agent-engine-1']
        agent.signal(signal.SIGTERM)
        answers = await asyncio.gather(*context.tasks)
        assert all(answer.status == 200 for answer in answers)

    scenario.run(context, send_and_stop())


@when('the host list marks engine 1 as terminating')
def step_list_terminating(context: Any) -> None:
    scenario.run(context, context.system.set_terminating('agent-engine-1'))


@then('no entry host sends new requests to engine 1')
def step_no_new_requests(context: Any) -> None:

    async def send() -> None:
        await asyncio.sleep(_SETTLE_S)
        before = await _begun(context)
        for i in range(_REQUESTS):
            entry = context.system.entry_addresses[i % 2]
            answer = await context.caller.chat(entry, _WORK_CLASS, _document(1))
            assert answer.status == 200, answer
        assert await _begun(context) == before

    scenario.run(context, send())


class _LoadGenerator:
    """Sends requests one after the other and records the results."""

    def __init__(self, *, context: Any) -> None:
        self._context = context
        self._addresses = list(context.system.entry_addresses)
        self.statuses: list[int] = []
        self.errors: list[str] = []
        self.is_done = False

    async def run(self) -> None:
        """Sends requests until `is_done` is set."""
        caller = self._context.caller
        while not self.is_done:
            address = self._addresses[0]
            try:
                answer = await caller.chat(address, _WORK_CLASS, _document(8))
                self.statuses.append(answer.status)
                self._addresses = await caller.addresses(address)
            except ConnectionError as error:
                self.errors.append(str(error))
                self._addresses = self._addresses[1:]
                continue
            if answer.status == 200:
                assert caller_module.Caller.is_expected_response(
                    _document(8), answer)
            else:
                assert answer.json['ran'] == 'no', answer
                self._addresses = self._addresses[1:] + self._addresses[:1]
            await asyncio.sleep(_REQUEST_INTERVAL_S)


async def _replace_all(context: Any) -> None:
    load = _LoadGenerator(context=context)
    sending = asyncio.create_task(load.run())
    for number in range(1, 4):
        process = context.system.by_name[f'entry-{number}']
        process.signal(signal.SIGTERM)
        context.stopped = await process.read_line()
        assert context.stopped['cut'] == 0, context.stopped
        await process.child.wait()
        await context.system.start_entry(number)
        await asyncio.sleep(_SETTLE_S)
    load.is_done = True
    await sending
    context.load = load


@when('callers send requests while each entry host is replaced gracefully')
def step_replace_all(context: Any) -> None:
    scenario.run(context, _replace_all(context), _LOAD_TIMEOUT_S)


@then('every request was completed or rejected as not executed')
def step_completed(context: Any) -> None:
    assert not context.load.errors, context.load.errors
    assert context.load.statuses.count(200) > _REQUESTS


@given('{count:d} entry hosts of which {unresponsive:d} are unresponsive')
def step_unresponsive_hosts(context: Any, count: int,
                            unresponsive: int) -> None:
    evidence = {
        f'entry-{i}':
            membership.HostEvidence(silent_s=10.0 if i < unresponsive else 0.0)
        for i in range(count)
    }
    context.view = membership.assess_hosts(evidence)


@then('the assessment is {state} and {usable:d} hosts are usable')
def step_assessment(context: Any, state: str, usable: int) -> None:
    assert context.view.is_panic == (state == 'panic'), context.view
    assert len(context.view.usable()) == usable, context.view


@given('{hosts:d} entry hosts in {centres:d} data centres of {regions:d} '
       'regions')
def step_fleet(context: Any, hosts: int, centres: int, regions: int) -> None:
    context.members = [
        membership.Member(host=f'entry-{i}',
                          data_centre=f'dc-{i % centres}',
                          region=f'region-{i % centres % regions}')
        for i in range(hosts)
    ]
    context.centres = centres


@then('each host has at most {most:d} links and all hosts are connected')
def step_connected(context: Any, most: int) -> None:
    neighbours: dict[str, set[str]] = {m.host: set() for m in context.members}
    for member in context.members:
        for peer in membership.select_linked_peers(member, context.members):
            neighbours[member.host].add(peer)
            neighbours[peer].add(member.host)
    most_links = max(len(links) for links in neighbours.values())
    assert most_links <= most, most_links
    reached = {'entry-0'}
    unvisited = ['entry-0']
    while unvisited:
        new = neighbours[unvisited.pop()] - reached
        reached |= new
        unvisited.extend(new)
    assert len(reached) == len(context.members)


@then('each data centre has {count:d} pollers')
def step_pollers(context: Any, count: int) -> None:
    for i in range(context.centres):
        found = membership.select_pollers(context.members, f'dc-{i}')
        assert len(found) == count, found


@then('with {upstreams:d} upstreams each entry host has at most {most:d} '
      'upstream links')
def step_upstream_links(context: Any, upstreams: int, most: int) -> None:
    served = [
        membership.Member(host=f'agent-{i}',
                          data_centre=f'dc-{i % 21}',
                          region=f'region-{i % 21 % 6}',
                          serves=f'model-{i % 3}') for i in range(upstreams)
    ]
    for member in context.members:
        found = membership.select_upstreams(member, served)
        assert len(found) <= most, len(found)
