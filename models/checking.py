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
class Finding:
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
    traces_by_invariant: Mapping[str, tuple[str, ...]]

    @property
    def holds(self) -> bool:
        """Whether every invariant holds in every reachable state."""
        return self.exhaustive and not self.traces_by_invariant


def check(specification: Specification,
          max_states: int = _MAX_STATES) -> Finding:
    """Visits every reachable state; does not go on from a violation."""
    depth_by_state = {specification.initial: 0}

    def transitions(state: State) -> list[tuple[str, State]]:
        fields = dict(zip(specification.fields, state))
        if not all(
                holds(fields) for holds in specification.invariants.values()):
            return []
        depth = depth_by_state[state] + 1
        found = list(specification.transitions(state))
        for _, successor in found:
            depth_by_state.setdefault(successor, depth)
        return found

    protocol = minicheck.Protocol(name=specification.name,
                                  candidate=False,
                                  fields=specification.fields,
                                  initial=specification.initial,
                                  transitions=transitions,
                                  invariants=dict(specification.invariants))
    result = minicheck.check_safety(protocol, max_states=max_states)
    traces = {
        name:
            tuple(step['label'] or 'initial'
                  for step in found['counterexample'])
        for name, found in result['properties'].items()
        if found['counterexample']
    }
    return Finding(name=specification.name,
                   states=result['reachable_states'],
                   depth=max(depth_by_state.values()),
                   exhaustive=result['exhaustive'],
                   traces_by_invariant=traces)


def check_mutant(specification: Specification,
                 max_states: int = _MAX_STATES) -> tuple[str, ...]:
    """The shortest trace by which a mutant breaks an invariant, or none."""
    finding = check(specification, max_states)
    traces = sorted(finding.traces_by_invariant.values(), key=len)
    return traces[0] if traces else ()
