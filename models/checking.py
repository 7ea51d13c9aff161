"""Explicit-state model checking of a specification and of its mutants."""

import dataclasses
from collections.abc import Callable, Iterable, Mapping
from typing import Any

import minicheck

__all__ = ['CheckResult', 'Specification', 'check', 'check_mutant']

State = tuple[Any, ...]
_MAX_STATES = 5_000_000


@dataclasses.dataclass(frozen=True)
class Specification:
    """A state machine whose transitions call functions of pollenthread.

    Attributes:
        name: name of the protocol.
        fields: names of the variables of a state, in the order of the tuple.
        initial: the initial state.
        transitions: returns the successors of a state, each with a label.
        invariants: predicates that must hold in every state, by name. They
            get the variables of a state by field name.
    """

    name: str
    fields: tuple[str, ...]
    initial: State
    transitions: Callable[[State], Iterable[tuple[str, State]]]
    invariants: Mapping[str, Callable[[dict[str, Any]], bool]]


@dataclasses.dataclass(frozen=True)
class CheckResult:
    """The result of checking a specification.

    Attributes:
        name: name of the specification.
        states: number of states that were reached.
        depth: number of steps from the initial state to the farthest state.
        exhaustive: whether every reachable state was visited.
        counterexamples: for each violated invariant, the labels of the steps
            from the initial state to a violation.
    """

    name: str
    states: int
    depth: int
    exhaustive: bool
    counterexamples: Mapping[str, tuple[str, ...]]

    @property
    def holds(self) -> bool:
        """Whether the check is exhaustive and found no violation."""
        return self.exhaustive and not self.counterexamples


def check(specification: Specification,
          max_states: int = _MAX_STATES,
          *,
          stop_at_violation: bool = False) -> CheckResult:
    """Visits the reachable states, without the successors of a violation.

    Args:
        specification: the specification to check.
        max_states: maximum number of states to visit.
        stop_at_violation: whether to end the search at the first violation.

    Returns:
        The number of states, the depth and the counterexamples.
    """
    depth_by_state = {specification.initial: 0}
    invariants = specification.invariants.values()
    has_violation = False

    def transitions(state: State) -> list[tuple[str, State]]:
        nonlocal has_violation
        fields = dict(zip(specification.fields, state))
        is_violation = not all(holds(fields) for holds in invariants)
        has_violation = has_violation or is_violation
        if is_violation or (has_violation and stop_at_violation):
            return []
        depth = depth_by_state[state] + 1
        successors = list(specification.transitions(state))
        for _, successor in successors:
            depth_by_state.setdefault(successor, depth)
        return successors

    protocol = minicheck.Protocol(name=specification.name,
                                  candidate=False,
                                  fields=specification.fields,
                                  initial=specification.initial,
                                  transitions=transitions,
                                  invariants=dict(specification.invariants))
    result = minicheck.check_safety(protocol, max_states=max_states)
    return CheckResult(name=specification.name,
                       states=result['reachable_states'],
                       depth=max(depth_by_state.values()),
                       exhaustive=result['exhaustive'] and not has_violation,
                       counterexamples=_traces(result))


def _traces(result: dict[str, Any]) -> dict[str, tuple[str, ...]]:
    """Returns the labels of the steps to each violation."""
    return {
        name:
            tuple(step['label'] or 'initial'
                  for step in details['counterexample'])
        for name, details in result['properties'].items()
        if details['counterexample']
    }


def check_mutant(specification: Specification,
                 max_states: int = _MAX_STATES) -> tuple[str, ...]:
    """Searches for a violation in the specification of a mutant.

    Args:
        specification: the specification under the rules of the mutant.
        max_states: maximum number of states to visit.

    Returns:
        The shortest counterexample that was found, or an empty tuple.
    """
    result = check(specification, max_states, stop_at_violation=True)
    traces = sorted(result.counterexamples.values(), key=len)
    return traces[0] if traces else ()
