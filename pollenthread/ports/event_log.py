"""The structured log."""

import abc
from typing import Any

from pollenthread.core import log_events

__all__ = ['EventLog']


class EventLog(abc.ABC):
    """Takes one line for each decision; never blocks."""

    @abc.abstractmethod
    def write(self,
              event: log_events.LogEvent,
              *,
              important: bool = True,
              **fields: Any) -> None:
        """Writes a line.

        Args:
            event: what happened.
            important: whether the line is kept when lines must be dropped.
            **fields: inputs of the decision, their age or version, and the
                outcome.
        """
