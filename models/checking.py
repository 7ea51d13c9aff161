"""Checks a specification exhaustively, and that each guard is needed."""

import dataclasses
from collections.abc import Callable, Iterable, Mapping
from typing import Any

import minicheck

__all__ = ['Finding', 'Specification', 'check', 'check_mutant']

State = tuple[Any, ...]
_MAX_STATES = 5_000_000


@dataclasses.dataclass(frozen=True)
class Specification:
    """A state machine whose transitions call the project's own decisions.

    Attributes:
        name: what is specified.
        fields: names of the parts of a state.
        initial: the first state.
        transitions: labelled successors of a state.
        invariants: what must always hold, by name.
    """

    name: str
    fields: tuple[str, ...]
    initial: State
    transitions: Callable[[State], Iterable[tuple[str, State]]]
    invariants: Mapping[str, Callable[[dict[str, Any]], bool]]


@dataclasses.dataclass(frozen=True)
class CheckResult:
    """What a check found.

    Attributes:
        name: the specification's name.
        states: how many states were reached.
        depth: the longest shortest path to a state.
        exhaustive: whether every reachable state was visited.
        traces_by_invariant: the steps to a violation, where there is one.
    """

    name: str
    states: int
    depth: int
    exhaustive: bool
    counterexamples: Mapping[str, tuple[str, ...]]

    @property
    def holds(self) -> bool:
        """Whether every invariant holds in every reachable state."""
        return self.exhaustive and not self.counterexamples


def check(specification: Specification,
          max_states: int = _MAX_STATES,
          *,
          stop_at_violation: bool = False) -> CheckResult:
    """Visits every reachable state; does not go on from a violation.

    Args:
        specification: what to check.
        max_states: states to visit at most.
        stops_at_violation: whether the first violation is enough.
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
    """The steps to each violation that a check found."""
    return {
        name:
            tuple(step['label'] or 'initial'
                  for step in details['counterexample'])
        for name, details in result['properties'].items()
        if details['counterexample']
    }


def check_mutant(specification: Specification,
                 max_states: int = _MAX_STATES) -> tuple[str, ...]:
    """The shortest trace by which a mutant breaks an invariant, or none."""
    result = check(specification, max_states, stop_at_violation=True)
    traces = sorted(result.counterexamples.values(), key=len)
    return traces[0] if traces else ()
