"""Interface to the structured event log."""

import abc
from typing import Any

from pollenthread.core import log_events

__all__ = ['EventLog']


class EventLog(abc.ABC):
    """Writes one line per event without blocking the caller."""

    @abc.abstractmethod
    def write(self,
              event: log_events.LogEvent,
              *,
              important: bool = True,
              **fields: Any) -> None:
        """Writes a line.

        Args:
            event: the kind of event.
            important: whether the line takes precedence over ordinary lines
                when the rate limit requires that lines are dropped.
            **fields: the keys and values of the line: inputs of the decision,
                their age or version, and the outcome.
        """
