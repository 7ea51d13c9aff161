"""Steps for requests that crash servers, in virtual time."""

import random
from typing import Any

from behave import given, then, when

from pollenthread.core import crash_evidence
from tests.fakes import poison_simulation, virtual_time


@given('{hosts:d} entry hosts and {groups:d} groups of {size:d} servers')
def step_fleet(context: Any, hosts: int, groups: int, size: int) -> None:
    context.simulation = poison_simulation.PoisonSimulation(hosts, groups, size)


@given('from second {start:g} to {end:g} a request each second has the deadly '
       'part "{part}"')
def step_deadly(context: Any, start: float, end: float, part: str) -> None:
    context.simulation.spans.append(
        poison_simulation.DeadlySpan(part, start, end))


@given('from second {start:g} on each entry host restarts in turn')
def step_rolling_restart(context: Any, start: float) -> None:
    context.simulation.rolling_restart_at = start


@given('at second {at:g} all entry hosts restart at once')
def step_restart(context: Any, at: float) -> None:
    context.simulation.restart_at = at


@given('servers crash for another reason at second {times}')
def step_other_crashes(context: Any, times: str) -> None:
    context.simulation.crash_at = [
        float(at) for at in times.replace(' and', ',').split(',')
    ]


@given(
    'sound requests have the first part of "{part}" from second {start:g} on '
    'only')
def step_new_parent(context: Any, part: str, start: float) -> None:
    del part
    context.simulation.parent_from = start


@given("all servers' entries expire in an outage of the store at second "
       '{at:g}')
def step_outage(context: Any, at: float) -> None:
    context.simulation.outage_at = at


@given('servers crash before they send the head of a response')
def step_reading(context: Any) -> None:
    context.simulation.crashes_while_reading = True


@when('{per_s:g} requests a second come for {seconds:g} s')
def step_run(context: Any, per_s: float, seconds: float) -> None:
    virtual_time.run(context.simulation.run(per_s, seconds))


@then('at most {most:d} requests with "{part}" reach servers later than '
      '{seconds:g} s after its fifth crash')
def step_late_arrivals(context: Any, most: int, part: str,
                       seconds: float) -> None:
    found = context.simulation.late_arrivals(part, 5, seconds)
    assert found <= most, found


@then('"{part}" crashes at most {most:d} servers')
def step_crashes(context: Any, part: str, most: int) -> None:
    times = context.simulation.crash_times_of(part)
    assert 1 <= len(times) <= most, times


@then('"{part}" crashes no server after second {after:g}')
def step_no_crash_after(context: Any, part: str, after: float) -> None:
    times = [
        at - context.simulation.started_at
        for at in context.simulation.crash_times_of(part)
    ]
    assert times and times[-1] <= after, times


@then('of all requests after second {after:g}, {percent:d} in 100 are answered')
def step_all_answered(context: Any, after: float, percent: int) -> None:
    sent = [s for s in context.simulation.sent if s.at > after]
    answered = sum(s.response.is_complete for s in sent)
    assert sent and answered * 100 >= percent * len(sent), (answered, len(sent))


@then('of the requests that share a part with "{part}" after second {after:g}, '
      '{percent:d} in 100 are answered at the first attempt')
def step_sound(context: Any, part: str, after: float, percent: int) -> None:
    del part
    sound = [
        sent for sent in context.simulation.sent
        if sent.at > after and sent.parts[0] == poison_simulation.DEADLY_PARENT
        and not context.simulation.is_deadly(sent)
    ]
    answered = sum(sent.response.is_complete for sent in sound)
    assert len(sound) >= 20, len(sound)
    assert answered * 100 >= percent * len(sound), (answered, len(sound))


# Merging of evidence.


@given('evidence of {crashes:d} crashes and {answers:d} answers at {hosts:d} '
       'hosts')
def step_evidence(context: Any, crashes: int, answers: int, hosts: int) -> None:
    rng = random.Random(7)
    parts = [f'p{number}' for number in range(8)]
    context.facts = []
    for number in range(crashes):
        for _ in range(2):
            context.facts.append(
                crash_evidence.Crash(f's{number}', 10.0 * number,
                                     frozenset(rng.sample(parts, 2)),
                                     frozenset(rng.sample(parts, 3))))
    for _ in range(answers):
        context.facts.append((rng.choice(parts[2:]), rng.uniform(-5.0, 60.0)))
    context.hosts = [crash_evidence.CrashEvidence() for _ in range(hosts)]


@when('each host learns all of it in another order, some of it twice')
def step_learn(context: Any) -> None:
    rng = random.Random(8)
    for evidence in context.hosts:
        facts = context.facts + rng.sample(context.facts, 10)
        rng.shuffle(facts)
        for fact in facts:
            if isinstance(fact, crash_evidence.Crash):
                evidence.record_crash(fact)
            else:
                evidence.record_cleared(*fact)


@then('all hosts suspect the same parts with the same weight')
def step_same_suspicions(context: Any) -> None:
    found = [{
        part: suspicion.weight
        for part, suspicion in evidence.suspicion_by_part().items()
    }
             for evidence in context.hosts]
    assert found[0] and all(other == found[0] for other in found), found
