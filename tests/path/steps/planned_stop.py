"""Steps for the graceful shutdown of processes under load."""

import asyncio
import signal
from typing import Any

from behave import then, when

from pollenthread.adapters import http_client
from tests import scenario
from tests.fakes import caller as caller_module, service

_CALLER_COUNT = 4
_POLL_INTERVAL_S = 0.05
_RETRYABLE_KINDS = frozenset({'leaving', 'no_upstream'})


class _LoadGenerator:
    """Callers that send requests in sequence until they are stopped."""

    def __init__(self, context: Any) -> None:
        self._context = context
        self._is_ending = False
        self._tasks: list[asyncio.Task[None]] = []
        self.faulty: list[Any] = []
        self.paid_keys: list[str] = []
        self.streams = 0

    def start(self) -> None:
        """Starts the callers."""
        for number in range(_CALLER_COUNT):
            for work in (self._stream(number), self._pay(number)):
                self._tasks.append(asyncio.create_task(work))

    async def end(self) -> None:
        """Stops the callers after their current requests."""
        self._is_ending = True
        await asyncio.gather(*self._tasks)

    async def _addresses(self, number: int) -> list[str]:
        """Asks the entry hosts in turn, since known addresses may be stale."""
        for address in self._context.system.entry_addresses:
            try:
                found: list[str] = await self._context.caller.addresses(
                    address, caller=f'caller-{number}')
                return found
            except ConnectionError:
                continue
        raise AssertionError('no entry host responded')

    async def _send(self, number: int,
                    send: Any) -> caller_module.ReceivedResponse:
        """Tries each address until one accepts the request."""
        while True:
            for address in await self._addresses(number):
                try:
                    answer: caller_module.ReceivedResponse = await send(address)
                except http_client.HttpConnectError:
                    continue
                if (answer.status == 503 and answer.json['ran'] == 'no' and
                        answer.json['kind'] in _RETRYABLE_KINDS):
                    continue
                return answer

    async def _stream(self, number: int) -> None:
        caller = self._context.caller
        count = 0
        while not self._is_ending:
            count += 1
            document = {
                **caller_module.chat_document(100), 'nonce': f'{number}-{count}'
            }
            answer = await self._send(number,
                                      lambda address, sent=document: caller.
                                      chat(address, 'caption', sent))
            self.streams += 1
            if not caller.is_expected_response(document, answer):
                self.faulty.append(answer)

    async def _pay(self, number: int) -> None:
        caller = self._context.caller
        while not self._is_ending:
            key = f'p{number}-{len(self.paid_keys)}'
            answer = await self._send(number,
                                      lambda address, sent=key: caller.post(
                                          address,
                                          'payment-confirmation',
                                          caller_module.PAYMENT_PATH,
                                          caller_module.PAYMENT,
                                          idempotency_key=sent))
            self.paid_keys.append(key)
            receipt = service.expected_receipt(caller_module.PAYMENT)
            if answer.status != 200 or answer.json['receipt'] != receipt:
                self.faulty.append(answer)
            await asyncio.sleep(_POLL_INTERVAL_S)


@when('callers repeatedly stream 100 tokens and pay at both entry hosts')
def step_load(context: Any) -> None:

    async def start() -> _LoadGenerator:
        load = _LoadGenerator(context)
        load.start()
        while load.streams < _CALLER_COUNT:
            await asyncio.sleep(_POLL_INTERVAL_S)
        return load

    context.load = scenario.run(context, start())


@when('{number:d} streams of {tokens:d} tokens are running')
def step_running_streams(context: Any, number: int, tokens: int) -> None:

    async def start() -> list[caller_module.BackgroundRequest]:
        following = [
            context.caller.start_chat(context.system.entry_addresses[0],
                                      'caption',
                                      caller_module.chat_document(tokens + i))
            for i in range(number)
        ]
        while not all(f.body for f in following):
            await asyncio.sleep(_POLL_INTERVAL_S)
        return following

    context.streams = scenario.run(context, start())


@when('"{name}" receives a stop signal')
def step_stop(context: Any, name: str) -> None:
    context.system.by_name[name].signal(signal.SIGTERM)


@when('"{name}" receives a second stop signal')
def step_stop_again(context: Any, name: str) -> None:

    async def is_leaving() -> bool:
        status = await context.system.call(
            context.system.by_name[name].ready['admin'], 'GET', '/status')
        return bool(status['leaving'])

    scenario.run(context, scenario.eventually(is_leaving))
    step_stop(context, name)


def _exit_report(context: Any, name: str) -> Any:

    async def wait() -> Any:
        process = context.system.by_name[name]
        report = await process.read_line()
        assert await process.child.wait() == 0, process.child.returncode
        return report

    return scenario.run(context, wait())


@then('"{name}" exits with status 0 and has interrupted nothing')
def step_exited(context: Any, name: str) -> None:
    report = _exit_report(context, name)
    assert report['cut'] == 0, report


@then('"{name}" exits and reports what was interrupted')
def step_interrupted(context: Any, name: str) -> None:
    report = _exit_report(context, name)
    interrupted = report.get('cut_requests') or report.get('cut_attempts')
    assert report['cut'] == len(interrupted) > 0, report


@then('every caller has received complete responses to its own requests')
def step_complete(context: Any) -> None:
    scenario.run(context, context.load.end())
    assert not context.load.faulty, context.load.faulty[:3]


@then('every payment has had one effect')
def step_effects(context: Any) -> None:
    tally = scenario.run(
        context,
        context.system.call(context.system.address('service-1'), 'GET',
                            '/tally'))
    assert tally == dict.fromkeys(context.load.paid_keys, 1), tally


@then('entry host 2 eventually removes entry host 1 from its addresses')
def step_removed(context: Any) -> None:
    first, second = context.system.entry_addresses

    async def check() -> bool:
        return first not in await context.caller.addresses(second)

    scenario.run(context, scenario.eventually(check))
