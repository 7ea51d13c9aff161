"""Steps for model checking."""

from typing import Any

from behave import then, when

from models import checking, suite


@when('the specification "{name}" is checked within its bounds')
def step_check(context: Any, name: str) -> None:
    subject = suite.MODELS[name]
    context.result = checking.check(subject.small(subject.rules))


@then('every invariant holds in every reachable state')
def step_invariants_hold(context: Any) -> None:
    assert context.result.exhaustive
    assert not context.result.counterexamples, (context.result.counterexamples)


@then('every mutant of "{name}" violates an invariant')
def step_mutants_fail(context: Any, name: str) -> None:
    del context
    subject = suite.MODELS[name]
    undetected = [
        mutant for mutant, rules in subject.mutants.items()
        if not checking.check_mutant(subject.small(rules))
    ]
    assert subject.mutants and not undetected, undetected
