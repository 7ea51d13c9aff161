"""Runs a whole system and acts as a caller; exits non-zero on any fault."""

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


class _Failed(Exception):
    """What the demo found wrong."""


def _expect(holds: bool, what: str) -> None:
    if not holds:
        raise _Failed(what)
    print(f'ok: {what}')


async def _demo() -> None:
    async with system_module.System() as system:
        caller = caller_module.Caller(client=system.client, workspace='buna')
        addresses = await caller.addresses(system.entry_addresses[0])
        _expect(
            set(addresses) == set(system.entry_addresses),
            f'the addresses to use are {", ".join(addresses)}')
        await _send_caption(caller, addresses[0])
        await _send_payment_twice(caller, addresses)
        tally = await system.call(system.address('service-1'), 'GET', '/tally')
        _expect(tally == {'payment-1001': 1}, 'one payment taken')
        await _show_account(system)


async def _send_caption(caller: caller_module.Caller, address: str) -> None:
    answer = await caller.chat(address, 'caption', _CAPTION)
    _expect(caller.is_expected_response(_CAPTION, answer),
            'the streamed caption is whole and our own')
    print('    ' + caller_module.stream_text(answer.body))


async def _send_payment_twice(caller: caller_module.Caller,
                              addresses: list[str]) -> None:
    receipt = service.expected_receipt(_PAYMENT)
    for address in addresses[:2]:
        answer = await caller.post(address,
                                   'payment-confirmation',
                                   '/services/orders/payments',
                                   _PAYMENT,
                                   idempotency_key='payment-1001')
        _expect(answer.status == 200 and answer.json['receipt'] == receipt,
                f'payment answered with receipt {receipt} from {address}')


async def _show_account(system: system_module.System) -> None:
    rows = []
    for process in system.named('entry-'):
        rows += await system.call(process.ready['admin'], 'GET', '/account')
    accepted = sum(row['accepted'] for row in rows)
    repeats = sum(row['repeats'] for row in rows)
    in_time = sum(row['in_time'] for row in rows)
    print('account:')
    for row in sorted(rows, key=lambda item: str(item['class'])):
        print('    ' + ', '.join(f'{k} {v}' for k, v in row.items() if v))
    _expect(accepted - repeats == 2 and repeats == 1,
            'the account shows two requests and a repeat')
    _expect(in_time == accepted, 'every request was answered in time')


def main() -> int:
    """Runs the demo.

    Returns:
        The exit status: 0 when everything held.
    """
    try:
        asyncio.run(asyncio.wait_for(_demo(), _DEMO_TIMEOUT_S))
    except (_Failed, TimeoutError) as error:
        print(f'FAILED: {error}', file=sys.stderr)
        return 1
    return 0


if __name__ == '__main__':
    sys.exit(main())
