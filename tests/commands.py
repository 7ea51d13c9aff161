"""How a command line ended."""

import dataclasses

__all__ = ['Done']


@dataclasses.dataclass(frozen=True)
class Done:
    """How a command ended.

    Attributes:
        status: the exit status.
        output: what it printed.
        said: what it wrote to standard error.
    """

    status: int
    output: str
    said: str
