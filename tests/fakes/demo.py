"""Runs a system, sends requests to it, and verifies the responses."""

import asyncio
import sys

from tests.fakes import (caller as caller_module, service, system as
                         system_module)

__all__: list[str] = []

_DEMO_TIMEOUT_S = 55.0
_PAYMENT = b'{"order": "mug-1001", "amount_birr": 450}'
_CAPTION = {
    'model':
        system_module.MODEL,
    'stream':
        True,
    'max_tokens':
        12,
    'messages': [{
        'role': 'user',
        'content': 'A caption for a wedding mug, please.'
    }]
}


class _DemoError(Exception):
    """A check of the demo failed."""


def _expect(condition: bool, description: str) -> None:
    if not condition:
        raise _DemoError(description)
    print(f'ok: {description}')


async def _demo() -> None:
    async with system_module.System() as system:
        caller = caller_module.Caller(client=system.client, workspace='buna')
        addresses = await caller.addresses(system.entry_addresses[0])
        _expect(
            set(addresses) == set(system.entry_addresses),
            f'the entry hosts to use are {", ".join(addresses)}')
        await _send_caption(caller, addresses[0])
        await _send_payment_twice(caller, addresses)
        executions_by_key = await system.call(system.address('service-1'),
                                              'GET', '/tally')
        _expect(executions_by_key == {'payment-1001': 1},
                'the payment was executed once')
        await _show_account(system)


async def _send_caption(caller: caller_module.Caller, address: str) -> None:
    response = await caller.chat(address, 'caption', _CAPTION)
    _expect(caller.is_expected_response(_CAPTION, response),
            'the streamed caption is complete and matches the request')
    print('    ' + caller_module.stream_text(response.body))


async def _send_payment_twice(caller: caller_module.Caller,
                              addresses: list[str]) -> None:
    receipt = service.expected_receipt(_PAYMENT)
    for address in addresses[:2]:
        response = await caller.post(address,
                                     'payment-confirmation',
                                     '/services/orders/payments',
                                     _PAYMENT,
                                     idempotency_key='payment-1001')
        _expect(response.status == 200 and response.json['receipt'] == receipt,
                f'payment response with receipt {receipt} from {address}')


async def _show_account(system: system_module.System) -> None:
    rows = []
    for process in system.named('entry-'):
        rows += await system.call(process.ready['admin'], 'GET', '/account')
    accepted = sum(row['accepted'] for row in rows)
    repeated = sum(row['repeats'] for row in rows)
    in_time = sum(row['in_time'] for row in rows)
    print('account:')
    for row in sorted(rows, key=lambda item: str(item['class'])):
        print('    ' + ', '.join(f'{k} {v}' for k, v in row.items() if v))
    _expect(accepted - repeated == 2 and repeated == 1,
            'the account shows two requests and one repeated request')
    _expect(in_time == accepted,
            'all responses arrived within the latency targets')


def main() -> int:
    """Runs the demo.

    Returns:
        The exit status: 0 if all checks passed, otherwise 1.
    """
    try:
        asyncio.run(asyncio.wait_for(_demo(), _DEMO_TIMEOUT_S))
    except (_DemoError, TimeoutError) as error:
        print(f'FAILED: {error}', file=sys.stderr)
        return 1
    return 0


if __name__ == '__main__':
    sys.exit(main())
