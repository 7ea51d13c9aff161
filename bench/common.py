"""What the measurements share: targets and the last line of output."""

import dataclasses
import json
from collections.abc import Sequence
from typing import Any

__all__ = ['Target', 'emit']


@dataclasses.dataclass(frozen=True)
class Target:
    """A stated bound and what was measured against it."""

    name: str
    bound: float
    value: float
    holds: bool


def emit(seed: int, rows: Sequence[dict[str, Any]],
         targets: Sequence[Target]) -> None:
    """Prints the result as one JSON object on one line."""
    print(
        json.dumps({
            'seed': seed,
            'rows': list(rows),
            'targets': [dataclasses.asdict(target) for target in targets]
        }))
