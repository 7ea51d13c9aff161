"""Steps for stopping processes under load."""

import asyncio
import signal
from typing import Any

from behave import then, when

from pollenthread.adapters import http_client
from tests import scenario
from tests.fakes import caller as caller_module, service

_CALLERS = 4
_PAUSE_S = 0.05
_REFUSED = frozenset({'leaving', 'no_upstream'})


class _Load:
    """Callers that send one request after the other until told to end."""

    def __init__(self, context: Any) -> None:
        self._context = context
        self._ending = False
        self._tasks: list[asyncio.Task[None]] = []
        self.wrong: list[Any] = []
        self.paid: list[str] = []
        self.streams = 0

    def start(self) -> None:
        """Starts the callers."""
        for number in range(_CALLERS):
            for work in (self._stream(number), self._pay(number)):
                self._tasks.append(asyncio.create_task(work))

    async def end(self) -> None:
        """Lets each caller finish its request."""
        self._ending = True
        await asyncio.gather(*self._tasks)

    async def _addresses(self, number: int) -> list[str]:
        """Asks any entry host, as callers do whose addresses are old."""
        for address in self._context.system.entry_addresses:
            try:
                found: list[str] = await self._context.caller.addresses(
                    address, caller=f'caller-{number}')
                return found
            except ConnectionError:
                continue
        raise AssertionError('no entry host answers')

    async def _send(self, number: int,
                    send: Any) -> caller_module.ReceivedResponse:
        """Tries each address; only a refusal before any work moves it on."""
        while True:
            for address in await self._addresses(number):
                try:
                    answer: caller_module.ReceivedResponse = await send(address)
                except http_client.HttpConnectError:
                    continue
                if (answer.status == 503 and answer.json['ran'] == 'no' and
                        answer.json['kind'] in _REFUSED):
                    continue
                return answer

    async def _stream(self, number: int) -> None:
        caller = self._context.caller
        count = 0
        while not self._ending:
            count += 1
            document = {
                **caller_module.chat_document(100), 'nonce': f'{number}-{count}'
            }
            answer = await self._send(number,
                                      lambda address, sent=document: caller.
                                      chat(address, 'caption', sent))
            self.streams += 1
            if not caller.is_expected_response(document, answer):
                self.wrong.append(answer)

    async def _pay(self, number: int) -> None:
        caller = self._context.caller
        while not self._ending:
            key = f'p{number}-{len(self.paid)}'
            answer = await self._send(number,
                                      lambda address, sent=key: caller.post(
                                          address,
                                          'payment-confirmation',
                                          caller_module.PAYMENT_PATH,
                                          caller_module.PAYMENT,
                                          idempotency_key=sent))
            self.paid.append(key)
            receipt = service.expected_receipt(caller_module.PAYMENT)
            if answer.status != 200 or answer.json['receipt'] != receipt:
                self.wrong.append(answer)
            await asyncio.sleep(_PAUSE_S)


@when('callers stream 100 tokens and pay at both entry hosts, again and again')
def step_load(context: Any) -> None:

    async def start() -> _Load:
        load = _Load(context)
        load.start()
        while load.streams < _CALLERS:
            await asyncio.sleep(_PAUSE_S)
        return load

    context.load = scenario.run(context, start())


@when('{number:d} streams of {tokens:d} tokens run')
def step_streams(context: Any, number: int, tokens: int) -> None:

    async def start() -> list[caller_module.BackgroundRequest]:
        following = [
            context.caller.start_chat(context.system.entry_addresses[0],
                                      'caption',
                                      caller_module.chat_document(tokens + i))
            for i in range(number)
        ]
        while not all(f.body for f in following):
            await asyncio.sleep(_PAUSE_S)
        return following

    context.streams = scenario.run(context, start())


@when('"{name}" is asked to stop')
def step_stop(context: Any, name: str) -> None:
    context.system.by_name[name].signal(signal.SIGTERM)


@when('"{name}" is asked to stop again')
def step_stop_again(context: Any, name: str) -> None:

    async def is_leaving() -> bool:
        status = await context.system.call(
            context.system.by_name[name].ready['admin'], 'GET', '/status')
        return bool(status['leaving'])

    scenario.run(context, scenario.eventually(is_leaving))
    step_stop(context, name)


def _stopped(context: Any, name: str) -> Any:

    async def wait() -> Any:
        process = context.system.by_name[name]
        line = await process.read_line()
        assert await process.child.wait() == 0, process.child.returncode
        return line

    return scenario.run(context, wait())


@then('"{name}" stops with status 0 and has cut nothing')
def step_stopped(context: Any, name: str) -> None:
    line = _stopped(context, name)
    assert line['cut'] == 0, line


@then('"{name}" stops and names what was cut')
def step_cut(context: Any, name: str) -> None:
    line = _stopped(context, name)
    named = line.get('cut_requests') or line.get('cut_attempts')
    assert line['cut'] == len(named) > 0, line


@then('every caller has had whole answers of its own')
def step_whole(context: Any) -> None:
    scenario.run(context, context.load.end())
    assert not context.load.wrong, context.load.wrong[:3]


@then('every payment has had one effect')
def step_effects(context: Any) -> None:
    tally = scenario.run(
        context,
        context.system.call(context.system.address('service-1'), 'GET',
                            '/tally'))
    assert tally == dict.fromkeys(context.load.paid, 1), tally


@then('entry host 2 comes to leave entry host 1 out of its addresses')
def step_left_out(context: Any) -> None:
    first, second = context.system.entry_addresses

    async def check() -> bool:
        return first not in await context.caller.addresses(second)

    scenario.run(context, scenario.eventually(check))
