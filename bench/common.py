"""Targets and the output format that all benchmarks share."""

import dataclasses
import json
from collections.abc import Sequence
from typing import Any

__all__ = ['Target', 'emit']


@dataclasses.dataclass(frozen=True)
class Target:
    """A bound and the value that was measured for it.

    Attributes:
        name: what is measured.
        bound: the bound, in the unit that the name or the benchmark states.
        value: the measured value, in the same unit.
        holds: whether the value is within the bound.
    """

    name: str
    bound: float
    value: float
    holds: bool


def emit(seed: int, rows: Sequence[dict[str, Any]],
         targets: Sequence[Target]) -> None:
    """Prints the result as one JSON object on one line.

    Args:
        seed: seed of the benchmark.
        rows: the measured rows.
        targets: the bounds and their measured values.
    """
    print(
        json.dumps({
            'seed': seed,
            'rows': list(rows),
            'targets': [dataclasses.asdict(target) for target in targets]
        }))
