"""What all measurements print at their end."""

import dataclasses
import json
from collections.abc import Mapping, Sequence
from typing import Any

__all__ = ['Target', 'emit']


@dataclasses.dataclass(frozen=True)
class Target:
    """A stated bound and what was measured.

    Attributes:
        name: what is bounded.
        bound: the greatest value that holds.
        value: what was measured.
    """

    name: str
    bound: float
    value: float

    @property
    def holds(self) -> bool:
        """Whether the value is within the bound."""
        return self.value <= self.bound


def emit(seed: int, rows: Sequence[Mapping[str, Any]],
         targets: Sequence[Target]) -> None:
    """Prints one JSON object on one line."""
    print(
        json.dumps({
            'seed':
                seed,
            'rows':
                list(rows),
            'targets': [{
                **dataclasses.asdict(target), 'holds': target.holds
            } for target in targets]
        }))
