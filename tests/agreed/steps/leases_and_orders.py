"""Steps for leases and orders over real processes."""

import asyncio
import signal
from typing import Any

from behave import given, then, when

from pollenthread.adapters import link as link_module
from pollenthread.core import messages, orders, signing
from pollenthread.ports import link as link_port
from tests import scenario

_AGENT = 'agent-engine-1'
_DUTY = orders.order_duty_for_host(_AGENT)
_TIMEOUT_S = 40.0


def _eventually(context: Any, check: Any) -> None:
    scenario.run(context, scenario.eventually(check, _TIMEOUT_S))


def _lease(context: Any) -> Any:
    return scenario.run(context, context.operator.lease())


def _remember_holder(context: Any) -> Any:
    lease = _lease(context)
    context.old_lease = lease
    context.holder = lease.holder.partition(':')[0]
    return context.system.by_name[context.holder]


def _other_entry(context: Any) -> str:
    holder = getattr(context, 'holder', '')
    return next(process.name
                for process in context.system.named('entry-')
                if process.name != holder and process.is_running)


@given('every duty is held')
def step_all_duties_held(context: Any) -> None:

    async def check() -> bool:
        held = 0
        for process in context.system.named('entry-'):
            duties = (await context.operator.status(process.name))['duties']
            held += len(set(duties).intersection(orders.order_duties()))
        return held == len(orders.order_duties())

    _eventually(context, check)


@when('the order "{order_id}" is submitted to every entry host')
def step_submit_to_all(context: Any, order_id: str) -> None:

    async def submit() -> None:
        await asyncio.gather(
            *(context.operator.order_until_accepted(order_id, process.name)
              for process in context.system.named('entry-')))

    scenario.run(context, submit())


@when('the order "{order_id}" is submitted')
@when('the order "{order_id}" is submitted until it is accepted')
def step_submit(context: Any, order_id: str) -> None:
    scenario.run(
        context,
        context.operator.order_until_accepted(order_id, _other_entry(context)))


@then('the order "{order_id}" is rejected')
def step_rejected(context: Any, order_id: str) -> None:
    status = scenario.run(
        context, context.operator.order(order_id, _other_entry(context)))
    assert status == 503, status


@then('the order "{order_id}" ends as "{state}"')
def step_ends_as(context: Any, order_id: str, state: str) -> None:

    async def check() -> bool:
        found = await context.operator.order_state(order_id,
                                                   _other_entry(context))
        assert found in ('none', 'waiting', 'issued', state), found
        return bool(found == state)

    _eventually(context, check)


@then('the engine has had these effects: {ids}')
def step_effects(context: Any, ids: str) -> None:
    found = scenario.run(context, context.operator.effects())
    assert found == ids.split(', '), found


@then('the engine has had at most one effect of "{order_id}"')
def step_at_most_one(context: Any, order_id: str) -> None:
    found = scenario.run(context, context.operator.effects())
    assert found in ([], [order_id]), found


@when('the holder of the engine\'s duty is paused')
def step_pause_holder(context: Any) -> None:
    _remember_holder(context).signal(signal.SIGSTOP)


@when('the holder of the engine\'s duty is killed')
def step_kill_holder(context: Any) -> None:
    scenario.run(context, _remember_holder(context).kill())


@when('the holder of the engine\'s duty receives a stop signal')
def step_stop_holder(context: Any) -> None:
    _remember_holder(context).signal(signal.SIGTERM)


@when('the paused holder resumes')
def step_resume_holder(context: Any) -> None:
    context.system.by_name[context.holder].signal(signal.SIGCONT)


@then('the paused holder reports the duty as lost')
def step_reports_lost(context: Any) -> None:

    async def check() -> bool:
        status = await context.operator.status(context.holder)
        return _DUTY not in status['duties'] and status['duties_lost'] > 0

    _eventually(context, check)


@then('another host holds the engine\'s duty')
def step_other_holder(context: Any) -> None:

    async def check() -> bool:
        lease = await context.operator.lease()
        return bool(lease.holder and
                    lease.holder != context.old_lease.holder and
                    lease.fencing > context.old_lease.fencing)

    _eventually(context, check)


@then('the lease was released before it was acquired')
def step_released(context: Any) -> None:
    log = context.system.log_text(context.holder)
    assert f'duty={_DUTY} lost' not in log, log


@when('the engine ignores fencing numbers and takes {seconds:d} seconds for '
      'an order')
def step_slow_engine(context: Any, seconds: int) -> None:
    scenario.run(
        context,
        context.system.fault('engine-1', ignores_fencing=True, order_s=seconds))


@when('the engine loses the response to the next order')
def step_lost_response(context: Any) -> None:
    scenario.run(context, context.system.fault('engine-1', lost_orders=1))


@when('the agent is executing an order')
def step_executing(context: Any) -> None:

    async def check() -> bool:
        return bool((await context.operator.status(_AGENT))['orders_running'])

    _eventually(context, check)


@when('the agent is killed and replaced')
def step_replace_agent(context: Any) -> None:

    async def replace() -> None:
        await context.system.by_name[_AGENT].kill()
        await context.system.start_agent('engine', 1)

    scenario.run(context, replace())


class _OrderSender(link_port.LinkHandler):
    """Sends one order to an agent and collects its replies."""

    def __init__(self, *, keys: signing.KeyRing) -> None:
        self._keys = keys
        self.replies: list[str] = []

    def on_open(self, link: link_port.Link) -> None:
        order = orders.Order(id='load-9',
                             duty='orders/other',
                             number=1,
                             host=_AGENT,
                             kind='load-model',
                             arguments='{}',
                             fencing=1,
                             incarnation=link.peer.incarnation)
        link.send(self._keys.sign(order))

    def on_message(self, link: link_port.Link,
                   message: messages.Message) -> None:
        if isinstance(message, messages.OrderReply):
            self.replies.append(message.answer)

    def on_close(self, link: link_port.Link, reason: str) -> None:
        pass


def _send_signed(context: Any, key: signing.SigningKey) -> None:
    hello = messages.Hello('entry-9', 'entry', 'x', 'dc-1', 'region-1')
    sender = _OrderSender(keys=signing.KeyRing((key,)))

    async def send() -> None:
        async with link_module.DialerSet(hello=hello,
                                         handler=sender) as dialers:
            address = context.system.by_name[_AGENT].ready['links']
            await dialers.set_addresses({'agent': address})

            async def has_reply() -> bool:
                return bool(sender.replies)

            await scenario.eventually(has_reply)

    scenario.run(context, send())
    context.replies = sender.replies


@when('an order signed with an invalid key is sent to the agent')
def step_bad_key(context: Any) -> None:
    _send_signed(context, signing.SigningKey('key-1', b'a guess of the secret'))


@when('an order signed with the second key is sent to the agent')
def step_second_key(context: Any) -> None:
    _send_signed(context, signing.SigningKey('key-2', b'order-secret-number-2'))


@then('the agent replies "{reply}"')
def step_agent_replies(context: Any, reply: str) -> None:
    assert context.replies == [reply], context.replies


@when('the order "{order_id}" is submitted with the key "{key}"')
def step_submit_with_key(context: Any, order_id: str, key: str) -> None:
    context.order_status = scenario.run(
        context, context.operator.order(order_id, 'entry-1', key))


@then('the submission of "{order_id}" returns status {status:d}')
def step_order_status(context: Any, order_id: str, status: int) -> None:
    assert context.order_status == status, (order_id, context.order_status)


@then('the engine has executed no order')
def step_no_order(context: Any) -> None:
    assert not scenario.run(context, context.operator.effects())
