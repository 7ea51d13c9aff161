"""Steps for the authentication of links by certificates."""

import asyncio
import pathlib
import tempfile
from typing import Any

from behave import given, then, when

from tests import scenario
from tests.fakes import certificates

_OBSERVATION_S = 2.0


@given('a system whose links require certificates')
def step_system(context: Any) -> None:
    # The stack of the scenario owns it.
    # pylint: disable-next=consider-using-with
    directory = tempfile.TemporaryDirectory()
    folder = pathlib.Path(context.stack.enter_context(directory))
    context.folder = folder
    context.authority = certificates.CertificateAuthority(folder=folder,
                                                          name='authority')
    context.issue = context.authority.issue
    scenario.start_system(context,
                          entries=2,
                          engines=1,
                          services=1,
                          security=lambda host: dict(context.issue(host)))


@when('every host gets a new certificate')
def step_renew(context: Any) -> None:
    for name in context.system.by_name:
        if name.startswith(('entry-', 'agent-')):
            context.authority.issue(name)


@then('hosts use the new certificates without a restart')
def step_renewed(context: Any) -> None:

    async def check() -> bool:
        return all('link certificate changed count=1' in
                   context.system.log_text(process.name)
                   for prefix in ('entry-', 'agent-')
                   for process in context.system.named(prefix))

    scenario.run(context, scenario.eventually(check))


async def _count_upstreams(context: Any, host: str) -> int:
    process = context.system.by_name[host]
    status = await context.system.call(process.ready['admin'], 'GET', '/status')
    return len(status['upstreams'])


@then('a new entry host with its own certificate joins')
def step_join(context: Any) -> None:

    async def check() -> bool:
        return await _count_upstreams(context, 'entry-3') == 2

    scenario.run(context, context.system.start_entry(3))
    scenario.run(context, scenario.eventually(check))


@when('an entry host starts with the certificate of another host')
def step_wrong_name(context: Any) -> None:
    context.issue = lambda host: context.authority.issue(host, 'entry-1')
    scenario.run(context, context.system.start_entry(8))
    context.untrusted_host = 'entry-8'


@when('an entry host starts with a certificate of another authority')
def step_wrong_authority(context: Any) -> None:
    other = certificates.CertificateAuthority(folder=context.folder,
                                              name='stranger')

    def issue(host: str) -> dict[str, str]:
        issued = other.issue(host)
        issued['authority_file'] = str(context.folder / 'authority.pem')
        return issued

    context.issue = issue
    scenario.run(context, context.system.start_entry(9))
    context.untrusted_host = 'entry-9'


@then('it has no link to any upstream')
def step_no_link(context: Any) -> None:

    async def stays_unlinked() -> None:
        for _ in range(10):
            assert await _count_upstreams(context, context.untrusted_host) == 0
            await asyncio.sleep(_OBSERVATION_S / 10)

    scenario.run(context, stays_unlinked())
