"""Steps for model checking."""

from typing import Any

from behave import then, when

from models import checking, suite


@when('the specification "{name}" is checked within its small bounds')
def step_check(context: Any, name: str) -> None:
    subject = suite.MODELS[name]
    context.finding = checking.check(subject.small(subject.rules))


@then('every invariant holds in every reachable state')
def step_holds(context: Any) -> None:
    assert context.finding.exhaustive
    assert not context.finding.counterexamples, (
        context.finding.counterexamples)


@then('each mutant of "{name}" breaks an invariant')
def step_caught(context: Any, name: str) -> None:
    del context
    subject = suite.MODELS[name]
    missed = [
        mutant for mutant, rules in subject.mutants.items()
        if not checking.check_mutant(subject.small(rules))
    ]
    assert subject.mutants and not missed, missed
