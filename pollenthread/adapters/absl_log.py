"""Writes events of the structured log with absl, for processes without one."""

from typing import Any

from absl import logging

from pollenthread.core import log_events
from pollenthread.ports import event_log

__all__ = ['AbslLog']


class AbslLog(event_log.EventLog):
    """Writes each event as one warning with its fields."""

    def write(self,
              event: log_events.LogEvent,
              *,
              important: bool = True,
              **fields: Any) -> None:
        logging.warning(
            '%s %s', event.event_name,
            ' '.join(f'{name}={value!r}' for name, value in fields.items()))
