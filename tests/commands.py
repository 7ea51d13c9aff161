"""How a command line ended."""

import dataclasses

__all__ = ['CommandResult']


@dataclasses.dataclass(frozen=True)
class CommandResult:
    """How a command ended.

    Attributes:
        status: the exit status.
        output: what it printed.
        said: what it wrote to standard error.
    """

    status: int
    output: str
    error_output: str
