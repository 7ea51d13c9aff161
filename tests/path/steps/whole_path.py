"""Steps for requests from the caller to the upstream and back."""

from typing import Any

from behave import given, then, when

from tests import scenario
from tests.fakes import caller as caller_module


@given('a system with {entries:d} entry hosts, {engines:d} engines and '
       '{services:d} service')
def step_system(context: Any, entries: int, engines: int,
                services: int) -> None:
    scenario.start_system(context,
                          entries=entries,
                          engines=engines,
                          services=services)


@when('the caller streams {tokens:d} tokens of class "{work_class}"')
def step_stream(context: Any, tokens: int, work_class: str) -> None:
    context.document = caller_module.chat_document(tokens)
    context.answer = scenario.run(
        context,
        context.caller.chat(context.system.entry_addresses[0], work_class,
                            context.document))


@then('the response is complete and belongs to the request')
def step_own_response(context: Any) -> None:
    assert caller_module.Caller.is_expected_response(context.document,
                                                     context.answer)


@when('the payment "{key}" is sent to each entry host in turn')
def step_pay_each(context: Any, key: str) -> None:
    context.answers = [
        scenario.run(
            context,
            context.caller.post(address,
                                'payment-confirmation',
                                caller_module.PAYMENT_PATH,
                                caller_module.PAYMENT,
                                idempotency_key=key))
        for address in context.system.entry_addresses
    ]


@then('both responses contain the same receipt')
def step_same_receipt(context: Any) -> None:
    receipts = {answer.json['receipt'] for answer in context.answers}
    assert len(receipts) == 1, receipts


@then('the service has had one effect under "{key}"')
def step_one_effect(context: Any, key: str) -> None:
    tally = scenario.run(
        context,
        context.system.call(context.system.address('service-1'), 'GET',
                            '/tally'))
    assert tally.get(key) == 1, tally


@when('the caller sends a payment without an idempotency key')
def step_pay_without_key(context: Any) -> None:
    context.answer = scenario.run(
        context,
        context.caller.post(context.system.entry_addresses[0],
                            'payment-confirmation', caller_module.PAYMENT_PATH,
                            caller_module.PAYMENT))


@then('the response is the error "{kind}" with ran "{ran}"')
def step_error(context: Any, kind: str, ran: str) -> None:
    error = context.answer.json
    assert (error['kind'], error['ran']) == (kind, ran), error


@then('no upstream received an attempt')
def step_no_attempt(context: Any) -> None:
    for process in context.system.named('agent-'):
        status = scenario.run(
            context,
            context.system.call(process.ready['admin'], 'GET', '/status'))
        assert status['begun'] == 0, status
